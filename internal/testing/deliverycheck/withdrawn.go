package deliverycheck

import (
	"slices"
	"time"
)

// Place is where an entry stands in a line; nothing is known of an empty one.
type Position struct {
	Partition int
	Offset    uint64
}

// Withdrawal is the withdrawal of what stands under a key, under a call number of its visitor,
// which may name a sender and its highest number that is withdrawn too.
type Withdrawal struct {
	Topic, Key, Client string
	Call           uint64
	Sender             string
	UpTo           uint64

	checker   *Checker
	asked     time.Time
	fixed     time.Time
	confirmed time.Time
	void      bool
	tombstone Position
}

// Withdraw notes that a withdrawal is about to be asked for; the first time counts.
func (b *Checker) Withdraw(w Withdrawal, now time.Time) *Withdrawal {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.drawn[w.Topic] {
		if x.Client == w.Client && x.Call == w.Call {
			return x
		}
	}
	w.checker, w.asked = b, now
	b.drawn[w.Topic] = append(b.drawn[w.Topic], &w)
	b.tally.Withdrawals++
	return &w
}

// Stands notes that the mark stands, though not all have forgotten.
func (w *Withdrawal) Recorded(now time.Time) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.tally.Open++
	if w.fixed.IsZero() {
		w.fixed = now
	}
}

// Void notes that nothing was withdrawn and never will be under this number.
func (w *Withdrawal) Void() {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.tally.Void++
	w.void = true
	if !w.fixed.IsZero() {
		w.checker.addViolation(Withdrawn, "the withdrawal %d of %s by %s was told to stand, and then to be void",
			w.Call, w.Topic, w.Client)
	}
}

// Forgotten notes the yes, the place of its mark where that is known, and when the connection took
// its last byte.
func (w *Withdrawal) Completed(mark Position, now time.Time) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	if w.fixed.IsZero() {
		w.fixed = now
	}
	if w.confirmed.IsZero() {
		w.confirmed, w.tombstone = now, mark
		w.checker.tally.Forgotten++
	}
}

// Shown notes that a follower is told that what stood under a key no longer does.
func (b *Checker) WithdrawalReceived(client, topic, key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.ContainsFunc(b.drawn[topic], func(w *Withdrawal) bool { return w.Key == key && !w.asked.After(now) }) {
		b.addViolation(Mixed, "%s was told at %s that %s of %s was withdrawn, which nobody asked", client,
			now.Format("04:05.000"), key, topic)
	}
}

// placed tells whether two places can be compared, and whether the first is before the second.
func placed(a, b Position) (before, ok bool) {
	return a.Offset < b.Offset, a.Offset > 0 && b.Offset > 0 && a.Partition == b.Partition
}

// covers tells whether a message surely stands before the mark, or can never be taken.
func (w *Withdrawal) covers(m Message, x *sent) bool {
	if w.void {
		return false
	}
	if m.From == w.Sender && m.CallSeq <= w.UpTo && !w.confirmed.IsZero() && x.at.After(w.confirmed) {
		return true
	}
	if x.key != w.Key {
		return false
	}
	if before, ok := placed(x.place, w.tombstone); ok {
		return before
	}
	if m.From == w.Client {
		return m.CallSeq < w.Call
	}
	return m.From == w.Sender && m.CallSeq <= w.UpTo || !x.accepted.IsZero() && x.accepted.Before(w.asked)
}

// may tells whether a message may stand before the mark, or may never be taken because of it.
func (w *Withdrawal) may(m Message, x *sent) bool {
	switch before, ok := placed(x.place, w.tombstone); {
	case w.void || x.key != w.Key:
		return false
	case ok:
		return before
	case m.From == w.Client:
		return m.CallSeq < w.Call
	}
	return w.fixed.IsZero() || !x.at.After(w.fixed)
}

// spared tells whether a message is owed to nobody, as it may have been withdrawn.
func (b *Checker) spared(m Message, x *sent) bool {
	return x.key != "" && slices.ContainsFunc(b.drawn[m.Topic], func(w *Withdrawal) bool { return w.may(m, x) })
}

// shown judges what was shown after a yes.
func (b *Checker) shown() {
	for m, x := range b.sent {
		if x.key != "" {
			b.tally.Keyed++
		}
		covered := false
		for _, w := range b.drawn[m.Topic] {
			if !w.covers(m, x) {
				continue
			}
			covered = true
			if w.confirmed.IsZero() {
				continue
			}
			if m.From == w.Sender && m.CallSeq <= w.UpTo && x.at.After(w.confirmed) && !x.accepted.IsZero() {
				b.addViolation(Withdrawn, "%v was taken at %s, which %s passed over before it came", m,
					x.accepted.Format("04:05.000"), w.Client)
			}
			for _, s := range b.sessions {
				for _, g := range s.got {
					if g.message == m && g.at.After(w.confirmed) {
						b.addViolation(Withdrawn,
							"%s was shown %v under %s at %s, withdrawn by %s as %d, which was told to be forgotten at %s", s.client,
							m, w.Key, g.at.Format("04:05.000000"), w.Client, w.Call, w.confirmed.Format("04:05.000000"))
					}
				}
			}
		}
		if covered {
			b.tally.Covered++
			if !x.accepted.IsZero() && !slices.ContainsFunc(b.sessions, func(s *Subscription) bool { return s.have[m] > 0 }) {
				b.tally.Spared++
			}
		}
	}
}

// Marks gives how long each withdrawal that was asked for in a time took to its yes, and how many
// have none.
func (b *Checker) WithdrawalLatencies(from, to time.Time) (ds []time.Duration, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ws := range b.drawn {
		for _, w := range ws {
			switch {
			case w.void || w.asked.Before(from) || !w.asked.Before(to):
			case w.confirmed.IsZero():
				open++
			default:
				ds = append(ds, w.confirmed.Sub(w.asked))
			}
		}
	}
	slices.Sort(ds)
	return ds, open
}

// Spread gives how long messages that were first sent in a time took to visitors who followed their
// topic then on the connection on which they came. Of a visitor named in but, nothing counts.
func (b *Checker) DeliveryLatencies(from, to time.Time, but func(client string) bool) (ds []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sessions {
		if but != nil && but(s.client) {
			continue
		}
		for _, g := range s.got {
			x := b.sent[g.message]
			if x == nil || x.at.Before(from) || !x.at.Before(to) || x.at.Before(g.since) || but != nil && but(g.message.From) {
				continue
			}
			ds = append(ds, g.at.Sub(x.at))
		}
	}
	slices.Sort(ds)
	return ds
}
