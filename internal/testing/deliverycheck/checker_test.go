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

func (run scenario) send(number uint64, seconds float64) {
	run.Try(msg(number), "", body(number), sec(seconds))
	run.Accepted(msg(number), sec(seconds+0.1))
}

func (run scenario) receive(subscription *Subscription, numbers ...uint64) {
	for _, number := range numbers {
		subscription.Received(msg(number), body(number), Position{}, sec(float64(number)+0.2))
	}
}

// soundScenario has two clients and no violation. The first one uses two connections and then ends
// its subscription. The second one keeps its connection.
func soundScenario() scenario {
	run := scenario{Checker: New(35*time.Second, 5*time.Second)}
	run.first, run.second = run.Subscribe("w", "kept/a", true), run.Subscribe("x", "kept/a", true)
	run.first.Joined(sec(0.5))
	run.second.Joined(sec(0.6))
	run.BeginPresence("kept/a", sec(0.4)).Joined(sec(0.5))
	run.BeginPresence("kept/a", sec(0.5)).Joined(sec(0.6))
	for _, number := range []uint64{1, 3, 4, 7} {
		run.send(number, float64(number))
	}
	run.receive(run.first, 1, 3)
	run.first.Joined(sec(3.5))
	run.receive(run.first, 4, 7)
	run.receive(run.second, 1, 3, 4, 7)
	run.Try(msg(8), "", body(8), sec(8))
	run.Rejected(msg(8))
	run.Try(msg(8), "", body(8), sec(8.5))
	run.receive(run.second, 8)
	run.receive(run.first, 8)
	run.first.Ended(sec(9))
	run.send(10, 10)
	run.receive(run.second, 10)
	run.Count("kept/a", 2, sec(8), sec(8), true)
	return run
}

func (run scenario) violations() string {
	_, violations := run.Judge(sec(20))
	var lines []string
	for _, violation := range violations {
		lines = append(lines, violation.Rule+": "+violation.Message)
	}
	return strings.Join(lines, "\n")
}

func TestSoundScenarioHasNoViolation(t *testing.T) {
	assert.Equal(t, soundScenario().violations(), "")
	run := soundScenario()
	subscription := run.Subscribe("z", "live/a", false)
	subscription.Joined(sec(1))
	run.Try(Message{"live/a", "v", 20}, "", "b", sec(2))
	subscription.Received(Message{"live/a", "v", 20}, "b", Position{}, sec(3))
	subscription.Joined(sec(4))
	subscription.Received(Message{"live/a", "v", 20}, "b", Position{}, sec(5))
	assert.Equal(t, run.violations(), "", "a live message may arrive again on another connection")
	run = soundScenario()
	late := run.Subscribe("y", "kept/a", true)
	late.Joined(sec(0.5))
	late.Expired(sec(50))
	_, violations := run.Judge(sec(60))
	assert.Equal(t, len(violations), 0, "a cursor may expire once it lacks a message older than the retention time: %v",
		violations)
}

func TestPlantedBreachIsFound(t *testing.T) {
	injected := map[string]struct {
		rule   string
		inject func(run scenario)
	}{
		"a message comes twice": {Twice, func(run scenario) { run.receive(run.second, 10) }},
		"a message comes again on a later connection": {Twice, func(run scenario) {
			run.first.Joined(sec(9))
			run.receive(run.first, 1)
		}},
		"a message comes again under another number": {Twice, func(run scenario) {
			run.Try(msg(11), "", body(11), sec(11))
			run.Renumber(msg(11), msg(10))
			run.receive(run.second, 11)
		}},
		"a message comes again under a third number": {Twice, func(run scenario) {
			run.Try(msg(11), "", body(11), sec(11))
			run.Renumber(msg(11), msg(10))
			run.Try(msg(12), "", body(12), sec(12))
			run.Renumber(msg(12), msg(11))
			run.receive(run.second, 12)
		}},
		"a message comes after a later one": {Order, func(run scenario) {
			run.second.receipts[1], run.second.receipts[2] = run.second.receipts[2], run.second.receipts[1]
		}},
		"a guaranteed message is skipped": {Order, func(run scenario) {
			run.second.receipts = append(run.second.receipts[:1], run.second.receipts[2:]...)
		}},
		"clients get messages in two orders": {Order, func(run scenario) { deliverInTwoOrders(run) }},
		"a guaranteed message is missing at the end": {Lost, func(run scenario) {
			run.second.receipts = run.second.receipts[:5]
			delete(run.second.receivedCount, msg(10))
		}},
		"a client with another's cursor misses a message": {Lost, func(run scenario) {
			subscription := run.SubscribeFromCursor("l", msg(1), sec(2))
			subscription.Joined(sec(19))
			run.receive(subscription, 4, 7, 8, 10)
		}},
		"a cursor expires too early": {Expired, func(run scenario) { run.second.Expired(sec(12)) }},
		"a message has another body": {Mixed, func(run scenario) {
			run.second.Received(msg(10), "x", Position{}, sec(11))
		}},
		"a message was never sent": {Mixed, func(run scenario) { run.receive(run.second, 11) }},
		"a message names another sender": {Mixed, func(run scenario) {
			run.second.Received(Message{"kept/a", "u", 10}, body(10), Position{}, sec(11))
		}},
		"a message names another topic": {Mixed, func(run scenario) {
			run.second.Received(Message{"kept/b", "v", 10}, body(10), Position{}, sec(11))
		}},
		"a message comes on a topic that was left":  {Mixed, func(run scenario) { run.Stray("w", msg(10), sec(11)) }},
		"an answer comes to what was never sent":    {Mixed, func(run scenario) { run.Accepted(msg(30), sec(11)) }},
		"a message comes whose tries were rejected": {Refused, func(run scenario) { run.Rejected(msg(8)) }},
		"more listeners are counted than ever were present": {Count, func(run scenario) {
			run.Count("kept/a", 5, sec(8), sec(8), false)
		}},
		"fewer listeners are counted than were present all the time": {Count, func(run scenario) {
			run.Count("kept/a", 1, sec(8), sec(8), true)
		}},
	}
	for name, injection := range withdrawals {
		injected[name] = struct {
			rule   string
			inject func(run scenario)
		}{injection.rule, injection.inject}
	}
	hit := map[string]bool{}
	for name, injection := range injected {
		t.Run(name, func(t *testing.T) {
			run := soundScenario()
			injection.inject(run)
			found := run.violations()
			assert.Assert(t, strings.Contains(found, injection.rule+": "), "injected %q, found %q", name, found)
		})
		hit[injection.rule] = true
	}
	for _, rule := range Rules {
		assert.Assert(t, hit[rule], "no violation of %s is injected", rule)
	}
}

func deliverInTwoOrders(run scenario) {
	first, second := Message{"kept/b", "v", 1}, Message{"kept/b", "u", 1}
	run.Try(first, "", "a", sec(11))
	run.Try(second, "", "b", sec(11))
	inOrder, reversed := run.Subscribe("y", "kept/b", true), run.Subscribe("z", "kept/b", true)
	inOrder.Joined(sec(10))
	reversed.Joined(sec(10))
	inOrder.Received(first, "a", Position{}, sec(12))
	inOrder.Received(second, "b", Position{}, sec(12))
	reversed.Received(second, "b", Position{}, sec(12))
	reversed.Received(first, "a", Position{}, sec(12))
}
