package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// Want is what a node follows of a partition: how many listen to each topic, 0 for a topic that it drops. It builds on the sequence
// Before unless it is Full; After asks for what a topic's line holds behind an offset. Brief asks for one message of that at most, as someone waits for the answer.
// Packs asks for bodies in one packed piece. Marks says that the node minds withdrawals; Done that it follows nothing here any more and has let go of all it held.
// Turn is what an earlier answer to this boot gave: nobody becomes a reader without it, or takes another run's place, as a task may come late from a run that is over.
type Want struct {
	Partition int               `json:"p"`
	Node      string            `json:"n"`
	Boot      string            `json:"b"`
	Before    uint64            `json:"f,omitempty"`
	Sequence  uint64            `json:"q"`
	Full      bool              `json:"u,omitempty"`
	Brief     bool              `json:"s,omitempty"`
	Topics    map[string]int    `json:"t,omitempty"`
	After     map[string]uint64 `json:"a,omitempty"`
	Packs     bool              `json:"z,omitempty"`
	Marks     bool              `json:"m,omitempty"`
	Done      bool              `json:"d,omitempty"`
	Turn      uint64            `json:"v,omitempty"`
}

// Told answers a Want: where the committed ledger ends, from when on all messages of the topics come by Poll, and what was asked for
// up to Upto. Lost says that the owner does not know what the Want builds on. Gone names topics of which something asked for is no longer held, with
// the offset of the last such message. Clean says that the node was given up as a reader: it must let go of all it holds of the partition and begin under another boot.
// Reader says that the node was noted as a reader, though it may have been given nothing with a key. Turn is to be told with what the node asks next.
type Told struct {
	Epoch  uint64            `json:"e"`
	Base   uint64            `json:"b"`
	Tail   uint64            `json:"t"`
	Upto   uint64            `json:"u"`
	Lost   bool              `json:"l,omitempty"`
	Clean  bool              `json:"c,omitempty"`
	Reader bool              `json:"r,omitempty"`
	Turn   uint64            `json:"v,omitempty"`
	Back   []log.Entry       `json:"n,omitempty"`
	Gone   map[string]uint64 `json:"g,omitempty"`
	// Packed holds the bodies where the asker packs.
	Packed *Packed `json:"z,omitempty"`
}

// PollRequest asks for committed messages of the followed topics after an offset.
type PollRequest struct {
	Partition int           `json:"p"`
	Node      string        `json:"n"`
	Boot      string        `json:"b"`
	Sequence  uint64        `json:"q"`
	From      uint64        `json:"f"`
	Hold      time.Duration `json:"h"`
	Packs     bool          `json:"z,omitempty"`
	Marks     bool          `json:"m,omitempty"`
	Turn      uint64        `json:"v,omitempty"`
}

// Polled gives them, up to an offset, among them all withdrawals of the partition where the node minds them. Gone names followed topics of which
// something after the offset asked for is no longer held. Clean, Reader and Turn are those of Told.
type Polled struct {
	Epoch   uint64            `json:"e"`
	Base    uint64            `json:"b"`
	To      uint64            `json:"t"`
	Lost    bool              `json:"l,omitempty"`
	Clean   bool              `json:"c,omitempty"`
	Reader  bool              `json:"r,omitempty"`
	Turn    uint64            `json:"v,omitempty"`
	Entries []log.Entry       `json:"n,omitempty"`
	Gone    map[string]uint64 `json:"g,omitempty"`
	// Packed holds the bodies where the asker packs.
	Packed *Packed `json:"z,omitempty"`
}

// fan is what a node follows. Polls counts those that it has under way here.
type fan struct {
	boot   string
	seq    uint64
	topics map[string]int
	until  time.Time
	polls  int
	// done tells that the node follows nothing any more: its polls are none.
	done bool
}

const (
	followBytes = 8 << 10
	pollBytes   = 64 << 10
	fanLag      = 1024
)

func (o *Owner) following() error {
	if o.stage != Open && o.stage != Closing {
		return apierror.New(apierror.NotReady, "partition %d is %s", o.Rec.Partition, o.stage)
	}
	return nil
}

func (o *Owner) known(node, boot string) *fan {
	f := o.fans[node]
	if f == nil || f.boot != boot {
		return nil
	}
	f.until = o.d.Clock.Now().Add(o.d.Bounds.Spread + o.d.Bounds.SessionTimeout())
	return f
}

