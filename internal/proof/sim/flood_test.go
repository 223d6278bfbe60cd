package sim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/problem"
)

// Routine callers flood one node far beyond its lanes; urgent calls through it keep their time.
func TestUrgentUnderFlood(t *testing.T) {
	t.Parallel()
	long(t)
	synctest.Test(t, func(t *testing.T) {
		w := New(Armor, 31, Logger())
		defer w.Close()
		for _, m := range w.Machines {
			m.Opts.Backlog = 8
		}
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.Settle(20*time.Second))
		_, err := w.Put("c1", load.Describe(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Bounds.Spread)
		lead := attach(t, w, "a1", "lead")
		n := uint64(0)
		longest := func(k int) time.Duration {
			var most time.Duration
			for range k {
				n++
				at := time.Now()
				_, err := w.Port("a1").Send(w.ctx, lead.Token, "stop/line", n, []byte(`"stop"`))
				assert.NilError(t, err, "an urgent call was turned away")
				most = max(most, time.Since(at))
				time.Sleep(20 * time.Millisecond)
			}
			return most
		}
		calm := longest(50)
		ctx, stop := context.WithCancel(w.ctx)
		var wg sync.WaitGroup
		var mu sync.Mutex
		taken, shed := 0, 0
		for i := range 60 {
			v := attach(t, w, "c1", fmt.Sprintf("flood%d", i))
			wg.Go(func() {
				for c := uint64(1); ctx.Err() == nil; {
					_, err := w.Port("a1").Send(ctx, v.Token, fmt.Sprintf("kept/t%d", i%load.Topics), c, []byte(`1`))
					mu.Lock()
					if err == nil {
						c++
						taken++
					} else if problem.Has(err, problem.Overloaded) {
						shed++
						assert.Check(t, problem.Of(err).RetryMS > 0, "no hint when to come back")
					}
					mu.Unlock()
					if err != nil {
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
		time.Sleep(time.Second)
		busy := longest(50)
		stop()
		wg.Wait()
		t.Logf("urgent, longest of 50: calm %s, flooded %s; routine taken %d, shed %d", calm, busy, taken, shed)
		assert.Assert(t, shed > taken, "the flood was none")
		assert.Assert(t, busy < 3*calm, "urgent calls waited %s, %s without the flood", busy, calm)
	})
}
