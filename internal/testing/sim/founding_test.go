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

func seedSite(control, known int) Site {
	s := Armor
	s.Control, s.Access, s.BootstrapBy, s.ControlSeeds = control, 3, settings.BootstrapSeeds, known
	return s
}

// allNodesAreVoters tells whether every control node that runs has a seat with its present disk, and is
// under the newest voter set.
func (w *World) allNodesAreVoters() bool {
	var top uint64
	for _, n := range w.Names {
		if x := w.Machines[n].Node(); x != nil {
			top = max(top, x.VoterSet().Sequence)
		}
	}
	for _, n := range w.Names {
		m := w.Machines[n]
		x := m.Node()
		if x == nil || m.Opts.Disk != settings.DiskControl {
			continue
		}
		r := x.VoterSet()
		s, ok := r.Voter(n)
		if i := x.Info(); top == 0 || r.Sequence != top || !ok || s.Incarnation != i.Incarnation || i.VoterSet != top {
			return false
		}
	}
	return true
}

// At several sites only some voters, or none, are among the three seeds that all nodes get. The
// fleet is founded once, and all voters are seated soon.
func TestBootstrapThroughSeeds(t *testing.T) {
	t.Parallel()
	for _, control := range []int{3, 4, 8} {
		for known := range 4 {
			t.Run(fmt.Sprintf("%d of %d voters are seeds", known, control), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := New(seedSite(control, known), uint64(10*control+known), Logger())
					defer w.Close()
					assert.NilError(t, w.Start(w.Names...))
					at := time.Now()
					assert.NilError(t, w.WaitUntil(3*time.Second, "all voters are seated", w.allNodesAreVoters))
					t.Logf("all voters are voting after %s under voter set %d", time.Since(at), w.Machines["c1"].Node().VoterSet().Sequence)
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

// A seed that does not answer leaves the fleet unfounded; a second founding never comes about.
func TestBootstrapWaitsForAllSeeds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(seedSite(4, 1), 5, Logger())
		defer w.Close()
		assert.NilError(t, w.Start("c1", "c2", "c3", "c4", "s1", "a1"))
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.Machines["c1"].Node().VoterSet().Sequence, uint64(0))
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitUntil(3*time.Second, "all voters are seated", w.allNodesAreVoters))
	})
}

// The only founder loses its disk once the others are seated. It comes back as told not to found,
// and is seated again by them, though it is still the only seed with a disk.
func TestLoneBootstrapperReturnsEmpty(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(seedSite(4, 1), 6, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitUntil(3*time.Second, "all voters are seated", w.allNodesAreVoters))
		applyConfiguration(t, w)
		fleet := w.Machines["c2"].Node().VoterSet().Fleet
		w.Wipe("c1")
		time.Sleep(3 * time.Second)
		w.Machines["c1"].Opts.BootstrapBy = settings.BootstrapNever
		assert.NilError(t, w.Start("c1"))
		at := time.Now()
		assert.NilError(t, w.WaitUntil(2*time.Second, "all voters are seated again", w.allNodesAreVoters))
		t.Logf("seated again after %s", time.Since(at))
		assert.Equal(t, w.Machines["c1"].Node().VoterSet().Fleet, fleet)
	})
}

// Disks that came back empty everywhere found nothing.
func TestNoBootstrapOnEmptiedDisks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Armor
		s.BootstrapBy = settings.BootstrapNever
		w := New(s, 7, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		time.Sleep(20 * time.Second)
		for _, n := range w.Names {
			assert.Equal(t, w.Machines[n].Node().VoterSet().Sequence, uint64(0))
		}
		_, err := w.Put("c1", load.Describe(0))
		assert.Assert(t, apierror.HasCode(err, apierror.NotBootstrapped) || apierror.HasCode(err, apierror.NoLease) || apierror.HasCode(err, apierror.Unreachable), "%v", err)
	})
}

// A node whose first seeds are silent, behind a cut, finds the fleet as soon as one seed answers.
func TestSilentSeedsCostNoTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(seedSite(4, 1), 8, Logger())
		defer w.Close()
		assert.NilError(t, w.Start("c1", "c2", "c3", "c4", "s1", "s2", "s3", "a1", "a2"))
		assert.NilError(t, w.WaitUntil(3*time.Second, "all voters are seated", w.allNodesAreVoters))
		w.Isolate("c1")
		w.Isolate("a1")
		w.Machines["a3"].Opts.Seeds = []string{w.Machines["c1"].Opts.PeerListen, w.Machines["a1"].Opts.PeerListen, w.Machines["a2"].Opts.PeerListen}
		time.Sleep(5 * time.Second)
		assert.NilError(t, w.Start("a3"))
		at := time.Now()
		assert.NilError(t, w.WaitUntil(time.Second, "a3 has a session", func() bool { return w.Machines["a3"].Node().Operators.ControlNode() != "" }))
		t.Logf("a session after %s", time.Since(at))
	})
}
