package fanout

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
)

const (
	// earlyOpenDivisor divides the longest backoff. After that time a subscription that needs no
	// leader is opened without it.
	earlyOpenDivisor = 2
	// giveUpBackoffs is how many longest backoffs a subscription that needs the leader waits for
	// it.
	giveUpBackoffs = 6
)

// openPending opens the subscriptions that waited for a response, each at its offset. If one was
// opened meanwhile, its backlog is requested again after its own offset.
func (f *feed) openPending(call *followCall, response *leader.FollowResponse) {
	for _, s := range call.pending {
		if s.removed {
			continue
		}
		if offset, ok := call.request.After[s.Topic]; s.After != nil && (!ok || offset > *s.After) {
			f.pending = append(f.pending, s)
			continue
		}
		f.openAt(s, response)
	}
}

// openAt delivers the backlog to a subscription that the response covers. If the backlog is not
// complete, the rest is requested.
func (f *feed) openAt(s *Subscription, response *leader.FollowResponse) {
	if s.After == nil {
		s.open(response.CommittedEnd)
		s.catchUp()
		return
	}
	if response.Trimmed[s.Topic] > *s.After && f.isRetained(s.Topic) {
		f.expire(s, *s.After)
		return
	}
	s.open(*s.After)
	for _, entry := range response.Backlog {
		if entry.Topic == s.Topic && entry.Offset <= response.BacklogEnd && !f.isWithdrawn(entry) {
			s.deliver(entry)
		}
	}
	if response.BacklogEnd < response.CommittedEnd {
		next := max(*s.After, response.BacklogEnd)
		s.After = &next
		f.pending = append(f.pending, s)
		return
	}
	s.catchUp()
}

// openEarly opens the subscriptions that need no leader while the response to Follow is pending.
func (f *feed) openEarly(ctx context.Context, pending []*Subscription) {
	if f.hub.clock.Sleep(ctx, f.hub.timing.MaxBackoff()/earlyOpenDivisor) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openWithoutLeader(pending)
}

// openWithoutLeader opens the subscriptions that have waited for the leader but need none, because
// their start is known: the offset of their cursor, or the offset that this node has read to. It
// rejects those that have waited too long.
func (f *feed) openWithoutLeader(pending []*Subscription) {
	now, maxBackoff := f.hub.clock.Now(), f.hub.timing.MaxBackoff()
	for _, s := range pending {
		age := now.Sub(s.requestedAt)
		if s.opened || s.removed || s.answered || age < maxBackoff/earlyOpenDivisor {
			continue
		}
		switch {
		case s.After != nil && (!f.hasPosition || *s.After >= f.base):
			s.open(*s.After)
		case s.After == nil && f.hasPosition:
			offset := f.readTo
			s.After = &offset
			s.open(offset)
		case age > giveUpBackoffs*maxBackoff:
			f.remove(s)
			s.reject(
				apierror.New(apierror.NoPartitionLeader, "partition %d did not answer in time", f.partition),
			)
		}
	}
}

// expire ends a subscription that can't continue after an offset, since the entries that follow are
// no longer available.
func (f *feed) expire(s *Subscription, after uint64) {
	f.remove(s)
	if s.opened {
		s.OnBroken()
		return
	}
	s.reject(
		apierror.New(apierror.CursorExpired, "messages of %s after offset %d are no longer available", s.Topic, after),
	)
}
