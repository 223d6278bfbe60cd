package deliverycheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// sendKeyed sends a message under the key k; those of the sound scenario have none.
func (s scenario) sendKeyed(from string, number uint64, seconds float64) Message {
	message := Message{"kept/a", from, number}
	s.Try(message, "k", body(number), sec(seconds))
	s.Accepted(message, sec(seconds+0.1))
	return message
}

func (s scenario) withdraw(client string, number uint64, seconds float64) *Withdrawal {
	return s.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: client, Call: number}, sec(seconds))
}

func (s scenario) receiveAll(message Message, seconds float64, subscriptions ...*Subscription) {
	for _, subscription := range subscriptions {
		subscription.Received(message, body(message.CallSeq), Position{}, sec(seconds))
	}
}

// withdrawMessage adds a keyed message and its withdrawal to a scenario. The message arrives before
// the withdrawal is acknowledged and not after.
func withdrawMessage(s scenario) (Message, *Withdrawal) {
	message := s.sendKeyed("u", 1, 11)
	w := s.withdraw("w", 1, 12)
	w.Recorded(sec(12.5))
	s.receiveAll(message, 12.9, s.second)
	w.Completed(Position{}, sec(13))
	return message, w
}

var withdrawals = map[string]struct {
	rule   string
	inject func(s scenario)
}{
	"a withdrawn message arrives after the acknowledgement": {Withdrawn, func(s scenario) {
		message, _ := withdrawMessage(s)
		subscription := s.Subscribe("y", "kept/a", true)
		subscription.Joined(sec(10))
		s.receiveAll(message, 13.1, subscription)
	}},
	"a withdrawn message arrives at a client that resumes": {Withdrawn, func(s scenario) {
		message, _ := withdrawMessage(s)
		subscription := s.Subscribe("y", "kept/a", true)
		subscription.Joined(sec(10))
		subscription.Joined(sec(14))
		s.receiveAll(message, 14.1, subscription)
	}},
	"a withdrawn message arrives at a client with another's cursor": {Withdrawn, func(s scenario) {
		message, _ := withdrawMessage(s)
		subscription := s.SubscribeFromCursor("l", msg(8), sec(8))
		subscription.Joined(sec(15))
		s.receive(subscription, 10)
		s.receiveAll(message, 15.1, subscription)
	}},
	"a message of a live topic arrives after the acknowledgement": {Withdrawn, func(s scenario) {
		message := Message{"live/a", "u", 1}
		subscription := s.Subscribe("y", "live/a", false)
		subscription.Joined(sec(10))
		s.Try(message, "k", body(1), sec(11))
		s.Withdraw(Withdrawal{Topic: "live/a", Key: "k", Client: "u", Call: 2}, sec(11.1)).Completed(Position{},
			sec(11.5))
		subscription.Received(message, body(1), Position{}, sec(12))
	}},
	"a message positioned before the tombstone arrives after the acknowledgement": {Withdrawn, func(s scenario) {
		message := s.sendKeyed("u", 1, 12.5)
		s.second.Received(message, body(1), Position{1, 50}, sec(14))
		s.withdraw("w", 1, 12).Completed(Position{1, 51}, sec(13))
	}},
	"a later message of the same key is lost": {Lost, func(s scenario) {
		withdrawMessage(s)
		s.sendKeyed("u", 2, 13.5)
	}},
	"a later message of the same key by the withdrawing client is lost": {Lost, func(s scenario) {
		message := s.sendKeyed("u", 1, 11)
		s.receiveAll(message, 11.1, s.second)
		w := s.withdraw("u", 2, 12)
		s.sendKeyed("u", 3, 12.1)
		w.Completed(Position{}, sec(13))
	}},
	"a later message of another key is lost": {Lost, func(s scenario) {
		withdrawMessage(s)
		s.Try(Message{"kept/a", "u", 2}, "l", body(2), sec(12.5))
		s.Accepted(Message{"kept/a", "u", 2}, sec(12.6))
	}},
	"a message is lost whose withdrawal was void": {Lost, func(s scenario) {
		s.sendKeyed("u", 1, 11)
		s.withdraw("w", 1, 12).Void()
	}},
	"a withdrawn number is accepted": {Withdrawn, func(s scenario) {
		s.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: "w", Call: 1, Sender: "u", UpTo: 5},
			sec(11)).Completed(Position{}, sec(12))
		s.receiveAll(s.sendKeyed("u", 5, 13), 13.2, s.second)
	}},
	"a message of the named sender arrives after the acknowledgement": {Withdrawn, func(s scenario) {
		w := s.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: "w", Call: 1, Sender: "u", UpTo: 5}, sec(11))
		message := s.sendKeyed("u", 5, 11.5)
		w.Completed(Position{}, sec(12))
		s.receiveAll(message, 13.2, s.second)
	}},
	"a recorded withdrawal becomes void": {Withdrawn, func(s scenario) {
		_, w := withdrawMessage(s)
		w.Void()
	}},
	"a subscriber is notified of a withdrawal that no client requested": {Mixed, func(s scenario) {
		s.WithdrawalReceived("w", "kept/a", "k", sec(5))
	}},
}

