package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/wire"
)

// SubmitManyRequest is messages of one partition, decided in their order.
type SubmitManyRequest struct {
	Partition int               `json:"p"`
	Messages  []*leader.Message `json:"t"`
}

// SubmitManyResponse gives a verdict for each message, in the same order.
type SubmitManyResponse struct {
	Outcomes []leader.Outcome `json:"v"`
}

// SubmitMany has a batch decided at the owner's node.
var SubmitMany = wire.NewProcedure[SubmitManyRequest, SubmitManyResponse]("Ledger", "SubmitMany", wire.Deduplicated, "each message has its number, which the owner remembers")

const (
	batchMost  = 256
	batchBytes = 512 << 10
)

type offer struct {
	ctx   context.Context
	q     *leader.Message
	since time.Time
	until time.Time
	done  func(*leader.Decision, error)
	doubt bool
	told  bool
}

func (o *offer) tell(a *leader.Decision, err error) {
	if !o.told {
		o.told = true
		o.done(a, err)
	}
}

func (o *offer) over(now time.Time) bool { return !o.until.After(now) || o.ctx.Err() != nil }

// lane is what one node hands over to one partition: one batch at a time, in the order offered. What stands below kick belongs to its goroutine.
type lane struct {
	mu      sync.Mutex
	wait    []*offer
	held    int
	running bool
	due     time.Time
	kick    chan struct{}

	seen  uint64
	news  time.Time
	hopes int
	hoped time.Time
	tries int
}

type lanes struct {
	mu sync.Mutex
	by map[int]*lane
}

func (ls *lanes) of(p int) *lane {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.by == nil {
		ls.by = map[int]*lane{}
	}
	l := ls.by[p]
	if l == nil {
		l = &lane{kick: make(chan struct{}, 1)}
		ls.by[p] = l
	}
	return l
}