// Follow notes what a node follows and gives what it missed. Where that begins with an entry under a key, it waits until it is on a majority that
// the node reads here.
func (o *Owner) Follow(ctx context.Context, q *Want) (*Told, error) {
	for {
		a, moved, err := o.follow(q)
		if moved == nil {
			return a, err
		}
		select {
		case <-moved:
		case <-o.lost:
			return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Rec.Partition)
		case <-ctx.Done():
			return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "following partition %d", o.Rec.Partition)
		}
	}
}

// follow gives the answer, or what to wait for before there is one.
func (o *Owner) follow(q *Want) (*Told, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.following(); err != nil {
		return nil, nil, err
	}
	o.hear(q.Node, q.Boot, 0)
	f := o.known(q.Node, q.Boot)
	reads, givenUp := o.reads(q.Node, q.Boot)
	turn, turned := o.turned(q.Node, q.Boot, q.Turn)
	late := !turned && !q.Done && o.displaces(q.Node, q.Boot)
	if givenUp && !q.Done || late || o.past(q.Node, q.Boot) || f != nil && q.Sequence <= f.seq || !q.Full && !q.Done && (f == nil || f.seq != q.Before) {
		return &Told{Epoch: o.Rec.Epoch, Lost: true, Clean: givenUp, Turn: turn}, nil, nil
	}
	if !q.Done {
		o.meet(q.Node, q.Boot)
	}
	t := o.tracks[log.KindLedger]
	a := &Told{Epoch: o.Rec.Epoch, Base: t.line.Base().Offset, Tail: t.commit, Upto: t.commit, Reader: o.noted(q.Node, q.Boot), Turn: turn}
	if q.Done {
		o.dismiss(q.Node, q.Boot)
	} else if len(q.After) > 0 {
		from := t.commit
		for _, at := range q.After {
			from = min(from, at)
		}
		most := followBytes
		if q.Brief {
			most = 0
		}
		short := false
		a.Back, a.Upto, short = o.gather(max(from, a.Base), most, asked{marks: q.Marks, reads: reads, want: func(e log.Entry) bool {
			at, ok := q.After[e.Topic]
			return ok && e.Offset > at
		}})
		if short && !turned {
			return &Told{Epoch: o.Rec.Epoch, Lost: true, Turn: turn}, nil, nil
		}
		if short {
			o.enlist(q.Node, q.Boot)
			a.Reader = true
		}
		if short && len(a.Back) == 0 {
			return nil, t.moved, nil
		}
		for n, at := range q.After {
			a.Gone = o.note(a.Gone, n, at)
		}
	}
	o.takeUp(q, f)
	return a, nil, nil
}

// takeUp notes what a node follows.
func (o *Owner) takeUp(q *Want, f *fan) {
	if o.fans == nil {
		o.fans = map[string]*fan{}
	}
	if f == nil {
		o.fans[q.Node] = &fan{boot: q.Boot}
		f = o.known(q.Node, q.Boot)
	}
	if q.Full || q.Done {
		f.topics = map[string]int{}
	}
	f.seq, f.done = q.Sequence, q.Done
	for t, n := range q.Topics {
		if n > 0 && !q.Done {
			f.topics[t] = n
		} else {
			delete(f.topics, t)
		}
	}
}

// lean leaves out of an entry what only those who hold copies need.
func lean(e log.Entry) log.Entry {
	e.Generation, e.Configuration, e.Digest, e.Chain = 0, 0, "", 0
	if e.Type == log.TypeWithdrawal {
		e.Body = nil
	}
	return e
}

// asked is what a node wants of the ledger: messages, with marks also those under keys and the withdrawals on their topics, with all every withdrawal.
// reads tells that it is on a majority that the node reads here.
type asked struct {
	want              func(log.Entry) bool
	marks, all, reads bool
}

// gather gives what is wanted after an offset and how far it came; short tells that it stopped before an entry under a key, which nobody is given who
// is not known to read here.
func (o *Owner) gather(from uint64, most int, q asked) (got []log.Entry, upto uint64, short bool) {
	t := o.tracks[log.KindLedger]
	bytes := 0
	for from < t.commit {
		es := t.after(from)
		if len(es) == 0 {
			break
		}
		for _, e := range es {
			if e.Offset > t.commit || bytes > most {
				return got, from, false
			}
			if o.gives(e, q) {
				if e.Key != "" && e.Type == log.TypeMessage && !q.reads {
					return got, from, true
				}
				got = append(got, lean(e))
				bytes += len(e.Body) + len(e.Topic) + len(e.Client) + len(e.Key)
			}
			from = e.Offset
		}
	}
	return got, from, false
}

