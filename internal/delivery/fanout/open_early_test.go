package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/settings"
)

// On a node that is short of processor time, openEarly may run only after the Follow failed, a
// subscription was removed and the others were requested again.
func TestOpenEarly_AfterRequeue(t *testing.T) {
	hub := New(t.Context(), "a1", "boot", nil, gossip.NewStore(nil), clock.Real{}, settings.DefaultTiming)
	feed := hub.feed(0)
	feed.isFollowing = true
	opened := map[string]uint64{}
	subscribe := func(topic string, offset uint64) *Subscription {
		subscription := hub.NewSubscription(0, topic)
		subscription.After = &offset
		subscription.OnOpen = func(offset uint64, err error) {
			assert.NilError(t, err)
			opened[topic] = offset
		}
		hub.Subscribe(subscription)
		subscription.requestedAt = subscription.requestedAt.Add(-time.Second)
		return subscription
	}
	for i, topic := range []string{"a", "b", "c"} {
		subscribe(topic, uint64(i+1))
	}
	removed := subscribe("d", 9)
	requested := feed.nextCall().pending
	assert.Equal(t, len(requested), 4)
	feed.requeue(requested)
	hub.Unsubscribe(removed)
	requestedAgain := feed.nextCall().pending
	assert.Equal(t, len(requestedAgain), 3)
	feed.openEarly(t.Context(), requested)
	assert.DeepEqual(t, opened, map[string]uint64{"a": 1, "b": 2, "c": 3})
}
