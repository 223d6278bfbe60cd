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

// An accepted order is acknowledged again through any node, also after others were accepted on top
// of it; one that was refused stays refused.
func TestAnAcceptedOrderIsAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 321, func(t *testing.T, w *World) {
		w.Watch()
		var taken [][]byte
		for n := range uint64(6) {
			doc := load.NumberedConfiguration(2*n, 2*n+2, fmt.Sprint("order ", n))
			_, err := w.Put(w.Names[w.Int(len(w.Names))], doc)
			assert.NilError(t, err)
			taken = append(taken, doc)
			for k, again := range taken {
				seq, err := w.Put(w.Names[w.Int(len(w.Names))], again)
				assert.NilError(t, err, "order %d after order %d", k, n)
				assert.Equal(t, seq, uint64(2*k+2))
			}
			_, err = w.Put(w.Names[w.Int(len(w.Names))], load.NumberedConfiguration(2*n, 2*n+2, "another of the same number"))
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
		}
		got, err := w.Machines["s1"].Node().Operators.CurrentConfiguration(w.ctx)
		assert.NilError(t, err)
		assert.Equal(t, got.Sequence, uint64(12), "what is acknowledged again comes into force again")
	})
}

// What orders were accepted outlives every voter: each is replaced by an empty one, then all lose
// power.
func TestAcceptedOrdersOutliveEveryVoter(t *testing.T) {
	t.Parallel()
	stand(t, withSpares(Armor, "c1", "c2", "c3"), 322, func(t *testing.T, w *World) {
		first, second := load.NumberedConfiguration(0, 3, "first"), load.NumberedConfiguration(3, 4, "second")
		for _, doc := range [][]byte{first, second} {
			_, err := w.Put("a1", doc)
			assert.NilError(t, err)
		}
		for _, n := range []string{"c1", "c2", "c3"} {
			w.Remove(n, n == "c2")
			time.Sleep(time.Second)
			w.Machines[n+"b"].Opts.Seeds = []string{w.Machines["s1"].Opts.PeerListen}
			assert.NilError(t, w.Add(n+"b"))
			assert.NilError(t, w.WaitUntil(60*time.Second, n+"b has a seat", func() bool {
				x := w.Machines["a1"].Node().VoterSet()
				_, ok := x.Voter(n + "b")
				_, old := x.Voter(n)
				return ok && !old
			}))
			time.Sleep(w.Site.Timing.Recovery)
		}
		for _, n := range w.Present() {
			w.LosePower(n, w.Int(2) == 0)
			w.Machines[n].Opts.Seeds = []string{w.Machines["c1b"].Opts.PeerListen, w.Machines["c3b"].Opts.PeerListen}
		}
		assert.NilError(t, w.Start(w.Present()...))
		assert.NilError(t, w.WaitReady(30*time.Second))
		for _, n := range w.Present() {
			seq, err := w.Put(n, first)
			assert.NilError(t, err, "through %s", n)
			assert.Equal(t, seq, uint64(3))
		}
		_, err := w.Put("a1", load.NumberedConfiguration(0, 3, "other"))
		assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
	})
}

// simulatedOperator sends orders as the users' operators do: on what it read, again to other nodes
// until it has a clear answer.
type simulatedOperator struct {
	w       *World
	rng     *rand.Rand
	name    string
	history *orders.History
	lost    float64
	sent    []orders.Order
	// only are the nodes that the operator reaches, all when empty.
	only []string
}

func (o *simulatedOperator) node() string {
	if len(o.only) > 0 {
		return o.only[o.rng.IntN(len(o.only))]
	}
	return o.w.Names[o.rng.IntN(len(o.w.Names))]
}

// patience is how long an operator waits for one answer.
const patience = time.Second

// triesMost bounds how often one order is sent.
const triesMost = 12

func (o *simulatedOperator) read() (orders.Order, bool) {
	var got orders.Order
	call := time.Now()
	err := o.w.callNode(o.node(), patience, func(ctx context.Context, n *node.Node) error {
		d, err := n.Operators.CurrentConfiguration(ctx)
		got = orders.Order{Base: d.Base, Sequence: d.Sequence, ID: d.Source}
		return err
	})
	switch {
	case apierror.HasCode(err, apierror.ConfigurationMissing):
		got = orders.Order{}
	case err != nil:
		return orders.Order{}, false // a call that was given up on may still write got
	}
	o.history.Read(got, call, time.Now())
	return got, true
}

// send sends an order once. An answer that is lost on its way is none.
func (o *simulatedOperator) send(x orders.Order) orders.Outcome {
	call := time.Now()
	doc := load.NumberedConfiguration(x.Base, x.Sequence, x.ID)
	err := o.w.callNode(o.node(), patience, func(ctx context.Context, n *node.Node) error {
		d, err := configuration.Parse(doc)
		if err != nil {
			return err
		}
		_, err = n.Operators.Replace(ctx, d)
		return err
	})
	outcome := orders.Unclear
	switch {
	case err == nil:
		outcome = orders.Acknowledged
	case apierror.HasCode(err, apierror.ConfigurationConflict):
		outcome = orders.Refused
	}
	if o.rng.Float64() < o.lost {
		outcome = orders.Unclear
	}
	o.history.Tried(x, outcome, call, time.Now())
	return outcome
}

