package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/node"
	"postjunction/internal/testing/orders"
)

// An accepted order is acknowledged again through any node, also after later orders were accepted.
// A rejected order is rejected again.
func TestAnAcceptedOrderIsAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 321, func(t *testing.T, w *World) {
		w.Watch()
		var accepted [][]byte
		for number := range uint64(6) {
			doc := load.NumberedConfiguration(2*number, 2*number+2, fmt.Sprint("order ", number))
			_, err := w.Put(w.Names[w.Int(len(w.Names))], doc)
			assert.NilError(t, err)
			accepted = append(accepted, doc)
			for earlier, acceptedDoc := range accepted {
				sequence, err := w.Put(w.Names[w.Int(len(w.Names))], acceptedDoc)
				assert.NilError(t, err, "order %d after order %d", earlier, number)
				assert.Equal(t, sequence, uint64(2*earlier+2))
			}
			_, err = w.Put(w.Names[w.Int(len(w.Names))], load.NumberedConfiguration(2*number, 2*number+2, "another of the same number"))
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
		}
		config, err := w.Machines["s1"].Node().Operators.CurrentConfiguration(w.ctx)
		assert.NilError(t, err)
		assert.Equal(t, config.Sequence, uint64(12), "an order that is acknowledged again takes effect again")
	})
}

// The record of accepted orders outlives every voter: each is replaced by a node with an empty
// disk, then all lose power.
func TestAcceptedOrdersOutliveEveryVoter(t *testing.T) {
	t.Parallel()
	runFleet(t, withSpares(Armor, "c1", "c2", "c3"), 322, func(t *testing.T, w *World) {
		first, second := load.NumberedConfiguration(0, 3, "first"), load.NumberedConfiguration(3, 4, "second")
		for _, doc := range [][]byte{first, second} {
			_, err := w.Put("a1", doc)
			assert.NilError(t, err)
		}
		for _, name := range []string{"c1", "c2", "c3"} {
			w.Remove(name, name == "c2")
			time.Sleep(time.Second)
			w.Machines[name+"b"].Opts.Seeds = []string{w.Machines["s1"].Opts.PeerListen}
			assert.NilError(t, w.Add(name+"b"))
			assert.NilError(t, w.WaitUntil(60*time.Second, name+"b is a voter", func() bool {
				voterSet := w.Machines["a1"].Node().VoterSet()
				_, ok := voterSet.Voter(name + "b")
				_, isStillVoter := voterSet.Voter(name)
				return ok && !isStillVoter
			}))
			time.Sleep(w.Site.Timing.Recovery)
		}
		for _, name := range w.Present() {
			w.LosePower(name, w.Int(2) == 0)
			w.Machines[name].Opts.Seeds = []string{w.Machines["c1b"].Opts.PeerListen, w.Machines["c3b"].Opts.PeerListen}
		}
		assert.NilError(t, w.Start(w.Present()...))
		assert.NilError(t, w.WaitReady(30*time.Second))
		for _, name := range w.Present() {
			sequence, err := w.Put(name, first)
			assert.NilError(t, err, "through %s", name)
			assert.Equal(t, sequence, uint64(3))
		}
		_, err := w.Put("a1", load.NumberedConfiguration(0, 3, "other"))
		assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
	})
}

// simulatedOperator sends orders as the users' operators do. Each order is based on the
// configuration that it read. It is retried through other nodes until the outcome is known.
type simulatedOperator struct {
	world        *World
	rng          *rand.Rand
	name         string
	history      *orders.History
	lostFraction float64
	sent         []orders.Order
	// reachable are the nodes that the operator can reach. Empty means all.
	reachable []string
}

func (s *simulatedOperator) node() string {
	if len(s.reachable) > 0 {
		return s.reachable[s.rng.IntN(len(s.reachable))]
	}
	return s.world.Names[s.rng.IntN(len(s.world.Names))]
}

// operatorTimeout is how long an operator waits for one response.
const operatorTimeout = time.Second

// maxAttempts bounds how often one order is sent.
const maxAttempts = 12

func (s *simulatedOperator) read() (orders.Order, bool) {
	var order orders.Order
	call := time.Now()
	err := s.world.callNode(s.node(), operatorTimeout, func(ctx context.Context, running *node.Node) error {
		config, err := running.Operators.CurrentConfiguration(ctx)
		order = orders.Order{Base: config.Base, Sequence: config.Sequence, ID: config.Source}
		return err
	})
	switch {
	case apierror.HasCode(err, apierror.ConfigurationMissing):
		order = orders.Order{}
	case err != nil:
		return orders.Order{}, false // a call that timed out may still write order
	}
	s.history.Read(order, call, time.Now())
	return order, true
}

// send sends an order once. A lost response makes the outcome unknown.
func (s *simulatedOperator) send(order orders.Order) orders.Outcome {
	call := time.Now()
	doc := load.NumberedConfiguration(order.Base, order.Sequence, order.ID)
	err := s.world.callNode(s.node(), operatorTimeout, func(ctx context.Context, running *node.Node) error {
		config, err := configuration.Parse(doc)
		if err != nil {
			return err
		}
		_, err = running.Operators.Replace(ctx, config)
		return err
	})
	outcome := orders.Unclear
	switch {
	case err == nil:
		outcome = orders.Acknowledged
	case apierror.HasCode(err, apierror.ConfigurationConflict):
		outcome = orders.Refused
	}
	if s.rng.Float64() < s.lostFraction {
		outcome = orders.Unclear
	}
	s.history.Tried(order, outcome, call, time.Now())
	return outcome
}

