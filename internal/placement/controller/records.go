package controller

import (
	"context"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/quorum"
)

// change is a change of a record that a round has decided on.
type change struct{ old, next assignment.Record }

// propose adds a change to the pending ones of the round.
func (c *Controller) propose(old, next assignment.Record) {
	c.pending = append(c.pending, change{old, next})
}

// writeChanges writes all pending changes at the same time.
func (c *Controller) writeChanges(ctx context.Context) {
	changes := c.pending
	c.pending = nil
	for _, result := range quorum.Gather(ctx, changes, c.write, nil) {
		if result.Err != nil {
			continue
		}
		c.applyRecord(result.Value)
		c.logPlaced(result.Target, result.Value)
	}
}

// write writes a change on the version that it builds on. It returns the changed record, or the
// record that is read back if the write failed.
func (c *Controller) write(ctx context.Context, proposed change) (assignment.Record, error) {
	next := proposed.next
	key := assignment.Key(next.Partition)
	value, err := c.Client.Change(ctx, key, proposed.old.Version, registerclient.NewChangeID(), next.Marshal())
	if err == nil {
		next.Version = value.Version
		c.Broadcast(context.WithoutCancel(ctx), next)
		return next, nil
	}
	if !apierror.HasCode(err, apierror.StaleBase) {
		c.Log.Log(event.PlacementFailed, "partition", next.Partition, "problem", err)
	}
	return c.fetchRecord(ctx, next.Partition)
}

// logPlaced logs a change that started an epoch, if the written record is the one of that change.
func (c *Controller) logPlaced(proposed change, written assignment.Record) {
	next := proposed.next
	if written.Epoch != next.Epoch || next.Epoch == proposed.old.Epoch || written.Leader != next.Leader {
		return
	}
	latest := next.History[len(next.History)-1]
	c.Log.Log(event.PartitionPlaced, "partition", next.Partition, "epoch", next.Epoch, "owner", next.Leader,
		"replicas", strings.Join(latest.Replicas, ","), "reason", latest.Reason)
}

// fetchRecord reads a record by quorum. A record that was never written has epoch 0.
func (c *Controller) fetchRecord(ctx context.Context, partition int) (assignment.Record, error) {
	value, err := c.Client.Read(ctx, assignment.Key(partition))
	if err != nil {
		return assignment.Record{}, err
	}
	record := assignment.Record{Partition: partition}
	if len(value.Body) > 0 {
		if record, err = assignment.Parse(value.Body, value.Version); err != nil {
			return record, apierror.Wrap(apierror.Internal, err, "read the record of partition %d", partition)
		}
	}
	record.Version = value.Version
	return record, nil
}

// applyRecord stores a record here and in the gossip store, which spreads it to the other nodes.
func (c *Controller) applyRecord(record assignment.Record) {
	c.records[record.Partition] = record
	if record.Version > 0 {
		c.Store.Apply(gossip.Update{Records: []assignment.Record{record}})
	}
}

// reloadRecord reads a record again. If that fails, the known record remains. If it is outdated,
// changes that build on its stale version are rejected.
func (c *Controller) reloadRecord(ctx context.Context, partition int) {
	if record, err := c.fetchRecord(ctx, partition); err == nil {
		c.applyRecord(record)
	}
}

// refreshRecords applies newer records that other nodes wrote. It reads those records again whose
// recovery takes long, because the update at its end may have been lost.
func (c *Controller) refreshRecords(ctx context.Context) {
	for partition, record := range c.records {
		if stored := c.Store.Record(partition); stored.Version > record.Version {
			c.records[partition] = stored
		}
	}
	for partition, record := range c.records {
		recovering := !record.Recovered && record.Epoch > 0
		if recovering && c.Clock.Now().Sub(c.epochSince[partition]) > c.Timing.TakeoverTimeout() {
			c.reloadRecord(ctx, partition)
		}
	}
}
