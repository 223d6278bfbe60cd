package controller

import (
	"fmt"

	"postjunction/internal/assignment"
	"postjunction/internal/settings"
)

// minGainPercent is how much of the highest load a move of a leader must take off to be worth the
// failover.
const minGainPercent = 15

// balanceLoad moves the leader of one partition off the machine with the highest load, if that is
// worth it and the last move is long enough ago.
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

// mostLoaded returns the machine with the highest load, nil if there are no machines.
func (v *clusterView) mostLoaded() *machine {
	var most *machine
	for _, m := range v.machines {
		if most == nil || m.load > most.load || m.load == most.load && m.Name < most.Name {
			most = m
		}
	}
	return most
}

// bestMove returns the partition whose move to a target leaves the lowest load on the higher loaded
// of source and target, and that load; the load of source where no move lowers it. Nothing is moved
// while a replica of a partition that source leads is unfit to lead: the machines must be able to
// move back.
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

// isSteady reports whether nothing is under way with a partition.
func isSteady(record assignment.Record, replicationFactor int) bool {
	return record.Recovered && record.Learner == nil && len(record.Replicas) == replicationFactor
}
