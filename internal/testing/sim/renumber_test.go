package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A client whose call number is rejected finally sends the message under a new number. Guards
// against a message that is delivered twice, under both numbers: a node without a leader rejected a
// number finally, although an earlier attempt was in the log of the leader that had been killed.
func TestSend_MessageUnderANewNumberIsDeliveredOnce(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	load := Load{Topics: 24, LiveTopics: 4, SendInterval: 400 * time.Millisecond}
	for seed := range uint64(seeds(2)) {
		tally := runSessions(t, smallSite, 1100+seed, load, 24, func(t *testing.T, w *World, _ *LineClients) {
			for range 3 {
				time.Sleep(w.randomTenths(20, 40))
				storageNodes := w.namesOf("s")
				for _, name := range storageNodes {
					w.Kill(name)
				}
				time.Sleep(500 * time.Millisecond)
				assert.NilError(t, w.Start(storageNodes...))
				time.Sleep(8 * time.Second)
			}
		})
		assert.Assert(t, tally.Renumbered > 0, "void: no message was sent under a new number")
	}
}
