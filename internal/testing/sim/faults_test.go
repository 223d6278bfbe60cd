package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/history"
)

func settle(w *World) { time.Sleep(14 * time.Second) }

// busiest gives the store that decides for most partitions.
func busiest(w *World) string {
	name, leaderships := "", -1
	for _, n := range w.Names {
		if x := w.Machines[n].Node(); x != nil && x.Info().Partitions > leaderships {
			name, leaderships = n, x.Info().Partitions
		}
	}
	return name
}

var faultScripts = map[string]struct {
	site   Site
	script func(t *testing.T, w *World)
}{
	"owner killed mid-append and mid-batch": {Armor, func(_ *testing.T, w *World) {
		for range 3 {
			o := busiest(w)
			w.Kill(o)
			settle(w)
			_ = w.Start(o)
			time.Sleep(3 * time.Second)
		}
	}},
	"owner paused past its licence and resumed": {Armor, func(_ *testing.T, w *World) {
		o := busiest(w)
		w.Freeze(o)
		time.Sleep(9 * time.Second)
		w.Thaw(o)
		settle(w)
	}},
	"owner cut off and still writing": {Armor, func(_ *testing.T, w *World) {
		o := busiest(w)
		w.Isolate(o)
		time.Sleep(11 * time.Second)
		w.Heal()
		settle(w)
	}},
	"one-way cut from the owner to control": {Armor, func(_ *testing.T, w *World) {
		o := busiest(w)
		for _, c := range []string{"c1", "c2", "c3"} {
			w.Cut(o, c)
		}
		time.Sleep(11 * time.Second)
		w.Heal()
		settle(w)
	}},
	"store loses power with a torn tail": {Armor, func(_ *testing.T, w *World) {
		for range 2 {
			o := busiest(w)
			w.LosePower(o, true)
			time.Sleep(time.Second)
			_ = w.Start(o)
			settle(w)
		}
	}},
	"store disk wiped": {Armor, func(_ *testing.T, w *World) {
		o := busiest(w)
		w.Wipe(o)
		time.Sleep(2 * time.Second)
		_ = w.Start(o)
		time.Sleep(25 * time.Second)
	}},
	"control disk wiped just after it promised": {Armor, func(t *testing.T, w *World) {
		for i := range 2 {
			c := fmt.Sprintf("c%d", i+1)
			w.Wipe(c)
			time.Sleep(time.Second)
			_ = w.Start(c)
			_, _ = w.Put("a1", load.Configuration(uint64(i+1)))
			assert.NilError(t, w.WaitUntil(30*time.Second, "the wiped disk has a seat", func() bool {
				r := w.Machines["a1"].Node().VoterSet()
				s, ok := r.Voter(c)
				return ok && s.Incarnation == w.Machines[c].Node().Info().Incarnation && w.Machines[c].Node().Info().VoterSet == r.Sequence
			}))
			time.Sleep(3 * time.Second)
		}
	}},
	"every control node restarted in turn": {Traductores, func(_ *testing.T, w *World) {
		for i := range 4 {
			c := fmt.Sprintf("c%d", i+1)
			w.Terminate(c)
			time.Sleep(2 * time.Second)
			_ = w.Start(c)
			time.Sleep(5 * time.Second)
		}
	}},
	"every store restarted in turn": {Armor, func(_ *testing.T, w *World) {
		for i := range 3 {
			s := fmt.Sprintf("s%d", i+1)
			w.Terminate(s)
			time.Sleep(2 * time.Second)
			_ = w.Start(s)
			time.Sleep(8 * time.Second)
		}
	}},
	"the whole fleet loses power": {Armor, func(_ *testing.T, w *World) {
		for _, n := range w.Names {
			w.LosePower(n, w.Int(2) == 0)
		}
		time.Sleep(500 * time.Millisecond)
		_ = w.Start(w.Names...)
		settle(w)
	}},
	"packets are lost": {Traductores, func(_ *testing.T, w *World) {
		w.DropPackets(0.08)
		time.Sleep(20 * time.Second)
	}},
	"a store is slow": {Armor, func(_ *testing.T, w *World) {
		w.Slow(busiest(w), 300*time.Millisecond)
		time.Sleep(15 * time.Second)
	}},
	"a store's disk fills up": {Armor, func(_ *testing.T, w *World) {
		o := busiest(w)
		w.Machines[o].Disk.Fill(true)
		settle(w)
		w.Machines[o].Disk.Fill(false)
		time.Sleep(5 * time.Second)
	}},
	"control disks are cut from each other": {Armor, func(_ *testing.T, w *World) {
		w.Isolate("c1")
		time.Sleep(8 * time.Second)
		w.Heal()
		settle(w)
	}},
}

// hits tells what a script must have brought about for its run to show anything: owners that
// changed, or disks that came back as others.
var faultEffects = map[string]func(r history.Report, fresh int) bool{
	"owner killed mid-append and mid-batch":     leadersChanged,
	"owner paused past its licence and resumed": leadersChanged,
	"owner cut off and still writing":           leadersChanged,
	"store loses power with a torn tail":        leadersChanged,
	"every store restarted in turn":             leadersChanged,
	"the whole fleet loses power":               leadersChanged,
	"a store's disk fills up":                   leadersChanged,
	"store disk wiped":                          disksReplaced,
	"control disk wiped just after it promised": disksReplaced,
}

func leadersChanged(r history.Report, _ int) bool { return r.Judged[history.Fenced] }

func disksReplaced(_ history.Report, fresh int) bool { return fresh > 0 }

// incarnations lists the disks' names.
func (w *World) incarnations() map[string]bool {
	m := map[string]bool{}
	for _, n := range w.Names {
		if x := w.Machines[n].Node(); x != nil && x.Info().Incarnation != "" {
			m[x.Info().Incarnation] = true
		}
	}
	return m
}

var runsUnderRace = map[string]bool{"owner killed mid-append and mid-batch": true, "control disk wiped just after it promised": true, "store disk wiped": true}

func TestFaults(t *testing.T) {
	for n, s := range faultScripts {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			if raced && !runsUnderRace[n] {
				t.Skip("runs without the race detector, which slows simulated fleets too much")
			}
			fresh := 0
			r := runScenario(t, s.site, 7, s.site.Timing.Recovery, func(t *testing.T, w *World) {
				was := w.incarnations()
				s.script(t, w)
				for i := range w.incarnations() {
					if !was[i] {
						fresh++
					}
				}
			})
			assert.Assert(t, len(r.Covered) > 0, "void: nothing went wrong")
			if f := faultEffects[n]; f != nil {
				assert.Assert(t, f(r, fresh), "void: the fault named did not hit")
			}
		})
	}
}
