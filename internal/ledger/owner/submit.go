package owner

import (
	"context"
	"time"

	"postjunction/internal/ledger/line"
	"postjunction/internal/problem"
	"postjunction/internal/samza/state"
)

type front struct {
	last       uint64
	generation uint64
	flight     []state.Taken
	at         uint64
}

// Task is a visitor's numbered message.
type Task struct {
	Visitor     string `json:"v"`
	Generation  uint64 `json:"g"`
	Topic       string `json:"t"`
	Call        uint64 `json:"c"`
	Body        []byte `json:"b"`
	Live        bool   `json:"l,omitempty"`
	Description uint64 `json:"d"`
}

// Decision is the ledger's answer.
type Decision struct {
	Partition int    `json:"p"`
	Epoch     uint64 `json:"e"`
	Offset    uint64 `json:"o"`
	Repeat    bool   `json:"r,omitempty"`
}

func (o *Owner) ready() error {
	if o.stage == Lost {
		return problem.New(problem.NotOwner, "partition %d was lost", o.Rec.Partition)
	}
	if o.stage == Closing {
		return problem.New(problem.Leaving, "partition %d is being handed over", o.Rec.Partition)
	}
	if n := o.near(); n < o.Rec.Majority() {
		return problem.New(problem.NoOwner, "%d of %d copies of partition %d are members", n, len(o.Rec.Replicas), o.Rec.Partition)
	}
	if o.stage != Open {
		return problem.New(problem.NotReady, "partition %d is being taken over at epoch %d", o.Rec.Partition, o.Rec.Epoch)
	}
	if err := o.d.Licensed(); err != nil {
		return err
	}
	if t := o.tracks[line.Ledger]; t.last.Offset-t.commit >= uint64(o.d.Backlog()) {
		return problem.New(problem.Overloaded, "%d entries of partition %d wait for a majority", t.last.Offset-t.commit, o.Rec.Partition)
	}
	return nil
}

func (o *Owner) near() int {
	n := 0
	for _, p := range o.Rec.Replicas {
		if _, ok := o.d.Addr(p.Node); ok || p.Node == o.d.Self {
			n++
		}
	}
	return n
}

func (o *Owner) judge(q *Task) (state.Taken, bool, error) {
	if err := o.ready(); err != nil {
		return state.Taken{}, false, err
	}
	k, dig := state.Key(q.Visitor, q.Topic), line.Digest(q.Body)
	a := o.st.Accepted[k]
	f := o.front[k]
	last, gen := a.Last, a.Generation
	if f != nil {
		last, gen = max(last, f.last), max(gen, f.generation)
	}
	if q.Generation < gen {
		return state.Taken{}, false, problem.New(problem.TokenFenced, "attachment %d of %s sent on %s after %d", gen, q.Visitor, q.Topic, q.Generation)
	}
	if q.Call > last+1 || q.Call == 0 {
		return state.Taken{}, false, problem.New(problem.CallGap, "call_seq %d does not follow %d", q.Call, last).At(last)
	}
	if q.Call <= last {
		t, ok := a.Find(q.Call)
		if !ok && f != nil {
			t, ok = state.Accepted{Recent: f.flight}.Find(q.Call)
		}
		if !ok {
			return state.Taken{}, false, problem.New(problem.CallForgotten, "call_seq %d was taken, as all up to %d were", q.Call, last).At(last)
		}
		if t.Digest != dig {
			return state.Taken{}, false, problem.New(problem.CallAltered, "call_seq %d was taken with another body", q.Call).At(last)
		}
		return t, true, nil
	}
	e := o.tracks[line.Ledger].push(line.Entry{What: line.Message, Topic: q.Topic, Visitor: q.Visitor, Call: q.Call, Generation: q.Generation, Description: q.Description, Live: q.Live, Body: q.Body}, o.Rec.Epoch)
	if f == nil {
		f = &front{}
		o.front[k] = f
	}
	t := state.Taken{Call: q.Call, Offset: e.Offset, Digest: dig}
	f.last, f.generation, f.at = q.Call, max(f.generation, q.Generation), e.Offset
	f.flight = append(f.flight, t)
	return t, false, nil
}

func (o *Owner) landed(e line.Entry) {
	if e.What != line.Message {
		return
	}
	o.tally.Taken++
	o.tally.Bytes += uint64(len(e.Body))
	k := state.Key(e.Visitor, e.Topic)
	f := o.front[k]
	if f == nil {
		return
	}
	for len(f.flight) > 0 && f.flight[0].Call <= e.Call {
		f.flight = f.flight[1:]
	}
	if len(f.flight) == 0 {
		delete(o.front, k)
	}
}

