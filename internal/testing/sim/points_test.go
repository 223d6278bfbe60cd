package sim

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/quorumread"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/placement/controller"
	"postjunction/internal/wire"
)

// keyLeader returns the control node that leads a key, or c1 if no node leads it.
func (w *World) keyLeader(key string) string {
	for _, name := range w.Names {
		if node := w.Machines[name].Node(); node != nil && node.LeadsKey(key) {
			return name
		}
	}
	return "c1"
}

// configurationLeader returns the control node that leads the configuration's key, confirmed by a
// majority, and the sequence number of the current configuration. Where the key has no leader, as
// after the voters changed, it puts a configuration, which elects one.
func configurationLeader(t *testing.T, w *World) (leaderName string, current uint64) {
	t.Helper()
	assert.NilError(t, w.WaitUntil(30*time.Second, "void: one control node leads the configuration's key", func() bool {
		for _, name := range w.Names {
			node := w.Machines[name].Node()
			if node == nil || !node.LeadsKey(quorumread.ConfigurationKey) {
				continue
			}
			if sequence, err := w.currentSequence(name); err == nil && node.LeadsKey(quorumread.ConfigurationKey) {
				leaderName, current = name, sequence
				return true
			}
		}
		if sequence, err := w.currentSequence("c1"); err == nil {
			_, _ = w.Put("c1", load.Configuration(sequence))
		}
		return false
	}))
	return leaderName, current
}

func (w *World) currentSequence(node string) (uint64, error) {
	ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	return w.Transport(node).Get(ctx)
}

// acceptsConfiguration reports whether a call asks a voter to accept a configuration.
func acceptsConfiguration(call CallPoint) bool {
	var request acceptor.AcceptRequest
	return call.Path == acceptor.Accept.Path && wire.Unmarshal(call.Body, &request) == nil && request.Key == quorumread.ConfigurationKey
}

func atStage(path, stage string) func(call CallPoint) bool {
	return func(call CallPoint) bool { return call.Path == path && call.Stage == stage }
}

func sentBy(matches func(call CallPoint) bool) func(node string, call CallPoint) bool {
	return func(node string, call CallPoint) bool { return call.From == node && matches(call) }
}

func handledBy(matches func(call CallPoint) bool) func(node string, call CallPoint) bool {
	return func(node string, call CallPoint) bool { return call.To == node && matches(call) }
}

var placementKey = []byte(controller.Key)

func appendRequest(call CallPoint) (replica.AppendRequest, bool) {
	var request replica.AppendRequest
	return request, call.Path == replica.Append.Path && wire.Unmarshal(call.Body, &request) == nil
}

func appendsChangelog(call CallPoint) bool {
	request, ok := appendRequest(call)
	return ok && request.Kind == log.KindChangelog
}

// pausePoints are the steps of a decision at which the calls of the deciding node are paused, while
// its sessions expire and other nodes continue.
var pausePoints = map[string]struct {
	restart    bool
	newClients bool
	control    bool
	matches    func(node string, call CallPoint) bool
}{
	"decided, not appended":       {matches: sentBy(atStage(replica.Append.Path, RequestStage))},
	"appended, answers in flight": {matches: sentBy(atStage(replica.Append.Path, ResponseStage))},
	"sealing, not adopted": {restart: true, matches: sentBy(func(call CallPoint) bool {
		return (call.Path == replica.Append.Path || call.Path == replica.Fetch.Path) && call.Stage == RequestStage
	})},
	"sealed, answers in flight": {restart: true, matches: sentBy(atStage(replica.Seal.Path, ResponseStage))},
	"batch, not offset": {matches: sentBy(func(call CallPoint) bool {
		return call.Stage == ResponseStage && appendsChangelog(call)
	})},
	"replica synced, not answered":  {matches: handledBy(atStage(replica.Append.Path, ResponseStage))},
	"accepted, not acknowledged":    {matches: handledBy(atStage(router.Submit.Path, ResponseStage))},
	"attachment read, not answered": {matches: handledBy(atStage(router.ReadAttachment.Path, ResponseStage))},
	"attached, not answered":        {newClients: true, matches: handledBy(atStage(router.Attach.Path, ResponseStage))},
	"promised, not accepted":        {control: true, matches: sentBy(atStage(acceptor.Accept.Path, RequestStage))},
	"accepted, answers in flight":   {control: true, matches: sentBy(atStage(acceptor.Accept.Path, ResponseStage))},
	"voter synced, not answered": {control: true, matches: handledBy(func(call CallPoint) bool {
		return call.Stage == ResponseStage && (call.Path == acceptor.Accept.Path || call.Path == acceptor.Promise.Path) && !bytes.Contains(call.Body, placementKey)
	})},
}

