package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

// A node that loses its disk loses its address book with it. Guards against such a node that stays
// outside once the seeds are gone: the control nodes must tell it, whether they ran on or were killed
// with it.
func TestSeedsGone_WipedNodesFindTheFleet(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, wiped := range []string{"s1", "c1"} {
		for _, others := range []string{"run on", "are killed too"} {
			t.Run(fmt.Sprintf("%s is wiped, the others %s", wiped, others), func(t *testing.T) {
				t.Parallel()
				runScenario(t, withAccess(seedSite(3, 0), 5), 880, time.Hour, func(t *testing.T, w *World) {
					w.loseSeeds(t)
					w.Wipe(wiped)
					w.Machines[wiped].Opts.BootstrapBy = settings.BootstrapNever
					if others == "run on" {
						time.Sleep(killedFor)
						assert.NilError(t, w.Start(wiped))
					} else {
						w.killAndRestartAll(t, false)
					}
					w.allServeWithinRecovery(t)
				})
			})
		}
	}
}