var (
	final = map[problem.Kind]bool{problem.CallAltered: true, problem.CallGap: true, problem.CallForgotten: true, problem.TokenFenced: true}
	told  = map[bool]string{false: "taken", true: "taken before"}
)

func (o *Owner) basis(k string) uint64 {
	at := uint64(0)
	if t := o.tracks[line.Ledger]; t != nil {
		at = t.commit
	}
	if f := o.front[k]; f != nil {
		at = max(at, f.at)
	}
	return at
}

// Submit decides on a message and answers once the decision is on a majority.
func (o *Owner) Submit(ctx context.Context, q *Task) (*Decision, error) {
	begun := o.d.Clock.Now()
	o.mu.Lock()
	t, rep, err := o.judge(q)
	if rep {
		o.tally.Repeats++
	}
	basis := o.basis(state.Key(q.Visitor, q.Topic))
	o.mu.Unlock()
	if k := problem.Of(err).Kind; err != nil && final[k] {
		if e := o.settled(ctx, basis); e != nil {
			return nil, e
		}
		o.say("no: "+string(k), begun)
	}
	if err != nil {
		return nil, err
	}
	if err := o.await(ctx, line.Ledger, t.Offset); err != nil {
		return nil, err
	}
	if rep {
		if err := o.assure(ctx); err != nil {
			return nil, err
		}
	}
	o.say(told[rep], begun)
	return &Decision{Partition: o.Rec.Partition, Epoch: o.Rec.Epoch, Offset: t.Offset, Repeat: rep}, nil
}

// Attach records an attachment and answers with its generation, which fences all before. A given generation is that of
// the visitor's other home.
func (o *Owner) Attach(ctx context.Context, visitor, secret string, given uint64) (uint64, error) {
	begun := o.d.Clock.Now()
	o.mu.Lock()
	if err := o.ready(); err != nil {
		o.mu.Unlock()
		return 0, err
	}
	k := state.Key(visitor, "")
	f := o.front[k]
	if f == nil {
		f = &front{}
		o.front[k] = f
	}
	last := max(o.st.Attached[visitor].Generation, f.generation)
	if given > 0 && given <= last {
		basis := o.basis(k)
		o.mu.Unlock()
		if err := o.settled(ctx, basis); err != nil {
			return 0, err
		}
		if given < last {
			return 0, problem.New(problem.TokenFenced, "attachment %d of %s took over from %d", last, visitor, given)
		}
		return given, nil
	}
	g := last + 1
	if given > 0 {
		g = given
	}
	f.generation = g
	e := o.tracks[line.Ledger].push(line.Entry{What: line.Attach, Visitor: visitor, Generation: g, Body: []byte(secret)}, o.Rec.Epoch)
	f.at = e.Offset
	o.mu.Unlock()
	if err := o.await(ctx, line.Ledger, e.Offset); err != nil {
		return 0, err
	}
	o.say("attached", begun)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.st.Attached[visitor].Generation >= f.generation && o.front[k] == f {
		delete(o.front, k)
	}
	return g, nil
}

// Attached gives the attachment in force and the cursor that the visitor left, once a majority confirmed the epoch.
func (o *Owner) Attached(ctx context.Context, visitor string) (state.Attached, state.Acked, error) {
	begun := o.d.Clock.Now()
	o.mu.Lock()
	if n := o.near(); n < o.Rec.Majority() {
		o.mu.Unlock()
		return state.Attached{}, state.Acked{}, problem.New(problem.NoOwner, "%d of %d copies of partition %d are members", n, len(o.Rec.Replicas), o.Rec.Partition)
	}
	if o.stage != Open && o.stage != Closing {
		st := o.stage
		o.mu.Unlock()
		return state.Attached{}, state.Acked{}, problem.New(problem.NotReady, "partition %d is %s", o.Rec.Partition, st)
	}
	if err := o.d.Licensed(); err != nil {
		o.mu.Unlock()
		return state.Attached{}, state.Acked{}, err
	}
	t, k := o.st.Attached[visitor], o.st.Acked[visitor]
	o.mu.Unlock()
	if err := o.assure(ctx); err != nil {
		return state.Attached{}, state.Acked{}, err
	}
	o.say("vouched", begun)
	return t, k, nil
}

