package fanout

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// far is an owner that keeps a line and takes a time for each way.
type far struct {
	mu     sync.Mutex
	way    time.Duration
	es     []log.Entry
	topics map[string]bool
	briefs []bool
}

func (s *far) add(topics ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		s.es = append(s.es, log.Entry{Offset: uint64(len(s.es) + 1), Type: log.TypeMessage, Topic: t})
	}
}

func (s *far) Follow(ctx context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	if err := (clock.Real{}).Sleep(ctx, s.way); err != nil {
		return nil, err
	}
	s.mu.Lock()
	for t := range q.Topics {
		s.topics[t] = true
	}
	s.briefs = append(s.briefs, q.FirstOnly)
	a := &leader.FollowResponse{Epoch: 1, CommittedEnd: uint64(len(s.es)), BacklogEnd: uint64(len(s.es))}
	for _, e := range s.es {
		if at, ok := q.After[e.Topic]; !ok || e.Offset <= at {
			continue
		}
		if q.FirstOnly && len(a.Backlog) > 0 {
			a.BacklogEnd = e.Offset - 1
			break
		}
		a.Backlog = append(a.Backlog, e)
	}
	s.mu.Unlock()
	return a, clock.Real{}.Sleep(ctx, s.way)
}

func (s *far) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	if err := (clock.Real{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &leader.PollResponse{Epoch: 1, To: uint64(len(s.es))}
	for _, e := range s.es {
		if e.Offset > q.From && s.topics[e.Topic] {
			a.Entries = append(a.Entries, e)
		}
	}
	return a, nil
}

type heard struct {
	opened []uint64
	at     time.Time
	got    []uint64
}

func (x *heard) sub(h *Hub, topic string, after *uint64) *Subscription {
	s := h.NewSubscription(0, topic)
	s.After = after
	s.OnOpen = func(at uint64, err error) {
		if err == nil {
			x.opened, x.at = append(x.opened, at), time.Now()
		}
	}
	s.OnEntry = func(e log.Entry) { x.got = append(x.got, e.Offset) }
	h.Subscribe(s)
	return s
}

// Who comes back with a cursor is told its place before its owner answers, and gets all that it missed, once.
func TestAPlaceThatNeedsNoOwnerIsToldSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		s := &far{way: b.MaxBackoff() * 3 / 4, topics: map[string]bool{}}
		h := New(ctx, "a1", "boot", s, gossip.NewStore(nil), clock.Real{}, b)
		s.add("a", "b", "a", "a", "b", "a")
		begun, at := time.Now(), uint64(1)
		var x heard
		x.sub(h, "a", &at)
		time.Sleep(b.CallTimeout())
		s.add("a")
		time.Sleep(10 * b.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, x.opened, []uint64{1})
		assert.Assert(t, x.at.Sub(begun) < b.MaxBackoff(), "told after %s", x.at.Sub(begun))
		assert.DeepEqual(t, x.got, []uint64{3, 4, 6, 7})
		assert.Assert(t, slices.Equal(s.briefs, []bool{true, false}), "%v", s.briefs)
		stop()
		synctest.Wait()
	})
}

// Who comes without a cursor while the owner's answer is under way is given the place that this node has read to, and nothing behind it is passed over.
func TestWhatComesBetweenThePlaceAndTheAnswerIsGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		s := &far{way: b.MaxBackoff() * 3 / 4, topics: map[string]bool{}}
		h := New(ctx, "a1", "boot", s, gossip.NewStore(nil), clock.Real{}, b)
		s.add("a", "a")
		var x, y heard
		x.sub(h, "a", nil)
		time.Sleep(10 * b.CallTimeout())
		y.sub(h, "b", nil)
		time.Sleep(b.MaxBackoff() * 5 / 8)
		s.add("b", "a")
		time.Sleep(10 * b.CallTimeout())
		s.add("b")
		time.Sleep(10 * b.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, y.opened, []uint64{2})
		assert.DeepEqual(t, y.got, []uint64{3, 5})
		assert.DeepEqual(t, x.got, []uint64{4})
		stop()
		synctest.Wait()
	})
}
