package controller

import (
	"fmt"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// replaceLeader proposes another leader where the present one can't go on, or should not. It
// reports whether the round is done with the partition.
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

// leaderFault returns why the leader of a partition is to be replaced, "" if it isn't. With no
// reason, wait reports that the leader is gone for so short a time that nothing is done about the
// partition.
//
// A slow leader, or one that is to be emptied, still serves: it is replaced only once it has
// recovered and where a better one is there.
func (c *Controller) leaderFault(view *clusterView, record assignment.Record) (reason string, wait bool) {
	replica, placed := record.Replica(record.Leader)
	m := view.machines[record.Leader]
	halfSession := c.Timing.SessionTimeout() / 2
	switch {
	case !placed || m != nil && m.Incarnation != replica.Incarnation:
		return "the owner's disk is another one", false
	case m == nil && view.now.Sub(c.goneSince[record.Leader]) < c.absenceWait(view):
		return "", true
	case m == nil:
		return "the owner is gone", false
	case m.DiskHealth != "":
		return "the owner's disk fails: " + m.DiskHealth, false
	case m.Stage != membership.Serving:
		return "the owner is stopping", false
	case m.Isolated && view.now.Sub(c.deafSince[record.Leader]) >= halfSession:
		return "the owner has no licence: it is heard but does not hear", false
	case m.slow && m.slowFor >= halfSession:
		if _, ok := view.bestLeader(record, record.Leader); !ok || !record.Recovered {
			return "", false
		}
		latency := time.Duration(m.LatencyMicros) * time.Microsecond
		return fmt.Sprintf("the owner is slow: its pulses take %s, %s are usual", latency, view.usualLatency), false
	case m.excluded && len(record.Replicas) <= view.replicationFactor:
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

// bestLeader returns the replica, other than one on a node, that should lead a partition.
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

// leadsBetterThan reports whether a machine should lead a partition rather than another one: one
// that stays, then one with a large disk, then the one with less load and fewer partitions to lead.
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
