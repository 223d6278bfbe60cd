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

// layout is a deployment's machines, and how long one that returns counts as lost.
type layout struct {
	name string
	Site
	syncTime time.Duration
}

// layouts are those of the users' six deployments; the small ones and those with control troubles
// have the same machines.
var layouts = []layout{
	{"three zones", Armor, 4100 * time.Millisecond},
	{"four zones", Traductores, 4 * time.Second},
	{"three zones, grown", grown(Armor, 4, 8, 12), 6 * time.Second},
	{"four zones, grown", grown(Traductores, 4, 8, 9), 6 * time.Second},
}

func grown(s Site, zones, control, stores int) Site {
	s.Zones, s.Control, s.Stores, s.ToleratedLosses, s.Routine, s.Urgent = zones, control, stores, 2, 16, 4
	return s
}

// In every fullEvery-th run the stores hold all that they keep; in the others the callers have just
// begun.
const (
	measuredSeeds = 200
	fullEvery     = 20
)

// A machine that comes back with an empty disk has all its copies, and its seat, before it no
// longer counts as lost: as a distribution over many seeds when measured (PJ_MEASURE), over a few
// otherwise.
func TestAnEmptyReturnIsCompleteBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	n := 1
	if os.Getenv("PJ_MEASURE") != "" {
		n = measuredSeeds
	}
	for _, l := range layouts {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var took []time.Duration
			t.Run("seeds", func(t *testing.T) {
				for seed := range uint64(n) {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						d := untilWhole(t, l, 1+seed)
						mu.Lock()
						defer mu.Unlock()
						took = append(took, d)
					})
				}
			})
			slices.Sort(took)
			t.Logf("%d returns: median %s, nine of ten %s, worst %s of %s", len(took), took[len(took)/2], took[len(took)*9/10], took[len(took)-1], l.syncTime)
			assert.Assert(t, took[len(took)-1] < l.syncTime)
		})
	}
}

// untilWhole has a store or a control node come back empty, under load.
func untilWhole(t *testing.T, l layout, seed uint64) (took time.Duration) {
	t.Helper()
	warm := l.Timing.Recovery / 2
	if seed%fullEvery == 0 {
		warm = l.Timing.Keeping
	}
	synctest.Test(t, func(t *testing.T) {
		w := New(l.Site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		_, err := w.Put("c1", busyLoad.Describe(0))
		assert.NilError(t, err)
		w.Callers(busyLoad)
		time.Sleep(warm)
		n := fmt.Sprint("s", 1+w.Int(l.Stores))
		switch seed % 4 {
		case 0:
			n = busiest(w)
		case 1:
			n = fmt.Sprint("c", 1+w.Int(l.Control))
		}
		w.Wipe(n)
		time.Sleep(200*time.Millisecond + w.span(0, 6))
		assert.NilError(t, w.Start(n))
		at := time.Now()
		assert.NilError(t, w.WaitUntil(20*time.Second, "all copies are whole", w.copied))
		assert.NilError(t, w.WaitUntil(20*time.Second, "all seats are taken", w.allNodesAreVoters))
		took = time.Since(at)
		w.Quiet(time.Second)
	})
	return took
}
