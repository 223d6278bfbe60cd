package leader

import "postjunction/internal/partitionlog/log"

// entryFilter selects the entries of the partition log that a follower wants.
type entryFilter struct {
	isWanted func(log.Entry) bool
	// withKeys adds messages with keys, and the withdrawals on wanted topics. allWithdrawals adds
	// all withdrawals.
	withKeys, allWithdrawals bool
	// isReader is set if an entry that makes the follower a reader is committed.
	isReader bool
}

// collect returns the committed entries after an offset that pass a filter, until they have more
// than maxBytes bytes, and the offset up to which it has read. If the follower is not a reader, it
// stops before a message with a key and reports that. l.mu must be held.
func (l *Leader) collect(
	after uint64, maxBytes int, filter entryFilter,
) (entries []log.Entry, to uint64, stoppedAtKey bool) {
	partitionLog := l.logs[log.KindInput]
	size := 0
	for after < partitionLog.commit {
		candidates := partitionLog.entriesAfter(after)
		if len(candidates) == 0 {
			break
		}
		for _, entry := range candidates {
			if entry.Offset > partitionLog.commit || size > maxBytes {
				return entries, after, false
			}
			if l.passes(entry, filter) {
				if entry.Key != "" && entry.Type == log.TypeMessage && !filter.isReader {
					return entries, after, true
				}
				entries = append(entries, withoutReplicaFields(entry))
				size += len(entry.Body) + len(entry.Topic) + len(entry.Client) + len(entry.Key)
			}
			after = entry.Offset
		}
	}
	return entries, after, false
}

func (l *Leader) passes(entry log.Entry, filter entryFilter) bool {
	switch entry.Type {
	case log.TypeMessage:
		isIncluded := entry.Key == "" || filter.withKeys && !l.state.IsWithdrawn(entry)
		return !entry.BodyDropped && filter.isWanted(entry) && isIncluded
	case log.TypeWithdrawal:
		return filter.withKeys && (filter.allWithdrawals || filter.isWanted(entry))
	}
	return false
}

// withoutReplicaFields returns an entry without the fields that only replicas need.
func withoutReplicaFields(entry log.Entry) log.Entry {
	entry.Generation, entry.Configuration, entry.Digest, entry.Chain = 0, 0, "", 0
	if entry.Type == log.TypeWithdrawal {
		entry.Body = nil
	}
	return entry
}

// Trimmed reports whether a message of a topic after an offset is no longer in the partition log.
// What is about to be trimmed counts as trimmed.
func (l *Leader) Trimmed(topic string, after uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trimmedUpTo(topic) > after
}

// trimmedUpTo returns the offset of the last trimmed message of a topic, 0 if there is none. l.mu
// must be held.
func (l *Leader) trimmedUpTo(topic string) uint64 {
	if l.state == nil {
		return 0
	}
	return l.state.Progress[topic].Trimmed
}

// addTrimmed adds a topic to trimmed, which may be nil, if a message of it after an offset was
// trimmed.
func (l *Leader) addTrimmed(trimmed map[string]uint64, topic string, after uint64) map[string]uint64 {
	offset := l.trimmedUpTo(topic)
	if offset <= after {
		return trimmed
	}
	if trimmed == nil {
		trimmed = map[string]uint64{}
	}
	trimmed[topic] = offset
	return trimmed
}
