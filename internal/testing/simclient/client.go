// Package simclient is a seeded stand-in for visitors on line sessions: it joins its topics with
// its cursors, sends, goes away and returns, and notes all it sees.
package simclient

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
)

// Line is one connection to a node. End is its closing by the visitor.
type Line interface {
	Do(t session.Request)
	End()
}

// Endpoint is a node that visitors can connect to. Enter gives nil when nobody answers there; hear
// gets all that comes with the moment at which the connection took its last byte, broken the end of
// the connection, if the visitor did not end it itself.
type Endpoint struct {
	Address string
	Connect func(hear func(a session.Response, shown time.Time), broken func()) Line
}

// Topic is something that a guest follows, from a cursor that another was given with a message, if
// there is one.
type Topic struct {
	Name        string
	Kept        bool
	Cursor      string
	LastMessage deliverycheck.Message
	Given       time.Time
}

// Lane is a topic that a guest sends on, with so many messages under way at once.
type Lane struct {
	Topic    string
	Window   int
	Interval time.Duration
}

// Habits are the times of a guest.
type Habits struct {
	// Keepalive is how long it is silent before it gives a sign of life.
	Keepalive time.Duration
	// ResponseTimeout is how long it waits for an answer to a send, SubscribeTimeout for one to a
	// join, and Deadline for the decision on a message.
	ResponseTimeout, SubscribeTimeout, Deadline time.Duration
	// ChangeInterval is how often it drops or takes up a topic, AwayInterval how often it leaves,
	// CountInterval how often it counts; 0 for never.
	ChangeInterval, AwayInterval, CountInterval time.Duration
	// MaxAbsence is the longest that it stays away.
	MaxAbsence time.Duration
	// KeyedFraction is the share of messages that stand under a key, one of Keys on a topic;
	// Withdraw is how often a guest withdraws on a lane, 0 for never, and Forget how long it asks
	// for the yes.
	KeyedFraction                     float64
	Keys                              int
	WithdrawInterval, WithdrawTimeout time.Duration
}

// Client is one visitor.
type Client struct {
	Name      string
	Endpoints func() []Endpoint
	Checker   *deliverycheck.Checker
	Follow    []Topic
	Lanes     []Lane
	Habits    Habits
	Rand      *rand.Rand
	// Calm tells whether the fleet has been undisturbed for a while.
	Calm func() bool
	// Saved gets cursors that others may take up later.
	Saved func(t Topic)

	mu     sync.Mutex
	inbox  []lineEvent
	notify chan struct{}

	line       Line
	serial     int
	up         bool
	begun      time.Time
	receivedAt time.Time
	shown      time.Time
	sentAt     time.Time
	back       time.Time
	to         string
	subs       []*subscription
	lanes      []*lane
	last       uint64
	shift      time.Time
	leave      time.Time
	tell       time.Time
	counted    map[string]time.Time
	seen       map[string]deliverycheck.Message
	sending    context.Context
}

type lineEvent struct {
	serial   int
	response session.Response
	shown    time.Time
	broken   bool
}

type state int

const (
	idle state = iota
	subscribing
	subscribed
	unsubscribing
	unsubscribed
)

type subscription struct {
	Topic
	wanted   bool
	state    state
	since    time.Time
	retry    time.Time
	cursor   string
	session  *deliverycheck.Session
	presence *deliverycheck.Presence
}

type lane struct {
	Lane
	next time.Time
	draw time.Time
	ms   []*message
}

type message struct {
	call  uint64
	body  string
	first time.Time
	asked time.Time
	retry time.Time
	fresh int
	out   bool
	key   string
	// draw is that of a withdrawal, and none of a message.
	draw *deliverycheck.Withdrawal
}

// Promises are the problems that say that a message was not taken and never will be.
var Promises = map[apierror.Code]bool{
	apierror.Overloaded: true, apierror.ShuttingDown: true, apierror.NoLease: true, apierror.NoPartitionLeader: true,
	apierror.CallPassed: true,
}

// Voids are the problems that say that nothing was withdrawn under a number and never will be.
var Voids = map[apierror.Code]bool{apierror.KeyUnknown: true, apierror.CallPassed: true}

const (
	tickOf   = 40
	upOf     = 2
	silent   = 2.5
	freshly  = 3
	bodyLeas = 20
	bodyMore = 400
	savedOf  = 40
	ofOthers = 4
	ahead    = 4
)

func (g *Client) span(d time.Duration) time.Duration {
	return time.Duration(g.Rand.Float64() * float64(d))
}

