package fanout

import (
	"time"

	"postjunction/internal/partitionlog/log"
)

// Subscription is one session's subscription to one topic. Its callbacks are called one at a time.
// They must not block or call the hub.
type Subscription struct {
	Topic string
	// After is the offset to continue after; nil starts at the end of the log.
	After *uint64
	// OnOpen is called once, with the offset after which the subscription starts, or with the error
	// that rejects it.
	OnOpen func(offset uint64, err error)
	// OnEntry is called for each message and withdrawal after the start, once and in order.
	OnEntry func(entry log.Entry)
	// OnBroken is called when an open subscription ends because entries that it misses can no
	// longer be delivered.
	OnBroken func()

	feed *feed

	// The fields below are guarded by feed.mu.

	// position is the offset of the last entry that was delivered, or the start.
	position    uint64
	requestedAt time.Time
	// opened is set once OnOpen was called without an error, answered once it was called.
	opened   bool
	answered bool
	// caughtUp is set when polled entries are delivered at once. Until then they are added to
	// queued.
	caughtUp bool
	removed  bool
	queued   []log.Entry
}

// Partition returns the partition that has the topic.
func (s *Subscription) Partition() int { return s.feed.partition }

func (s *Subscription) open(offset uint64) {
	if s.opened {
		return
	}
	s.opened, s.answered, s.position = true, true, offset
	s.OnOpen(offset, nil)
}

func (s *Subscription) reject(err error) {
	s.answered = true
	s.OnOpen(0, err)
}

func (s *Subscription) deliver(entry log.Entry) {
	if s.removed || entry.Offset <= s.position {
		return
	}
	s.position = entry.Offset
	s.OnEntry(entry)
}

func (s *Subscription) catchUp() {
	s.caughtUp = true
	for _, entry := range s.queued {
		s.deliver(entry)
	}
	s.queued = nil
}
