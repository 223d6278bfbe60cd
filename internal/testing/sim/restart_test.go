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

// The whole fleet loses power in one instant and comes back. Guards against control nodes that each
// consider another one the placement controller, and so wait for each other until a sweep, 8.75 s
// later.
func TestWholeFleetIsBackWellInsideTheBound(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	var longest time.Duration
	for seed := range uint64(seeds(12)) {
		runFleet(t, siteForSeed(seed), 80+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			for i := range w.Site.Control {
				node := fmt.Sprintf("c%d", i+1)
				if machine := w.Machines[node]; !machine.Node().IsPlacementController() && w.Int(2) == 0 {
					w.promiseLocally(t, node, controller.Key, epoch.Epoch{Number: 50 + uint64(i), Node: node})
				}
			}
			token := attach(t, w, "c1", "v").Token
			for _, node := range w.Names {
				w.LosePower(node, w.Int(2) == 0)
			}
			restartedAt := time.Now()
			assert.NilError(t, w.Start(w.Names...))
			for i := range load.Topics {
				var receipt client.Receipt
				err := error(nil)
				for ok := false; !ok && time.Since(restartedAt) < w.Site.Timing.Recovery; ok = err == nil {
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
					receipt, err = w.Transport("a1").Send(ctx, token, fmt.Sprintf("kept/t%d", i), 1, []byte(`"back"`))
					stop()
					time.Sleep(w.Site.Timing.HeartbeatInterval() / 3)
				}
				assert.NilError(t, err, "seed %d: topic %d", seed, i)
				_ = receipt
			}
			longest = max(longest, time.Since(restartedAt))
			assert.Assert(t, time.Since(restartedAt) < w.Site.Timing.Recovery*2/5, "seed %d: back after %s", seed, time.Since(restartedAt))
		})
	}
	t.Logf("back after at most %s", longest)
}

// promiseLocally records a control node's promise to itself on its own disk only, as a claim does
// that reaches no other node.
func (w *World) promiseLocally(t *testing.T, name, key string, promised epoch.Epoch) {
	t.Helper()
	machine := w.Machines[name]
	_, run := machine.node()
	voterSet := machine.Node().VoterSet()
	response, err := acceptor.Promise.Call(w.ctx, &endpoint{w, machine, run}, name, machine.Opts.PeerListen, &acceptor.PromiseRequest{Target: acceptor.Target{VoterSet: voterSet.Sequence, Incarnation: machine.Node().Info().Incarnation, Key: key}, Epoch: promised})
	assert.NilError(t, err)
	assert.Assert(t, response.Granted)
}

// randomTenths returns a random duration from low to just below high, in tenths of a second.
func (w *World) randomTenths(low, high int) time.Duration {
	return time.Duration(low+w.Int(high-low)) * 100 * time.Millisecond
}

// Guards against a placement controller that moves without end: control nodes that asked whichever
// node they considered the placement controller to take over moved the role back and forth, twice a
// second. No placement controller then lasted long enough to wait out the loss of a machine.
func TestPlacementControllerStaysWhereItIs(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(16)) {
		synctest.Test(t, func(t *testing.T) {
			w := New(Traductores, 140+seed, Logger())
			defer w.Close()
			w.DropPackets(0.08)
			assert.NilError(t, w.Start(w.Names...))
			time.Sleep(8 * time.Second)
			controllers := map[string]bool{}
			for range 150 {
				for _, node := range w.Names {
					if w.Machines[node].Node().IsPlacementController() {
						controllers[node] = true
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, len(controllers) == 1, "seed %d: %d nodes were placement controller in 15 s", seed, len(controllers))
		})
	}
}
