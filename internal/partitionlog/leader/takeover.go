package leader

import (
	"context"
	"fmt"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/quorum"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
)

type sealed = quorum.Result[assignment.Replica, *replica.SealResponse]

func (o *Leader) takeOver(ctx context.Context) error {
	begun := o.d.Clock.Now()
	me, ok := o.Record.Replica(o.d.Self)
	if !ok || me.Incarnation != o.d.Replica.Incarnation() {
		return apierror.New(apierror.WrongDisk, "the record of partition %d names disk %q of this node", o.Record.Partition, me.Incarnation)
	}
	if s := o.d.Replica.Sealed(o.Record.Partition); s >= o.Record.Epoch {
		return apierror.New(apierror.StaleEpoch, "epoch %d was used before on this disk, sealed at %d", o.Record.Epoch, s)
	}
	var tails []sealed
	if err := o.insist(ctx, "seal", func() error {
		if _, err := o.d.Replica.Seal(ctx, &replica.SealRequest{Target: o.target(o.d.Self), Urgent: o.Urgent}); err != nil {
			return err
		}
		var err error
		tails, err = o.seal(ctx)
		return err
	}); err != nil {
		return err
	}
	for _, k := range log.Kinds {
		if err := o.insist(ctx, "adopt the "+string(k), func() error { return o.adopt(ctx, k, tails) }); err != nil {
			return err
		}
	}
	o.mu.Lock()
	for _, k := range log.Kinds {
		o.tracks[k] = newTrack(k, o.d.Replica.Log(o.Record.Partition, k))
		o.bases[k] = o.tracks[k].line.Base()
	}
	o.mu.Unlock()
	starts := map[log.Kind]uint64{}
	for _, k := range log.Kinds {
		var err error
		if starts[k], err = o.push(k, log.Entry{Type: log.TypeEpochStart}); err != nil {
			return err
		}
		o.spread(ctx, o.tracks[k], tails)
	}
	for _, k := range log.Kinds {
		if err := o.await(ctx, k, starts[k]); err != nil {
			return err
		}
	}
	if err := o.recover(); err != nil {
		return err
	}
	o.mu.Lock()
	if o.stage == StageRecovering {
		o.stage = StageOpen
	}
	o.how.Duration = o.d.Clock.Now().Sub(begun)
	how := o.how
	o.mu.Unlock()
	o.d.Observer.Opened(o.Record.Partition, o.Record.Epoch, how)
	o.say("open", begun)
	go o.d.OnRecovered(ctx, o.Record)
	return nil
}

func (o *Leader) insist(ctx context.Context, step string, f func() error) error {
	for try := 0; ; try++ {
		err := f()
		if err == nil || o.fenced(err) {
			return err
		}
		if ctx.Err() != nil {
			return apierror.WithCause(apierror.Stopped, ctx.Err(), "taking over partition %d", o.Record.Partition)
		}
		o.d.Observer.StepFailed(o.Record.Partition, o.Record.Epoch, step, err)
		_ = o.d.Clock.Sleep(ctx, o.d.Timing.Backoff(try))
	}
}

func (o *Leader) spread(ctx context.Context, t *track, tails []sealed) {
	go o.writer(ctx, t)
	for _, p := range o.Record.Replicas {
		if p.Node == o.d.Self {
			continue
		}
		var tail replica.Tail
		known := false
		for _, s := range tails {
			if s.Err == nil && s.Target.Node == p.Node {
				tail, known = s.Value.Tails[t.kind], true
			}
		}
		go o.replicate(ctx, t, p, tail, known)
	}
}

func (o *Leader) seal(ctx context.Context) ([]sealed, error) {
	cx, stop := context.WithTimeout(ctx, o.d.Timing.CallTimeout())
	defer stop()
	as := quorum.Gather(cx, o.Record.Replicas, func(ctx context.Context, p assignment.Replica) (*replica.SealResponse, error) {
		q := &replica.SealRequest{Target: o.target(p.Node), Urgent: o.Urgent}
		if p.Node == o.d.Self {
			return o.d.Replica.Seal(ctx, q)
		}
		a, ok := o.d.Addr(p.Node)
		if !ok {
			return nil, apierror.New(apierror.Unreachable, "%s is not a member", p.Node)
		}
		return replica.Seal.Call(ctx, o.d.Net, o.d.Self, a, q)
	}, func(as []sealed) bool { return len(quorum.Successes(as)) >= o.Record.Majority() })
	for _, a := range as {
		if o.fenced(a.Err) {
			return nil, a.Err
		}
	}
	if n := len(quorum.Successes(as)); n < o.Record.Majority() {
		return nil, apierror.WithCause(apierror.NoMajority, quorum.FirstError(as), "%d of %d replicas were sealed", n, len(o.Record.Replicas))
	}
	return quorum.Successes(as), nil
}

