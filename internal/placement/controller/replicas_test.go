package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

// The wait before a replica on a missing machine is replaced depends on which machines could
// replace it.
func TestReplacementWait_ByAvailableMachines(t *testing.T) {
	timing := settings.DefaultTiming
	for _, test := range []struct {
		name     string
		machines []string
		set      func(c *Controller, view *clusterView)
		want     time.Duration
	}{
		{"small disks only", []string{"s1", "s2"}, func(*Controller, *clusterView) {}, timing.ReplacementDelay()},
		{"a storage machine with other replicas", []string{"s1", "s2", "s4"},
			func(_ *Controller, view *clusterView) { view.machines["s4"].replicas = 1 }, timing.Recovery},
		{"a storage machine that appeared afterwards", []string{"s1", "s2", "s4"},
			func(c *Controller, view *clusterView) { c.emptySince["s4"] = view.now }, timing.PreviousLeaderWait()},
		{"a storage machine that was empty long before", []string{"s1", "s2", "s4"},
			func(c *Controller, view *clusterView) { c.emptySince["s4"] = view.now.Add(-time.Minute) },
			timing.SessionTimeout() / 2},
		{"one of each", []string{"s1", "s2", "s4", "s5"}, func(c *Controller, view *clusterView) {
			view.machines["s5"].replicas, c.emptySince["s4"] = 1, view.now
		}, timing.PreviousLeaderWait()},
		{"a storage machine that appeared afterwards, with a new controller", []string{"s1", "s2", "s4"},
			func(c *Controller, view *clusterView) {
				c.emptySince["s4"], c.activeSince = view.now, view.now
			}, timing.SessionTimeout() / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, view, record := newFixture(test.machines...)
			c.missingSince["s3"] = view.now
			test.set(c, view)
			replica, _ := record.Replica("s3")
			assert.Equal(t, c.replacementWait(view, record, replica), test.want)
			c.missingSince["s3"] = view.now.Add(-test.want)
			assert.Equal(t, c.replicaFault(view, record, replica), "")
			c.missingSince["s3"] = view.now.Add(-test.want - 1)
			assert.Equal(t, c.replicaFault(view, record, replica), "gone for longer than "+test.want.String())
		})
	}
}
