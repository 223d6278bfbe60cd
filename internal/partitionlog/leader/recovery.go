package leader

import (
	"context"
	"fmt"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/quorum"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
)

// allEntries as a limit of a log's slice means no limit.
const allEntries = 1 << 30

type sealResult = quorum.Result[assignment.Replica, *replica.SealResponse]

// recoverPartition seals a majority of the replicas at the leader's epoch, adopts the longest of
// their logs, commits the start of the epoch on both logs, and rebuilds the state. The leader is
// then open.
func (l *Leader) recoverPartition(ctx context.Context) error {
	startedAt := l.options.Clock.Now()
	if err := l.checkLocalReplica(); err != nil {
		return err
	}
	sealed, err := l.sealAndAdopt(ctx)
	if err != nil {
		return err
	}
	if err := l.startEpoch(ctx, sealed); err != nil {
		return err
	}
	if err := l.rebuildState(); err != nil {
		return err
	}
	l.mu.Lock()
	if l.stage == StageRecovering {
		l.stage = StageOpen
	}
	l.recovery.Duration = l.options.Clock.Now().Sub(startedAt)
	recovery := l.recovery
	l.mu.Unlock()
	l.options.Observer.Opened(l.Record.Partition, l.Record.Epoch, recovery)
	l.observeDecision("open", startedAt)
	go l.options.OnRecovered(ctx, l.Record)
	return nil
}

// checkLocalReplica returns an error if the record doesn't name this node's disk, or if the disk
// has sealed the epoch already. An earlier run of this node may then have decided under that epoch.
func (l *Leader) checkLocalReplica() error {
	local, ok := l.Record.Replica(l.options.Self)
	if !ok || local.Incarnation != l.options.Replica.Incarnation() {
		return apierror.New(apierror.WrongDisk, "the record of partition %d names disk %q of this node",
			l.Record.Partition, local.Incarnation)
	}
	if sealed := l.options.Replica.Sealed(l.Record.Partition); sealed >= l.Record.Epoch {
		return apierror.New(apierror.StaleEpoch, "epoch %d was used before on this disk, sealed at %d",
			l.Record.Epoch, sealed)
	}
	return nil
}