const fetchMost = 512

func (o *Leader) fetch(ctx context.Context, node string, k log.Kind, from uint64, most int) (*replica.FetchResponse, error) {
	p, _ := o.Record.Replica(node)
	a, ok := o.d.Addr(node)
	if !ok {
		return nil, apierror.New(apierror.Unreachable, "%s is not a member", node)
	}
	cx, stop := context.WithTimeout(ctx, o.d.Timing.CallTimeout())
	defer stop()
	return replica.Fetch.Call(cx, o.d.Net, o.d.Self, a, &replica.FetchRequest{Partition: o.Record.Partition, Incarnation: p.Incarnation, Kind: k, From: from, Limit: most})
}

func (o *Leader) adopt(ctx context.Context, k log.Kind, tails []sealed) error {
	best := o.d.Self
	l := o.d.Replica.Log(o.Record.Partition, k)
	top := l.Last()
	for _, s := range tails {
		if t := s.Value.Tails[k].Last; top.Less(t) {
			best, top = s.Target.Node, t
		}
	}
	o.mu.Lock()
	o.how.Tails += fmt.Sprintf("%s from %s:", k, best)
	for _, s := range tails {
		t := s.Value.Tails[k].Last
		o.how.Tails += fmt.Sprintf(" %s %d/%d", s.Target.Node, t.Epoch, t.Offset)
	}
	o.how.Tails += "; "
	o.mu.Unlock()
	if best == o.d.Self {
		return nil
	}
	at, reset, err := o.common(ctx, best, k, l)
	if err != nil {
		return err
	}
	for at != top {
		f, err := o.fetch(ctx, best, k, at.Offset+1, fetchMost)
		if err != nil {
			return err
		}
		if len(f.Entries) == 0 || f.Tail.Last.Less(top) {
			return apierror.New(apierror.LogMismatch, "%s ends at %d, short of %d", best, f.Tail.Last.Offset, top.Offset)
		}
		a, err := o.d.Replica.Append(ctx, &replica.AppendRequest{Target: o.target(o.d.Self), Kind: k, After: at, Entries: f.Entries, Reset: reset, Urgent: o.Urgent})
		if err != nil {
			return err
		}
		if !a.Matched {
			return apierror.New(apierror.LogMismatch, "the own line does not hold %d", at.Offset)
		}
		o.mu.Lock()
		o.how.Fetched += len(f.Entries)
		o.mu.Unlock()
		at, reset = a.Tail.Last, false
	}
	if l := o.d.Replica.Log(o.Record.Partition, k); l.Last().Offset > top.Offset {
		return o.d.Replica.TruncateAfter(ctx, o.target(o.d.Self), k, top.Offset, o.Urgent)
	}
	return nil
}

func (o *Leader) common(ctx context.Context, best string, k log.Kind, l *log.Log) (log.Position, bool, error) {
	f, err := o.fetch(ctx, best, k, l.Last().Offset+1, 1)
	if err != nil {
		return log.Position{}, false, err
	}
	same := func(at uint64) (bool, error) {
		mine, ok := l.Position(at)
		if !ok {
			return false, nil
		}
		g, err := o.fetch(ctx, best, k, at+1, 1)
		if err != nil {
			return false, err
		}
		return g.Before == mine, nil
	}
	lo := max(l.Base().Offset, f.Tail.Base.Offset)
	hi := min(l.Last().Offset, f.Tail.Last.Offset)
	if lo > hi {
		return f.Tail.Base, true, nil
	}
	ok, err := same(lo)
	if err != nil {
		return log.Position{}, false, err
	}
	if !ok {
		return f.Tail.Base, true, nil
	}
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if ok, err = same(mid); err != nil {
			return log.Position{}, false, err
		}
		if ok {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	p, _ := l.Position(lo)
	return p, false, nil
}

func (o *Leader) recover() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	cl, led := o.tracks[log.KindChangelog], o.tracks[log.KindLedger]
	st, input, from := state.New(), uint64(0), cl.line.Base().Offset
	if d, ok := o.d.Replica.Snapshot(o.Record.Partition); ok && d.At.Offset <= cl.commit {
		if s, err := state.Unmarshal(d.State); err == nil {
			st, input, from, o.how.Directory = s, d.Input, d.At.Offset, true
		}
	}
	es := cl.line.Slice(from+1, cl.commit, 1<<30, 1<<30)
	input, err := changelog.Replay(st, input, es)
	if err != nil {
		return err
	}
	o.how.Replayed = len(es)
	if b := led.line.Base().Offset; input < b && b > 0 {
		return apierror.New(apierror.DiskDamaged, "the changelog of partition %d ends at input offset %d, the ledger begins after %d", o.Record.Partition, input, b)
	}
	st.Input = input
	o.pruned = led.line.Base().Offset
	for at := o.pruned; at < input; {
		es := led.line.Slice(at+1, input, sendMost, sendBytes)
		if len(es) == 0 {
			break
		}
		for _, e := range es {
			st.RestoreAnswer(e)
			at = e.Offset
		}
	}
	todo := led.line.Slice(input+1, led.commit, 1<<30, 1<<30)
	for _, e := range todo {
		st.Apply(e)
	}
	o.how.Reprocessed, o.how.Keys = len(todo), st.Size()
	o.st, o.input = st, input
	now := o.d.Clock.Now()
	for n, r := range st.Readers {
		o.heard[n] = heard{boot: r.BootID, last: now, member: now}
	}
	return nil
}

