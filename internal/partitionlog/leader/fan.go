package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// FollowRequest is what a node follows of a partition: how many listen to each topic, 0 for a topic that it drops. It builds on the sequence
// Before unless it is Full; After asks for what a topic's line holds behind an offset. Brief asks for one message of that at most, as someone waits for the answer.
// Packs asks for bodies in one packed piece. Marks says that the node minds withdrawals; Done that it follows nothing here any more and has let go of all it held.
// Turn is what an earlier answer to this boot gave: nobody becomes a reader without it, or takes another run's place, as a task may come late from a run that is over.
type FollowRequest struct {
	Partition        int               `json:"p"`
	Node             string            `json:"n"`
	BootID           string            `json:"b"`
	BaseSequence     uint64            `json:"f,omitempty"`
	Sequence         uint64            `json:"q"`
	Full             bool              `json:"u,omitempty"`
	FirstOnly        bool              `json:"s,omitempty"`
	Topics           map[string]int    `json:"t,omitempty"`
	After            map[string]uint64 `json:"a,omitempty"`
	Compress         bool              `json:"z,omitempty"`
	TracksTombstones bool              `json:"m,omitempty"`
	Finished         bool              `json:"d,omitempty"`
	ReaderToken      uint64            `json:"v,omitempty"`
}

// FollowResponse answers a Want: where the committed ledger ends, from when on all messages of the topics come by Poll, and what was asked for
// up to Upto. Lost says that the owner does not know what the Want builds on. Gone names topics of which something asked for is no longer held, with
// the offset of the last such message. Clean says that the node was given up as a reader: it must let go of all it holds of the partition and begin under another boot.
// Reader says that the node was noted as a reader, though it may have been given nothing with a key. Turn is to be told with what the node asks next.
type FollowResponse struct {
	Epoch           uint64            `json:"e"`
	Base            uint64            `json:"b"`
	CommittedEnd    uint64            `json:"t"`
	BacklogEnd      uint64            `json:"u"`
	UnknownFollower bool              `json:"l,omitempty"`
	MustReset       bool              `json:"c,omitempty"`
	IsReader        bool              `json:"r,omitempty"`
	ReaderToken     uint64            `json:"v,omitempty"`
	Backlog         []log.Entry       `json:"n,omitempty"`
	Trimmed         map[string]uint64 `json:"g,omitempty"`
	// Compressed holds the bodies where the asker packs.
	Compressed *CompressedBodies `json:"z,omitempty"`
}

// PollRequest asks for committed messages of the followed topics after an offset.
type PollRequest struct {
	Partition        int           `json:"p"`
	Node             string        `json:"n"`
	BootID           string        `json:"b"`
	Sequence         uint64        `json:"q"`
	From             uint64        `json:"f"`
	Hold             time.Duration `json:"h"`
	Compress         bool          `json:"z,omitempty"`
	TracksTombstones bool          `json:"m,omitempty"`
	ReaderToken      uint64        `json:"v,omitempty"`
}

// PollResponse gives them, up to an offset, among them all withdrawals of the partition where the node minds them. Gone names followed topics of which
// something after the offset asked for is no longer held. Clean, Reader and Turn are those of Told.
type PollResponse struct {
	Epoch           uint64            `json:"e"`
	Base            uint64            `json:"b"`
	To              uint64            `json:"t"`
	UnknownFollower bool              `json:"l,omitempty"`
	MustReset       bool              `json:"c,omitempty"`
	IsReader        bool              `json:"r,omitempty"`
	ReaderToken     uint64            `json:"v,omitempty"`
	Entries         []log.Entry       `json:"n,omitempty"`
	Trimmed         map[string]uint64 `json:"g,omitempty"`
	// Compressed holds the bodies where the asker packs.
	Compressed *CompressedBodies `json:"z,omitempty"`
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

func (o *Leader) following() error {
	if o.stage != StageOpen && o.stage != StageClosing {
		return apierror.New(apierror.NotReady, "partition %d is %s", o.Record.Partition, o.stage)
	}
	return nil
}

func (o *Leader) known(node, boot string) *fan {
	f := o.fans[node]
	if f == nil || f.boot != boot {
		return nil
	}
	f.until = o.d.Clock.Now().Add(o.d.Timing.Spread + o.d.Timing.SessionTimeout())
	return f
}

// Follow notes what a node follows and gives what it missed. Where that begins with an entry under a key, it waits until it is on a majority that
// the node reads here.
func (o *Leader) Follow(ctx context.Context, q *FollowRequest) (*FollowResponse, error) {
	for {
		a, moved, err := o.follow(q)
		if moved == nil {
			return a, err
		}
		select {
		case <-moved:
		case <-o.lost:
			return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Record.Partition)
		case <-ctx.Done():
			return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "following partition %d", o.Record.Partition)
		}
	}
}

