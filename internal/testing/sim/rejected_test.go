package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// Two of three storage nodes are lost permanently, so most partitions have no leader that can
// decide. Each call is rejected at once, with a time to retry, and not near its deadline. None is
// rejected finally.
func TestCallsThatNoLeaderCanDecideAreRejectedAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(3)) {
		runFleet(t, Armor, 160+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			token := attach(t, w, "a1", "v").Token
			w.Kill("s1")
			w.Kill(fmt.Sprintf("s%d", 2+seed%2))
			time.Sleep(w.Site.Timing.Recovery * 3 / 4)
			var slowest time.Duration
			rejected := 0
			for i := range 3 * load.Topics {
				for _, node := range []string{"a1", "c2"} {
					start := time.Now()
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
					_, err := w.Transport(node).Send(ctx, token, fmt.Sprintf("kept/t%d", i%load.Topics), 1, []byte(`1`))
					stop()
					if err == nil {
						continue
					}
					rejection := apierror.From(err)
					assert.Assert(t, rejection.RetryAfterMS > 0, "no time to retry: %v", err)
					assert.Assert(t, rejection.Code == apierror.NoPartitionLeader || rejection.Code == apierror.OutcomeUnknown, "%v", err)
					rejected++
					slowest = max(slowest, time.Since(start))
				}
			}
			assert.Assert(t, rejected > 10, "void: %d calls were rejected with a time to retry", rejected)
			t.Logf("%d calls rejected with a time to retry, the slowest after %s", rejected, slowest)
			assert.Assert(t, slowest < 2*w.Site.Timing.MaxBackoff()+w.Site.Timing.MaxBackoff()/2, "rejected after %s", slowest)
		})
	}
}
