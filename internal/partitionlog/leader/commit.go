package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// appendEntries appends entries to a log and returns the offset of the last one. They are written
// and replicated by the log's goroutines; awaitCommit waits for that.
func (l *Leader) appendEntries(kind log.Kind, entries ...log.Entry) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stage == StageLost {
		return 0, apierror.New(
			apierror.NotPartitionLeader, "partition %d was lost: %v", l.Record.Partition, l.lostCause,
		)
	}
	var offset uint64
	for _, entry := range entries {
		offset = l.logs[kind].appendEntry(entry, l.Record.Epoch).Offset
	}
	return offset, nil
}

// appendToLedger appends an entry to the ledger. The lock is held.
func (l *Leader) appendToLedger(entry log.Entry) log.Entry {
	return l.logs[log.KindInput].appendEntry(entry, l.Record.Epoch)
}

// awaitCommit waits until a log is committed up to an offset. Its error is OutcomeUnknown when the
// leadership is lost or ctx ends before.
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
				"the leader of partition %d lost it before offset %d was on a majority", l.Record.Partition, offset)
		case <-ctx.Done():
			return apierror.New(apierror.OutcomeUnknown,
				"offset %d of partition %d was not on a majority in time", offset, l.Record.Partition)
		}
	}
}

// advanceCommit commits what a majority holds by now and applies it to the state. The lock is held.
func (l *Leader) advanceCommit(progress *logProgress) {
	from := progress.commit
	if !progress.advanceCommit(l.Record, l.options.Self) || progress.kind != log.KindInput || l.state == nil {
		return
	}
	l.apply(progress, from, progress.commit)
}

// apply applies the ledger's entries after one offset, up to another, to the state. The lock is
// held.
func (l *Leader) apply(ledger *logProgress, from, to uint64) {
	for offset := from; offset < to; {
		entries := ledger.entriesAfter(offset)
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

// requestTrim has a log begin behind an offset, here and on the replicas, if it is committed and
// the log begins before.
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
