package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/idle"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
)

// replicator keeps one log of one other replica up to date. One goroutine runs it and owns its
// fields.
type replicator struct {
	leader   *Leader
	progress *logProgress
	to       assignment.Replica
	// next is the position after which entries are sent. reset asks the replica to begin its log
	// there. searchStep is how far the last search for a common position went back.
	next       log.Position
	reset      bool
	searchStep uint64
	// diskFull is set while the replica's disk has no space. The replica is then asked to trim,
	// without entries.
	diskFull bool
	// isMatched is set once the replica has accepted a request. sentCommit and sentBase are the
	// commit and the base of the last accepted request.
	isMatched  bool
	sentCommit uint64
	sentBase   log.Position
	sentAt     time.Time
	failures   int
}

// replicate keeps a log of another replica up to date until ctx ends or that replica has seen a
// higher epoch, which ends the leadership. If isTailKnown is set, tail is where the replica's log
// ends.
func (l *Leader) replicate(
	ctx context.Context, progress *logProgress, to assignment.Replica, tail replica.Tail, isTailKnown bool,
) {
	r := &replicator{leader: l, progress: progress, to: to}
	l.mu.Lock()
	r.next = progress.last
	l.mu.Unlock()
	if isTailKnown {
		r.rewind(tail)
	}
	r.sentAt = l.options.Clock.Now()
	for ctx.Err() == nil {
		work := r.nextWork()
		address, isMember := l.options.Addr(to.Node)
		if len(work.entries) == 0 && r.isMatched && !r.diskFull && r.awaitWork(ctx, work, address, isMember) {
			continue
		}
		if !isMember {
			r.backOff(ctx)
			continue
		}
		if err := r.send(ctx, work, address); isFenced(err) {
			l.loseLeadership(err)
			return
		}
	}
}

// replicationWork is what there is to send to a replica, and the channels that are closed when
// there is more.
type replicationWork struct {
	entries   []log.Entry
	commit    uint64
	base      log.Position
	appended  <-chan struct{}
	committed <-chan struct{}
}

func (r *replicator) nextWork() replicationWork {
	l, progress := r.leader, r.progress
	l.mu.Lock()
	defer l.mu.Unlock()
	work := replicationWork{
		entries:   progress.entriesAfter(r.next.Offset),
		commit:    progress.commit,
		base:      l.trimTo[progress.kind],
		appended:  progress.appended,
		committed: progress.committed,
	}
	if r.diskFull && !r.reset {
		work.entries = nil
	}
	return work
}

// awaitWork waits until there is something new for the replica or a confirmation is due. It reports
// whether to look again before sending: if the idle confirmer found the same log on the replica, no
// append is needed.
func (r *replicator) awaitWork(ctx context.Context, work replicationWork, address string, isMember bool) bool {
	l := r.leader
	interval, committed := l.options.Timing.SessionTimeout(), work.committed
	if work.commit > r.sentCommit && r.progress.kind == log.KindInput {
		interval, committed = l.options.Timing.HeartbeatInterval(), nil
	}
	if work.base != r.sentBase {
		interval = l.options.Timing.HeartbeatInterval()
	}
	due := r.sentAt.Add(interval)
	if isMember && l.options.Idle != nil && work.commit == r.sentCommit && work.base == r.sentBase {
		disk := idle.Disk{Addr: address, Incarnation: r.to.Incarnation}
		idleLog := replica.IdleLog{
			Partition: l.Record.Partition, Kind: r.progress.kind, Epoch: l.Record.Epoch, Last: r.next,
		}
		result := l.options.Idle.Wait(ctx, disk, idleLog, due, work.appended, committed)
		if result == idle.Identical {
			r.sentAt = l.options.Clock.Now()
		}
		return result != idle.Uncertain
	}
	remaining := due.Sub(l.options.Clock.Now())
	if remaining <= 0 {
		return false
	}
	clock.Wait(ctx, l.options.Clock, remaining, work.appended, committed)
	return true
}

// send sends one append request and applies its response. After a failure it backs off. Its error
// is that of the replica.
func (r *replicator) send(ctx context.Context, work replicationWork, address string) error {
	l := r.leader
	callCtx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout())
	response, err := replica.Append.Call(callCtx, l.options.Net, l.options.Self, address, &replica.AppendRequest{
		Target:  l.target(r.to),
		Kind:    r.progress.kind,
		After:   r.next,
		Entries: work.entries,
		Commit:  work.commit,
		Base:    work.base,
		Reset:   r.reset,
		Urgent:  l.Urgent,
	})
	cancel()
	r.sentAt = l.options.Clock.Now()
	if isFenced(err) {
		return err
	}
	if err != nil {
		if apierror.HasCode(err, apierror.LogMismatch) {
			r.reset = false
		}
		r.diskFull = apierror.HasCode(err, apierror.DiskFull)
		r.backOff(ctx)
		return err
	}
	if !response.Matched {
		r.rewind(response.Tail)
		return nil
	}
	r.advance(work)
	return nil
}

// advance records that the replica has what was sent, and commits what a majority has now.
func (r *replicator) advance(work replicationWork) {
	if work.base.Offset <= r.next.Offset {
		r.sentBase = work.base
	}
	r.isMatched, r.sentCommit = true, work.commit
	r.reset, r.searchStep, r.diskFull, r.failures = false, 0, false, 0
	if sent := len(work.entries); sent > 0 {
		r.next = work.entries[sent-1].Position()
	}
	l := r.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	match := r.progress.match
	match[r.to.Incarnation] = max(match[r.to.Incarnation], r.next.Offset)
	l.advanceCommit(r.progress)
}

func (r *replicator) backOff(ctx context.Context) {
	_ = r.leader.options.Clock.Sleep(ctx, r.leader.options.Timing.Backoff(r.failures))
	r.failures++
}

// rewind picks the next position to try with a replica whose log has the given tail. That is the
// end of the replica's log if the leader's log has the same entry there. Otherwise each call goes
// back further. If the two logs can't have an entry in common, it is the base of the leader's log,
// with a reset.
func (r *replicator) rewind(tail replica.Tail) {
	r.leader.mu.Lock()
	defer r.leader.mu.Unlock()
	base := r.progress.log.Base()
	if position, ok := r.progress.position(tail.Last.Offset); ok && position == tail.Last {
		r.next, r.reset = position, false
		return
	}
	floor := max(base.Offset, tail.Base.Offset)
	if tail.Last.Offset < base.Offset || r.searchStep > 0 && r.next.Offset <= floor {
		r.next, r.reset = base, true
		return
	}
	r.searchStep = max(1, r.searchStep*2)
	offset := min(tail.Last.Offset, r.next.Offset)
	if offset > floor+r.searchStep {
		offset -= r.searchStep
	} else {
		offset = floor
	}
	if position, ok := r.progress.position(offset); ok {
		r.next, r.reset = position, false
		return
	}
	r.next, r.reset = base, true
}
