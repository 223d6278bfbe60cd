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

func (w *World) keyLeader(key string) string {
	for _, name := range w.Names {
		if node := w.Machines[name].Node(); node != nil && node.LeadsKey(key) {
			return name
		}
	}
	return "c1"
}

// decider gives the control node that holds the description's key, as a majority says, and the
// description that stands. Where nobody holds it, as after the voters changed, a description that
// is put makes a holder.
func configurationLeader(t *testing.T, w *World) (who string, seq uint64) {
	t.Helper()
	assert.NilError(t, w.WaitUntil(30*time.Second, "void: one control node holds the description", func() bool {
		for _, name := range w.Names {
			node := w.Machines[name].Node()
			if node == nil || !node.LeadsKey(quorumread.ConfigurationKey) {
				continue
			}
			if sequence, err := w.currentSequence(name); err == nil && node.LeadsKey(quorumread.ConfigurationKey) {
				who, seq = name, sequence
				return true
			}
		}
		if sequence, err := w.currentSequence("c1"); err == nil {
			_, _ = w.Put("c1", load.Describe(sequence))
		}
		return false
	}))
	return who, seq
}

func (w *World) currentSequence(node string) (uint64, error) {
	ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	return w.Port(node).Get(ctx)
}

// deciding tells whether a call asks a voter to accept a description.
func acceptsConfiguration(call Point) bool {
	var request acceptor.AcceptRequest
	return call.Path == acceptor.Accept.Path && wire.Unmarshal(call.Body, &request) == nil && request.Key == quorumread.ConfigurationKey
}

func atStage(path, stage string) func(call Point) bool {
	return func(call Point) bool { return call.Path == path && call.Stage == stage }
}

func sentBy(f func(x Point) bool) func(who string, x Point) bool {
	return func(who string, call Point) bool { return call.From == who && f(call) }
}

func handledBy(f func(x Point) bool) func(who string, x Point) bool {
	return func(who string, call Point) bool { return call.To == who && f(call) }
}

var placementKey = []byte(controller.Key)

func appendRequest(call Point) (replica.AppendRequest, bool) {
	var request replica.AppendRequest
	return request, call.Path == replica.Append.Path && wire.Unmarshal(call.Body, &request) == nil
}

func appendsChangelog(call Point) bool {
	q, ok := appendRequest(call)
	return ok && q.Kind == log.KindChangelog
}

// points are the places in a decision's way at which whoever decides is held up while its sessions
// lapse and others go on.
var pausePoints = map[string]struct {
	restart    bool
	newClients bool
	control    bool
	matches    func(who string, call Point) bool
}{
	"judged, not appended":        {matches: sentBy(atStage(replica.Append.Path, Asking))},
	"appended, answers under way": {matches: sentBy(atStage(replica.Append.Path, Answering))},
	"sealing, not adopted": {restart: true, matches: sentBy(func(call Point) bool {
		return (call.Path == replica.Append.Path || call.Path == replica.Fetch.Path) && call.Stage == Asking
	})},
	"sealed, answers under way": {restart: true, matches: sentBy(atStage(replica.Seal.Path, Answering))},
	"batch, not offset": {matches: sentBy(func(call Point) bool {
		return call.Stage == Answering && appendsChangelog(call)
	})},
	"copy synced, not answered":   {matches: handledBy(atStage(replica.Append.Path, Answering))},
	"taken, not told":             {matches: handledBy(atStage(router.Submit.Path, Answering))},
	"vouched, not told":           {matches: handledBy(atStage(router.ReadAttachment.Path, Answering))},
	"attached, not told":          {newClients: true, matches: handledBy(atStage(router.Attach.Path, Answering))},
	"promised, not accepted":      {control: true, matches: sentBy(atStage(acceptor.Accept.Path, Asking))},
	"accepted, answers under way": {control: true, matches: sentBy(atStage(acceptor.Accept.Path, Answering))},
	"voter synced, not answered": {control: true, matches: handledBy(func(call Point) bool {
		return call.Stage == Answering && (call.Path == acceptor.Accept.Path || call.Path == acceptor.Promise.Path) && !bytes.Contains(call.Body, placementKey)
	})},
}

