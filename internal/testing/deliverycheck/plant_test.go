package deliverycheck

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

func body(n uint64) string { return fmt.Sprintf("body %d", n) }

type day struct {
	*Checker
	w, x *Subscription
}

func (d day) send(n uint64, at float64) {
	d.Try(msg(n), "", body(n), sec(at))
	d.Accepted(msg(n), sec(at+0.1))
}

func (d day) got(s *Subscription, ns ...uint64) {
	for _, n := range ns {
		s.Received(msg(n), body(n), Position{}, sec(float64(n)+0.2))
	}
}

// sound is a day with two visitors: one joins first, goes through two connections and leaves, the
// other stays.
func sound() day {
	d := day{Checker: New(35*time.Second, 5*time.Second)}
	d.w, d.x = d.Subscribe("w", "kept/a", true), d.Subscribe("x", "kept/a", true)
	d.w.Joined(sec(0.5))
	d.x.Joined(sec(0.6))
	d.BeginPresence("kept/a", sec(0.4)).Joined(sec(0.5))
	d.BeginPresence("kept/a", sec(0.5)).Joined(sec(0.6))
	for _, n := range []uint64{1, 3, 4, 7} {
		d.send(n, float64(n))
	}
	d.got(d.w, 1, 3)
	d.w.Joined(sec(3.5))
	d.got(d.w, 4, 7)
	d.got(d.x, 1, 3, 4, 7)
	d.Try(msg(8), "", body(8), sec(8))
	d.Rejected(msg(8))
	d.Try(msg(8), "", body(8), sec(8.5))
	d.got(d.x, 8)
	d.got(d.w, 8)
	d.w.Ended(sec(9))
	d.send(10, 10)
	d.got(d.x, 10)
	d.Count("kept/a", 2, sec(8), sec(8), true)
	return d
}

func (d day) found() string {
	_, bs := d.Judge(sec(20))
	var s []string
	for _, b := range bs {
		s = append(s, b.Rule+": "+b.Message)
	}
	return strings.Join(s, "\n")
}

func TestSoundDayHasNoBreach(t *testing.T) {
	assert.Equal(t, sound().found(), "")
	d := sound()
	s := d.Subscribe("z", "live/a", false)
	s.Joined(sec(1))
	d.Try(Message{"live/a", "v", 20}, "", "b", sec(2))
	s.Received(Message{"live/a", "v", 20}, "b", Position{}, sec(3))
	s.Joined(sec(4))
	s.Received(Message{"live/a", "v", 20}, "b", Position{}, sec(5))
	assert.Equal(t, d.found(), "", "a live message may come again on another connection")
	d = sound()
	late := d.Subscribe("y", "kept/a", true)
	late.Joined(sec(0.5))
	late.Expired(sec(50))
	_, bs := d.Judge(sec(60))
	assert.Equal(t, len(bs), 0, "a cursor may be too old once it lacks what is older than the keeping time: %v", bs)
}

func TestPlantedBreachIsFound(t *testing.T) {
	planted := map[string]struct {
		rule  string
		plant func(d day)
	}{
		"a message comes twice":                       {Twice, func(d day) { d.got(d.x, 10) }},
		"a message comes again on a later connection": {Twice, func(d day) { d.w.Joined(sec(9)); d.got(d.w, 1) }},
		"a message comes again under another number": {Twice, func(d day) {
			d.Try(msg(11), "", body(11), sec(11))
			d.Renumber(msg(11), msg(10))
			d.got(d.x, 11)
		}},
		"a message comes again under a third number": {Twice, func(d day) {
			d.Try(msg(11), "", body(11), sec(11))
			d.Renumber(msg(11), msg(10))
			d.Try(msg(12), "", body(12), sec(12))
			d.Renumber(msg(12), msg(11))
			d.got(d.x, 12)
		}},
		"a message comes after a later one": {Order, func(d day) {
			d.x.got[1], d.x.got[2] = d.x.got[2], d.x.got[1]
		}},
		"an owed message is passed over": {Order, func(d day) {
			d.x.got = append(d.x.got[:1], d.x.got[2:]...)
		}},
		"visitors see two lines": {Order, func(d day) { two(d) }},
		"an owed message is missing at the end": {Lost, func(d day) {
			d.x.got = d.x.got[:5]
			delete(d.x.have, msg(10))
		}},
		"a late visitor misses a message": {Lost, func(d day) {
			s := d.SubscribeFromCursor("l", msg(1), sec(2))
			s.Joined(sec(19))
			d.got(s, 4, 7, 8, 10)
		}},
		"a cursor is called too old too early": {Expired, func(d day) { d.x.Expired(sec(12)) }},
		"a message has another body":           {Mixed, func(d day) { d.x.Received(msg(10), "x", Position{}, sec(11)) }},
		"a message was never sent":             {Mixed, func(d day) { d.got(d.x, 11) }},
		"a message names another sender": {Mixed, func(d day) {
			d.x.Received(Message{"kept/a", "u", 10}, body(10), Position{}, sec(11))
		}},
		"a message names another topic": {Mixed, func(d day) {
			d.x.Received(Message{"kept/b", "v", 10}, body(10), Position{}, sec(11))
		}},
		"a message comes on a topic that was left":     {Mixed, func(d day) { d.Stray("w", msg(10), sec(11)) }},
		"an answer comes to what was never sent":       {Mixed, func(d day) { d.Accepted(msg(30), sec(11)) }},
		"a message comes whose tries were turned away": {Refused, func(d day) { d.Rejected(msg(8)) }},
		"more are counted than ever were there": {Count, func(d day) {
			d.Count("kept/a", 5, sec(8), sec(8), false)
		}},
		"fewer are counted than were there all the time": {Count, func(d day) { d.Count("kept/a", 1, sec(8), sec(8), true) }},
	}
	for n, f := range withdrawals {
		planted[n] = struct {
			rule  string
			plant func(d day)
		}{f.rule, f.plant}
	}
	hit := map[string]bool{}
	for n, p := range planted {
		t.Run(n, func(t *testing.T) {
			d := sound()
			p.plant(d)
			s := d.found()
			assert.Assert(t, strings.Contains(s, p.rule+": "), "planted %q, found %q", n, s)
		})
		hit[p.rule] = true
	}
	for _, r := range Rules {
		assert.Assert(t, hit[r], "nothing is planted for %s", r)
	}
}

func two(d day) {
	a, b := Message{"kept/b", "v", 1}, Message{"kept/b", "u", 1}
	d.Try(a, "", "a", sec(11))
	d.Try(b, "", "b", sec(11))
	y, z := d.Subscribe("y", "kept/b", true), d.Subscribe("z", "kept/b", true)
	y.Joined(sec(10))
	z.Joined(sec(10))
	y.Received(a, "a", Position{}, sec(12))
	y.Received(b, "b", Position{}, sec(12))
	z.Received(b, "b", Position{}, sec(12))
	z.Received(a, "a", Position{}, sec(12))
}
