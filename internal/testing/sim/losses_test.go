package sim

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoLossSite is a site that tolerates two losses at once.
var twoLossSite = func() Site {
	s := Armor
	s.Control, s.Storage, s.ToleratedLosses = 5, 5, 2
	return s
}()

// Where two machines with a disk may be lost at once, each partition has five replicas, spread over
// the zones. Two storage nodes, then two control nodes, then one of each are wiped at the same
// moment.
func TestTwoLossesAtOnce(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, twoLossSite, 31, twoLossSite.Timing.Recovery, func(t *testing.T, w *World) {
		for _, r := range w.records() {
			assert.Equal(t, len(r.Replicas), 5)
		}
		for _, two := range [][]string{{"s1", "s2"}, {"c1", "c2"}, {"s3", "c4"}} {
			var wg sync.WaitGroup
			for _, n := range two {
				wg.Go(func() { w.Wipe(n) })
			}
			wg.Wait()
			time.Sleep(2 * time.Second)
			assert.NilError(t, w.Start(two...))
			assert.NilError(t, w.WaitUntil(30*time.Second, "everything is fully replicated", w.isFullyReplicated))
		}
	})
}

// At a site of three storage nodes that must tolerate two losses, the small disks have the rest of
// the five replicas. No zone has more than two.
func TestSmallDisksFillIn(t *testing.T) {
	t.Parallel()
	s := Armor
	s.ToleratedLosses = 2
	runFleet(t, s, 32, func(t *testing.T, w *World) {
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its replicas", w.isFullyReplicated))
		for p, r := range w.records() {
			zones, storageNodes := map[string]int{}, 0
			for _, x := range r.Replicas {
				zones[w.Machines[x.Node].Opts.Zone]++
				if x.Node[0] == 's' {
					storageNodes++
				}
			}
			assert.Equal(t, storageNodes, 3, "partition %d: %v", p, r.Nodes())
			for z, n := range zones {
				assert.Assert(t, n <= 2, "partition %d has %d replicas in %s", p, n, z)
			}
		}
	})
}
