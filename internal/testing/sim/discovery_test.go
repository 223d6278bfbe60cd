package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/membership"
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

// allServeWithinRecovery checks that every machine present is ready within the recovery time.
func (w *World) allServeWithinRecovery(t *testing.T) {
	t.Helper()
	startedAt := time.Now()
	assert.NilError(t, w.WaitReady(w.Site.Timing.Recovery))
	t.Logf("all nodes serve after %s", time.Since(startedAt))
}

// killAndRestartAll kills all machines and starts them again in any order, or in any order after the
// control nodes.
func (w *World) killAndRestartAll(t *testing.T, controlNodesFirst bool) {
	t.Helper()
	w.killTogether(w.Present()...)
	if controlNodesFirst {
		assert.NilError(t, w.Start(w.presentOf(settings.DiskControl)...))
		time.Sleep(startSpread)
	}
	w.startInAnyOrder(t, w.Present()...)
}

// Guards against seeds that restart with nothing on disk and that nobody tells of the fleet: the
// control nodes have found one another through their disks by then, so the nodes that find control
// nodes through the seeds stay outside for good.
func TestKilledFleet_SeedsThatForgotLearnOfTheControlNodes(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, test := range []struct {
		name              string
		controlSeeds      int
		controlNodesFirst bool
	}{
		{"control nodes first", 0, true},
		{"any order", 0, false},
		{"a replaced seed, control nodes first", 1, true},
		{"a replaced seed, any order", 1, false},
	} {
		for seed := range uint64(seeds(2)) {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				site := withSpares(seedSite(3, test.controlSeeds), "c1")
				runScenario(t, site, 820+seed, time.Hour, func(t *testing.T, w *World) {
					if test.controlSeeds > 0 {
						w.replaceInTurn(t, "c1")
					}
					w.killAndRestartAll(t, test.controlNodesFirst)
					w.allServeWithinRecovery(t)
				})
			})
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

// Guards against calls that a whole fleet pays for: its control nodes contact nobody.
func TestWholeFleet_ControlNodesContactNoNode(t *testing.T) {
	t.Parallel()
	runFleet(t, seedSite(3, 1), 870, func(t *testing.T, w *World) {
		time.Sleep(w.Site.Timing.SessionTimeout())
		before := w.TrafficByPath()[membership.Identify.Path].Calls
		time.Sleep(w.Site.Timing.Recovery)
		assert.Equal(t, w.TrafficByPath()[membership.Identify.Path].Calls, before)
	})
}

// withAccess returns the site with another number of access nodes.
func withAccess(site Site, access int) Site {
	site.Access = access
	return site
}

// replaceInTurn adds the spare of each machine and removes the machine, one after the other.
func (w *World) replaceInTurn(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		assert.NilError(t, w.Add(name+"b"))
		time.Sleep(time.Second)
		w.Remove(name, true)
		time.Sleep(5 * time.Second)
	}
}

// loseSeeds removes the machines that the settings name as seeds, or replaces them if they have
// spares.
func (w *World) loseSeeds(t *testing.T) {
	t.Helper()
	if len(w.Site.Spares) > 0 {
		w.replaceInTurn(t, w.Site.Spares...)
		return
	}
	for _, seed := range []string{"a1", "a2", "a3"} {
		w.Remove(seed, false)
	}
	time.Sleep(5 * time.Second)
}

// Guards against a fleet that can't find itself once all seeds of its settings are gone: stores and
// access nodes knew no other address, and nobody knew theirs.
func TestSeedsGone_RestartedNodesFindTheFleet(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	accessSeeds, controlSeeds := withAccess(seedSite(3, 0), 5), withSpares(withAccess(Armor, 3), "c1", "c2", "c3")
	for _, test := range []struct {
		name         string
		site         Site
		killTogether bool
	}{
		{"access nodes as seeds, killed together", accessSeeds, true},
		{"access nodes as seeds, restarted in turn", accessSeeds, false},
		{"control nodes as seeds, killed together", controlSeeds, true},
		{"control nodes as seeds, restarted in turn", controlSeeds, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, test.site, 840, time.Hour, func(t *testing.T, w *World) {
				w.loseSeeds(t)
				if test.killTogether {
					w.killAndRestartAll(t, false)
				} else {
					w.restartInTurn(t, w.Present()...)
				}
				w.allServeWithinRecovery(t)
			})
		})
	}
}

// Guards against a voter, and a store, that come back to a fleet whose other control nodes, the seeds
// among them, have all been replaced meanwhile.
func TestSeedsGone_NodesThatWereAwayFindTheFleet(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, withSpares(withAccess(Traductores, 2), "c1", "c2", "c3"), 850, time.Hour, func(t *testing.T, w *World) {
		w.Kill("c4")
		w.Kill("s4")
		w.replaceInTurn(t, w.Site.Spares...)
		assert.NilError(t, w.Start("c4", "s4"))
		w.allServeWithinRecovery(t)
	})
}

// Guards against nodes that were cut off while all control nodes were replaced, and then try the old
// ones for ever.
func TestSeedsGone_NodesThatWereCutOffFindTheFleet(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, withSpares(withAccess(Armor, 3), "c1", "c2", "c3"), 860, time.Hour, func(t *testing.T, w *World) {
		w.Isolate("a1")
		w.Isolate("s1")
		w.replaceInTurn(t, w.Site.Spares...)
		w.Heal()
		w.allServeWithinRecovery(t)
	})
}
