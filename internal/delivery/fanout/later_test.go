package fanout

import (
	"context"
	"maps"
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

// clerk is an owner that counts what it is told.
type clerk struct {
	mu     sync.Mutex
	told   int
	topics map[string]int
}

func (c *clerk) Follow(_ context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told++
	if q.Full {
		clear(c.topics)
	}
	for t, n := range q.Topics {
		c.topics[t] = n
		if n == 0 {
			delete(c.topics, t)
		}
	}
	return &leader.FollowResponse{Epoch: 1}, nil
}

func (c *clerk) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	return &leader.PollResponse{Epoch: 1, To: q.From}, clock.Real{}.Sleep(ctx, q.Hold)
}

func (c *clerk) read() (int, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told, maps.Clone(c.topics)
}

// Visitors whose connections break and who come back cost one word to the owner, not two; those who stay away are told of in time.
func TestDropsAreToldWithWhatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		c := &clerk{topics: map[string]int{}}
		h := New(ctx, "a1", "boot", c, gossip.NewStore(nil), clock.Real{}, b)
		opened := 0
		join := func(topic string) *Subscription {
			s := h.NewSubscription(0, topic)
			s.OnOpen = func(_ uint64, err error) {
				assert.NilError(t, err)
				opened++
			}
			s.OnEntry = func(log.Entry) {}
			h.Subscribe(s)
			synctest.Wait()
			return s
		}
		x, y := join("a"), join("b")
		was, _ := c.read()
		for range 5 {
			h.Unsubscribe(x)
			time.Sleep(b.LongPoll() / 8)
			x = join("a")
		}
		is, topics := c.read()
		assert.Equal(t, is-was, 5)
		assert.Equal(t, opened, 7)
		assert.DeepEqual(t, topics, map[string]int{"a": 1, "b": 1})
		h.Unsubscribe(x)
		time.Sleep(b.LongPoll())
		synctest.Wait()
		_, topics = c.read()
		assert.DeepEqual(t, topics, map[string]int{"b": 1})
		h.Unsubscribe(y)
		time.Sleep(b.LongPoll() + b.Spread)
		synctest.Wait()
		_, topics = c.read()
		assert.DeepEqual(t, topics, map[string]int{})
		join("b")
		_, topics = c.read()
		assert.DeepEqual(t, topics, map[string]int{"b": 1})
		assert.Equal(t, opened, 8)
		stop()
		synctest.Wait()
	})
}
