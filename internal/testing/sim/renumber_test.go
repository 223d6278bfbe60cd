package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A client that is told that a number never will be accepted sends the message under a new one.
// Guards against a message delivered twice, under both: a node without a leader promised so of a
// number of which an earlier attempt stood in the log of the leader that had been killed.
func TestSend_MessageUnderANewNumberIsDeliveredOnce(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	load := Load{Topics: 24, LiveTopics: 4, Every: 400 * time.Millisecond}
	for seed := range uint64(seeds(2)) {
		tally := runSessions(t, smallSite, 1100+seed, load, 24, func(t *testing.T, w *World, _ *LineClients) {
			for range 3 {
				time.Sleep(w.span(20, 40))
				stores := w.namesOf("s")
				for _, name := range stores {
					w.Kill(name)
				}
				time.Sleep(500 * time.Millisecond)
				assert.NilError(t, w.Start(stores...))
				time.Sleep(8 * time.Second)
			}
		})
		assert.Assert(t, tally.Renumbered > 0, "void: no message was tried under a new number")
	}
}
