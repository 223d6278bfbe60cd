package deliverycheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// keyed sends a message under the key k, as others than the sound day's are.
func (d day) keyed(from string, n uint64, at float64) Message {
	m := Message{"kept/a", from, n}
	d.Try(m, "k", body(n), sec(at))
	d.Accepted(m, sec(at+0.1))
	return m
}

func (d day) withdraw(by string, n uint64, at float64) *Withdrawal {
	return d.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: by, Call: n}, sec(at))
}

func (d day) shows(m Message, at float64, ss ...*Subscription) {
	for _, s := range ss {
		s.Received(m, body(m.CallSeq), Position{}, sec(at))
	}
}

// drawn plants a message under a key and its withdrawal in a sound day, which is shown to some
// before the yes and to nobody after.
func drawn(d day) (Message, *Withdrawal) {
	m := d.keyed("u", 1, 11)
	w := d.withdraw("w", 1, 12)
	w.Recorded(sec(12.5))
	d.shows(m, 12.9, d.x)
	w.Completed(Position{}, sec(13))
	return m, w
}

var withdrawals = map[string]struct {
	rule  string
	plant func(d day)
}{
	"a withdrawn message is shown after the yes": {Withdrawn, func(d day) {
		m, _ := drawn(d)
		s := d.Subscribe("y", "kept/a", true)
		s.Joined(sec(10))
		d.shows(m, 13.1, s)
	}},
	"a withdrawn message is shown to one who resumes": {Withdrawn, func(d day) {
		m, _ := drawn(d)
		s := d.Subscribe("y", "kept/a", true)
		s.Joined(sec(10))
		s.Joined(sec(14))
		d.shows(m, 14.1, s)
	}},
	"a withdrawn message is shown to a late visitor": {Withdrawn, func(d day) {
		m, _ := drawn(d)
		s := d.SubscribeFromCursor("l", msg(8), sec(8))
		s.Joined(sec(15))
		d.got(s, 10)
		d.shows(m, 15.1, s)
	}},
	"a message of a live topic is shown after the yes": {Withdrawn, func(d day) {
		m := Message{"live/a", "u", 1}
		s := d.Subscribe("y", "live/a", false)
		s.Joined(sec(10))
		d.Try(m, "k", body(1), sec(11))
		d.Withdraw(Withdrawal{Topic: "live/a", Key: "k", Client: "u", Call: 2}, sec(11.1)).Completed(Position{}, sec(11.5))
		s.Received(m, body(1), Position{}, sec(12))
	}},
	"a message that stands before the mark, by their places, is shown after the yes": {Withdrawn, func(d day) {
		m := d.keyed("u", 1, 12.5)
		d.x.Received(m, body(1), Position{1, 50}, sec(14))
		d.withdraw("w", 1, 12).Completed(Position{1, 51}, sec(13))
	}},
	"a live update of the same key is lost": {Lost, func(d day) {
		drawn(d)
		d.keyed("u", 2, 13.5)
	}},
	"a live update of the same key by who withdrew is lost": {Lost, func(d day) {
		m := d.keyed("u", 1, 11)
		d.shows(m, 11.1, d.x)
		w := d.withdraw("u", 2, 12)
		d.keyed("u", 3, 12.1)
		w.Completed(Position{}, sec(13))
	}},
	"a live update of another key is lost": {Lost, func(d day) {
		drawn(d)
		d.Try(Message{"kept/a", "u", 2}, "l", body(2), sec(12.5))
		d.Accepted(Message{"kept/a", "u", 2}, sec(12.6))
	}},
	"a message is lost whose withdrawal was void": {Lost, func(d day) {
		d.keyed("u", 1, 11)
		d.withdraw("w", 1, 12).Void()
	}},
	"a number that was passed over is taken": {Withdrawn, func(d day) {
		d.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: "w", Call: 1, Sender: "u", UpTo: 5},
			sec(11)).Completed(Position{}, sec(12))
		d.shows(d.keyed("u", 5, 13), 13.2, d.x)
	}},
	"a message of the named sender is shown after the yes": {Withdrawn, func(d day) {
		w := d.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: "w", Call: 1, Sender: "u", UpTo: 5}, sec(11))
		m := d.keyed("u", 5, 11.5)
		w.Completed(Position{}, sec(12))
		d.shows(m, 13.2, d.x)
	}},
	"a withdrawal that stood is void": {Withdrawn, func(d day) {
		_, w := drawn(d)
		w.Void()
	}},
	"a follower is told of a withdrawal that nobody asked": {Mixed, func(d day) { d.WithdrawalReceived("w", "kept/a", "k", sec(5)) }},
}

func TestSoundWithdrawalsHaveNoBreach(t *testing.T) {
	days := map[string]func(d day){
		"withdrawn, shown before the yes": func(d day) { drawn(d) },
		"withdrawn and written anew": func(d day) {
			drawn(d)
			d.shows(d.keyed("u", 2, 13.5), 13.7, d.x)
		},
		"withdrawn while it is on its way": func(d day) {
			w := d.withdraw("w", 1, 11)
			d.keyed("u", 1, 11.5)
			w.Completed(Position{}, sec(12))
		},
		"written anew before the yes, and seen by some": func(d day) {
			w := d.withdraw("w", 1, 11)
			d.shows(d.keyed("u", 1, 11.5), 13, d.x)
			w.Completed(Position{}, sec(12))
		},
		"behind the mark by its place": func(d day) {
			m := d.keyed("u", 1, 11)
			d.x.Received(m, body(1), Position{1, 52}, sec(14))
			d.withdraw("w", 1, 12).Completed(Position{1, 51}, sec(13))
		},
		"asked, and never answered": func(d day) {
			d.keyed("u", 1, 11)
			d.withdraw("w", 1, 12)
		},
		"another topic": func(d day) {
			m := Message{"kept/b", "u", 1}
			s := d.Subscribe("y", "kept/b", true)
			s.Joined(sec(10))
			d.Try(m, "k", body(1), sec(11))
			d.Accepted(m, sec(11.1))
			d.withdraw("w", 1, 11.5).Completed(Position{}, sec(12))
			s.Received(m, body(1), Position{}, sec(13))
		},
		"told": func(d day) {
			drawn(d)
			d.WithdrawalReceived("x", "kept/a", "k", sec(12.6))
		},
	}
	for n, f := range days {
		t.Run(n, func(t *testing.T) {
			d := sound()
			f(d)
			assert.Equal(t, d.found(), "")
		})
	}
}

func TestMarksAndSpreadAreMeasured(t *testing.T) {
	d := sound()
	drawn(d)
	d.withdraw("w", 3, 14)
	ds, open := d.WithdrawalLatencies(sec(0), sec(20))
	assert.Equal(t, len(ds), 1)
	assert.Equal(t, ds[0], sec(13).Sub(sec(12)))
	assert.Equal(t, open, 1)
	all := len(d.DeliveryLatencies(sec(0), sec(20), nil))
	assert.Equal(t, all, 5+6+1)
	assert.Equal(t, len(d.DeliveryLatencies(sec(0), sec(20), func(v string) bool { return v == "x" })), 5)
}
