package sim

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/wire"
)

// The reconfigurer is lost after the old voter set is sealed and before the new one is active
// anywhere. Another node finishes the change. Calls of an operator that began in between succeed.
func TestAChangeOfVotersOutlivesWhoBeganIt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		site := withSpares(siteForSeed(seed), "c2")
		runFleet(t, site, 300+seed, func(t *testing.T, w *World) {
			w.Watch()
			time.Sleep(3 * time.Second)
			sequence, err := w.Put("a1", load.Configuration(0))
			assert.NilError(t, err)
			var mu sync.Mutex
			reconfigurer := ""
			release, hits := w.PauseCalls(func(point CallPoint) bool {
				var request acceptor.ActivateRequest
				if point.Path != acceptor.Activate.Path || point.Stage != RequestStage || wire.Unmarshal(point.Body, &request) != nil {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				if reconfigurer == "" {
					reconfigurer = point.From
				}
				return point.From == reconfigurer
			})
			assert.NilError(t, w.Add("c2b"))
			assert.NilError(t, w.WaitUntil(10*time.Second, "a change of the voters is sealed", func() bool { return hits() > 0 }))
			mu.Lock()
			killed := reconfigurer
			mu.Unlock()
			w.Kill(killed)
			killedAt := time.Now()
			current, err := w.Transport("a1").Get(w.ctx)
			assert.NilError(t, err, "seed %d: %s lost", w.Seed, killed)
			assert.Equal(t, current, sequence)
			_, err = w.Put("a1", load.Configuration(sequence))
			assert.NilError(t, err, "seed %d: %s lost", w.Seed, killed)
			t.Logf("seed %d: %s lost, both calls took %s", w.Seed, killed, time.Since(killedAt))
			release()
			assert.NilError(t, w.Start(killed))
		})
	}
}
