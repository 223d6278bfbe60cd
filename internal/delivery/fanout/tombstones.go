package fanout

import (
	"slices"

	"postjunction/internal/partitionlog/log"
)

// messageKey identifies the messages that a withdrawal covers.
type messageKey struct{ topic, key string }

// tombstones has the offsets of the newest withdrawals.
type tombstones map[messageKey]uint64

func (t tombstones) covers(topic, key string, offset uint64) bool {
	return offset < t[messageKey{topic, key}]
}

func (t *tombstones) add(withdrawal log.Entry) {
	if *t == nil {
		*t = tombstones{}
	}
	(*t)[messageKey{withdrawal.Topic, withdrawal.Key}] = withdrawal.Offset
}

func hasKeys(entries []log.Entry) bool {
	return slices.ContainsFunc(entries, func(entry log.Entry) bool { return entry.Key != "" })
}

// applyWithdrawal drops the queued messages that a withdrawal covers. While a Follow is in flight
// it also records the tombstone, since the response may be older than the withdrawal.
func (f *feed) applyWithdrawal(withdrawal log.Entry) {
	if f.followInFlight {
		f.tombstones.add(withdrawal)
	}
	for s := range f.subscriptions[withdrawal.Topic] {
		s.queued = slices.DeleteFunc(s.queued, func(entry log.Entry) bool {
			return entry.Type == log.TypeMessage && entry.Key == withdrawal.Key && entry.Offset < withdrawal.Offset
		})
	}
}

// isWithdrawn reports whether a message is covered by a withdrawal that was polled while the Follow
// was in flight.
func (f *feed) isWithdrawn(entry log.Entry) bool {
	return entry.Key != "" && entry.Type == log.TypeMessage &&
		f.tombstones.covers(entry.Topic, entry.Key, entry.Offset)
}