const (
	compactAt   = 64
	compactOver = 4
)

func (o *Leader) tend(ctx context.Context) {
	for {
		cx, stop := context.WithCancel(ctx)
		due := make(chan struct{})
		go func() {
			_ = o.d.Clock.Sleep(cx, o.d.ChangelogInterval())
			close(due)
		}()
		var done chan struct{}
		select {
		case <-due:
		case done = <-o.flush:
		case <-ctx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return
		}
		to := o.forget()
		err := o.batch(ctx, done != nil)
		if err != nil && ctx.Err() == nil {
			o.d.Observer.StepFailed(o.Record.Partition, o.Record.Epoch, "write a changelog batch", err)
		}
		if done != nil {
			close(done)
		}
		if err == nil {
			o.trim(log.KindLedger, to)
		}
	}
}

// forget lets go of what stands up to the offset that it gives: the ledger drops that much once the state that says so is written down.
func (o *Leader) forget() uint64 {
	now := o.d.Clock.Now()
	l := o.tracks[log.KindLedger].line
	l.DropLiveBodies(now.Add(-o.d.Timing.Spread))
	old := l.LastBefore(now.Add(-o.d.Timing.RetentionFor(o.d.LongestRetention())))
	o.mu.Lock()
	defer o.mu.Unlock()
	for to := min(old, o.input); o.pruned < to; {
		es := l.Slice(o.pruned+1, to, sendMost, sendBytes)
		if len(es) == 0 {
			break
		}
		o.tally.Forgotten += uint64(o.st.Prune(es...))
		o.pruned = es[len(es)-1].Offset
	}
	o.release()
	o.abandon()
	return o.pruned
}

// Trimmed tells whether a message of a topic after an offset is no longer held. What is about to be dropped counts as gone.
func (o *Leader) Trimmed(topic string, from uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gone(topic) > from
}

func (o *Leader) batch(ctx context.Context, keep bool) error {
	o.mu.Lock()
	cl := o.tracks[log.KindChangelog]
	whole := cl.line.Len() > compactAt && cl.line.Len() > compactOver*(1+o.st.Size()/compactAt)
	if whole {
		o.st.MarkAllChanged()
	}
	input := o.st.Input
	if input == o.input && !whole && !keep && !o.st.Changed() {
		o.mu.Unlock()
		return nil
	}
	items := o.st.TakeChanges()
	var pack []byte
	if whole || keep {
		pack = o.st.Marshal()
	}
	before := cl.last.Offset
	o.tally.Batches++
	o.tally.Items += uint64(len(items))
	o.mu.Unlock()
	at, err := o.push(log.KindChangelog, changelog.EncodeBatch(input, items, whole)...)
	if err == nil && len(items) > 0 {
		err = o.await(ctx, log.KindChangelog, at)
	}
	if err != nil {
		return err
	}
	c := changelog.Commit{Input: input}
	if whole {
		c.Base = before
	}
	if at, err = o.push(log.KindChangelog, changelog.EncodeCommit(c)); err != nil {
		return err
	}
	if err := o.await(ctx, log.KindChangelog, at); err != nil {
		return err
	}
	o.mu.Lock()
	o.input = max(o.input, input)
	if whole {
		o.tally.Compactions++
	}
	p, _ := cl.point(at)
	o.mu.Unlock()
	if pack != nil {
		_ = o.d.Replica.SaveSnapshot(ctx, replica.Snapshot{Partition: o.Record.Partition, At: p, Input: input, State: pack})
	}
	if whole {
		o.trim(log.KindChangelog, before)
	}
	return nil
}

// Flush writes the changelog batch that is due and the state directory, before the partition is handed over.
func (o *Leader) Flush(ctx context.Context, limit time.Duration) {
	cx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	c := make(chan struct{})
	select {
	case o.flush <- c:
	case <-cx.Done():
		return
	case <-o.lost:
		return
	}
	select {
	case <-c:
	case <-cx.Done():
	case <-o.lost:
	}
}
