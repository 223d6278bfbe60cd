package session

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// Ledger has messages decided and listeners counted, wherever the owner is.
type Ledger interface {
	SubmitAsync(ctx context.Context, p int, q *leader.Message, until time.Time, done func(*leader.Decision, error))
	Subscribers(ctx context.Context, p int, topic string) (int, error)
	PendingReaders(ctx context.Context, p int, offset uint64, hold time.Duration) (*leader.PendingReaders, error)
	// CheckKeysSupported gives a problem while some node's build knows no keys.
	CheckKeysSupported() error
}

// House takes the visits of one node.
type House struct {
	Self     string
	Clock    clock.Clock
	Bounds   settings.Timing
	Board    *gossip.Store
	Hub      *fanout.Hub
	Ledger   Ledger
	Licensed func() error
	Leaving  <-chan struct{}
	Members  func() []membership.Info
	Info     func() membership.Info
	Body     int

	ctx context.Context
	mu  sync.Mutex
	m   map[*Visit]bool
	// held are the holders of answers, which outlast their visits.
	held map[Holder]bool
	x    *configuration.Index
	// refuge deals out the nodes that take this node's visitors, nil while they may stay.
	refuge func() membership.Info

	spread spread
}

// Visit is one visitor's stay on one connection. Its tasks are done one after another.
type Visit struct {
	h    *House
	out  Out
	name string
	mu   sync.Mutex
	subs map[string]*fanout.Subscription
	held Holder
	gone bool
	away bool
}

const (
	topicsMost = 200
	nameMost   = 128
	topicMost  = 256
)

// Open makes the house ready; what its visits ask goes on as long as ctx.
func (h *House) Open(ctx context.Context) *House {
	h.ctx, h.m, h.held = ctx, map[*Visit]bool{}, map[Holder]bool{}
	if h.Hub != nil {
		h.Hub.AddBuffer(h)
	}
	return h
}

// Run ends subscriptions whose space was removed, and moves visits on when the node leaves, until ctx ends.
func (h *House) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ch := h.Board.Changed()
		h.refresh()
		select {
		case <-ch:
		case <-h.Leaving:
			h.move()
			return
		case <-ctx.Done():
		}
	}
}

func (h *House) all() []*Visit {
	h.mu.Lock()
	defer h.mu.Unlock()
	vs := make([]*Visit, 0, len(h.m))
	for v := range h.m {
		vs = append(vs, v)
	}
	return vs
}

// Count is how many visits are here.
func (h *House) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.m)
}

func (h *House) refresh() {
	x := h.Board.Index()
	h.mu.Lock()
	same := x.AgreesWith(h.x)
	h.x = x
	h.mu.Unlock()
	if same {
		return
	}
	for _, v := range h.all() {
		for _, t := range v.topics() {
			sp, err := x.Find(t)
			if s := v.sub(t); s == nil || err == nil && partition.Of(t, sp.Urgent, h.Board.VoterSet().Layout) == s.Partition() {
				continue
			}
			if err == nil {
				err = apierror.New(apierror.UnknownTopic, "%s is another topic now", t)
			}
			v.drop(t, err)
		}
	}
}

// move tells every visitor another node of its zone, spread over those that serve by their processor, or of any zone when there is none.
func (h *House) move() {
	me := h.Info()
	all := membership.Filter(h.Members(), func(i membership.Info) bool {
		return i.ClientAddr != "" && i.Name != me.Name && i.Stage == membership.Serving && !i.Deaf
	})
	to := membership.Filter(all, func(i membership.Info) bool { return i.Zone == me.Zone })
	if len(to) == 0 {
		to = all
	}
	h.send(to)
}

// send tells all visitors to go to other nodes, spread over them.
func (h *House) send(to []membership.Info) {
	if len(to) == 0 {
		return
	}
	next := deal(to)
	for _, v := range h.all() {
		v.out(Answer{What: Moved, Address: next().ClientAddr})
	}
}

// Away sends all visitors, and those who come later, to other nodes until it is called with none.
func (h *House) Away(to []membership.Info) {
	h.mu.Lock()
	h.refuge = nil
	if len(to) > 0 {
		h.refuge = deal(to)
	}
	h.mu.Unlock()
	h.send(to)
}

// away gives the address of a node that takes this node's visitors, none while they may stay.
func (h *House) away() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuge == nil {
		return ""
	}
	return h.refuge().ClientAddr
}

// Stays tells whether visitors may stay here.
func (h *House) Stays() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuge != nil {
		return apierror.New(apierror.NotReady, "this node does not reach those who decide, other nodes do")
	}
	return nil
}

