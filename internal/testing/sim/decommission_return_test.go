package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A decommissioned storage node leaves with its disk and comes back with it much later: old logs,
// old promises, an old state directory. It serves again as an empty node. Its replicas count only
// once they have caught up. Then another storage node is lost.
func TestDecommissionedStorageNodeReturnsWithItsOldDisk(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runScenario(t, siteForSeed(seed), 380+seed, siteForSeed(seed).Timing.Recovery, func(t *testing.T, w *World) {
			target := busiest(w)
			oldIncarnation := w.Machines[target].Node().Info().Incarnation
			assert.NilError(t, w.startDecommission(target))
			assert.NilError(t, w.WaitUntil(60*time.Second, target+" is empty", w.decommissionDone(target)))
			w.Terminate(target)
			time.Sleep(w.Site.Timing.Retention() + 10*time.Second)
			assert.NilError(t, w.Start(target))
			assert.Equal(t, w.Machines[target].Node().Info().Incarnation, oldIncarnation, "void: it came back with another disk")
			time.Sleep(w.Site.Timing.ReplacementDelay())
			other := busiest(w)
			w.Kill(other)
			settle(w)
			assert.NilError(t, w.Start(other))
			settle(w)
		})
	}
}
