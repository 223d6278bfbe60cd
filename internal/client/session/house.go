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

// Registry takes the visits of one node.
type Registry struct {
	Self       string
	Clock      clock.Clock
	Timing     settings.Timing
	Store      *gossip.Store
	Hub        *fanout.Hub
	Ledger     Ledger
	CheckLease func() error
	Draining   <-chan struct{}
	Members    func() []membership.Info
	Info       func() membership.Info
	BodyLimit  int

	ctx context.Context
	mu  sync.Mutex
	m   map[*Session]bool
	// held are the holders of answers, which outlast their visits.
	held map[Buffer]bool
	x    *configuration.Index
	// refuge deals out the nodes that take this node's visitors, nil while they may stay.
	refuge func() membership.Info

	spread spread
}

// Session is one visitor's stay on one connection. Its tasks are done one after another.
type Session struct {
	h    *Registry
	out  Sink
	name string
	mu   sync.Mutex
	subs map[string]*fanout.Subscription
	held Buffer
	gone bool
	away bool
}

const (
	topicsMost = 200
	nameMost   = 128
	topicMost  = 256
)

// Start makes the house ready; what its visits ask goes on as long as ctx.
func (h *Registry) Start(ctx context.Context) *Registry {
	h.ctx, h.m, h.held = ctx, map[*Session]bool{}, map[Buffer]bool{}
	if h.Hub != nil {
		h.Hub.AddBuffer(h)
	}
	return h
}

// Run ends subscriptions whose space was removed, and moves visits on when the node leaves, until ctx ends.
func (h *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ch := h.Store.Changed()
		h.refresh()
		select {
		case <-ch:
		case <-h.Draining:
			h.move()
			return
		case <-ctx.Done():
		}
	}
}

func (h *Registry) all() []*Session {
	h.mu.Lock()
	defer h.mu.Unlock()
	vs := make([]*Session, 0, len(h.m))
	for v := range h.m {
		vs = append(vs, v)
	}
	return vs
}

// Count is how many visits are here.
func (h *Registry) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.m)
}

