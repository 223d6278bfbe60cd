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

// Fault injects a fault of a random run. The function that it returns undoes what can be undone.
type Fault func(w *World, r *rand.Rand) (undo func())

func (w *World) pickMachine(r *rand.Rand, kind string) string {
	names := w.namesOf(kind)
	return names[r.IntN(len(names))]
}

// namesOf returns the machines whose names begin with the letter of a kind, or all machines if kind
// is empty.
func (w *World) namesOf(kind string) []string {
	var names []string
	for _, name := range w.Names {
		if kind == "" || name[:1] == kind {
			names = append(names, name)
		}
	}
	return names
}

func pickDiskKind(r *rand.Rand) string { return []string{"c", "s"}[r.IntN(2)] }

// splitByZone picks a zone and returns the machines in it and those outside it.
func (w *World) splitByZone(r *rand.Rand) (inside, outside []string) {
	zone := fmt.Sprintf("z%d", r.IntN(w.Site.Zones)+1)
	for _, n := range w.Names {
		if w.Machines[n].Opts.Zone == zone {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	return inside, outside
}

func (w *World) undoByStarting(names ...string) func() {
	return func() { _ = w.Start(names...) }
}

func noUndo() {}

// Faults are all faults that a random run may inject.
var Faults = map[string]Fault{
	"kill": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, "")
		w.Kill(n)
		return w.undoByStarting(n)
	},
	"kill many": func(w *World, r *rand.Rand) func() {
		var names []string
		for range 2 + r.IntN(3) {
			names = append(names, w.pickMachine(r, ""))
			w.Kill(names[len(names)-1])
		}
		return w.undoByStarting(names...)
	},
	"stop": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, "")
		w.Terminate(n)
		return w.undoByStarting(n)
	},
	"freeze": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, "")
		w.Freeze(n)
		return func() { w.Thaw(n) }
	},
	"isolate": func(w *World, r *rand.Rand) func() {
		w.Isolate(w.pickMachine(r, ""))
		return w.Heal
	},
	"cut one way": func(w *World, r *rand.Rand) func() {
		for range 3 {
			w.Cut(w.pickMachine(r, ""), w.pickMachine(r, ""))
		}
		return w.Heal
	},
	"zone cut": func(w *World, r *rand.Rand) func() {
		inside, outside := w.splitByZone(r)
		for _, a := range inside {
			for _, b := range outside {
				w.Cut(a, b)
				w.Cut(b, a)
			}
		}
		return w.Heal
	},
	"zone lost": func(w *World, r *rand.Rand) func() {
		inside, _ := w.splitByZone(r)
		for _, n := range inside {
			w.LosePower(n, r.IntN(2) == 0)
		}
		return w.undoByStarting(inside...)
	},
	"lose packets": func(w *World, r *rand.Rand) func() {
		w.DropPackets(0.1)
		return w.Heal
	},
	"reset": func(w *World, r *rand.Rand) func() {
		for _, n := range w.Names {
			if r.IntN(5) > 0 {
				w.Reset(n)
			}
		}
		return noUndo
	},
	"move": func(w *World, r *rand.Rand) func() {
		w.MoveClients(0.5)
		return noUndo
	},
	"arrive": func(w *World, r *rand.Rand) func() {
		w.AddClients(8)
		return noUndo
	},
	"power": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, "s")
		w.LosePower(n, r.IntN(2) == 0)
		return w.undoByStarting(n)
	},
	"control power": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, "c")
		w.LosePower(n, r.IntN(2) == 0)
		return w.undoByStarting(n)
	},
	"wipe": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, pickDiskKind(r))
		w.Wipe(n)
		return w.undoByStarting(n)
	},
	"slow": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, "")
		w.Slow(n, time.Duration(1+r.IntN(5))*100*time.Millisecond)
		return func() { w.Slow(n, 0) }
	},
	"fill": func(w *World, r *rand.Rand) func() {
		name := w.pickMachine(r, pickDiskKind(r))
		w.recordDisturbance("fill")
		w.Machines[name].Disk.Fill(true)
		return func() {
			w.recordDisturbance("space again")
			w.Machines[name].Disk.Fill(false)
		}
	},
	"slow disk": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, pickDiskKind(r))
		w.SlowDisk(n, 20+r.IntN(41))
		return func() { w.SlowDisk(n, 0) }
	},
	"disk hangs": func(w *World, r *rand.Rand) func() {
		n := w.pickMachine(r, pickDiskKind(r))
		w.HangDisk(n, true)
		return func() { w.HangDisk(n, false) }
	},
	"drain": func(w *World, r *rand.Rand) func() {
		name, lost := w.pickMachine(r, "s"), r.IntN(2) == 0
		w.recordDisturbance("drain")
		accepted := w.callNode(w.pickMachine(r, "c"), w.Site.Timing.Recovery, func(ctx context.Context, process *node.Node) error {
			_, err := process.Operators.Decommission(ctx, name)
			return err
		}) == nil
		return func() {
			if !accepted {
				return
			}
			_ = w.WaitUntil(40*time.Second, name+" is empty", w.isDecommissioned(name))
			if !w.isDecommissioned(name)() {
				return
			}
			w.Terminate(name)
			if lost {
				w.recordDisturbance("departed with its disk")
				w.Machines[name].Disk.Wipe()
			}
			_ = w.Start(name)
		}
	},
	"settings": func(w *World, r *rand.Rand) func() {
		w.recordDisturbance("settings")
		for _, n := range w.Names {
			if process := w.Machines[n].Node(); process != nil && r.IntN(2) == 0 {
				opts := w.Machines[n].Opts
				opts.Backlog = 16 + r.IntN(64)
				opts.Changelog = settings.Duration(time.Duration(200+r.IntN(6000)) * time.Millisecond)
				if r.IntN(4) == 0 {
					opts.Zone = "elsewhere"
				}
				_ = process.Apply(opts)
			}
		}
		return noUndo
	},
	"operators": func(w *World, r *rand.Rand) func() {
		w.recordDisturbance("operators")
		ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
		defer stop()
		current, err := w.Transport(w.pickMachine(r, "")).Get(ctx)
		if err != nil {
			return noUndo
		}
		var wg sync.WaitGroup
		for i := range 3 {
			name, kind, seq := w.pickMachine(r, ""), uint64(r.IntN(3)), current+1+r.Uint64N(3)
			wg.Go(func() {
				document := w.load.NumberedConfiguration(current, seq, fmt.Sprintf("operator %d", i))
				invalid := []byte(fmt.Sprintf(`{"base":%d,"spaces":[{"name":"kept","kind":"kept","topics":["t0","t0"]}]}`, current))
				if kind == 0 {
					if _, err := w.Transport(name).Put(ctx, invalid); err == nil {
						w.History.Violate(history.Invalid, "an invalid configuration was accepted through %s", name)
					}
					return
				}
				if _, err := w.Put(name, document); apierror.HasCode(err, apierror.ConfigurationInvalid) {
					w.History.Violate(history.Invalid, "a valid configuration was rejected through %s: %v", name, err)
				}
			})
		}
		wg.Wait()
		return noUndo
	},
}

