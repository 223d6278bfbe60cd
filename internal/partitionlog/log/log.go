package log

import (
	"sync"
	"time"
)

// Log holds the synced entries after a base, and when each arrived. mu guards all its fields.
type Log struct {
	mu      sync.Mutex
	base    Position
	entries []Entry
	arrived []time.Time
	commit  uint64
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Base returns the position before the first entry.
func (l *Log) Base() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.base
}

// Last returns the position of the last entry.
func (l *Log) Last() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last()
}

func (l *Log) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Position()
}

// Position returns the position at an offset, if the log has it.
func (l *Log) Position(offset uint64) (Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset == l.base.Offset {
		return l.base, true
	}
	if offset < l.base.Offset || offset > l.last().Offset {
		return Position{}, false
	}
	return l.entries[offset-l.base.Offset-1].Position(), true
}

// Slice returns the entries from one offset up to another. It stops after limit entries, and after
// the entry with which their size reaches bytes.
func (l *Log) Slice(from, to uint64, limit, bytes int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from <= l.base.Offset {
		from = l.base.Offset + 1
	}
	to = min(to, l.last().Offset)
	var result []Entry
	for offset := from; offset <= to && len(result) < limit && bytes > 0; offset++ {
		entry := l.entries[offset-l.base.Offset-1]
		bytes -= len(entry.Body) + entryOverhead
		result = append(result, entry)
	}
	return result
}

const entryOverhead = 128

// Append adds entries after the last one. An entry that differs from the one at its offset replaces
// the log from there on.
func (l *Log) Append(now time.Time, entries ...Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range entries {
		if entry.Offset <= l.base.Offset {
			continue
		}
		index := int(entry.Offset - l.base.Offset - 1)
		if index < len(l.entries) {
			if l.entries[index].Chain == entry.Chain {
				continue
			}
			l.entries, l.arrived = l.entries[:index], l.arrived[:index]
		}
		if index > len(l.entries) {
			return
		}
		l.entries, l.arrived = append(l.entries, entry), append(l.arrived, now)
	}
}

// TruncateAfter drops entries after an offset.
func (l *Log) TruncateAfter(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset < l.base.Offset {
		return
	}
	if count := int(offset - l.base.Offset); count < len(l.entries) {
		l.entries, l.arrived = l.entries[:count], l.arrived[:count]
	}
	l.commit = min(l.commit, offset)
}

// TrimTo drops entries up to a position, or starts an empty log there. The base never moves back,
// and a log that does not have the position stays as it is.
func (l *Log) TrimTo(position Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 && l.base == (Position{}) {
		l.base = position
		return
	}
	if position.Offset <= l.base.Offset || position.Offset > l.last().Offset {
		return
	}
	count := int(position.Offset - l.base.Offset)
	if l.entries[count-1].Position() == position {
		l.entries = append([]Entry(nil), l.entries[count:]...)
		l.arrived = append([]time.Time(nil), l.arrived[count:]...)
		l.base = position
	}
}

// Commit returns the last offset known to be on a majority.
func (l *Log) Commit() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.commit, l.last().Offset)
}

// SetCommit raises the commit offset.
func (l *Log) SetCommit(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commit = max(l.commit, offset)
}

// LastBefore returns the offset of the last entry that arrived before cutoff, that of the base if
// there is none.
func (l *Log) LastBefore(cutoff time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.base.Offset
	for _, arrived := range l.arrived {
		if !arrived.Before(cutoff) {
			break
		}
		offset++
	}
	return offset
}

// DropLiveBodies drops the bodies of live entries that arrived before cutoff.
func (l *Log) DropLiveBodies(cutoff time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, arrived := range l.arrived {
		if !arrived.Before(cutoff) {
			return
		}
		if entry := &l.entries[i]; entry.Live && !entry.BodyDropped {
			entry.Body, entry.BodyDropped = nil, true
		}
	}
}

// Len returns the number of entries.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// Size returns the number of entries and the bytes of their bodies, topics and client names.
func (l *Log) Size() (int, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := 0
	for i := range l.entries {
		entry := &l.entries[i]
		bytes += len(entry.Body) + len(entry.Topic) + len(entry.Client)
	}
	return len(l.entries), int64(bytes)
}
