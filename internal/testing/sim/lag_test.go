package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partition"
)

// All that a store sends takes 300 ms longer, for 40 s. Its partitions are decided elsewhere before
// callers of other nodes feel it long; one pause of the same length moves nothing.
func TestSlowStoreLosesItsLeaderships(t *testing.T) {
	t.Parallel()
	long(t)
	for seed := range uint64(seeds(2)) {
		stand(t, siteForSeed(seed), 360+seed, func(t *testing.T, w *World) {
			described(t, w)
			o, topic := "", ""
			for i := 0; o == "" || o == w.Machines["a1"].Opts.Name; i++ {
				topic = fmt.Sprintf("kept/t%d", i)
				o = w.records()[partition.Of(topic, false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
			}
			tok := attach(t, w, "a1", "v").Token
			before := w.moves()
			w.Freeze(o)
			time.Sleep(300 * time.Millisecond)
			w.Thaw(o)
			time.Sleep(8 * time.Second)
			assert.Equal(t, w.moves(), before, "a pause of 300 ms moved something")
			w.Slow(o, 300*time.Millisecond)
			begun, felt, calls := time.Now(), time.Duration(0), 0
			for n := uint64(1); time.Since(begun) < 40*time.Second; n++ {
				at := time.Now()
				_, err := w.Transport("a1").Send(w.ctx, tok, topic, n, []byte(`1`))
				for ; err != nil; _, err = w.Transport("a1").Send(w.ctx, tok, topic, n, []byte(`1`)) {
					time.Sleep(w.Site.Timing.MaxBackoff() / 2)
				}
				calls++
				if d := time.Since(at); d > 150*time.Millisecond {
					felt += d
				}
				time.Sleep(50 * time.Millisecond)
			}
			for p, x := range w.records() {
				assert.Check(t, x.Leader != o, "partition %d is still decided by %s", p, o)
			}
			t.Logf("callers felt it for %s of 40 s, %d calls taken, %d moves", felt, calls, w.moves()-before)
			assert.Assert(t, felt < 8*time.Second, "callers felt it for %s of 40 s", felt)
		})
	}
}

// How long heartbeats take is told by nodes whose duties can move for it, and by no others.
func TestOnlyNodesWithADiskReportHeartbeatLatency(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 380, func(t *testing.T, w *World) {
		slow := w.Site.Timing.SlowThreshold()
		for _, n := range []string{"a1", "s1"} {
			w.Slow(n, 2*slow)
		}
		time.Sleep(w.Site.Timing.Spread)
		assert.Equal(t, w.Machines["a1"].Node().Info().LatencyMicros, int64(0))
		assert.Assert(t, w.Machines["s1"].Node().Info().LatencyMicros > slow.Microseconds())
	})
}
