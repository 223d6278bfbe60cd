package leader

import (
	"context"
	"time"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
)

// The changelog is compacted once it has more than compactMinEntries, and more than compactFactor
// times as many as the state has blocks of compactMinEntries keys.
const (
	compactMinEntries = 64
	compactFactor     = 4
)

// maintain writes a changelog batch every interval, or when Flush asks for one, and trims the
// ledger behind it.
func (l *Leader) maintain(ctx context.Context) {
	for {
		flushed, ok := l.awaitMaintenance(ctx)
		if !ok {
			return
		}
		to := l.prune()
		err := l.writeChangelogBatch(ctx, flushed != nil)
		if err != nil && ctx.Err() == nil {
			l.options.Observer.StepFailed(l.Record.Partition, l.Record.Epoch, "write a changelog batch", err)
		}
		if flushed != nil {
			close(flushed)
		}
		if err == nil {
			l.requestTrim(log.KindInput, to)
		}
	}
}

// awaitMaintenance waits until a batch is due, or asked for: then it returns the channel to close
// when it is written. It returns false once ctx ended.
func (l *Leader) awaitMaintenance(ctx context.Context) (flushed chan struct{}, ok bool) {
	timerCtx, stop := context.WithCancel(ctx)
	defer stop()
	select {
	case <-l.after(timerCtx, l.options.ChangelogInterval()):
	case flushed = <-l.flushRequests:
	case <-ctx.Done():
	}
	return flushed, ctx.Err() == nil
}

// after returns a channel that is closed after a time, or once ctx ends.
func (l *Leader) after(ctx context.Context, d time.Duration) <-chan struct{} {
	elapsed := make(chan struct{})
	go func() {
		_ = l.options.Clock.Sleep(ctx, d)
		close(elapsed)
	}()
	return elapsed
}

// prune drops from the state what has outlived its retention, up to the offset that it returns: the
// ledger is trimmed up to there once the changelog says so.
func (l *Leader) prune() uint64 {
	now := l.options.Clock.Now()
	ledger := l.logs[log.KindInput].log
	ledger.DropLiveBodies(now.Add(-l.options.Timing.Spread))
	expired := ledger.LastBefore(now.Add(-l.options.Timing.RetentionFor(l.options.LongestRetention())))
	l.mu.Lock()
	defer l.mu.Unlock()
	for to := min(expired, l.savedInput); l.prunedTo < to; {
		entries := ledger.Slice(l.prunedTo+1, to, maxBatchEntries, maxBatchBytes)
		if len(entries) == 0 {
			break
		}
		l.counters.Forgotten += uint64(l.state.Prune(entries...))
		l.prunedTo = entries[len(entries)-1].Offset
	}
	l.dropTombstones()
	l.giveUpReaders()
	return l.prunedTo
}

// changelogBatch is what changed in the state since the batch before.
type changelogBatch struct {
	input uint64
	items []state.Item
	// isCompaction tells that items are the whole state; before is the last changelog offset that
	// it replaces.
	isCompaction bool
	before       uint64
	// snapshot is the whole state, nil where none is to be saved.
	snapshot []byte
}

// writeChangelogBatch writes what changed in the state, if anything did, to the changelog; with
// flush, or when the changelog is due for compaction, it saves a snapshot too.
func (l *Leader) writeChangelogBatch(ctx context.Context, flush bool) error {
	batch, ok := l.takeChanges(flush)
	if !ok {
		return nil
	}
	committed, err := l.commitChanges(ctx, batch)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.savedInput = max(l.savedInput, batch.input)
	if batch.isCompaction {
		l.counters.Compactions++
	}
	position, _ := l.logs[log.KindChangelog].position(committed)
	l.mu.Unlock()
	if batch.snapshot != nil {
		// The changelog has it all: without the snapshot the next recovery only takes longer.
		_ = l.options.Replica.SaveSnapshot(ctx, replica.Snapshot{
			Partition: l.Record.Partition, At: position, Input: batch.input, State: batch.snapshot,
		})
	}
	if batch.isCompaction {
		l.requestTrim(log.KindChangelog, batch.before)
	}
	return nil
}

// takeChanges takes the changes out of the state, false if there is nothing to write.
func (l *Leader) takeChanges(flush bool) (changelogBatch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := l.logs[log.KindChangelog]
	batch := changelogBatch{input: l.state.Input, before: changes.last.Offset}
	length := changes.log.Len()
	batch.isCompaction = length > compactMinEntries && length > compactFactor*(1+l.state.Size()/compactMinEntries)
	if batch.isCompaction {
		l.state.MarkAllChanged()
	}
	if batch.input == l.savedInput && !batch.isCompaction && !flush && !l.state.Changed() {
		return changelogBatch{}, false
	}
	batch.items = l.state.TakeChanges()
	if batch.isCompaction || flush {
		batch.snapshot = l.state.Marshal()
	}
	l.counters.Batches++
	l.counters.Items += uint64(len(batch.items))
	return batch, true
}

// commitChanges writes the items of a batch and, once they are committed, its commit entry, whose
// offset it returns.
func (l *Leader) commitChanges(ctx context.Context, batch changelogBatch) (uint64, error) {
	entries := changelog.EncodeBatch(batch.input, batch.items, batch.isCompaction)
	offset, err := l.appendEntries(log.KindChangelog, entries...)
	if err == nil && len(batch.items) > 0 {
		err = l.awaitCommit(ctx, log.KindChangelog, offset)
	}
	if err != nil {
		return 0, err
	}
	commit := changelog.Commit{Input: batch.input}
	if batch.isCompaction {
		commit.Base = batch.before
	}
	if offset, err = l.appendEntries(log.KindChangelog, changelog.EncodeCommit(commit)); err != nil {
		return 0, err
	}
	return offset, l.awaitCommit(ctx, log.KindChangelog, offset)
}

// Flush writes a changelog batch and a snapshot now, and waits for that until limit is over: before
// the partition moves to another leader, which then recovers faster.
func (l *Leader) Flush(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	flushed := make(chan struct{})
	select {
	case l.flushRequests <- flushed:
	case <-ctx.Done():
		return
	case <-l.lost:
		return
	}
	select {
	case <-flushed:
	case <-ctx.Done():
	case <-l.lost:
	}
}