func TestPausedAtEachPointOfADecision(t *testing.T) {
	for name, point := range pausePoints {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipUnderRace(t)
			for seed := range uint64(seeds(2)) {
				runScenario(t, siteForSeed(seed), 200+seed, time.Hour, func(t *testing.T, w *World) {
					for range 2 {
						target, base := busiest(w), uint64(0)
						var decisions atomic.Int64
						if point.control {
							target, base = configurationLeader(t, w)
						}
						if point.restart {
							w.Kill(target)
							time.Sleep(30 * time.Millisecond)
						}
						release, hits := w.PauseCalls(func(call CallPoint) bool {
							if !point.matches(target, call) {
								return false
							}
							if acceptsConfiguration(call) {
								decisions.Add(1)
							}
							return true
						})
						if point.restart {
							assert.NilError(t, w.Start(target))
							assert.NilError(t, w.WaitUntil(10*time.Second, "void: nothing was paused at "+name, func() bool { return hits() > 0 }))
						}
						releaseHeartbeats, _ := w.PauseCalls(func(call CallPoint) bool {
							return call.From == target && strings.Contains(call.Path, "Member/Pulse") || call.From == target && strings.Contains(call.Path, "Member/Sessions") || call.To == target && strings.Contains(call.Path, "Member/Sessions")
						})
						if point.newClients {
							w.AddClients(4)
						}
						if point.control {
							_, _ = w.Put(target, load.Configuration(base))
						}
						w.MoveClients(0.5)
						time.Sleep(w.randomTenths(60, 80))
						assert.Assert(t, hits() > 0, "void: nothing was paused at %q", name)
						assert.Assert(t, !point.control || decisions.Load() > 0, "void: no decision on the configuration was paused at %q, %s was to make it", name, target)
						release()
						time.Sleep(time.Duration(w.Int(400)) * time.Millisecond)
						releaseHeartbeats()
						time.Sleep(w.randomTenths(30, 60))
					}
				})
			}
		})
	}
}

// A disk is wiped just after it promised, with the answer in flight or delivered. The node returns
// under the same name with an empty disk.
func TestDiskWipedJustAfterEachKindOfPromise(t *testing.T) {
	kinds := map[string]string{"sealed": replica.Seal.Path, "appended": replica.Append.Path, "promised": acceptor.Promise.Path, "accepted": acceptor.Accept.Path}
	for name, path := range kinds {
		for _, delivered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, delivered %v", name, delivered), func(t *testing.T) {
				t.Parallel()
				skipUnderRace(t)
				for seed := range uint64(seeds(2)) {
					runScenario(t, siteForSeed(seed), 220+seed, time.Hour, func(t *testing.T, w *World) {
						assert.NilError(t, w.WaitUntil(30*time.Second, "all replicas and voters are complete", w.isFullyReplicated))
						matched := make(chan string, 1)
						release, _ := w.PauseCalls(func(call CallPoint) bool {
							if call.Path != path || call.Stage != ResponseStage || call.From == call.To {
								return false
							}
							select {
							case matched <- call.To:
								return !delivered
							default:
								return false
							}
						})
						switch name {
						case "sealed":
							w.Terminate("s1")
							w.History.AddFault("stop", time.Now())
						case "promised":
							w.Terminate(w.keyLeader(controller.Key))
						case "accepted":
							go func() { _, _ = w.Put("a1", load.Configuration(1)) }()
						}
						var wiped string
						select {
						case wiped = <-matched:
						case <-time.After(20 * time.Second):
							t.Fatalf("void: no disk was %s", name)
						}
						w.Wipe(wiped)
						release()
						time.Sleep(w.randomTenths(0, 40))
						var down []string
						for _, node := range w.Names {
							if !w.Machines[node].Up() {
								down = append(down, node)
							}
						}
						assert.Assert(t, slices.Contains(down, wiped))
						assert.NilError(t, w.Start(down...))
						assert.NilError(t, w.WaitUntil(90*time.Second, "the wiped disk is repaired", w.isFullyReplicated))
					})
				}
			})
		}
	}
}
