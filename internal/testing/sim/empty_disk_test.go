package sim

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// deployment describes the machines of a deployment. A machine that returns counts as lost for
// lossWindow.
type deployment struct {
	name string
	Site
	lossWindow time.Duration
}

// deployments are the users' six deployments. The small ones have the same machines as those with
// control faults, so four entries cover all six.
var deployments = []deployment{
	{"three zones", Armor, 4100 * time.Millisecond},
	{"four zones", Traductores, 4 * time.Second},
	{"three zones, grown", scaledUp(Armor, 4, 8, 12), 6 * time.Second},
	{"four zones, grown", scaledUp(Traductores, 4, 8, 9), 6 * time.Second},
}

func scaledUp(site Site, zones, control, storage int) Site {
	site.Zones, site.Control, site.Storage, site.ToleratedLosses, site.Routine, site.Urgent = zones, control, storage, 2, 16, 4
	return site
}

// In every fullEvery-th run, clients send for a full retention time before the loss. In the others
// they have just started.
const (
	measuredSeeds = 200
	fullEvery     = 20
)

// A machine that comes back with an empty disk has all its replicas, or is a voter again, before it
// no longer counts as lost. The test covers many seeds when it measures (PJ_MEASURE), one
// otherwise.
func TestAnEmptyReturnIsCompleteBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runs := 1
	if os.Getenv("PJ_MEASURE") != "" {
		runs = measuredSeeds
	}
	for _, site := range deployments {
		t.Run(site.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var durations []time.Duration
			t.Run("seeds", func(t *testing.T) {
				for seed := range uint64(runs) {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						d := measureRepair(t, site, 1+seed)
						mu.Lock()
						defer mu.Unlock()
						durations = append(durations, d)
					})
				}
			})
			slices.Sort(durations)
			t.Logf("%d returns: median %s, nine of ten %s, worst %s of %s", len(durations), durations[len(durations)/2], durations[len(durations)*9/10], durations[len(durations)-1], site.lossWindow)
			assert.Assert(t, durations[len(durations)-1] < site.lossWindow)
		})
	}
}

// measureRepair wipes a storage node or a control node under load. It returns how long the repair
// takes after the node is back.
func measureRepair(t *testing.T, site deployment, seed uint64) (duration time.Duration) {
	t.Helper()
	warmup := site.Timing.Recovery / 2
	if seed%fullEvery == 0 {
		warmup = site.Timing.Keeping
	}
	synctest.Test(t, func(t *testing.T) {
		w := New(site.Site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		_, err := w.Put("c1", platformLoad.Configuration(0))
		assert.NilError(t, err)
		w.StartHTTPClients(platformLoad)
		time.Sleep(warmup)
		name := fmt.Sprint("s", 1+w.Int(site.Storage))
		switch seed % 4 {
		case 0:
			name = busiest(w)
		case 1:
			name = fmt.Sprint("c", 1+w.Int(site.Control))
		}
		w.Wipe(name)
		time.Sleep(200*time.Millisecond + w.randomTenths(0, 6))
		assert.NilError(t, w.Start(name))
		startedAt := time.Now()
		assert.NilError(t, w.WaitUntil(20*time.Second, "all replicas are complete", w.allReplicasComplete))
		assert.NilError(t, w.WaitUntil(20*time.Second, "all control nodes are voters", w.allNodesAreVoters))
		duration = time.Since(startedAt)
		w.StopSending(time.Second)
	})
	return duration
}
