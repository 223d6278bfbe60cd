package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

const (
	// killedFor is how long processes are down that are killed and started again.
	killedFor = 700 * time.Millisecond
	// startSpread is the time within which many processes start, in any order.
	startSpread = 300 * time.Millisecond
)

// killTogether kills machines in one instant. They come back as the platform starts a machine that
// is not part of the first start: none bootstraps a fleet.
func (w *World) killTogether(names ...string) {
	for _, name := range names {
		w.Kill(name)
		w.Machines[name].Opts.BootstrapBy = settings.BootstrapNever
	}
	time.Sleep(killedFor)
}

// startInAnyOrder starts machines one after another within startSpread.
func (w *World) startInAnyOrder(t *testing.T, names ...string) {
	t.Helper()
	for i := range names {
		k := w.Int(i + 1)
		names[i], names[k] = names[k], names[i]
	}
	for _, name := range names {
		assert.NilError(t, w.Start(name))
		time.Sleep(startSpread / time.Duration(len(names)))
	}
}

// restartInTurn stops machines gracefully and starts them again, one after the other.
func (w *World) restartInTurn(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		w.Terminate(name)
		w.Machines[name].Opts.BootstrapBy = settings.BootstrapNever
		assert.NilError(t, w.Start(name))
		time.Sleep(time.Second)
	}
}

// presentOf returns the machines of a kind that are not removed.
func (w *World) presentOf(disk string) []string {
	var names []string
	for _, name := range w.Present() {
		if w.Machines[name].Opts.Disk == disk {
			names = append(names, name)
		}
	}
	return names
}

// allServeWithinRecovery checks that every machine present is ready within the recovery time.
func (w *World) allServeWithinRecovery(t *testing.T) {
	t.Helper()
	startedAt := time.Now()
	assert.NilError(t, w.WaitReady(w.Site.Timing.Recovery))
	t.Logf("all nodes serve after %s", time.Since(startedAt))
}

// Guards against seeds that restart with nothing on disk and that nobody tells of the fleet: the
// control nodes have found one another through their disks by then, so the nodes that find control
// nodes through the seeds stay outside for good.
func TestKilledFleet_SeedsThatForgotLearnOfTheControlNodes(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for controlSeeds := range 2 {
		for _, order := range []string{"control nodes first", "any order"} {
			for seed := range uint64(seeds(2)) {
				t.Run(fmt.Sprintf("%d control seeds, %s, seed %d", controlSeeds, order, seed), func(t *testing.T) {
					t.Parallel()
					site := withSpares(seedSite(3, controlSeeds), "c1")
					runScenario(t, site, 820+seed, time.Hour, func(t *testing.T, w *World) {
						if controlSeeds > 0 {
							// The control node among the seeds is replaced by one at another address.
							assert.NilError(t, w.Add("c1b"))
							time.Sleep(time.Second)
							w.Remove("c1", true)
							time.Sleep(8 * time.Second)
						}
						w.killTogether(w.Present()...)
						if order == "control nodes first" {
							assert.NilError(t, w.Start(w.presentOf(settings.DiskControl)...))
							time.Sleep(startSpread)
						}
						w.startInAnyOrder(t, w.Present()...)
						w.allServeWithinRecovery(t)
					})
				})
			}
		}
	}
}

// Guards against seeds that forget the fleet while its control nodes run on: nodes that restart
// later find nobody.
func TestRestartInTurn_SeedsThatForgotLearnOfTheControlNodes(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runScenario(t, seedSite(3, 0), 830+seed, time.Hour, func(t *testing.T, w *World) {
			w.killTogether("a1", "a2", "a3")
			assert.NilError(t, w.Start("a1", "a2", "a3"))
			time.Sleep(5 * time.Second)
			w.restartInTurn(t, w.presentOf(settings.DiskStorage)...)
			w.allServeWithinRecovery(t)
		})
	}
}
