// Package deliverycheck records what stand-in clients on line sessions saw and judges it: each stay
// is one subscription of one visitor to one topic, from its first joined answer to its end, across
// connections.
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

type sent struct {
	body     string
	key      string
	place    Position
	at       time.Time
	accepted time.Time
	tries    int
	rejected int
	// renumbers is the number under which the same message was tried before, the zero Message for
	// none.
	renumbers Message
}

// The rules that are judged.
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

// Rules lists them.
var Rules = []string{Twice, Order, Lost, Expired, Mixed, Refused, Count, Withdrawn}

// Violation is a rule that was broken.
type Violation struct {
	Rule    string
	Message string
}

// Checker is shared by all clients of a run.
type Checker struct {
	// Keeping is how long messages of kept topics are held.
	Keeping time.Duration
	// Window is how far back a count of listeners may look.
	Window time.Duration

	mu         sync.Mutex
	sent       map[Message]*sent
	sessions   []*Subscription
	violations []Violation
	presences  map[string][]*Presence
	drawn      map[string][]*Withdrawal
	tally      Tally
}

// Tally says how much there was to judge.
type Tally struct {
	Sent, Accepted, Tries, Rejected, Renumbered, Got, Sessions, Resumed, Expired, Counts, Late int
	Keyed, Withdrawals, Forgotten, Open, Void, Covered, Spared                                 int
}

// New makes an empty book.
func New(keeping, window time.Duration) *Checker {
	return &Checker{Keeping: keeping, Window: window, sent: map[Message]*sent{},
		presences: map[string][]*Presence{}, drawn: map[string][]*Withdrawal{}}
}

// Session is a subscription.
type Subscription struct {
	checker *Checker
	client  string
	topic   string
	kept    bool
	late    bool
	expired bool
	since   time.Time
	place   time.Time
	end     time.Time
	conn    int
	taken   time.Time
	got     []receipt
	have    map[Message]int
}

type receipt struct {
	message Message
	conn    int
	at      time.Time
	// since is when the connection took the subscription up.
	since time.Time
}

func (b *Checker) addViolation(rule, f string, a ...any) {
	b.violations = append(b.violations, Violation{rule, fmt.Sprintf(f, a...)})
}

// Violation notes a rule that a client itself saw broken.
func (b *Checker) Violation(rule, f string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addViolation(rule, f, a...)
}

// Try notes that a message is about to be sent, under a key if that is not empty; the first try
// gives its body and time.
func (b *Checker) Try(m Message, key, body string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sent[m]
	if s == nil {
		s = &sent{body: body, key: key, at: now}
		b.sent[m] = s
	}
	s.tries++
}

// Renumber notes that m is another number for what was tried as earlier: one message, which may be
// delivered once under either.
func (b *Checker) Renumber(m, earlier Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[m].renumbers = earlier
	b.tally.Renumbered++
}

// first returns the first number that a message was tried under.
func (b *Checker) first(m Message) Message {
	for x := b.sent[m]; x != nil && x.renumbers != (Message{}); x = b.sent[m] {
		m = x.renumbers
	}
	return m
}

// Rejected notes that a try was turned away with the promise that it never will be done.
func (b *Checker) Rejected(m Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[m].rejected++
}

// Accepted notes that a message was acknowledged.
func (b *Checker) Accepted(m Message, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sent[m]
	if s == nil {
		b.addViolation(Mixed, "%v was acknowledged and never sent", m)
		return
	}
	if s.accepted.IsZero() {
		s.accepted = now
	}
}

// Open begins a stay that nothing is owed to before it was joined.
func (b *Checker) Subscribe(client, topic string, kept bool) *Subscription {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Subscription{checker: b, client: client, topic: topic, kept: kept, have: map[Message]int{}}
	b.sessions = append(b.sessions, s)
	return s
}

// OpenLate begins a stay at a cursor that another was given with a message at a time.
func (b *Checker) SubscribeFromCursor(client string, m Message, given time.Time) *Subscription {
	s := b.Subscribe(client, m.Topic, true)
	b.mu.Lock()
	defer b.mu.Unlock()
	s.late, s.since, s.place = true, given, given
	if x := b.sent[m]; x != nil {
		s.place = x.at
	}
	return s
}

// Joined notes that the subscription was taken up, on a further connection unless it is the first.
func (s *Subscription) Joined(now time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.conn++
	s.taken = now
	if s.since.IsZero() {
		s.since = now
	}
	if s.conn > 1 {
		s.checker.tally.Resumed++
	}
}

// Ended notes that the visitor ends the subscription.
func (s *Subscription) Ended(now time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	if s.end.IsZero() {
		s.end = now
	}
}

// Expired notes that the visitor is told that the subscription can't be taken up.
func (s *Subscription) Expired(now time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.tally.Expired++
	if !s.end.IsZero() {
		return
	}
	s.end, s.expired = now, true
	if !s.kept || s.since.IsZero() {
		return
	}
	from := s.since
	if s.late {
		from = s.place
	}
	for m, x := range s.checker.sent {
		if m.Topic == s.topic && !x.accepted.IsZero() && x.at.After(from) && s.have[m] == 0 &&
			now.Sub(x.at) > s.checker.Keeping {
			return
		}
	}
	s.checker.addViolation(Expired, "%s was told at %s that %s can't be taken up, and lacks nothing older than %s",
		s.client, now.Format("04:05.000"), s.topic, s.checker.Keeping)
}

