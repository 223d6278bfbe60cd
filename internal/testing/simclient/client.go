// Package simclient is a seeded stand-in for clients on line sessions: it joins its topics with
// its cursors, sends, goes away and returns, and notes all it sees.
package simclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
)

// Line is one connection to a node. End is its closing by the client.
type Connection interface {
	Do(t session.Request)
	End()
}

// Endpoint is a node that clients can connect to. Connect returns nil when none answers there; hear
// gets all that comes with the moment at which the connection took its last byte, broken the end of
// the connection, if the client did not end it itself.
type Endpoint struct {
	Address string
	Connect func(hear func(a session.Response, shown time.Time), broken func()) Connection
}

// Topic is something that a client follows, from a cursor that another was given with a message, if
// there is one.
type Topic struct {
	Name        string
	Kept        bool
	Cursor      string
	LastMessage deliverycheck.Message
	Given       time.Time
}

// Lane is a topic that a client sends on, with so many messages under way at once.
type SendTopic struct {
	Topic    string
	Window   int
	Interval time.Duration
}

// Habits are the times of a client.
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
	// Withdraw is how often a client withdraws on a lane, 0 for never, and Forget how long it asks
	// for the yes.
	KeyedFraction                     float64
	Keys                              int
	WithdrawInterval, WithdrawTimeout time.Duration
	// Stays has a client that is attached not follow the advice to move to another node: it uses
	// its connection until that is gone.
	IgnoresMoves bool
}

// Client is one simulated client.
type Client struct {
	Name      string
	Endpoints func() []Endpoint
	Checker   *deliverycheck.Checker
	Follow    []Topic
	SendTopics     []SendTopic
	Habits    Habits
	Rand      *rand.Rand
	// Calm tells whether the fleet has been undisturbed for a while.
	Calm func() bool
	// Saved gets cursors that others may take up later.
	Saved func(t Topic)

	mu     sync.Mutex
	inbox  []lineEvent
	notify chan struct{}

	line        Connection
	address     string
	serial      int
	attached    bool
	connectedAt time.Time
	receivedAt  time.Time
	shown       time.Time
	sentAt      time.Time
	returnAt    time.Time
	redirect    string
	subs        []*subscription
	lanes       []*lane
	lastCall    uint64
	nextChange  time.Time
	nextAbsence time.Time
	nextCount   time.Time
	counted     map[string]time.Time
	seen        map[string]deliverycheck.Message
	sending     context.Context
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
	session  *deliverycheck.Subscription
	presence *deliverycheck.Presence
}

type lane struct {
	SendTopic
	next           time.Time
	nextWithdrawal time.Time
	messages       []*message
}

type message struct {
	call  uint64
	body  string
	first time.Time
	asked time.Time
	retry time.Time
	fresh int
	// earlier is the number under which the message was tried before, 0 for none.
	earlier  uint64
	inFlight bool
	key      string
	// withdrawal is that of a withdrawal, and none of a message.
	withdrawal *deliverycheck.Withdrawal
}

const (
	ticksPerKeepalive    = 40
	attachTimeoutDivisor = 2
	silentKeepalives     = 2.5
	freshly              = 3
	minBodyBytes         = 20
	extraBodyBytes       = 400
	savedOneIn           = 40
	othersOneIn          = 4
	ahead                = 4
)

func (client *Client) span(d time.Duration) time.Duration {
	return time.Duration(client.Rand.Float64() * float64(d))
}

func (client *Client) later(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return now.Add(1 << 60)
	}
	return now.Add(d/2 + client.span(d))
}

func (client *Client) receive(event lineEvent) {
	client.mu.Lock()
	client.inbox = append(client.inbox, event)
	client.mu.Unlock()
	select {
	case client.notify <- struct{}{}:
	default:
	}
}

// Move breaks the connection, as a reset would.
func (client *Client) Move() {
	client.mu.Lock()
	n := client.serial
	client.mu.Unlock()
	client.receive(lineEvent{serial: n, broken: true})
}

