package sim

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoLossSite is a site that tolerates two losses at once.
var twoLossSite = func() Site {
	site := Armor
	site.Control, site.Storage, site.ToleratedLosses = 5, 5, 2
	return site
}()

// Where two machines with a disk may be lost at once, each partition has five replicas, spread over
// the zones. Two storage nodes, then two control nodes, then one of each are wiped at the same
// moment.
func TestTwoLossesAtOnce(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, twoLossSite, 31, twoLossSite.Timing.Recovery, func(t *testing.T, w *World) {
		for _, record := range w.records() {
			assert.Equal(t, len(record.Replicas), 5)
		}
		for _, nodes := range [][]string{{"s1", "s2"}, {"c1", "c2"}, {"s3", "c4"}} {
			var wg sync.WaitGroup
			for _, node := range nodes {
				wg.Go(func() { w.Wipe(node) })
			}
			wg.Wait()
			time.Sleep(2 * time.Second)
			assert.NilError(t, w.Start(nodes...))
			assert.NilError(t, w.WaitUntil(30*time.Second, "everything is fully replicated", w.isFullyReplicated))
		}
	})
}

// At a site of three storage nodes that must tolerate two losses, the small disks have the other
// two of the five replicas. No zone has more than two.
func TestSmallDisksFillIn(t *testing.T) {
	t.Parallel()
	site := Armor
	site.ToleratedLosses = 2
	runFleet(t, site, 32, func(t *testing.T, w *World) {
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its replicas", w.isFullyReplicated))
		for partitionID, record := range w.records() {
			zones, storageNodes := map[string]int{}, 0
			for _, replica := range record.Replicas {
				zones[w.Machines[replica.Node].Opts.Zone]++
				if replica.Node[0] == 's' {
					storageNodes++
				}
			}
			assert.Equal(t, storageNodes, 3, "partition %d: %v", partitionID, record.Nodes())
			for zone, count := range zones {
				assert.Assert(t, count <= 2, "partition %d has %d replicas in %s", partitionID, count, zone)
			}
		}
	})
}
