package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/proof/history"
)

var load = Load{Callers: 10, Topics: 6, LiveTopics: 2, Leads: 2, Every: 400 * time.Millisecond}

// play runs a fleet through a script and checks what callers saw.
func play(t *testing.T, s Site, seed uint64, bound time.Duration, script func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.Settle(20*time.Second))
		_, err := w.Put("c1", load.Describe(0))
		assert.NilError(t, err)
		time.Sleep(s.Bounds.Spread)
		w.Watch()
		w.Callers(load)
		time.Sleep(5 * time.Second)
		script(t, w)
		w.Heal()
		for _, n := range w.Names {
			w.Thaw(n)
			w.Slow(n, 0)
			w.Machines[n].Disk.Fill(false)
			assert.NilError(t, w.Start(n))
		}
		time.Sleep(15 * time.Second)
		cut := w.Quiet(10 * time.Second)
		last(t, w)
		report(t, w, cut, bound)
	})
}

// last is the fault at the end of every run: one disk machine loses power, and the description must still read back.
func last(t *testing.T, w *World) {
	t.Helper()
	w.LosePower(fmt.Sprintf("c%d", 1+w.Int(w.Site.Control)), true)
	at := time.Now()
	for _, n := range w.Names {
		if w.Machines[n].Up() {
			seq, err := w.Port(n).Get(w.ctx)
			assert.NilError(t, err, "seed %d: read back through %s", w.Seed, n)
			w.History.ReadBack(seq, at)
			return
		}
	}
}

func report(t *testing.T, w *World, cut time.Time, bound time.Duration) history.Report {
	t.Helper()
	r := w.History.Check(cut)
	t.Logf("seed %d: sent %d taken %d unknown %d receipts %d longest wait %s spread p50 %s p99 %s", w.Seed, r.Sent, r.Taken, r.Unknown, r.Receipts, max(r.Routine.Max, r.Urgent.Max), r.Spread.P50, r.Spread.P99)
	for i, v := range r.Violations {
		if i < 10 {
			t.Errorf("seed %d: %s: %s", w.Seed, v.Line, v.Say)
		}
	}
	assert.Assert(t, r.Taken > 50, "too little was sent to prove anything")
	gap := max(r.Routine.Max, r.Urgent.Max)
	assert.Assert(t, gap < bound, "a caller waited %s", gap)
	return r
}

func TestQuietDay(t *testing.T) {
	play(t, Armor, 1, time.Second, func(_ *testing.T, w *World) { time.Sleep(10 * time.Second) })
}