func (o *simulatedOperator) order(number int) {
	cur, ok := o.read()
	if !ok {
		return
	}
	x := orders.Order{Base: cur.Sequence, Sequence: cur.Sequence + 1 + o.rng.Uint64N(3), ID: fmt.Sprint(o.name, " ", number)}
	o.sent = append(o.sent, x)
	for range triesMost {
		if o.send(x) != orders.Unclear {
			return
		}
		time.Sleep(time.Duration(o.rng.IntN(200)) * time.Millisecond)
	}
}

// run sends orders until ctx ends; now and then one that was sent long ago is sent again.
func (o *simulatedOperator) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if len(o.sent) > 0 && o.rng.IntN(4) == 0 {
			o.send(o.sent[o.rng.IntN(len(o.sent))])
		}
		o.order(n)
		time.Sleep(time.Duration(o.rng.IntN(400)) * time.Millisecond)
	}
}

// controlTrouble brings one trouble about at a control node, and gives what ends it.
type controlTrouble struct {
	name  string
	begin func(w *World, n string) (end func())
}

var controlTroubles = []controlTrouble{
	{"killed", func(w *World, n string) func() {
		w.Kill(n)
		return func() { _ = w.Start(n) }
	}},
	{"power", func(w *World, n string) func() {
		w.LosePower(n, true)
		return func() { _ = w.Start(n) }
	}},
	{"frozen", func(w *World, n string) func() {
		w.Freeze(n)
		return func() { w.Thaw(n) }
	}},
	{"cut", func(w *World, n string) func() {
		w.Isolate(n)
		return w.Heal
	}},
	{"cut one way", func(w *World, n string) func() {
		for _, k := range w.Names {
			if k != n {
				w.Cut(n, k)
			}
		}
		return w.Heal
	}},
	{"cut from the core", func(w *World, n string) func() {
		for _, k := range w.Names {
			if k != n && k[0] == 'c' {
				w.Cut(n, k)
				w.Cut(k, n)
			}
		}
		return w.Heal
	}},
	{"wiped", func(w *World, n string) func() {
		w.Wipe(n)
		return func() { _ = w.Start(n) }
	}},
}

// Three operators send orders with most answers lost, while the key's holder and other control
// nodes are killed, frozen, cut off and wiped. What they were answered is linearizable.
func TestOperatorsAreAnsweredAsByOneRegister(t *testing.T) {
	t.Parallel()
	long(t)
	for seed := range uint64(seeds(8)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h := operated(t, siteForSeed(seed), 900+seed, 60*time.Second)
			n := h.Count()
			assert.Assert(t, n[orders.Acknowledged] > 10 && n[orders.Refused] > 3 && n[orders.Unclear] > 20, "void: %v", n)
			assert.Assert(t, h.Linearizable(), "%v", n)
		})
	}
}

// operated runs operators for a while under control troubles.
func operated(t *testing.T, s Site, seed uint64, span time.Duration) (h *orders.History) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		h = orders.New(time.Now())
		ctx, stop := context.WithTimeout(w.ctx, span)
		defer stop()
		var all sync.WaitGroup
		for k := range 3 {
			o := &simulatedOperator{w: w, rng: rand.New(rand.NewPCG(seed, uint64(k))), name: fmt.Sprint("operator ", k), history: h, lost: 0.5}
			all.Go(func() { o.run(ctx) })
		}
		w.troubleControl(ctx, rand.New(rand.NewPCG(seed, 99)))
		all.Wait()
	})
	return h
}

// troubleControl brings troubles about at control nodes, one at a time, until ctx ends.
func (w *World) troubleControl(ctx context.Context, rng *rand.Rand) {
	control := slices.DeleteFunc(w.Present(), func(n string) bool { return n[0] != 'c' })
	for ctx.Err() == nil {
		x := controlTroubles[rng.IntN(len(controlTroubles))]
		end := x.begin(w, control[rng.IntN(len(control))])
		time.Sleep(time.Duration(500+rng.IntN(5000)) * time.Millisecond)
		end()
		time.Sleep(time.Duration(3000+rng.IntN(4000)) * time.Millisecond)
	}
}

// A register that an older build wrote remembers nothing but its current description: orders from
// before it have no clear answer, and are not refused.
func TestOrdersFromBeforeTheLogHaveNoClearAnswer(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 323, func(t *testing.T, w *World) {
		for n := range uint64(2) {
			_, err := w.Put("a1", load.NumberedConfiguration(n, n+1, "old"))
			assert.NilError(t, err)
		}
		op := w.Machines["c1"].Node().Operators
		v, err := op.Client.Read(w.ctx, "description")
		assert.NilError(t, err)
		assert.Assert(t, len(v.Metadata) > 0)
		var d configuration.Config
		assert.NilError(t, json.Unmarshal(v.Body, &d))
		_, err = op.Client.Change(w.ctx, "description", v.Version, "an older build", v.Body)
		assert.NilError(t, err)
		_, err = w.Put("c2", load.NumberedConfiguration(1, 2, "old"))
		assert.NilError(t, err, "the current one is known")
		_, err = w.Put("c2", load.NumberedConfiguration(0, 1, "old"))
		assert.Assert(t, apierror.HasCode(err, apierror.OutcomeUnknown), "%v", err)
		_, err = w.Put("c2", load.NumberedConfiguration(1, 2, "other"))
		assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
	})
}
