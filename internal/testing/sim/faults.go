package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/node"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
)

// Fault is a fault of a random day; the function that it gives puts right what can be put right.
type Fault func(w *World, r *rand.Rand) (undo func())

func (w *World) pick(r *rand.Rand, kind string) string {
	ns := w.namesOf(kind)
	return ns[r.IntN(len(ns))]
}

// namesOf returns the machines whose names begin with the letter of a kind, all for none.
func (w *World) namesOf(kind string) []string {
	var names []string
	for _, name := range w.Names {
		if kind == "" || name[:1] == kind {
			names = append(names, name)
		}
	}
	return names
}

func disky(r *rand.Rand) string { return []string{"c", "s"}[r.IntN(2)] }

func (w *World) zone(r *rand.Rand) (in, out []string) {
	z := fmt.Sprintf("z%d", r.IntN(w.Site.Zones)+1)
	for _, n := range w.Names {
		if w.Machines[n].Opts.Zone == z {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

func (w *World) start(ns ...string) func() {
	return func() { _ = w.Start(ns...) }
}

func nothing() {}

// Faults are all faults that a random day may bring.
var Faults = map[string]Fault{
	"kill": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, "")
		w.Kill(n)
		return w.start(n)
	},
	"kill many": func(w *World, r *rand.Rand) func() {
		var ns []string
		for range 2 + r.IntN(3) {
			ns = append(ns, w.pick(r, ""))
			w.Kill(ns[len(ns)-1])
		}
		return w.start(ns...)
	},
	"stop": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, "")
		w.Terminate(n)
		return w.start(n)
	},
	"freeze": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, "")
		w.Freeze(n)
		return func() { w.Thaw(n) }
	},
	"isolate": func(w *World, r *rand.Rand) func() {
		w.Isolate(w.pick(r, ""))
		return w.Heal
	},
	"cut one way": func(w *World, r *rand.Rand) func() {
		for range 3 {
			w.Cut(w.pick(r, ""), w.pick(r, ""))
		}
		return w.Heal
	},
	"zone cut": func(w *World, r *rand.Rand) func() {
		in, out := w.zone(r)
		for _, a := range in {
			for _, b := range out {
				w.Cut(a, b)
				w.Cut(b, a)
			}
		}
		return w.Heal
	},
	"zone lost": func(w *World, r *rand.Rand) func() {
		in, _ := w.zone(r)
		for _, n := range in {
			w.LosePower(n, r.IntN(2) == 0)
		}
		return w.start(in...)
	},
	"lose packets": func(w *World, r *rand.Rand) func() {
		w.Lose(0.1)
		return w.Heal
	},
	"reset": func(w *World, r *rand.Rand) func() {
		for _, n := range w.Names {
			if r.IntN(5) > 0 {
				w.Reset(n)
			}
		}
		return nothing
	},
	"move": func(w *World, r *rand.Rand) func() {
		w.Move(0.5)
		return nothing
	},
	"arrive": func(w *World, r *rand.Rand) func() {
		w.Arrive(8)
		return nothing
	},
	"power": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, "s")
		w.LosePower(n, r.IntN(2) == 0)
		return w.start(n)
	},
	"control power": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, "c")
		w.LosePower(n, r.IntN(2) == 0)
		return w.start(n)
	},
	"wipe": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, disky(r))
		w.Wipe(n)
		return w.start(n)
	},
	"slow": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, "")
		w.Slow(n, time.Duration(1+r.IntN(5))*100*time.Millisecond)
		return func() { w.Slow(n, 0) }
	},
	"fill": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, disky(r))
		w.note("fill")
		w.Machines[n].Disk.Fill(true)
		return func() {
			w.note("space again")
			w.Machines[n].Disk.Fill(false)
		}
	},
	"slow disk": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, disky(r))
		w.SlowDisk(n, 20+r.IntN(41))
		return func() { w.SlowDisk(n, 0) }
	},
	"disk hangs": func(w *World, r *rand.Rand) func() {
		n := w.pick(r, disky(r))
		w.HangDisk(n, true)
		return func() { w.HangDisk(n, false) }
	},
	"drain": func(w *World, r *rand.Rand) func() {
		n, lost := w.pick(r, "s"), r.IntN(2) == 0
		w.note("drain")
		asked := w.ask(w.pick(r, "c"), w.Site.Timing.Recovery, func(ctx context.Context, x *node.Node) error {
			_, err := x.Operators.Decommission(ctx, n)
			return err
		}) == nil
		return func() {
			if !asked {
				return
			}
			_ = w.WaitUntil(40*time.Second, n+" is empty", w.isDecommissioned(n))
			if !w.isDecommissioned(n)() {
				return
			}
			w.Terminate(n)
			if lost {
				w.note("departed with its disk")
				w.Machines[n].Disk.Wipe()
			}
			_ = w.Start(n)
		}
	},
	"settings": func(w *World, r *rand.Rand) func() {
		w.note("settings")
		for _, n := range w.Names {
			if x := w.Machines[n].Node(); x != nil && r.IntN(2) == 0 {
				o := w.Machines[n].Opts
				o.Backlog = 16 + r.IntN(64)
				o.Changelog = settings.Duration(time.Duration(200+r.IntN(6000)) * time.Millisecond)
				if r.IntN(4) == 0 {
					o.Zone = "elsewhere"
				}
				_ = x.Apply(o)
			}
		}
		return nothing
	},
	"operators": func(w *World, r *rand.Rand) func() {
		w.note("operators")
		ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
		defer stop()
		cur, err := w.Port(w.pick(r, "")).Get(ctx)
		if err != nil {
			return nothing
		}
		var wg sync.WaitGroup
		for i := range 3 {
			n, k, seq := w.pick(r, ""), uint64(r.IntN(3)), cur+1+r.Uint64N(3)
			wg.Go(func() {
				doc := w.load.Numbered(cur, seq, fmt.Sprintf("operator %d", i))
				bad := []byte(fmt.Sprintf(`{"base":%d,"spaces":[{"name":"kept","kind":"kept","topics":["t0","t0"]}]}`, cur))
				if k == 0 {
					if _, err := w.Port(n).Put(ctx, bad); err == nil {
						w.History.Violate(history.Invalid, "an invalid description was taken through %s", n)
					}
					return
				}
				if _, err := w.Put(n, doc); apierror.HasCode(err, apierror.ConfigurationInvalid) {
					w.History.Violate(history.Invalid, "a sound description was turned away through %s: %v", n, err)
				}
			})
		}
		wg.Wait()
		return nothing
	},
}

