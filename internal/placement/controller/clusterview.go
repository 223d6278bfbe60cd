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

// idleLoad is the load of a partition that accepts nothing, in messages a second: the cost of its
// heartbeats.
const idleLoad = 1

// machine is a live member with a disk, as a round sees it.
type machine struct {
	membership.Info
	// replicas counts the replicas and learners that records place on it, leads the partitions it
	// leads.
	replicas, leads int
	// load is that of the partitions it leads, in messages a second.
	load float64
	// excluded reports that it is to be emptied.
	excluded bool
	slow     bool
	slowFor  time.Duration
}

// clusterView is what the decisions of one round rest on.
type clusterView struct {
	now      time.Time
	machines map[string]*machine
	// storageMachines counts the machines with large disks that may hold replicas.
	storageMachines int
	// replicationFactor is how many disks are to hold a partition.
	replicationFactor int
	// learners counts the records with a learner.
	learners      int
	decommissions decommission.Orders
	// usualLatency is the median of the machines' heartbeat latencies.
	usualLatency time.Duration
}

// currentView reads the decommissionings by quorum and makes the view of a round.
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
	c.observeGone(view)
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

// addLeader counts a partition with some load to the machine that leads it.
func (v *clusterView) addLeader(node string, load float64) {
	v.machines[node].leads++
	v.machines[node].load += load
}

// partitionLoad returns the load of a partition, in messages a second, as its leader reports it.
func (v *clusterView) partitionLoad(record assignment.Record) float64 {
	if m, ok := v.machines[record.Leader]; ok {
		return idleLoad + m.Loads[record.Partition]
	}
	return idleLoad
}

// isUsable reports whether the disk of a replica is there and healthy.
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

// canReceive reports whether a machine may be given a replica; nil can't.
func (v *clusterView) canReceive(m *machine) bool {
	if m == nil || m.excluded || m.DiskHealth != "" || m.Isolated || m.Stage != membership.Serving {
		return false
	}
	return m.Disk == settings.DiskStorage || v.storageMachines < v.replicationFactor
}

// observeGone notes since when machines that records name are gone, and since when live ones are
// deaf.
func (c *Controller) observeGone(view *clusterView) {
	for name, m := range view.machines {
		delete(c.goneSince, name)
		if !m.Isolated {
			delete(c.deafSince, name)
		} else if c.deafSince[name].IsZero() {
			c.deafSince[name] = view.now
		}
	}
	for _, record := range c.records {
		for _, replica := range record.Replicas {
			if _, ok := view.machines[replica.Node]; !ok && c.goneSince[replica.Node].IsZero() {
				c.goneSince[replica.Node] = view.now
			}
		}
	}
	for name := range c.goneSince {
		if !c.isReplicaAnywhere(name) {
			delete(c.goneSince, name)
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

// observeEmpty notes the storage machines that hold nothing: they replace a machine that is gone,
// with all its replicas. It rests on what observeGone noted.
func (c *Controller) observeEmpty(view *clusterView) {
	for name := range c.emptySince {
		if m, ok := view.machines[name]; !ok || m.replicas > 0 && len(c.goneSince) == 0 {
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

// observeSlow finds machines whose heartbeats take much longer than is usual among those with a
// disk, and for how long. One that was slow stays so until it takes less than half of what makes it
// slow.
func (c *Controller) observeSlow(view *clusterView) {
	var latencies []int64
	for _, m := range view.machines {
		latencies = append(latencies, m.LatencyMicros)
	}
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return
	}
	view.usualLatency = time.Duration(latencies[len(latencies)/2]) * time.Microsecond
	threshold := max(settings.SlowFactor*view.usualLatency, c.Timing.SlowThreshold())
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
