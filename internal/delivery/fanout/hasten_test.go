package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/settings"
)

// A node with next to no processor gets to those whose place needs no owner only after they were asked about in vain, some have left and the others are asked about anew.
func TestPlacesAreHastenedLate(t *testing.T) {
	h := New(t.Context(), "a1", "boot", nil, gossip.NewStore(nil), clock.Real{}, settings.DefaultTiming)
	f := h.feed(0)
	f.telling = true
	opened := map[string]uint64{}
	join := func(topic string, at uint64) *Subscription {
		s := h.NewSubscription(0, topic)
		s.After = &at
		s.OnOpen = func(at uint64, err error) {
			assert.NilError(t, err)
			opened[topic] = at
		}
		h.Subscribe(s)
		s.asked = s.asked.Add(-time.Second)
		return s
	}
	for i, n := range []string{"a", "b", "c"} {
		join(n, uint64(i+1))
	}
	gone := join("gone", 9)
	_, asked, _ := f.want()
	assert.Equal(t, len(asked), 4)
	f.back(asked)
	h.Unsubscribe(gone)
	_, again, _ := f.want()
	assert.Equal(t, len(again), 3)
	f.hasten(t.Context(), asked)
	assert.DeepEqual(t, opened, map[string]uint64{"a": 1, "b": 2, "c": 3})
}