// FaultNames lists the faults in order.
func FaultNames() []string {
	var s []string
	for n := range Faults {
		s = append(s, n)
	}
	slices.Sort(s)
	return s
}

// Step is one moment of a random day: a fault, maybe a second one, and when what happens.
type Step struct {
	A, B                         string
	SeedA, SeedB                 uint64
	Between, Duration, Gap, Rest time.Duration
}

// String names a step's faults.
func (s Step) String() string {
	if s.B == "" {
		return s.A
	}
	return s.A + " and " + s.B
}

// PlanDay draws the steps of a day from its seed alone.
func PlanDay(seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 3))
	ns := FaultNames()
	span := func(lo, hi int) time.Duration {
		return time.Duration(lo+r.IntN(hi-lo))*100*time.Millisecond + time.Duration(r.IntN(100_000))*time.Microsecond
	}
	var ss []Step
	for range 3 + r.IntN(3) {
		s := Step{A: ns[r.IntN(len(ns))], B: ns[r.IntN(len(ns))], SeedA: r.Uint64(), SeedB: r.Uint64(),
			Between: span(0, 30), Duration: span(5, 90), Gap: span(0, 20), Rest: span(10, 60)}
		if r.IntN(3) == 0 || s.A == "wipe" && s.B == "wipe" {
			s.B = ""
		}
		if s.B == "wipe" || s.A == "drain" && s.B != "" {
			s.A, s.B, s.SeedA, s.SeedB = s.B, s.A, s.SeedB, s.SeedA
		}
		ss = append(ss, s)
	}
	return ss
}
