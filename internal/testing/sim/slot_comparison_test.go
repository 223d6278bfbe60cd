package sim

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/quorumread"
	keys "postjunction/internal/control/register"
	"postjunction/internal/wire"
)

// While a change is being accepted, the acceptors' slots differ for a moment. Control nodes must
// leave such a change alone. Guards against control nodes that see the difference at each
// heartbeat, read the key, compare full slots and send them again. Where the leader of the key is
// slow, they claim it from one another, which makes the slots differ again. With documents of the
// users' size the control nodes' links remain saturated.
//
// The order in which acceptors answer decides what a node sees. It may see slots that differ, and
// leaves them alone at each heartbeat. Or it sees a majority that has the change, and reads the key
// once without a claim. It then reads one full slot more if its own disk is behind. Each case
// delays the answers of some acceptors, so that all nodes see the same. The key has a leader before
// the measured write. Otherwise a change of the voter set after the first write would leave the
// claim to the measured one.
func TestAChangeOnItsWayIsLeftAlone(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, delayed                   string
		majorityReads, fullSlots, bytes int
	}{
		{"slots differ at each heartbeat", "c1 c2", 0, 0, 44 << 10},
		{"a majority is seen to have the change", "c6 c7 c8", 1, 8 + 3, 60 << 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				site := Traductores
				site.Control = 8
				w := New(site, 3, nil)
				defer w.Close()
				assert.NilError(t, w.Start(w.Names...))
				assert.NilError(t, w.WaitReady(20*time.Second))
				assert.NilError(t, w.WaitUntil(20*time.Second, "all control disks are voters", func() bool {
					return !slices.ContainsFunc(w.Names, func(node string) bool {
						return len(w.Machines[node].Node().VoterSet().Voters) < site.Control
					})
				}))
				_, err := w.Put("c1", restartLoad.Configuration(0))
				assert.NilError(t, err)
				time.Sleep(site.Timing.Spread)
				keyLeader := w.keyLeader(quorumread.ConfigurationKey)
				assert.Assert(t, w.Machines[keyLeader].Node().LeadsKey(quorumread.ConfigurationKey))
				var mu sync.Mutex
				slotsAsked, fullSlots := map[string]int{}, 0
				endInterception := w.InterceptCalls(func(point CallPoint) CallFault {
					if point.Path != acceptor.Peek.Path {
						return CallFault{}
					}
					if point.Stage == ResponseStage {
						if strings.Contains(tc.delayed, point.To) {
							return CallFault{Delay: 10 * time.Millisecond}
						}
						return CallFault{}
					}
					var request acceptor.PeekRequest
					if wire.Unmarshal(point.Body, &request) != nil {
						return CallFault{}
					}
					if len(request.Keys) > 0 && !slices.Contains(request.Keys, quorumread.ConfigurationKey) {
						return CallFault{}
					}
					mu.Lock()
					defer mu.Unlock()
					slotsAsked[point.From]++
					if !request.Brief {
						fullSlots++
					}
					return CallFault{}
				})
				release, hits := w.PauseCalls(func(point CallPoint) bool {
					return point.Path == acceptor.Accept.Path && (point.To == "c6" || point.To == "c7" || point.To == "c8")
				})
				before := w.TrafficByPath()
				_, err = w.Put("a1", restartLoad.Configuration(1))
				assert.NilError(t, err)
				time.Sleep(site.Timing.LeaseDuration() / 3)
				after := w.TrafficByPath()
				endInterception()
				release()
				assert.Assert(t, hits() > 0)
				reads := after[keys.Read.Path].Calls - before[keys.Read.Path].Calls
				bytes := after[acceptor.Peek.Path].Bytes - before[acceptor.Peek.Path].Bytes
				claims := after[acceptor.Promise.Path].Calls - before[acceptor.Promise.Path].Calls
				accepts := after[acceptor.Accept.Path].Calls - before[acceptor.Accept.Path].Calls
				mu.Lock()
				defer mu.Unlock()
				t.Logf("%d reads, %d bytes of slots, %d of them full, %d promises and %d acceptances requested, slots requested by %v",
					reads, bytes, fullSlots, claims, accepts, slotsAsked)
				assert.Assert(t, reads <= 6, "%d reads", reads)
				assert.Assert(t, bytes < tc.bytes, "%d bytes of slots", bytes)
				assert.Assert(t, fullSlots <= tc.fullSlots, "%d full slots", fullSlots)
				assert.Equal(t, claims, 0)
				assert.Equal(t, accepts, site.Control, "the change, once to each voter")
				heartbeats := int(site.Timing.LeaseDuration()/3/site.Timing.HeartbeatInterval()) + 1
				for node, count := range slotsAsked {
					limit := (heartbeats + tc.majorityReads) * site.Control
					if node == keyLeader {
						limit += site.Control
					}
					if strings.Contains(tc.delayed, node) {
						limit += tc.majorityReads
					}
					assert.Assert(t, count <= limit, "%s requested %d slots, %d at most", node, count, limit)
				}
				time.Sleep(site.Timing.Recovery)
				for _, node := range w.Names {
					assert.Equal(t, w.Machines[node].Node().Store.Configuration().Sequence, uint64(2), node)
				}
				assert.Assert(t, w.allReplicasComplete(), "the slots are identical in the end")
			})
		})
	}
}
