package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A store that falls silent is made good before messages are given up: in a twelfth of the recovery
// time.
func TestASilentStoreIsMadeGoodWithinASecond(t *testing.T) {
	t.Parallel()
	for _, x := range losses {
		if !strings.HasPrefix(x.name, "store without") && !strings.HasPrefix(x.name, "store frozen") && !strings.HasPrefix(x.name, "store cut") {
			continue
		}
		for seed := range uint64(4) {
			t.Run(x.name, func(t *testing.T) {
				t.Parallel()
				d := gapOf(t, thirteen, 173+seed, x.f)
				assert.Assert(t, d <= time.Second, "some partition took nothing for %s", d)
			})
		}
	}
}

// A store whose answers took long lately is given longer before its silence counts.
func TestAStoreThatAnswersSlowlyMayBeSilentLonger(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := standing(t, Armor, 183+seed)
				defer w.Close()
				was := sumOfEpochs(w)
				for range 4 {
					o := busiest(w)
					w.Slow(o, w.Site.Timing.PingInterval()*2/3)
					time.Sleep(4 * w.Site.Timing.PingInterval())
					w.Freeze(o)
					time.Sleep(w.Site.Timing.FailureTimeout() + w.Site.Timing.PingInterval()/2)
					w.Thaw(o)
					w.Slow(o, 0)
					time.Sleep(w.Site.Timing.Spread)
				}
				assert.Equal(t, sumOfEpochs(w), was, "partitions changed hands")
			})
		})
	}
}
