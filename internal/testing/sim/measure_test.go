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

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("PJ_MEASURE") == "" {
		t.Skip("PJ_MEASURE=1 measures; the result of CI does not depend on it")
	}
}

func leaderViews(w *World) []leader.View {
	var views []leader.View
	for _, machine := range w.Machines {
		if running := machine.Node(); running != nil {
			views = append(views, running.Operators.Leaders()...)
		}
	}
	return views
}

// TestMeasureChangelogInterval counts batches and the messages reprocessed after a failover, by the
// interval of the changelog.
func TestMeasureChangelogInterval(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, every := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				w := New(Armor, seed, nil)
				defer w.Close()
				for _, machine := range w.Machines {
					machine.Opts.Changelog = settings.Duration(every)
				}
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				applyConfiguration(t, w)
				w.StartHTTPClients(load)
				time.Sleep(40 * time.Second)
				var accepted, batches, items uint64
				for _, view := range leaderViews(w) {
					accepted, batches, items = accepted+view.Counters.Accepted, batches+view.Counters.Batches, items+view.Counters.Items
				}
				leaderNode := busiest(w)
				w.Kill(leaderNode)
				time.Sleep(10 * time.Second)
				reprocessed, failovers := 0, 0
				for _, view := range leaderViews(w) {
					if view.Epoch > 1 {
						reprocessed += view.Recovery.Reprocessed
						failovers++
					}
				}
				t.Logf("interval %s seed %d: batches per 100 messages %.1f, items per message %.2f, reprocessed per failover %.1f (%d failovers)", every, seed, 100*float64(batches)/float64(accepted), float64(items)/float64(accepted), float64(reprocessed)/float64(max(failovers, 1)), failovers)
			})
		}
	}
}

// TestMeasureRollOut measures the time from an acknowledgement to the operator until the last node
// serves the configuration, by number of nodes.
func TestMeasureRollOut(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, access := range []int{1, 7, 20} {
		for _, loss := range []float64{0, 0.05} {
			synctest.Test(t, func(t *testing.T) {
				site := Traductores
				site.Access = access
				w := New(site, 1, nil)
				defer w.Close()
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				w.DropPackets(loss)
				var durations []time.Duration
				for base := range uint64(20) {
					_, err := w.Put(w.Names[w.Int(len(w.Names))], load.Configuration(base))
					assert.NilError(t, err)
					start := time.Now()
					for _, node := range w.Names {
						for servedSequence(w, node) <= base {
							time.Sleep(time.Millisecond)
						}
					}
					durations = append(durations, time.Since(start))
					time.Sleep(time.Second)
				}
				slices.Sort(durations)
				t.Logf("%d nodes, packet loss %.0f%%: last node after p50 %s, max %s (share of the spread: %.2f)", len(w.Names), 100*loss, durations[len(durations)/2], durations[len(durations)-1], float64(durations[len(durations)-1])/float64(site.Timing.Spread))
			})
		}
	}
}

// TestMeasureGaps measures the longest wait of a client for each way in which a storage node fails
// or leaves.
func TestMeasureGaps(t *testing.T) {
	skipUnlessMeasuring(t)
	ways := []struct {
		name   string
		inject func(w *World)
	}{
		{"kill", func(w *World) { w.Kill(busiest(w)) }},
		{"kill, restarted after 300 ms", func(w *World) {
			leaderNode := busiest(w)
			w.Kill(leaderNode)
			time.Sleep(300 * time.Millisecond)
			_ = w.Start(leaderNode)
		}},
		{"clean shutdown", func(w *World) { w.Terminate(busiest(w)) }},
		{"isolate", func(w *World) { w.Isolate(busiest(w)) }},
		{"freeze", func(w *World) { w.Freeze(busiest(w)) }},
		{"decommission", func(w *World) { _ = w.startDecommission(busiest(w)) }},
	}
	for _, way := range ways {
		var waits []string
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				w := New(Armor, seed, nil)
				defer w.Close()
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				applyConfiguration(t, w)
				w.StartHTTPClients(load)
				time.Sleep(8 * time.Second)
				way.inject(w)
				time.Sleep(20 * time.Second)
				report := w.History.Check(time.Now().Add(-time.Minute), time.Now())
				waits = append(waits, fmt.Sprint(max(report.Routine.Max, report.Urgent.Max).Round(time.Millisecond)))
			})
		}
		t.Logf("%-24s longest wait of a client by seed: %v", way.name, waits)
	}
}

