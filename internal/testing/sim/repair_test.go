package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// platformSite is a site as the platform runs it, with all partitions.
var platformSite = func() Site {
	site := Armor
	site.Control, site.Access, site.Routine, site.Urgent = 4, 2, 12, 4
	return site
}()

// platformLoad is a load near the usual one of the platform.
var platformLoad = Load{HTTPClients: 44, Topics: 30, LiveTopics: 2, UrgentSenders: 2, SendInterval: 200 * time.Millisecond}

// allReplicasComplete reports whether every partition is recovered, has all its replicas on disks
// of running processes, and has no learner.
func (w *World) allReplicasComplete() bool {
	observer := w.Machines["a1"].Node()
	layout := observer.VoterSet().Layout
	for partitionID := range layout.PartitionCount() {
		record := observer.Store.Record(partitionID)
		if !record.Recovered || len(record.Replicas) != layout.ReplicationFactor() || record.Learner != nil {
			return false
		}
		for _, replica := range record.Replicas {
			if running := w.Machines[replica.Node].Node(); running == nil || running.Info().Incarnation != replica.Incarnation {
				return false
			}
		}
	}
	return true
}

// A machine that comes back with an empty disk under load soon has all its replicas, or is a voter
// again. Until then it counts as lost, and no other machine may be lost.
func TestEmptyDisksAreFilledSoon(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, downtime := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		t.Run(downtime.String(), func(t *testing.T) {
			t.Parallel()
			runFleet(t, platformSite, 50, func(t *testing.T, w *World) {
				_, err := w.Put("c1", platformLoad.Configuration(0))
				assert.NilError(t, err)
				time.Sleep(w.Site.Timing.Spread)
				w.StartHTTPClients(platformLoad)
				time.Sleep(40 * time.Second)
				for _, node := range []string{"s1", busiest(w), "c1"} {
					w.Wipe(node)
					time.Sleep(downtime)
					assert.NilError(t, w.Start(node))
					startedAt := time.Now()
					assert.NilError(t, w.WaitUntil(10*time.Second, "all replicas are complete", w.allReplicasComplete))
					replicasAfter := time.Since(startedAt)
					assert.NilError(t, w.WaitUntil(10*time.Second, "all control nodes are voters", w.allNodesAreVoters))
					t.Logf("%s: replicas complete %s after its return, voters after %s", node, replicasAfter, time.Since(startedAt))
					assert.Check(t, time.Since(startedAt) < 2500*time.Millisecond, node)
					time.Sleep(4 * time.Second)
				}
				w.StopSending(time.Second)
			})
		})
	}
}

// Decommissioning a storage node under load takes a few seconds: all its partitions move at once.
func TestDecommissioningIsSoonDone(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runFleet(t, platformSite, 51, func(t *testing.T, w *World) {
		_, err := w.Put("c1", platformLoad.Configuration(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		w.StartHTTPClients(platformLoad)
		time.Sleep(20 * time.Second)
		start := time.Now()
		assert.NilError(t, w.startDecommission("s1"))
		assert.NilError(t, w.WaitUntil(20*time.Second, "s1 is empty", w.decommissionDone("s1")))
		t.Logf("empty after %s", time.Since(start))
		assert.Check(t, time.Since(start) < 4*time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.replicaCount("s1"), 0, "a decommissioned machine got replicas again")
		w.StopSending(time.Second)
	})
}

// A storage node that is down is decommissioned. Nothing waits for it.
func TestDecommissioningAStorageNodeThatIsDown(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 52, func(t *testing.T, w *World) {
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its replicas", w.allReplicasComplete))
		w.Kill("s2")
		time.Sleep(4 * time.Second)
		start := time.Now()
		assert.NilError(t, w.startDecommission("s2"))
		assert.NilError(t, w.WaitUntil(10*time.Second, "s2 is empty", w.decommissionDone("s2")))
		t.Logf("empty after %s", time.Since(start))
		assert.Equal(t, w.committedReplicaCount(t, "s2"), 0)
		assert.NilError(t, w.WaitUntil(w.Site.Timing.Spread, "every node knows that s2 is empty", func() bool { return w.replicaCount("s2") == 0 }))
	})
}

// A storage node that joined late and has no replicas is decommissioned at once. It remains empty
// when another storage node is lost, whose replicas move to the small disks.
func TestEmptyStorageNodeStaysEmpty(t *testing.T) {
	t.Parallel()
	site := Armor
	site.Storage = 4
	synctest.Test(t, func(t *testing.T) {
		w := New(site, 53, Logger())
		defer w.Close()
		for _, node := range w.Names {
			if node != "s4" {
				assert.NilError(t, w.Start(node))
			}
		}
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its replicas", func() bool { return w.replicaCount("s1") > 0 && w.allReplicasComplete() }))
		assert.NilError(t, w.Start("s4"))
		time.Sleep(time.Second)
		assert.NilError(t, w.startDecommission("s4"))
		assert.NilError(t, w.WaitUntil(w.Site.Timing.SessionTimeout(), "s4 is empty and the records are fenced", w.decommissionDone("s4")))
		w.Kill("s2")
		assert.NilError(t, w.WaitUntil(w.Site.Timing.ReplacementDelay()+10*time.Second, "the small disks have the replicas", func() bool { return w.replicaCount("s2") == 0 && w.allReplicasComplete() }))
		assert.Equal(t, w.replicaCount("s4"), 0)
	})
}
