package deliverycheck

import (
	"slices"
	"time"
)

// Position is the position of an entry in a partition log. The zero Position is unknown.
type Position struct {
	Partition int
	Offset    uint64
}

// Withdrawal is the withdrawal of the messages under a key, made under a call number of its client.
// It may name a sender and the highest call number of that sender that is withdrawn too.
type Withdrawal struct {
	Topic, Key, Client string
	Call               uint64
	Sender             string
	UpTo               uint64

	checker     *Checker
	requestedAt time.Time
	recordedAt  time.Time
	completedAt time.Time
	void        bool
	tombstone   Position
}

// Withdraw records that a withdrawal is about to be requested. Further requests under the same
// number return the first record.
func (c *Checker) Withdraw(w Withdrawal, now time.Time) *Withdrawal {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.withdrawals[w.Topic] {
		if known.Client == w.Client && known.Call == w.Call {
			return known
		}
	}
	w.checker, w.requestedAt = c, now
	c.withdrawals[w.Topic] = append(c.withdrawals[w.Topic], &w)
	c.tally.Withdrawals++
	return &w
}

// Recorded records that the tombstone is committed, though not all routers have confirmed it.
func (w *Withdrawal) Recorded(now time.Time) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.tally.Open++
	if w.recordedAt.IsZero() {
		w.recordedAt = now
	}
}

// Void records that nothing was withdrawn and never will be under this number.
func (w *Withdrawal) Void() {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.tally.Void++
	w.void = true
	if !w.recordedAt.IsZero() {
		w.checker.addViolation(Withdrawn, "the withdrawal %d of %s by %s was answered as recorded, and then as void",
			w.Call, w.Topic, w.Client)
	}
}

// Completed records the acknowledgement of the withdrawal, the position of its tombstone where that
// is known, and when the connection accepted the answer's last byte.
func (w *Withdrawal) Completed(tombstone Position, now time.Time) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	if w.recordedAt.IsZero() {
		w.recordedAt = now
	}
	if w.completedAt.IsZero() {
		w.completedAt, w.tombstone = now, tombstone
		w.checker.tally.Forgotten++
	}
}

// WithdrawalReceived records that a subscriber was notified of the withdrawal of a key.
func (c *Checker) WithdrawalReceived(client, topic, key string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.ContainsFunc(c.withdrawals[topic], func(w *Withdrawal) bool {
		return w.Key == key &&
			!w.requestedAt.After(now)
	}) {
		c.addViolation(Mixed, "%s was notified at %s that %s of %s was withdrawn, which no client requested", client,
			now.Format("04:05.000"), key, topic)
	}
}

// compare reports whether the first position is before the second. ok is false if the two can't be
// compared.
func compare(first, second Position) (before, ok bool) {
	return first.Offset < second.Offset, first.Offset > 0 && second.Offset > 0 && first.Partition == second.Partition
}

// surelyCovers reports whether a message is certainly before the tombstone, or can never be
// accepted because of the withdrawal.
func (w *Withdrawal) surelyCovers(message Message, state *sent) bool {
	if w.void {
		return false
	}
	if message.From == w.Sender && message.CallSeq <= w.UpTo && !w.completedAt.IsZero() &&
		state.triedAt.After(w.completedAt) {
		return true
	}
	if state.key != w.Key {
		return false
	}
	if before, ok := compare(state.position, w.tombstone); ok {
		return before
	}
	if message.From == w.Client {
		return message.CallSeq < w.Call
	}
	return message.From == w.Sender && message.CallSeq <= w.UpTo || !state.acceptedAt.IsZero() &&
		state.acceptedAt.Before(w.requestedAt)
}

// mayCover reports whether a message may be before the tombstone, or may never be accepted because
// of the withdrawal.
func (w *Withdrawal) mayCover(message Message, state *sent) bool {
	switch before, ok := compare(state.position, w.tombstone); {
	case w.void || state.key != w.Key:
		return false
	case ok:
		return before
	case message.From == w.Client:
		return message.CallSeq < w.Call
	}
	return w.recordedAt.IsZero() || !state.triedAt.After(w.recordedAt)
}

// mayBeWithdrawn reports whether a message need not be delivered because it may be withdrawn.
func (c *Checker) mayBeWithdrawn(message Message, state *sent) bool {
	return state.key != "" && slices.ContainsFunc(c.withdrawals[message.Topic], func(w *Withdrawal) bool {
		return w.mayCover(message, state)
	})
}

// judgeWithdrawals checks that no withdrawn message arrived after its withdrawal was acknowledged.
func (c *Checker) judgeWithdrawals() {
	for message, state := range c.sent {
		if state.key != "" {
			c.tally.Keyed++
		}
		covered := false
		for _, w := range c.withdrawals[message.Topic] {
			if !w.surelyCovers(message, state) {
				continue
			}
			covered = true
			if w.completedAt.IsZero() {
				continue
			}
			if message.From == w.Sender && message.CallSeq <= w.UpTo && state.triedAt.After(w.completedAt) &&
				!state.acceptedAt.IsZero() {
				c.addViolation(Withdrawn,
					"%v was accepted at %s, though %s had withdrawn its number before it was sent", message,
					state.acceptedAt.Format("04:05.000"), w.Client)
			}
			for _, subscription := range c.subscriptions {
				for _, receipt := range subscription.receipts {
					if receipt.message == message && receipt.receivedAt.After(w.completedAt) {
						c.addViolation(Withdrawn,
							"%s got %v under %s at %s, withdrawn by %s as %d, which was acknowledged at %s",
							subscription.client,
							message, w.Key, receipt.receivedAt.Format("04:05.000000"), w.Client, w.Call,
							w.completedAt.Format("04:05.000000"))
					}
				}
			}
		}
		if covered {
			c.tally.Covered++
			if !state.acceptedAt.IsZero() && !slices.ContainsFunc(c.subscriptions,
				func(s *Subscription) bool { return s.receivedCount[message] > 0 }) {
				c.tally.Spared++
			}
		}
	}
}

// WithdrawalLatencies returns how long each withdrawal requested between from and to took until its
// acknowledgement, and how many were not acknowledged.
func (c *Checker) WithdrawalLatencies(from, to time.Time) (latencies []time.Duration, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, withdrawals := range c.withdrawals {
		for _, w := range withdrawals {
			switch {
			case w.void || w.requestedAt.Before(from) || !w.requestedAt.Before(to):
			case w.completedAt.IsZero():
				open++
			default:
				latencies = append(latencies, w.completedAt.Sub(w.requestedAt))
			}
		}
	}
	slices.Sort(latencies)
	return latencies, open
}

// DeliveryLatencies returns how long messages first sent between from and to took to reach clients
// that were already subscribed on the connection on which the messages arrived. Messages to or from
// an excluded client don't count.
func (c *Checker) DeliveryLatencies(from, to time.Time, excluded func(client string) bool) (latencies []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, subscription := range c.subscriptions {
		if excluded != nil && excluded(subscription.client) {
			continue
		}
		for _, receipt := range subscription.receipts {
			state := c.sent[receipt.message]
			if state == nil || state.triedAt.Before(from) || !state.triedAt.Before(to) ||
				state.triedAt.Before(receipt.joinedAt) || excluded != nil && excluded(receipt.message.From) {
				continue
			}
			latencies = append(latencies, receipt.receivedAt.Sub(state.triedAt))
		}
	}
	slices.Sort(latencies)
	return latencies
}
