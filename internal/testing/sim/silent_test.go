package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The leaderships of a storage node that falls silent fail over within a twelfth of the recovery
// time, before clients give up their messages.
func TestSilentStorageNodeFailsOverWithinASecond(t *testing.T) {
	t.Parallel()
	for _, loss := range machineLosses {
		if !strings.HasPrefix(loss.name, "storage node without") && !strings.HasPrefix(loss.name, "storage node frozen") && !strings.HasPrefix(loss.name, "storage node isolated") {
			continue
		}
		for seed := range uint64(4) {
			t.Run(loss.name, func(t *testing.T) {
				t.Parallel()
				gap := longestGap(t, thirteenNodes, 173+seed, loss.inject)
				assert.Assert(t, gap <= time.Second, "some partition accepted nothing for %s", gap)
			})
		}
	}
}

// A storage node whose recent answers were slow may be silent for longer before it is treated as
// failed.
func TestSlowStorageNodeMayBeSilentLonger(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := startWideFleet(t, Armor, 183+seed)
				defer w.Close()
				before := sumOfEpochs(w)
				for range 4 {
					leaderNode := busiest(w)
					w.Slow(leaderNode, w.Site.Timing.PingInterval()*2/3)
					time.Sleep(4 * w.Site.Timing.PingInterval())
					w.Freeze(leaderNode)
					time.Sleep(w.Site.Timing.FailureTimeout() + w.Site.Timing.PingInterval()/2)
					w.Thaw(leaderNode)
					w.Slow(leaderNode, 0)
					time.Sleep(w.Site.Timing.Spread)
				}
				assert.Equal(t, sumOfEpochs(w), before, "leaderships moved")
			})
		})
	}
}
