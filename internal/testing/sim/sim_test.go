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
func runScenario(t *testing.T, site Site, seed uint64, bound time.Duration, script func(t *testing.T, w *World)) (report history.Report) {
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
		for _, node := range w.Names {
			w.Thaw(node)
			w.Slow(node, 0)
			w.SlowDisk(node, 0)
			w.HangDisk(node, false)
			w.Machines[node].Disk.Fill(false)
			assert.NilError(t, w.Start(node))
		}
		time.Sleep(15 * time.Second)
		saved, err := w.SaveCursor(load)
		assert.NilError(t, err, "seed %d: a cursor into all topics", seed)
		time.Sleep(5 * time.Second)
		stoppedAt := w.StopSending(10 * time.Second)
		applyFinalFault(t, w, saved)
		report = checkHistory(t, w, stoppedAt, bound)
	})
	return report
}

// finalFaults are the faults that a run may end with. The last one affects all machines, each of
// the others one machine.
var finalFaults = map[string]func(w *World, node string){
	"killed":              func(w *World, node string) { w.Kill(node) },
	"frozen":              func(w *World, node string) { w.Freeze(node) },
	"cut off":             func(w *World, node string) { w.Isolate(node) },
	"without power, torn": func(w *World, node string) { w.LosePower(node, true) },
	"wiped":               func(w *World, node string) { w.Wipe(node) },
	"without power, as all others": func(w *World, _ string) {
		for _, node := range w.Names {
			w.LosePower(node, w.Int(2) == 0)
		}
		_ = w.Start(w.Names...)
	},
}

var finalFaultNames = []string{"killed", "frozen", "cut off", "without power, torn", "wiped", "without power, as all others"}

// applyFinalFault ends a run with one fault. After it, new subscribers read back the configuration
// and every message of the retention time through several nodes.
func applyFinalFault(t *testing.T, w *World, saved SavedCursor) {
	t.Helper()
	rng := rand.New(rand.NewPCG(w.Seed, 9))
	present := w.Present()
	fault, node := finalFaultNames[rng.IntN(len(finalFaultNames))], present[rng.IntN(len(present))]
	if override := os.Getenv("PJ_LAST"); override != "" {
		fault, node, _ = strings.Cut(override, "@")
		assert.Assert(t, finalFaults[fault] != nil && w.Machines[node] != nil, "PJ_LAST is one of %v, an @ and one of %v", finalFaultNames, w.Names)
	}
	finalFaults[fault](w, node)
	t.Logf("seed %d: final fault: %s is %s", w.Seed, node, fault)
	time.Sleep(w.Site.Timing.Recovery / 2)
	var others []string
	for _, other := range present {
		if other != node {
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
	report := w.History.Check(stoppedAt, time.Now())
	t.Logf("seed %d: sent %d accepted %d unknown %d receipts %d longest wait %s (%s at %s), undisturbed %s, spread p50 %s p99 %s", w.Seed, report.Sent, report.Accepted, report.Unknown, report.Receipts, report.Longest.Total, report.Longest.Kind, report.Longest.Place, report.LongestUndisturbed.Undisturbed, report.Spread.P50, report.Spread.P99)
	for i, violation := range report.Violations {
		if i < 10 {
			t.Errorf("seed %d: %s: %s", w.Seed, violation.Rule, violation.Message)
		}
	}
	assert.Assert(t, report.Accepted > 50, "too few messages were accepted for the run to prove anything")
	assert.Assert(t, report.Longest.Total < bound, "%s at %s waited %s (still open: %v)", report.Longest.Kind, report.Longest.Place, report.Longest.Total, report.Longest.Open)
	assert.Assert(t, report.Promises > 0 && report.Decisions["taken"] > 0 && report.Decisions["vouched"] > 0, "no promises or decisions were recorded")
	return report
}

func TestQuietDay(t *testing.T) {
	runScenario(t, Armor, 1, time.Second, func(_ *testing.T, w *World) { time.Sleep(10 * time.Second) })
}
