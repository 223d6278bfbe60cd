package sim

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A store that comes back at once with an empty disk is named in records with its lost one. It once
// gave itself new epochs without end, five a second, and the placement duty lost every race against
// it. In every second run the duty is held up, as it is first by far now.
func TestWipedStoreAsksForNoEpochs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, siteOf(seed), 60+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			o := busiest(w)
			before := w.records()
			w.Wipe(o)
			release := func() {}
			if seed%2 == 0 {
				var hits func() int
				release, hits = w.PauseCalls(func(x Point) bool { return x.From != o && strings.Contains(x.Path, "/postjunction.Control/Change") })
				defer func() { assert.Check(t, hits() > 0, "void: the placement duty was not held up") }()
			}
			time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
			assert.NilError(t, w.Start(o))
			time.Sleep(w.Site.Timing.TakeoverTimeout())
			release()
			time.Sleep(10 * time.Second)
			for p, r := range w.records() {
				for _, s := range r.History {
					assert.Assert(t, s.Leader != o || s.Epoch <= before[p].Epoch || !strings.Contains(s.Reason, "came back"), "partition %d: %v on a lost disk", p, s)
				}
				x, ok := r.Replica(r.Leader)
				assert.Assert(t, ok && x.Incarnation == w.Machines[r.Leader].Node().Info().Incarnation, "partition %d is owned on a lost disk", p)
			}
		})
	}
}

// A store restarts and can't reach the control keys for a while, though its sessions stand. It once
// asked for its record a single time: the placement duty saw a live owner, and the partition stayed
// closed for good.
func TestRestartedLeaderKeepsAskingForItsRecord(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		play(t, siteOf(seed), 420+seed, time.Hour, func(t *testing.T, w *World) {
			o := busiest(w)
			w.Kill(o)
			release, hits := w.PauseCalls(func(x Point) bool { return x.From == o && strings.Contains(x.Path, "/postjunction.Control/") })
			assert.NilError(t, w.Start(o))
			time.Sleep(w.Site.Timing.TakeoverTimeout() * 3)
			assert.Assert(t, hits() > 0, "void: nothing was held")
			release()
			time.Sleep(w.Site.Timing.TakeoverTimeout())
			for p, r := range w.records() {
				assert.Assert(t, r.Leader != o || r.Epoch > 1, "partition %d is closed: its owner %s never asked again", p, o)
			}
		})
	}
}