// TestMeasureControlWork counts calls between nodes of an idle fleet, by nodes and by partitions.
func TestMeasureControlWork(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, size := range []struct{ access, routine int }{{1, 4}, {7, 4}, {20, 4}, {7, 12}, {7, 48}} {
		synctest.Test(t, func(t *testing.T) {
			site := Armor
			site.Access, site.Routine = size.access, size.routine
			w := New(site, 1, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			time.Sleep(8 * time.Second)
			before := w.CallsByService()
			time.Sleep(10 * time.Second)
			t.Logf("%d nodes, %d partitions: %s", len(w.Names), site.Routine+site.Urgent, perSecond(before, w.CallsByService(), 10))
		})
	}
}

// TestMeasureIdle counts the calls and bytes of each procedure per node of an idle fleet, by number
// of nodes.
func TestMeasureIdle(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, access := range []int{7, 20, 46, 72} {
		synctest.Test(t, func(t *testing.T) {
			site := Armor
			site.Access = access
			w := New(site, 1, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			applyConfiguration(t, w)
			time.Sleep(5 * time.Second)
			before, seconds := w.TrafficByPath(), 10
			time.Sleep(time.Duration(seconds) * time.Second)
			var total Traffic
			var lines []string
			nodeSeconds := float64(seconds * len(w.Names))
			for procedure, traffic := range w.TrafficByPath() {
				traffic.Calls, traffic.Bytes = traffic.Calls-before[procedure].Calls, traffic.Bytes-before[procedure].Bytes
				total = Traffic{total.Calls + traffic.Calls, total.Bytes + traffic.Bytes}
				if traffic.Calls > 0 {
					lines = append(lines, fmt.Sprintf("%9.0f B/s %6.2f/s %s", float64(traffic.Bytes)/nodeSeconds, float64(traffic.Calls)/nodeSeconds, procedure))
				}
			}
			slices.Sort(lines)
			slices.Reverse(lines)
			t.Logf("%d nodes: %.0f B/s and %.2f calls/s a node\n%s", len(w.Names), float64(total.Bytes)/nodeSeconds, float64(total.Calls)/nodeSeconds, strings.Join(lines, "\n"))
		})
	}
}

const heartbeatPath = "/postjunction.Member/Pulse"

// TestMeasureConfigurationUpdates measures the bytes that a configuration, which every node
// receives, adds to the heartbeats of each node, by number of nodes.
func TestMeasureConfigurationUpdates(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, access := range []int{7, 20, 60} {
		synctest.Test(t, func(t *testing.T) {
			site := Traductores
			site.Access = access
			w := New(site, 1, nil)
			defer w.Close()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitReady(20*time.Second))
			time.Sleep(time.Minute)
			const puts = 20
			during := func(step func(i uint64)) float64 {
				before := w.TrafficByPath()[heartbeatPath].Bytes
				for i := range uint64(puts) {
					step(i)
					time.Sleep(2 * time.Second)
				}
				return float64(w.TrafficByPath()[heartbeatPath].Bytes - before)
			}
			idle := during(func(uint64) {})
			updating := during(func(base uint64) {
				_, err := w.Put(w.Names[w.Int(len(w.Names))], load.Configuration(base))
				assert.NilError(t, err)
			})
			t.Logf("%d nodes: a configuration adds %.0f bytes to the heartbeats of each node", len(w.Names), (updating-idle)/puts/float64(len(w.Names)))
		})
	}
}