// SubmitAsync has a message decided by its partition's owner and never waits: done hears the answer once, as soon as it is known and by until at the latest.
// What one node offers for a partition reaches the owner in the order offered. done must not block; when the backlog is full it hears so before SubmitAsync
// returns. no_owner and overloaded promise that the message never was and never will be taken by this offer; outcome_unknown promises nothing.
func (d *Router) SubmitAsync(ctx context.Context, p int, q *leader.Message, until time.Time, done func(*leader.Decision, error)) {
	l := d.lanes.of(p)
	o := &offer{ctx: ctx, q: q, since: d.Clock.Now(), until: until, done: done}
	l.mu.Lock()
	if n := len(l.wait) + l.held; d.Backlog != nil && n >= d.Backlog() {
		l.mu.Unlock()
		o.tell(nil, apierror.New(apierror.Overloaded, "%d messages wait here for partition %d", n, p))
		return
	}
	l.wait = append(l.wait, o)
	start, early := !l.running, l.due.IsZero() || until.Before(l.due)
	l.running = true
	l.mu.Unlock()
	if start {
		go d.drive(p, l)
	} else if early {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}

// next drops what is past its time and takes the next batch, or ends the lane.
func (l *lane) next(now time.Time) (batch, late []*offer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late = l.late(now)
	n, size := 0, 0
	for n < len(l.wait) && n < batchMost && (n == 0 || size+len(l.wait[n].q.Body) <= batchBytes) {
		size += len(l.wait[n].q.Body)
		n++
	}
	batch = slices.Clone(l.wait[:n])
	if l.wait = l.wait[n:]; len(l.wait) == 0 {
		l.wait = nil
	}
	l.held = n
	if n == 0 && len(late) == 0 {
		l.running = false
	}
	return batch, late
}

func (l *lane) late(now time.Time) []*offer {
	var late []*offer
	l.wait = slices.DeleteFunc(l.wait, func(o *offer) bool {
		if o.over(now) {
			late = append(late, o)
		}
		return o.over(now)
	})
	return late
}

// look finds what is past its time, in the batch under way and behind it, and when the next one will be.
func (l *lane) look(now time.Time, batch []*offer) (late []*offer, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late = l.late(now)
	for _, o := range l.wait {
		if due.IsZero() || o.until.Before(due) {
			due = o.until
		}
	}
	for _, o := range batch {
		if o.told {
			continue
		}
		if o.over(now) {
			o.doubt = true
			late = append(late, o)
		} else if due.IsZero() || o.until.Before(due) {
			due = o.until
		}
	}
	l.due = due
	return late, due
}

func (l *lane) back(os []*offer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wait = append(os, l.wait...)
	l.held = 0
}

func (d *Router) giveUp(p int, os []*offer, err error) {
	for _, o := range os {
		o.tell(nil, d.surrender(p, o.doubt, err))
	}
}

var tooLate = apierror.New(apierror.NoPartitionLeader, "the time of the message is over")

func (d *Router) drive(p int, l *lane) {
	for {
		ch := d.Store.Changed()
		r := d.Store.Record(p)
		begun := d.Clock.Now()
		if r.Version != l.seen || l.news.IsZero() {
			l.seen, l.news, l.hopes, l.tries = r.Version, begun, 0, 0
		}
		batch, late := l.next(begun)
		d.giveUp(p, late, tooLate)
		if len(batch) == 0 {
			if len(late) == 0 {
				return
			}
			continue
		}
		vs, err := d.attempt(p, l, r, batch)
		stay := d.answer(p, l, r, batch, vs, begun, err)
		l.back(stay)
		if len(stay) > 0 {
			d.rest(p, l, ch)
		}
	}
}

// attempt hands a batch over once, and meanwhile tells those whose time is over. What may have left this node for another is in doubt from then on,
// whatever comes back: an older copy of the batch may still be on its way.
func (d *Router) attempt(p int, l *lane, r assignment.Record, batch []*offer) ([]leader.Outcome, error) {
	type answer struct {
		a   *SubmitManyResponse
		err error
	}
	i, known := d.View.Get(r.Leader)
	switch {
	case r.Leader == "":
		return nil, apierror.New(apierror.NoPartitionLeader, "partition %d has no owner yet", p)
	case r.Leader != d.Self && !known:
		return nil, apierror.New(apierror.NoPartitionLeader, "the owner %s of partition %d is gone", r.Leader, p)
	}
	ctx, stop := context.WithTimeout(context.Background(), d.Timing.CallTimeout())
	defer stop()
	defer context.AfterFunc(d.reigns.of(d.Store, r), stop)()
	q := &SubmitManyRequest{Partition: p}
	doubts := make([]bool, len(batch))
	for i, o := range batch {
		q.Messages = append(q.Messages, o.q)
		doubts[i] = o.doubt
		o.doubt = o.doubt || r.Leader != d.Self
	}
	c := make(chan answer, 1)
	go func() {
		if r.Leader == d.Self {
			a, err := d.submitMany(ctx, q)
			c <- answer{a, err}
			return
		}
		a, err := SubmitMany.Call(ctx, d.Net, d.Self, i.PeerAddr, q)
		c <- answer{a, err}
	}()
	for {
		late, due := l.look(d.Clock.Now(), batch)
		d.giveUp(p, late, tooLate)
		cx, end := context.Background(), func() {}
		if !due.IsZero() {
			cx, end = context.WithTimeout(cx, due.Sub(d.Clock.Now()))
		}
		select {
		case x := <-c:
			end()
			if errors.Is(x.err, syscall.ECONNREFUSED) {
				for i, o := range batch {
					o.doubt = doubts[i]
				}
			}
			if x.err == nil && len(x.a.Outcomes) != len(batch) {
				x.err = apierror.New(apierror.Unreachable, "%d verdicts on %d messages", len(x.a.Outcomes), len(batch))
			}
			if x.err != nil {
				return nil, x.err
			}
			return x.a.Outcomes, nil
		case <-l.kick:
		case <-cx.Done():
		}
		end()
	}
}

// answer tells what was decided and gives up what nobody can decide; it gives the rest, in order, to be tried again.
func (d *Router) answer(p int, l *lane, r assignment.Record, batch []*offer, vs []leader.Outcome, begun time.Time, err error) []*offer {
	now := d.Clock.Now()
	var stay []*offer
	var why []error
	for i, o := range batch {
		e := err
		if err == nil {
			if x := vs[i].Err; x != nil {
				e = x.WithRetryAfter(time.Duration(x.RetryAfterMS) * time.Millisecond)
			}
		}
		k := apierror.From(e).Code
		open := elsewhere[k] || k == apierror.NoPartitionLeader
		if err == nil && !open {
			l.hopes, l.tries = 0, 0
		}
		switch {
		case e == nil:
			o.tell(vs[i].Decision, nil)
		case open:
			o.doubt = o.doubt || unclear[k] && !errors.Is(e, syscall.ECONNREFUSED)
			if !o.told {
				stay, why = append(stay, o), append(why, e)
			}
		case o.doubt && !final[k]:
			o.tell(nil, apierror.Wrap(apierror.OutcomeUnknown, apierror.New(apierror.OutcomeUnknown, "%v", e), "partition %d", p))
		default:
			o.tell(nil, e)
		}
	}
	if len(stay) == 0 {
		return nil
	}
	k := apierror.From(why[0]).Code
	if looks[k] > 0 && (l.hopes == 0 || now.Sub(l.hoped) >= d.Timing.MaxBackoff()) {
		l.hopes++
		l.hoped = now
	}
	if d.Store.Record(p).Version != r.Version {
		return stay
	}
	all := looks[k] > 0 && l.hopes >= looks[k] || unclear[k] && now.Sub(begun) >= d.Timing.CallTimeout()
	var again []*offer
	for i, o := range stay {
		since := o.since
		if l.news.After(since) {
			since = l.news
		}
		if all || now.Sub(since) >= d.Timing.CallTimeout() {
			o.tell(nil, d.surrender(p, o.doubt, why[i]))
		} else {
			again = append(again, o)
		}
	}
	return again
}

// rest waits for news of the records or for the pause between two tries, and meanwhile tells those whose time is over.
func (d *Router) rest(p int, l *lane, ch <-chan struct{}) {
	pause := d.Timing.Backoff(l.tries)
	if left := d.Timing.MaxBackoff() - d.Clock.Now().Sub(l.hoped); l.hopes > 0 && left > 0 {
		pause = min(pause, left)
	}
	l.tries++
	ctx, stop := context.WithTimeout(context.Background(), pause)
	defer stop()
	for ctx.Err() == nil {
		late, due := l.look(d.Clock.Now(), nil)
		d.giveUp(p, late, tooLate)
		if due.IsZero() {
			return
		}
		cx, end := context.WithTimeout(ctx, due.Sub(d.Clock.Now()))
		select {
		case <-ch:
			end()
			return
		case <-l.kick:
		case <-cx.Done():
		}
		end()
	}
}

func (d *Router) submitMany(ctx context.Context, q *SubmitManyRequest) (*SubmitManyResponse, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	a := &SubmitManyResponse{Outcomes: make([]leader.Outcome, len(q.Messages))}
	var ts []*leader.Message
	var at []int
	for i, t := range q.Messages {
		if err := d.placed(t, q.Partition); err != nil {
			a.Outcomes[i].Err = apierror.From(err)
			continue
		}
		ts, at = append(ts, t), append(at, i)
	}
	for i, v := range o.SubmitMany(ctx, ts) {
		a.Outcomes[at[i]] = v
	}
	return a, nil
}

func (d *Router) placed(q *leader.Message, p int) error {
	at, err := d.place(q)
	if err == nil && at != p {
		err = apierror.New(apierror.NotPartitionLeader, "topic %s stands in partition %d, not %d", q.Topic, at, p)
	}
	return err
}