func (h *Registry) refresh() {
	x := h.Store.Index()
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
			if s := v.sub(t); s == nil || err == nil && partition.Of(t, sp.Urgent, h.Store.VoterSet().Layout) == s.Partition() {
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
func (h *Registry) move() {
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
func (h *Registry) send(to []membership.Info) {
	if len(to) == 0 {
		return
	}
	next := deal(to)
	for _, v := range h.all() {
		v.out(Response{Type: Moved, Address: next().ClientAddr})
	}
}

// Redirect sends all visitors, and those who come later, to other nodes until it is called with none.
func (h *Registry) Redirect(to []membership.Info) {
	h.mu.Lock()
	h.refuge = nil
	if len(to) > 0 {
		h.refuge = deal(to)
	}
	h.mu.Unlock()
	h.send(to)
}

// away gives the address of a node that takes this node's visitors, none while they may stay.
func (h *Registry) away() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuge == nil {
		return ""
	}
	return h.refuge().ClientAddr
}

// CheckServing tells whether visitors may stay here.
func (h *Registry) CheckServing() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuge != nil {
		return apierror.New(apierror.NotReady, "this node does not reach those who decide, other nodes do")
	}
	return nil
}

// NewSession begins a visit. Answers go to out, which must not block.
func (h *Registry) NewSession(out Sink) *Session {
	v := &Session{h: h, out: out, subs: map[string]*fanout.Subscription{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.m[v] = true
	return v
}

// AttachBuffer names what keeps the visit's answers; the function that it gives is called once nothing is kept there any more. It is called before the first task.
func (v *Session) AttachBuffer(x Buffer) func() {
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

func (h *Registry) holders() []Buffer {
	h.mu.Lock()
	defer h.mu.Unlock()
	xs := make([]Buffer, 0, len(h.held))
	for x := range h.held {
		xs = append(xs, x)
	}
	return xs
}

// Withdraw has all visits here let go of what withdrawals cover, also those that left the topic and those that ended.
func (h *Registry) Withdraw(p int, covered fanout.WithdrawnFunc) {
	for _, x := range h.holders() {
		x.Withdraw(p, covered)
	}
}

// Release has all visits here let go of messages of a partition that have keys.
func (h *Registry) Release(p int, cut bool) bool {
	all := true
	for _, x := range h.holders() {
		all = x.Release(p, cut) && all
	}
	return all
}

// End ends the visit: its topics are dropped; what it sent is still decided.
func (v *Session) End() {
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

func (v *Session) topics() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ts := make([]string, 0, len(v.subs))
	for t := range v.subs {
		ts = append(ts, t)
	}
	return ts
}

func (v *Session) sub(t string) *fanout.Subscription {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.subs[t]
}

// drop ends a subscription. One that has no answer yet gets err for it, if there is one.
func (v *Session) drop(t string, err error) {
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
		v.turn(Request{Verb: Subscribe, Topic: t}, err)
	}
}

// broken sends the visitor away to come back here with its cursors, as a topic that it has joined can't go on.
func (v *Session) broken(s *fanout.Subscription) {
	v.lost(s)
	v.mu.Lock()
	again := v.away
	v.away = true
	v.mu.Unlock()
	if !again {
		v.out(Response{Type: Moved, Address: v.h.Info().ClientAddr})
	}
}

var verbs = map[Verb]func(*Session, Request) error{
	Attach:      (*Session).attach,
	Subscribe:   (*Session).join,
	Unsubscribe: (*Session).leave,
	Send:        (*Session).send,
	Count:       (*Session).count,

	Withdraw: (*Session).withdraw,
	Heartbeat: func(v *Session, _ Request) error {
		v.out(Response{Type: Alive})
		return nil
	},
}

// Do does a task. It never waits for other nodes; the answer follows through out, maybe before Do returns.
func (v *Session) Do(t Request) {
	f, ok := verbs[t.Verb]
	if !ok {
		f = func(*Session, Request) error { return apierror.New(apierror.Malformed, "there is no verb %q", t.Verb) }
	}
	if err := f(v, t); err != nil {
		v.turn(t, err)
	}
}

func (v *Session) turn(t Request, err error) {
	v.out(Response{Type: Rejected, InReplyTo: t.Verb, Topic: t.Topic, CallSeq: t.CallSeq, Err: err})
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

func (v *Session) able() error {
	if v.name == "" {
		return apierror.New(apierror.TokenMissing, "attach first")
	}
	return v.h.able()
}

func (h *Registry) able() error {
	select {
	case <-h.Draining:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
	}
	return h.CheckLease()
}

func (v *Session) attach(t Request) error {
	if !plainName(t.Client, nameMost) {
		return apierror.New(apierror.Malformed, "a visitor's name must be 1 to %d printable bytes without spaces", nameMost)
	}
	if err := v.h.able(); err != nil {
		return err
	}
	if a := v.h.elsewhere(); a != "" {
		v.out(Response{Type: Moved, Address: a})
		return nil
	}
	v.name = t.Client
	v.out(Response{Type: Attached})
	return nil
}

func (v *Session) find(topic string) (configuration.Space, int, error) {
	if err := v.able(); err != nil {
		return configuration.Space{}, 0, err
	}
	if !plainName(topic, topicMost) {
		return configuration.Space{}, 0, apierror.New(apierror.Malformed, "a topic must be 1 to %d printable bytes without spaces", topicMost)
	}
	sp, err := v.h.Store.Index().Find(topic)
	if err != nil {
		return sp, 0, err
	}
	p := partition.Of(topic, sp.Urgent, v.h.Store.VoterSet().Layout)
	if p == partition.None {
		return sp, 0, apierror.New(apierror.NoPartitionLeader, "the fleet is not founded yet")
	}
	return sp, p, nil
}

func (v *Session) join(t Request) error {
	_, p, err := v.find(t.Topic)
	if err != nil {
		return err
	}
	fleet := v.h.Store.VoterSet().Fleet
	s := v.h.Hub.NewSubscription(p, t.Topic)
	if t.Cursor != "" {
		c, err := DecodeCursor(fleet, t.Cursor)
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
		v.out(Response{Type: Subscribed, Topic: t.Topic, Cursor: Cursor{p, at}.Encode(fleet)})
	}
	s.OnEntry = func(e log.Entry) {
		a := Response{Type: Message, Topic: e.Topic, Cursor: Cursor{p, e.Offset}.Encode(fleet), From: e.Client, CallSeq: e.CallSeq, Body: e.Body, Key: e.Key, Partition: p, Offset: e.Offset}
		if e.Type == log.TypeWithdrawal {
			a.Type, a.Body = Withdrawn, nil
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

func (h *Registry) topicsMost() int { return topicsMost }

// lost forgets a subscription that the hub has ended.
func (v *Session) lost(s *fanout.Subscription) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.subs[s.Topic] == s {
		delete(v.subs, s.Topic)
	}
}

func (v *Session) leave(t Request) error {
	v.drop(t.Topic, apierror.New(apierror.Overloaded, "%s was left before it could be taken up", t.Topic))
	v.out(Response{Type: Unsubscribed, Topic: t.Topic})
	return nil
}

func (v *Session) send(t Request) error {
	sp, p, err := v.find(t.Topic)
	if err != nil {
		return err
	}
	if t.CallSeq == 0 {
		return apierror.New(apierror.Malformed, "call_seq must be above 0")
	}
	if t.Key != "" {
		if err := v.h.keyed(t.Key); err != nil {
			return err
		}
	}
	if len(t.Body) > v.h.BodyLimit {
		return apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", len(t.Body), v.h.BodyLimit)
	}
	until := v.h.Clock.Now().Add(v.h.patience(sp))
	v.h.Ledger.SubmitAsync(v.h.ctx, p, &leader.Message{
		Client: v.name, Topic: t.Topic, CallSeq: t.CallSeq, Body: t.Body, Key: t.Key, Live: sp.Kind == configuration.KindLive, Configuration: v.h.Store.Index().Sequence,
	}, until, func(_ *leader.Decision, err error) {
		if err != nil {
			v.turn(t, err)
			return
		}
		v.out(Response{Type: Accepted, Topic: t.Topic, CallSeq: t.CallSeq})
	})
	return nil
}

const (
	patienceOf = 4
	patienceIn = 5
)

// patience is how long a message may wait for its decision: four fifths of its space's deadline.
func (h *Registry) patience(sp configuration.Space) time.Duration {
	d := h.Timing.CallTimeout()
	if sp.DeadlineMS > 0 {
		d = min(d, time.Duration(sp.DeadlineMS)*time.Millisecond)
	}
	return d * patienceOf / patienceIn
}

func (v *Session) count(t Request) error {
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
		v.out(Response{Type: Counted, Topic: t.Topic, Count: n})
	}()
	return nil
}
