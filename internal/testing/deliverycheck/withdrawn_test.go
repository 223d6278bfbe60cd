package deliverycheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// sendKeyed sends a message under the key k; those of the sound scenario have none.
func (run scenario) sendKeyed(from string, number uint64, seconds float64) Message {
	message := Message{"kept/a", from, number}
	run.Try(message, "k", body(number), sec(seconds))
	run.Accepted(message, sec(seconds+0.1))
	return message
}

func (run scenario) withdraw(client string, number uint64, seconds float64) *Withdrawal {
	return run.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: client, Call: number}, sec(seconds))
}

func (run scenario) receiveAll(message Message, seconds float64, subscriptions ...*Subscription) {
	for _, subscription := range subscriptions {
		subscription.Received(message, body(message.CallSeq), Position{}, sec(seconds))
	}
}

// withdrawMessage adds a keyed message and its withdrawal to a scenario. The message arrives before
// the withdrawal is acknowledged and not after.
func withdrawMessage(run scenario) (Message, *Withdrawal) {
	message := run.sendKeyed("u", 1, 11)
	w := run.withdraw("w", 1, 12)
	w.Recorded(sec(12.5))
	run.receiveAll(message, 12.9, run.second)
	w.Completed(Position{}, sec(13))
	return message, w
}

var withdrawals = map[string]struct {
	rule   string
	inject func(run scenario)
}{
	"a withdrawn message arrives after the acknowledgement": {Withdrawn, func(run scenario) {
		message, _ := withdrawMessage(run)
		subscription := run.Subscribe("y", "kept/a", true)
		subscription.Joined(sec(10))
		run.receiveAll(message, 13.1, subscription)
	}},
	"a withdrawn message arrives at a client that resumes": {Withdrawn, func(run scenario) {
		message, _ := withdrawMessage(run)
		subscription := run.Subscribe("y", "kept/a", true)
		subscription.Joined(sec(10))
		subscription.Joined(sec(14))
		run.receiveAll(message, 14.1, subscription)
	}},
	"a withdrawn message arrives at a client with another's cursor": {Withdrawn, func(run scenario) {
		message, _ := withdrawMessage(run)
		subscription := run.SubscribeFromCursor("l", msg(8), sec(8))
		subscription.Joined(sec(15))
		run.receive(subscription, 10)
		run.receiveAll(message, 15.1, subscription)
	}},
	"a message of a live topic arrives after the acknowledgement": {Withdrawn, func(run scenario) {
		message := Message{"live/a", "u", 1}
		subscription := run.Subscribe("y", "live/a", false)
		subscription.Joined(sec(10))
		run.Try(message, "k", body(1), sec(11))
		run.Withdraw(Withdrawal{Topic: "live/a", Key: "k", Client: "u", Call: 2}, sec(11.1)).Completed(Position{},
			sec(11.5))
		subscription.Received(message, body(1), Position{}, sec(12))
	}},
	"a message positioned before the tombstone arrives after the acknowledgement": {Withdrawn, func(run scenario) {
		message := run.sendKeyed("u", 1, 12.5)
		run.second.Received(message, body(1), Position{1, 50}, sec(14))
		run.withdraw("w", 1, 12).Completed(Position{1, 51}, sec(13))
	}},
	"a later message of the same key is lost": {Lost, func(run scenario) {
		withdrawMessage(run)
		run.sendKeyed("u", 2, 13.5)
	}},
	"a later message of the same key by the withdrawing client is lost": {Lost, func(run scenario) {
		message := run.sendKeyed("u", 1, 11)
		run.receiveAll(message, 11.1, run.second)
		w := run.withdraw("u", 2, 12)
		run.sendKeyed("u", 3, 12.1)
		w.Completed(Position{}, sec(13))
	}},
	"a later message of another key is lost": {Lost, func(run scenario) {
		withdrawMessage(run)
		run.Try(Message{"kept/a", "u", 2}, "l", body(2), sec(12.5))
		run.Accepted(Message{"kept/a", "u", 2}, sec(12.6))
	}},
	"a message is lost whose withdrawal was void": {Lost, func(run scenario) {
		run.sendKeyed("u", 1, 11)
		run.withdraw("w", 1, 12).Void()
	}},
	"a withdrawn number is accepted": {Withdrawn, func(run scenario) {
		run.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: "w", Call: 1, Sender: "u", UpTo: 5},
			sec(11)).Completed(Position{}, sec(12))
		run.receiveAll(run.sendKeyed("u", 5, 13), 13.2, run.second)
	}},
	"a message of the named sender arrives after the acknowledgement": {Withdrawn, func(run scenario) {
		w := run.Withdraw(Withdrawal{Topic: "kept/a", Key: "k", Client: "w", Call: 1, Sender: "u", UpTo: 5}, sec(11))
		message := run.sendKeyed("u", 5, 11.5)
		w.Completed(Position{}, sec(12))
		run.receiveAll(message, 13.2, run.second)
	}},
	"a recorded withdrawal becomes void": {Withdrawn, func(run scenario) {
		_, w := withdrawMessage(run)
		w.Void()
	}},
	"a subscriber is notified of a withdrawal that no client requested": {Mixed, func(run scenario) {
		run.WithdrawalReceived("w", "kept/a", "k", sec(5))
	}},
}

