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

func (w *World) replicaCount(name string) int {
	count := 0
	observer := w.Machines["a1"].Node()
	for p := range observer.VoterSet().Layout.PartitionCount() {
		if observer.Store.Record(p).Includes(name) {
			count++
		}
	}
	return count
}

// committedReplicaCount counts the records that name a node. It reads them from a majority of the
// voters, since other nodes may learn of a change later.
func (w *World) committedReplicaCount(t *testing.T, name string) int {
	t.Helper()
	count := 0
	observer := w.Machines["a1"].Node()
	for p := range observer.VoterSet().Layout.PartitionCount() {
		value, err := observer.Operators.Client.Read(w.ctx, assignment.Key(p))
		assert.NilError(t, err)
		record, err := assignment.Parse(value.Body, value.Version)
		assert.NilError(t, err)
		if record.Includes(name) {
			count++
		}
	}
	return count
}

func (w *World) startDecommission(name string) error {
	_, err := w.Machines["a1"].Node().Operators.Decommission(w.ctx, name)
	return err
}

func (w *World) decommissionDone(name string) func() bool {
	return func() bool {
		value, err := w.Machines["a1"].Node().Operators.Client.Read(w.ctx, decommission.Key)
		if err != nil {
			return false
		}
		orders, err := decommission.Parse(value.Body)
		return err == nil && orders[name].Done
	}
}

// At a site of three storage nodes one is decommissioned under load. Smaller disks take its
// replicas, and the placement controller is killed meanwhile. Right after, a second machine with a
// disk is lost, and the decommissioned one returns without its disk.
func TestDecommission(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, Armor, 11, Armor.Timing.Recovery, func(t *testing.T, w *World) {
		assert.Assert(t, apierror.HasCode(w.startDecommission("unknown"), apierror.UnknownNode))
		assert.Assert(t, apierror.HasCode(w.startDecommission("a1"), apierror.UnknownNode))
		assert.Assert(t, apierror.HasCode(w.startDecommission("c1"), apierror.AlreadyEmpty))
		assert.NilError(t, w.startDecommission("s1"))
		assert.NilError(t, w.startDecommission("s1"), "a repeated order is not an error")
		time.Sleep(700 * time.Millisecond)
		for i := range 3 {
			control := fmt.Sprintf("c%d", i+1)
			if w.Machines[control].Node().IsPlacementController() {
				w.Kill(control)
				time.Sleep(5 * time.Second)
				assert.NilError(t, w.Start(control))
				break
			}
		}
		assert.NilError(t, w.WaitUntil(60*time.Second, "s1 is empty", w.decommissionDone("s1")))
		assert.Equal(t, w.committedReplicaCount(t, "s1"), 0)
		for p := range w.Machines["a1"].Node().VoterSet().Layout.PartitionCount() {
			assert.Equal(t, len(w.Machines["a1"].Node().Store.Record(p).Replicas), 3)
		}
		assert.Assert(t, apierror.HasCode(w.startDecommission("s1"), apierror.AlreadyEmpty))
		w.Wipe("s1")
		time.Sleep(2 * time.Second)
		w.Wipe("s2")
		time.Sleep(14 * time.Second)
		assert.NilError(t, w.Start("s2"))
		assert.NilError(t, w.Start("s1"))
		assert.NilError(t, w.WaitUntil(120*time.Second, "the storage nodes have all replicas again", func() bool {
			return w.isFullyReplicated() && w.replicaCount("s1") == w.Site.Routine+w.Site.Urgent && w.replicaCount("s2") == w.Site.Routine+w.Site.Urgent
		}))
	})
}
