package leader

import (
	"context"
	"time"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
)

// The changelog is compacted once it has more than compactMinEntries entries, and more than
// compactFactor times as many as the state has blocks of compactMinEntries keys.
const (
	compactMinEntries = 64
	compactFactor     = 4
)

// maintain writes a changelog batch every interval, or when Flush asks for one, and then trims the
// partition log.
func (l *Leader) maintain(ctx context.Context) {
	for {
		flushed, ok := l.awaitMaintenance(ctx)
		if !ok {
			return
		}
		prunedTo := l.prune()
		err := l.writeChangelogBatch(ctx, flushed != nil)
		if err != nil && ctx.Err() == nil {
			l.options.Observer.StepFailed(l.Record.Partition, l.Record.Epoch, "write a changelog batch", err)
		}
		if flushed != nil {
			close(flushed)
		}
		if err == nil {
			l.requestTrim(log.KindInput, prunedTo)
		}
	}
}

// awaitMaintenance waits until a batch is due or requested. For a request, it returns the channel
// to close once the batch is written. It returns false once ctx has ended.
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

// after returns a channel that is closed after a duration, or once ctx ends.
func (l *Leader) after(ctx context.Context, duration time.Duration) <-chan struct{} {
	elapsed := make(chan struct{})
	go func() {
		_ = l.options.Clock.Sleep(ctx, duration)
		close(elapsed)
	}()
	return elapsed
}

// prune drops from the state what has outlived its retention, up to the offset that it returns. The
// partition log is trimmed up to that offset once the changelog covers it.
func (l *Leader) prune() uint64 {
	now := l.options.Clock.Now()
	partitionLog := l.logs[log.KindInput].log
	partitionLog.DropLiveBodies(now.Add(-l.options.Timing.Spread))
	expiredTo := partitionLog.LastBefore(now.Add(-l.options.Timing.RetentionFor(l.options.LongestRetention())))
	l.mu.Lock()
	defer l.mu.Unlock()
	for to := min(expiredTo, l.savedInput); l.prunedTo < to; {
		entries := partitionLog.Slice(l.prunedTo+1, to, maxBatchEntries, maxBatchBytes)
		if len(entries) == 0 {
			break
		}
		l.counters.AnswersDropped += uint64(l.state.Prune(entries...))
		l.prunedTo = entries[len(entries)-1].Offset
	}
	l.dropTombstones()
	l.giveUpReaders()
	return l.prunedTo
}

// changelogBatch is what has changed in the state since the previous batch.
type changelogBatch struct {
	input uint64
	items []state.Item
	// isCompaction is set if items are the whole state. lastReplaced is the last changelog offset
	// that the batch replaces.
	isCompaction bool
	lastReplaced uint64
	// snapshot is the whole state, nil if no snapshot is to be saved.
	snapshot []byte
}

// writeChangelogBatch writes what has changed in the state, if anything has, to the changelog. With
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
		// The changelog has everything. Without the snapshot the next recovery is only slower.
		_ = l.options.Replica.SaveSnapshot(ctx, replica.Snapshot{
			Partition: l.Record.Partition, At: position, Input: batch.input, State: batch.snapshot,
		})
	}
	if batch.isCompaction {
		l.requestTrim(log.KindChangelog, batch.lastReplaced)
	}
	return nil
}

// takeChanges removes the pending changes from the state and returns them as a batch. It returns
// false if there is nothing to write.
func (l *Leader) takeChanges(flush bool) (changelogBatch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changelogProgress := l.logs[log.KindChangelog]
	batch := changelogBatch{input: l.state.Input, lastReplaced: changelogProgress.last.Offset}
	length := changelogProgress.log.Len()
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
		commit.Base = batch.lastReplaced
	}
	if offset, err = l.appendEntries(log.KindChangelog, changelog.EncodeCommit(commit)); err != nil {
		return 0, err
	}
	return offset, l.awaitCommit(ctx, log.KindChangelog, offset)
}

// Flush writes a changelog batch and a snapshot now, and waits for that, at most for timeout. It is
// called before the partition moves to another leader, which then recovers faster.
func (l *Leader) Flush(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
