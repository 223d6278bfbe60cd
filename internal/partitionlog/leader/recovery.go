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

// allEntries as the limits of a slice of a log means no limit.
const allEntries = 1 << 30

type sealResult = quorum.Result[assignment.Replica, *replica.SealResponse]

// recoverPartition seals a majority of the replicas at the leader's epoch, adopts the longest of
// their logs, commits the start of the epoch on both logs, and rebuilds the state. Then the leader
// is open.
func (l *Leader) recoverPartition(ctx context.Context) error {
	begun := l.options.Clock.Now()
	if err := l.checkOwnReplica(); err != nil {
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
	l.recovery.Duration = l.options.Clock.Now().Sub(begun)
	recovery := l.recovery
	l.mu.Unlock()
	l.options.Observer.Opened(l.Record.Partition, l.Record.Epoch, recovery)
	l.observeDecision("open", begun)
	go l.options.OnRecovered(ctx, l.Record)
	return nil
}

// checkOwnReplica returns an error unless the record names this node's disk, and the disk has not
// sealed the epoch yet: an earlier run of this node may have decided under it.
func (l *Leader) checkOwnReplica() error {
	own, ok := l.Record.Replica(l.options.Self)
	if !ok || own.Incarnation != l.options.Replica.Incarnation() {
		return apierror.New(apierror.WrongDisk, "the record of partition %d names disk %q of this node",
			l.Record.Partition, own.Incarnation)
	}
	if sealed := l.options.Replica.Sealed(l.Record.Partition); sealed >= l.Record.Epoch {
		return apierror.New(apierror.StaleEpoch, "epoch %d was used before on this disk, sealed at %d",
			l.Record.Epoch, sealed)
	}
	return nil
}

// sealAndAdopt seals a majority of the replicas, the own one first, and brings the own logs to the
// longest of theirs.
func (l *Leader) sealAndAdopt(ctx context.Context) ([]sealResult, error) {
	var sealed []sealResult
	err := l.retryStep(ctx, "seal", func() error {
		request := &replica.SealRequest{Target: l.ownTarget(), Urgent: l.Urgent}
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

// retryStep runs a step of the recovery until it succeeds, a replica has seen a higher epoch, or
// ctx ends.
func (l *Leader) retryStep(ctx context.Context, step string, run func() error) error {
	for failures := 0; ; failures++ {
		err := run()
		if err == nil || isFenced(err) {
			return err
		}
		if ctx.Err() != nil {
			return apierror.WithCause(apierror.Stopped, ctx.Err(), "taking over partition %d", l.Record.Partition)
		}
		l.options.Observer.StepFailed(l.Record.Partition, l.Record.Epoch, step, err)
		_ = l.options.Clock.Sleep(ctx, l.options.Timing.Backoff(failures))
	}
}

// sealMajority returns the results of those replicas that reject lower epochs from now on;
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
	to, _ := l.Record.Replica(node)
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout())
	defer cancel()
	return replica.Fetch.Call(ctx, l.options.Net, l.options.Self, address, &replica.FetchRequest{
		Partition: l.Record.Partition, Incarnation: to.Incarnation, Kind: kind, From: from, Limit: limit,
	})
}

// adoptLongest brings one own log to that of the sealed replica whose log ends latest, by epoch and
// then by offset.
func (l *Leader) adoptLongest(ctx context.Context, kind log.Kind, sealed []sealResult) error {
	best := l.options.Self
	own := l.options.Replica.Log(l.Record.Partition, kind)
	end := own.Last()
	for _, result := range sealed {
		if last := result.Value.Tails[kind].Last; end.Less(last) {
			best, end = result.Target.Node, last
		}
	}
	l.noteTails(kind, best, sealed)
	if best == l.options.Self {
		return nil
	}
	after, reset, err := l.lastCommonPosition(ctx, best, kind, own)
	if err != nil {
		return err
	}
	if err := l.copyEntries(ctx, best, kind, after, end, reset); err != nil {
		return err
	}
	if own := l.options.Replica.Log(l.Record.Partition, kind); own.Last().Offset > end.Offset {
		return l.options.Replica.TruncateAfter(ctx, l.ownTarget(), kind, end.Offset, l.Urgent)
	}
	return nil
}

// noteTails notes in the recovery's description where the logs ended, and which one was adopted.
func (l *Leader) noteTails(kind log.Kind, best string, sealed []sealResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recovery.Tails += fmt.Sprintf("%s from %s:", kind, best)
	for _, result := range sealed {
		last := result.Value.Tails[kind].Last
		l.recovery.Tails += fmt.Sprintf(" %s %d/%d", result.Target.Node, last.Epoch, last.Offset)
	}
	l.recovery.Tails += "; "
}

// copyEntries copies another replica's entries after one position, up to another, into the own log.
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
				apierror.LogMismatch, "%s ends at %d, short of %d", from, fetched.Tail.Last.Offset,
				end.Offset,
			)
		}
		appended, err := l.options.Replica.Append(ctx, &replica.AppendRequest{
			Target: l.ownTarget(), Kind: kind, After: after, Entries: fetched.Entries, Reset: reset, Urgent: l.Urgent,
		})
		if err != nil {
			return err
		}
		if !appended.Matched {
			return apierror.New(apierror.LogMismatch, "the own line does not hold %d", after.Offset)
		}
		l.mu.Lock()
		l.recovery.Fetched += len(fetched.Entries)
		l.mu.Unlock()
		after, reset = appended.Tail.Last, false
	}
	return nil
}