func TestPausedAtEachPointOfADecision(t *testing.T) {
	for name, point := range pausePoints {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipUnderRace(t)
			for seed := range uint64(seeds(2)) {
				play(t, siteOf(seed), 200+seed, time.Hour, func(t *testing.T, w *World) {
					for range 2 {
						who, base := busiest(w), uint64(0)
						var decided atomic.Int64
						if point.control {
							who, base = configurationLeader(t, w)
						}
						if point.restart {
							w.Kill(who)
							time.Sleep(30 * time.Millisecond)
						}
						release, hits := w.PauseCalls(func(call Point) bool {
							if !point.matches(who, call) {
								return false
							}
							if acceptsConfiguration(call) {
								decided.Add(1)
							}
							return true
						})
						if point.restart {
							assert.NilError(t, w.Start(who))
							assert.NilError(t, w.WaitUntil(10*time.Second, "void: nothing was held at "+name, func() bool { return hits() > 0 }))
						}
						lapse, _ := w.PauseCalls(func(call Point) bool {
							return call.From == who && strings.Contains(call.Path, "Member/Pulse") || call.From == who && strings.Contains(call.Path, "Member/Sessions") || call.To == who && strings.Contains(call.Path, "Member/Sessions")
						})
						if point.newClients {
							w.Arrive(4)
						}
						if point.control {
							_, _ = w.Put(who, load.Describe(base))
						}
						w.Move(0.5)
						time.Sleep(w.span(60, 80))
						assert.Assert(t, hits() > 0, "void: nothing was held at %q", name)
						assert.Assert(t, !point.control || decided.Load() > 0, "void: no decision on the description was held at %q, %s was to make it", name, who)
						release()
						time.Sleep(time.Duration(w.Int(400)) * time.Millisecond)
						lapse()
						time.Sleep(w.span(30, 60))
					}
				})
			}
		})
	}
}

// A disk is wiped just after it promised: with the answer still under way, or told. It comes back
// empty under its old machine's name.
func TestDiskWipedJustAfterEachKindOfPromise(t *testing.T) {
	kinds := map[string]string{"sealed": replica.Seal.Path, "appended": replica.Append.Path, "promised": acceptor.Promise.Path, "accepted": acceptor.Accept.Path}
	for name, path := range kinds {
		for _, delivered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, told %v", name, delivered), func(t *testing.T) {
				t.Parallel()
				skipUnderRace(t)
				for seed := range uint64(seeds(2)) {
					play(t, siteOf(seed), 220+seed, time.Hour, func(t *testing.T, w *World) {
						assert.NilError(t, w.WaitUntil(30*time.Second, "every copy and seat is in place", w.whole))
						found := make(chan string, 1)
						release, _ := w.PauseCalls(func(call Point) bool {
							if call.Path != path || call.Stage != Answering || call.From == call.To {
								return false
							}
							select {
							case found <- call.To:
								return !delivered
							default:
								return false
							}
						})
						switch name {
						case "sealed":
							w.Terminate("s1")
							w.History.Disturb("stop", time.Now())
						case "promised":
							w.Terminate(w.keyLeader(controller.Key))
						case "accepted":
							go func() { _, _ = w.Put("a1", load.Describe(1)) }()
						}
						var wiped string
						select {
						case wiped = <-found:
						case <-time.After(20 * time.Second):
							t.Fatalf("void: no disk was %s", name)
						}
						w.Wipe(wiped)
						release()
						time.Sleep(w.span(0, 40))
						var down []string
						for _, node := range w.Names {
							if !w.Machines[node].Up() {
								down = append(down, node)
							}
						}
						assert.Assert(t, slices.Contains(down, wiped))
						assert.NilError(t, w.Start(down...))
						assert.NilError(t, w.WaitUntil(90*time.Second, "the wiped disk is repaired", w.whole))
					})
				}
			})
		}
	}
}