func (g *Client) later(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return now.Add(1 << 60)
	}
	return now.Add(d/2 + g.span(d))
}

func (g *Client) receive(h lineEvent) {
	g.mu.Lock()
	g.inbox = append(g.inbox, h)
	g.mu.Unlock()
	select {
	case g.notify <- struct{}{}:
	default:
	}
}

// Move has the guest's connection broken, as a reset would.
func (g *Client) Move() {
	g.mu.Lock()
	n := g.serial
	g.mu.Unlock()
	g.receive(lineEvent{serial: n, broken: true})
}

// Run goes on until ctx ends, and sends new messages until sends ends.
func (g *Client) Run(ctx, sends context.Context) {
	now := time.Now()
	g.notify, g.sending, g.counted, g.seen = make(chan struct{}, 1), sends, map[string]time.Time{}, map[string]deliverycheck.Message{}
	for _, t := range g.Follow {
		s := &subscription{Topic: t, wanted: true}
		if t.Cursor != "" {
			s.session, s.cursor = g.Checker.OpenLate(g.Name, t.LastMessage, t.Given), t.Cursor
		}
		g.subs = append(g.subs, s)
	}
	for _, l := range g.Lanes {
		g.lanes = append(g.lanes, &lane{Lane: l, next: g.later(now, l.Interval), draw: g.later(now, g.Habits.WithdrawInterval)})
	}
	g.back = now.Add(g.span(g.Habits.Keepalive / 2))
	g.shift, g.leave, g.tell = g.later(now, g.Habits.ChangeInterval), g.later(now, g.Habits.AwayInterval), g.later(now, g.Habits.CountInterval)
	tick := time.NewTicker(g.Habits.Keepalive / tickOf)
	defer tick.Stop()
	for {
		select {
		case <-g.notify:
		case <-tick.C:
		case <-ctx.Done():
			g.close(time.Now(), 0, false)
			return
		}
		g.mu.Lock()
		hs := g.inbox
		g.inbox = nil
		g.mu.Unlock()
		now := time.Now()
		for _, h := range hs {
			if h.serial != g.serial || g.line == nil {
				continue
			}
			if h.broken {
				g.close(now, g.Habits.Keepalive/2, false)
				continue
			}
			g.receivedAt, g.shown = now, h.shown
			if f, ok := takes[h.response.Type]; ok {
				f(g, now, h.response)
			} else {
				g.Checker.Violation(deliverycheck.Mixed, "%s got an answer %q", g.Name, h.response.Type)
			}
		}
		g.step(now)
	}
}

// close ends the connection and comes back within a time. A silent leave keeps the old one open for
// a while.
func (g *Client) close(now time.Time, within time.Duration, silently bool) {
	l := g.line
	if l == nil {
		return
	}
	g.line, g.up = nil, false
	if silently {
		d := g.span(3 * g.Habits.Keepalive)
		go func() {
			time.Sleep(d)
			l.End()
		}()
	} else {
		go l.End()
	}
	g.back = now.Add(g.span(within))
	for _, s := range g.subs {
		if s.presence != nil {
			s.presence.Gone(now)
			s.presence = nil
		}
		s.state = idle
		s.retry = time.Time{}
	}
	for _, l := range g.lanes {
		for _, m := range l.ms {
			m.out, m.retry = false, time.Time{}
		}
	}
	clear(g.counted)
}

func (g *Client) enter(now time.Time) {
	ds := g.Endpoints()
	d := ds[g.Rand.IntN(len(ds))]
	if i := slices.IndexFunc(ds, func(d Endpoint) bool { return d.Address == g.to }); i >= 0 {
		d = ds[i]
	}
	g.to = ""
	g.mu.Lock()
	g.serial++
	n := g.serial
	g.mu.Unlock()
	g.line = d.Connect(func(a session.Response, shown time.Time) { g.receive(lineEvent{serial: n, response: a, shown: shown}) }, func() { g.receive(lineEvent{serial: n, broken: true}) })
	if g.line == nil {
		g.back = now.Add(g.span(g.Habits.Keepalive / 2))
		return
	}
	g.begun, g.receivedAt, g.up = now, now, false
	g.send(now, session.Request{Verb: session.Attach, Client: g.Name})
}

func (g *Client) send(now time.Time, t session.Request) {
	g.sentAt = now
	g.line.Do(t)
}

