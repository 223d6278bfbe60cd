package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// One store's disk is far smaller than what the partitions need. It says that it is full, gives its
// duties away, and takes part again once there is less to keep; nothing is lost and no process
// ends.
func TestSmallDiskGivesItsLeadershipsAway(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	synctestRoom(t, 1, func(t *testing.T, w *World) {
		x := w.Machines["s1"].Node()
		assert.NilError(t, w.WaitUntil(60*time.Second, "s1 is full", func() bool { return x.Info().DiskHealth == string(apierror.DiskFull) }))
		full := time.Now()
		assert.NilError(t, w.WaitUntil(20*time.Second, "s1 decides for nothing", func() bool { return x.Info().Partitions == 0 }))
		t.Logf("duties away after %s", time.Since(full))
		assert.NilError(t, w.WaitUntil(20*time.Second, "s1 holds nothing", func() bool { return w.holdings("s1") == 0 }))
		t.Logf("copies away after %s", time.Since(full))
		w.Quiet(w.Site.Timing.Retention())
		assert.NilError(t, w.WaitUntil(60*time.Second, "s1 is well and holds copies", func() bool { return x.Info().DiskHealth == "" && w.copied() && w.holdings("s1") > 0 }))
		assert.Assert(t, w.Machines["s1"].Node() == x, "its process ended")
	})
}

func synctestRoom(t *testing.T, mb int, script func(t *testing.T, w *World)) {
	s := busy
	s.DiskMB = map[string]int{"s1": mb}
	runFleet(t, s, 60, func(t *testing.T, w *World) {
		_, err := w.Put("c1", busyLoad.Describe(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		w.Callers(busyLoad)
		script(t, w)
	})
}