// sealAndAdopt seals a majority of the replicas, the local one first, and brings the local logs up
// to the longest of theirs.
func (l *Leader) sealAndAdopt(ctx context.Context) ([]sealResult, error) {
	var sealed []sealResult
	err := l.retryStep(ctx, "seal", func() error {
		request := &replica.SealRequest{Target: l.localTarget(), Urgent: l.Urgent}
		_, err := l.options.Replica.Seal(ctx, request)
		if err != nil {
			return err
		}
		sealed, err = l.sealMajority(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, kind := range log.Kinds {
		err := l.retryStep(ctx, "adopt the "+string(kind), func() error { return l.adoptLongest(ctx, kind, sealed) })
		if err != nil {
			return nil, err
		}
	}
	return sealed, nil
}

// retryStep retries a step of the recovery until it succeeds, a replica has seen a higher epoch, or
// ctx ends.
func (l *Leader) retryStep(ctx context.Context, step string, run func() error) error {
	for failures := 0; ; failures++ {
		err := run()
		if err == nil || isFenced(err) {
			return err
		}
		if ctx.Err() != nil {
			return apierror.WithCause(apierror.Stopped, ctx.Err(), "recovering partition %d", l.Record.Partition)
		}
		l.options.Observer.StepFailed(l.Record.Partition, l.Record.Epoch, step, err)
		_ = l.options.Clock.Sleep(ctx, l.options.Timing.Backoff(failures))
	}
}

// sealMajority returns the results of the replicas that reject lower epochs from now on. It returns
// NoMajority if they are too few.
func (l *Leader) sealMajority(ctx context.Context) ([]sealResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout())
	defer cancel()
	results := quorum.Gather(ctx, l.Record.Replicas, l.sealReplica, func(results []sealResult) bool {
		return len(quorum.Successes(results)) >= l.Record.Majority()
	})
	for _, result := range results {
		if isFenced(result.Err) {
			return nil, result.Err
		}
	}
	sealed := quorum.Successes(results)
	if len(sealed) < l.Record.Majority() {
		return nil, apierror.WithCause(apierror.NoMajority, quorum.FirstError(results), "%d of %d replicas were sealed",
			len(sealed), len(l.Record.Replicas))
	}
	return sealed, nil
}

func (l *Leader) sealReplica(ctx context.Context, to assignment.Replica) (*replica.SealResponse, error) {
	request := &replica.SealRequest{Target: l.target(to), Urgent: l.Urgent}
	if to.Node == l.options.Self {
		return l.options.Replica.Seal(ctx, request)
	}
	address, err := l.address(to.Node)
	if err != nil {
		return nil, err
	}
	return replica.Seal.Call(ctx, l.options.Net, l.options.Self, address, request)
}

// maxFetchEntries bounds the entries of one fetch.
const maxFetchEntries = 512

func (l *Leader) fetch(
	ctx context.Context, node string, kind log.Kind, from uint64, limit int,
) (*replica.FetchResponse, error) {
	address, err := l.address(node)
	if err != nil {
		return nil, err
	}
	source, _ := l.Record.Replica(node)
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout())
	defer cancel()
	return replica.Fetch.Call(ctx, l.options.Net, l.options.Self, address, &replica.FetchRequest{
		Partition: l.Record.Partition, Incarnation: source.Incarnation, Kind: kind, From: from, Limit: limit,
	})
}

// adoptLongest makes one local log equal to that of the sealed replica whose log ends last, by
// epoch and then by offset.
func (l *Leader) adoptLongest(ctx context.Context, kind log.Kind, sealed []sealResult) error {
	longest := l.options.Self
	local := l.options.Replica.Log(l.Record.Partition, kind)
	end := local.Last()
	for _, result := range sealed {
		if last := result.Value.Tails[kind].Last; end.Less(last) {
			longest, end = result.Target.Node, last
		}
	}
	l.recordTails(kind, longest, sealed)
	if longest == l.options.Self {
		return nil
	}
	after, reset, err := l.lastCommonPosition(ctx, longest, kind, local)
	if err != nil {
		return err
	}
	if err := l.copyEntries(ctx, longest, kind, after, end, reset); err != nil {
		return err
	}
	if local := l.options.Replica.Log(l.Record.Partition, kind); local.Last().Offset > end.Offset {
		return l.options.Replica.TruncateAfter(ctx, l.localTarget(), kind, end.Offset, l.Urgent)
	}
	return nil
}

// recordTails records in the recovery's status where the logs ended, and which one was adopted.
func (l *Leader) recordTails(kind log.Kind, longest string, sealed []sealResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recovery.Tails += fmt.Sprintf("%s from %s:", kind, longest)
	for _, result := range sealed {
		last := result.Value.Tails[kind].Last
		l.recovery.Tails += fmt.Sprintf(" %s %d/%d", result.Target.Node, last.Epoch, last.Offset)
	}
	l.recovery.Tails += "; "
}

// copyEntries copies another replica's entries after one position, up to another, to the local log.
func (l *Leader) copyEntries(
	ctx context.Context, from string, kind log.Kind, after, end log.Position, reset bool,
) error {
	for after != end {
		fetched, err := l.fetch(ctx, from, kind, after.Offset+1, maxFetchEntries)
		if err != nil {
			return err
		}
		if len(fetched.Entries) == 0 || fetched.Tail.Last.Less(end) {
			return apierror.New(
				apierror.LogMismatch, "the log of %s ends at %d, before %d", from, fetched.Tail.Last.Offset,
				end.Offset,
			)
		}
		appended, err := l.options.Replica.Append(ctx, &replica.AppendRequest{
			Target: l.localTarget(), Kind: kind, After: after, Entries: fetched.Entries, Reset: reset, Urgent: l.Urgent,
		})
		if err != nil {
			return err
		}
		if !appended.Matched {
			return apierror.New(apierror.LogMismatch, "the local log does not contain offset %d", after.Offset)
		}
		l.mu.Lock()
		l.recovery.Fetched += len(fetched.Entries)
		l.mu.Unlock()
		after, reset = appended.Tail.Last, false
	}
	return nil
}

// lastCommonPosition finds, by bisection, the last position that the local log has in common with
// that of another replica. If there is none, it returns the base of the other log, and true: the
// local log must be reset there.
func (l *Leader) lastCommonPosition(
	ctx context.Context, node string, kind log.Kind, local *log.Log,
) (position log.Position, reset bool, err error) {
	fetched, err := l.fetch(ctx, node, kind, local.Last().Offset+1, 1)
	if err != nil {
		return log.Position{}, false, err
	}
	isCommon := func(offset uint64) (bool, error) {
		position, ok := local.Position(offset)
		if !ok {
			return false, nil
		}
		next, err := l.fetch(ctx, node, kind, offset+1, 1)
		if err != nil {
			return false, err
		}
		return next.Before == position, nil
	}
	low := max(local.Base().Offset, fetched.Tail.Base.Offset)
	high := min(local.Last().Offset, fetched.Tail.Last.Offset)
	if low > high {
		return fetched.Tail.Base, true, nil
	}
	common, err := isCommon(low)
	if err != nil {
		return log.Position{}, false, err
	}
	if !common {
		return fetched.Tail.Base, true, nil
	}
	for low < high {
		middle := (low + high + 1) / 2
		if common, err = isCommon(middle); err != nil {
			return log.Position{}, false, err
		}
		if common {
			low = middle
		} else {
			high = middle - 1
		}
	}
	position, _ = local.Position(low)
	return position, false, nil
}

// startEpoch appends the start of the epoch to both logs, starts their replication, and waits until
// the start is committed. Only then may entries of earlier epochs count as committed.
func (l *Leader) startEpoch(ctx context.Context, sealed []sealResult) error {
	l.mu.Lock()
	for _, kind := range log.Kinds {
		l.logs[kind] = newLogProgress(kind, l.options.Replica.Log(l.Record.Partition, kind))
		l.trimTo[kind] = l.logs[kind].log.Base()
	}
	l.mu.Unlock()
	startOffsets := map[log.Kind]uint64{}
	for _, kind := range log.Kinds {
		var err error
		if startOffsets[kind], err = l.appendEntries(kind, log.Entry{Type: log.TypeEpochStart}); err != nil {
			return err
		}
		l.startReplication(ctx, l.logs[kind], sealed)
	}
	for _, kind := range log.Kinds {
		if err := l.awaitCommit(ctx, kind, startOffsets[kind]); err != nil {
			return err
		}
	}
	return nil
}

// startReplication starts the goroutines that write a log to the local disk and to the other
// replicas.
func (l *Leader) startReplication(ctx context.Context, progress *logProgress, sealed []sealResult) {
	go l.writeLocally(ctx, progress)
	for _, to := range l.Record.Replicas {
		if to.Node == l.options.Self {
			continue
		}
		var tail replica.Tail
		isTailKnown := false
		for _, result := range sealed {
			if result.Err == nil && result.Target.Node == to.Node {
				tail, isTailKnown = result.Value.Tails[progress.kind], true
			}
		}
		go l.replicate(ctx, progress, to, tail, isTailKnown)
	}
}

// rebuildState rebuilds the state from the snapshot on disk, if there is one that can be read, the
// changelog after it, and the partition log after that.
func (l *Leader) rebuildState() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, partitionLog := l.logs[log.KindChangelog], l.logs[log.KindInput]
	restored, input, after := state.New(), uint64(0), changes.log.Base().Offset
	if snapshot, ok := l.options.Replica.Snapshot(l.Record.Partition); ok && snapshot.At.Offset <= changes.commit {
		// A snapshot only saves time. If it can't be read, the changelog has all of its content.
		if unmarshaled, err := state.Unmarshal(snapshot.State); err == nil {
			restored, input, after = unmarshaled, snapshot.Input, snapshot.At.Offset
			l.recovery.SnapshotUsed = true
		}
	}
	replayed := changes.log.Slice(after+1, changes.commit, allEntries, allEntries)
	input, err := changelog.Replay(restored, input, replayed)
	if err != nil {
		return err
	}
	l.recovery.Replayed = len(replayed)
	base := partitionLog.log.Base().Offset
	if input < base && base > 0 {
		return apierror.New(apierror.DiskDamaged,
			"the changelog of partition %d ends at input offset %d, the partition log begins after %d",
			l.Record.Partition, input, base)
	}
	restored.Input = input
	l.prunedTo = base
	restoreAnswers(restored, partitionLog.log, base, input)
	reprocessed := partitionLog.log.Slice(input+1, partitionLog.commit, allEntries, allEntries)
	for _, entry := range reprocessed {
		restored.Apply(entry)
	}
	l.recovery.Reprocessed, l.recovery.Keys = len(reprocessed), restored.Size()
	l.state, l.savedInput = restored, input
	now := l.options.Clock.Now()
	for node, reader := range restored.Readers {
		l.readerProgress[node] = readerProgress{bootID: reader.BootID, lastHeard: now, lastMember: now}
	}
	return nil
}

// restoreAnswers restores what the changelog doesn't have: the answers to calls in the partition
// log after one offset, up to another.
func restoreAnswers(restored *state.State, partitionLog *log.Log, after, to uint64) {
	for after < to {
		entries := partitionLog.Slice(after+1, to, maxBatchEntries, maxBatchBytes)
		if len(entries) == 0 {
			return
		}
		for _, entry := range entries {
			restored.RestoreAnswer(entry)
			after = entry.Offset
		}
	}
}
