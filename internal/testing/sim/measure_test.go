package sim

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

func measuring(t *testing.T) {
	if os.Getenv("PJ_MEASURE") == "" {
		t.Skip("PJ_MEASURE=1 measures; the verdict of CI does not depend on it")
	}
}

func views(w *World) []leader.View {
	var vs []leader.View
	for _, m := range w.Machines {
		if n := m.Node(); n != nil {
			vs = append(vs, n.Operators.Leaders()...)
		}
	}
	return vs
}

// TestMeasureChangelogInterval counts what batches cost and what a loss makes be reprocessed, by
// interval.
func TestMeasureChangelogInterval(t *testing.T) {
	measuring(t)
	for _, every := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				w := New(Armor, seed, nil)
				defer w.Close()
				for _, m := range w.Machines {
					m.Opts.Changelog = settings.Duration(every)
				}
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				described(t, w)
				w.StartHTTPClients(load)
				time.Sleep(40 * time.Second)
				var taken, batches, items uint64
				for _, v := range views(w) {
					taken, batches, items = taken+v.Counters.Accepted, batches+v.Counters.Batches, items+v.Counters.Items
				}
				o := busiest(w)
				w.Kill(o)
				time.Sleep(10 * time.Second)
				re, n := 0, 0
				for _, v := range views(w) {
					if v.Epoch > 1 {
						re += v.Recovery.Reprocessed
						n++
					}
				}
				t.Logf("interval %s seed %d: batches per 100 messages %.1f, items per message %.2f, reprocessed per take-over %.1f (%d take-overs)", every, seed, 100*float64(batches)/float64(taken), float64(items)/float64(taken), float64(re)/float64(max(n, 1)), n)
			})
		}
	}
}

// TestMeasureRollOut measures the time from an operator's yes to the last node showing the
// description, by nodes.
func TestMeasureRollOut(t *testing.T) {
	measuring(t)
	for _, access := range []int{1, 7, 20} {
		for _, loss := range []float64{0, 0.05} {
			synctest.Test(t, func(t *testing.T) {
				s := Traductores
				s.Access = access
				w := New(s, 1, nil)
				defer w.Close()
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				w.DropPackets(loss)
				var ds []time.Duration
				for base := range uint64(20) {
					_, err := w.Put(w.Names[w.Int(len(w.Names))], load.Configuration(base))
					assert.NilError(t, err)
					at := time.Now()
					for _, n := range w.Names {
						for shown(w, n) <= base {
							time.Sleep(time.Millisecond)
						}
					}
					ds = append(ds, time.Since(at))
					time.Sleep(time.Second)
				}
				slices.Sort(ds)
				t.Logf("%d nodes, packet loss %.0f%%: last node after p50 %s, max %s (share of the spread: %.2f)", len(w.Names), 100*loss, ds[len(ds)/2], ds[len(ds)-1], float64(ds[len(ds)-1])/float64(s.Timing.Spread))
			})
		}
	}
}

// TestMeasureGaps measures the longest wait of a caller for each way a store goes.
func TestMeasureGaps(t *testing.T) {
	measuring(t)
	ways := []struct {
		name string
		f    func(w *World)
	}{
		{"kill", func(w *World) { w.Kill(busiest(w)) }},
		{"kill, back after 300 ms", func(w *World) {
			o := busiest(w)
			w.Kill(o)
			time.Sleep(300 * time.Millisecond)
			_ = w.Start(o)
		}},
		{"stop in good order", func(w *World) { w.Terminate(busiest(w)) }},
		{"cut off", func(w *World) { w.Isolate(busiest(w)) }},
		{"freeze", func(w *World) { w.Freeze(busiest(w)) }},
		{"emptied", func(w *World) { _ = w.startDecommission(busiest(w)) }},
	}
	for _, x := range ways {
		var ds []string
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				w := New(Armor, seed, nil)
				defer w.Close()
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				described(t, w)
				w.StartHTTPClients(load)
				time.Sleep(8 * time.Second)
				x.f(w)
				time.Sleep(20 * time.Second)
				r := w.History.Check(time.Now().Add(-time.Minute), time.Now())
				ds = append(ds, fmt.Sprint(max(r.Routine.Max, r.Urgent.Max).Round(time.Millisecond)))
			})
		}
		t.Logf("%-24s longest wait of a caller by seed: %v", x.name, ds)
	}
}

// TestMeasureControlWork counts calls between nodes in a quiet fleet, by nodes and by partitions.
func TestMeasureControlWork(t *testing.T) {
	measuring(t)
	for _, x := range []struct{ access, routine int }{{1, 4}, {7, 4}, {20, 4}, {7, 12}, {7, 48}} {
		synctest.Test(t, func(t *testing.T) {
			s := Armor
			s.Access, s.Routine = x.access, x.routine
			w := New(s, 1, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			time.Sleep(8 * time.Second)
			before := w.CallsByService()
			time.Sleep(10 * time.Second)
			t.Logf("%d nodes, %d partitions: %s", len(w.Names), s.Routine+s.Urgent, perSecond(before, w.CallsByService(), 10))
		})
	}
}

// TestMeasureIdle counts what a node of a quiet fleet spends on each procedure, by nodes.
func TestMeasureIdle(t *testing.T) {
	measuring(t)
	for _, access := range []int{7, 20, 46, 72} {
		synctest.Test(t, func(t *testing.T) {
			s := Armor
			s.Access = access
			w := New(s, 1, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			described(t, w)
			time.Sleep(5 * time.Second)
			was, secs := w.TrafficByPath(), 10
			time.Sleep(time.Duration(secs) * time.Second)
			var all Traffic
			var ls []string
			n := float64(secs * len(w.Names))
			for k, f := range w.TrafficByPath() {
				f.Calls, f.Bytes = f.Calls-was[k].Calls, f.Bytes-was[k].Bytes
				all = Traffic{all.Calls + f.Calls, all.Bytes + f.Bytes}
				if f.Calls > 0 {
					ls = append(ls, fmt.Sprintf("%9.0f B/s %6.2f/s %s", float64(f.Bytes)/n, float64(f.Calls)/n, k))
				}
			}
			slices.Sort(ls)
			slices.Reverse(ls)
			t.Logf("%d nodes: %.0f B/s and %.2f calls/s a node\n%s", len(w.Names), float64(all.Bytes)/n, float64(all.Calls)/n, strings.Join(ls, "\n"))
		})
	}
}

const heartbeatPath = "/postjunction.Member/Pulse"

// TestMeasureConfigurationUpdates measures what a description that everybody gets adds to the
// bodies of heartbeats, for each node, by nodes.
func TestMeasureConfigurationUpdates(t *testing.T) {
	measuring(t)
	for _, access := range []int{7, 20, 60} {
		synctest.Test(t, func(t *testing.T) {
			s := Traductores
			s.Access = access
			w := New(s, 1, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			time.Sleep(time.Minute)
			const puts = 20
			during := func(f func(i uint64)) float64 {
				was := w.TrafficByPath()[heartbeatPath].Bytes
				for i := range uint64(puts) {
					f(i)
					time.Sleep(2 * time.Second)
				}
				return float64(w.TrafficByPath()[heartbeatPath].Bytes - was)
			}
			calm := during(func(uint64) {})
			busy := during(func(base uint64) {
				_, err := w.Put(w.Names[w.Int(len(w.Names))], load.Configuration(base))
				assert.NilError(t, err)
			})
			t.Logf("%d nodes: a description adds %.0f bytes to the heartbeats of each node", len(w.Names), (busy-calm)/puts/float64(len(w.Names)))
		})
	}
}
