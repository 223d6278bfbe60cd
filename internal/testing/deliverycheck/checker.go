// Package deliverycheck records what simulated clients sent and received on client sessions and
// checks it against the delivery guarantees. The unit of the check is a subscription of one client
// to one topic, from its first confirmation to its end, across connections.
package deliverycheck

import (
	"fmt"
	"sync"
	"time"
)

// Message names one numbered message of a sender on a topic.
type Message struct {
	Topic   string
	From    string
	CallSeq uint64
}

// sent is what is known of a message that a client tried to send.
type sent struct {
	body       string
	key        string
	position   Position
	triedAt    time.Time
	acceptedAt time.Time
	tries      int
	rejected   int
	// earlier is the number under which the same message was tried before. It is the zero Message
	// if there is none.
	earlier Message
}

// The rules that are checked.
const (
	Twice     = "twice"
	Order     = "order"
	Lost      = "lost"
	Expired   = "expired"
	Mixed     = "mixed"
	Refused   = "refused"
	Count     = "count"
	Withdrawn = "withdrawn"
)

// Rules lists all rules.
var Rules = []string{Twice, Order, Lost, Expired, Mixed, Refused, Count, Withdrawn}

// Violation is a case in which a rule was broken.
type Violation struct {
	Rule    string
	Message string
}

// Checker records what all clients of a run sent and received.
type Checker struct {
	// Keeping is how long messages are stored in topics that store them.
	Keeping time.Duration
	// Window is how old the information behind a presence count may be.
	Window time.Duration

	// mu guards the fields below, and all subscriptions, presences and withdrawals.
	mu            sync.Mutex
	sent          map[Message]*sent
	subscriptions []*Subscription
	violations    []Violation
	presences     map[string][]*Presence
	withdrawals   map[string][]*Withdrawal
	tally         Tally
}

// Tally counts what was checked. Soak reports contain it, with its field names as keys. Got counts
// received messages, and Late counts subscriptions that began at another client's cursor. Keyed
// counts messages sent with a key. Open counts the responses that a withdrawal is recorded but not
// confirmed by all routers, Forgotten the acknowledged withdrawals, and Void those that withdrew
// nothing. Covered counts messages that were certainly withdrawn, and Spared those of them that
// were accepted and that no client received.
type Tally struct {
	Sent, Accepted, Tries, Rejected, Renumbered, Got, Sessions, Resumed, Expired, Counts, Late int
	Keyed, Withdrawals, Forgotten, Open, Void, Covered, Spared                                 int
}

// New returns a checker without records.
func New(keeping, window time.Duration) *Checker {
	return &Checker{Keeping: keeping, Window: window, sent: map[Message]*sent{},
		presences: map[string][]*Presence{}, withdrawals: map[string][]*Withdrawal{}}
}

// Subscription records one subscription of a client to a topic, across connections. If
// fromCursor, it began at a cursor that another client received.
type Subscription struct {
	checker       *Checker
	client        string
	topic         string
	isRetained    bool
	fromCursor    bool
	expired       bool
	since         time.Time
	cursorSentAt  time.Time
	endedAt       time.Time
	connection    int
	joinedAt      time.Time
	receipts      []receipt
	receivedCount map[Message]int
}

type receipt struct {
	message    Message
	connection int
	receivedAt time.Time
	// joinedAt is when the subscription was confirmed on the connection.
	joinedAt time.Time
}

func (c *Checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// Violation records a violation that a client detected itself.
func (c *Checker) Violation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// Try records that a message is about to be sent, under a key unless that is empty. The first try
// sets the message's body and time.
func (c *Checker) Try(message Message, key, body string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.sent[message]
	if state == nil {
		state = &sent{body: body, key: key, triedAt: now}
		c.sent[message] = state
	}
	state.tries++
}

// Renumber records that message is another number for what was tried as earlier. Both are one
// message, which may be delivered once under either number.
func (c *Checker) Renumber(message, earlier Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[message].earlier = earlier
	c.tally.Renumbered++
}

// firstNumber returns the first number that a message was tried under.
func (c *Checker) firstNumber(message Message) Message {
	for state := c.sent[message]; state != nil && state.earlier != (Message{}); state = c.sent[message] {
		message = state.earlier
	}
	return message
}

// Rejected records that a try was rejected for good: the try will never be accepted later.
func (c *Checker) Rejected(message Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[message].rejected++
}

// Accepted records that a message was acknowledged.
func (c *Checker) Accepted(message Message, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.sent[message]
	if state == nil {
		c.addViolation(Mixed, "%v was acknowledged and never sent", message)
		return
	}
	if state.acceptedAt.IsZero() {
		state.acceptedAt = now
	}
}

// Subscribe begins a subscription, which need not receive anything sent before it was confirmed.
func (c *Checker) Subscribe(client, topic string, isRetained bool) *Subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	subscription := &Subscription{checker: c, client: client, topic: topic, isRetained: isRetained,
		receivedCount: map[Message]int{}}
	c.subscriptions = append(c.subscriptions, subscription)
	return subscription
}

