package controller

import (
	"fmt"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// replaceLeader proposes another leader if the current one can't or should not continue. It reports
// whether nothing else is to be done for the partition in this round.
func (c *Controller) replaceLeader(view *clusterView, record assignment.Record) bool {
	reason, wait := c.leaderFault(view, record)
	if reason == "" {
		return wait
	}
	usable := 0
	for _, replica := range record.Replicas {
		if view.isUsable(replica) {
			usable++
		}
	}
	successor, ok := view.bestLeader(record, record.Leader)
	if !ok || usable < record.Majority() {
		return true
	}
	load := view.partitionLoad(record)
	c.propose(record, record.Next(successor.Node, record.Replicas, reason, view.now))
	view.addLeader(successor.Node, load)
	return true
}

// leaderFault returns why the leader of a partition is to be replaced, or "" if it is not. Without
// a reason, wait reports that the leader has been missing for so short a time that nothing is done
// for the partition.
//
// A slow leader, or one that is being decommissioned, still serves. It is replaced only if it has
// recovered and a better one is available.
func (c *Controller) leaderFault(view *clusterView, record assignment.Record) (reason string, wait bool) {
	replica, placed := record.Replica(record.Leader)
	leader := view.machines[record.Leader]
	halfSession := c.Timing.SessionTimeout() / 2
	switch {
	case !placed || leader != nil && leader.Incarnation != replica.Incarnation:
		return "the owner's disk is another one", false
	case leader == nil && view.now.Sub(c.missingSince[record.Leader]) < c.absenceWait(view):
		return "", true
	case leader == nil:
		return "the owner is gone", false
	case leader.DiskHealth != "":
		return "the owner's disk fails: " + leader.DiskHealth, false
	case leader.Stage != membership.Serving:
		return "the owner is stopping", false
	case leader.Isolated && view.now.Sub(c.leaselessSince[record.Leader]) >= halfSession:
		return "the owner has no licence: it is heard but does not hear", false
	case leader.slow && leader.slowFor >= halfSession:
		if _, ok := view.bestLeader(record, record.Leader); !ok || !record.Recovered {
			return "", false
		}
		latency := time.Duration(leader.LatencyMicros) * time.Microsecond
		return fmt.Sprintf("the owner is slow: its pulses take %s, %s are usual", latency, view.medianLatency), false
	case leader.excluded && len(record.Replicas) <= view.replicationFactor:
		successor, ok := view.bestLeader(record, record.Leader)
		if !ok || view.machines[successor.Node].excluded || !record.Recovered {
			return "", false
		}
		return "the owner is being emptied", false
	case !record.Recovered && view.now.Sub(c.epochSince[record.Partition]) > 2*c.Timing.TakeoverTimeout():
		return "the take-over did not finish in " + (2 * c.Timing.TakeoverTimeout()).String(), false
	}
	return "", false
}

// bestLeader returns the replica that should lead a partition, except the one on the node except.
func (v *clusterView) bestLeader(record assignment.Record, except string) (best assignment.Replica, found bool) {
	for _, replica := range record.Replicas {
		if replica.Node == except || !v.canLead(replica) {
			continue
		}
		if !found || v.machines[replica.Node].leadsBetterThan(v.machines[best.Node]) {
			best, found = replica, true
		}
	}
	return best, found
}

// leadsBetterThan reports whether a machine should lead a partition rather than another one. It
// prefers a machine that is not being decommissioned, then a storage machine, then lower load, then
// fewer led partitions, then the lower name.
func (m *machine) leadsBetterThan(other *machine) bool {
	if m.excluded != other.excluded {
		return other.excluded
	}
	if (m.Disk == settings.DiskStorage) != (other.Disk == settings.DiskStorage) {
		return m.Disk == settings.DiskStorage
	}
	if m.load != other.load {
		return m.load < other.load
	}
	if m.leads != other.leads {
		return m.leads < other.leads
	}
	return m.Name < other.Name
}
