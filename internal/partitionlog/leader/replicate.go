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
	// next is the position behind which entries are sent; reset asks the replica to begin its log
	// there, and step is how far the last search for a common position went back.
	next  log.Position
	reset bool
	step  uint64
	// diskFull is set while the replica's disk has no space: it is asked to trim, without entries.
	diskFull bool
	// isMatched is set once the replica accepted a request, with the commit and the base of the
	// last one.
	isMatched    bool
	sharedCommit uint64
	sharedBase   log.Position
	sentAt       time.Time
	failures     int
}

// replicate keeps a log of another replica up to date until ctx ends or that replica has seen a
// higher epoch, which ends the leadership. With known, tail is where the replica's log ends.
func (l *Leader) replicate(
	ctx context.Context, progress *logProgress, to assignment.Replica, tail replica.Tail, known bool,
) {
	r := &replicator{leader: l, progress: progress, to: to}
	l.mu.Lock()
	r.next = progress.last
	l.mu.Unlock()
	if known {
		r.rewind(tail)
	}
	r.sentAt = l.options.Clock.Now()
	for ctx.Err() == nil {
		work := r.collect()
		address, isMember := l.options.Addr(to.Node)
		if len(work.entries) == 0 && r.isMatched && !r.diskFull && r.waited(ctx, work, address, isMember) {
			continue
		}
		if !isMember {
			r.backOff(ctx)
			continue
		}
		if err := r.send(ctx, work, address); isFenced(err) {
			l.lose(err)
			return
		}
	}
}

// replicationWork is what there is to send to a replica, and what is closed when there is more.
type replicationWork struct {
	entries   []log.Entry
	commit    uint64
	base      log.Position
	appended  <-chan struct{}
	committed <-chan struct{}
}

func (r *replicator) collect() replicationWork {
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

// waited waits until there is something new for the replica or a confirmation is due. It reports
// whether to look again before sending: a replica that the idle confirmer found to hold the same
// log needs no append of its own.
func (r *replicator) waited(ctx context.Context, work replicationWork, address string, isMember bool) bool {
	l := r.leader
	interval, committed := l.options.Timing.SessionTimeout(), work.committed
	if work.commit > r.sharedCommit && r.progress.kind == log.KindInput {
		interval, committed = l.options.Timing.HeartbeatInterval(), nil
	}
	if work.base != r.sharedBase {
		interval = l.options.Timing.HeartbeatInterval()
	}
	due := r.sentAt.Add(interval)
	if isMember && l.options.Idle != nil && work.commit == r.sharedCommit && work.base == r.sharedBase {
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
	left := due.Sub(l.options.Clock.Now())
	if left <= 0 {
		return false
	}
	clock.Wait(ctx, l.options.Clock, left, work.appended, committed)
	return true
}

// send sends one append request and takes its response in; after a failure it backs off. Its error
// is the replica's.
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

// advance notes that the replica holds what was sent, and commits what a majority holds now.
func (r *replicator) advance(work replicationWork) {
	if work.base.Offset <= r.next.Offset {
		r.sharedBase = work.base
	}
	r.isMatched, r.sharedCommit = true, work.commit
	r.reset, r.step, r.diskFull, r.failures = false, 0, false, 0
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

// rewind picks the next position to try with a replica whose log has the given tail: its end if
// this log has the same entry there, else further and further back; the base of this log, with a
// reset, where the two can't have one in common.
func (r *replicator) rewind(tail replica.Tail) {
	r.leader.mu.Lock()
	defer r.leader.mu.Unlock()
	base := r.progress.log.Base()
	if position, ok := r.progress.position(tail.Last.Offset); ok && position == tail.Last {
		r.next, r.reset = position, false
		return
	}
	floor := max(base.Offset, tail.Base.Offset)
	if tail.Last.Offset < base.Offset || r.step > 0 && r.next.Offset <= floor {
		r.next, r.reset = base, true
		return
	}
	r.step = max(1, r.step*2)
	to := min(tail.Last.Offset, r.next.Offset)
	if to > floor+r.step {
		to -= r.step
	} else {
		to = floor
	}
	if position, ok := r.progress.position(to); ok {
		r.next, r.reset = position, false
		return
	}
	r.next, r.reset = base, true
}