func (o *Owner) gives(e log.Entry, q asked) bool {
	switch e.Type {
	case log.TypeMessage:
		return !e.BodyDropped && q.want(e) && (e.Key == "" || q.marks && !o.st.Covers(e))
	case log.TypeWithdrawal:
		return q.marks && (q.all || q.want(e))
	}
	return false
}

// Poll gives committed messages of the topics that a node follows, waiting for some up to the task's hold.
func (o *Owner) Poll(ctx context.Context, q *PollRequest) (*Polled, error) {
	var due <-chan struct{}
	var mine *fan
	defer func() { o.polled(ctx, mine) }()
	at := q.From
	for {
		o.mu.Lock()
		if err := o.following(); err != nil {
			o.mu.Unlock()
			return nil, err
		}
		o.hear(q.Node, q.Boot, q.From)
		reads, givenUp := o.reads(q.Node, q.Boot)
		f := o.known(q.Node, q.Boot)
		if f != nil && mine == nil {
			mine = f
			f.polls++
		}
		if givenUp || o.past(q.Node, q.Boot) || f == nil || f.done || f.seq < q.Sequence {
			o.mu.Unlock()
			return &Polled{Epoch: o.Rec.Epoch, Lost: true, Clean: givenUp}, nil
		}
		turn, turned := o.turned(q.Node, q.Boot, q.Turn)
		if !turned && o.displaces(q.Node, q.Boot) {
			base := o.tracks[log.KindLedger].line.Base().Offset
			o.mu.Unlock()
			return &Polled{Epoch: o.Rec.Epoch, Base: base, To: q.From, Turn: turn}, nil
		}
		o.meet(q.Node, q.Boot)
		t := o.tracks[log.KindLedger]
		a := &Polled{Epoch: o.Rec.Epoch, Base: t.line.Base().Offset, Reader: o.noted(q.Node, q.Boot), Turn: turn}
		short := false
		a.Entries, at, short = o.gather(max(at, a.Base), pollBytes, asked{marks: q.Marks, all: true, reads: reads, want: func(e log.Entry) bool { return f.topics[e.Topic] > 0 }})
		if short && turned {
			o.enlist(q.Node, q.Boot)
			a.Reader = true
		}
		if q.From < t.line.Base().Offset {
			for n := range f.topics {
				a.Gone = o.note(a.Gone, n, q.From)
			}
		}
		moved := t.moved
		o.mu.Unlock()
		a.To = at
		if len(a.Entries) > 0 || len(a.Gone) > 0 || at > q.From+fanLag || short && !turned {
			return a, nil
		}
		if due == nil {
			cx, stop := context.WithCancel(ctx)
			defer stop()
			due = o.due(cx, q.Hold)
		}
		select {
		case <-moved:
		case <-due:
			if ctx.Err() != nil {
				return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "following partition %d", o.Rec.Partition)
			}
			return a, nil
		case <-o.lost:
			return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Rec.Partition)
		}
	}
}

// polled ends a poll. One that broke off lets its node lapse soon, unless it polls again or does so already.
func (o *Owner) polled(ctx context.Context, f *fan) {
	if f == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f.polls--
	if ctx.Err() != nil && f.polls == 0 {
		f.until = o.d.Clock.Now().Add(2 * o.d.Bounds.MaxBackoff())
	}
}

// Listeners counts those who listen to a topic on any node.
func (o *Owner) Listeners(topic string) (int, error) {
	now := o.d.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.following(); err != nil {
		return 0, err
	}
	n := 0
	for k, f := range o.fans {
		if now.After(f.until) {
			delete(o.fans, k)
			continue
		}
		n += f.topics[topic]
	}
	return n, nil
}

// gone gives the offset of the last message of a topic that is no longer held, 0 for none.
func (o *Owner) gone(topic string) uint64 {
	if o.st == nil {
		return 0
	}
	return o.st.Progress[topic].Trimmed
}

// note adds a topic to those of which something after an offset is no longer held, if that is so.
func (o *Owner) note(g map[string]uint64, topic string, after uint64) map[string]uint64 {
	x := o.gone(topic)
	if x <= after {
		return g
	}
	if g == nil {
		g = map[string]uint64{}
	}
	g[topic] = x
	return g
}