func TestSoundWithdrawalsHaveNoBreach(t *testing.T) {
	scenarios := map[string]func(s scenario){
		"withdrawn, received before the acknowledgement": func(s scenario) { withdrawMessage(s) },
		"withdrawn and sent again": func(s scenario) {
			withdrawMessage(s)
			s.receiveAll(s.sendKeyed("u", 2, 13.5), 13.7, s.second)
		},
		"withdrawn while in flight": func(s scenario) {
			w := s.withdraw("w", 1, 11)
			s.sendKeyed("u", 1, 11.5)
			w.Completed(Position{}, sec(12))
		},
		"sent again before the acknowledgement, and received": func(s scenario) {
			w := s.withdraw("w", 1, 11)
			s.receiveAll(s.sendKeyed("u", 1, 11.5), 13, s.second)
			w.Completed(Position{}, sec(12))
		},
		"positioned behind the tombstone": func(s scenario) {
			message := s.sendKeyed("u", 1, 11)
			s.second.Received(message, body(1), Position{1, 52}, sec(14))
			s.withdraw("w", 1, 12).Completed(Position{1, 51}, sec(13))
		},
		"requested, and never answered": func(s scenario) {
			s.sendKeyed("u", 1, 11)
			s.withdraw("w", 1, 12)
		},
		"another topic": func(s scenario) {
			message := Message{"kept/b", "u", 1}
			subscription := s.Subscribe("y", "kept/b", true)
			subscription.Joined(sec(10))
			s.Try(message, "k", body(1), sec(11))
			s.Accepted(message, sec(11.1))
			s.withdraw("w", 1, 11.5).Completed(Position{}, sec(12))
			subscription.Received(message, body(1), Position{}, sec(13))
		},
		"notified": func(s scenario) {
			withdrawMessage(s)
			s.WithdrawalReceived("x", "kept/a", "k", sec(12.6))
		},
	}
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			s := soundScenario()
			script(s)
			assert.Equal(t, s.violations(), "")
		})
	}
}

func TestWithdrawalAndDeliveryLatenciesAreMeasured(t *testing.T) {
	s := soundScenario()
	withdrawMessage(s)
	s.withdraw("w", 3, 14)
	latencies, open := s.WithdrawalLatencies(sec(0), sec(20))
	assert.Equal(t, len(latencies), 1)
	assert.Equal(t, latencies[0], sec(13).Sub(sec(12)))
	assert.Equal(t, open, 1)
	deliveries := len(s.DeliveryLatencies(sec(0), sec(20), nil))
	assert.Equal(t, deliveries, 5+6+1)
	assert.Equal(t, len(s.DeliveryLatencies(sec(0), sec(20), func(client string) bool { return client == "x" })), 5)
}
