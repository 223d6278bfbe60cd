// Package simclient simulates clients on client sessions from a seed. A client subscribes to its
// topics with its cursors, sends, withdraws, counts, disconnects and reconnects, and records all
// that it receives.
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

// Connection is one connection to a node. End closes it from the client's side.
type Connection interface {
	Do(request session.Request)
	End()
}

// Endpoint is a node that clients can connect to. Connect returns nil if no node answers there.
// onResponse is called with each response and the time at which the connection accepted its last
// byte. onBroken is called when the connection ends otherwise than by the client.
type Endpoint struct {
	Address string
	Connect func(onResponse func(response session.Response, lastByteAt time.Time), onBroken func()) Connection
}

// Topic is a topic that a client subscribes to. With a Cursor, the subscription begins at a cursor
// that another client received with LastMessage at GivenAt.
type Topic struct {
	Name        string
	Retained    bool
	Cursor      string
	LastMessage deliverycheck.Message
	GivenAt     time.Time
}

// SendTopic is a topic that a client sends on, with up to Window messages in flight.
type SendTopic struct {
	Topic    string
	Window   int
	Interval time.Duration
}

// Habits are the intervals and timeouts of a client.
type Habits struct {
	// Keepalive is how long a client is silent before it sends a heartbeat.
	Keepalive time.Duration
	// ResponseTimeout is how long a client waits for the response to a send, and SubscribeTimeout for
	// the response to a subscription. Deadline is how long it retries a message.
	ResponseTimeout, SubscribeTimeout, Deadline time.Duration
	// ChangeInterval is how often a client ends or resumes a subscription, AwayInterval how often it
	// disconnects, and CountInterval how often it counts listeners. 0 means never.
	ChangeInterval, AwayInterval, CountInterval time.Duration
	// MaxAbsence is the longest time that a client stays disconnected.
	MaxAbsence time.Duration
	// KeyedFraction is the share of messages sent under a key, one of Keys on a topic.
	// WithdrawInterval is how often a client withdraws on a topic, and 0 means never.
	// WithdrawTimeout is how long it retries a withdrawal until it is acknowledged.
	KeyedFraction                     float64
	Keys                              int
	WithdrawInterval, WithdrawTimeout time.Duration
	// If IgnoresMoves, an attached client ignores the advice to move to another node and uses its
	// connection until that ends.
	IgnoresMoves bool
}

// Client is one simulated client.
type Client struct {
	Name       string
	Endpoints  func() []Endpoint
	Checker    *deliverycheck.Checker
	Follow     []Topic
	SendTopics []SendTopic
	Habits     Habits
	Rand       *rand.Rand
	// Calm reports whether the fleet has been without faults for a while.
	Calm func() bool
	// Saved receives cursors that other clients may resume from later.
	Saved func(t Topic)

	// mu guards inbox and the writes to serial.
	mu     sync.Mutex
	inbox  []connectionEvent
	notify chan struct{}

	connection      Connection
	address         string
	serial          int
	attached        bool
	connectedAt     time.Time
	receivedAt      time.Time
	lastByteAt      time.Time
	sentAt          time.Time
	returnAt        time.Time
	redirect        string
	subscriptions   []*subscription
	senders         []*sender
	lastCall        uint64
	nextChange      time.Time
	nextAbsence     time.Time
	nextCount       time.Time
	countsRequested map[string]time.Time
	lastReceived    map[string]deliverycheck.Message
	sendCtx         context.Context
}

type connectionEvent struct {
	serial     int
	response   session.Response
	lastByteAt time.Time
	broken     bool
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
	retryAt  time.Time
	cursor   string
	record   *deliverycheck.Subscription
	presence *deliverycheck.Presence
}

type sender struct {
	SendTopic
	next           time.Time
	nextWithdrawal time.Time
	messages       []*message
}

type message struct {
	call         uint64
	body         string
	firstTriedAt time.Time
	sentAt       time.Time
	retryAt      time.Time
	renumberings int
	// earlierCall is the number under which the message was tried before, 0 for none.
	earlierCall uint64
	inFlight    bool
	key         string
	// withdrawal is set for a withdrawal and nil for a message.
	withdrawal *deliverycheck.Withdrawal
}

const (
	ticksPerKeepalive    = 40
	attachTimeoutDivisor = 2
	silentKeepalives     = 2.5
	maxRenumberings      = 3
	minBodyBytes         = 20
	extraBodyBytes       = 400
	saveCursorOneIn      = 40
	nameSenderOneIn      = 4
	maxCallsAhead        = 4
)

func (client *Client) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(client.Rand.Float64() * float64(limit))
}

// nextTime returns a random time that lies an interval after now on average. With an interval of 0
// the time never comes.
func (client *Client) nextTime(now time.Time, interval time.Duration) time.Time {
	if interval <= 0 {
		return now.Add(1 << 60)
	}
	return now.Add(interval/2 + client.randomUpTo(interval))
}

func (client *Client) receive(event connectionEvent) {
	client.mu.Lock()
	client.inbox = append(client.inbox, event)
	client.mu.Unlock()
	select {
	case client.notify <- struct{}{}:
	default:
	}
}

// Move breaks the connection as a reset would.
func (client *Client) Move() {
	client.mu.Lock()
	serial := client.serial
	client.mu.Unlock()
	client.receive(connectionEvent{serial: serial, broken: true})
}

