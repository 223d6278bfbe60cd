package sim

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

// discoveryStep is a loss after which nodes have to find the fleet again. It reports false if the
// fleet does not allow it (any more).
type discoveryStep func(t *testing.T, w *World) bool

var discoverySteps = map[string]discoveryStep{
	"all killed, back in any order": func(t *testing.T, w *World) bool {
		w.killAndRestartAll(t, false)
		return true
	},
	"all killed, control nodes back first": func(t *testing.T, w *World) bool {
		w.killAndRestartAll(t, true)
		return true
	},
	"power lost everywhere": func(t *testing.T, w *World) bool {
		for _, name := range w.Present() {
			w.LosePower(name, w.Int(2) == 0)
		}
		w.startInAnyOrder(t, w.Present()...)
		return true
	},
	"seeds killed": func(t *testing.T, w *World) bool {
		seeds := w.presentSeeds()
		w.killTogether(seeds...)
		assert.NilError(t, w.Start(seeds...))
		return true
	},
	"stores restarted in turn": func(t *testing.T, w *World) bool {
		w.restartInTurn(t, w.presentOf(settings.DiskStorage)...)
		return true
	},
	"access nodes restarted in turn": func(t *testing.T, w *World) bool {
		w.restartInTurn(t, w.presentOf(settings.DiskNone)...)
		return true
	},
	"a control node replaced": func(t *testing.T, w *World) bool {
		return w.replaceOneControlNode(t, w.presentSeeds())
	},
	"an access node among the seeds removed": func(_ *testing.T, w *World) bool {
		access := w.presentOf(settings.DiskNone)
		if len(access) < 2 || !slices.Contains(w.presentSeeds(), access[0]) {
			return false
		}
		w.Remove(access[0], w.Int(2) == 0)
		time.Sleep(w.Site.Timing.SessionTimeout())
		return true
	},
	"a node cut off while a control node is replaced": func(t *testing.T, w *World) bool {
		outside := append(w.presentOf(settings.DiskNone), w.presentOf(settings.DiskStorage)...)
		cut := outside[w.Int(len(outside))]
		w.Isolate(cut)
		defer w.Heal()
		reachable := slices.DeleteFunc(w.presentSeeds(), func(name string) bool { return name == cut })
		return w.replaceOneControlNode(t, reachable)
	},
}

// replaceOneControlNode replaces the next control node that has a spare. It reports false if there is
// none, or no seed: a machine that was no member before needs one that answers.
func (w *World) replaceOneControlNode(t *testing.T, seeds []string) bool {
	t.Helper()
	for _, name := range w.Site.Spares {
		if len(seeds) > 0 && !w.Machines[name].isRemoved() {
			w.replaceInTurn(t, name)
			return true
		}
	}
	return false
}

// presentSeeds returns the machines that the settings name as seeds and that are not removed.
func (w *World) presentSeeds() []string {
	return slices.DeleteFunc(w.Present(), func(name string) bool {
		options := w.Machines[name].Opts
		return !slices.Contains(options.Seeds, options.PeerListen)
	})
}

// drawDiscoverySite returns a site with none to three control nodes among its seeds, and a spare for
// each control node.
func drawDiscoverySite(seed uint64) Site {
	site := seedSite(3+int(seed%2), int(seed/2%4))
	site.Access = 4
	for i := range site.Control {
		site.Spares = append(site.Spares, fmt.Sprintf("c%d", i+1))
	}
	return site
}

// acceptsMessages checks that a client of the last access node gets a message accepted within the
// recovery time.
func (w *World) acceptsMessages(t *testing.T, step int) {
	t.Helper()
	access := w.presentOf(settings.DiskNone)
	through, begunAt := access[len(access)-1], time.Now()
	err := error(nil)
	for ok := false; !ok && time.Since(begunAt) < w.Site.Timing.Recovery; ok = err == nil {
		ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
		attachment, attachErr := w.Transport(through).Attach(ctx, fmt.Sprintf("client-%d", step))
		if err = attachErr; err == nil {
			_, err = w.Transport(through).Send(ctx, attachment.Token, "kept/t0", 1, []byte(`"here"`))
		}
		stop()
	}
	assert.NilError(t, err, "no message is accepted through %s", through)
}

// Guards the ways by which nodes find one another, by drawn series of losses on drawn fleets: seeds
// of any kind that restart, are replaced or are gone, with all other nodes or without them. Each
// node must serve again within the recovery time. PJ_MANY multiplies the number of fleets.
func TestDiscovery_DrawnLosses(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	const stepsPerFleet = 5
	names := make([]string, 0, len(discoverySteps))
	for name := range discoverySteps {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := range uint64(seeds(8)) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runFleet(t, drawDiscoverySite(seed), 900+seed, func(t *testing.T, w *World) {
				applyConfiguration(t, w)
				var taken []string
				for step := 0; step < stepsPerFleet; {
					name := names[w.Int(len(names))]
					if !discoverySteps[name](t, w) {
						continue
					}
					step++
					taken = append(taken, name)
					startedAt := time.Now()
					err := w.WaitReady(w.Site.Timing.Recovery)
					assert.NilError(t, err, "after %s", strings.Join(taken, "; "))
					t.Logf("%s: all nodes serve after %s", name, time.Since(startedAt))
					w.acceptsMessages(t, step)
				}
			})
		})
	}
}