func TestSoundWithdrawalsHaveNoBreach(t *testing.T) {
	scenarios := map[string]func(run scenario){
		"withdrawn, received before the acknowledgement": func(run scenario) { withdrawMessage(run) },
		"withdrawn and sent again": func(run scenario) {
			withdrawMessage(run)
			run.receiveAll(run.sendKeyed("u", 2, 13.5), 13.7, run.second)
		},
		"withdrawn while in flight": func(run scenario) {
			w := run.withdraw("w", 1, 11)
			run.sendKeyed("u", 1, 11.5)
			w.Completed(Position{}, sec(12))
		},
		"sent again before the acknowledgement, and received": func(run scenario) {
			w := run.withdraw("w", 1, 11)
			run.receiveAll(run.sendKeyed("u", 1, 11.5), 13, run.second)
			w.Completed(Position{}, sec(12))
		},
		"positioned behind the tombstone": func(run scenario) {
			message := run.sendKeyed("u", 1, 11)
			run.second.Received(message, body(1), Position{1, 52}, sec(14))
			run.withdraw("w", 1, 12).Completed(Position{1, 51}, sec(13))
		},
		"requested, and never answered": func(run scenario) {
			run.sendKeyed("u", 1, 11)
			run.withdraw("w", 1, 12)
		},
		"another topic": func(run scenario) {
			message := Message{"kept/b", "u", 1}
			subscription := run.Subscribe("y", "kept/b", true)
			subscription.Joined(sec(10))
			run.Try(message, "k", body(1), sec(11))
			run.Accepted(message, sec(11.1))
			run.withdraw("w", 1, 11.5).Completed(Position{}, sec(12))
			subscription.Received(message, body(1), Position{}, sec(13))
		},
		"notified": func(run scenario) {
			withdrawMessage(run)
			run.WithdrawalReceived("x", "kept/a", "k", sec(12.6))
		},
	}
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			run := soundScenario()
			script(run)
			assert.Equal(t, run.violations(), "")
		})
	}
}

func TestWithdrawalAndDeliveryLatenciesAreMeasured(t *testing.T) {
	run := soundScenario()
	withdrawMessage(run)
	run.withdraw("w", 3, 14)
	latencies, open := run.WithdrawalLatencies(sec(0), sec(20))
	assert.Equal(t, len(latencies), 1)
	assert.Equal(t, latencies[0], sec(13).Sub(sec(12)))
	assert.Equal(t, open, 1)
	deliveries := len(run.DeliveryLatencies(sec(0), sec(20), nil))
	assert.Equal(t, deliveries, 5+6+1)
	assert.Equal(t, len(run.DeliveryLatencies(sec(0), sec(20), func(client string) bool { return client == "x" })), 5)
}
