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
func TestSessionsBeyondTheRetention(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(1)) {
		r := runSessions(t, smallSite, 700+seed, Load{Topics: 24, LiveTopics: 2, Every: 6 * time.Second, Habits: func(habits *simclient.Habits) {
			habits.AwayInterval, habits.MaxAbsence, habits.ChangeInterval = time.Minute, 80*time.Second, 0
		}}, 24, func(_ *testing.T, w *World, clients *LineClients) {
			time.Sleep(5 * time.Second)
			w.Isolate("a1")
			time.Sleep(w.Site.Timing.Retention() + w.Site.Timing.Recovery)
			w.Heal()
			time.Sleep(5 * time.Second)
			clients.Ever = true
		})
		assert.Assert(t, r.Expired > 0, "no cursor was too old")
	}
}