// Enter begins a visit. Answers go to out, which must not block.
func (h *House) Enter(out Out) *Visit {
	v := &Visit{h: h, out: out, subs: map[string]*fanout.Subscription{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.m[v] = true
	return v
}

// Hold names what keeps the visit's answers; the function that it gives is called once nothing is kept there any more. It is called before the first task.
func (v *Visit) Hold(x Holder) func() {
	v.held = x
	v.h.mu.Lock()
	defer v.h.mu.Unlock()
	v.h.held[x] = true
	return func() {
		v.h.mu.Lock()
		defer v.h.mu.Unlock()
		delete(v.h.held, x)
	}
}

func (h *House) holders() []Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	xs := make([]Holder, 0, len(h.held))
	for x := range h.held {
		xs = append(xs, x)
	}
	return xs
}

// Withdraw has all visits here let go of what withdrawals cover, also those that left the topic and those that ended.
func (h *House) Withdraw(p int, covered fanout.WithdrawnFunc) {
	for _, x := range h.holders() {
		x.Withdraw(p, covered)
	}
}

// Release has all visits here let go of messages of a partition that have keys.
func (h *House) Release(p int, cut bool) bool {
	all := true
	for _, x := range h.holders() {
		all = x.Release(p, cut) && all
	}
	return all
}

// End ends the visit: its topics are dropped; what it sent is still decided.
func (v *Visit) End() {
	v.h.mu.Lock()
	delete(v.h.m, v)
	v.h.mu.Unlock()
	v.mu.Lock()
	v.gone = true
	v.mu.Unlock()
	for _, t := range v.topics() {
		v.drop(t, nil)
	}
}

func (v *Visit) topics() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ts := make([]string, 0, len(v.subs))
	for t := range v.subs {
		ts = append(ts, t)
	}
	return ts
}

func (v *Visit) sub(t string) *fanout.Subscription {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.subs[t]
}

// drop ends a subscription. One that has no answer yet gets err for it, if there is one.
func (v *Visit) drop(t string, err error) {
	v.mu.Lock()
	s := v.subs[t]
	delete(v.subs, t)
	v.mu.Unlock()
	if s == nil {
		return
	}
	answered := v.h.Hub.Unsubscribe(s)
	if v.held != nil {
		v.held.Drop(t)
	}
	if !answered && err != nil {
		v.turn(Task{Verb: Join, Topic: t}, err)
	}
}

// broken sends the visitor away to come back here with its cursors, as a topic that it has joined can't go on.
func (v *Visit) broken(s *fanout.Subscription) {
	v.lost(s)
	v.mu.Lock()
	again := v.away
	v.away = true
	v.mu.Unlock()
	if !again {
		v.out(Answer{What: Moved, Address: v.h.Info().ClientAddr})
	}
}

var verbs = map[Verb]func(*Visit, Task) error{
	Attach: (*Visit).attach,
	Join:   (*Visit).join,
	Leave:  (*Visit).leave,
	Send:   (*Visit).send,
	Count:  (*Visit).count,

	Withdraw: (*Visit).withdraw,
	Heartbeat: func(v *Visit, _ Task) error {
		v.out(Answer{What: Alive})
		return nil
	},
}

// Do does a task. It never waits for other nodes; the answer follows through out, maybe before Do returns.
func (v *Visit) Do(t Task) {
	f, ok := verbs[t.Verb]
	if !ok {
		f = func(*Visit, Task) error { return apierror.New(apierror.Malformed, "there is no verb %q", t.Verb) }
	}
	if err := f(v, t); err != nil {
		v.turn(t, err)
	}
}

func (v *Visit) turn(t Task, err error) {
	v.out(Answer{What: Turned, Re: t.Verb, Topic: t.Topic, Call: t.Call, Err: err})
}

