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

// Message is a visitor's numbered message, which may stand under a key, or with Withdraw the withdrawal of what stands under that key.
// Of and Upto name a sender and its highest number that is withdrawn too, though it may not have come yet.
type Message struct {
	Client         string `json:"v"`
	Generation     uint64 `json:"g"`
	Topic          string `json:"t"`
	CallSeq        uint64 `json:"c"`
	Body           []byte `json:"b"`
	Live           bool   `json:"l,omitempty"`
	Configuration  uint64 `json:"d"`
	Key            string `json:"k,omitempty"`
	Withdraw       bool   `json:"w,omitempty"`
	WithdrawSender string `json:"f,omitempty"`
	WithdrawUpTo   uint64 `json:"u,omitempty"`
}

// Decision is the ledger's answer. That to a withdrawal names the offset of its mark, and says by Already whether the mark of an earlier one stood.
type Decision struct {
	Partition        int    `json:"p"`
	Epoch            uint64 `json:"e"`
	Offset           uint64 `json:"o"`
	Duplicate        bool   `json:"r,omitempty"`
	AlreadyWithdrawn bool   `json:"a,omitempty"`
}

func (o *Leader) ready() error {
	if o.stage == StageLost {
		return apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Record.Partition)
	}
	if o.stage == StageClosing {
		return apierror.New(apierror.ShuttingDown, "partition %d is being handed over", o.Record.Partition)
	}
	if n := o.near(); n < o.Record.Majority() {
		return apierror.New(apierror.NoPartitionLeader, "%d of %d copies of partition %d are members", n, len(o.Record.Replicas), o.Record.Partition)
	}
	if o.stage != StageOpen {
		return apierror.New(apierror.NotReady, "partition %d is being taken over at epoch %d", o.Record.Partition, o.Record.Epoch)
	}
	if err := o.d.CheckLease(); err != nil {
		return err
	}
	return nil
}

func (o *Leader) room() error {
	if t := o.tracks[log.KindLedger]; t.last.Offset-t.commit >= uint64(o.d.Backlog()) {
		return apierror.New(apierror.Overloaded, "%d entries of partition %d wait for a majority", t.last.Offset-t.commit, o.Record.Partition)
	}
	return nil
}

func (o *Leader) open() error {
	if err := o.ready(); err != nil {
		return err
	}
	return o.room()
}

func (o *Leader) near() int {
	n := 0
	for _, p := range o.Record.Replicas {
		if _, ok := o.d.Addr(p.Node); ok || p.Node == o.d.Self {
			n++
		}
	}
	return n
}