// Run runs the client until ctx ends. It sends new messages until sendCtx ends.
func (client *Client) Run(ctx, sendCtx context.Context) {
	now := time.Now()
	client.notify, client.sendCtx, client.countsRequested, client.lastReceived = make(chan struct{}, 1), sendCtx,
		map[string]time.Time{}, map[string]deliverycheck.Message{}
	for _, topic := range client.Follow {
		subscription := &subscription{Topic: topic, wanted: true}
		if topic.Cursor != "" {
			subscription.record, subscription.cursor = client.Checker.SubscribeFromCursor(client.Name,
				topic.LastMessage, topic.GivenAt), topic.Cursor
		}
		client.subscriptions = append(client.subscriptions, subscription)
	}
	for _, topic := range client.SendTopics {
		client.senders = append(client.senders, &sender{SendTopic: topic, next: client.nextTime(now, topic.Interval),
			nextWithdrawal: client.nextTime(now, client.Habits.WithdrawInterval)})
	}
	client.returnAt = now.Add(client.randomUpTo(client.Habits.Keepalive / 2))
	client.nextChange, client.nextAbsence, client.nextCount = client.nextTime(now, client.Habits.ChangeInterval),
		client.nextTime(now, client.Habits.AwayInterval), client.nextTime(now, client.Habits.CountInterval)
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
			if event.serial != client.serial || client.connection == nil {
				continue
			}
			if event.broken {
				client.close(now, client.Habits.Keepalive/2, false)
				continue
			}
			client.receivedAt, client.lastByteAt = now, event.lastByteAt
			if handle, ok := responseHandlers[event.response.Type]; ok {
				handle(client, now, event.response)
			} else {
				client.Checker.Violation(deliverycheck.Mixed, "%s got an answer %q", client.Name, event.response.Type)
			}
		}
		client.step(now)
	}
}

// close ends the connection and reconnects within a time. With silently set, the client stops using
// the connection at once and ends it only after a random delay.
func (client *Client) close(now time.Time, within time.Duration, silently bool) {
	connection := client.connection
	if connection == nil {
		return
	}
	client.connection, client.attached = nil, false
	if silently {
		delay := client.randomUpTo(3 * client.Habits.Keepalive)
		go func() {
			time.Sleep(delay)
			connection.End()
		}()
	} else {
		go connection.End()
	}
	client.returnAt = now.Add(client.randomUpTo(within))
	for _, subscription := range client.subscriptions {
		if subscription.presence != nil {
			subscription.presence.Left(now)
			subscription.presence = nil
		}
		subscription.state = idle
		subscription.retryAt = time.Time{}
	}
	for _, sender := range client.senders {
		for _, message := range sender.messages {
			message.inFlight, message.retryAt = false, time.Time{}
		}
	}
	clear(client.countsRequested)
}

func (client *Client) connect(now time.Time) {
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
	serial := client.serial
	client.mu.Unlock()
	client.address = endpoint.Address
	client.connection = endpoint.Connect(func(response session.Response, lastByteAt time.Time) {
		client.receive(connectionEvent{serial: serial, response: response, lastByteAt: lastByteAt})
	}, func() { client.receive(connectionEvent{serial: serial, broken: true}) })
	if client.connection == nil {
		client.returnAt = now.Add(client.randomUpTo(client.Habits.Keepalive / 2))
		return
	}
	client.connectedAt, client.receivedAt, client.attached = now, now, false
	client.send(now, session.Request{Verb: session.Attach, Client: client.Name})
}

// step does what is due: it connects, disconnects, changes subscriptions, counts listeners, sends
// messages and heartbeats, and ends a connection that is too slow.
func (client *Client) step(now time.Time) {
	if client.connection == nil {
		if now.Before(client.returnAt) && (client.sendCtx.Err() == nil ||
			client.returnAt.Sub(now) < client.Habits.Keepalive) {
			return
		}
		if client.connect(now); client.connection == nil {
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
	stopped := client.sendCtx.Err() != nil
	if now.After(client.nextAbsence) && !stopped {
		client.nextAbsence = client.nextTime(now, habits.AwayInterval)
		client.close(now, 0, client.Rand.IntN(2) == 0)
		client.returnAt = now.Add(client.randomUpTo(habits.MaxAbsence))
		return
	}
	if now.After(client.nextChange) && !stopped {
		client.nextChange = client.nextTime(now, habits.ChangeInterval)
		subscription := client.subscriptions[client.Rand.IntN(len(client.subscriptions))]
		subscription.wanted = !subscription.wanted
	}
	if now.After(client.nextCount) {
		client.nextCount = client.nextTime(now, habits.CountInterval)
		topic := client.subscriptions[client.Rand.IntN(len(client.subscriptions))].Name
		if _, ok := client.countsRequested[topic]; !ok {
			client.countsRequested[topic] = now
			client.send(now, session.Request{Verb: session.Count, Topic: topic})
		}
	}
	for _, s := range client.subscriptions {
		if !client.updateSubscription(now, s) {
			return
		}
	}
	for _, sender := range client.senders {
		if !client.publish(now, sender) {
			return
		}
	}
	if now.Sub(client.sentAt) > habits.Keepalive {
		client.send(now, session.Request{Verb: session.Heartbeat})
	}
}