func (s *simulatedOperator) order(number int) {
	current, ok := s.read()
	if !ok {
		return
	}
	order := orders.Order{Base: current.Sequence, Sequence: current.Sequence + 1 + s.rng.Uint64N(3), ID: fmt.Sprint(s.name, " ", number)}
	s.sent = append(s.sent, order)
	for range maxAttempts {
		if s.send(order) != orders.Unclear {
			return
		}
		time.Sleep(time.Duration(s.rng.IntN(200)) * time.Millisecond)
	}
}

// run sends orders until ctx ends. Now and then it repeats an earlier order.
func (s *simulatedOperator) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		if len(s.sent) > 0 && s.rng.IntN(4) == 0 {
			s.send(s.sent[s.rng.IntN(len(s.sent))])
		}
		s.order(number)
		time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
	}
}

// controlFault injects one fault at a control node. begin returns the function that ends it.
type controlFault struct {
	name  string
	begin func(w *World, name string) (end func())
}

var controlFaults = []controlFault{
	{"killed", func(w *World, name string) func() {
		w.Kill(name)
		return func() { _ = w.Start(name) }
	}},
	{"power", func(w *World, name string) func() {
		w.LosePower(name, true)
		return func() { _ = w.Start(name) }
	}},
	{"frozen", func(w *World, name string) func() {
		w.Freeze(name)
		return func() { w.Thaw(name) }
	}},
	{"cut", func(w *World, name string) func() {
		w.Isolate(name)
		return w.Heal
	}},
	{"cut one way", func(w *World, name string) func() {
		for _, other := range w.Names {
			if other != name {
				w.Cut(name, other)
			}
		}
		return w.Heal
	}},
	{"cut from the control nodes", func(w *World, name string) func() {
		for _, other := range w.Names {
			if other != name && other[0] == 'c' {
				w.Cut(name, other)
				w.Cut(other, name)
			}
		}
		return w.Heal
	}},
	{"wiped", func(w *World, name string) func() {
		w.Wipe(name)
		return func() { _ = w.Start(name) }
	}},
}

// Three operators send orders and lose half of the responses, while the key leader and other
// control nodes are killed, frozen, isolated and wiped. The responses must be linearizable.
func TestOperatorsSeeOneLinearizableRegister(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(8)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			history := runOperators(t, siteForSeed(seed), 900+seed, 60*time.Second)
			counts := history.Count()
			assert.Assert(t, counts[orders.Acknowledged] > 10 && counts[orders.Refused] > 3 && counts[orders.Unclear] > 20, "void: %v", counts)
			assert.Assert(t, history.Linearizable(), "%v", counts)
		})
	}
}

// runOperators runs operators for a while and injects faults at control nodes.
func runOperators(t *testing.T, site Site, seed uint64, span time.Duration) (history *orders.History) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		history = orders.New(time.Now())
		ctx, stop := context.WithTimeout(w.ctx, span)
		defer stop()
		var wg sync.WaitGroup
		for index := range 3 {
			operator := &simulatedOperator{world: w, rng: rand.New(rand.NewPCG(seed, uint64(index))), name: fmt.Sprint("operator ", index), history: history, lostFraction: 0.5}
			wg.Go(func() { operator.run(ctx) })
		}
		w.injectControlFaults(ctx, rand.New(rand.NewPCG(seed, 99)))
		wg.Wait()
	})
	return history
}

// injectControlFaults injects faults at control nodes, one at a time, until ctx ends.
func (w *World) injectControlFaults(ctx context.Context, rng *rand.Rand) {
	control := slices.DeleteFunc(w.Present(), func(name string) bool { return name[0] != 'c' })
	for ctx.Err() == nil {
		fault := controlFaults[rng.IntN(len(controlFaults))]
		end := fault.begin(w, control[rng.IntN(len(control))])
		time.Sleep(time.Duration(500+rng.IntN(5000)) * time.Millisecond)
		end()
		time.Sleep(time.Duration(3000+rng.IntN(4000)) * time.Millisecond)
	}
}

// A register written by an older build records only its current configuration. The outcome of
// earlier orders is unknown, and they are not rejected.
func TestOrdersFromBeforeTheLogHaveAnUnknownOutcome(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 323, func(t *testing.T, w *World) {
		for number := range uint64(2) {
			_, err := w.Put("a1", load.NumberedConfiguration(number, number+1, "old"))
			assert.NilError(t, err)
		}
		operators := w.Machines["c1"].Node().Operators
		value, err := operators.Client.Read(w.ctx, "description")
		assert.NilError(t, err)
		assert.Assert(t, len(value.Metadata) > 0)
		var config configuration.Config
		assert.NilError(t, json.Unmarshal(value.Body, &config))
		_, err = operators.Client.Change(w.ctx, "description", value.Version, "an older build", value.Body)
		assert.NilError(t, err)
		_, err = w.Put("c2", load.NumberedConfiguration(1, 2, "old"))
		assert.NilError(t, err, "the current one is known")
		_, err = w.Put("c2", load.NumberedConfiguration(0, 1, "old"))
		assert.Assert(t, apierror.HasCode(err, apierror.OutcomeUnknown), "%v", err)
		_, err = w.Put("c2", load.NumberedConfiguration(1, 2, "other"))
		assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
	})
}