// Got notes a message that came on this stay's connection: its place in the line, where that is
// known, and when the connection took its last byte.
func (s *Subscription) Received(m Message, body string, at Position, shown time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.tally.Got++
	s.got = append(s.got, receipt{m, s.conn, shown, s.taken})
	s.have[m]++
	s.checker.same(s.client, m, body)
	if x := s.checker.sent[m]; x != nil && at != (Position{}) {
		x.place = at
	}
	if m.Topic != s.topic {
		s.checker.addViolation(Mixed, "%s got %v on %s", s.client, m, s.topic)
	}
}

func (b *Checker) same(who string, m Message, body string) {
	x := b.sent[m]
	switch {
	case x == nil:
		b.addViolation(Mixed, "%s got %v, which nobody sent", who, m)
	case x.body != body:
		b.addViolation(Mixed, "%s got %v with another body", who, m)
	}
}

// Stray notes a message on a topic that the connection has left or never asked for.
func (b *Checker) Stray(client string, m Message, now time.Time) {
	b.Violation(Mixed, "%s got %v at %s, a topic that its connection does not follow", client, m, now.Format("04:05.000"))
}

func (s *Subscription) owed(m Message, x *sent) bool {
	return m.Topic == s.topic && s.kept && !s.since.IsZero() && !x.accepted.IsZero() && x.at.After(s.since) &&
		(s.end.IsZero() || x.accepted.Before(s.end)) && !s.checker.spared(m, x)
}

// Judge judges all that was seen. What was acknowledged after the cut need not have arrived.
func (b *Checker) Judge(cut time.Time) (Tally, []Violation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tally.Sent, b.tally.Sessions = len(b.sent), len(b.sessions)
	for _, x := range b.sent {
		b.tally.Tries += x.tries
		b.tally.Rejected += x.rejected
		if !x.accepted.IsZero() {
			b.tally.Accepted++
		}
	}
	b.shown()
	lines := map[string]*order{}
	for _, s := range b.sessions {
		if s.late {
			b.tally.Late++
		}
		s.judge()
		s.complete(cut)
		if s.kept {
			if lines[s.topic] == nil {
				lines[s.topic] = &order{next: map[Message]map[Message]bool{}}
			}
			lines[s.topic].add(s.got)
		}
	}
	for t, l := range lines {
		if m, ok := l.knot(); ok {
			b.addViolation(Order, "two visitors got %v and others on %s in differing orders", m, t)
		}
	}
	return b.tally, b.violations
}

func (s *Subscription) judge() {
	b := s.checker
	seen, last, conn := map[Message]bool{}, map[string]uint64{}, 0
	numbers := map[Message]Message{}
	owed := map[string][]Message{}
	for m, x := range b.sent {
		if s.owed(m, x) {
			owed[m.From] = append(owed[m.From], m)
		}
	}
	for _, g := range s.got {
		if !s.kept && g.conn != conn {
			clear(seen)
			clear(last)
			clear(numbers)
			conn = g.conn
		}
		if seen[g.message] {
			b.addViolation(Twice, "%s got %v twice, again at %s", s.client, g.message, g.at.Format("04:05.000"))
			continue
		}
		seen[g.message] = true
		s.judgeNumber(numbers, g)
		if l := last[g.message.From]; g.message.CallSeq <= l {
			b.addViolation(Order, "%s got %v after call %d at %s", s.client, g.message, l, g.at.Format("04:05.000"))
		}
		last[g.message.From] = max(last[g.message.From], g.message.CallSeq)
		for _, m := range owed[g.message.From] {
			if m.CallSeq < g.message.CallSeq && !seen[m] {
				b.addViolation(Order, "%s got %v at %s, which passed over call %d, owed since %s", s.client, g.message,
					g.at.Format("04:05.000"), m.CallSeq, b.sent[m].accepted.Format("04:05.000"))
				seen[m] = true
			}
		}
		if x := b.sent[g.message]; x != nil && x.tries > 0 && x.rejected >= x.tries {
			b.addViolation(Refused, "%s got %v, each of whose %d tries was turned away", s.client, g.message, x.tries)
		}
	}
}

// judgeNumber judges whether a message came before under another of its numbers. numbers has, for the
// first number of each message, the one that it came under.
func (s *Subscription) judgeNumber(numbers map[Message]Message, g receipt) {
	first := s.checker.first(g.message)
	if number, ok := numbers[first]; ok {
		s.checker.addViolation(Twice, "%s got %v at %s, a message that it had got as call %d", s.client, g.message,
			g.at.Format("04:05.000"), number.CallSeq)
	}
	numbers[first] = g.message
}

func (s *Subscription) complete(cut time.Time) {
	for m, x := range s.checker.sent {
		if s.owed(m, x) && s.have[m] == 0 && x.accepted.Before(cut) && s.open(cut) &&
			(!s.late || x.accepted.After(cut.Add(-s.checker.Keeping))) {
			s.checker.addViolation(Lost, "%s never got %v, sent at %s, acknowledged at %s (joined at %s, late: %v)",
				s.client, m, x.at.Format("04:05.000"), x.accepted.Format("04:05.000"), s.since.Format("04:05.000"), s.late)
		}
	}
}

func (s *Subscription) open(cut time.Time) bool { return !s.expired && (s.end.IsZero() || s.end.After(cut)) }
