package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

const stretched = 20 * time.Second

func stretching(t *testing.T, f func(t *testing.T, w *World)) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Armor, 71, Logger())
		defer w.Close()
		for _, m := range w.Machines {
			m.Opts.LeaseExtension = settings.Duration(stretched)
		}
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		assert.NilError(t, w.WaitUntil(20*time.Second, "described", func() bool {
			_, err := w.Put("a1", wide.Configuration(0))
			return err == nil
		}))
		time.Sleep(3 * time.Second)
		f(t, w)
	})
}

func leased(w *World, n string) bool { return w.Machines[n].Node().Ready() == nil }

func (w *World) coreGone() {
	for _, n := range w.Names {
		if n[0] == 'c' {
			w.Kill(n)
		}
	}
}

// With the core gone, nodes and owners go on for the stretch, and no longer; one that starts
// meanwhile has no lease.
func TestLeaseIsExtendedWhileNoControlNodeConfirms(t *testing.T) {
	t.Parallel()
	stretching(t, func(t *testing.T, w *World) {
		k := w.takers("a1")
		w.coreGone()
		time.Sleep(stretched)
		d := k.worst()
		assert.Assert(t, d < 500*time.Millisecond, "owners paused for %s", d)
		for _, n := range []string{"a1", "s1", "s2", "s3"} {
			assert.Assert(t, leased(w, n), n)
		}
		w.Kill("a1")
		assert.NilError(t, w.Start("a1"))
		time.Sleep(time.Second)
		assert.Assert(t, !leased(w, "a1"), "a node that starts without a core must not serve")
		time.Sleep(w.Site.Timing.Spread)
		assert.Assert(t, !leased(w, "s1"), "the stretch ends")
	})
}
