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

// coreCut cuts a control node off in some way until the world is healed.
type coreCut struct {
	name  string
	begin func(w *World, n string)
	end   func(w *World, n string)
}

func heal(w *World, _ string) { w.Heal() }

// cutApart cuts machines from one another where both ways are chosen, n being the one that is cut
// off.
func cutApart(w *World, n string, out, in bool, from func(k string) bool) {
	for _, k := range w.Names {
		if k == n || !from(k) {
			continue
		}
		if out {
			w.Cut(n, k)
		}
		if in {
			w.Cut(k, n)
		}
	}
}

func everyone(string) bool     { return true }
func control(k string) bool    { return k[0] == 'c' }
func notControl(k string) bool { return k[0] != 'c' }
func firstHalf(k string) bool  { return k == "c1" || k == "c2" }

var coreCuts = []coreCut{
	{"all", func(w *World, n string) { cutApart(w, n, true, true, everyone) }, heal},
	{"near: from the core", func(w *World, n string) { cutApart(w, n, true, true, control) }, heal},
	{"from all but the core", func(w *World, n string) { cutApart(w, n, true, true, notControl) }, heal},
	{"one way: nothing goes out", func(w *World, n string) { cutApart(w, n, true, false, everyone) }, heal},
	{"one way: nothing comes in", func(w *World, n string) { cutApart(w, n, false, true, everyone) }, heal},
	{"split: half of the core from the other half", func(w *World, _ string) {
		for _, k := range []string{"c1", "c2"} {
			cutApart(w, k, true, true, func(o string) bool { return control(o) && !firstHalf(o) })
		}
	}, heal},
	{"both: those cut off are restarted, then the others", func(w *World, n string) {
		cutApart(w, n, true, true, everyone)
		w.Kill(n)
		_ = w.Start(n)
	}, func(w *World, n string) {
		w.Heal()
		for _, k := range w.Names {
			if control(k) && k != n {
				w.Kill(k)
				_ = w.Start(k)
			}
		}
	}},
	{"behind: another loses its disk, the rest their power, then it heals", func(w *World, n string) {
		cutApart(w, n, true, true, everyone)
	}, func(w *World, n string) {
		gone := false
		for _, k := range w.Names {
			if !control(k) || k == n {
				continue
			}
			if !gone {
				w.Wipe(k)
			} else {
				w.LosePower(k, true)
			}
			gone = true
		}
		time.Sleep(time.Second)
		w.Heal()
		for _, k := range w.Names {
			if control(k) && k != n {
				_ = w.Start(k)
			}
		}
	}},
	{"relieve: as it heals the others of the core are killed", func(w *World, n string) {
		cutApart(w, n, true, true, everyone)
	}, func(w *World, n string) {
		w.Heal()
		time.Sleep(50 * time.Millisecond)
		for _, k := range w.Names {
			if control(k) && k != n {
				w.Kill(k)
				_ = w.Start(k)
			}
		}
	}},
	{"frozen, with answers on their way", func(w *World, n string) { w.Freeze(n) }, func(w *World, n string) { w.Thaw(n) }},
}

const (
	cutFor  = 20 * time.Second
	contact = 4 * time.Second
)

// A control node is cut off for twenty seconds while operators send orders and read at it and at
// others, every tenth of a second. What they are told is that of one register: nothing older is
// shown, nothing is refused or confirmed wrongly, and the machine is of use again within the
// contact time.
func TestAControlNodeCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for i, x := range coreCuts {
		for k, s := range []Site{Armor, Traductores} {
			t.Run(fmt.Sprintf("%s, %d stores", x.name, s.Stores), func(t *testing.T) {
				t.Parallel()
				cutOff(t, s, x, uint64(950+10*i+k))
			})
		}
	}
}

func cutOff(t *testing.T, s Site, x coreCut, seed uint64) {
	t.Helper()
	var h *orders.History
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		h = orders.New(time.Now())
		cut := "c1"
		ctx, stop := context.WithCancel(w.ctx)
		defer stop()
		var all sync.WaitGroup
		for k, only := range [][]string{{cut}, {"c2", "a1", "s1"}, {cut, "c3", "s2"}} {
			o := &simulatedOperator{w: w, rng: rand.New(rand.NewPCG(seed, uint64(k))), name: fmt.Sprint("operator ", k), history: h, reachable: only}
			all.Go(func() { o.press(ctx) })
		}
		time.Sleep(2 * time.Second)
		x.begin(w, cut)
		time.Sleep(cutFor)
		x.end(w, cut)
		probe := &simulatedOperator{w: w, rng: rand.New(rand.NewPCG(seed, 9)), history: h, reachable: []string{cut}}
		healed := time.Now()
		assert.NilError(t, w.WaitUntil(contact, "the machine that was cut off is of use", func() bool {
			_, ok := probe.read()
			return ok
		}), "%s after the end of the cut", time.Since(healed))
		time.Sleep(contact)
		stop()
		all.Wait()
	})
	n := h.Count()
	assert.Assert(t, n[orders.Acknowledged] > 10, "void: %v", n)
	assert.Assert(t, h.Linearizable(), "%v", n)
}

// press sends an order and reads, each tenth of a second. Orders without a clear answer are sent a
// few times.
func (o *simulatedOperator) press(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if x, ok := o.read(); ok {
			o.send(orders.Order{Base: x.Sequence, Sequence: x.Sequence + 1, ID: fmt.Sprint(o.name, " ", n)})
		} else if len(o.sent) > 0 {
			o.send(o.sent[len(o.sent)-1])
		}
		time.Sleep(100 * time.Millisecond)
	}
}
