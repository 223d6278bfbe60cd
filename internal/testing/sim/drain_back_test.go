package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An emptied store leaves with its disk, and comes back with it much later: old lines, old
// promises, an old state directory. It serves again as an empty one, and what it holds counts only
// once it was brought up; then another store is lost.
func TestEmptiedStoreReturnsWithItsOldDisk(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		play(t, siteOf(seed), 380+seed, siteOf(seed).Timing.Recovery, func(t *testing.T, w *World) {
			o := busiest(w)
			was := w.Machines[o].Node().Info().Incarnation
			assert.NilError(t, w.askDrain(o))
			assert.NilError(t, w.WaitUntil(60*time.Second, o+" is empty", w.drained(o)))
			w.Terminate(o)
			time.Sleep(w.Site.Timing.Retention() + 10*time.Second)
			assert.NilError(t, w.Start(o))
			assert.Equal(t, w.Machines[o].Node().Info().Incarnation, was, "void: it came back with another disk")
			time.Sleep(w.Site.Timing.ReplacementDelay())
			other := busiest(w)
			w.Kill(other)
			settle(w)
			assert.NilError(t, w.Start(other))
			settle(w)
		})
	}
}
