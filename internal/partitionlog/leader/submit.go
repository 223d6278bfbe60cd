package leader

import (
	"context"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

type front struct {
	last       uint64
	generation uint64
	secret     string
	flight     []state.AcceptedCall
	at         uint64
}

// Task is a visitor's numbered message, which may stand under a key, or with Withdraw the withdrawal of what stands under that key.
// Of and Upto name a sender and its highest number that is withdrawn too, though it may not have come yet.
type Task struct {
	Visitor     string `json:"v"`
	Generation  uint64 `json:"g"`
	Topic       string `json:"t"`
	Call        uint64 `json:"c"`
	Body        []byte `json:"b"`
	Live        bool   `json:"l,omitempty"`
	Description uint64 `json:"d"`
	Key         string `json:"k,omitempty"`
	Withdraw    bool   `json:"w,omitempty"`
	Of          string `json:"f,omitempty"`
	Upto        uint64 `json:"u,omitempty"`
}

// Decision is the ledger's answer. That to a withdrawal names the offset of its mark, and says by Already whether the mark of an earlier one stood.
type Decision struct {
	Partition int    `json:"p"`
	Epoch     uint64 `json:"e"`
	Offset    uint64 `json:"o"`
	Repeat    bool   `json:"r,omitempty"`
	Already   bool   `json:"a,omitempty"`
}

func (o *Owner) ready() error {
	if o.stage == Lost {
		return apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Rec.Partition)
	}
	if o.stage == Closing {
		return apierror.New(apierror.ShuttingDown, "partition %d is being handed over", o.Rec.Partition)
	}
	if n := o.near(); n < o.Rec.Majority() {
		return apierror.New(apierror.NoPartitionLeader, "%d of %d copies of partition %d are members", n, len(o.Rec.Replicas), o.Rec.Partition)
	}
	if o.stage != Open {
		return apierror.New(apierror.NotReady, "partition %d is being taken over at epoch %d", o.Rec.Partition, o.Rec.Epoch)
	}
	if err := o.d.Licensed(); err != nil {
		return err
	}
	return nil
}

func (o *Owner) room() error {
	if t := o.tracks[log.KindLedger]; t.last.Offset-t.commit >= uint64(o.d.Backlog()) {
		return apierror.New(apierror.Overloaded, "%d entries of partition %d wait for a majority", t.last.Offset-t.commit, o.Rec.Partition)
	}
	return nil
}

