package controller

import (
	"context"
	"slices"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/event"
	"postjunction/internal/membership"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
)

// idleLoad is the load of a partition that accepts no messages, in messages per second. It is the
// cost of its heartbeats.
const idleLoad = 1

// machine is a live member with a disk, in the view of one round.
type machine struct {
	membership.Info
	// replicas counts the replicas and learners that records place on it. leads counts the
	// partitions that it leads.
	replicas, leads int
	// load is the load of the partitions that it leads, in messages per second.
	load float64
	// excluded says that the machine is being decommissioned.
	excluded bool
	slow     bool
	slowFor  time.Duration
}

// clusterView is the input of the decisions of one round.
type clusterView struct {
	now      time.Time
	machines map[string]*machine
	// storageMachines counts the storage machines that may have replicas.
	storageMachines int
	// replicationFactor is the number of replicas that a partition should have.
	replicationFactor int
	// learners counts the records with a learner.
	learners      int
	decommissions decommission.Orders
	// medianLatency is the median of the machines' heartbeat latencies.
	medianLatency time.Duration
}

// currentView reads the decommissioning orders by quorum and returns the view of a round.
func (c *Controller) currentView(ctx context.Context) (*clusterView, error) {
	now, replicationFactor := c.Clock.Now(), c.Store.VoterSet().Layout.ReplicationFactor()
	_, orders, err := c.readDecommissions(ctx)
	if err != nil {
		c.Log.Log(event.DecommissionFailed, "problem", err)
		return nil, err
	}
	view := &clusterView{now: now, machines: map[string]*machine{}, replicationFactor: replicationFactor,
		decommissions: orders}
	view.addMachines(c.Live())
	view.addRecords(c.records)
	c.observeSlow(view)
	c.observeMissing(view)
	c.observeEmpty(view)
	return view, nil
}

func (v *clusterView) addMachines(members []membership.Info) {
	for _, info := range members {
		if info.Disk == settings.DiskNone {
			continue
		}
		excluded := v.decommissions.Excludes(info.Name)
		v.machines[info.Name] = &machine{Info: info, excluded: excluded}
		if info.Disk == settings.DiskStorage && !excluded && info.DiskHealth == "" {
			v.storageMachines++
		}
	}
}

func (v *clusterView) addRecords(records map[int]assignment.Record) {
	for _, record := range records {
		for _, replica := range record.Replicas {
			m, ok := v.machines[replica.Node]
			if !ok {
				continue
			}
			m.replicas++
			if record.Leader == replica.Node {
				v.addLeader(replica.Node, v.partitionLoad(record))
			}
		}
		if record.Learner == nil {
			continue
		}
		v.learners++
		if m, ok := v.machines[record.Learner.Node]; ok {
			m.replicas++
		}
	}
}

// addLeader adds a partition and its load to the machine that leads it.
func (v *clusterView) addLeader(node string, load float64) {
	v.machines[node].leads++
	v.machines[node].load += load
}

// partitionLoad returns the load of a partition as its leader reports it, in messages per second.
func (v *clusterView) partitionLoad(record assignment.Record) float64 {
	if m, ok := v.machines[record.Leader]; ok {
		return idleLoad + m.Loads[record.Partition]
	}
	return idleLoad
}

// isUsable reports whether the disk of a replica is on a live machine and healthy.
func (v *clusterView) isUsable(replica assignment.Replica) bool {
	m, ok := v.machines[replica.Node]
	return ok && m.Incarnation == replica.Incarnation && m.DiskHealth == ""
}

// canLead reports whether a replica may become the leader.
func (v *clusterView) canLead(replica assignment.Replica) bool {
	if !v.isUsable(replica) {
		return false
	}
	m := v.machines[replica.Node]
	return m.Stage == membership.Serving && !m.Isolated && !m.slow
}

// canReceive reports whether a replica may be placed on a machine. It is false for nil.
func (v *clusterView) canReceive(host *machine) bool {
	if host == nil || host.excluded || host.DiskHealth != "" || host.Isolated || host.Stage != membership.Serving {
		return false
	}
	return host.Disk == settings.DiskStorage || v.storageMachines < v.replicationFactor
}

// observeMissing records since when machines with replicas have been missing, and since when live
// machines have been without a lease.
func (c *Controller) observeMissing(view *clusterView) {
	for name, m := range view.machines {
		delete(c.missingSince, name)
		if !m.Isolated {
			delete(c.leaselessSince, name)
		} else if c.leaselessSince[name].IsZero() {
			c.leaselessSince[name] = view.now
		}
	}
	for _, record := range c.records {
		for _, replica := range record.Replicas {
			if _, ok := view.machines[replica.Node]; !ok && c.missingSince[replica.Node].IsZero() {
				c.missingSince[replica.Node] = view.now
			}
		}
	}
	for name := range c.missingSince {
		if !c.isReplicaAnywhere(name) {
			delete(c.missingSince, name)
		}
	}
}

func (c *Controller) isReplicaAnywhere(node string) bool {
	for _, record := range c.records {
		if _, ok := record.Replica(node); ok {
			return true
		}
	}
	return false
}

// observeEmpty records the storage machines without replicas, which can replace a missing machine
// with all its replicas. It uses the result of observeMissing, which must be called before.
func (c *Controller) observeEmpty(view *clusterView) {
	for name := range c.emptySince {
		if m, ok := view.machines[name]; !ok || m.replicas > 0 && len(c.missingSince) == 0 {
			delete(c.emptySince, name)
		}
	}
	for name, m := range view.machines {
		_, known := c.emptySince[name]
		if !known && m.Disk == settings.DiskStorage && m.replicas == 0 && view.canReceive(m) {
			c.emptySince[name] = view.now
		}
	}
}

// observeSlow finds machines whose heartbeats take much longer than the median of the machines with
// a disk, and records for how long. A slow machine remains slow until its latency is less than half
// of the threshold.
func (c *Controller) observeSlow(view *clusterView) {
	var latencies []int64
	for _, m := range view.machines {
		latencies = append(latencies, m.LatencyMicros)
	}
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return
	}
	view.medianLatency = time.Duration(latencies[len(latencies)/2]) * time.Microsecond
	threshold := max(settings.SlowFactor*view.medianLatency, c.Timing.SlowThreshold())
	for name, m := range view.machines {
		latency := time.Duration(m.LatencyMicros) * time.Microsecond
		switch since := c.slowSince[name]; {
		case latency > threshold:
			if since.IsZero() {
				since = view.now
				c.slowSince[name] = view.now
			}
			m.slow, m.slowFor = true, view.now.Sub(since)
		case latency < threshold/2:
			delete(c.slowSince, name)
		default:
			m.slow = !since.IsZero()
		}
	}
}
