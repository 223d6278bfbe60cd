package deliverycheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func sec(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func msg(number uint64) Message { return Message{"kept/a", "v", number} }

func body(number uint64) string { return fmt.Sprintf("body %d", number) }

type scenario struct {
	*Checker
	first, second *Subscription
}

func (s scenario) send(number uint64, seconds float64) {
	s.Try(msg(number), "", body(number), sec(seconds))
	s.Accepted(msg(number), sec(seconds+0.1))
}

func (s scenario) receive(subscription *Subscription, numbers ...uint64) {
	for _, number := range numbers {
		subscription.Received(msg(number), body(number), Position{}, sec(float64(number)+0.2))
	}
}

// soundScenario has two clients and no violation. The first one uses two connections and then ends
// its subscription. The second one keeps its connection.
func soundScenario() scenario {
	s := scenario{Checker: New(35*time.Second, 5*time.Second)}
	s.first, s.second = s.Subscribe("w", "kept/a", true), s.Subscribe("x", "kept/a", true)
	s.first.Joined(sec(0.5))
	s.second.Joined(sec(0.6))
	s.BeginPresence("kept/a", sec(0.4)).Joined(sec(0.5))
	s.BeginPresence("kept/a", sec(0.5)).Joined(sec(0.6))
	for _, number := range []uint64{1, 3, 4, 7} {
		s.send(number, float64(number))
	}
	s.receive(s.first, 1, 3)
	s.first.Joined(sec(3.5))
	s.receive(s.first, 4, 7)
	s.receive(s.second, 1, 3, 4, 7)
	s.Try(msg(8), "", body(8), sec(8))
	s.Rejected(msg(8))
	s.Try(msg(8), "", body(8), sec(8.5))
	s.receive(s.second, 8)
	s.receive(s.first, 8)
	s.first.Ended(sec(9))
	s.send(10, 10)
	s.receive(s.second, 10)
	s.Count("kept/a", 2, sec(8), sec(8), true)
	return s
}

func (s scenario) violations() string {
	_, violations := s.Judge(sec(20))
	var lines []string
	for _, violation := range violations {
		lines = append(lines, violation.Rule+": "+violation.Message)
	}
	return strings.Join(lines, "\n")
}

func TestSoundScenarioHasNoViolation(t *testing.T) {
	assert.Equal(t, soundScenario().violations(), "")
	s := soundScenario()
	subscription := s.Subscribe("z", "live/a", false)
	subscription.Joined(sec(1))
	s.Try(Message{"live/a", "v", 20}, "", "b", sec(2))
	subscription.Received(Message{"live/a", "v", 20}, "b", Position{}, sec(3))
	subscription.Joined(sec(4))
	subscription.Received(Message{"live/a", "v", 20}, "b", Position{}, sec(5))
	assert.Equal(t, s.violations(), "", "a live message may arrive again on another connection")
	s = soundScenario()
	expiring := s.Subscribe("y", "kept/a", true)
	expiring.Joined(sec(0.5))
	expiring.Expired(sec(50))
	_, violations := s.Judge(sec(60))
	assert.Equal(t, len(violations), 0, "a cursor may expire once it lacks a message older than the retention time: %v",
		violations)
}

func TestPlantedBreachIsFound(t *testing.T) {
	injected := map[string]struct {
		rule   string
		inject func(s scenario)
	}{
		"a message comes twice": {Twice, func(s scenario) { s.receive(s.second, 10) }},
		"a message comes again on a later connection": {Twice, func(s scenario) {
			s.first.Joined(sec(9))
			s.receive(s.first, 1)
		}},
		"a message comes again under another number": {Twice, func(s scenario) {
			s.Try(msg(11), "", body(11), sec(11))
			s.Renumber(msg(11), msg(10))
			s.receive(s.second, 11)
		}},
		"a message comes again under a third number": {Twice, func(s scenario) {
			s.Try(msg(11), "", body(11), sec(11))
			s.Renumber(msg(11), msg(10))
			s.Try(msg(12), "", body(12), sec(12))
			s.Renumber(msg(12), msg(11))
			s.receive(s.second, 12)
		}},
		"a message comes after a later one": {Order, func(s scenario) {
			s.second.receipts[1], s.second.receipts[2] = s.second.receipts[2], s.second.receipts[1]
		}},
		"a guaranteed message is skipped": {Order, func(s scenario) {
			s.second.receipts = append(s.second.receipts[:1], s.second.receipts[2:]...)
		}},
		"clients get messages in two orders": {Order, func(s scenario) { deliverInTwoOrders(s) }},
		"a guaranteed message is missing at the end": {Lost, func(s scenario) {
			s.second.receipts = s.second.receipts[:5]
			delete(s.second.receivedCount, msg(10))
		}},
		"a client with another's cursor misses a message": {Lost, func(s scenario) {
			subscription := s.SubscribeFromCursor("l", msg(1), sec(2))
			subscription.Joined(sec(19))
			s.receive(subscription, 4, 7, 8, 10)
		}},
		"a cursor expires too early": {Expired, func(s scenario) { s.second.Expired(sec(12)) }},
		"a message has another body": {Mixed, func(s scenario) {
			s.second.Received(msg(10), "x", Position{}, sec(11))
		}},
		"a message was never sent": {Mixed, func(s scenario) { s.receive(s.second, 11) }},
		"a message names another sender": {Mixed, func(s scenario) {
			s.second.Received(Message{"kept/a", "u", 10}, body(10), Position{}, sec(11))
		}},
		"a message names another topic": {Mixed, func(s scenario) {
			s.second.Received(Message{"kept/b", "v", 10}, body(10), Position{}, sec(11))
		}},
		"a message comes on a topic that was left":  {Mixed, func(s scenario) { s.Stray("w", msg(10), sec(11)) }},
		"an answer comes to what was never sent":    {Mixed, func(s scenario) { s.Accepted(msg(30), sec(11)) }},
		"a message comes whose tries were rejected": {Refused, func(s scenario) { s.Rejected(msg(8)) }},
		"more listeners are counted than ever were present": {Count, func(s scenario) {
			s.Count("kept/a", 5, sec(8), sec(8), false)
		}},
		"fewer listeners are counted than were present all the time": {Count, func(s scenario) {
			s.Count("kept/a", 1, sec(8), sec(8), true)
		}},
	}
	for name, injection := range withdrawals {
		injected[name] = struct {
			rule   string
			inject func(s scenario)
		}{injection.rule, injection.inject}
	}
	hit := map[string]bool{}
	for name, injection := range injected {
		t.Run(name, func(t *testing.T) {
			s := soundScenario()
			injection.inject(s)
			found := s.violations()
			assert.Assert(t, strings.Contains(found, injection.rule+": "), "injected %q, found %q", name, found)
		})
		hit[injection.rule] = true
	}
	for _, rule := range Rules {
		assert.Assert(t, hit[rule], "no violation of %s is injected", rule)
	}
}

func deliverInTwoOrders(s scenario) {
	first, second := Message{"kept/b", "v", 1}, Message{"kept/b", "u", 1}
	s.Try(first, "", "a", sec(11))
	s.Try(second, "", "b", sec(11))
	inOrder, reversed := s.Subscribe("y", "kept/b", true), s.Subscribe("z", "kept/b", true)
	inOrder.Joined(sec(10))
	reversed.Joined(sec(10))
	inOrder.Received(first, "a", Position{}, sec(12))
	inOrder.Received(second, "b", Position{}, sec(12))
	reversed.Received(second, "b", Position{}, sec(12))
	reversed.Received(first, "a", Position{}, sec(12))
}
