package history

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

func body(number uint64) string { return fmt.Sprintf("\"%d\"", number) }

func received(number uint64) Receipt {
	return Receipt{Message: msg(number), Body: body(number), Partition: 1, Offset: 10 + number,
		At: sec(float64(number) + 0.1)}
}

// soundHistory has no violation: three messages are accepted and received under two leaders, two
// configurations are accepted, and the messages are read back.
func soundHistory() *History {
	h := New()
	h.Bound = 12 * time.Second
	h.Lead(1, 1, "s1")
	h.Lead(1, 2, "s2")
	h.Decide(Decision{"s1", 1, 1, DecisionOpen, sec(0), sec(0)})
	h.Decide(Decision{"s1", 1, 1, "taken", sec(1), sec(1.1)})
	h.Decide(Decision{"s2", 1, 2, DecisionOpen, sec(2), sec(2)})
	h.Decide(Decision{"s2", 1, 2, "taken", sec(3), sec(3.1)})
	h.Promise("disk", "partition 1", Rank{Number: 1}, sec(0), sec(0))
	h.Promise("disk", "partition 1", Rank{Number: 2}, sec(2), sec(2))
	h.Subscribe("w", []string{"kept/a"}, nil, sec(0.5))
	for number := uint64(1); number <= 3; number++ {
		h.Send(msg(number), body(number), false, sec(float64(number)))
		h.AcceptMessage(msg(number), 1, 10+number, sec(float64(number)+0.05))
		h.Begin(WaitAccept, "kept/a", sec(float64(number)))(sec(float64(number) + 0.05))
		h.Receive("w", received(number))
	}
	h.AcceptConfiguration(0, 1, "one", sec(0))
	h.AcceptConfiguration(1, 2, "two", sec(2))
	h.AcceptConfiguration(1, 2, "two", sec(3))
	h.ObserveConfiguration("a1#1", 1, sec(4), 3*time.Second)
	h.ObserveConfiguration("a1#1", 2, sec(5), 3*time.Second)
	h.ReadConfiguration(2, sec(6))
	h.ReadMessages(Reading{Through: "a1", Topics: map[string]bool{"kept/a": true}, Since: sec(0.5),
		Got: []Receipt{received(1), received(2), received(3)}})
	return h
}

func violations(h *History) string {
	var found []string
	for _, violation := range h.Check(sec(10), sec(11)).Violations {
		found = append(found, violation.Rule+": "+violation.Message)
	}
	return strings.Join(found, "\n")
}

func TestSoundHistoryHasNoViolation(t *testing.T) { assert.Equal(t, violations(soundHistory()), "") }

