package controller

import (
	"fmt"

	"postjunction/internal/assignment"
	"postjunction/internal/settings"
)

// minGainPercent is the percentage of the highest load by which moving a leader must reduce it to
// be worth the failover.
const minGainPercent = 15

// balanceLoad moves the leader of one partition from the machine with the highest load to another
// one, if the gain is large enough and the last move is at least half a replacement delay ago.
func (c *Controller) balanceLoad(view *clusterView) {
	if view.now.Sub(c.balancedAt) < c.Timing.ReplacementDelay()/2 {
		return
	}
	source := view.mostLoaded()
	if source == nil {
		return
	}
	record, target, highest := c.bestMove(view, source)
	if source.load-highest < max(idleLoad, source.load*minGainPercent/100) {
		return
	}
	c.balancedAt = view.now
	reason := fmt.Sprintf("load was uneven: %s took %.1f a second, %s %.1f", source.Name, source.load, target.Name,
		target.load)
	c.propose(record, record.Next(target.Name, record.Replicas, reason, view.now))
}

// mostLoaded returns the machine with the highest load, or nil if there are no machines.
func (v *clusterView) mostLoaded() *machine {
	var most *machine
	for _, m := range v.machines {
		if most == nil || m.load > most.load || m.load == most.load && m.Name < most.Name {
			most = m
		}
	}
	return most
}

// bestMove returns the move of a partition from source to a target that results in the lowest load
// on the more loaded of the two, and that load. It returns the load of source if no move lowers it,
// or if some steady partition that source leads has a replica that can't lead: it must be possible
// to move the leader back.
func (c *Controller) bestMove(
	view *clusterView, source *machine,
) (best assignment.Record, target *machine, highest float64) {
	highest = source.load
	for partition := range len(c.records) {
		record := c.records[partition]
		if record.Leader != source.Name || !isSteady(record, view.replicationFactor) {
			continue
		}
		for _, replica := range record.Replicas {
			if !view.canLead(replica) {
				return assignment.Record{}, nil, source.load
			}
		}
		successor, ok := view.bestLeader(record, record.Leader)
		if !ok {
			continue
		}
		host := view.machines[successor.Node]
		if host.excluded || host.Disk != settings.DiskStorage {
			continue
		}
		load := view.partitionLoad(record)
		if after := max(source.load-load, host.load+load); after < highest {
			best, target, highest = record, host, after
		}
	}
	return best, target, highest
}

// isSteady reports whether no recovery and no change of replicas is in progress for a partition.
func isSteady(record assignment.Record, replicationFactor int) bool {
	return record.Recovered && record.Learner == nil && len(record.Replicas) == replicationFactor
}
