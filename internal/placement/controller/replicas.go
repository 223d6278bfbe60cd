package controller

import (
	"fmt"
	"slices"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/settings"
)

// maxLearners is how many partitions may have a learner at the same time.
const maxLearners = 32

// placeFirst proposes the first replicas of a partition, spread over as many zones as possible. A
// new controller waits for storage machines that it may not know of yet.
func (c *Controller) placeFirst(view *clusterView, record assignment.Record) {
	if view.storageMachines < view.replicationFactor && c.isNew(view) {
		return
	}
	var replicas []assignment.Replica
	for len(replicas) < view.replicationFactor {
		m := view.candidate(replicas)
		if m == nil {
			return
		}
		replicas = append(replicas, assignment.Replica{Node: m.Name, Incarnation: m.Incarnation})
	}
	leader := slices.MinFunc(replicas, func(a, b assignment.Replica) int {
		return view.machines[a.Node].leads - view.machines[b.Node].leads
	})
	c.propose(record, record.Next(leader.Node, replicas, "first placement", view.now))
	for _, replica := range replicas {
		view.machines[replica.Node].replicas++
	}
	view.addLeader(leader.Node, idleLoad)
}

// candidate returns the machine for a replica besides others, or nil if there is none. It prefers a
// storage machine, then a zone with fewer of the others, then a machine with fewer replicas, then
// the lower name.
func (v *clusterView) candidate(others []assignment.Replica) *machine {
	zones, names := map[string]int{}, map[string]bool{}
	for _, replica := range others {
		names[replica.Node] = true
		if m, ok := v.machines[replica.Node]; ok {
			zones[m.Zone]++
		}
	}
	rank := func(m *machine) []int {
		smallDisk := 0
		if m.Disk != settings.DiskStorage {
			smallDisk = 1
		}
		return []int{smallDisk, zones[m.Zone], m.replicas}
	}
	var best *machine
	for _, m := range v.machines {
		if names[m.Name] || !v.canReceive(m) {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		order := slices.Compare(rank(m), rank(best))
		if order < 0 || order == 0 && m.Name < best.Name {
			best = m
		}
	}
	return best
}

// adjustReplicas makes one step towards the replicas that a partition should have. It drops a
// learner that is not needed or not usable, removes a surplus replica, or adds a learner that is to
// replace a replica or to be an additional one.
func (c *Controller) adjustReplicas(view *clusterView, record assignment.Record) {
	worst, reason := c.worstReplica(view, record)
	complete := worst < 0 && len(record.Replicas) >= view.replicationFactor
	switch {
	case record.Learner != nil:
		if complete || !view.canLearn(*record.Learner) {
			next := record
			next.Learner = nil
			c.propose(record, next)
		}
	case len(record.Replicas) > view.replicationFactor:
		if worst < 0 {
			worst, reason = view.surplusReplica(record), "one copy more than needed"
		}
		c.removeReplica(view, record, worst, reason)
	case !complete && view.learners < maxLearners:
		c.addLearner(view, record, worst)
	}
}

// canLearn reports whether a learner can still become a replica.
func (v *clusterView) canLearn(learner assignment.Replica) bool {
	return v.isUsable(learner) && !v.machines[learner.Node].excluded
}

// worstReplica returns the index of the replica to be replaced and the reason, or -1 if no replica
// has a fault. A replica that is not usable is replaced before one that is.
func (c *Controller) worstReplica(view *clusterView, record assignment.Record) (worst int, reason string) {
	worst = -1
	for i, replica := range record.Replicas {
		fault := c.replicaFault(view, record, replica)
		if fault != "" && (worst < 0 || !view.isUsable(replica)) {
			worst, reason = i, fault
		}
	}
	return worst, reason
}

// replicaFault returns why a replica is to be replaced, or "" if it is not.
func (c *Controller) replicaFault(view *clusterView, record assignment.Record, replica assignment.Replica) string {
	host, ok := view.machines[replica.Node]
	switch {
	case !ok && view.decommissions.Excludes(replica.Node):
		return "it is being emptied and gone"
	case !ok:
		wait := c.replacementWait(view, record, replica)
		if view.now.Sub(c.missingSince[replica.Node]) > wait {
			return "gone for longer than " + wait.String()
		}
		return ""
	case host.Incarnation != replica.Incarnation:
		return "its disk is another one"
	case host.excluded:
		return "it is being emptied"
	case host.DiskHealth != "":
		return "its disk fails"
	case host.Disk != settings.DiskStorage && view.storageMachines >= view.replicationFactor:
		return "storage machines suffice again"
	}
	return ""
}

// replacementWait returns for how long a missing machine may be absent before its replica is
// replaced. It is the shortest of the waits that apply:
//   - the absence wait, if an empty storage machine has appeared since the machine went missing, or
//     at most a session timeout before;
//   - half a session timeout, within which most restarts are over, if an empty storage machine was
//     there before that;
//   - the recovery time, if a storage machine with other replicas can receive the replica;
//   - the replacement delay, if only a small disk could replace it.
func (c *Controller) replacementWait(
	view *clusterView, record assignment.Record, replica assignment.Replica,
) time.Duration {
	wait := c.Timing.ReplacementDelay()
	for name, m := range view.machines {
		if _, ok := record.Replica(name); ok || m.Disk != settings.DiskStorage || !view.canReceive(m) {
			continue
		}
		switch emptySince, ok := c.emptySince[name]; {
		case !ok:
			wait = min(wait, c.Timing.Recovery)
		case emptySince.Before(c.missingSince[replica.Node].Add(-c.Timing.SessionTimeout())):
			wait = min(wait, c.Timing.SessionTimeout()/2)
		default:
			wait = min(wait, c.absenceWait(view))
		}
	}
	return wait
}

// absenceWait returns how long a machine must be missing before any action is taken. It is longer
// while the controller is new and may not know of the machine yet.
func (c *Controller) absenceWait(view *clusterView) time.Duration {
	if c.isNew(view) {
		return c.Timing.SessionTimeout() / 2
	}
	return c.Timing.PreviousLeaderWait()
}

// isNew reports whether the controller became active less than a session timeout ago. Live machines
// may still be missing from its view then.
func (c *Controller) isNew(view *clusterView) bool {
	return view.now.Sub(c.activeSince) < c.Timing.SessionTimeout()
}

// removeReplica proposes the record without a replica, with another leader if that replica leads.
func (c *Controller) removeReplica(view *clusterView, record assignment.Record, index int, reason string) {
	removed := record.Replicas[index]
	leader := record.Leader
	if removed.Node == leader {
		successor, ok := view.bestLeader(record, leader)
		if !ok {
			return
		}
		leader = successor.Node
	}
	remaining := slices.Delete(slices.Clone(record.Replicas), index, index+1)
	c.propose(record, record.Next(leader, remaining, fmt.Sprintf("removed %s: %s", removed.Node, reason), view.now))
}

// addLearner proposes a learner that is to replace a replica, or to be an additional replica if
// replaced is -1. A machine whose disk was replaced gets its own replica again.
func (c *Controller) addLearner(view *clusterView, record assignment.Record, replaced int) {
	others := slices.Clone(record.Replicas)
	var target *machine
	if replaced >= 0 {
		others = slices.Delete(others, replaced, replaced+1)
		old := record.Replicas[replaced]
		if current := view.machines[old.Node]; view.canReceive(current) && current.Incarnation != old.Incarnation {
			target = current
		}
	}
	if target == nil {
		target = view.candidate(others)
	}
	if target == nil {
		return
	}
	next := record
	next.Learner = &assignment.Replica{Node: target.Name, Incarnation: target.Incarnation}
	c.propose(record, next)
	target.replicas++
	view.learners++
}

// surplusReplica returns the index of the replica to remove if none has a fault. It prefers one
// whose machine is missing. Else it is the one on the machine with the most replicas, the leader
// excepted.
func (v *clusterView) surplusReplica(record assignment.Record) int {
	isMissing := func(replica assignment.Replica) bool { return v.machines[replica.Node] == nil }
	if index := slices.IndexFunc(record.Replicas, isMissing); index >= 0 {
		return index
	}
	surplus := 0
	for i, replica := range record.Replicas {
		if replica.Node == record.Leader {
			continue
		}
		chosen := record.Replicas[surplus].Node
		if chosen == record.Leader || v.machines[replica.Node].replicas > v.machines[chosen].replicas {
			surplus = i
		}
	}
	return surplus
}