func (g *Client) step(now time.Time) {
	if g.line == nil {
		if now.Before(g.back) && (g.sending.Err() == nil || g.back.Sub(now) < g.Habits.Keepalive) {
			return
		}
		if g.enter(now); g.line == nil {
			return
		}
	}
	h := g.Habits
	if !g.up {
		if now.Sub(g.begun) > h.Keepalive/upOf {
			g.close(now, h.Keepalive/2, false)
		}
		return
	}
	if now.Sub(g.receivedAt) > time.Duration(silent*float64(h.Keepalive)) {
		g.close(now, h.Keepalive/2, false)
		return
	}
	stays := g.sending.Err() != nil
	if now.After(g.leave) && !stays {
		g.leave = g.later(now, h.AwayInterval)
		g.close(now, 0, g.Rand.IntN(2) == 0)
		g.back = now.Add(g.span(h.MaxAbsence))
		return
	}
	if now.After(g.shift) && !stays {
		g.shift = g.later(now, h.ChangeInterval)
		s := g.subs[g.Rand.IntN(len(g.subs))]
		s.wanted = !s.wanted
	}
	if now.After(g.tell) {
		g.tell = g.later(now, h.CountInterval)
		t := g.subs[g.Rand.IntN(len(g.subs))].Name
		if _, ok := g.counted[t]; !ok {
			g.counted[t] = now
			g.send(now, session.Request{Verb: session.Count, Topic: t})
		}
	}
	for _, s := range g.subs {
		if !g.follow(now, s) {
			return
		}
	}
	for _, l := range g.lanes {
		if !g.publish(now, l) {
			return
		}
	}
	if now.Sub(g.sentAt) > h.Keepalive {
		g.send(now, session.Request{Verb: session.Heartbeat})
	}
}

// follow brings a topic to what is wanted of it; it tells whether the connection still stands.
func (g *Client) follow(now time.Time, s *subscription) bool {
	if (s.state == subscribing || s.state == unsubscribing) && now.Sub(s.since) > g.Habits.SubscribeTimeout {
		g.close(now, g.Habits.Keepalive/2, false)
		return false
	}
	switch {
	case s.wanted && (s.state == idle || s.state == unsubscribed) && !now.Before(s.retry):
		if s.session == nil {
			s.session = g.Checker.Open(g.Name, s.Name, s.Kept)
			s.cursor = ""
		}
		s.state, s.since = subscribing, now
		s.presence = g.Checker.Here(s.Name, now)
		g.send(now, session.Request{Verb: session.Subscribe, Topic: s.Name, Cursor: s.cursor})
	case !s.wanted && s.state == subscribed:
		s.session.Ended(now)
		s.presence.Gone(now)
		s.presence = nil
		s.state, s.since = unsubscribing, now
		g.send(now, session.Request{Verb: session.Unsubscribe, Topic: s.Name})
	case !s.wanted && s.state == idle && s.session != nil:
		s.session.Ended(now)
		s.session = nil
	}
	return true
}

func (g *Client) body(topic string, n uint64) string {
	return fmt.Sprintf("%s %s %d %s", g.Name, topic, n, strings.Repeat(string(rune('a'+n%26)), bodyLeas+g.Rand.IntN(bodyMore)))
}

func (g *Client) number() uint64 {
	g.last += 1 + uint64(g.Rand.IntN(3))
	return g.last
}

func (g *Client) publish(now time.Time, l *lane) bool {
	l.ms = slices.DeleteFunc(l.ms, func(m *message) bool {
		if m.draw != nil {
			return now.Sub(m.first) > g.Habits.WithdrawTimeout
		}
		return now.Sub(m.first) > g.Habits.Deadline
	})
	drawing := slices.IndexFunc(l.ms, func(m *message) bool { return m.draw != nil })
	if n := len(l.ms) - 1; (drawing < 0 && n+1 < l.Window || drawing >= 0 && n < l.Window) && now.After(l.next) && g.sending.Err() == nil {
		l.next = g.later(now, l.Interval)
		l.ms = append(l.ms, &message{first: now})
	}
	if drawing < 0 && now.After(l.draw) && g.sending.Err() == nil {
		l.draw = g.later(now, g.Habits.WithdrawInterval)
		l.ms = append(l.ms, g.withdrawal(now, l.Topic))
	}
	slices.SortStableFunc(l.ms, func(a, b *message) int { return cmp.Compare(a.call-1, b.call-1) })
	for _, m := range l.ms {
		if m.out {
			if now.Sub(m.asked) > g.Habits.ResponseTimeout {
				g.close(now, g.Habits.Keepalive/2, false)
				return false
			}
			continue
		}
		if now.Before(m.retry) {
			continue
		}
		m.out, m.asked = true, now
		if w := m.draw; w != nil {
			g.send(now, session.Request{Verb: session.Withdraw, Topic: l.Topic, CallSeq: m.call, Key: w.Key, WithdrawSender: w.Of, WithdrawUpTo: w.Upto})
			continue
		}
		if m.call == 0 {
			m.call = g.number()
			m.body = g.body(l.Topic, m.call)
			if g.Habits.KeyedFraction > 0 && g.Rand.Float64() < g.Habits.KeyedFraction {
				m.key = g.key()
			}
		}
		g.Checker.Try(deliverycheck.Message{Topic: l.Topic, From: g.Name, CallSeq: m.call}, m.key, m.body, now)
		g.send(now, session.Request{Verb: session.Send, Topic: l.Topic, CallSeq: m.call, Key: m.key, Body: []byte(m.body)})
	}
	return true
}