// A violation of each rule is injected into a sound history, and the checker must name that rule.
func TestCheckerFindsEveryPlantedViolation(t *testing.T) {
	readMessages := func(receipts ...Receipt) func(h *History) {
		return func(h *History) {
			h.ReadMessages(Reading{Through: "c1", Topics: map[string]bool{"kept/a": true}, Since: sec(0.5),
				Got: receipts})
		}
	}
	moved := received(3)
	moved.Offset = 20
	receiveOther := func(h *History, receipts ...Receipt) {
		h.Subscribe("x", []string{"kept/a"}, nil, sec(0.5))
		for _, receipt := range receipts {
			h.Receive("x", receipt)
		}
	}
	elsewhere := received(2)
	elsewhere.Offset = 30
	injected := map[string]struct {
		rule   string
		inject func(h *History)
	}{
		"a subscriber gets a message twice":       {Twice, func(h *History) { h.Receive("w", received(2)) }},
		"a fresh subscriber gets a message twice": {Twice, readMessages(received(1), received(2), received(2), received(3))},
		"a message comes after a later one": {Order, func(h *History) {
			h.subscribers["w"].receipts[0], h.subscribers["w"].receipts[1] = received(2), received(1)
		}},
		"a message is answered with two positions": {Order, func(h *History) {
			h.AcceptMessage(msg(1), 1, 99, sec(5))
		}},
		"a message is read back at another position": {Order, readMessages(received(1), received(2), moved)},
		"an accepted message never arrives": {Lost, func(h *History) {
			h.subscribers["w"].receipts = h.subscribers["w"].receipts[:2]
		}},
		"an accepted message can't be read back": {Lost, readMessages(received(1), received(2))},
		"a returning subscriber misses a message": {Missed, func(h *History) {
			h.subscribers["w"].receipts = append(h.subscribers["w"].receipts[:1], h.subscribers["w"].receipts[2])
		}},
		"an old leader accepts after a new one opened": {Fenced, func(h *History) {
			h.Decide(Decision{"s1", 1, 1, "taken", sec(2.5), sec(2.6)})
		}},
		"an old leader rejects for good after that": {Fenced, func(h *History) {
			h.Decide(Decision{"s1", 1, 1, "no: call_passed", sec(2.5), sec(2.6)})
		}},
		"an old leader confirms an attachment after that": {Fenced, func(h *History) {
			h.Decide(Decision{"s1", 1, 1, "vouched", sec(2.5), sec(2.6)})
		}},
		"a message is at two positions": {Twice, func(h *History) { receiveOther(h, elsewhere) }},
		"calls are in the partition log out of order": {Order, func(h *History) {
			h.Send(msg(4), body(4), false, sec(4))
			h.AcceptMessage(msg(4), 1, 10, sec(4.1))
		}},
		"a subscriber misses what only another one got": {Missed, func(h *History) {
			h.Send(msg(4), body(4), false, sec(4))
			h.Send(msg(6), body(6), false, sec(6))
			receiveOther(h, received(1), received(2), received(3), received(4), received(6))
			h.Receive("w", received(6))
		}},
		"a call that was passed over arrives": {Foreign, func(h *History) { h.Pass(msg(2)) }},
		"a call that was passed over is accepted": {Foreign, func(h *History) {
			h.Pass(msg(4))
			h.Send(msg(4), body(4), false, sec(4))
			h.AcceptMessage(msg(4), 1, 14, sec(4.1))
		}},
		"a message arrives, though all its tries were rejected": {Foreign, func(h *History) {
			h.Try(msg(2))
			h.Try(msg(2))
			h.Reject(msg(2))
			h.Reject(msg(2))
		}},
		"a message after a gap is delivered before an earlier one": {Order, func(h *History) {
			h.Send(msg(9), body(9), false, sec(4))
			receiveOther(h, received(9), received(3))
		}},
		"a node decides under another's epoch": {Fenced, func(h *History) {
			h.Decide(Decision{"s3", 1, 2, "taken", sec(3), sec(3.1)})
		}},
		"an epoch has two leaders": {Fenced, func(h *History) { h.Lead(1, 2, "s3") }},
		"one position holds two messages": {Fenced, func(h *History) {
			h.Send(msg(4), body(4), false, sec(4))
			h.AcceptMessage(msg(4), 1, 13, sec(4.1))
		}},
		"a disk grants a lower rank than it granted before": {Disk, func(h *History) {
			h.Promise("disk", "partition 1", Rank{Number: 1}, sec(3), sec(3.1))
		}},
		"a message arrives with another body": {Foreign, func(h *History) {
			h.subscribers["w"].receipts[1].Body = `"x"`
		}},
		"a message arrives that no client sent": {Foreign, func(h *History) {
			h.subscribers["w"].receipts[2].From = "x"
		}},
		"a message arrives on a topic not subscribed to": {Foreign, func(h *History) {
			h.subscribers["w"].receipts[2].Topic = "kept/b"
		}},
		"a refused message arrives": {Foreign, func(h *History) {
			h.sent[msg(3)].outcome = Refused
			h.Refuse(msg(3), body(3))
		}},
		"a node shows an old configuration too long": {Spread, func(h *History) {
			h.ObserveConfiguration("a2#1", 1, sec(5.1), 3*time.Second)
		}},
		"a node's configuration goes back": {Spread, func(h *History) {
			h.ObserveConfiguration("a1#1", 1, sec(4.5), 3*time.Second)
		}},
		"a removed topic is served too long": {Spread, func(h *History) {
			h.ObserveEffect("a1", 1, sec(5.1), 3*time.Second, "took a message on a removed topic")
		}},
		"one base is accepted twice": {Invalid, func(h *History) {
			h.AcceptConfiguration(1, 2, "other", sec(7))
		}},
		"one base is accepted under two numbers": {Invalid, func(h *History) {
			h.AcceptConfiguration(1, 3, "two", sec(7))
		}},
		"one number is accepted on two bases": {Invalid, func(h *History) {
			h.AcceptConfiguration(3, 2, "two", sec(7))
		}},
		"an invalid configuration is applied": {Invalid, func(h *History) {
			h.ObserveContents("a1", 2, "spaces of the loser", "spaces of the winner")
		}},
		"an older configuration is read back": {Readback, func(h *History) { h.ReadConfiguration(1, sec(7)) }},
		"a wait outlasts the bound": {Recovery, func(h *History) {
			h.Begin(WaitAccept, "kept/a", sec(-3))(sec(9.5))
		}},
		"a call is never answered": {Recovery, func(h *History) { h.Begin(WaitAttach, "w", sec(-2)) }},
		"a wait outlasts the bound after the last fault": {Recovery, func(h *History) {
			h.AddFault("kill", sec(-5))
			h.Begin(WaitOpen, "w", sec(-8))(sec(8))
		}},
		"an urgent call waits for routine work": {Behind, func(h *History) {
			h.UrgentCall("stop/line", "a routine turn", 2*time.Second, time.Second)
		}},
	}
	hit := map[string]bool{}
	for name, injection := range injected {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			injection.inject(h)
			found := violations(h)
			assert.Assert(t, strings.Contains(found, injection.rule), "injected %q, found %q", name, found)
		})
		hit[injection.rule] = true
	}
	for _, rule := range Rules {
		assert.Assert(t, hit[rule], "no violation of %s is injected", rule)
	}
	h := soundHistory()
	h.Try(msg(2))
	h.Reject(msg(2))
	h.Try(msg(2))
	h.Pass(msg(5))
	h.Send(msg(5), body(5), false, sec(5))
	h.Send(msg(9), body(9), false, sec(5))
	h.AcceptMessage(msg(9), 1, 19, sec(5.1))
	h.Receive("w", received(9))
	h.ReadMessages(Reading{Through: "a2", Topics: map[string]bool{"kept/a": true}, Since: sec(5),
		Got: []Receipt{received(9)}})
	h.readings = h.readings[1:]
	assert.Equal(t, violations(h), "", "gaps are allowed, and so is a rejected try before an accepted one")
	h = soundHistory()
	h.AddFault("kill", sec(1))
	h.Begin(WaitOpen, "w", sec(-8))(sec(8))
	assert.Equal(t, violations(h), "", "a wait with a fault in its middle is measured from the fault on")
}
