package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partition"
)

// Everything that a storage node sends is delayed by 300 ms, for 40 s. Its leaderships move to
// other nodes before clients of other nodes are slowed for long. One pause of the same length moves
// none.
func TestSlowStorageNodeLosesItsLeaderships(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runFleet(t, siteForSeed(seed), 360+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			leaderNode, topic := "", ""
			for i := 0; leaderNode == "" || leaderNode == w.Machines["a1"].Opts.Name; i++ {
				topic = fmt.Sprintf("kept/t%d", i)
				leaderNode = w.records()[partition.Of(topic, false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
			}
			token := attach(t, w, "a1", "v").Token
			before := w.leadershipMoves()
			w.Freeze(leaderNode)
			time.Sleep(300 * time.Millisecond)
			w.Thaw(leaderNode)
			time.Sleep(8 * time.Second)
			assert.Equal(t, w.leadershipMoves(), before, "a pause of 300 ms moved a leadership")
			w.Slow(leaderNode, 300*time.Millisecond)
			start, slowTime, calls := time.Now(), time.Duration(0), 0
			for callSeq := uint64(1); time.Since(start) < 40*time.Second; callSeq++ {
				start := time.Now()
				_, err := w.Transport("a1").Send(w.ctx, token, topic, callSeq, []byte(`1`))
				for ; err != nil; _, err = w.Transport("a1").Send(w.ctx, token, topic, callSeq, []byte(`1`)) {
					time.Sleep(w.Site.Timing.MaxBackoff() / 2)
				}
				calls++
				if elapsed := time.Since(start); elapsed > 150*time.Millisecond {
					slowTime += elapsed
				}
				time.Sleep(50 * time.Millisecond)
			}
			for partitionID, record := range w.records() {
				assert.Check(t, record.Leader != leaderNode, "partition %d is still led by %s", partitionID, leaderNode)
			}
			t.Logf("clients were slowed for %s of 40 s, %d calls accepted, %d moves", slowTime, calls, w.leadershipMoves()-before)
			assert.Assert(t, slowTime < 8*time.Second, "clients were slowed for %s of 40 s", slowTime)
		})
	}
}

// Only nodes with a disk report the latency of heartbeats, since only their leaderships can move
// for it.
func TestOnlyNodesWithADiskReportHeartbeatLatency(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 380, func(t *testing.T, w *World) {
		slow := w.Site.Timing.SlowThreshold()
		for _, node := range []string{"a1", "s1"} {
			w.Slow(node, 2*slow)
		}
		time.Sleep(w.Site.Timing.Spread)
		assert.Equal(t, w.Machines["a1"].Node().Info().LatencyMicros, int64(0))
		assert.Assert(t, w.Machines["s1"].Node().Info().LatencyMicros > slow.Microseconds())
	})
}
