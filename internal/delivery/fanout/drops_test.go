package fanout

import (
	"context"
	"maps"
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

// countingLeader counts the Follow calls that it receives, and records the registered topics.
type countingLeader struct {
	mu     sync.Mutex
	calls  int
	topics map[string]int
}

func (l *countingLeader) Follow(
	_ context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if request.Full {
		clear(l.topics)
	}
	for topic, count := range request.Topics {
		l.topics[topic] = count
		if count == 0 {
			delete(l.topics, topic)
		}
	}
	return &leader.FollowResponse{Epoch: 1}, nil
}

func (l *countingLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	return &leader.PollResponse{Epoch: 1, To: request.From}, clock.Real{}.Sleep(ctx, request.MaxWait)
}

func (l *countingLeader) counts() (int, map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, maps.Clone(l.topics)
}

// A client that reconnects costs the leader one Follow, not two. The topics of clients that do not
// reconnect are unregistered after a delay.
func TestDroppedTopicsAreReportedWithNextFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		counting := &countingLeader{topics: map[string]int{}}
		hub := New(ctx, "a1", "boot", counting, gossip.NewStore(nil), clock.Real{}, timing)
		opened := 0
		subscribe := func(topic string) *Subscription {
			subscription := hub.NewSubscription(0, topic)
			subscription.OnOpen = func(_ uint64, err error) {
				assert.NilError(t, err)
				opened++
			}
			subscription.OnEntry = func(log.Entry) {}
			hub.Subscribe(subscription)
			synctest.Wait()
			return subscription
		}
		first, second := subscribe("a"), subscribe("b")
		callsBefore, _ := counting.counts()
		for range 5 {
			hub.Unsubscribe(first)
			time.Sleep(timing.LongPoll() / 8)
			first = subscribe("a")
		}
		callsAfter, topics := counting.counts()
		assert.Equal(t, callsAfter-callsBefore, 5)
		assert.Equal(t, opened, 7)
		assert.DeepEqual(t, topics, map[string]int{"a": 1, "b": 1})
		hub.Unsubscribe(first)
		time.Sleep(timing.LongPoll())
		synctest.Wait()
		_, topics = counting.counts()
		assert.DeepEqual(t, topics, map[string]int{"b": 1})
		hub.Unsubscribe(second)
		time.Sleep(timing.LongPoll() + timing.Spread)
		synctest.Wait()
		_, topics = counting.counts()
		assert.DeepEqual(t, topics, map[string]int{})
		subscribe("b")
		_, topics = counting.counts()
		assert.DeepEqual(t, topics, map[string]int{"b": 1})
		assert.Equal(t, opened, 8)
		stop()
		synctest.Wait()
	})
}