func (o *Leader) judge(q *Message) ruling {
	if err := q.check(); err != nil {
		return ruling{err: err}
	}
	e := q.entry()
	k, name := state.Key(q.Client, q.Topic), state.CallDigest(e.Type, e.Key, e.Digest)
	a := o.st.Accepted[k]
	f := o.front[k]
	last, gen := a.Last, a.Generation
	if f != nil {
		last, gen = max(last, f.last), max(gen, f.generation)
	}
	if q.Generation > 0 && q.Generation < gen {
		return ruling{err: apierror.New(apierror.TokenFenced, "attachment %d of %s sent on %s after %d", gen, q.Client, q.Topic, q.Generation)}
	}
	mark, basis, already := o.already(q)
	if q.CallSeq <= last {
		t, ok := a.Find(q.CallSeq)
		if !ok && f != nil {
			t, ok = state.Accepted{Recent: f.flight}.Find(q.CallSeq)
		}
		switch {
		case ok && t.Digest != name:
			return ruling{err: apierror.New(apierror.CallAltered, "call_seq %d was taken with another %s", q.CallSeq, differs[strings.HasPrefix(t.Digest, e.Digest)]).WithCurrent(last)}
		case ok:
			return ruling{taken: t, repeat: true}
		case q.Withdraw && o.st.Tombstones[state.Key(q.Topic, q.Key)].WrittenBy(q.Client, q.CallSeq):
			return ruling{taken: state.AcceptedCall{CallSeq: q.CallSeq, Offset: o.st.Tombstones[state.Key(q.Topic, q.Key)].Offset, Digest: name}, repeat: true}
		case already && q.CallSeq <= a.Floor:
			return ruling{taken: state.AcceptedCall{CallSeq: q.CallSeq, Offset: mark}, already: true, basis: basis}
		case q.CallSeq <= a.Floor:
			return ruling{err: apierror.New(apierror.CallForgotten, "call_seq %d may have been taken, the ledger no longer holds what %s sent up to %d", q.CallSeq, q.Client, a.Floor).WithCurrent(last)}
		default:
			return ruling{err: apierror.New(apierror.CallPassed, "call_seq %d was never taken, and %d was", q.CallSeq, last).WithCurrent(last)}
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
	e = o.tracks[log.KindLedger].push(e, o.Record.Epoch)
	t := state.AcceptedCall{CallSeq: q.CallSeq, Offset: e.Offset, Digest: name}
	f = o.ahead(k, q.CallSeq, e.Offset)
	f.generation = max(f.generation, q.Generation)
	f.flight = append(f.flight, t)
	if q.WithdrawSender != "" {
		o.ahead(state.Key(q.WithdrawSender, q.Topic), q.WithdrawUpTo, e.Offset)
	}
	o.noteKeyed(e)
	return ruling{taken: t, already: already}
}

// ahead notes that a visitor's calls on a topic came up to a number by an entry that is not on a majority yet.
func (o *Leader) ahead(k string, call, at uint64) *front {
	f := o.front[k]
	if f == nil {
		f = &front{}
		o.front[k] = f
	}
	f.last, f.at = max(f.last, call), at
	return f
}

func (o *Leader) landed(e log.Entry) {
	switch e.Type {
	case log.TypeMessage:
		o.tally.Accepted++
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
func (o *Leader) pass(visitor string, e log.Entry) {
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

func (o *Leader) basis(k string) uint64 {
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
func (o *Leader) Submit(ctx context.Context, q *Message) (*Decision, error) {
	v := o.SubmitMany(ctx, []*Message{q})[0]
	if v.Err != nil {
		return nil, v.Err
	}
	return v.Decision, nil
}

// Attach records an attachment and answers with its generation, which fences all before. A given generation is that of
// the visitor's other home.
func (o *Leader) Attach(ctx context.Context, visitor, secret string, given uint64) (uint64, error) {
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
	e := o.tracks[log.KindLedger].push(log.Entry{Type: log.TypeAttach, Client: visitor, Generation: g, Body: []byte(secret)}, o.Record.Epoch)
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
func (o *Leader) isRepeated(visitor string, f *front, secret string) bool {
	t := o.st.Attachments[visitor]
	if f.generation > t.Generation {
		return f.secret == secret
	}
	return t.Generation > 0 && t.Secret == secret
}

// Attachment gives the attachment in force and the cursor that the visitor left, once a majority confirmed the epoch.
func (o *Leader) Attachment(ctx context.Context, visitor string) (state.Attachment, state.SavedCursor, error) {
	begun := o.d.Clock.Now()
	o.mu.Lock()
	if n := o.near(); n < o.Record.Majority() {
		o.mu.Unlock()
		return state.Attachment{}, state.SavedCursor{}, apierror.New(apierror.NoPartitionLeader, "%d of %d copies of partition %d are members", n, len(o.Record.Replicas), o.Record.Partition)
	}
	if o.stage != StageOpen && o.stage != StageClosing {
		st := o.stage
		o.mu.Unlock()
		return state.Attachment{}, state.SavedCursor{}, apierror.New(apierror.NotReady, "partition %d is %s", o.Record.Partition, st)
	}
	if err := o.d.CheckLease(); err != nil {
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

// SaveCursor records the cursor that a visitor leaves.
func (o *Leader) SaveCursor(ctx context.Context, visitor string, generation uint64, cursor string) error {
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
	e := o.tracks[log.KindLedger].push(log.Entry{Type: log.TypeCursor, Client: visitor, Generation: generation, Body: []byte(cursor)}, o.Record.Epoch)
	o.mu.Unlock()
	return o.await(ctx, log.KindLedger, e.Offset)
}

// Trace tells how far a visitor's calls on a topic have come, and where one of them stands if its answer is still kept.
func (o *Leader) Trace(ctx context.Context, visitor, topic string, call uint64) (a state.Accepted, at state.AcceptedCall, kept bool, err error) {
	o.mu.Lock()
	if o.stage != StageOpen && o.stage != StageClosing {
		st := o.stage
		o.mu.Unlock()
		return a, at, false, apierror.New(apierror.NotReady, "partition %d is %s", o.Record.Partition, st)
	}
	a = o.st.Accepted[state.Key(visitor, topic)]
	o.mu.Unlock()
	at, kept = a.Find(call)
	return a, at, kept, o.assure(ctx)
}

// TopicUsage is how a topic was used.
type TopicUsage struct {
	Topic    string `json:"t"`
	Messages uint64 `json:"m"`
	Senders  int    `json:"s"`
	Offset   uint64 `json:"o"`
}

// Usage tells how the partition's topics were used.
func (o *Leader) Usage() ([]TopicUsage, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage != StageOpen && o.stage != StageClosing {
		return nil, apierror.New(apierror.NotReady, "partition %d is %s", o.Record.Partition, o.stage)
	}
	var us []TopicUsage
	senders := o.st.Senders()
	for t, p := range o.st.Progress {
		us = append(us, TopicUsage{Topic: t, Messages: p.Count, Senders: senders[t], Offset: p.Offset})
	}
	return us, nil
}

// Close stops taking new work; what is under way is finished.
func (o *Leader) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage == StageOpen {
		o.stage = StageClosing
	}
}
