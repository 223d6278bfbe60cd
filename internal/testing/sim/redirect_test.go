package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client/session"
)

// pairedSite has two access nodes in each zone.
var pairedSite = Site{Zones: 3, Control: 3, Access: 6, Storage: 3, Latency: 500 * time.Microsecond, Timing: Armor.Timing, Routine: 4, Urgent: 2}

func (w *World) sessionCount(node string) int { return w.Machines[node].Node().Sessions.Count() }

// isolateFromDisks cuts a machine off from the machines with disks, in both directions.
func (w *World) isolateFromDisks(node string) {
	for _, other := range w.Names {
		if other != node && (other[0] == 'c' || other[0] == 's') {
			w.Cut(node, other)
			w.Cut(other, node)
		}
	}
}

func (w *World) busiestAccessNode() (busiest string) {
	for _, node := range w.Names {
		if node[0] == 'a' && (busiest == "" || w.sessionCount(node) > w.sessionCount(busiest)) {
			busiest = node
		}
	}
	return busiest
}

// A node is cut off from all leaders, while a peer of its zone reaches them. Its clients are
// redirected to that peer within a twelfth of the recovery time. No client is redirected to the
// node until it reaches the leaders again.
func TestClientsAreRedirectedToAPeerThatReachesTheLeaders(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		runSessions(t, pairedSite, seed, readingLoad, 24, func(t *testing.T, w *World, _ *LineClients) {
			node := w.busiestAccessNode()
			assert.Assert(t, w.sessionCount(node) > 2)
			w.isolateFromDisks(node)
			time.Sleep(w.Site.Timing.Recovery / 12)
			assert.Equal(t, w.sessionCount(node), 0, "clients remained on %s", node)
			assert.Assert(t, w.Machines[node].Node().Ready() != nil)
			time.Sleep(4 * time.Second)
			assert.Equal(t, w.sessionCount(node), 0, "clients returned to %s", node)
			w.Heal()
			time.Sleep(time.Second)
			assert.NilError(t, w.Machines[node].Node().Ready())
		})
	}
}

// No client is redirected where a redirect would not help: when all nodes are cut off from the
// leaders, when packets are lost, when a machine is slow, and when only the control nodes or one
// storage node are unreachable.
func TestNoClientIsRedirectedInVain(t *testing.T) {
	t.Parallel()
	faults := map[string]func(w *World){
		"all access nodes cut off": func(w *World) {
			for _, node := range w.Names {
				if node[0] == 'a' {
					w.isolateFromDisks(node)
				}
			}
		},
		"all storage and control nodes without power": func(w *World) {
			for _, node := range w.Names {
				if node[0] != 'a' {
					w.LosePower(node, false)
				}
			}
		},
		"control nodes killed": func(w *World) { w.killControlNodes() },
		"one storage node isolated": func(w *World) {
			w.Isolate("s1")
		},
		"a slow machine": func(w *World) { w.Slow(w.busiestAccessNode(), 300*time.Millisecond) },
		"packets lost":   func(w *World) { w.DropPackets(0.05) },
	}
	for name, fault := range faults {
		runSessions(t, pairedSite, 5, readingLoad, 12, func(t *testing.T, w *World, _ *LineClients) {
			fault(w)
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				for _, node := range w.Names {
					if node[0] == 'a' {
						assert.NilError(t, w.Machines[node].Node().Sessions.CheckServing(), "%s: %s redirects its clients", name, node)
					}
				}
			}
		})
	}
}

// An isolated control node loses the sessions of storage nodes, which other control nodes still
// have. Nodes whose session is with the isolated one must not treat the storage nodes as failed.
func TestAnIsolatedControlNodeDeposesNoLeaders(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		runSessions(t, pairedSite, seed, readingLoad, 12, func(t *testing.T, w *World, clients *LineClients) {
			nodesByControl, isolated := map[string][]string{}, ""
			for _, node := range w.Names {
				if control := w.Machines[node].Node().Operators.ControlNode(); node[0] == 'a' {
					if nodesByControl[control] = append(nodesByControl[control], node); len(nodesByControl[control]) > len(nodesByControl[isolated]) {
						isolated = control
					}
				}
			}
			accessNodes := nodesByControl[isolated]
			writer := clients.ConnectScripted(accessNodes[0], "lead")
			assert.Assert(t, writer != nil)
			w.isolateFromDisks(isolated)
			cut, call := time.Now(), uint64(0)
			for time.Since(cut) < w.Site.Timing.Recovery/2 {
				for _, node := range accessNodes {
					for _, storageNode := range []string{"s1", "s2", "s3"} {
						_, ok := w.Machines[node].Node().View.Get(storageNode)
						assert.Assert(t, ok, "after %s %s treats %s as failed", time.Since(cut), node, storageNode)
					}
				}
				call++
				response, ok := writer.Send(scenarioTopic, "", call)
				assert.Assert(t, ok && response.Type == session.Accepted, "after %s: %s %v", time.Since(cut), response.Type, response.Err)
				time.Sleep(50 * time.Millisecond)
			}
			writer.End()
		})
	}
}
