package sim

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Wide is a site that bears two losses at once.
var broad = func() Site {
	s := Armor
	s.Control, s.Stores, s.ToleratedLosses = 5, 5, 2
	return s
}()

// Where two machines with a disk may be lost at once, five disks hold each partition, spread over
// the zones. Two stores and two control nodes are wiped at the same moment.
func TestTwoLossesAtOnce(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	play(t, broad, 31, broad.Timing.Recovery, func(t *testing.T, w *World) {
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
			assert.NilError(t, w.WaitUntil(30*time.Second, "all is whole", w.whole))
		}
	})
}

// At a site of three stores that is to bear two losses, the small disks hold the rest of the five
// copies, no zone more than two.
func TestSmallDisksFillIn(t *testing.T) {
	t.Parallel()
	s := Armor
	s.ToleratedLosses = 2
	runFleet(t, s, 32, func(t *testing.T, w *World) {
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its copies", w.whole))
		for p, r := range w.records() {
			zones, stores := map[string]int{}, 0
			for _, x := range r.Replicas {
				zones[w.Machines[x.Node].Opts.Zone]++
				if x.Node[0] == 's' {
					stores++
				}
			}
			assert.Equal(t, stores, 3, "partition %d: %v", p, r.Nodes())
			for z, n := range zones {
				assert.Assert(t, n <= 2, "partition %d has %d copies in %s", p, n, z)
			}
		}
	})
}