// Run goes on until ctx ends, and sends new messages until sends ends.
func (client *Client) Run(ctx, sends context.Context) {
	now := time.Now()
	client.notify, client.sending, client.counted, client.seen = make(chan struct{}, 1), sends,
		map[string]time.Time{}, map[string]deliverycheck.Message{}
	for _, t := range client.Follow {
		s := &subscription{Topic: t, wanted: true}
		if t.Cursor != "" {
			s.session, s.cursor = client.Checker.SubscribeFromCursor(client.Name, t.LastMessage, t.Given), t.Cursor
		}
		client.subs = append(client.subs, s)
	}
	for _, l := range client.SendTopics {
		client.lanes = append(client.lanes, &lane{SendTopic: l, next: client.later(now, l.Interval),
			nextWithdrawal: client.later(now, client.Habits.WithdrawInterval)})
	}
	client.returnAt = now.Add(client.span(client.Habits.Keepalive / 2))
	client.nextChange, client.nextAbsence, client.nextCount = client.later(now, client.Habits.ChangeInterval),
		client.later(now, client.Habits.AwayInterval), client.later(now, client.Habits.CountInterval)
	tick := time.NewTicker(client.Habits.Keepalive / ticksPerKeepalive)
	defer tick.Stop()
	for {
		select {
		case <-client.notify:
		case <-tick.C:
		case <-ctx.Done():
			client.close(time.Now(), 0, false)
			return
		}
		client.mu.Lock()
		events := client.inbox
		client.inbox = nil
		client.mu.Unlock()
		now := time.Now()
		for _, event := range events {
			if event.serial != client.serial || client.line == nil {
				continue
			}
			if event.broken {
				client.close(now, client.Habits.Keepalive/2, false)
				continue
			}
			client.receivedAt, client.shown = now, event.shown
			if handle, ok := responseHandlers[event.response.Type]; ok {
				handle(client, now, event.response)
			} else {
				client.Checker.Violation(deliverycheck.Mixed, "%s got an answer %q", client.Name, event.response.Type)
			}
		}
		client.step(now)
	}
}

// close ends the connection and comes back within a time. A silent leave keeps the old one open for
// a while.
func (client *Client) close(now time.Time, within time.Duration, silently bool) {
	line := client.line
	if line == nil {
		return
	}
	client.line, client.attached = nil, false
	if silently {
		d := client.span(3 * client.Habits.Keepalive)
		go func() {
			time.Sleep(d)
			line.End()
		}()
	} else {
		go line.End()
	}
	client.returnAt = now.Add(client.span(within))
	for _, s := range client.subs {
		if s.presence != nil {
			s.presence.Left(now)
			s.presence = nil
		}
		s.state = idle
		s.retry = time.Time{}
	}
	for _, line := range client.lanes {
		for _, m := range line.messages {
			m.inFlight, m.retry = false, time.Time{}
		}
	}
	clear(client.counted)
}

func (client *Client) enter(now time.Time) {
	endpoints := client.Endpoints()
	endpoint := endpoints[client.Rand.IntN(len(endpoints))]
	if i := slices.IndexFunc(endpoints, func(endpoint Endpoint) bool {
		return endpoint.Address == client.redirect
	}); i >= 0 {
		endpoint = endpoints[i]
	}
	client.redirect = ""
	client.mu.Lock()
	client.serial++
	n := client.serial
	client.mu.Unlock()
	client.address = endpoint.Address
	client.line = endpoint.Connect(func(response session.Response, shown time.Time) {
		client.receive(lineEvent{serial: n, response: response, shown: shown})
	}, func() { client.receive(lineEvent{serial: n, broken: true}) })
	if client.line == nil {
		client.returnAt = now.Add(client.span(client.Habits.Keepalive / 2))
		return
	}
	client.connectedAt, client.receivedAt, client.attached = now, now, false
	client.send(now, session.Request{Verb: session.Attach, Client: client.Name})
}

func (client *Client) step(now time.Time) {
	if client.line == nil {
		if now.Before(client.returnAt) && (client.sending.Err() == nil ||
			client.returnAt.Sub(now) < client.Habits.Keepalive) {
			return
		}
		if client.enter(now); client.line == nil {
			return
		}
	}
	habits := client.Habits
	if !client.attached {
		if now.Sub(client.connectedAt) > habits.Keepalive/attachTimeoutDivisor {
			client.close(now, habits.Keepalive/2, false)
		}
		return
	}
	if now.Sub(client.receivedAt) > time.Duration(silentKeepalives*float64(habits.Keepalive)) {
		client.close(now, habits.Keepalive/2, false)
		return
	}
	stays := client.sending.Err() != nil
	if now.After(client.nextAbsence) && !stays {
		client.nextAbsence = client.later(now, habits.AwayInterval)
		client.close(now, 0, client.Rand.IntN(2) == 0)
		client.returnAt = now.Add(client.span(habits.MaxAbsence))
		return
	}
	if now.After(client.nextChange) && !stays {
		client.nextChange = client.later(now, habits.ChangeInterval)
		s := client.subs[client.Rand.IntN(len(client.subs))]
		s.wanted = !s.wanted
	}
	if now.After(client.nextCount) {
		client.nextCount = client.later(now, habits.CountInterval)
		t := client.subs[client.Rand.IntN(len(client.subs))].Name
		if _, ok := client.counted[t]; !ok {
			client.counted[t] = now
			client.send(now, session.Request{Verb: session.Count, Topic: t})
		}
	}
	for _, s := range client.subs {
		if !client.follow(now, s) {
			return
		}
	}
	for _, l := range client.lanes {
		if !client.publish(now, l) {
			return
		}
	}
	if now.Sub(client.sentAt) > habits.Keepalive {
		client.send(now, session.Request{Verb: session.Heartbeat})
	}
}
