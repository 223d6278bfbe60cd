package sim

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A store that comes back at once with an empty disk is named in records with its lost one. It once gave itself new epochs without
// end, five a second, and the placement duty lost every race against it.
func TestWipedStoreAsksForNoEpochs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		stand(t, siteOf(seed), 60+seed, func(t *testing.T, w *World) {
			_, err := w.Put("c1", load.Describe(0))
			assert.NilError(t, err)
			time.Sleep(w.Site.Bounds.Spread)
			o := busiest(w)
			before := w.records()
			w.Wipe(o)
			time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
			assert.NilError(t, w.Start(o))
			time.Sleep(10 * time.Second)
			for p, r := range w.records() {
				for _, s := range r.History {
					assert.Assert(t, s.Owner != o || s.Epoch <= before[p].Epoch || !strings.Contains(s.Reason, "came back"), "partition %d: %v on a lost disk", p, s)
				}
				x, ok := r.Place(r.Owner)
				assert.Assert(t, ok && x.Incarnation == w.Machines[r.Owner].Node().Info().Incarnation, "partition %d is owned on a lost disk", p)
			}
		})
	}
}
