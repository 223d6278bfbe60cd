package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// appendEntries appends entries to a log and returns the offset of the last one. The goroutines of
// the log write and replicate them; awaitCommit waits for that.
func (l *Leader) appendEntries(kind log.Kind, entries ...log.Entry) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stage == StageLost {
		return 0, apierror.New(
			apierror.NotPartitionLeader, "the leadership of partition %d was lost: %v", l.Record.Partition, l.lostCause,
		)
	}
	var offset uint64
	for _, entry := range entries {
		offset = l.logs[kind].appendEntry(entry, l.Record.Epoch).Offset
	}
	return offset, nil
}

// appendToPartitionLog appends an entry to the partition log. l.mu must be held.
func (l *Leader) appendToPartitionLog(entry log.Entry) log.Entry {
	return l.logs[log.KindInput].appendEntry(entry, l.Record.Epoch)
}

// awaitCommit waits until a log is committed up to an offset. Its error is OutcomeUnknown if the
// leadership is lost or ctx ends first.
func (l *Leader) awaitCommit(ctx context.Context, kind log.Kind, offset uint64) error {
	for {
		l.mu.Lock()
		progress := l.logs[kind]
		isCommitted, committed := progress.commit >= offset, progress.committed
		l.mu.Unlock()
		if isCommitted {
			return nil
		}
		select {
		case <-committed:
		case <-l.lost:
			return apierror.New(apierror.OutcomeUnknown,
				"the leadership of partition %d was lost before offset %d was committed", l.Record.Partition, offset)
		case <-ctx.Done():
			return apierror.New(apierror.OutcomeUnknown,
				"offset %d of partition %d was not committed in time", offset, l.Record.Partition)
		}
	}
}

// advanceCommit commits the entries that a majority of the replicas has by now, and applies them to
// the state. l.mu must be held.
func (l *Leader) advanceCommit(progress *logProgress) {
	from := progress.commit
	if !progress.advanceCommit(l.Record, l.options.Self) || progress.kind != log.KindInput || l.state == nil {
		return
	}
	l.apply(progress, from, progress.commit)
}

// apply applies the entries of the partition log after offset from, up to offset to, to the state.
// l.mu must be held.
func (l *Leader) apply(partitionLog *logProgress, from, to uint64) {
	for offset := from; offset < to; {
		entries := partitionLog.entriesAfter(offset)
		if len(entries) == 0 {
			return
		}
		for _, entry := range entries {
			if entry.Offset > to {
				return
			}
			l.state.Apply(entry)
			l.onCommitted(entry)
			offset = entry.Offset
		}
	}
}

// requestTrim has a log trimmed up to an offset, at most up to its commit, here and on the
// replicas. It does nothing if the log is already trimmed that far.
func (l *Leader) requestTrim(kind log.Kind, to uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	progress := l.logs[kind]
	to = min(to, progress.commit)
	base, ok := progress.log.Position(to)
	if !ok || to <= l.trimTo[kind].Offset || to <= progress.log.Base().Offset {
		return
	}
	l.trimTo[kind] = base
	select {
	case l.trimRequests[kind] <- struct{}{}:
	default:
	}
}