func (g *Client) key() string { return fmt.Sprintf("k%d", g.Rand.IntN(max(1, g.Habits.Keys))) }

// withdrawal withdraws what stands under a key, at times with a sender that was seen on the topic
// and a number that it may not have reached.
func (g *Client) withdrawal(now time.Time, topic string) *message {
	w := deliverycheck.Withdrawal{Topic: topic, Key: g.key(), By: g.Name, Call: g.number()}
	if m, ok := g.seen[topic]; ok && m.From != g.Name && g.Rand.IntN(ofOthers) == 0 {
		w.Of, w.Upto = m.From, m.CallSeq+uint64(g.Rand.IntN(ahead))
	}
	return &message{call: w.Call, first: now, draw: g.Checker.Withdraw(w, now)}
}

func (g *Client) sub(topic string) *subscription {
	if i := slices.IndexFunc(g.subs, func(s *subscription) bool { return s.Name == topic }); i >= 0 {
		return g.subs[i]
	}
	return nil
}

func (g *Client) message(topic string, call uint64) (*lane, *message) {
	for _, l := range g.lanes {
		if l.Topic != topic {
			continue
		}
		for _, m := range l.ms {
			if m.call == call {
				return l, m
			}
		}
	}
	return nil, nil
}

var takes = map[session.ResponseType]func(g *Client, now time.Time, a session.Response){
	session.Attached: func(g *Client, _ time.Time, _ session.Response) { g.up = true },
	session.Alive:    func(*Client, time.Time, session.Response) {},
	session.Subscribed: func(g *Client, now time.Time, a session.Response) {
		s := g.sub(a.Topic)
		if s == nil || s.state != subscribing {
			g.Checker.Violation(deliverycheck.Mixed, "%s was told that it joined %s, which it did not ask", g.Name, a.Topic)
			return
		}
		s.state = subscribed
		s.session.Joined(now)
		s.presence.Joined(now)
		if s.cursor != "" && s.cursor != a.Cursor && s.Kept {
			g.Checker.Violation(deliverycheck.Mixed, "%s joined %s with cursor %q and was told %q", g.Name, s.Name, s.cursor, a.Cursor)
		}
		s.cursor = a.Cursor
	},
	session.Unsubscribed: func(g *Client, now time.Time, a session.Response) {
		s := g.sub(a.Topic)
		if s == nil || s.state != unsubscribing {
			g.Checker.Violation(deliverycheck.Mixed, "%s was told that it left %s, which it did not ask", g.Name, a.Topic)
			return
		}
		s.state, s.session, s.cursor, s.retry = unsubscribed, nil, "", now
	},
	session.Message: func(g *Client, now time.Time, a session.Response) {
		m := deliverycheck.Message{Topic: a.Topic, From: a.From, CallSeq: a.CallSeq}
		s := g.sub(a.Topic)
		if s == nil || s.state == idle || s.state == unsubscribed {
			g.Checker.Stray(g.Name, m, now)
			return
		}
		if s.state == unsubscribing {
			return
		}
		s.session.Got(m, string(a.Body), deliverycheck.Place{Partition: a.Partition, Offset: a.Offset}, g.shown)
		g.seen[a.Topic] = m
		s.cursor = a.Cursor
		if g.Saved != nil && s.Kept && g.Rand.IntN(savedOf) == 0 {
			g.Saved(Topic{Name: s.Name, Kept: true, Cursor: a.Cursor, LastMessage: m, Given: now})
		}
	},
	session.Accepted: func(g *Client, now time.Time, a session.Response) {
		g.Checker.Accepted(deliverycheck.Message{Topic: a.Topic, From: g.Name, CallSeq: a.CallSeq}, now)
		if l, m := g.message(a.Topic, a.CallSeq); m != nil {
			l.ms = slices.DeleteFunc(l.ms, func(x *message) bool { return x == m })
		}
	},
	session.WithdrawalComplete: func(g *Client, now time.Time, a session.Response) {
		l, m := g.message(a.Topic, a.CallSeq)
		if m == nil {
			return
		}
		if m.draw == nil || m.draw.Key != a.Key {
			g.Checker.Violation(deliverycheck.Mixed, "%s was told that %s of %s, %d, is forgotten, which it did not ask", g.Name, a.Key, a.Topic, a.CallSeq)
			return
		}
		m.draw.Forgotten(deliverycheck.Place{Partition: a.Partition, Offset: a.Offset}, g.shown)
		l.ms = slices.DeleteFunc(l.ms, func(x *message) bool { return x == m })
	},
	session.Withdrawn: func(g *Client, now time.Time, a session.Response) { g.Checker.Shown(g.Name, a.Topic, a.Key, now) },
	session.Counted: func(g *Client, now time.Time, a session.Response) {
		at, ok := g.counted[a.Topic]
		if !ok {
			g.Checker.Violation(deliverycheck.Mixed, "%s was told a count of %s, which it did not ask", g.Name, a.Topic)
			return
		}
		delete(g.counted, a.Topic)
		g.Checker.Count(a.Topic, a.Count, at, now, g.Calm())
	},
	session.Rejected: func(g *Client, now time.Time, a session.Response) {
		f, ok := turns[a.InReplyTo]
		if !ok || a.Err == nil {
			g.Checker.Violation(deliverycheck.Mixed, "%s was turned away with %q: %v", g.Name, a.InReplyTo, a.Err)
			return
		}
		f(g, now, a)
	},
	session.Moved: func(g *Client, now time.Time, a session.Response) {
		g.close(now, g.Habits.Keepalive/tickOf, false)
		g.to = a.Address
	},
}