// lastCommonPosition finds, by bisection, the last position that the own log has in common with
// another replica's. With none it returns that one's base, and true: the own log is to be reset
// there.
func (l *Leader) lastCommonPosition(
	ctx context.Context, node string, kind log.Kind, own *log.Log,
) (position log.Position, reset bool, err error) {
	fetched, err := l.fetch(ctx, node, kind, own.Last().Offset+1, 1)
	if err != nil {
		return log.Position{}, false, err
	}
	isCommon := func(offset uint64) (bool, error) {
		position, ok := own.Position(offset)
		if !ok {
			return false, nil
		}
		next, err := l.fetch(ctx, node, kind, offset+1, 1)
		if err != nil {
			return false, err
		}
		return next.Before == position, nil
	}
	low := max(own.Base().Offset, fetched.Tail.Base.Offset)
	high := min(own.Last().Offset, fetched.Tail.Last.Offset)
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
	position, _ = own.Position(low)
	return position, false, nil
}

// startEpoch appends the start of the epoch to both logs, starts their replication, and waits until
// it is committed: only with it may entries of earlier epochs count as committed.
func (l *Leader) startEpoch(ctx context.Context, sealed []sealResult) error {
	l.mu.Lock()
	for _, kind := range log.Kinds {
		l.logs[kind] = newLogProgress(kind, l.options.Replica.Log(l.Record.Partition, kind))
		l.trimTo[kind] = l.logs[kind].log.Base()
	}
	l.mu.Unlock()
	starts := map[log.Kind]uint64{}
	for _, kind := range log.Kinds {
		var err error
		if starts[kind], err = l.appendEntries(kind, log.Entry{Type: log.TypeEpochStart}); err != nil {
			return err
		}
		l.startReplication(ctx, l.logs[kind], sealed)
	}
	for _, kind := range log.Kinds {
		if err := l.awaitCommit(ctx, kind, starts[kind]); err != nil {
			return err
		}
	}
	return nil
}

// startReplication starts the goroutines that write a log here and to the other replicas.
func (l *Leader) startReplication(ctx context.Context, progress *logProgress, sealed []sealResult) {
	go l.writeLocally(ctx, progress)
	for _, to := range l.Record.Replicas {
		if to.Node == l.options.Self {
			continue
		}
		var tail replica.Tail
		known := false
		for _, result := range sealed {
			if result.Err == nil && result.Target.Node == to.Node {
				tail, known = result.Value.Tails[progress.kind], true
			}
		}
		go l.replicate(ctx, progress, to, tail, known)
	}
}

// rebuildState brings the state back: from the snapshot on disk, if there is one that can be read,
// the changelog behind it, and the ledger behind that.
func (l *Leader) rebuildState() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, ledger := l.logs[log.KindChangelog], l.logs[log.KindInput]
	restored, input, after := state.New(), uint64(0), changes.log.Base().Offset
	if snapshot, ok := l.options.Replica.Snapshot(l.Record.Partition); ok && snapshot.At.Offset <= changes.commit {
		// A snapshot only saves time: the changelog has all of one that can't be read.
		if unmarshaled, err := state.Unmarshal(snapshot.State); err == nil {
			restored, input, after = unmarshaled, snapshot.Input, snapshot.At.Offset
			l.recovery.Directory = true
		}
	}
	replayed := changes.log.Slice(after+1, changes.commit, allEntries, allEntries)
	input, err := changelog.Replay(restored, input, replayed)
	if err != nil {
		return err
	}
	l.recovery.Replayed = len(replayed)
	base := ledger.log.Base().Offset
	if input < base && base > 0 {
		return apierror.New(apierror.DiskDamaged,
			"the changelog of partition %d ends at input offset %d, the ledger begins after %d", l.Record.Partition, input, base)
	}
	restored.Input = input
	l.prunedTo = base
	restoreAnswers(restored, ledger.log, base, input)
	rest := ledger.log.Slice(input+1, ledger.commit, allEntries, allEntries)
	for _, entry := range rest {
		restored.Apply(entry)
	}
	l.recovery.Reprocessed, l.recovery.Keys = len(rest), restored.Size()
	l.state, l.savedInput = restored, input
	now := l.options.Clock.Now()
	for node, reader := range restored.Readers {
		l.readerProgress[node] = readerProgress{bootID: reader.BootID, lastHeard: now, lastMember: now}
	}
	return nil
}

// restoreAnswers restores what the changelog doesn't carry: the answers to calls in the ledger
// after one offset, up to another.
func restoreAnswers(restored *state.State, ledger *log.Log, after, to uint64) {
	for after < to {
		entries := ledger.Slice(after+1, to, maxBatchEntries, maxBatchBytes)
		if len(entries) == 0 {
			return
		}
		for _, entry := range entries {
			restored.RestoreAnswer(entry)
			after = entry.Offset
		}
	}
}
