package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withSpares returns a site in which each of the named machines has a spare, whose name ends in b.
func withSpares(site Site, names ...string) Site {
	site.Spares = names
	return site
}

// wipeWhileOthersLosePower wipes the disk of one machine while all others lose power in one
// instant. Then all come back.
func wipeWhileOthersLosePower(t *testing.T, w *World, wiped string) {
	t.Helper()
	w.Wipe(wiped)
	for _, node := range w.Present() {
		if node != wiped {
			w.LosePower(node, w.Int(2) == 0)
		}
	}
	time.Sleep(time.Second)
	assert.NilError(t, w.Start(w.Present()...))
}

// A storage node is removed for good and another one replaces it under another name and address.
// Four seconds later another storage node loses its disk and all others their power. Guards against
// partitions that wait for the removed node's return for the retention time, and so lose two of
// their three replicas.
func TestReplacedStorageNodeIsMadeGoodBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, site := range []Site{Armor, Traductores} {
		for _, how := range []string{"asked", "lost", "planned"} {
			for seed := range uint64(seeds(2)) {
				t.Run(fmt.Sprintf("%d storage nodes, %s, seed %d", site.Storage, how, seed), func(t *testing.T) {
					t.Parallel()
					runScenario(t, withSpares(site, "s2"), 700+seed, site.Timing.Recovery, func(t *testing.T, w *World) {
						if how == "planned" {
							assert.NilError(t, w.Add("s2b"))
							time.Sleep(w.randomTenths(10, 20))
						}
						w.Remove("s2", how != "lost")
						if how != "planned" {
							time.Sleep(1300 * time.Millisecond)
							assert.NilError(t, w.Add("s2b"))
						}
						time.Sleep(2 * time.Second)
						for partitionID, record := range w.records() {
							if !record.Includes("s2b") || record.Includes("s2") {
								t.Logf("partition %d is not fully replicated 2 s after the new node's start: %v", partitionID, record.Replicas)
							}
						}
						time.Sleep(2 * time.Second)
						for partitionID, record := range w.records() {
							assert.Assert(t, !record.Includes("s2"), "partition %d still names the removed node: %v", partitionID, record.Replicas)
						}
						wipeWhileOthersLosePower(t, w, "s1")
						time.Sleep(site.Timing.Recovery)
					})
				})
			}
		}
	}
}

// A storage node that restarts retains its replicas, also while a spare is present that was added
// some time ago.
func TestRestartMovesNoReplicasToASpareNode(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(8)) {
		downtime := time.Second + time.Duration(seed%2)*1600*time.Millisecond
		runScenario(t, withSpares(Armor, "s2"), 715+seed, Armor.Timing.Recovery, func(t *testing.T, w *World) {
			assert.NilError(t, w.Add("s2b"))
			time.Sleep(Armor.Timing.Recovery / 2)
			w.Kill("s3")
			time.Sleep(downtime)
			assert.NilError(t, w.Start("s3"))
			time.Sleep(Armor.Timing.Recovery / 2)
			for partitionID, record := range w.records() {
				assert.Assert(t, record.Includes("s3") && !record.Includes("s2b"), "partition %d moved to %v", partitionID, record.Replicas)
			}
		})
	}
}

// A storage node that loses power and restarts with its disk, while no new node is present, retains
// its replicas.
func TestRestartMovesNoReplicas(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, site := range []Site{Armor, Traductores} {
		runScenario(t, withSpares(site, "s2"), 710, site.Timing.Recovery, func(t *testing.T, w *World) {
			before := w.records()
			w.LosePower("s2", true)
			time.Sleep(site.Timing.Recovery / 3)
			assert.NilError(t, w.Start("s2"))
			time.Sleep(site.Timing.Recovery / 2)
			for partitionID, record := range w.records() {
				for _, replica := range before[partitionID].Replicas {
					assert.Assert(t, record.Includes(replica.Node), "partition %d moved from %v to %v", partitionID, before[partitionID].Replicas, record.Replicas)
				}
			}
		})
	}
}

func (w *World) voterNames(node string) []string {
	var names []string
	for _, voter := range w.Machines[node].Node().VoterSet().Voters {
		names = append(names, voter.Node)
	}
	return names
}

// A voter is removed for good and another one replaces it under another name and address. Four
// seconds later another voter loses its disk and all others their power. Guards against a new node
// that becomes a voter beside the removed one, so that the next loss leaves no majority of four.
func TestReplacedVoterIsMadeGoodBeforeTheNextLoss(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, site := range []Site{Armor, Traductores} {
		for _, how := range []string{"asked", "lost", "planned"} {
			for seed := range uint64(seeds(2)) {
				for _, removed := range []string{"c1", "c2"} {
					t.Run(fmt.Sprintf("%s of %d voters, %s, seed %d", removed, site.Control, how, seed), func(t *testing.T) {
						t.Parallel()
						runScenario(t, withSpares(site, removed), 720+seed, site.Timing.Recovery, func(t *testing.T, w *World) {
							if how == "planned" {
								assert.NilError(t, w.Add(removed+"b"))
								time.Sleep(w.randomTenths(10, 20))
							}
							w.Remove(removed, how != "lost")
							if how != "planned" {
								time.Sleep(1300 * time.Millisecond)
								assert.NilError(t, w.Add(removed+"b"))
							}
							time.Sleep(4 * time.Second)
							voters := w.voterNames("c3")
							assert.Assert(t, len(voters) == site.Control && !slices.Contains(voters, removed) && slices.Contains(voters, removed+"b"), "the voters are %v", voters)
							wipeWhileOthersLosePower(t, w, "c3")
							time.Sleep(site.Timing.Recovery)
							assert.NilError(t, w.readBackConfiguration("a1", time.Now()))
							assert.Assert(t, len(w.voterNames("a1")) == site.Control, "the voters are %v", w.voterNames("a1"))
						})
					})
				}
			}
		}
	}
}

// A voter that comes back after it was replaced joins as a new node. A voter that restarts while
// another one is replaced remains a voter.
func TestVotersThatAreBackAreVotersAgain(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(3)) {
		runScenario(t, withSpares(Traductores, "c2"), 740+seed, Traductores.Timing.Recovery, func(t *testing.T, w *World) {
			w.LosePower("c2", true)
			time.Sleep(w.randomTenths(5, 15))
			assert.NilError(t, w.Add("c2b"))
			time.Sleep(w.randomTenths(0, 10))
			w.Terminate("c3")
			time.Sleep(time.Second)
			assert.NilError(t, w.Start("c3"))
			time.Sleep(w.randomTenths(10, 30))
			assert.NilError(t, w.Start("c2"))
			time.Sleep(w.Site.Timing.Recovery / 2)
			voters := w.voterNames("c1")
			for _, node := range []string{"c1", "c2", "c2b", "c3", "c4"} {
				assert.Assert(t, slices.Contains(voters, node), "the voters are %v", voters)
			}
			assert.Equal(t, len(voters), 5)
			w.Wipe("c1")
			time.Sleep(w.Site.Timing.Recovery / 6)
			assert.NilError(t, w.Start("c1"))
			time.Sleep(w.Site.Timing.Recovery / 2)
			assert.NilError(t, w.readBackConfiguration("c1", time.Now()))
		})
	}
}
