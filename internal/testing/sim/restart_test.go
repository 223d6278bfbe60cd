package sim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/placement/controller"
)

// The whole fleet loses power in one instant and comes back. Control nodes that each took another
// for the holder of the placement duty once waited for each other until a sweep, 8.75 s later.
func TestWholeFleetIsBackWellInsideTheBound(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	var most time.Duration
	for seed := range uint64(seeds(12)) {
		runFleet(t, siteOf(seed), 80+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			for i := range w.Site.Control {
				c := fmt.Sprintf("c%d", i+1)
				if m := w.Machines[c]; !m.Node().IsPlacementController() && w.Int(2) == 0 {
					w.promiseAlone(t, c, controller.Key, epoch.Epoch{Number: 50 + uint64(i), Node: c})
				}
			}
			tok := attach(t, w, "c1", "v").Token
			for _, n := range w.Names {
				w.LosePower(n, w.Int(2) == 0)
			}
			at := time.Now()
			assert.NilError(t, w.Start(w.Names...))
			for i := range load.Topics {
				var r client.Receipt
				err := error(nil)
				for ok := false; !ok && time.Since(at) < w.Site.Timing.Recovery; ok = err == nil {
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
					r, err = w.Port("a1").Send(ctx, tok, fmt.Sprintf("kept/t%d", i), 1, []byte(`"back"`))
					stop()
					time.Sleep(w.Site.Timing.HeartbeatInterval() / 3)
				}
				assert.NilError(t, err, "seed %d: topic %d", seed, i)
				_ = r
			}
			most = max(most, time.Since(at))
			assert.Assert(t, time.Since(at) < w.Site.Timing.Recovery*2/5, "seed %d: back after %s", seed, time.Since(at))
		})
	}
	t.Logf("back after at most %s", most)
}

// promiseAlone leaves a control node's promise to itself on its own disk only, as a claim does that
// found nobody else.
func (w *World) promiseAlone(t *testing.T, c, key string, e epoch.Epoch) {
	t.Helper()
	m := w.Machines[c]
	_, run := m.node()
	r := m.Node().VoterSet()
	a, err := acceptor.Promise.Call(w.ctx, &endpoint{w, m, run}, c, m.Opts.PeerListen, &acceptor.PromiseRequest{Target: acceptor.Target{VoterSet: r.Sequence, Incarnation: m.Node().Info().Incarnation, Key: key}, Epoch: e})
	assert.NilError(t, err)
	assert.Assert(t, a.Granted)
}

func (w *World) span(lo, hi int) time.Duration {
	return time.Duration(lo+w.Int(hi-lo)) * 100 * time.Millisecond
}

// Control nodes that asked whomever they took for the holder to take the duty once passed it to and
// fro, twice a second and for good, so that no loss was waited out by anyone.
func TestPlacementControllerStaysWhereItIs(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(16)) {
		synctest.Test(t, func(t *testing.T) {
			w := New(Traductores, 140+seed, Logger())
			defer w.Close()
			w.Lose(0.08)
			assert.NilError(t, w.Start(w.Names...))
			time.Sleep(8 * time.Second)
			leaders := map[string]bool{}
			for range 150 {
				for _, n := range w.Names {
					if w.Machines[n].Node().IsPlacementController() {
						leaders[n] = true
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, len(leaders) == 1, "seed %d: %d nodes held the duty in 15 s", seed, len(leaders))
		})
	}
}
