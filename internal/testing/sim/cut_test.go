package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/orders"
)

// controlCut cuts a control node off in some way until the network is healed.
type controlCut struct {
	name  string
	begin func(w *World, n string)
	end   func(w *World, n string)
}

func heal(w *World, _ string) { w.Heal() }

// cutApart cuts the target off from the chosen machines: what it sends with out, what it receives
// with in.
func cutApart(w *World, target string, out, in bool, from func(k string) bool) {
	for _, k := range w.Names {
		if k == target || !from(k) {
			continue
		}
		if out {
			w.Cut(target, k)
		}
		if in {
			w.Cut(k, target)
		}
	}
}

func everyone(string) bool       { return true }
func isControl(k string) bool    { return k[0] == 'c' }
func isNotControl(k string) bool { return k[0] != 'c' }
func isFirstHalf(k string) bool  { return k == "c1" || k == "c2" }

var controlCuts = []controlCut{
	{"all", func(w *World, n string) { cutApart(w, n, true, true, everyone) }, heal},
	{"near: from the control nodes", func(w *World, n string) { cutApart(w, n, true, true, isControl) }, heal},
	{"from all but the control nodes", func(w *World, n string) { cutApart(w, n, true, true, isNotControl) }, heal},
	{"one way: nothing goes out", func(w *World, n string) { cutApart(w, n, true, false, everyone) }, heal},
	{"one way: nothing comes in", func(w *World, n string) { cutApart(w, n, false, true, everyone) }, heal},
	{"split: half of the control nodes from the other half", func(w *World, _ string) {
		for _, k := range []string{"c1", "c2"} {
			cutApart(w, k, true, true, func(o string) bool { return isControl(o) && !isFirstHalf(o) })
		}
	}, heal},
	{"both: those cut off are restarted, then the others", func(w *World, n string) {
		cutApart(w, n, true, true, everyone)
		w.Kill(n)
		_ = w.Start(n)
	}, func(w *World, n string) {
		w.Heal()
		for _, k := range w.Names {
			if isControl(k) && k != n {
				w.Kill(k)
				_ = w.Start(k)
			}
		}
	}},
	{"behind: another loses its disk, the rest their power, then it heals", func(w *World, n string) {
		cutApart(w, n, true, true, everyone)
	}, func(w *World, target string) {
		wiped := false
		for _, k := range w.Names {
			if !isControl(k) || k == target {
				continue
			}
			if !wiped {
				w.Wipe(k)
			} else {
				w.LosePower(k, true)
			}
			wiped = true
		}
		time.Sleep(time.Second)
		w.Heal()
		for _, k := range w.Names {
			if isControl(k) && k != target {
				_ = w.Start(k)
			}
		}
	}},
	{"relieve: as it heals the other control nodes are killed", func(w *World, n string) {
		cutApart(w, n, true, true, everyone)
	}, func(w *World, n string) {
		w.Heal()
		time.Sleep(50 * time.Millisecond)
		for _, k := range w.Names {
			if isControl(k) && k != n {
				w.Kill(k)
				_ = w.Start(k)
			}
		}
	}},
	{"frozen, with answers in flight", func(w *World, n string) { w.Freeze(n) }, func(w *World, n string) { w.Thaw(n) }},
}

const (
	cutDuration      = 20 * time.Second
	recoveryAfterCut = 4 * time.Second
)

// A control node is cut off for twenty seconds while operators send orders and read at it and at
// others, every tenth of a second. The answers are those of one register: no read returns an older
// value, and nothing is rejected or confirmed wrongly. The machine is usable again within
// recoveryAfterCut.
func TestAControlNodeCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for i, x := range controlCuts {
		for k, s := range []Site{Armor, Traductores} {
			t.Run(fmt.Sprintf("%s, %d storage nodes", x.name, s.Storage), func(t *testing.T) {
				t.Parallel()
				runControlCut(t, s, x, uint64(950+10*i+k))
			})
		}
	}
}

func runControlCut(t *testing.T, s Site, fault controlCut, seed uint64) {
	t.Helper()
	var history *orders.History
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		history = orders.New(time.Now())
		cut := "c1"
		ctx, stop := context.WithCancel(w.ctx)
		defer stop()
		var all sync.WaitGroup
		for k, only := range [][]string{{cut}, {"c2", "a1", "s1"}, {cut, "c3", "s2"}} {
			o := &simulatedOperator{world: w, rng: rand.New(rand.NewPCG(seed, uint64(k))), name: fmt.Sprint("operator ", k), history: history, reachable: only}
			all.Go(func() { o.runContinuously(ctx) })
		}
		time.Sleep(2 * time.Second)
		fault.begin(w, cut)
		time.Sleep(cutDuration)
		fault.end(w, cut)
		probe := &simulatedOperator{world: w, rng: rand.New(rand.NewPCG(seed, 9)), history: history, reachable: []string{cut}}
		healed := time.Now()
		assert.NilError(t, w.WaitUntil(recoveryAfterCut, "the machine that was cut off is usable", func() bool {
			_, ok := probe.read()
			return ok
		}), "%s after the end of the cut", time.Since(healed))
		time.Sleep(recoveryAfterCut)
		stop()
		all.Wait()
	})
	n := history.Count()
	assert.Assert(t, n[orders.Acknowledged] > 10, "void: %v", n)
	assert.Assert(t, history.Linearizable(), "%v", n)
}

// runContinuously sends an order and reads, each tenth of a second. Orders with an unknown outcome
// are sent again.
func (o *simulatedOperator) runContinuously(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if x, ok := o.read(); ok {
			o.send(orders.Order{Base: x.Sequence, Sequence: x.Sequence + 1, ID: fmt.Sprint(o.name, " ", n)})
		} else if len(o.sent) > 0 {
			o.send(o.sent[len(o.sent)-1])
		}
		time.Sleep(100 * time.Millisecond)
	}
}
