package sim

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/history"
)

var load = Load{HTTPClients: 10, Topics: 6, LiveTopics: 2, UrgentSenders: 2, SendInterval: 400 * time.Millisecond}

// runScenario runs a script on a fleet under load and checks what its clients saw.
func runScenario(t *testing.T, site Site, seed uint64, bound time.Duration, script func(t *testing.T, w *World)) (r history.Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		applyConfiguration(t, w)
		w.Watch()
		w.StartHTTPClients(load)
		time.Sleep(5 * time.Second)
		script(t, w)
		w.Heal()
		for _, n := range w.Names {
			w.Thaw(n)
			w.Slow(n, 0)
			w.SlowDisk(n, 0)
			w.HangDisk(n, false)
			w.Machines[n].Disk.Fill(false)
			assert.NilError(t, w.Start(n))
		}
		time.Sleep(15 * time.Second)
		saved, err := w.SaveCursor(load)
		assert.NilError(t, err, "seed %d: a cursor into all topics", seed)
		time.Sleep(5 * time.Second)
		stoppedAt := w.StopSending(10 * time.Second)
		applyFinalFault(t, w, saved)
		r = checkHistory(t, w, stoppedAt, bound)
	})
	return r
}

// finalFaults are the faults that a run may end with. Each hits one machine, or the power of all.
var finalFaults = map[string]func(w *World, n string){
	"killed":              func(w *World, n string) { w.Kill(n) },
	"frozen":              func(w *World, n string) { w.Freeze(n) },
	"cut off":             func(w *World, n string) { w.Isolate(n) },
	"without power, torn": func(w *World, n string) { w.LosePower(n, true) },
	"wiped":               func(w *World, n string) { w.Wipe(n) },
	"without power, as all others": func(w *World, _ string) {
		for _, n := range w.Names {
			w.LosePower(n, w.Int(2) == 0)
		}
		_ = w.Start(w.Names...)
	},
}

var finalFaultNames = []string{"killed", "frozen", "cut off", "without power, torn", "wiped", "without power, as all others"}

// applyFinalFault ends a run with one fault. After it, new subscribers read back the configuration
// and every message of the retention time through several nodes.
func applyFinalFault(t *testing.T, w *World, saved SavedCursor) {
	t.Helper()
	r := rand.New(rand.NewPCG(w.Seed, 9))
	present := w.Present()
	fault, name := finalFaultNames[r.IntN(len(finalFaultNames))], present[r.IntN(len(present))]
	if v := os.Getenv("PJ_LAST"); v != "" {
		fault, name, _ = strings.Cut(v, "@")
		assert.Assert(t, finalFaults[fault] != nil && w.Machines[name] != nil, "PJ_LAST is one of %v, an @ and one of %v", finalFaultNames, w.Names)
	}
	finalFaults[fault](w, name)
	t.Logf("seed %d: final fault: %s is %s", w.Seed, name, fault)
	time.Sleep(w.Site.Timing.Recovery / 2)
	var others []string
	for _, other := range present {
		if other != name {
			others = append(others, other)
		}
	}
	readAt := time.Now()
	for _, i := range []int{0, len(others) / 2, len(others) - 1} {
		assert.NilError(t, w.readBackConfiguration(others[i], readAt), "seed %d: read back through %s", w.Seed, others[i])
	}
	var wg sync.WaitGroup
	for _, i := range []int{0, len(others) / 2, len(others) - 1} {
		wg.Go(func() { assert.Check(t, w.ReadBackTopics(saved, others[i]), "seed %d", w.Seed) })
	}
	wg.Wait()
}

func (w *World) readBackConfiguration(name string, readAt time.Time) error {
	end := time.Now().Add(w.Site.Timing.Recovery / 2)
	for {
		ctx, stop := context.WithDeadline(w.ctx, end)
		sequence, err := w.Transport(name).Get(ctx)
		stop()
		if err == nil {
			w.History.ReadConfiguration(sequence, readAt)
			return nil
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(w.Site.Timing.MaxBackoff())
	}
}

func checkHistory(t *testing.T, w *World, stoppedAt time.Time, bound time.Duration) history.Report {
	t.Helper()
	r := w.History.Check(stoppedAt, time.Now())
	t.Logf("seed %d: sent %d accepted %d unknown %d receipts %d longest wait %s (%s at %s), undisturbed %s, spread p50 %s p99 %s", w.Seed, r.Sent, r.Accepted, r.Unknown, r.Receipts, r.Longest.Total, r.Longest.Kind, r.Longest.Place, r.LongestUndisturbed.Undisturbed, r.Spread.P50, r.Spread.P99)
	for i, v := range r.Violations {
		if i < 10 {
			t.Errorf("seed %d: %s: %s", w.Seed, v.Rule, v.Message)
		}
	}
	assert.Assert(t, r.Accepted > 50, "too few messages were accepted for the run to prove anything")
	assert.Assert(t, r.Longest.Total < bound, "%s at %s waited %s (still open: %v)", r.Longest.Kind, r.Longest.Place, r.Longest.Total, r.Longest.Open)
	assert.Assert(t, r.Promises > 0 && r.Decisions["taken"] > 0 && r.Decisions["vouched"] > 0, "no promises or decisions were recorded")
	return r
}

func TestQuietDay(t *testing.T) {
	runScenario(t, Armor, 1, time.Second, func(_ *testing.T, w *World) { time.Sleep(10 * time.Second) })
}