// FaultNames returns the names of all faults in alphabetical order.
func FaultNames() []string {
	var names []string
	for n := range Faults {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Step is one step of a random run: a fault, maybe a second one, and their timing.
type Step struct {
	First, Second                string
	FirstSeed, SecondSeed        uint64
	Between, Duration, Gap, Rest time.Duration
}

// String returns the names of a step's faults.
func (s Step) String() string {
	if s.Second == "" {
		return s.First
	}
	return s.First + " and " + s.Second
}

// PlanDay returns the steps of a random run. They depend on its seed alone. In a pair of faults, a
// wipe comes first and a drain second.
func PlanDay(seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 3))
	names := FaultNames()
	span := func(lo, hi int) time.Duration {
		return time.Duration(lo+r.IntN(hi-lo))*100*time.Millisecond + time.Duration(r.IntN(100_000))*time.Microsecond
	}
	var steps []Step
	for range 3 + r.IntN(3) {
		step := Step{First: names[r.IntN(len(names))], Second: names[r.IntN(len(names))],
			FirstSeed: r.Uint64(), SecondSeed: r.Uint64(),
			Between: span(0, 30), Duration: span(5, 90), Gap: span(0, 20), Rest: span(10, 60)}
		if r.IntN(3) == 0 || step.First == "wipe" && step.Second == "wipe" {
			step.Second = ""
		}
		if step.Second == "wipe" || step.First == "drain" && step.Second != "" {
			step.First, step.Second, step.FirstSeed, step.SecondSeed = step.Second, step.First, step.SecondSeed, step.FirstSeed
		}
		steps = append(steps, step)
	}
	return steps
}