// follow gives the answer, or what to wait for before there is one.
func (o *Leader) follow(q *FollowRequest) (*FollowResponse, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.following(); err != nil {
		return nil, nil, err
	}
	o.hear(q.Node, q.BootID, 0)
	f := o.known(q.Node, q.BootID)
	reads, givenUp := o.reads(q.Node, q.BootID)
	turn, turned := o.turned(q.Node, q.BootID, q.ReaderToken)
	late := !turned && !q.Finished && o.displaces(q.Node, q.BootID)
	if givenUp && !q.Finished || late || o.past(q.Node, q.BootID) || f != nil && q.Sequence <= f.seq || !q.Full && !q.Finished && (f == nil || f.seq != q.BaseSequence) {
		return &FollowResponse{Epoch: o.Record.Epoch, UnknownFollower: true, MustReset: givenUp, ReaderToken: turn}, nil, nil
	}
	if !q.Finished {
		o.meet(q.Node, q.BootID)
	}
	t := o.tracks[log.KindLedger]
	a := &FollowResponse{Epoch: o.Record.Epoch, Base: t.line.Base().Offset, CommittedEnd: t.commit, BacklogEnd: t.commit, IsReader: o.noted(q.Node, q.BootID), ReaderToken: turn}
	if q.Finished {
		o.dismiss(q.Node, q.BootID)
	} else if len(q.After) > 0 {
		from := t.commit
		for _, at := range q.After {
			from = min(from, at)
		}
		most := followBytes
		if q.FirstOnly {
			most = 0
		}
		short := false
		a.Backlog, a.BacklogEnd, short = o.gather(max(from, a.Base), most, asked{marks: q.TracksTombstones, reads: reads, want: func(e log.Entry) bool {
			at, ok := q.After[e.Topic]
			return ok && e.Offset > at
		}})
		if short && !turned {
			return &FollowResponse{Epoch: o.Record.Epoch, UnknownFollower: true, ReaderToken: turn}, nil, nil
		}
		if short {
			o.enlist(q.Node, q.BootID)
			a.IsReader = true
		}
		if short && len(a.Backlog) == 0 {
			return nil, t.moved, nil
		}
		for n, at := range q.After {
			a.Trimmed = o.note(a.Trimmed, n, at)
		}
	}
	o.takeUp(q, f)
	return a, nil, nil
}

// takeUp notes what a node follows.
func (o *Leader) takeUp(q *FollowRequest, f *fan) {
	if o.fans == nil {
		o.fans = map[string]*fan{}
	}
	if f == nil {
		o.fans[q.Node] = &fan{boot: q.BootID}
		f = o.known(q.Node, q.BootID)
	}
	if q.Full || q.Finished {
		f.topics = map[string]int{}
	}
	f.seq, f.done = q.Sequence, q.Finished
	for t, n := range q.Topics {
		if n > 0 && !q.Finished {
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
func (o *Leader) gather(from uint64, most int, q asked) (got []log.Entry, upto uint64, short bool) {
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

func (o *Leader) gives(e log.Entry, q asked) bool {
	switch e.Type {
	case log.TypeMessage:
		return !e.BodyDropped && q.want(e) && (e.Key == "" || q.marks && !o.st.Covers(e))
	case log.TypeWithdrawal:
		return q.marks && (q.all || q.want(e))
	}
	return false
}

// Poll gives committed messages of the topics that a node follows, waiting for some up to the task's hold.
func (o *Leader) Poll(ctx context.Context, q *PollRequest) (*PollResponse, error) {
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
		o.hear(q.Node, q.BootID, q.From)
		reads, givenUp := o.reads(q.Node, q.BootID)
		f := o.known(q.Node, q.BootID)
		if f != nil && mine == nil {
			mine = f
			f.polls++
		}
		if givenUp || o.past(q.Node, q.BootID) || f == nil || f.done || f.seq < q.Sequence {
			o.mu.Unlock()
			return &PollResponse{Epoch: o.Record.Epoch, UnknownFollower: true, MustReset: givenUp}, nil
		}
		turn, turned := o.turned(q.Node, q.BootID, q.ReaderToken)
		if !turned && o.displaces(q.Node, q.BootID) {
			base := o.tracks[log.KindLedger].line.Base().Offset
			o.mu.Unlock()
			return &PollResponse{Epoch: o.Record.Epoch, Base: base, To: q.From, ReaderToken: turn}, nil
		}
		o.meet(q.Node, q.BootID)
		t := o.tracks[log.KindLedger]
		a := &PollResponse{Epoch: o.Record.Epoch, Base: t.line.Base().Offset, IsReader: o.noted(q.Node, q.BootID), ReaderToken: turn}
		short := false
		a.Entries, at, short = o.gather(max(at, a.Base), pollBytes, asked{marks: q.TracksTombstones, all: true, reads: reads, want: func(e log.Entry) bool { return f.topics[e.Topic] > 0 }})
		if short && turned {
			o.enlist(q.Node, q.BootID)
			a.IsReader = true
		}
		if q.From < t.line.Base().Offset {
			for n := range f.topics {
				a.Trimmed = o.note(a.Trimmed, n, q.From)
			}
		}
		moved := t.moved
		o.mu.Unlock()
		a.To = at
		if len(a.Entries) > 0 || len(a.Trimmed) > 0 || at > q.From+fanLag || short && !turned {
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
				return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "following partition %d", o.Record.Partition)
			}
			return a, nil
		case <-o.lost:
			return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Record.Partition)
		}
	}
}

// polled ends a poll. One that broke off lets its node lapse soon, unless it polls again or does so already.
func (o *Leader) polled(ctx context.Context, f *fan) {
	if f == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f.polls--
	if ctx.Err() != nil && f.polls == 0 {
		f.until = o.d.Clock.Now().Add(2 * o.d.Timing.MaxBackoff())
	}
}

// Subscribers counts those who listen to a topic on any node.
func (o *Leader) Subscribers(topic string) (int, error) {
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
func (o *Leader) gone(topic string) uint64 {
	if o.st == nil {
		return 0
	}
	return o.st.Progress[topic].Trimmed
}

// note adds a topic to those of which something after an offset is no longer held, if that is so.
func (o *Leader) note(g map[string]uint64, topic string, after uint64) map[string]uint64 {
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
