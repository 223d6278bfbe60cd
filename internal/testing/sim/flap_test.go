package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func sumOfEpochs(w *World) (sum uint64) {
	for _, r := range w.records() {
		sum += r.Epoch
	}
	return sum
}

// A machine that is slow, loses packets or pauses for a moment is not lost. No leader changes.
func TestNoLeaderChangesWhileMachinesAreOnlySlow(t *testing.T) {
	t.Parallel()
	disturbances := []struct {
		name   string
		inject func(w *World)
	}{
		{"packet loss of 3 %", func(w *World) { w.DropPackets(0.03); time.Sleep(60 * time.Second) }},
		{"packet loss of 10 %", func(w *World) { w.DropPackets(0.1); time.Sleep(20 * time.Second) }},
		{"a storage node five times slower", func(w *World) { w.Slow(busiest(w), 4*w.Site.Latency); time.Sleep(30 * time.Second) }},
		{"all five times slower", func(w *World) {
			for _, n := range w.Names {
				w.Slow(n, 4*w.Site.Latency)
			}
			time.Sleep(30 * time.Second)
		}},
		{"pauses of 600 ms", func(w *World) {
			for range 5 {
				leaderNode := busiest(w)
				w.Freeze(leaderNode)
				time.Sleep(600 * time.Millisecond)
				w.Thaw(leaderNode)
				time.Sleep(2 * time.Second)
			}
		}},
		{"all pause for 3 s", func(w *World) {
			for _, n := range w.Names {
				w.Freeze(n)
			}
			time.Sleep(3 * time.Second)
			for _, n := range w.Names {
				w.Thaw(n)
			}
			time.Sleep(5 * time.Second)
		}},
		{"a successor pauses for 3 s", func(w *World) {
			leaderNode := busiest(w)
			for _, n := range w.Names {
				if n[0] == 's' && n != leaderNode {
					w.Freeze(n)
					time.Sleep(700 * time.Millisecond)
					w.Thaw(n)
					time.Sleep(time.Second)
				}
			}
		}},
		{"connections reset", func(w *World) {
			for range 5 {
				for _, n := range w.Names {
					w.Reset(n)
				}
				time.Sleep(2 * time.Second)
			}
		}},
		{"control nodes restart", func(w *World) { w.restartNodes(300*time.Millisecond, "c"); time.Sleep(8 * time.Second) }},
		{"the link between two storage nodes is cut", func(w *World) {
			w.Cut("s1", "s2")
			w.Cut("s2", "s1")
			time.Sleep(10 * time.Second)
			w.Heal()
			time.Sleep(3 * time.Second)
		}},
	}
	for _, disturbance := range disturbances {
		t.Run(disturbance.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := startWideFleet(t, Armor, 72)
				defer w.Close()
				before := sumOfEpochs(w)
				disturbance.inject(w)
				assert.Equal(t, sumOfEpochs(w), before, "partitions changed their leaders")
			})
		})
	}
}

// After each kind of loss, every partition accepts messages again within the loss's maxGap.
func TestServiceIsBackInItsTime(t *testing.T) {
	t.Parallel()
	for _, loss := range machineLosses {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			gap := longestGap(t, Armor, 73, loss.inject)
			assert.Assert(t, gap <= loss.maxGap, "some partition accepted nothing for %s, at most %s are allowed", gap, loss.maxGap)
		})
	}
}
