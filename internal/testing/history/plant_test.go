package history

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func sec(n float64) time.Time { return t0.Add(time.Duration(n * float64(time.Second))) }

func msg(n uint64) Message { return Message{"kept/a", "v", n} }

func body(n uint64) string { return fmt.Sprintf("\"%d\"", n) }

func got(n uint64) Receipt {
	return Receipt{Message: msg(n), Body: body(n), Partition: 1, Offset: 10 + n, At: sec(float64(n) + 0.1)}
}

// day is a sound history: three messages taken and received, two owners, a description, a reading
// back.
func day() *History {
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
	for n := uint64(1); n <= 3; n++ {
		h.Send(msg(n), body(n), false, sec(float64(n)))
		h.AcceptMessage(msg(n), 1, 10+n, sec(float64(n)+0.05))
		h.Begin(WaitAccept, "kept/a", sec(float64(n)))(sec(float64(n) + 0.05))
		h.Receive("w", got(n))
	}
	h.AcceptConfiguration(0, 1, "one", sec(0))
	h.AcceptConfiguration(1, 2, "two", sec(2))
	h.AcceptConfiguration(1, 2, "two", sec(3))
	h.ObserveConfiguration("a1#1", 1, sec(4), 3*time.Second)
	h.ObserveConfiguration("a1#1", 2, sec(5), 3*time.Second)
	h.ReadConfiguration(2, sec(6))
	h.ReadMessages(Reading{Through: "a1", Topics: map[string]bool{"kept/a": true}, Since: sec(0.5),
		Got: []Receipt{got(1), got(2), got(3)}})
	return h
}

func lines(h *History) string {
	var s []string
	for _, v := range h.Check(sec(10), sec(11)).Violations {
		s = append(s, v.Rule+": "+v.Message)
	}
	return strings.Join(s, "\n")
}

func TestSoundDayHasNoViolation(t *testing.T) { assert.Equal(t, lines(day()), "") }

