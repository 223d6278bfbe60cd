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

var load = Load{Callers: 10, Topics: 6, LiveTopics: 2, Leads: 2, Every: 400 * time.Millisecond}

// play runs a fleet through a script and checks what callers saw.
func play(t *testing.T, s Site, seed uint64, bound time.Duration, script func(t *testing.T, w *World)) (r history.Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		applyConfiguration(t, w)
		w.Watch()
		w.Callers(load)
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
		book, err := w.Archive(load)
		assert.NilError(t, err, "seed %d: a cursor into all topics", seed)
		time.Sleep(5 * time.Second)
		cut := w.Quiet(10 * time.Second)
		last(t, w, book)
		r = report(t, w, cut, bound)
	})
	return r
}

// lasts are the faults that a day may end with: any one machine, or the power of all.
var lasts = map[string]func(w *World, n string){
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

var lastNames = []string{"killed", "frozen", "cut off", "without power, torn", "wiped", "without power, as all others"}

// last ends every run with one fault, after which the description and every message of the keeping
// time are read back by subscribers that were never there, through several nodes.
func last(t *testing.T, w *World, book Archive) {
	t.Helper()
	r := rand.New(rand.NewPCG(w.Seed, 9))
	there := w.Present()
	how, n := lastNames[r.IntN(len(lastNames))], there[r.IntN(len(there))]
	if v := os.Getenv("PJ_LAST"); v != "" {
		how, n, _ = strings.Cut(v, "@")
		assert.Assert(t, lasts[how] != nil && w.Machines[n] != nil, "PJ_LAST is one of %v, an @ and one of %v", lastNames, w.Names)
	}
	lasts[how](w, n)
	t.Logf("seed %d: at the end %s is %s", w.Seed, n, how)
	time.Sleep(w.Site.Timing.Recovery / 2)
	var ok []string
	for _, k := range there {
		if k != n {
			ok = append(ok, k)
		}
	}
	at := time.Now()
	for _, i := range []int{0, len(ok) / 2, len(ok) - 1} {
		assert.NilError(t, w.readBack(ok[i], at), "seed %d: read back through %s", w.Seed, ok[i])
	}
	var wg sync.WaitGroup
	for _, i := range []int{0, len(ok) / 2, len(ok) - 1} {
		wg.Go(func() { assert.Check(t, w.ReadBack(book, ok[i]), "seed %d", w.Seed) })
	}
	wg.Wait()
}

func (w *World) readBack(n string, at time.Time) error {
	end := time.Now().Add(w.Site.Timing.Recovery / 2)
	for {
		ctx, stop := context.WithDeadline(w.ctx, end)
		seq, err := w.Port(n).Get(ctx)
		stop()
		if err == nil {
			w.History.ReadBack(seq, at)
			return nil
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(w.Site.Timing.MaxBackoff())
	}
}

func report(t *testing.T, w *World, cut time.Time, bound time.Duration) history.Report {
	t.Helper()
	r := w.History.Check(cut, time.Now())
	t.Logf("seed %d: sent %d taken %d unknown %d receipts %d longest wait %s (%s at %s), undisturbed %s, spread p50 %s p99 %s", w.Seed, r.Sent, r.Accepted, r.Unknown, r.Receipts, r.Longest.Total, r.Longest.Kind, r.Longest.Place, r.LongestUndisturbed.Undisturbed, r.Spread.P50, r.Spread.P99)
	for i, v := range r.Violations {
		if i < 10 {
			t.Errorf("seed %d: %s: %s", w.Seed, v.Line, v.Message)
		}
	}
	assert.Assert(t, r.Accepted > 50, "too little was sent to prove anything")
	assert.Assert(t, r.Longest.Total < bound, "%s at %s waited %s (still open: %v)", r.Longest.Kind, r.Longest.Place, r.Longest.Total, r.Longest.Open)
	assert.Assert(t, r.Promises > 0 && r.Decisions["taken"] > 0 && r.Decisions["vouched"] > 0, "the traces are empty")
	return r
}

func TestQuietDay(t *testing.T) {
	play(t, Armor, 1, time.Second, func(_ *testing.T, w *World) { time.Sleep(10 * time.Second) })
}
