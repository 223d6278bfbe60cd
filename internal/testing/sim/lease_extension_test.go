package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

const leaseExtension = 20 * time.Second

func runWithLeaseExtension(t *testing.T, script func(t *testing.T, w *World)) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Armor, 71, Logger())
		defer w.Close()
		for _, machine := range w.Machines {
			machine.Opts.LeaseExtension = settings.Duration(leaseExtension)
		}
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		assert.NilError(t, w.WaitUntil(20*time.Second, "the configuration is accepted", func() bool {
			_, err := w.Put("a1", wideLoad.Configuration(0))
			return err == nil
		}))
		time.Sleep(3 * time.Second)
		script(t, w)
	})
}

func hasLease(w *World, node string) bool { return w.Machines[node].Node().Ready() == nil }

func (w *World) killControlNodes() {
	for _, node := range w.Names {
		if node[0] == 'c' {
			w.Kill(node)
		}
	}
}

// While all control nodes are down, nodes and partition leaders continue for the lease extension,
// and no longer. A node that starts meanwhile has no lease.
func TestLeaseIsExtendedWhileNoControlNodeConfirms(t *testing.T) {
	t.Parallel()
	runWithLeaseExtension(t, func(t *testing.T, w *World) {
		senders := w.startGapSenders("a1")
		w.killControlNodes()
		time.Sleep(leaseExtension)
		gap := senders.stopAndFindLongest()
		assert.Assert(t, gap < 500*time.Millisecond, "leaders paused for %s", gap)
		for _, node := range []string{"a1", "s1", "s2", "s3"} {
			assert.Assert(t, hasLease(w, node), node)
		}
		w.Kill("a1")
		assert.NilError(t, w.Start("a1"))
		time.Sleep(time.Second)
		assert.Assert(t, !hasLease(w, "a1"), "a node that starts without control nodes must not serve")
		time.Sleep(w.Site.Timing.Spread)
		assert.Assert(t, !hasLease(w, "s1"), "the lease extension must end")
	})
}