// Each line of the never-list is planted in a sound day, and the checker must name that line.
func TestCheckerFindsEveryPlantedViolation(t *testing.T) {
	reread := func(g ...Receipt) func(h *History) {
		return func(h *History) {
			h.ReadMessages(Reading{Through: "c1", Topics: map[string]bool{"kept/a": true}, Since: sec(0.5), Got: g})
		}
	}
	moved := got(3)
	moved.Offset = 20
	other := func(h *History, g ...Receipt) {
		h.Subscribe("x", []string{"kept/a"}, nil, sec(0.5))
		for _, r := range g {
			h.Receive("x", r)
		}
	}
	elsewhere := got(2)
	elsewhere.Offset = 30
	planted := map[string]struct {
		line  string
		plant func(h *History)
	}{
		"a subscriber gets a message twice":       {Twice, func(h *History) { h.Receive("w", got(2)) }},
		"a fresh subscriber gets a message twice": {Twice, reread(got(1), got(2), got(2), got(3))},
		"a message comes after a later one": {Order, func(h *History) {
			h.subs["w"].got[0], h.subs["w"].got[1] = got(2), got(1)
		}},
		"a message is answered with two places":   {Order, func(h *History) { h.AcceptMessage(msg(1), 1, 99, sec(5)) }},
		"a message is read back at another place": {Order, reread(got(1), got(2), moved)},
		"a taken message never arrives":           {Lost, func(h *History) { h.subs["w"].got = h.subs["w"].got[:2] }},
		"a taken message can't be read back":      {Lost, reread(got(1), got(2))},
		"a returning subscriber misses a message": {Missed, func(h *History) {
			h.subs["w"].got = append(h.subs["w"].got[:1], h.subs["w"].got[2])
		}},
		"an old owner says yes after a new one opened": {Fenced, func(h *History) {
			h.Decide(Decision{"s1", 1, 1, "taken", sec(2.5), sec(2.6)})
		}},
		"an old owner says a final no after that": {Fenced, func(h *History) {
			h.Decide(Decision{"s1", 1, 1, "no: call_passed", sec(2.5), sec(2.6)})
		}},
		"an old owner vouches after that": {Fenced, func(h *History) {
			h.Decide(Decision{"s1", 1, 1, "vouched", sec(2.5), sec(2.6)})
		}},
		"a message stands at two places": {Twice, func(h *History) { other(h, elsewhere) }},
		"calls stand in the ledger out of their order": {Order, func(h *History) {
			h.Send(msg(4), body(4), false, sec(4))
			h.AcceptMessage(msg(4), 1, 10, sec(4.1))
		}},
		"a subscriber misses what only another got": {Missed, func(h *History) {
			h.Send(msg(4), body(4), false, sec(4))
			h.Send(msg(6), body(6), false, sec(6))
			other(h, got(1), got(2), got(3), got(4), got(6))
			h.Receive("w", got(6))
		}},
		"a call that was passed over arrives": {Foreign, func(h *History) { h.Pass(msg(2)) }},
		"a call that was passed over is taken": {Foreign, func(h *History) {
			h.Pass(msg(4))
			h.Send(msg(4), body(4), false, sec(4))
			h.AcceptMessage(msg(4), 1, 14, sec(4.1))
		}},
		"a message arrives, its every try turned away": {Foreign, func(h *History) {
			h.Try(msg(2))
			h.Try(msg(2))
			h.Reject(msg(2))
			h.Reject(msg(2))
		}},
		"a message with gaps is given out behind itself": {Order, func(h *History) {
			h.Send(msg(9), body(9), false, sec(4))
			other(h, got(9), got(3))
		}},
		"a node decides under another's epoch": {Fenced, func(h *History) {
			h.Decide(Decision{"s3", 1, 2, "taken", sec(3), sec(3.1)})
		}},
		"an epoch has two owners": {Fenced, func(h *History) { h.Lead(1, 2, "s3") }},
		"one place holds two messages": {Fenced, func(h *History) {
			h.Send(msg(4), body(4), false, sec(4))
			h.AcceptMessage(msg(4), 1, 13, sec(4.1))
		}},
		"a disk says yes below what it said yes to": {Disk, func(h *History) {
			h.Promise("disk", "partition 1", Rank{Number: 1}, sec(3), sec(3.1))
		}},
		"a message arrives with another body":        {Foreign, func(h *History) { h.subs["w"].got[1].Body = `"x"` }},
		"a message arrives that nobody sent":         {Foreign, func(h *History) { h.subs["w"].got[2].From = "x" }},
		"a message arrives on a topic not asked for": {Foreign, func(h *History) { h.subs["w"].got[2].Topic = "kept/b" }},
		"a refused message arrives": {Foreign, func(h *History) {
			h.sent[msg(3)].outcome = Refused
			h.Refuse(msg(3), body(3))
		}},
		"a node shows an old description too long": {Spread, func(h *History) {
			h.ObserveConfiguration("a2#1", 1, sec(5.1), 3*time.Second)
		}},
		"a node's description slips back": {Spread, func(h *History) {
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
		"an invalid description is applied": {Invalid, func(h *History) {
			h.ObserveContents("a1", 2, "spaces of the loser", "spaces of the winner")
		}},
		"an older description is read back": {Readback, func(h *History) { h.ReadConfiguration(1, sec(7)) }},
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
	for n, p := range planted {
		t.Run(n, func(t *testing.T) {
			h := day()
			p.plant(h)
			s := lines(h)
			assert.Assert(t, strings.Contains(s, p.line), "planted %q, found %q", n, s)
		})
		hit[p.line] = true
	}
	for _, l := range Rules {
		assert.Assert(t, hit[l], "nothing is planted for %s", l)
	}
	h := day()
	h.Try(msg(2))
	h.Reject(msg(2))
	h.Try(msg(2))
	h.Pass(msg(5))
	h.Send(msg(5), body(5), false, sec(5))
	h.Send(msg(9), body(9), false, sec(5))
	h.AcceptMessage(msg(9), 1, 19, sec(5.1))
	h.Receive("w", got(9))
	h.ReadMessages(Reading{Through: "a2", Topics: map[string]bool{"kept/a": true}, Since: sec(5), Got: []Receipt{got(9)}})
	h.readBacks = h.readBacks[1:]
	assert.Equal(t, lines(h), "", "gaps are sound, so is a try turned away before one that was not")
	h = day()
	h.AddFault("kill", sec(1))
	h.Begin(WaitOpen, "w", sec(-8))(sec(8))
	assert.Equal(t, lines(h), "", "a wait with a fault in its middle is judged from the fault on")
}
