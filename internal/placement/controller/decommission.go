package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/quorum"
)

// readDecommissions reads the decommissioning orders by quorum.
func (c *Controller) readDecommissions(ctx context.Context) (acceptor.Value, decommission.Orders, error) {
	value, err := c.Client.Read(ctx, decommission.Key)
	if err != nil {
		return value, nil, err
	}
	orders, err := decommission.Parse(value.Body)
	return value, orders, err
}

// updateDecommissions records the progress of each order, and which emptied machines serve again.
func (c *Controller) updateDecommissions(ctx context.Context, view *clusterView) {
	if len(view.decommissions) == 0 {
		return
	}
	value, orders, err := c.readDecommissions(ctx)
	if err != nil {
		c.Log.Log(event.DecommissionFailed, "problem", err)
		return
	}
	previous := maps.Clone(orders)
	c.updateProgress(ctx, view, orders)
	for node, order := range orders {
		orders[node] = c.updateReturned(view, order)
	}
	if maps.Equal(previous, orders) {
		return
	}
	_, err = c.Client.Change(ctx, decommission.Key, value.Version, registerclient.NewChangeID(), orders.Marshal())
	if err != nil {
		c.Log.Log(event.DecommissionFailed, "problem", err)
		return
	}
	for node, order := range orders {
		if order.Done && !previous[node].Done {
			c.Log.Log(event.DecommissionDone, "node", node)
		}
		if order.Returned && !previous[node].Returned {
			c.Log.Log(event.DecommissionReturned, "node", node)
		}
	}
}

// updateProgress counts the records that still name each machine. An order is done once no record
// names its machine and all records are fenced.
func (c *Controller) updateProgress(ctx context.Context, view *clusterView, orders decommission.Orders) {
	fenced := false
	for _, order := range orders.Sorted() {
		if order.Done {
			continue
		}
		order.RemainingRecords = c.countRecordsOn(order.Node)
		if m, live := view.machines[order.Node]; live {
			order.BootID, order.Disk = m.BootID, m.Incarnation
		}
		if order.RemainingRecords == 0 {
			fenced = fenced || c.fenceRecords(ctx)
			order.RemainingRecords = c.countRecordsOn(order.Node)
			order.Done = fenced && order.RemainingRecords == 0
		}
		orders[order.Node] = order
	}
}

// countRecordsOn counts the records that name a machine.
func (c *Controller) countRecordsOn(node string) int {
	count := 0
	for _, record := range c.records {
		if record.Includes(node) {
			count++
		}
	}
	return count
}

// fenceRecords writes every record again without a change, and reports whether all were written. An
// earlier controller may have decided on a change before it could know of an order. That change
// builds on a version that is stale now, so it is rejected.
func (c *Controller) fenceRecords(ctx context.Context) bool {
	records := slices.Collect(maps.Values(c.records))
	complete := true
	for _, result := range quorum.Gather(ctx, records, c.rewrite, nil) {
		if result.Err != nil {
			complete = false
			c.reloadRecord(ctx, result.Target.Partition)
			continue
		}
		c.applyRecord(result.Value)
	}
	return complete
}

// rewrite writes a record without a change and returns it with its new version.
func (c *Controller) rewrite(ctx context.Context, record assignment.Record) (assignment.Record, error) {
	key := assignment.Key(record.Partition)
	value, err := c.Client.Change(ctx, key, record.Version, registerclient.NewChangeID(), record.Marshal())
	if err != nil {
		return assignment.Record{}, err
	}
	record.Version = value.Version
	return record, nil
}

// updateReturned returns the order of a machine after this round. An emptied machine serves again
// if it comes back after it was absent for the replacement delay. It also serves again once it has
// been live with another disk for the replacement delay. After a mere restart it remains
// decommissioned.
func (c *Controller) updateReturned(view *clusterView, order decommission.Order) decommission.Order {
	host, live := view.machines[order.Node]
	awaitsReturn := order.Done && !order.Returned
	if !awaitsReturn || live {
		delete(c.departedSince, order.Node)
	}
	hasNewDisk := live && order.Done && order.Disk != "" && host.Incarnation != order.Disk
	if !hasNewDisk {
		delete(c.newDiskSince, order.Node)
	}
	switch {
	case !awaitsReturn:
	case live && order.Departed:
		order.Returned = true
	case hasNewDisk && c.hasLasted(view, c.newDiskSince, order.Node):
		order.Returned = true
	case !live && c.hasLasted(view, c.departedSince, order.Node):
		order.Departed = true
	}
	return order
}

// hasLasted reports whether a condition of a machine has lasted for the replacement delay. It
// records in since when the condition is first observed.
func (c *Controller) hasLasted(view *clusterView, since map[string]time.Time, node string) bool {
	if since[node].IsZero() {
		since[node] = view.now
	}
	return view.now.Sub(since[node]) >= c.Timing.ReplacementDelay()
}
