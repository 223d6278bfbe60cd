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

func (w *World) leaderOf(key string) string {
	for _, n := range w.Names {
		if x := w.Machines[n].Node(); x != nil && x.LeadsKey(key) {
			return n
		}
	}
	return "c1"
}

// decider gives the control node that holds the description's key, as a majority says, and the
// description that stands. Where nobody holds it, as after the voters changed, a description that
// is put makes a holder.
func decider(t *testing.T, w *World) (who string, seq uint64) {
	t.Helper()
	assert.NilError(t, w.WaitUntil(30*time.Second, "void: one control node holds the description", func() bool {
		for _, n := range w.Names {
			x := w.Machines[n].Node()
			if x == nil || !x.LeadsKey(quorumread.ConfigurationKey) {
				continue
			}
			if at, err := w.current(n); err == nil && x.LeadsKey(quorumread.ConfigurationKey) {
				who, seq = n, at
				return true
			}
		}
		if at, err := w.current("c1"); err == nil {
			_, _ = w.Put("c1", load.Configuration(at))
		}
		return false
	}))
	return who, seq
}

func (w *World) current(n string) (uint64, error) {
	ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	return w.Transport(n).Get(ctx)
}

// deciding tells whether a call asks a voter to accept a description.
func deciding(x CallPoint) bool {
	var q acceptor.AcceptRequest
	return x.Path == acceptor.Accept.Path && wire.Unmarshal(x.Body, &q) == nil && q.Key == quorumread.ConfigurationKey
}

func on(path, stage string) func(x CallPoint) bool {
	return func(x CallPoint) bool { return x.Path == path && x.Stage == stage }
}

func owning(f func(x CallPoint) bool) func(who string, x CallPoint) bool {
	return func(who string, x CallPoint) bool { return x.From == who && f(x) }
}

func serving(f func(x CallPoint) bool) func(who string, x CallPoint) bool {
	return func(who string, x CallPoint) bool { return x.To == who && f(x) }
}

var placementKey = []byte(controller.Key)

func appending(x CallPoint) (replica.AppendRequest, bool) {
	var q replica.AppendRequest
	return q, x.Path == replica.Append.Path && wire.Unmarshal(x.Body, &q) == nil
}

func late(x CallPoint) bool {
	q, ok := appending(x)
	return ok && q.Kind == log.KindChangelog
}

// points are the places in a decision's way at which whoever decides is held up while its sessions
// lapse and others go on.
var points = map[string]struct {
	restart bool
	arrive  bool
	control bool
	at      func(who string, x CallPoint) bool
}{
	"judged, not appended":        {at: owning(on(replica.Append.Path, RequestStage))},
	"appended, answers under way": {at: owning(on(replica.Append.Path, ResponseStage))},
	"sealing, not adopted": {restart: true, at: owning(func(x CallPoint) bool {
		return (x.Path == replica.Append.Path || x.Path == replica.Fetch.Path) && x.Stage == RequestStage
	})},
	"sealed, answers under way": {restart: true, at: owning(on(replica.Seal.Path, ResponseStage))},
	"batch, not offset": {at: owning(func(x CallPoint) bool {
		return x.Stage == ResponseStage && late(x)
	})},
	"copy synced, not answered":   {at: serving(on(replica.Append.Path, ResponseStage))},
	"taken, not told":             {at: serving(on(router.Submit.Path, ResponseStage))},
	"vouched, not told":           {at: serving(on(router.ReadAttachment.Path, ResponseStage))},
	"attached, not told":          {arrive: true, at: serving(on(router.Attach.Path, ResponseStage))},
	"promised, not accepted":      {control: true, at: owning(on(acceptor.Accept.Path, RequestStage))},
	"accepted, answers under way": {control: true, at: owning(on(acceptor.Accept.Path, ResponseStage))},
	"voter synced, not answered": {control: true, at: serving(func(x CallPoint) bool {
		return x.Stage == ResponseStage && (x.Path == acceptor.Accept.Path || x.Path == acceptor.Promise.Path) && !bytes.Contains(x.Body, placementKey)
	})},
}

func TestPausedAtEachPointOfADecision(t *testing.T) {
	for name, p := range points {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			long(t)
			for seed := range uint64(seeds(2)) {
				runScenario(t, siteForSeed(seed), 200+seed, time.Hour, func(t *testing.T, w *World) {
					for range 2 {
						who, base := busiest(w), uint64(0)
						var decided atomic.Int64
						if p.control {
							who, base = decider(t, w)
						}
						if p.restart {
							w.Kill(who)
							time.Sleep(30 * time.Millisecond)
						}
						release, hits := w.PauseCalls(func(x CallPoint) bool {
							if !p.at(who, x) {
								return false
							}
							if deciding(x) {
								decided.Add(1)
							}
							return true
						})
						if p.restart {
							assert.NilError(t, w.Start(who))
							assert.NilError(t, w.WaitUntil(10*time.Second, "void: nothing was held at "+name, func() bool { return hits() > 0 }))
						}
						lapse, _ := w.PauseCalls(func(x CallPoint) bool {
							return x.From == who && strings.Contains(x.Path, "Member/Pulse") || x.From == who && strings.Contains(x.Path, "Member/Sessions") || x.To == who && strings.Contains(x.Path, "Member/Sessions")
						})
						if p.arrive {
							w.AddClients(4)
						}
						if p.control {
							_, _ = w.Put(who, load.Configuration(base))
						}
						w.MoveClients(0.5)
						time.Sleep(w.randomTenths(60, 80))
						assert.Assert(t, hits() > 0, "void: nothing was held at %q", name)
						assert.Assert(t, !p.control || decided.Load() > 0, "void: no decision on the description was held at %q, %s was to make it", name, who)
						release()
						time.Sleep(time.Duration(w.Int(400)) * time.Millisecond)
						lapse()
						time.Sleep(w.randomTenths(30, 60))
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
				long(t)
				for seed := range uint64(seeds(2)) {
					runScenario(t, siteForSeed(seed), 220+seed, time.Hour, func(t *testing.T, w *World) {
						assert.NilError(t, w.WaitUntil(30*time.Second, "every copy and seat is in place", w.isFullyReplicated))
						found := make(chan string, 1)
						release, _ := w.PauseCalls(func(x CallPoint) bool {
							if x.Path != path || x.Stage != ResponseStage || x.From == x.To {
								return false
							}
							select {
							case found <- x.To:
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
							w.Terminate(w.leaderOf(controller.Key))
						case "accepted":
							go func() { _, _ = w.Put("a1", load.Configuration(1)) }()
						}
						var x string
						select {
						case x = <-found:
						case <-time.After(20 * time.Second):
							t.Fatalf("void: no disk was %s", name)
						}
						w.Wipe(x)
						release()
						time.Sleep(w.randomTenths(0, 40))
						var down []string
						for _, n := range w.Names {
							if !w.Machines[n].Up() {
								down = append(down, n)
							}
						}
						assert.Assert(t, slices.Contains(down, x))
						assert.NilError(t, w.Start(down...))
						assert.NilError(t, w.WaitUntil(90*time.Second, "the wiped disk is repaired", w.isFullyReplicated))
					})
				}
			})
		}
	}
}