var turns = map[session.Verb]func(g *Client, now time.Time, a session.Response){
	session.Attach:      func(g *Client, now time.Time, _ session.Response) { g.close(now, g.Habits.Keepalive/2, false) },
	session.Count:       func(g *Client, _ time.Time, a session.Response) { delete(g.counted, a.Topic) },
	session.Unsubscribe: func(g *Client, now time.Time, _ session.Response) { g.close(now, g.Habits.Keepalive/2, false) },
	session.Subscribe: func(g *Client, now time.Time, a session.Response) {
		s := g.sub(a.Topic)
		if s == nil || s.state != subscribing {
			g.Checker.Violation(deliverycheck.Mixed, "%s was turned away from %s, which it did not ask: %v", g.Name, a.Topic, a.Err)
			return
		}
		s.presence.Gone(now)
		s.presence = nil
		s.state, s.retry = idle, now.Add(g.span(g.Habits.Keepalive/2))
		switch {
		case apierror.HasCode(a.Err, apierror.CursorExpired):
			s.session.Expired(now)
			s.session = nil
		case apierror.HasCode(a.Err, apierror.CursorMalformed):
			g.Checker.Violation(deliverycheck.Mixed, "%s was told that its cursor %q of %s is bad: %v", g.Name, s.cursor, s.Name, a.Err)
		}
	},
	session.Withdraw: func(g *Client, now time.Time, a session.Response) {
		l, m := g.message(a.Topic, a.CallSeq)
		if m == nil || m.draw == nil {
			return
		}
		m.out, m.retry = false, now.Add(g.span(g.Habits.Keepalive/10))
		switch k := apierror.From(a.Err).Code; {
		case k == apierror.WithdrawalOpen:
			m.draw.Stands(now)
		case Voids[k]:
			m.draw.Void()
			l.ms = slices.DeleteFunc(l.ms, func(x *message) bool { return x == m })
		}
	},
	session.Send: func(g *Client, now time.Time, a session.Response) {
		k := apierror.From(a.Err).Code
		if Promises[k] {
			g.Checker.Rejected(deliverycheck.Message{Topic: a.Topic, From: g.Name, CallSeq: a.CallSeq})
		}
		l, m := g.message(a.Topic, a.CallSeq)
		if m == nil {
			return
		}
		m.out, m.retry = false, now.Add(g.span(g.Habits.Keepalive/10))
		if !Promises[k] {
			return
		}
		l.ms = slices.DeleteFunc(l.ms, func(x *message) bool { return x == m })
		if m.fresh < freshly {
			l.ms = append(l.ms, &message{first: m.first, retry: m.retry, fresh: m.fresh + 1})
		}
	},
}
