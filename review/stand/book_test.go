//go:build review

package stand

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const storePeriod = 35 * time.Second

// try is one publish of a message and what was answered to it, "" for nothing.
type try struct {
	seq    uint64
	answer string
}

// message is one thing that a client wants to send; its tries may have several numbers.
type message struct {
	sender, topic, body string
	kept                bool
	firstSent           time.Time
	tries               []*try
	ackedAt             time.Time
	ackedSeq            uint64
	delivered           int
}

// got is one delivery to a subscription.
type got struct {
	m      *message
	seq    uint64
	cursor string
	at     time.Time
}

// subscription is one client's place on one topic, across its connections.
type subscription struct {
	client, topic string
	kept          bool
	okAt, endedAt time.Time
	cursor        string
	got           []got
	seen          map[*message]bool
	last          map[string]uint64
	// must, where set, are messages that a saved cursor owes; until says by when.
	must []*message
}

// book records what clients saw and judges it by the rules.
type book struct {
	mu        sync.Mutex
	rec       *recorder
	byNumber  map[string]*message
	messages  []*message
	subs      []*subscription
	broken    []string
	counts    map[string]int
	deadUntil time.Time
}

func newBook(rec *recorder) *book {
	return &book{rec: rec, byNumber: map[string]*message{}, counts: map[string]int{}}
}

func (b *book) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	b.broken = append(b.broken, text)
	b.rec.log("BROKEN %s", text)
}

func number(sender string, seq uint64) string { return fmt.Sprintf("%s %d", sender, seq) }

// sent notes a try; the same number again is a further try of the same message.
func (b *book) sent(m *message, seq uint64) *try {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(m.tries) == 0 {
		m.firstSent = time.Now()
		b.messages = append(b.messages, m)
	}
	t := &try{seq: seq}
	m.tries = append(m.tries, t)
	b.byNumber[number(m.sender, seq)] = m
	b.counts["sent"]++
	return t
}

func (b *book) answered(m *message, t *try, answer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.answer = answer
	b.counts["answer "+answer]++
	if answer == wAccept && m.ackedAt.IsZero() {
		m.ackedAt, m.ackedSeq = time.Now(), t.seq
	}
}

func (b *book) newSubscription(client, topic string, kept bool) *subscription {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &subscription{client: client, topic: topic, kept: kept, seen: map[*message]bool{}, last: map[string]uint64{}}
	b.subs = append(b.subs, s)
	return s
}

// newConnection forgets the order of a live topic, which holds within one connection.
func (b *book) newConnection(s *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.kept {
		s.last = map[string]uint64{}
	}
}

func (b *book) confirmed(s *subscription, cursor string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.okAt.IsZero() {
		s.okAt = time.Now()
	}
	if s.cursor == "" {
		s.cursor = cursor
	}
}

func (b *book) delivered(s *subscription, sender string, seq uint64, cursor, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts["delivered"]++
	m := b.byNumber[number(sender, seq)]
	if m == nil || m.topic != s.topic || m.body != body {
		b.breaks("MIXED", "%s got %s %d on %s, which nobody sent so", s.client, sender, seq, s.topic)
		return
	}
	if s.seen[m] {
		b.breaks("ORDER", "%s got %s %d on %s twice", s.client, sender, seq, s.topic)
	}
	if seq < s.last[sender] {
		b.breaks("ORDER", "%s got %s %d on %s after %d", s.client, sender, seq, s.topic, s.last[sender])
	}
	for _, t := range m.tries {
		if t.seq == seq && t.answer == wCongest {
			b.counts["delivered though "+wCongest+" was answered to the number"]++
			b.rec.log("PROMISE %s got %s %d on %s, a try of which was answered "+wCongest, s.client, sender, seq, s.topic)
			break
		}
	}
	s.seen[m], s.last[sender], s.cursor = true, max(s.last[sender], seq), cursor
	s.got = append(s.got, got{m, seq, cursor, time.Now()})
	m.delivered++
}

// lacking returns the owed messages that a subscription has not got.
func (b *book) lacking(s *subscription) []*message {
	var all []*message
	if s.okAt.IsZero() || !s.kept {
		return nil
	}
	for _, m := range b.messages {
		owed := m.topic == s.topic && !m.ackedAt.IsZero() && m.firstSent.After(s.okAt) &&
			(s.endedAt.IsZero() || m.ackedAt.Before(s.endedAt))
		if owed && !s.seen[m] {
			all = append(all, m)
		}
	}
	return all
}

func (b *book) expired(s *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts["expired"]++
	if !s.kept {
		return
	}
	young := true
	lacking := b.lacking(s)
	for _, m := range lacking {
		young = young && time.Since(m.firstSent) < storePeriod
	}
	if young {
		b.breaks("LOST", "%s can't take up %s, though all %d messages that it lacks are young",
			s.client, s.topic, len(lacking))
	}
}

func (b *book) mixed(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaks("MIXED", format, args...)
}

func (b *book) count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

// judge closes the book: what is owed has had its time.
func (b *book) judge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.subs {
		// What was under way when a client ended its subscription need not come any more.
		if !s.endedAt.IsZero() {
			continue
		}
		for _, m := range b.lacking(s) {
			b.breaks("LOST", "%s never got %s %d on %s, acknowledged at %.3f",
				s.client, m.sender, m.ackedSeq, s.topic, m.ackedAt.Sub(b.rec.begun).Seconds())
		}
		for _, m := range s.must {
			if !s.seen[m] {
				b.breaks("LOST", "%s took up a saved place on %s and did not get %s %d, acknowledged at %.3f",
					s.client, s.topic, m.sender, m.ackedSeq, m.ackedAt.Sub(b.rec.begun).Seconds())
			}
		}
	}
	for _, m := range b.messages {
		refused := true
		for _, t := range m.tries {
			refused = refused && t.answer == wCongest
		}
		if refused && m.delivered > 0 {
			b.breaks("REFUSED", "%s on %s was delivered though all tries were answered "+wCongest+": %v",
				m.sender, m.topic, m.tries[0].seq)
		}
	}
	b.compareOrders()
}

// compareOrders checks that all subscriptions to a topic have one order.
func (b *book) compareOrders() {
	byTopic := map[string][]*subscription{}
	for _, s := range b.subs {
		byTopic[s.topic] = append(byTopic[s.topic], s)
	}
	for topic, subs := range byTopic {
		sort.Slice(subs, func(i, k int) bool { return len(subs[i].got) > len(subs[k].got) })
		place := map[string]int{}
		for i, g := range subs[0].got {
			place[number(g.m.sender, g.seq)] = i
		}
		for _, s := range subs[1:] {
			last := -1
			for _, g := range s.got {
				if p, ok := place[number(g.m.sender, g.seq)]; ok {
					if p < last {
						b.breaks("ORDER", "%s and %s got %s in differing orders", s.client, subs[0].client, topic)
						break
					}
					last = p
				}
			}
		}
	}
}

func (b *book) summary() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var parts []string
	for what, n := range b.counts {
		parts = append(parts, fmt.Sprintf("%s %d", what, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// left notes that the client ended a subscription.
func (b *book) left(s *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.endedAt = time.Now()
}

// mayStand reports whether a number of a message had another answer than "congested", or none.
func (b *book) mayStand(m *message, seq uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range m.tries {
		if t.seq == seq && t.answer != wCongest {
			return true
		}
	}
	return false
}