// Ack records the cursor that a visitor leaves.
func (o *Owner) Ack(ctx context.Context, visitor string, generation uint64, cursor string) error {
	o.mu.Lock()
	if err := o.ready(); err != nil {
		o.mu.Unlock()
		return err
	}
	if g := o.st.Attached[visitor].Generation; generation < g {
		o.mu.Unlock()
		if err := o.assure(ctx); err != nil {
			return err
		}
		return problem.New(problem.TokenFenced, "attachment %d of %s is in force", g, visitor)
	}
	e := o.tracks[line.Ledger].push(line.Entry{What: line.Cursor, Visitor: visitor, Generation: generation, Body: []byte(cursor)}, o.Rec.Epoch)
	o.mu.Unlock()
	return o.await(ctx, line.Ledger, e.Offset)
}

// Trace tells how far a visitor's calls on a topic have come, and where one of them stands if its answer is still kept.
func (o *Owner) Trace(ctx context.Context, visitor, topic string, call uint64) (last uint64, at state.Taken, kept bool, err error) {
	o.mu.Lock()
	if o.stage != Open && o.stage != Closing {
		st := o.stage
		o.mu.Unlock()
		return 0, at, false, problem.New(problem.NotReady, "partition %d is %s", o.Rec.Partition, st)
	}
	a := o.st.Accepted[state.Key(visitor, topic)]
	o.mu.Unlock()
	at, kept = a.Find(call)
	return a.Last, at, kept, o.assure(ctx)
}

// Reading is a part of the committed ledger: entries after From, up to To.
type Reading struct {
	Base    uint64       `json:"base"`
	To      uint64       `json:"to"`
	Epoch   uint64       `json:"epoch"`
	Entries []line.Entry `json:"n,omitempty"`
}

const (
	readMost  = 512
	readBytes = 1 << 20
)

// Read gives committed entries after an offset, waiting for news up to hold.
// Offset ^0 asks only where the committed ledger ends.
func (o *Owner) Read(ctx context.Context, from uint64, hold time.Duration) (*Reading, error) {
	cx, stop := context.WithTimeout(ctx, hold)
	defer stop()
	for {
		o.mu.Lock()
		if o.stage != Open && o.stage != Closing {
			st := o.stage
			o.mu.Unlock()
			return nil, problem.New(problem.NotReady, "partition %d is %s", o.Rec.Partition, st)
		}
		t := o.tracks[line.Ledger]
		commit, moved := t.commit, t.moved
		o.mu.Unlock()
		r := &Reading{Base: t.line.Base().Offset, To: commit, Epoch: o.Rec.Epoch}
		if from == ^uint64(0) {
			return r, o.assure(ctx)
		}
		if commit > from {
			es := t.line.Slice(from+1, commit, readMost, readBytes)
			if n := len(es); n > 0 {
				r.Entries, r.To = es, es[n-1].Offset
				return r, nil
			}
			o.mu.Lock()
			es = t.after(from)
			o.mu.Unlock()
			for i, e := range es {
				if e.Offset > commit {
					es = es[:i]
					break
				}
			}
			if n := len(es); n > 0 {
				r.Entries, r.To = es, es[n-1].Offset
			}
			return r, nil
		}
		select {
		case <-moved:
		case <-o.lost:
			return nil, problem.New(problem.NotOwner, "partition %d was lost", o.Rec.Partition)
		case <-cx.Done():
			if ctx.Err() != nil {
				return nil, problem.Because(problem.Unreachable, ctx.Err(), "reading partition %d", o.Rec.Partition)
			}
			r.To = max(from, r.Base)
			return r, nil
		}
	}
}

// Use is how a topic was used.
type Use struct {
	Topic    string `json:"t"`
	Messages uint64 `json:"m"`
	Senders  int    `json:"s"`
	Offset   uint64 `json:"o"`
}

// Usage tells how the partition's topics were used.
func (o *Owner) Usage() ([]Use, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage != Open && o.stage != Closing {
		return nil, problem.New(problem.NotReady, "partition %d is %s", o.Rec.Partition, o.stage)
	}
	var us []Use
	senders := o.st.Senders()
	for t, p := range o.st.Progress {
		us = append(us, Use{Topic: t, Messages: p.Count, Senders: senders[t], Offset: p.Offset})
	}
	return us, nil
}

// Close stops taking new work; what is under way is finished.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage == Open {
		o.stage = Closing
	}
}
