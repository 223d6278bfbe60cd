package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/gossip"
)

// News of who decides costs a machine without a disk little: nodes with a disk pass it on, and it
// is asked now and then besides.
func TestLeaderUpdatesAreCheapWithoutADisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := Armor
		s.Access = 72
		w := New(s, 1, nil)
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		time.Sleep(s.Timing.Spread)
		seen := func() (n int, news uint64) {
			for _, m := range w.Names {
				if m[0] == 'a' {
					n += w.CallsInvolving(m, gossip.Exchange.Path)
				}
			}
			for p := range s.Routine + s.Urgent {
				news += w.Machines["a1"].Node().Store.Record(p).Version
			}
			return n, news
		}
		was, old := seen()
		time.Sleep(s.Timing.Spread)
		rest, _ := seen()
		rest -= was
		was, _ = seen()
		w.Kill(w.Machines["a1"].Node().Store.Record(0).Leader)
		time.Sleep(s.Timing.Spread)
		is, news := seen()
		each := float64(is-was-rest) / float64(s.Access)
		t.Logf("%d records written; %.1f exchanges a node besides the %.1f of a quiet time", news-old, each, float64(rest)/float64(s.Access))
		assert.Assert(t, news > old)
		assert.Assert(t, each < 10, "%.1f exchanges", each)
	})
}

// In a fleet of 78 nodes all of them know within a tenth of the spread who decides for the
// partitions of a machine that is lost, counted from the first that knows.
func TestRecordsReachManyNodesAtOnce(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			s := Armor
			s.Access = 72
			w := New(s, seed, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			time.Sleep(s.Timing.Spread)
			gone := w.Machines["a1"].Node().Store.Record(0).Leader
			was := map[int]uint64{}
			for _, m := range w.Machines {
				for p := range s.Routine + s.Urgent {
					was[p] = max(was[p], m.Node().Store.Record(p).Epoch)
				}
			}
			lost := map[int]time.Time{}
			for p := range was {
				if w.Machines[gone].Node().Store.Record(p).Leader == gone {
					lost[p] = time.Time{}
				}
			}
			assert.Assert(t, len(lost) > 0)
			w.Kill(gone)
			for ; len(lost) > 0; time.Sleep(time.Millisecond) {
				for p, first := range lost {
					know, all := 0, 0
					for _, n := range w.Names {
						if n == gone {
							continue
						}
						all++
						if r := w.Machines[n].Node().Store.Record(p); r.Epoch > was[p] && r.Leader != "" {
							know++
						}
					}
					if know > 0 && first.IsZero() {
						first = time.Now()
						lost[p] = first
					}
					if know == all {
						d := time.Since(first)
						t.Logf("seed %d: the new owner of partition %d was known to all %d after %s", seed, p, all, d)
						assert.Assert(t, d < s.Timing.HeartbeatInterval(), "partition %d: %s", p, d)
						delete(lost, p)
					}
				}
			}
		})
	}
}
