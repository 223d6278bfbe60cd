package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/simclient"
)

// A node is cut off from all others for longer than messages are held, while its visitors stay;
// others are away that long, and some come at the end with cursors of any age. Nobody is led past
// what is gone, and nobody is told that a cursor is too old which lacks nothing that is.
func TestSessionsPastTheKeepingTime(t *testing.T) {
	t.Parallel()
	long(t)
	for seed := range uint64(seeds(1)) {
		r := entertain(t, hall, 700+seed, Load{Topics: 24, LiveTopics: 2, SendInterval: 6 * time.Second, Habits: func(h *simclient.Habits) {
			h.AwayInterval, h.MaxAbsence, h.ChangeInterval = time.Minute, 80*time.Second, 0
		}}, 24, func(_ *testing.T, w *World, g *LineClients) {
			time.Sleep(5 * time.Second)
			w.Isolate("a1")
			time.Sleep(w.Site.Timing.Retention() + w.Site.Timing.Recovery)
			w.Heal()
			time.Sleep(5 * time.Second)
			g.AnyCursorAge = true
		})
		assert.Assert(t, r.Expired > 0, "no cursor was too old")
	}
}
