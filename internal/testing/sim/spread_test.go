package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/gossip"
)

// Updates of partition leaders cost a machine without a disk little: nodes with a disk forward
// them, and the machine takes part in other exchanges only occasionally.
func TestLeaderUpdatesAreCheapWithoutADisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := Armor
		site.Access = 72
		w := New(site, 1, nil)
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		time.Sleep(site.Timing.Spread)
		counts := func() (exchanges int, versions uint64) {
			for _, node := range w.Names {
				if node[0] == 'a' {
					exchanges += w.CallsInvolving(node, gossip.Exchange.Path)
				}
			}
			for partitionID := range site.Routine + site.Urgent {
				versions += w.Machines["a1"].Node().Store.Record(partitionID).Version
			}
			return exchanges, versions
		}
		before, oldVersions := counts()
		time.Sleep(site.Timing.Spread)
		idleExchanges, _ := counts()
		idleExchanges -= before
		before, _ = counts()
		w.Kill(w.Machines["a1"].Node().Store.Record(0).Leader)
		time.Sleep(site.Timing.Spread)
		after, newVersions := counts()
		exchangesPerNode := float64(after-before-idleExchanges) / float64(site.Access)
		t.Logf("%d records written; %.1f exchanges a node besides the %.1f of an idle time", newVersions-oldVersions, exchangesPerNode, float64(idleExchanges)/float64(site.Access))
		assert.Assert(t, newVersions > oldVersions)
		assert.Assert(t, exchangesPerNode < 10, "%.1f exchanges", exchangesPerNode)
	})
}

// In a fleet of 78 nodes all of them know the new leaders of the partitions of a lost machine
// within a tenth of the spread, counted from the first node that knows.
func TestRecordsReachManyNodesAtOnce(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			site := Armor
			site.Access = 72
			w := New(site, seed, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			time.Sleep(site.Timing.Spread)
			lostLeader := w.Machines["a1"].Node().Store.Record(0).Leader
			epochs := map[int]uint64{}
			for _, machine := range w.Machines {
				for partitionID := range site.Routine + site.Urgent {
					epochs[partitionID] = max(epochs[partitionID], machine.Node().Store.Record(partitionID).Epoch)
				}
			}
			unsettled := map[int]time.Time{}
			for partitionID := range epochs {
				if w.Machines[lostLeader].Node().Store.Record(partitionID).Leader == lostLeader {
					unsettled[partitionID] = time.Time{}
				}
			}
			assert.Assert(t, len(unsettled) > 0)
			w.Kill(lostLeader)
			for ; len(unsettled) > 0; time.Sleep(time.Millisecond) {
				for partitionID, first := range unsettled {
					informed, total := 0, 0
					for _, node := range w.Names {
						if node == lostLeader {
							continue
						}
						total++
						if record := w.Machines[node].Node().Store.Record(partitionID); record.Epoch > epochs[partitionID] && record.Leader != "" {
							informed++
						}
					}
					if informed > 0 && first.IsZero() {
						first = time.Now()
						unsettled[partitionID] = first
					}
					if informed == total {
						delay := time.Since(first)
						t.Logf("seed %d: the new leader of partition %d was known to all %d after %s", seed, partitionID, total, delay)
						assert.Assert(t, delay < site.Timing.HeartbeatInterval(), "partition %d: %s", partitionID, delay)
						delete(unsettled, partitionID)
					}
				}
			}
		})
	}
}
