package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func spared(s Site, ns ...string) Site {
	s.Spares = ns
	return s
}

// wipedWhileAllLosePower has a machine lose its disk and all others their power in one instant;
// then all come back.
func wipedWhileAllLosePower(t *testing.T, w *World, n string) {
	t.Helper()
	w.Wipe(n)
	for _, k := range w.Present() {
		if k != n {
			w.LosePower(k, w.Int(2) == 0)
		}
	}
	time.Sleep(time.Second)
	assert.NilError(t, w.Start(w.Present()...))
}

// A store is taken away for good and another one stands in for it under another name and address;
// when it has stood there for four seconds another store loses its disk and all others their power.
// The copies of the first once waited for it for the keeping time, so that two of three were lost.
func TestReplacedStoreIsMadeGoodBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, s := range []Site{Armor, Traductores} {
		for _, how := range []string{"asked", "lost", "planned"} {
			for seed := range uint64(seeds(2)) {
				t.Run(fmt.Sprintf("%d stores, %s, seed %d", s.Stores, how, seed), func(t *testing.T) {
					t.Parallel()
					play(t, spared(s, "s2"), 700+seed, s.Timing.Recovery, func(t *testing.T, w *World) {
						if how == "planned" {
							assert.NilError(t, w.Add("s2b"))
							time.Sleep(w.span(10, 20))
						}
						w.Remove("s2", how != "lost")
						if how != "planned" {
							time.Sleep(1300 * time.Millisecond)
							assert.NilError(t, w.Add("s2b"))
						}
						time.Sleep(2 * time.Second)
						for p, r := range w.records() {
							if !r.Includes("s2b") || r.Includes("s2") {
								t.Logf("partition %d is not whole 2 s after the newcomer's start: %v", p, r.Replicas)
							}
						}
						time.Sleep(2 * time.Second)
						for p, r := range w.records() {
							assert.Assert(t, !r.Includes("s2"), "partition %d still names what is gone: %v", p, r.Replicas)
						}
						wipedWhileAllLosePower(t, w, "s1")
						time.Sleep(s.Timing.Recovery)
					})
				})
			}
		}
	}
}

// A store that restarts keeps its copies also while a store stands by that was added some time ago.
func TestRestartMovesNoCopiesToOneThatStandsBy(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(8)) {
		away := time.Second + time.Duration(seed%2)*1600*time.Millisecond
		play(t, spared(Armor, "s2"), 715+seed, Armor.Timing.Recovery, func(t *testing.T, w *World) {
			assert.NilError(t, w.Add("s2b"))
			time.Sleep(Armor.Timing.Recovery / 2)
			w.Kill("s3")
			time.Sleep(away)
			assert.NilError(t, w.Start("s3"))
			time.Sleep(Armor.Timing.Recovery / 2)
			for p, r := range w.records() {
				assert.Assert(t, r.Includes("s3") && !r.Includes("s2b"), "partition %d moved to %v", p, r.Replicas)
			}
		})
	}
}

// A store that restarts while no newcomer is there keeps its copies, and so does one that is back
// with its disk before a newcomer has caught up.
func TestRestartMovesNoCopies(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, s := range []Site{Armor, Traductores} {
		play(t, spared(s, "s2"), 710, s.Timing.Recovery, func(t *testing.T, w *World) {
			before := w.records()
			w.LosePower("s2", true)
			time.Sleep(s.Timing.Recovery / 3)
			assert.NilError(t, w.Start("s2"))
			time.Sleep(s.Timing.Recovery / 2)
			for p, r := range w.records() {
				for _, x := range before[p].Replicas {
					assert.Assert(t, r.Includes(x.Node), "partition %d moved from %v to %v", p, before[p].Replicas, r.Replicas)
				}
			}
		})
	}
}

func (w *World) seated(n string) []string {
	var ns []string
	for _, x := range w.Machines[n].Node().VoterSet().Voters {
		ns = append(ns, x.Node)
	}
	return ns
}

// A voter is taken away for good and another one stands in for it under another name and address;
// when it has stood there for four seconds another voter loses its disk and all others their power.
// The newcomer once got a seat beside the dead one, so that the majority of four could not be had
// again.
func TestReplacedVoterIsMadeGoodBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, s := range []Site{Armor, Traductores} {
		for _, how := range []string{"asked", "lost", "planned"} {
			for seed := range uint64(seeds(2)) {
				for _, out := range []string{"c1", "c2"} {
					t.Run(fmt.Sprintf("%s of %d voters, %s, seed %d", out, s.Control, how, seed), func(t *testing.T) {
						t.Parallel()
						play(t, spared(s, out), 720+seed, s.Timing.Recovery, func(t *testing.T, w *World) {
							if how == "planned" {
								assert.NilError(t, w.Add(out+"b"))
								time.Sleep(w.span(10, 20))
							}
							w.Remove(out, how != "lost")
							if how != "planned" {
								time.Sleep(1300 * time.Millisecond)
								assert.NilError(t, w.Add(out+"b"))
							}
							time.Sleep(4 * time.Second)
							ns := w.seated("c3")
							assert.Assert(t, len(ns) == s.Control && !slices.Contains(ns, out) && slices.Contains(ns, out+"b"), "the seats are %v", ns)
							wipedWhileAllLosePower(t, w, "c3")
							time.Sleep(s.Timing.Recovery)
							assert.NilError(t, w.readBack("a1", time.Now()))
							assert.Assert(t, len(w.seated("a1")) == s.Control, "the seats are %v", w.seated("a1"))
						})
					})
				}
			}
		}
	}
}

// A voter that is back to find its seat taken joins as a newcomer, and a restarting one keeps its
// seat beside another that is replaced.
func TestVotersThatAreBackAreVotersAgain(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(3)) {
		play(t, spared(Traductores, "c2"), 740+seed, Traductores.Timing.Recovery, func(t *testing.T, w *World) {
			w.LosePower("c2", true)
			time.Sleep(w.span(5, 15))
			assert.NilError(t, w.Add("c2b"))
			time.Sleep(w.span(0, 10))
			w.Terminate("c3")
			time.Sleep(time.Second)
			assert.NilError(t, w.Start("c3"))
			time.Sleep(w.span(10, 30))
			assert.NilError(t, w.Start("c2"))
			time.Sleep(w.Site.Timing.Recovery / 2)
			ns := w.seated("c1")
			for _, n := range []string{"c1", "c2", "c2b", "c3", "c4"} {
				assert.Assert(t, slices.Contains(ns, n), "the seats are %v", ns)
			}
			assert.Equal(t, len(ns), 5)
			w.Wipe("c1")
			time.Sleep(w.Site.Timing.Recovery / 6)
			assert.NilError(t, w.Start("c1"))
			time.Sleep(w.Site.Timing.Recovery / 2)
			assert.NilError(t, w.readBack("c1", time.Now()))
		})
	}
}
