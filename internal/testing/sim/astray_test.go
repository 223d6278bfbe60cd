package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client/session"
)

// pairs has two access nodes in each zone.
var pairs = Site{Zones: 3, Control: 3, Access: 6, Storage: 3, Latency: 500 * time.Microsecond, Timing: Armor.Timing, Routine: 4, Urgent: 2}

func (w *World) visits(n string) int { return w.Machines[n].Node().Sessions.Count() }

// apart cuts a machine off from those with disks, both ways.
func (w *World) apart(n string) {
	for _, x := range w.Names {
		if x != n && (x[0] == 'c' || x[0] == 's') {
			w.Cut(n, x)
			w.Cut(x, n)
		}
	}
}

func (w *World) busiestDoor() (n string) {
	for _, x := range w.Names {
		if x[0] == 'a' && (n == "" || w.visits(x) > w.visits(n)) {
			n = x
		}
	}
	return n
}

// A node that is cut off from all who decide keeps no visitors while a peer of its zone reaches
// them: they are sent there within a twelfth of the recovery time, and none is told to come to it
// until it reaches those who decide again.
func TestClientsAreRedirectedToAPeerThatReachesTheLeaders(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		entertain(t, pairs, seed, awake, 24, func(t *testing.T, w *World, _ *LineClients) {
			n := w.busiestDoor()
			assert.Assert(t, w.visits(n) > 2)
			w.apart(n)
			time.Sleep(w.Site.Timing.Recovery / 12)
			assert.Equal(t, w.visits(n), 0, "visitors stayed on %s", n)
			assert.Assert(t, w.Machines[n].Node().Ready() != nil)
			time.Sleep(4 * time.Second)
			assert.Equal(t, w.visits(n), 0, "visitors came back to %s", n)
			w.Heal()
			time.Sleep(time.Second)
			assert.NilError(t, w.Machines[n].Node().Ready())
		})
	}
}

// Nobody is sent away where that helps nobody: when all nodes are cut off from those who decide,
// when packets are lost, when a machine is slow, when the core alone or one store is out of reach.
func TestNoClientIsRedirectedInVain(t *testing.T) {
	t.Parallel()
	faults := map[string]func(w *World){
		"all access nodes cut off": func(w *World) {
			for _, n := range w.Names {
				if n[0] == 'a' {
					w.apart(n)
				}
			}
		},
		"all stores and control nodes without power": func(w *World) {
			for _, n := range w.Names {
				if n[0] != 'a' {
					w.LosePower(n, false)
				}
			}
		},
		"the core away": func(w *World) { w.coreGone() },
		"one store cut off": func(w *World) {
			w.Isolate("s1")
		},
		"a slow machine": func(w *World) { w.Slow(w.busiestDoor(), 300*time.Millisecond) },
		"packets lost":   func(w *World) { w.DropPackets(0.05) },
	}
	for name, fault := range faults {
		entertain(t, pairs, 5, awake, 12, func(t *testing.T, w *World, _ *LineClients) {
			fault(w)
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range w.Names {
					if n[0] == 'a' {
						assert.NilError(t, w.Machines[n].Node().Sessions.CheckServing(), "%s: %s sends its visitors away", name, n)
					}
				}
			}
		})
	}
}

// A control node that is cut off from all who decide loses the sessions of stores that others keep.
// Nodes whose session is with it don't take them for gone.
func TestAnIsolatedControlNodeDeposesNoLeaders(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		entertain(t, pairs, seed, awake, 12, func(t *testing.T, w *World, g *LineClients) {
			by, core := map[string][]string{}, ""
			for _, n := range w.Names {
				if c := w.Machines[n].Node().Operators.ControlNode(); n[0] == 'a' {
					if by[c] = append(by[c], n); len(by[c]) > len(by[core]) {
						core = c
					}
				}
			}
			under := by[core]
			h := g.ConnectScripted(under[0], "lead")
			assert.Assert(t, h != nil)
			w.apart(core)
			cut, call := time.Now(), uint64(0)
			for time.Since(cut) < w.Site.Timing.Recovery/2 {
				for _, n := range under {
					for _, s := range []string{"s1", "s2", "s3"} {
						_, ok := w.Machines[n].Node().View.Get(s)
						assert.Assert(t, ok, "after %s %s takes %s for gone", time.Since(cut), n, s)
					}
				}
				call++
				a, ok := h.Send(ground, "", call)
				assert.Assert(t, ok && a.Type == session.Accepted, "after %s: %s %v", time.Since(cut), a.Type, a.Err)
				time.Sleep(50 * time.Millisecond)
			}
			h.End()
		})
	}
}