func (o *Owner) open() error {
	if err := o.ready(); err != nil {
		return err
	}
	return o.room()
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

func (o *Owner) judge(q *Task) ruling {
	if err := q.check(); err != nil {
		return ruling{err: err}
	}
	e := q.entry()
	k, name := state.Key(q.Visitor, q.Topic), state.CallDigest(e.Type, e.Key, e.Digest)
	a := o.st.Accepted[k]
	f := o.front[k]
	last, gen := a.Last, a.Generation
	if f != nil {
		last, gen = max(last, f.last), max(gen, f.generation)
	}
	if q.Generation > 0 && q.Generation < gen {
		return ruling{err: apierror.New(apierror.TokenFenced, "attachment %d of %s sent on %s after %d", gen, q.Visitor, q.Topic, q.Generation)}
	}
	mark, basis, already := o.already(q)
	if q.Call <= last {
		t, ok := a.Find(q.Call)
		if !ok && f != nil {
			t, ok = state.Accepted{Recent: f.flight}.Find(q.Call)
		}
		switch {
		case ok && t.Digest != name:
			return ruling{err: apierror.New(apierror.CallAltered, "call_seq %d was taken with another %s", q.Call, differs[strings.HasPrefix(t.Digest, e.Digest)]).WithCurrent(last)}
		case ok:
			return ruling{taken: t, repeat: true}
		case q.Withdraw && o.st.Tombstones[state.Key(q.Topic, q.Key)].WrittenBy(q.Visitor, q.Call):
			return ruling{taken: state.AcceptedCall{CallSeq: q.Call, Offset: o.st.Tombstones[state.Key(q.Topic, q.Key)].Offset, Digest: name}, repeat: true}
		case already && q.Call <= a.Floor:
			return ruling{taken: state.AcceptedCall{CallSeq: q.Call, Offset: mark}, already: true, basis: basis}
		case q.Call <= a.Floor:
			return ruling{err: apierror.New(apierror.CallForgotten, "call_seq %d may have been taken, the ledger no longer holds what %s sent up to %d", q.Call, q.Visitor, a.Floor).WithCurrent(last)}
		default:
			return ruling{err: apierror.New(apierror.CallPassed, "call_seq %d was never taken, and %d was", q.Call, last).WithCurrent(last)}
		}
	}
	if q.Withdraw && !already {
		if err := o.markable(q); err != nil {
			return ruling{err: err}
		}
	}
	if err := o.room(); err != nil {
		return ruling{err: err}
	}
	e = o.tracks[log.KindLedger].push(e, o.Rec.Epoch)
	t := state.AcceptedCall{CallSeq: q.Call, Offset: e.Offset, Digest: name}
	f = o.ahead(k, q.Call, e.Offset)
	f.generation = max(f.generation, q.Generation)
	f.flight = append(f.flight, t)
	if q.Of != "" {
		o.ahead(state.Key(q.Of, q.Topic), q.Upto, e.Offset)
	}
	o.noteKeyed(e)
	return ruling{taken: t, already: already}
}

// ahead notes that a visitor's calls on a topic came up to a number by an entry that is not on a majority yet.
func (o *Owner) ahead(k string, call, at uint64) *front {
	f := o.front[k]
	if f == nil {
		f = &front{}
		o.front[k] = f
	}
	f.last, f.at = max(f.last, call), at
	return f
}

func (o *Owner) landed(e log.Entry) {
	switch e.Type {
	case log.TypeMessage:
		o.tally.Taken++
		o.tally.Bytes += uint64(len(e.Body))
		o.pass(e.Client, e)
	case log.TypeWithdrawal:
		o.tally.Withdrawals++
		o.pass(e.Client, e)
		o.pass(state.DecodePart[state.SenderWithdrawal](e).Sender, e)
	case log.TypeReader:
		o.landedReader(e)
		return
	}
	o.landedKeyed(e)
}

// pass lets go of what was noted ahead of an entry that is on a majority now.
func (o *Owner) pass(visitor string, e log.Entry) {
	k := state.Key(visitor, e.Topic)
	f := o.front[k]
	if f == nil {
		return
	}
	for len(f.flight) > 0 && f.flight[0].Offset <= e.Offset {
		f.flight = f.flight[1:]
	}
	if len(f.flight) == 0 && f.at <= e.Offset {
		delete(o.front, k)
	}
}

var (
	// differs names what differs from a call that was taken, by whether the bodies are alike.
	differs = map[bool]string{false: "body", true: "key"}
	final   = map[apierror.Code]bool{apierror.CallAltered: true, apierror.CallPassed: true, apierror.CallForgotten: true, apierror.TokenFenced: true, apierror.KeyUnknown: true}
)

func (o *Owner) basis(k string) uint64 {
	at := uint64(0)
	if t := o.tracks[log.KindLedger]; t != nil {
		at = t.commit
	}
	if f := o.front[k]; f != nil {
		at = max(at, f.at)
	}
	return at
}

// Submit decides on a message and answers once the decision is on a majority.
func (o *Owner) Submit(ctx context.Context, q *Task) (*Decision, error) {
	v := o.SubmitMany(ctx, []*Task{q})[0]
	if v.Problem != nil {
		return nil, v.Problem
	}
	return v.Decision, nil
}

// Attach records an attachment and answers with its generation, which fences all before. A given generation is that of
// the visitor's other home.
func (o *Owner) Attach(ctx context.Context, visitor, secret string, given uint64) (uint64, error) {
	begun := o.d.Clock.Now()
	o.mu.Lock()
	if err := o.open(); err != nil {
		o.mu.Unlock()
		return 0, err
	}
	k := state.Key(visitor, "")
	f := o.front[k]
	if f == nil {
		f = &front{}
		o.front[k] = f
	}
	last := max(o.st.Attachments[visitor].Generation, f.generation)
	if given == 0 && o.isRepeated(visitor, f, secret) {
		given = last
	}
	if given > 0 && given <= last {
		basis := o.basis(k)
		o.mu.Unlock()
		if err := o.settled(ctx, basis); err != nil {
			return 0, err
		}
		if given < last {
			return 0, apierror.New(apierror.TokenFenced, "attachment %d of %s took over from %d", last, visitor, given)
		}
		return given, nil
	}
	g := last + 1
	if given > 0 {
		g = given
	}
	f.generation, f.secret = g, secret
	e := o.tracks[log.KindLedger].push(log.Entry{Type: log.TypeAttach, Client: visitor, Generation: g, Body: []byte(secret)}, o.Rec.Epoch)
	f.at = e.Offset
	o.mu.Unlock()
	if err := o.await(ctx, log.KindLedger, e.Offset); err != nil {
		return 0, err
	}
	o.say("attached", begun)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.st.Attachments[visitor].Generation >= f.generation && o.front[k] == f {
		delete(o.front, k)
	}
	return g, nil
}

// isRepeated tells whether the attachment that was taken last has the secret of this one: each attachment draws a secret of
// its own, so it is the same call again. The lock is held.
func (o *Owner) isRepeated(visitor string, f *front, secret string) bool {
	t := o.st.Attachments[visitor]
	if f.generation > t.Generation {
		return f.secret == secret
	}
	return t.Generation > 0 && t.Secret == secret
}

// Attached gives the attachment in force and the cursor that the visitor left, once a majority confirmed the epoch.
func (o *Owner) Attached(ctx context.Context, visitor string) (state.Attachment, state.SavedCursor, error) {
	begun := o.d.Clock.Now()
	o.mu.Lock()
	if n := o.near(); n < o.Rec.Majority() {
		o.mu.Unlock()
		return state.Attachment{}, state.SavedCursor{}, apierror.New(apierror.NoPartitionLeader, "%d of %d copies of partition %d are members", n, len(o.Rec.Replicas), o.Rec.Partition)
	}
	if o.stage != Open && o.stage != Closing {
		st := o.stage
		o.mu.Unlock()
		return state.Attachment{}, state.SavedCursor{}, apierror.New(apierror.NotReady, "partition %d is %s", o.Rec.Partition, st)
	}
	if err := o.d.Licensed(); err != nil {
		o.mu.Unlock()
		return state.Attachment{}, state.SavedCursor{}, err
	}
	t, k := o.st.Attachments[visitor], o.st.SavedCursors[visitor]
	o.mu.Unlock()
	if err := o.assure(ctx); err != nil {
		return state.Attachment{}, state.SavedCursor{}, err
	}
	o.say("vouched", begun)
	return t, k, nil
}

// Ack records the cursor that a visitor leaves.
func (o *Owner) Ack(ctx context.Context, visitor string, generation uint64, cursor string) error {
	o.mu.Lock()
	if err := o.open(); err != nil {
		o.mu.Unlock()
		return err
	}
	if g := o.st.Attachments[visitor].Generation; generation < g {
		o.mu.Unlock()
		if err := o.assure(ctx); err != nil {
			return err
		}
		return apierror.New(apierror.TokenFenced, "attachment %d of %s is in force", g, visitor)
	}
	e := o.tracks[log.KindLedger].push(log.Entry{Type: log.TypeCursor, Client: visitor, Generation: generation, Body: []byte(cursor)}, o.Rec.Epoch)
	o.mu.Unlock()
	return o.await(ctx, log.KindLedger, e.Offset)
}

// Trace tells how far a visitor's calls on a topic have come, and where one of them stands if its answer is still kept.
func (o *Owner) Trace(ctx context.Context, visitor, topic string, call uint64) (a state.Accepted, at state.AcceptedCall, kept bool, err error) {
	o.mu.Lock()
	if o.stage != Open && o.stage != Closing {
		st := o.stage
		o.mu.Unlock()
		return a, at, false, apierror.New(apierror.NotReady, "partition %d is %s", o.Rec.Partition, st)
	}
	a = o.st.Accepted[state.Key(visitor, topic)]
	o.mu.Unlock()
	at, kept = a.Find(call)
	return a, at, kept, o.assure(ctx)
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
		return nil, apierror.New(apierror.NotReady, "partition %d is %s", o.Rec.Partition, o.stage)
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
