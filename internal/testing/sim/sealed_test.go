package sim

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/wire"
)

// The node that changes the voters is lost after the old voter set is sealed and before the new one
// is open anywhere. Another one finishes the change, and an operator's calls that began in between
// ride through it.
func TestAChangeOfVotersOutlivesWhoBeganIt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		site := spared(siteOf(seed), "c2")
		runFleet(t, site, 300+seed, func(t *testing.T, w *World) {
			w.Watch()
			time.Sleep(3 * time.Second)
			seq, err := w.Put("a1", load.Describe(0))
			assert.NilError(t, err)
			var mu sync.Mutex
			who := ""
			release, hits := w.PauseCalls(func(x Point) bool {
				var q acceptor.ActivateRequest
				if x.Path != acceptor.Activate.Path || x.Stage != Asking || wire.Unmarshal(x.Body, &q) != nil {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				if who == "" {
					who = x.From
				}
				return x.From == who
			})
			assert.NilError(t, w.Add("c2b"))
			assert.NilError(t, w.WaitUntil(10*time.Second, "a change of the voters is sealed", func() bool { return hits() > 0 }))
			mu.Lock()
			begun := who
			mu.Unlock()
			w.Kill(begun)
			at := time.Now()
			got, err := w.Port("a1").Get(w.ctx)
			assert.NilError(t, err, "seed %d: %s lost", w.Seed, begun)
			assert.Equal(t, got, seq)
			_, err = w.Put("a1", load.Describe(seq))
			assert.NilError(t, err, "seed %d: %s lost", w.Seed, begun)
			t.Logf("seed %d: %s lost, both calls took %s", w.Seed, begun, time.Since(at))
			release()
			assert.NilError(t, w.Start(begun))
		})
	}
}
