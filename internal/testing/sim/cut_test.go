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

// controlCut is a fault that makes control nodes unreachable: begin starts it, and end ends it. Both
// get the node that the test reads through afterwards.
type controlCut struct {
	name  string
	begin func(w *World, target string)
	end   func(w *World, target string)
}

func heal(w *World, _ string) { w.Heal() }

// cutApart cuts the target off from the chosen machines. It drops what the target sends to them if
// outgoing is set, and what the target receives from them if incoming is set.
func cutApart(w *World, target string, outgoing, incoming bool, chosen func(name string) bool) {
	for _, name := range w.Names {
		if name == target || !chosen(name) {
			continue
		}
		if outgoing {
			w.Cut(target, name)
		}
		if incoming {
			w.Cut(name, target)
		}
	}
}

func anyMachine(string) bool        { return true }
func isControl(name string) bool    { return name[0] == 'c' }
func isNotControl(name string) bool { return name[0] != 'c' }
func isFirstHalf(name string) bool  { return name == "c1" || name == "c2" }

var controlCuts = []controlCut{
	{"all", func(w *World, target string) { cutApart(w, target, true, true, anyMachine) }, heal},
	{"near: from the control nodes", func(w *World, target string) { cutApart(w, target, true, true, isControl) }, heal},
	{"from all but the control nodes", func(w *World, target string) { cutApart(w, target, true, true, isNotControl) }, heal},
	{"one way: nothing goes out", func(w *World, target string) { cutApart(w, target, true, false, anyMachine) }, heal},
	{"one way: nothing comes in", func(w *World, target string) { cutApart(w, target, false, true, anyMachine) }, heal},
	{"split: half of the control nodes from the other half", func(w *World, _ string) {
		for _, name := range []string{"c1", "c2"} {
			cutApart(w, name, true, true, func(peer string) bool { return isControl(peer) && !isFirstHalf(peer) })
		}
	}, heal},
	{"both: those cut off are restarted, then the others", func(w *World, target string) {
		cutApart(w, target, true, true, anyMachine)
		w.Kill(target)
		_ = w.Start(target)
	}, func(w *World, target string) {
		w.Heal()
		for _, name := range w.Names {
			if isControl(name) && name != target {
				w.Kill(name)
				_ = w.Start(name)
			}
		}
	}},
	{"behind: another loses its disk, the rest their power, then it heals", func(w *World, target string) {
		cutApart(w, target, true, true, anyMachine)
	}, func(w *World, target string) {
		wiped := false
		for _, name := range w.Names {
			if !isControl(name) || name == target {
				continue
			}
			if !wiped {
				w.Wipe(name)
			} else {
				w.LosePower(name, true)
			}
			wiped = true
		}
		time.Sleep(time.Second)
		w.Heal()
		for _, name := range w.Names {
			if isControl(name) && name != target {
				_ = w.Start(name)
			}
		}
	}},
	{"relieve: as it heals the other control nodes are killed", func(w *World, target string) {
		cutApart(w, target, true, true, anyMachine)
	}, func(w *World, target string) {
		w.Heal()
		time.Sleep(50 * time.Millisecond)
		for _, name := range w.Names {
			if isControl(name) && name != target {
				w.Kill(name)
				_ = w.Start(name)
			}
		}
	}},
	{"frozen, with answers in flight", func(w *World, target string) { w.Freeze(target) }, func(w *World, target string) { w.Thaw(target) }},
}

const (
	cutDuration      = 20 * time.Second
	recoveryAfterCut = 4 * time.Second
)

// A control node is cut off for twenty seconds. Every tenth of a second, operators send orders and
// read through it and through other nodes. The responses are linearizable: no read returns an older
// value, and no order is rejected or confirmed wrongly. The node is usable again within
// recoveryAfterCut.
func TestAControlNodeCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for i, fault := range controlCuts {
		for siteIndex, site := range []Site{Armor, Traductores} {
			t.Run(fmt.Sprintf("%s, %d storage nodes", fault.name, site.Storage), func(t *testing.T) {
				t.Parallel()
				runControlCut(t, site, fault, uint64(950+10*i+siteIndex))
			})
		}
	}
}

func runControlCut(t *testing.T, site Site, fault controlCut, seed uint64) {
	t.Helper()
	var history *orders.History
	synctest.Test(t, func(t *testing.T) {
		w := New(site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		history = orders.New(time.Now())
		target := "c1"
		ctx, stop := context.WithCancel(w.ctx)
		defer stop()
		var operators sync.WaitGroup
		for i, reachable := range [][]string{{target}, {"c2", "a1", "s1"}, {target, "c3", "s2"}} {
			operator := &simulatedOperator{world: w, rng: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprint("operator ", i), history: history, reachable: reachable}
			operators.Go(func() { operator.runContinuously(ctx) })
		}
		time.Sleep(2 * time.Second)
		fault.begin(w, target)
		time.Sleep(cutDuration)
		fault.end(w, target)
		probe := &simulatedOperator{world: w, rng: rand.New(rand.NewPCG(seed, 9)), history: history, reachable: []string{target}}
		healed := time.Now()
		assert.NilError(t, w.WaitUntil(recoveryAfterCut, "the machine that was cut off is usable", func() bool {
			_, ok := probe.read()
			return ok
		}), "%s after the end of the cut", time.Since(healed))
		time.Sleep(recoveryAfterCut)
		stop()
		operators.Wait()
	})
	counts := history.Count()
	assert.Assert(t, counts[orders.Acknowledged] > 10, "void: %v", counts)
	assert.Assert(t, history.Linearizable(), "%v", counts)
}

// runContinuously sends an order and reads, each tenth of a second. Orders with an unknown outcome
// are sent again.
func (s *simulatedOperator) runContinuously(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		if current, ok := s.read(); ok {
			s.send(orders.Order{Base: current.Sequence, Sequence: current.Sequence + 1, ID: fmt.Sprint(s.name, " ", number)})
		} else if len(s.sent) > 0 {
			s.send(s.sent[len(s.sent)-1])
		}
		time.Sleep(100 * time.Millisecond)
	}
}
