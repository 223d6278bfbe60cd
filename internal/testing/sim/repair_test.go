package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// busy is a site as the platform runs it, with all partitions, and a load near its usual one.
var busy = func() Site {
	s := Armor
	s.Control, s.Access, s.Routine, s.Urgent = 4, 2, 12, 4
	return s
}()

var busyLoad = Load{Callers: 44, Topics: 30, LiveTopics: 2, Leads: 2, Every: 200 * time.Millisecond}

// copied tells whether every partition has all its copies on disks of processes that run, and is
// settled.
func (w *World) copied() bool {
	ref := w.Machines["a1"].Node()
	l := ref.VoterSet().Layout
	for p := range l.PartitionCount() {
		x := ref.Store.Record(p)
		if !x.Recovered || len(x.Replicas) != l.ReplicationFactor() || x.Learner != nil {
			return false
		}
		for _, q := range x.Replicas {
			if n := w.Machines[q.Node].Node(); n == nil || n.Info().Incarnation != q.Incarnation {
				return false
			}
		}
	}
	return true
}

// A machine that comes back with an empty disk counts as lost for a short time only; then the next
// loss may come. All copies and its seat are back by then, under load.
func TestEmptyDisksAreFilledSoon(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, away := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			runFleet(t, busy, 50, func(t *testing.T, w *World) {
				_, err := w.Put("c1", busyLoad.Describe(0))
				assert.NilError(t, err)
				time.Sleep(w.Site.Timing.Spread)
				w.Callers(busyLoad)
				time.Sleep(40 * time.Second)
				for _, n := range []string{"s1", busiest(w), "c1"} {
					w.Wipe(n)
					time.Sleep(away)
					assert.NilError(t, w.Start(n))
					at := time.Now()
					assert.NilError(t, w.WaitUntil(10*time.Second, "all copies are whole", w.copied))
					copies := time.Since(at)
					assert.NilError(t, w.WaitUntil(10*time.Second, "all seats are taken", w.allNodesAreVoters))
					t.Logf("%s: copies whole %s after its return, seats after %s", n, copies, time.Since(at))
					assert.Check(t, time.Since(at) < 2500*time.Millisecond, n)
					time.Sleep(4 * time.Second)
				}
				w.Quiet(time.Second)
			})
		})
	}
}

// Emptying a store under load takes a few seconds: all its partitions move at once.
func TestDecommissioningIsSoonDone(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runFleet(t, busy, 51, func(t *testing.T, w *World) {
		_, err := w.Put("c1", busyLoad.Describe(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		w.Callers(busyLoad)
		time.Sleep(20 * time.Second)
		at := time.Now()
		assert.NilError(t, w.askDrain("s1"))
		assert.NilError(t, w.WaitUntil(20*time.Second, "s1 is empty", w.drained("s1")))
		t.Logf("empty after %s", time.Since(at))
		assert.Check(t, time.Since(at) < 4*time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.holdings("s1"), 0, "an emptied machine was given copies again")
		w.Quiet(time.Second)
	})
}

// A store that is down is asked to be emptied: nobody waits for it.
func TestDecommissioningAStoreThatIsDown(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 52, func(t *testing.T, w *World) {
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its copies", w.copied))
		w.Kill("s2")
		time.Sleep(4 * time.Second)
		at := time.Now()
		assert.NilError(t, w.askDrain("s2"))
		assert.NilError(t, w.WaitUntil(10*time.Second, "s2 is empty", w.drained("s2")))
		t.Logf("empty after %s", time.Since(at))
		assert.Equal(t, w.registered(t, "s2"), 0)
		assert.NilError(t, w.WaitUntil(w.Site.Timing.Spread, "everybody knows that s2 is empty", func() bool { return w.holdings("s2") == 0 }))
	})
}

// A store that joined late and holds nothing is emptied at once, and stays empty though copies have
// to go somewhere.
func TestEmptyStoreStaysEmpty(t *testing.T) {
	t.Parallel()
	s := Armor
	s.Stores = 4
	synctest.Test(t, func(t *testing.T) {
		w := New(s, 53, Logger())
		defer w.Close()
		for _, n := range w.Names {
			if n != "s4" {
				assert.NilError(t, w.Start(n))
			}
		}
		assert.NilError(t, w.WaitUntil(10*time.Second, "every partition has its copies", func() bool { return w.holdings("s1") > 0 && w.copied() }))
		assert.NilError(t, w.Start("s4"))
		time.Sleep(time.Second)
		assert.NilError(t, w.askDrain("s4"))
		assert.NilError(t, w.WaitUntil(w.Site.Timing.SessionTimeout(), "s4 is empty and the records are fenced", w.drained("s4")))
		w.Kill("s2")
		assert.NilError(t, w.WaitUntil(w.Site.Timing.ReplacementDelay()+10*time.Second, "the small disks have the copies", func() bool { return w.holdings("s2") == 0 && w.copied() }))
		assert.Equal(t, w.holdings("s4"), 0)
	})
}
