package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/simclient"
)

// A node is isolated for longer than messages are stored, while its clients remain connected.
// Other clients are disconnected that long, and some connect at the end with cursors of any age. No
// client silently skips messages that were removed. No cursor is rejected as too old if no message
// after it was removed.
func TestSessionsBeyondTheRetention(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(1)) {
		tally := runSessions(t, smallSite, 700+seed, Load{Topics: 24, LiveTopics: 2, SendInterval: 6 * time.Second, Habits: func(habits *simclient.Habits) {
			habits.AwayInterval, habits.MaxAbsence, habits.ChangeInterval = time.Minute, 80*time.Second, 0
		}}, 24, func(_ *testing.T, w *World, clients *LineClients) {
			time.Sleep(5 * time.Second)
			w.Isolate("a1")
			time.Sleep(w.Site.Timing.Retention() + w.Site.Timing.Recovery)
			w.Heal()
			time.Sleep(5 * time.Second)
			clients.AnyCursorAge = true
		})
		assert.Assert(t, tally.Expired > 0, "no cursor was too old to resume from")
	}
}
