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
	hall  = Site{Zones: 3, Control: 3, Access: 3, Storage: 3, Latency: 500 * time.Microsecond, Timing: Armor.Timing, Routine: 4, Urgent: 2}
	crowd = Load{Topics: 24, LiveTopics: 4, SendInterval: 2 * time.Second}
	// awake are visitors who always read, and so hear at once where to go.
	awake = Load{Topics: 24, LiveTopics: 4, SendInterval: 2 * time.Second, NoPauses: true}
)

// entertain runs a fleet with visitors on line sessions through a script and judges what they saw.
func entertain(t *testing.T, s Site, seed uint64, l Load, n int, script func(t *testing.T, w *World, g *LineClients)) (r deliverycheck.Tally) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		w.load = l
		_, err := w.Put("c1", l.Configuration(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		g := w.StartLineClients(n, l)
		time.Sleep(5 * time.Second)
		script(t, w, g)
		w.Heal()
		for _, n := range w.Names {
			w.Thaw(n)
			w.Slow(n, 0)
			assert.NilError(t, w.Start(n))
		}
		time.Sleep(w.Site.Timing.Recovery)
		cut := time.Now()
		g.stopSending()
		time.Sleep(w.Site.Timing.Spread)
		g.StartLate(20, cut.Add(-w.Site.Timing.Keeping/2))
		time.Sleep(w.Site.Timing.Recovery)
		w.cancel()
		g.wg.Wait()
		var bs []deliverycheck.Violation
		r, bs = g.Checker.Judge(cut)
		t.Logf("seed %d: %+v", seed, r)
		for i, b := range bs {
			if i < 10 {
				t.Errorf("seed %d: %s: %s", seed, b.Rule, b.Message)
			}
		}
		assert.Assert(t, r.Accepted > 50 && r.Got > 100 && r.Resumed > 0 && r.Late > 0, "too little was seen to prove anything")
	})
	return r
}

func TestQuietSessions(t *testing.T) {
	t.Parallel()
	entertain(t, hall, 1, crowd, 16, func(_ *testing.T, _ *World, g *LineClients) {
		time.Sleep(15 * time.Second)
		g.Calm.Store(true)
		time.Sleep(15 * time.Second)
	})
}

// visitDay draws faults that meet visits, alone and in pairs.
func visitDay(t *testing.T, w *World, g *LineClients) {
	r := rand.New(rand.NewPCG(w.Seed, 21))
	names := []string{"kill", "kill many", "stop", "freeze", "isolate", "cut one way", "zone cut", "lose packets", "reset", "power", "control power", "wipe", "slow", "visits reset", "owner killed", "owner frozen", "owner stopped", "owner cut", "control killed", "all power lost", "access stopped"}
	stop := func() {}
	if r.IntN(2) == 0 {
		stop = w.InterceptCalls(RandomCallFaults(w.Seed, 0.02+0.3*r.Float64()))
	}
	for range 3 + r.IntN(2) {
		a, b := names[r.IntN(len(names))], names[r.IntN(len(names))]
		if b == "wipe" {
			a, b = b, a
		}
		if a == "wipe" {
			assert.NilError(t, w.WaitUntil(90*time.Second, "every copy and seat is in place", w.isFullyReplicated))
		}
		t.Logf("seed %d: %s: %s and %s", w.Seed, time.Now().Format("04:05.000"), a, b)
		undo := strike(w, g, r, a)
		time.Sleep(time.Duration(r.IntN(int(3 * time.Second))))
		also := noUndo
		if a != "wipe" && r.IntN(2) == 0 {
			also = strike(w, g, r, b)
		}
		time.Sleep(time.Duration(r.IntN(int(8 * time.Second))))
		undo()
		also()
		if a == "wipe" {
			w.Heal()
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitUntil(90*time.Second, "the wiped disk is repaired", w.isFullyReplicated))
		}
		time.Sleep(time.Duration(r.IntN(int(8 * time.Second))))
	}
	stop()
}

func strike(w *World, g *LineClients, r *rand.Rand, name string) func() {
	if f, ok := Faults[name]; ok {
		return f(w, r)
	}
	o := busiest(w)
	if o == "" {
		o = w.pickMachine(r, "s")
	}
	return map[string]func() func(){
		"visits reset":  func() func() { g.Reset(0.8); return noUndo },
		"owner killed":  func() func() { w.Kill(o); return w.undoByStarting(o) },
		"owner frozen":  func() func() { w.Freeze(o); return func() { w.Thaw(o) } },
		"owner stopped": func() func() { w.Terminate(o); return w.undoByStarting(o) },
		"owner cut":     func() func() { w.Isolate(o); return w.Heal },
		"control killed": func() func() {
			var ns []string
			for _, n := range w.Names {
				if n[0] == 'c' {
					ns = append(ns, n)
					w.Kill(n)
				}
			}
			return w.undoByStarting(ns...)
		},
		"all power lost": func() func() {
			for _, n := range w.Names {
				w.LosePower(n, r.IntN(2) == 0)
			}
			return w.undoByStarting(w.Names...)
		},
		"access stopped": func() func() {
			n := w.pickMachine(r, "a")
			w.Terminate(n)
			return w.undoByStarting(n)
		},
	}[name]()
}

// TestSessions lives through days of faults by seed. PJ_SEEDS=from:to searches further.
func TestSessions(t *testing.T) {
	from, to := uint64(500), uint64(503)
	if v := os.Getenv("PJ_SEEDS"); v != "" {
		n, err := fmt.Sscanf(v, "%d:%d", &from, &to)
		assert.Assert(t, n == 2 && err == nil && from < to, "PJ_SEEDS must be from:to with from below to, is %q", v)
	}
	if raced {
		to = from + 1
	}
	for s := from; s < to; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			entertain(t, hall, s, crowd, 40, func(t *testing.T, w *World, g *LineClients) { visitDay(t, w, g) })
		})
	}
}

// TestSessionsThatComeAndGo has few visitors drop and take up few topics all the time, so that
// nodes begin and cease to follow partitions, while the messages by which they do are lost, late or
// come twice, and owners change.
func TestSessionsThatComeAndGo(t *testing.T) {
	t.Parallel()
	long(t)
	for seed := range uint64(seeds(2)) {
		l := Load{Topics: 5, LiveTopics: 1, SendInterval: time.Second, Habits: func(h *simclient.Habits) {
			h.ChangeInterval, h.AwayInterval, h.MaxAbsence = time.Second, 6*time.Second, 3*time.Second
		}}
		entertain(t, hall, 800+seed, l, 7, func(_ *testing.T, w *World, g *LineClients) {
			stop := w.InterceptCalls(RandomCallFaults(w.Seed, 0.1+0.5*w.randomFloat()))
			for range 5 {
				undo := strike(w, g, rand.New(rand.NewPCG(w.Seed, 23)), []string{"owner killed", "owner frozen", "owner cut", "owner stopped"}[w.Int(4)])
				time.Sleep(w.randomTenths(10, 60))
				undo()
				time.Sleep(w.randomTenths(20, 60))
			}
			stop()
		})
	}
}
