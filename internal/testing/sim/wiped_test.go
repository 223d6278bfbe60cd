package sim

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A storage node comes back at once with an empty disk, while records still name its lost one.
// Guards against a node that then claims new epochs without end, five a second, so that the
// placement controller loses every race against it. In every second run the placement controller is
// delayed, since it would be first by far.
func TestWipedStorageNodeAsksForNoEpochs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, siteForSeed(seed), 60+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			target := busiest(w)
			before := w.records()
			w.Wipe(target)
			release := func() {}
			if seed%2 == 0 {
				var hits func() int
				release, hits = w.PauseCalls(func(call CallPoint) bool {
					return call.From != target && strings.Contains(call.Path, "/postjunction.Control/Change")
				})
				defer func() { assert.Check(t, hits() > 0, "void: the placement controller was not delayed") }()
			}
			time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
			assert.NilError(t, w.Start(target))
			time.Sleep(w.Site.Timing.TakeoverTimeout())
			release()
			time.Sleep(10 * time.Second)
			for partitionID, record := range w.records() {
				for _, entry := range record.History {
					assert.Assert(t, entry.Leader != target || entry.Epoch <= before[partitionID].Epoch || !strings.Contains(entry.Reason, "came back"), "partition %d: %v on a lost disk", partitionID, entry)
				}
				replica, ok := record.Replica(record.Leader)
				assert.Assert(t, ok && replica.Incarnation == w.Machines[record.Leader].Node().Info().Incarnation, "partition %d has a leader on a lost disk", partitionID)
			}
		})
	}
}

// A storage node restarts and can't reach the control keys for a while, though its sessions are
// intact. Guards against a node that asks for its record only once: the placement controller sees a
// live leader, and the partition remains closed for good.
func TestRestartedLeaderKeepsAskingForItsRecord(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runScenario(t, siteForSeed(seed), 420+seed, time.Hour, func(t *testing.T, w *World) {
			target := busiest(w)
			w.Kill(target)
			release, hits := w.PauseCalls(func(call CallPoint) bool {
				return call.From == target && strings.Contains(call.Path, "/postjunction.Control/")
			})
			assert.NilError(t, w.Start(target))
			time.Sleep(w.Site.Timing.TakeoverTimeout() * 3)
			assert.Assert(t, hits() > 0, "void: no call was paused")
			release()
			time.Sleep(w.Site.Timing.TakeoverTimeout())
			for partitionID, record := range w.records() {
				assert.Assert(t, record.Leader != target || record.Epoch > 1, "partition %d is closed: its leader %s never asked again", partitionID, target)
			}
		})
	}
}