// SubscribeFromCursor begins a subscription at a cursor that another client received with a message
// at givenAt.
func (c *Checker) SubscribeFromCursor(client string, message Message, givenAt time.Time) *Subscription {
	subscription := c.Subscribe(client, message.Topic, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	subscription.fromCursor, subscription.since, subscription.cursorSentAt = true, givenAt, givenAt
	if state := c.sent[message]; state != nil {
		subscription.cursorSentAt = state.triedAt
	}
	return subscription
}

// Joined records that the subscription was confirmed. Each call means a further connection.
func (s *Subscription) Joined(now time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.connection++
	s.joinedAt = now
	if s.since.IsZero() {
		s.since = now
	}
	if s.connection > 1 {
		s.checker.tally.Resumed++
	}
}

// Ended records that the client ends the subscription.
func (s *Subscription) Ended(now time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	if s.endedAt.IsZero() {
		s.endedAt = now
	}
}

// Expired records that resuming the subscription was rejected because its cursor has expired. That
// is a violation unless the subscription lacks an accepted message older than Keeping.
func (s *Subscription) Expired(now time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.tally.Expired++
	if !s.endedAt.IsZero() {
		return
	}
	s.endedAt, s.expired = now, true
	if !s.isRetained || s.since.IsZero() {
		return
	}
	from := s.since
	if s.fromCursor {
		from = s.cursorSentAt
	}
	for message, state := range s.checker.sent {
		if message.Topic == s.topic && !state.acceptedAt.IsZero() && state.triedAt.After(from) &&
			s.receivedCount[message] == 0 && now.Sub(state.triedAt) > s.checker.Keeping {
			return
		}
	}
	s.checker.addViolation(Expired,
		"%s was rejected at %s with an expired cursor of %s, and lacks no message older than %s",
		s.client, now.Format("04:05.000"), s.topic, s.checker.Keeping)
}

// Received records a message that arrived on the subscription's connection: its position in the
// partition log, where that is known, and when the connection accepted its last byte.
func (s *Subscription) Received(message Message, body string, position Position, receivedAt time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.tally.Got++
	s.receipts = append(s.receipts, receipt{message, s.connection, receivedAt, s.joinedAt})
	s.receivedCount[message]++
	s.checker.checkBody(s.client, message, body)
	if state := s.checker.sent[message]; state != nil && position != (Position{}) {
		state.position = position
	}
	if message.Topic != s.topic {
		s.checker.addViolation(Mixed, "%s got %v on %s", s.client, message, s.topic)
	}
}

func (c *Checker) checkBody(client string, message Message, body string) {
	state := c.sent[message]
	switch {
	case state == nil:
		c.addViolation(Mixed, "%s got %v, which no client sent", client, message)
	case state.body != body:
		c.addViolation(Mixed, "%s got %v with another body", client, message)
	}
}

// Stray records a message on a topic that the connection has left or never subscribed to.
func (c *Checker) Stray(client string, message Message, now time.Time) {
	c.Violation(Mixed, "%s got %v at %s, a topic that its connection does not follow", client, message,
		now.Format("04:05.000"))
}

// mustReceive reports whether the subscription is guaranteed to receive a message.
func (s *Subscription) mustReceive(message Message, state *sent) bool {
	return message.Topic == s.topic && s.isRetained && !s.since.IsZero() && !state.acceptedAt.IsZero() &&
		state.triedAt.After(s.since) &&
		(s.endedAt.IsZero() || state.acceptedAt.Before(s.endedAt)) && !s.checker.mayBeWithdrawn(message, state)
}

// Judge checks all records and returns the counts and violations. Messages acknowledged after the
// cut need not have arrived.
func (c *Checker) Judge(cut time.Time) (Tally, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Sent, c.tally.Sessions = len(c.sent), len(c.subscriptions)
	for _, state := range c.sent {
		c.tally.Tries += state.tries
		c.tally.Rejected += state.rejected
		if !state.acceptedAt.IsZero() {
			c.tally.Accepted++
		}
	}
	c.judgeWithdrawals()
	orders := map[string]*order{}
	for _, subscription := range c.subscriptions {
		if subscription.fromCursor {
			c.tally.Late++
		}
		subscription.judgeOrder()
		subscription.judgeCompleteness(cut)
		if subscription.isRetained {
			if orders[subscription.topic] == nil {
				orders[subscription.topic] = &order{followers: map[Message]map[Message]bool{}}
			}
			orders[subscription.topic].add(subscription.receipts)
		}
	}
	for topic, order := range orders {
		if message, ok := order.cycle(); ok {
			c.addViolation(Order, "two clients got %v and other messages on %s in different orders", message, topic)
		}
	}
	return c.tally, c.violations
}

// judgeOrder checks the received messages for duplicates, reordering and rejected messages.
func (s *Subscription) judgeOrder() {
	c := s.checker
	seen, last, connection := map[Message]bool{}, map[string]uint64{}, 0
	numbers := map[Message]Message{}
	guaranteed := map[string][]Message{}
	for message, state := range c.sent {
		if s.mustReceive(message, state) {
			guaranteed[message.From] = append(guaranteed[message.From], message)
		}
	}
	for _, receipt := range s.receipts {
		if !s.isRetained && receipt.connection != connection {
			clear(seen)
			clear(last)
			clear(numbers)
			connection = receipt.connection
		}
		if seen[receipt.message] {
			c.addViolation(Twice, "%s got %v twice, again at %s", s.client, receipt.message,
				receipt.receivedAt.Format("04:05.000"))
			continue
		}
		seen[receipt.message] = true
		s.judgeNumber(numbers, receipt)
		if previous := last[receipt.message.From]; receipt.message.CallSeq <= previous {
			c.addViolation(Order, "%s got %v after call %d at %s", s.client, receipt.message, previous,
				receipt.receivedAt.Format("04:05.000"))
		}
		last[receipt.message.From] = max(last[receipt.message.From], receipt.message.CallSeq)
		for _, earlier := range guaranteed[receipt.message.From] {
			if earlier.CallSeq < receipt.message.CallSeq && !seen[earlier] {
				c.addViolation(Order, "%s got %v at %s without call %d before it, which was acknowledged at %s",
					s.client, receipt.message,
					receipt.receivedAt.Format("04:05.000"), earlier.CallSeq,
					c.sent[earlier].acceptedAt.Format("04:05.000"))
				seen[earlier] = true
			}
		}
		if state := c.sent[receipt.message]; state != nil && state.tries > 0 && state.rejected >= state.tries {
			c.addViolation(Refused, "%s got %v, each of whose %d tries was rejected", s.client, receipt.message,
				state.tries)
		}
	}
}

// judgeNumber checks that a message did not arrive before under another of its numbers. numbers
// maps the first number of each message to the one that it arrived under.
func (s *Subscription) judgeNumber(numbers map[Message]Message, receipt receipt) {
	first := s.checker.firstNumber(receipt.message)
	if number, ok := numbers[first]; ok {
		s.checker.addViolation(Twice, "%s got %v at %s, a message that it already got as call %d", s.client,
			receipt.message, receipt.receivedAt.Format("04:05.000"), number.CallSeq)
	}
	numbers[first] = receipt.message
}

// judgeCompleteness checks that every guaranteed message acknowledged before the cut arrived.
func (s *Subscription) judgeCompleteness(cut time.Time) {
	for message, state := range s.checker.sent {
		if s.mustReceive(message, state) && s.receivedCount[message] == 0 && state.acceptedAt.Before(cut) &&
			s.openAt(cut) && (!s.fromCursor || state.acceptedAt.After(cut.Add(-s.checker.Keeping))) {
			s.checker.addViolation(Lost, "%s never got %v, sent at %s, acknowledged at %s (joined at %s, late: %v)",
				s.client, message, state.triedAt.Format("04:05.000"), state.acceptedAt.Format("04:05.000"),
				s.since.Format("04:05.000"), s.fromCursor)
		}
	}
}

func (s *Subscription) openAt(cut time.Time) bool {
	return !s.expired && (s.endedAt.IsZero() || s.endedAt.After(cut))
}
