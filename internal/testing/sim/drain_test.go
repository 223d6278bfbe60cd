package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/placement/decommission"
)

func (w *World) holdings(n string) int {
	k := 0
	ref := w.Machines["a1"].Node()
	for p := range ref.VoterSet().Layout.PartitionCount() {
		if ref.Store.Record(p).Includes(n) {
			k++
		}
	}
	return k
}

// registered counts the records that name a node, as a majority of the voters has them: news of
// them may come to a node later.
func (w *World) registered(t *testing.T, n string) int {
	t.Helper()
	k := 0
	ref := w.Machines["a1"].Node()
	for p := range ref.VoterSet().Layout.PartitionCount() {
		v, err := ref.Operators.Client.Read(w.ctx, assignment.Key(p))
		assert.NilError(t, err)
		r, err := assignment.Parse(v.Body, v.Version)
		assert.NilError(t, err)
		if r.Includes(n) {
			k++
		}
	}
	return k
}

func (w *World) askDrain(n string) error {
	_, err := w.Machines["a1"].Node().Operators.Decommission(w.ctx, n)
	return err
}

func (w *World) drained(n string) func() bool {
	return func() bool {
		v, err := w.Machines["a1"].Node().Operators.Client.Read(w.ctx, decommission.Key)
		if err != nil {
			return false
		}
		l, err := decommission.Parse(v.Body)
		return err == nil && l[n].Done
	}
}

// At a site of three stores one is emptied under load; small disks fill in, the holder of the duty
// dies on the way, a second machine with a disk is lost right after, and the emptied one returns
// without its disk.
func TestDecommission(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	play(t, Armor, 11, Armor.Timing.Recovery, func(t *testing.T, w *World) {
		assert.Assert(t, apierror.HasCode(w.askDrain("nobody"), apierror.UnknownNode))
		assert.Assert(t, apierror.HasCode(w.askDrain("a1"), apierror.UnknownNode))
		assert.Assert(t, apierror.HasCode(w.askDrain("c1"), apierror.AlreadyEmpty))
		assert.NilError(t, w.askDrain("s1"))
		assert.NilError(t, w.askDrain("s1"), "asking again is no fault")
		time.Sleep(700 * time.Millisecond)
		for i := range 3 {
			c := fmt.Sprintf("c%d", i+1)
			if w.Machines[c].Node().IsPlacementController() {
				w.Kill(c)
				time.Sleep(5 * time.Second)
				assert.NilError(t, w.Start(c))
				break
			}
		}
		assert.NilError(t, w.WaitUntil(60*time.Second, "s1 is empty", w.drained("s1")))
		assert.Equal(t, w.registered(t, "s1"), 0)
		for p := range w.Machines["a1"].Node().VoterSet().Layout.PartitionCount() {
			assert.Equal(t, len(w.Machines["a1"].Node().Store.Record(p).Replicas), 3)
		}
		assert.Assert(t, apierror.HasCode(w.askDrain("s1"), apierror.AlreadyEmpty))
		w.Wipe("s1")
		time.Sleep(2 * time.Second)
		w.Wipe("s2")
		time.Sleep(14 * time.Second)
		assert.NilError(t, w.Start("s2"))
		assert.NilError(t, w.Start("s1"))
		assert.NilError(t, w.WaitUntil(120*time.Second, "the stores hold everything again", func() bool {
			return w.whole() && w.holdings("s1") == w.Site.Routine+w.Site.Urgent && w.holdings("s2") == w.Site.Routine+w.Site.Urgent
		}))
	})
}
