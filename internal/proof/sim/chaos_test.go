package sim

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func (w *World) pick(kind string) string {
	var ns []string
	for _, n := range w.Names {
		if kind == "" || n[:1] == kind {
			ns = append(ns, n)
		}
	}
	return ns[w.Int(len(ns))]
}

func (w *World) span(lo, hi int) time.Duration {
	return time.Duration(lo+w.Int(hi-lo)) * 100 * time.Millisecond
}

// whole tells whether every partition has its copies on the disks in use, and every voter its seat.
func (w *World) whole() bool {
	for _, n := range w.Names {
		if !w.Machines[n].Up() {
			return false
		}
	}
	ref := w.Machines["a1"].Node()
	r := ref.Roster()
	for _, s := range r.Seats {
		i := w.Machines[s.Node].Node().Info()
		if i.Incarnation != s.Incarnation || i.Roster != r.Sequence {
			return false
		}
	}
	for p := range r.Layout.Count() {
		x := ref.Board.Record(p)
		if !x.Settled || len(x.Replicas) != 3 || x.Learner != nil {
			return false
		}
		for _, q := range x.Replicas {
			if w.Machines[q.Node].Node().Info().Incarnation != q.Incarnation {
				return false
			}
		}
	}
	return true
}

var blows = map[string]func(t *testing.T, w *World) (undo func()){
	"kill": func(_ *testing.T, w *World) func() {
		n := w.pick("")
		w.Kill(n)
		return func() { _ = w.Start(n) }
	},
	"kill many": func(_ *testing.T, w *World) func() {
		var ns []string
		for range 2 + w.Int(3) {
			ns = append(ns, w.pick(""))
			w.Kill(ns[len(ns)-1])
		}
		return func() { _ = w.Start(ns...) }
	},
	"stop": func(_ *testing.T, w *World) func() {
		n := w.pick("")
		w.Terminate(n)
		return func() { _ = w.Start(n) }
	},
	"freeze": func(_ *testing.T, w *World) func() {
		n := w.pick("")
		w.Freeze(n)
		return func() { w.Thaw(n) }
	},
	"isolate": func(_ *testing.T, w *World) func() {
		w.Isolate(w.pick(""))
		return w.Heal
	},
	"cut one way": func(_ *testing.T, w *World) func() {
		for range 3 {
			w.Cut(w.pick(""), w.pick(""))
		}
		return w.Heal
	},
	"lose packets": func(_ *testing.T, w *World) func() {
		w.Lose(0.1)
		return w.Heal
	},
	"power": func(_ *testing.T, w *World) func() {
		n := w.pick("s")
		w.LosePower(n, w.Int(2) == 0)
		return func() { _ = w.Start(n) }
	},
	"control power": func(_ *testing.T, w *World) func() {
		n := w.pick("c")
		w.LosePower(n, w.Int(2) == 0)
		return func() { _ = w.Start(n) }
	},
	"wipe": func(t *testing.T, w *World) func() {
		w.Heal()
		_ = w.Start(w.Names...)
		for _, n := range w.Names {
			w.Thaw(n)
			w.Machines[n].Disk.Fill(false)
		}
		assert.NilError(t, w.Until(90*time.Second, "every copy and seat is in place", w.whole), "seed %d", w.Seed)
		n := w.pick([]string{"c", "s"}[w.Int(2)])
		w.Wipe(n)
		return func() {
			_ = w.Start(n)
			assert.NilError(t, w.Until(90*time.Second, "the wiped disk of "+n+" is repaired", w.whole), "seed %d", w.Seed)
		}
	},
	"slow": func(_ *testing.T, w *World) func() {
		n := w.pick("")
		w.Slow(n, w.span(1, 6))
		return func() { w.Slow(n, 0) }
	},
	"fill": func(_ *testing.T, w *World) func() {
		n := w.pick([]string{"c", "s"}[w.Int(2)])
		w.Machines[n].Disk.Fill(true)
		return func() { w.Machines[n].Disk.Fill(false) }
	},
	"describe": func(_ *testing.T, w *World) func() {
		for range 2 {
			ctx, stop := context.WithTimeout(w.ctx, w.Site.Bounds.Recovery)
			cur, err := w.Port(w.pick("")).Get(ctx)
			stop()
			if err == nil {
				_, _ = w.Put(w.pick(""), load.Describe(cur))
			}
		}
		return func() {}
	},
}

var blowNames = []string{"kill", "kill many", "stop", "freeze", "isolate", "cut one way", "lose packets", "power", "control power", "wipe", "slow", "fill", "describe"}

func chaos(t *testing.T, seed uint64) {
	s := Armor
	if seed%2 == 1 {
		s = Traductores
	}
	play(t, s, seed, time.Hour, func(t *testing.T, w *World) {
		for range 3 + w.Int(3) {
			a, b := blowNames[w.Int(len(blowNames))], blowNames[w.Int(len(blowNames))]
			undo := blows[a](t, w)
			time.Sleep(w.span(0, 30))
			also := func() {}
			if b != "wipe" && a != "wipe" && w.Int(2) == 0 {
				also = blows[b](t, w)
				t.Logf("seed %d: %s: %s and %s", seed, time.Now().Format("04:05.000"), a, b)
			} else {
				t.Logf("seed %d: %s: %s", seed, time.Now().Format("04:05.000"), a)
			}
			time.Sleep(w.span(5, 90))
			undo()
			time.Sleep(w.span(0, 20))
			also()
			time.Sleep(w.span(10, 60))
		}
	})
}

// TestSeeds runs random faults, alone and in pairs. PJ_SEEDS=from:to searches further.
func TestSeeds(t *testing.T) {
	from, to := uint64(100), uint64(106)
	if v := os.Getenv("PJ_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d:%d", &from, &to)
		assert.NilError(t, err)
	}
	if raced {
		to = from + 1
	}
	for s := from; s < to; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			chaos(t, s)
		})
	}
}
