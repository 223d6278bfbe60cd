package controller

import (
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/membership"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
)

// newFixture returns a controller that became active an hour ago, its view and the record of
// partition 1. The named machines are live, each in a zone of its own. The replicas of partition 1
// are on s1, s2 and s3, and s1 is its leader. Other machines have no replica.
func newFixture(names ...string) (*Controller, *clusterView, assignment.Record) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	longAgo := now.Add(-time.Hour)
	c := &Controller{
		Timing: settings.DefaultTiming, activeSince: longAgo, balancedAt: longAgo,
		records: map[int]assignment.Record{}, observations: newObservations(),
	}
	view := &clusterView{
		now: now, machines: map[string]*machine{}, replicationFactor: 3, decommissions: decommission.Orders{},
	}
	record := assignment.Record{Partition: 1, Epoch: 4, Leader: "s1", Recovered: true}
	for _, name := range []string{"s1", "s2", "s3"} {
		record.Replicas = append(record.Replicas, assignment.Replica{Node: name, Incarnation: "disk-" + name})
	}
	for _, name := range names {
		view.machines[name] = &machine{Info: membership.Info{
			Name: name, Zone: "z" + name[1:], Disk: settings.DiskStorage, Incarnation: "disk-" + name,
			Stage: membership.Serving,
		}}
		view.storageMachines++
		if record.Includes(name) {
			view.machines[name].replicas = 1
		}
	}
	c.records[1] = record
	return c, view, record
}
