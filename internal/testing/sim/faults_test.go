package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/testing/history"
)

// settle waits until the fleet has recovered from a fault. The time is longer than the recovery
// bound of settings.DefaultTiming, 12 seconds, which every site here has.
func settle(w *World) { time.Sleep(14 * time.Second) }

// busiest returns the storage node that leads the most partitions.
func busiest(w *World) string {
	name, leaderships := "", -1
	for _, n := range w.Names {
		if process := w.Machines[n].Node(); process != nil && process.Info().Partitions > leaderships {
			name, leaderships = n, process.Info().Partitions
		}
	}
	return name
}

var faultScripts = map[string]struct {
	site   Site
	script func(t *testing.T, w *World)
}{
	"leader killed mid-append and mid-batch": {Armor, func(_ *testing.T, w *World) {
		for range 3 {
			leaderNode := busiest(w)
			w.Kill(leaderNode)
			settle(w)
			_ = w.Start(leaderNode)
			time.Sleep(3 * time.Second)
		}
	}},
	"leader paused past its lease and resumed": {Armor, func(_ *testing.T, w *World) {
		leaderNode := busiest(w)
		w.Freeze(leaderNode)
		time.Sleep(9 * time.Second)
		w.Thaw(leaderNode)
		settle(w)
	}},
	"leader cut off while it writes": {Armor, func(_ *testing.T, w *World) {
		leaderNode := busiest(w)
		w.Isolate(leaderNode)
		time.Sleep(11 * time.Second)
		w.Heal()
		settle(w)
	}},
	"one-way cut from the leader to control": {Armor, func(_ *testing.T, w *World) {
		leaderNode := busiest(w)
		for _, c := range []string{"c1", "c2", "c3"} {
			w.Cut(leaderNode, c)
		}
		time.Sleep(11 * time.Second)
		w.Heal()
		settle(w)
	}},
	"storage node loses power with a torn tail": {Armor, func(_ *testing.T, w *World) {
		for range 2 {
			leaderNode := busiest(w)
			w.LosePower(leaderNode, true)
			time.Sleep(time.Second)
			_ = w.Start(leaderNode)
			settle(w)
		}
	}},
	"storage node's disk wiped": {Armor, func(_ *testing.T, w *World) {
		leaderNode := busiest(w)
		w.Wipe(leaderNode)
		time.Sleep(2 * time.Second)
		_ = w.Start(leaderNode)
		time.Sleep(25 * time.Second)
	}},
	"control disk wiped just after it promised": {Armor, func(t *testing.T, w *World) {
		for i := range 2 {
			name := fmt.Sprintf("c%d", i+1)
			w.Wipe(name)
			time.Sleep(time.Second)
			_ = w.Start(name)
			_, _ = w.Put("a1", load.Configuration(uint64(i+1)))
			assert.NilError(t, w.WaitUntil(30*time.Second, "the wiped disk is a voter", func() bool {
				voterSet := w.Machines["a1"].Node().VoterSet()
				voter, ok := voterSet.Voter(name)
				return ok && voter.Incarnation == w.Machines[name].Node().Info().Incarnation && w.Machines[name].Node().Info().VoterSet == voterSet.Sequence
			}))
			time.Sleep(3 * time.Second)
		}
	}},
	"every control node restarted in turn": {Traductores, func(_ *testing.T, w *World) {
		for i := range 4 {
			name := fmt.Sprintf("c%d", i+1)
			w.Terminate(name)
			time.Sleep(2 * time.Second)
			_ = w.Start(name)
			time.Sleep(5 * time.Second)
		}
	}},
	"every storage node restarted in turn": {Armor, func(_ *testing.T, w *World) {
		for i := range 3 {
			name := fmt.Sprintf("s%d", i+1)
			w.Terminate(name)
			time.Sleep(2 * time.Second)
			_ = w.Start(name)
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
	"a storage node is slow": {Armor, func(_ *testing.T, w *World) {
		w.Slow(busiest(w), 300*time.Millisecond)
		time.Sleep(15 * time.Second)
	}},
	"a storage node's disk fills up": {Armor, func(_ *testing.T, w *World) {
		leaderNode := busiest(w)
		w.Machines[leaderNode].Disk.Fill(true)
		settle(w)
		w.Machines[leaderNode].Disk.Fill(false)
		time.Sleep(5 * time.Second)
	}},
	"control disks are cut from each other": {Armor, func(_ *testing.T, w *World) {
		w.Isolate("c1")
		time.Sleep(8 * time.Second)
		w.Heal()
		settle(w)
	}},
}

// faultEffects maps a script to a check that it had its effect: that leaders changed, or that disks
// came back empty. Without the effect, its run shows nothing.
var faultEffects = map[string]func(r history.Report, newDisks int) bool{
	"leader killed mid-append and mid-batch":    leadersChanged,
	"leader paused past its lease and resumed":  leadersChanged,
	"leader cut off while it writes":            leadersChanged,
	"storage node loses power with a torn tail": leadersChanged,
	"every storage node restarted in turn":      leadersChanged,
	"the whole fleet loses power":               leadersChanged,
	"a storage node's disk fills up":            leadersChanged,
	"storage node's disk wiped":                 disksReplaced,
	"control disk wiped just after it promised": disksReplaced,
}

func leadersChanged(report history.Report, _ int) bool { return report.Judged[history.Fenced] }

func disksReplaced(_ history.Report, newDisks int) bool { return newDisks > 0 }

// incarnations returns the incarnations of all disks.
func (w *World) incarnations() map[string]bool {
	found := map[string]bool{}
	for _, n := range w.Names {
		if process := w.Machines[n].Node(); process != nil && process.Info().Incarnation != "" {
			found[process.Info().Incarnation] = true
		}
	}
	return found
}

var runsUnderRace = map[string]bool{"leader killed mid-append and mid-batch": true, "control disk wiped just after it promised": true, "storage node's disk wiped": true}

func TestFaults(t *testing.T) {
	for name, scenario := range faultScripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if raced && !runsUnderRace[name] {
				t.Skip("runs without the race detector, which slows simulated fleets too much")
			}
			newDisks := 0
			report := runScenario(t, scenario.site, 7, scenario.site.Timing.Recovery, func(t *testing.T, w *World) {
				before := w.incarnations()
				scenario.script(t, w)
				for incarnation := range w.incarnations() {
					if !before[incarnation] {
						newDisks++
					}
				}
			})
			assert.Assert(t, len(report.Faults) > 0, "void: no fault had an effect")
			if hadEffect := faultEffects[name]; hadEffect != nil {
				assert.Assert(t, hadEffect(report, newDisks), "void: the named fault had no effect")
			}
		})
	}
}
