package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// One storage node's disk is far smaller than what the partitions need. The node reports that it is
// full and loses its leaderships and replicas. It gets replicas again once there is less to retain.
// Nothing is lost and no process ends.
func TestSmallDiskGivesItsLeadershipsAway(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runWithDiskLimit(t, 1, func(t *testing.T, w *World) {
		process := w.Machines["s1"].Node()
		assert.NilError(t, w.WaitUntil(60*time.Second, "s1 is full", func() bool { return process.Info().DiskHealth == string(apierror.DiskFull) }))
		fullAt := time.Now()
		assert.NilError(t, w.WaitUntil(20*time.Second, "s1 leads nothing", func() bool { return process.Info().Partitions == 0 }))
		t.Logf("no leaderships after %s", time.Since(fullAt))
		assert.NilError(t, w.WaitUntil(20*time.Second, "s1 has no replicas", func() bool { return w.replicaCount("s1") == 0 }))
		t.Logf("no replicas after %s", time.Since(fullAt))
		w.StopSending(w.Site.Timing.Retention())
		assert.NilError(t, w.WaitUntil(60*time.Second, "s1 is healthy and has replicas", func() bool {
			return process.Info().DiskHealth == "" && w.allReplicasComplete() && w.replicaCount("s1") > 0
		}))
		assert.Assert(t, w.Machines["s1"].Node() == process, "its process ended")
	})
}

// runWithDiskLimit runs a script on a loaded fleet in which the disk of s1 has the given size.
func runWithDiskLimit(t *testing.T, mb int, script func(t *testing.T, w *World)) {
	site := platformSite
	site.DiskMB = map[string]int{"s1": mb}
	runFleet(t, site, 60, func(t *testing.T, w *World) {
		_, err := w.Put("c1", platformLoad.Configuration(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		w.StartHTTPClients(platformLoad)
		script(t, w)
	})
}
