package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
)

func seedSite(control, controlSeeds int) Site {
	site := Armor
	site.Control, site.Access, site.BootstrapBy, site.ControlSeeds = control, 3, settings.BootstrapSeeds, controlSeeds
	return site
}

// allNodesAreVoters reports whether every running control node is a voter with its present disk,
// and uses the newest voter set.
func (w *World) allNodesAreVoters() bool {
	var newest uint64
	for _, n := range w.Names {
		if process := w.Machines[n].Node(); process != nil {
			newest = max(newest, process.VoterSet().Sequence)
		}
	}
	for _, name := range w.Names {
		m := w.Machines[name]
		process := m.Node()
		if process == nil || m.Opts.Disk != settings.DiskControl {
			continue
		}
		voters := process.VoterSet()
		voter, ok := voters.Voter(name)
		if info := process.Info(); newest == 0 || voters.Sequence != newest || !ok || voter.Incarnation != info.Incarnation || info.VoterSet != newest {
			return false
		}
	}
	return true
}

// At several sites only some voters, or none, are among the three seeds that all nodes get. The
// fleet is bootstrapped once, and all control nodes are voters soon.
func TestBootstrapThroughSeeds(t *testing.T) {
	t.Parallel()
	for _, control := range []int{3, 4, 8} {
		for controlSeeds := range 4 {
			t.Run(fmt.Sprintf("%d of %d voters are seeds", controlSeeds, control), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := New(seedSite(control, controlSeeds), uint64(10*control+controlSeeds), Logger())
					defer w.Close()
					assert.NilError(t, w.Start(w.Names...))
					startedAt := time.Now()
					assert.NilError(t, w.WaitUntil(3*time.Second, "all control nodes are voters", w.allNodesAreVoters))
					t.Logf("all control nodes are voters after %s under voter set %d", time.Since(startedAt), w.Machines["c1"].Node().VoterSet().Sequence)
					assert.NilError(t, w.WaitReady(3*time.Second))
					fleets := map[string]bool{}
					for _, n := range w.Names {
						fleets[w.Machines[n].Node().VoterSet().Fleet] = true
					}
					assert.Equal(t, len(fleets), 1)
					applyConfiguration(t, w)
				})
			})
		}
	}
}

// A seed that does not answer keeps the fleet from bootstrapping. There is never a second
// bootstrap.
func TestBootstrapWaitsForAllSeeds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(seedSite(4, 1), 5, Logger())
		defer w.Close()
		assert.NilError(t, w.Start("c1", "c2", "c3", "c4", "s1", "a1"))
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.Machines["c1"].Node().VoterSet().Sequence, uint64(0))
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitUntil(3*time.Second, "all control nodes are voters", w.allNodesAreVoters))
	})
}

// The only bootstrapping node loses its disk once the others are voters. It comes back with
// bootstrapping disabled. The others make it a voter again, though it is the only seed with a disk.
func TestLoneBootstrapperReturnsEmpty(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(seedSite(4, 1), 6, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitUntil(3*time.Second, "all control nodes are voters", w.allNodesAreVoters))
		applyConfiguration(t, w)
		fleet := w.Machines["c2"].Node().VoterSet().Fleet
		w.Wipe("c1")
		time.Sleep(3 * time.Second)
		w.Machines["c1"].Opts.BootstrapBy = settings.BootstrapNever
		assert.NilError(t, w.Start("c1"))
		startedAt := time.Now()
		assert.NilError(t, w.WaitUntil(2*time.Second, "all control nodes are voters again", w.allNodesAreVoters))
		t.Logf("a voter again after %s", time.Since(startedAt))
		assert.Equal(t, w.Machines["c1"].Node().VoterSet().Fleet, fleet)
	})
}

// Nodes whose disks all came back empty bootstrap no fleet.
func TestNoBootstrapOnEmptiedDisks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		site := Armor
		site.BootstrapBy = settings.BootstrapNever
		w := New(site, 7, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		time.Sleep(20 * time.Second)
		for _, n := range w.Names {
			assert.Equal(t, w.Machines[n].Node().VoterSet().Sequence, uint64(0))
		}
		_, err := w.Put("c1", load.Configuration(0))
		assert.Assert(t, apierror.HasCode(err, apierror.NotBootstrapped) || apierror.HasCode(err, apierror.NoLease) || apierror.HasCode(err, apierror.Unreachable), "%v", err)
	})
}

// A node that is cut off from its first seeds finds the fleet as soon as another seed answers.
func TestSilentSeedsCostNoTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(seedSite(4, 1), 8, Logger())
		defer w.Close()
		assert.NilError(t, w.Start("c1", "c2", "c3", "c4", "s1", "s2", "s3", "a1", "a2"))
		assert.NilError(t, w.WaitUntil(3*time.Second, "all control nodes are voters", w.allNodesAreVoters))
		w.Isolate("c1")
		w.Isolate("a1")
		w.Machines["a3"].Opts.Seeds = []string{w.Machines["c1"].Opts.PeerListen, w.Machines["a1"].Opts.PeerListen, w.Machines["a2"].Opts.PeerListen}
		time.Sleep(5 * time.Second)
		assert.NilError(t, w.Start("a3"))
		startedAt := time.Now()
		assert.NilError(t, w.WaitUntil(time.Second, "a3 has a session", func() bool { return w.Machines["a3"].Node().Operators.ControlNode() != "" }))
		t.Logf("a session after %s", time.Since(startedAt))
	})
}
