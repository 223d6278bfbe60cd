package fanout

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// distantLeader is a leader with a log, behind a link that delays each direction.
type distantLeader struct {
	mu        sync.Mutex
	delay     time.Duration
	entries   []log.Entry
	topics    map[string]bool
	firstOnly []bool
}

func (l *distantLeader) add(topics ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, topic := range topics {
		l.entries = append(
			l.entries, log.Entry{Offset: uint64(len(l.entries) + 1), Type: log.TypeMessage, Topic: topic},
		)
	}
}

func (l *distantLeader) Follow(
	ctx context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	if err := (clock.Real{}).Sleep(ctx, l.delay); err != nil {
		return nil, err
	}
	l.mu.Lock()
	for topic := range request.Topics {
		l.topics[topic] = true
	}
	l.firstOnly = append(l.firstOnly, request.FirstOnly)
	response := &leader.FollowResponse{
		Epoch:        1,
		CommittedEnd: uint64(len(l.entries)),
		BacklogEnd:   uint64(len(l.entries)),
	}
	for _, entry := range l.entries {
		if offset, ok := request.After[entry.Topic]; !ok || entry.Offset <= offset {
			continue
		}
		if request.FirstOnly && len(response.Backlog) > 0 {
			response.BacklogEnd = entry.Offset - 1
			break
		}
		response.Backlog = append(response.Backlog, entry)
	}
	l.mu.Unlock()
	return response, clock.Real{}.Sleep(ctx, l.delay)
}

func (l *distantLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	if err := (clock.Real{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	response := &leader.PollResponse{Epoch: 1, To: uint64(len(l.entries))}
	for _, entry := range l.entries {
		if entry.Offset > request.From && l.topics[entry.Topic] {
			response.Entries = append(response.Entries, entry)
		}
	}
	return response, nil
}

type recorder struct {
	opened   []uint64
	openedAt time.Time
	received []uint64
}

func (r *recorder) subscribe(hub *Hub, topic string, after *uint64) *Subscription {
	subscription := hub.NewSubscription(0, topic)
	subscription.After = after
	subscription.OnOpen = func(offset uint64, err error) {
		if err == nil {
			r.opened, r.openedAt = append(r.opened, offset), time.Now()
		}
	}
	subscription.OnEntry = func(entry log.Entry) { r.received = append(r.received, entry.Offset) }
	hub.Subscribe(subscription)
	return subscription
}

// A client that reconnects with a cursor is subscribed before the leader answers, and receives each
// message that it missed once.
func TestOpen_WithoutLeaderIsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		distant := &distantLeader{delay: timing.MaxBackoff() * 3 / 4, topics: map[string]bool{}}
		hub := New(ctx, "a1", "boot", distant, gossip.NewStore(nil), clock.Real{}, timing)
		distant.add("a", "b", "a", "a", "b", "a")
		start, offset := time.Now(), uint64(1)
		var first recorder
		first.subscribe(hub, "a", &offset)
		time.Sleep(timing.CallTimeout())
		distant.add("a")
		time.Sleep(10 * timing.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, first.opened, []uint64{1})
		assert.Assert(t, first.openedAt.Sub(start) < timing.MaxBackoff(), "opened after %s", first.openedAt.Sub(start))
		assert.DeepEqual(t, first.received, []uint64{3, 4, 6, 7})
		assert.Assert(t, slices.Equal(distant.firstOnly, []bool{true, false}), "%v", distant.firstOnly)
		stop()
		synctest.Wait()
	})
}

// A client that subscribes without a cursor while the leader's response is pending starts at the
// offset that this node has read to. Nothing after it is skipped.
func TestEntriesBetweenOpenAndResponseAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		distant := &distantLeader{delay: timing.MaxBackoff() * 3 / 4, topics: map[string]bool{}}
		hub := New(ctx, "a1", "boot", distant, gossip.NewStore(nil), clock.Real{}, timing)
		distant.add("a", "a")
		var first, second recorder
		first.subscribe(hub, "a", nil)
		time.Sleep(10 * timing.CallTimeout())
		second.subscribe(hub, "b", nil)
		time.Sleep(timing.MaxBackoff() * 5 / 8)
		distant.add("b", "a")
		time.Sleep(10 * timing.CallTimeout())
		distant.add("b")
		time.Sleep(10 * timing.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, second.opened, []uint64{2})
		assert.DeepEqual(t, second.received, []uint64{3, 5})
		assert.DeepEqual(t, first.received, []uint64{4})
		stop()
		synctest.Wait()
	})
}
