package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The disk faults of random runs take effect: a change waits for as long as a majority's disks take
// to sync, and is not acknowledged while they hang.
func TestDisksThatAreSlowOrHangDelayDecisions(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 57, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		put := func(base uint64) (time.Duration, error) {
			startedAt := time.Now()
			_, err := w.Put("c1", load.Configuration(base))
			return time.Since(startedAt), err
		}
		fast, err := put(1)
		assert.NilError(t, err)
		w.SlowDisk("c1", 40)
		w.SlowDisk("c2", 40)
		slow, err := put(2)
		assert.NilError(t, err)
		assert.Assert(t, slow >= fast+30*syncDuration, "%s with slow disks, %s before", slow, fast)
		w.SlowDisk("c1", 0)
		w.SlowDisk("c2", 0)
		w.HangDisk("c1", true)
		w.HangDisk("c2", true)
		_, err = put(3)
		assert.ErrorContains(t, err, "outcome_unknown")
		w.HangDisk("c1", false)
		w.HangDisk("c2", false)
		assert.NilError(t, w.readBackConfiguration("c3", time.Now()))
	})
}
