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
			for _, m := range w.Names {
				if m[0] == 'a' {
					exchanges += w.CallsInvolving(m, gossip.Exchange.Path)
				}
			}
			for p := range site.Routine + site.Urgent {
				versions += w.Machines["a1"].Node().Store.Record(p).Version
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
		each := float64(after-before-idleExchanges) / float64(site.Access)
		t.Logf("%d records written; %.1f exchanges a node besides the %.1f of an idle time", newVersions-oldVersions, each, float64(idleExchanges)/float64(site.Access))
		assert.Assert(t, newVersions > oldVersions)
		assert.Assert(t, each < 10, "%.1f exchanges", each)
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
			for _, m := range w.Machines {
				for p := range site.Routine + site.Urgent {
					epochs[p] = max(epochs[p], m.Node().Store.Record(p).Epoch)
				}
			}
			lost := map[int]time.Time{}
			for p := range epochs {
				if w.Machines[lostLeader].Node().Store.Record(p).Leader == lostLeader {
					lost[p] = time.Time{}
				}
			}
			assert.Assert(t, len(lost) > 0)
			w.Kill(lostLeader)
			for ; len(lost) > 0; time.Sleep(time.Millisecond) {
				for p, first := range lost {
					informed, all := 0, 0
					for _, n := range w.Names {
						if n == lostLeader {
							continue
						}
						all++
						if r := w.Machines[n].Node().Store.Record(p); r.Epoch > epochs[p] && r.Leader != "" {
							informed++
						}
					}
					if informed > 0 && first.IsZero() {
						first = time.Now()
						lost[p] = first
					}
					if informed == all {
						d := time.Since(first)
						t.Logf("seed %d: the new leader of partition %d was known to all %d after %s", seed, p, all, d)
						assert.Assert(t, d < site.Timing.HeartbeatInterval(), "partition %d: %s", p, d)
						delete(lost, p)
					}
				}
			}
		})
	}
}
