package sim

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	keys "postjunction/internal/control/register"
)

// Many control nodes lose power right after a configuration was accepted, and come back one after
// another. They get their leases soon. They do not send whole configurations to all others to
// compare them.
func TestConfigurationsAreNotSentAroundAfterALossOfPower(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				site, big := Traductores, restartLoad
				site.Control, site.Sync, big.Topics = 8, 5*time.Millisecond, 2000
				w := New(site, 40+seed, Logger())
				defer w.Close()
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				_, err := w.Put("c1", big.Configuration(0))
				assert.NilError(t, err)
				time.Sleep(site.Timing.Recovery)
				_, err = w.Put("a1", big.Configuration(1))
				assert.NilError(t, err)
				for _, node := range w.Names {
					w.LosePower(node, w.Int(2) == 0)
				}
				time.Sleep(site.Timing.FailureTimeout())
				names := slices.Clone(w.Names)
				for i := range names {
					k := w.Int(i + 1)
					names[i], names[k] = names[k], names[i]
				}
				before := w.TrafficByPath()
				for _, node := range names {
					assert.NilError(t, w.Start(node))
					time.Sleep(time.Duration(w.Int(60)) * time.Millisecond)
				}
				assert.NilError(t, w.WaitUntil(site.Timing.ReconcileInterval(), "all are ready", func() bool {
					return !slices.ContainsFunc(names, func(node string) bool { return w.Machines[node].Node().Ready() != nil })
				}))
				after, bytes := w.TrafficByPath(), 0
				for _, path := range []string{keys.Read.Path, acceptor.Peek.Path, acceptor.Promise.Path, acceptor.Accept.Path} {
					bytes += after[path].Bytes - before[path].Bytes
				}
				assert.Assert(t, bytes < 50*len(big.Configuration(1)), "%d bytes for a configuration of %d", bytes, len(big.Configuration(1)))
			})
		})
	}
}