func plainName(s string, most int) bool {
	if s == "" || len(s) > most {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func (v *Visit) able() error {
	if v.name == "" {
		return apierror.New(apierror.TokenMissing, "attach first")
	}
	return v.h.able()
}

func (h *House) able() error {
	select {
	case <-h.Leaving:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
	}
	return h.Licensed()
}

func (v *Visit) attach(t Task) error {
	if !plainName(t.Visitor, nameMost) {
		return apierror.New(apierror.Malformed, "a visitor's name must be 1 to %d printable bytes without spaces", nameMost)
	}
	if err := v.h.able(); err != nil {
		return err
	}
	if a := v.h.elsewhere(); a != "" {
		v.out(Answer{What: Moved, Address: a})
		return nil
	}
	v.name = t.Visitor
	v.out(Answer{What: Attached})
	return nil
}

func (v *Visit) find(topic string) (configuration.Space, int, error) {
	if err := v.able(); err != nil {
		return configuration.Space{}, 0, err
	}
	if !plainName(topic, topicMost) {
		return configuration.Space{}, 0, apierror.New(apierror.Malformed, "a topic must be 1 to %d printable bytes without spaces", topicMost)
	}
	sp, err := v.h.Board.Index().Find(topic)
	if err != nil {
		return sp, 0, err
	}
	p := partition.Of(topic, sp.Urgent, v.h.Board.VoterSet().Layout)
	if p == partition.None {
		return sp, 0, apierror.New(apierror.NoPartitionLeader, "the fleet is not founded yet")
	}
	return sp, p, nil
}

func (v *Visit) join(t Task) error {
	_, p, err := v.find(t.Topic)
	if err != nil {
		return err
	}
	fleet := v.h.Board.VoterSet().Fleet
	s := v.h.Hub.NewSubscription(p, t.Topic)
	if t.Cursor != "" {
		c, err := Unplace(fleet, t.Cursor)
		if err != nil {
			return err
		}
		if c.Partition != p {
			return apierror.New(apierror.CursorMalformed, "the cursor %.64q is not of %s", t.Cursor, t.Topic)
		}
		s.After = &c.Offset
	}
	s.OnOpen = func(at uint64, err error) {
		if err != nil {
			v.lost(s)
			v.turn(t, err)
			return
		}
		v.out(Answer{What: Joined, Topic: t.Topic, Cursor: Place{p, at}.Pack(fleet)})
	}
	s.OnEntry = func(e log.Entry) {
		a := Answer{What: Message, Topic: e.Topic, Cursor: Place{p, e.Offset}.Pack(fleet), From: e.Client, Call: e.CallSeq, Body: e.Body, Key: e.Key, Partition: p, Offset: e.Offset}
		if e.Type == log.TypeWithdrawal {
			a.What, a.Body = Withdrawn, nil
		}
		v.out(a)
	}
	s.OnBroken = func() { v.broken(s) }
	v.drop(t.Topic, apierror.New(apierror.Overloaded, "%s was asked for again", t.Topic))
	v.mu.Lock()
	if len(v.subs) >= v.h.topicsMost() {
		v.mu.Unlock()
		return apierror.New(apierror.Overloaded, "a visit takes up at most %d topics", v.h.topicsMost())
	}
	if v.gone {
		v.mu.Unlock()
		return nil
	}
	v.subs[t.Topic] = s
	v.mu.Unlock()
	v.h.Hub.Subscribe(s)
	return nil
}

func (h *House) topicsMost() int { return topicsMost }

// lost forgets a subscription that the hub has ended.
func (v *Visit) lost(s *fanout.Subscription) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.subs[s.Topic] == s {
		delete(v.subs, s.Topic)
	}
}

func (v *Visit) leave(t Task) error {
	v.drop(t.Topic, apierror.New(apierror.Overloaded, "%s was left before it could be taken up", t.Topic))
	v.out(Answer{What: Left, Topic: t.Topic})
	return nil
}

func (v *Visit) send(t Task) error {
	sp, p, err := v.find(t.Topic)
	if err != nil {
		return err
	}
	if t.Call == 0 {
		return apierror.New(apierror.Malformed, "call_seq must be above 0")
	}
	if t.Key != "" {
		if err := v.h.keyed(t.Key); err != nil {
			return err
		}
	}
	if len(t.Body) > v.h.Body {
		return apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", len(t.Body), v.h.Body)
	}
	until := v.h.Clock.Now().Add(v.h.patience(sp))
	v.h.Ledger.SubmitAsync(v.h.ctx, p, &leader.Message{
		Client: v.name, Topic: t.Topic, CallSeq: t.Call, Body: t.Body, Key: t.Key, Live: sp.Kind == configuration.KindLive, Configuration: v.h.Board.Index().Sequence,
	}, until, func(_ *leader.Decision, err error) {
		if err != nil {
			v.turn(t, err)
			return
		}
		v.out(Answer{What: Taken, Topic: t.Topic, Call: t.Call})
	})
	return nil
}

const (
	patienceOf = 4
	patienceIn = 5
)

// patience is how long a message may wait for its decision: four fifths of its space's deadline.
func (h *House) patience(sp configuration.Space) time.Duration {
	d := h.Bounds.CallTimeout()
	if sp.DeadlineMS > 0 {
		d = min(d, time.Duration(sp.DeadlineMS)*time.Millisecond)
	}
	return d * patienceOf / patienceIn
}

func (v *Visit) count(t Task) error {
	_, p, err := v.find(t.Topic)
	if err != nil {
		return err
	}
	go func() {
		n, err := v.h.Ledger.Subscribers(v.h.ctx, p, t.Topic)
		if err != nil {
			v.turn(t, err)
			return
		}
		v.out(Answer{What: Counted, Topic: t.Topic, Count: n})
	}()
	return nil
}
