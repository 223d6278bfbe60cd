package sim

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/simclient"
)

var (
	smallSite   = Site{Zones: 3, Control: 3, Access: 3, Storage: 3, Latency: 500 * time.Microsecond, Timing: Armor.Timing, Routine: 4, Urgent: 2}
	sessionLoad = Load{Topics: 24, LiveTopics: 4, SendInterval: 2 * time.Second}
	// readingLoad is that of clients which always read, so that they receive a redirect at once.
	readingLoad = Load{Topics: 24, LiveTopics: 4, SendInterval: 2 * time.Second, NoPauses: true}
)

// runSessions runs a script on a fleet with simulated clients on client sessions and judges what
// they received.
func runSessions(t *testing.T, site Site, seed uint64, traffic Load, clientCount int, script func(t *testing.T, w *World, clients *LineClients)) (tally deliverycheck.Tally) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		w.load = traffic
		_, err := w.Put("c1", traffic.Configuration(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		clients := w.StartLineClients(clientCount, traffic)
		time.Sleep(5 * time.Second)
		script(t, w, clients)
		w.Heal()
		for _, node := range w.Names {
			w.Thaw(node)
			w.Slow(node, 0)
			assert.NilError(t, w.Start(node))
		}
		time.Sleep(w.Site.Timing.Recovery)
		cut := time.Now()
		clients.stopSending()
		time.Sleep(w.Site.Timing.Spread)
		clients.StartLate(20, cut.Add(-w.Site.Timing.Keeping/2))
		time.Sleep(w.Site.Timing.Recovery)
		w.cancel()
		clients.wg.Wait()
		var violations []deliverycheck.Violation
		tally, violations = clients.Checker.Judge(cut)
		t.Logf("seed %d: %+v", seed, tally)
		for i, violation := range violations {
			if i < 10 {
				t.Errorf("seed %d: %s: %s", seed, violation.Rule, violation.Message)
			}
		}
		assert.Assert(t, tally.Accepted > 50 && tally.Got > 100 && tally.Resumed > 0 && tally.Late > 0, "too few messages were received to prove anything")
	})
	return tally
}

func TestQuietSessions(t *testing.T) {
	t.Parallel()
	runSessions(t, smallSite, 1, sessionLoad, 16, func(_ *testing.T, _ *World, clients *LineClients) {
		time.Sleep(15 * time.Second)
		clients.Calm.Store(true)
		time.Sleep(15 * time.Second)
	})
}

// injectRandomFaults injects random faults that affect client sessions, alone and in pairs.
func injectRandomFaults(t *testing.T, w *World, clients *LineClients) {
	rng := rand.New(rand.NewPCG(w.Seed, 21))
	faultNames := []string{"kill", "kill many", "stop", "freeze", "isolate", "cut one way", "zone cut", "lose packets", "reset", "power", "control power", "wipe", "slow", "sessions reset", "leader killed", "leader frozen", "leader stopped", "leader cut", "control killed", "all power lost", "access stopped"}
	stopCallFaults := func() {}
	if rng.IntN(2) == 0 {
		stopCallFaults = w.InterceptCalls(RandomCallFaults(w.Seed, 0.02+0.3*rng.Float64()))
	}
	for range 3 + rng.IntN(2) {
		first, second := faultNames[rng.IntN(len(faultNames))], faultNames[rng.IntN(len(faultNames))]
		if second == "wipe" {
			first, second = second, first
		}
		if first == "wipe" {
			assert.NilError(t, w.WaitUntil(90*time.Second, "all replicas and voters are complete", w.isFullyReplicated))
		}
		t.Logf("seed %d: %s: %s and %s", w.Seed, time.Now().Format("04:05.000"), first, second)
		undo := injectFault(w, clients, rng, first)
		time.Sleep(time.Duration(rng.IntN(int(3 * time.Second))))
		undoSecond := noUndo
		if first != "wipe" && rng.IntN(2) == 0 {
			undoSecond = injectFault(w, clients, rng, second)
		}
		time.Sleep(time.Duration(rng.IntN(int(8 * time.Second))))
		undo()
		undoSecond()
		if first == "wipe" {
			w.Heal()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitUntil(90*time.Second, "the wiped disk is repaired", w.isFullyReplicated))
		}
		time.Sleep(time.Duration(rng.IntN(int(8 * time.Second))))
	}
	stopCallFaults()
}

func injectFault(w *World, clients *LineClients, rng *rand.Rand, name string) func() {
	if fault, ok := Faults[name]; ok {
		return fault(w, rng)
	}
	leaderNode := busiest(w)
	if leaderNode == "" {
		leaderNode = w.pickMachine(rng, "s")
	}
	return map[string]func() func(){
		"sessions reset": func() func() { clients.Reset(0.8); return noUndo },
		"leader killed":  func() func() { w.Kill(leaderNode); return w.undoByStarting(leaderNode) },
		"leader frozen":  func() func() { w.Freeze(leaderNode); return func() { w.Thaw(leaderNode) } },
		"leader stopped": func() func() { w.Terminate(leaderNode); return w.undoByStarting(leaderNode) },
		"leader cut":     func() func() { w.Isolate(leaderNode); return w.Heal },
		"control killed": func() func() {
			var names []string
			for _, node := range w.Names {
				if node[0] == 'c' {
					names = append(names, node)
					w.Kill(node)
				}
			}
			return w.undoByStarting(names...)
		},
		"all power lost": func() func() {
			for _, node := range w.Names {
				w.LosePower(node, rng.IntN(2) == 0)
			}
			return w.undoByStarting(w.Names...)
		},
		"access stopped": func() func() {
			node := w.pickMachine(rng, "a")
			w.Terminate(node)
			return w.undoByStarting(node)
		},
	}[name]()
}

// TestSessions runs client sessions under random faults, by seed. PJ_SEEDS=from:to runs other
// seeds.
func TestSessions(t *testing.T) {
	from, to := uint64(500), uint64(503)
	if seedRange := os.Getenv("PJ_SEEDS"); seedRange != "" {
		fields, err := fmt.Sscanf(seedRange, "%d:%d", &from, &to)
		assert.Assert(t, fields == 2 && err == nil && from < to, "PJ_SEEDS must be from:to with from below to, is %q", seedRange)
	}
	if raced {
		to = from + 1
	}
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSessions(t, smallSite, seed, sessionLoad, 40, func(t *testing.T, w *World, clients *LineClients) { injectRandomFaults(t, w, clients) })
		})
	}
}

// TestSessionsThatComeAndGo has few clients subscribe and unsubscribe few topics all the time, so
// that nodes start and stop following partitions. Meanwhile the calls by which they do so are lost,
// delayed or duplicated, and partition leaders change.
func TestSessionsThatComeAndGo(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		traffic := Load{Topics: 5, LiveTopics: 1, SendInterval: time.Second, Habits: func(habits *simclient.Habits) {
			habits.ChangeInterval, habits.AwayInterval, habits.MaxAbsence = time.Second, 6*time.Second, 3*time.Second
		}}
		runSessions(t, smallSite, 800+seed, traffic, 7, func(_ *testing.T, w *World, clients *LineClients) {
			stop := w.InterceptCalls(RandomCallFaults(w.Seed, 0.1+0.5*w.randomFloat()))
			for range 5 {
				undo := injectFault(w, clients, rand.New(rand.NewPCG(w.Seed, 23)), []string{"leader killed", "leader frozen", "leader cut", "leader stopped"}[w.Int(4)])
				time.Sleep(w.randomTenths(10, 60))
				undo()
				time.Sleep(w.randomTenths(20, 60))
			}
			stop()
		})
	}
}
