package fanout

import (
	"slices"

	"postjunction/internal/partitionlog/log"
)

// messageKey is what a withdrawal names.
type messageKey struct{ topic, key string }

// tombstones are the offsets of the newest withdrawals.
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
// it also keeps the tombstone, since the response may be older.
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

// isWithdrawn reports whether a withdrawal that was polled while the Follow was in flight covers a
// message.
func (f *feed) isWithdrawn(entry log.Entry) bool {
	return entry.Key != "" && entry.Type == log.TypeMessage &&
		f.tombstones.covers(entry.Topic, entry.Key, entry.Offset)
}
