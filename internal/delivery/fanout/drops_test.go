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

// countingLeader counts the Follow calls it gets.
type countingLeader struct {
	mu     sync.Mutex
	calls  int
	topics map[string]int
}

func (c *countingLeader) Follow(
	_ context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if request.Full {
		clear(c.topics)
	}
	for topic, count := range request.Topics {
		c.topics[topic] = count
		if count == 0 {
			delete(c.topics, topic)
		}
	}
	return &leader.FollowResponse{Epoch: 1}, nil
}

func (c *countingLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	return &leader.PollResponse{Epoch: 1, To: request.From}, clock.Real{}.Sleep(ctx, request.MaxWait)
}

func (c *countingLeader) counts() (int, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, maps.Clone(c.topics)
}

// Clients that reconnect cost the leader one Follow, not two; the topics of those that stay away
// are dropped in time.
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
		before, _ := counting.counts()
		for range 5 {
			hub.Unsubscribe(first)
			time.Sleep(timing.LongPoll() / 8)
			first = subscribe("a")
		}
		now, topics := counting.counts()
		assert.Equal(t, now-before, 5)
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
