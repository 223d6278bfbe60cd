package leaders

import (
	"context"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/replica"
)

// Change updates a partition's record while it still has the given epoch, and reports whether it
// did. It retries until the record was written, change returns false, the record has another epoch,
// or ctx ends. change may be called several times.
func (m *Manager) Change(
	ctx context.Context, partition int, epoch uint64, change func(assignment.Record) (assignment.Record, bool),
) bool {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		record, err := m.readRecord(ctx, partition)
		if err == nil {
			next, ok := change(record)
			if record.Epoch != epoch || !ok {
				return false
			}
			key := assignment.Key(partition)
			value, err := m.Client.Change(ctx, key, record.Version, registerclient.NewChangeID(), next.Marshal())
			if err == nil {
				next.Version = value.Version
				m.Broadcast(ctx, next)
				return true
			}
		}
		_ = m.Clock.Sleep(ctx, m.Timing.Backoff(attempt))
	}
	return false
}

// OnRecovered records that a leader has recovered its partition, so that replicas may change.
func (m *Manager) OnRecovered(ctx context.Context, recovered assignment.Record) {
	setRecovered := func(record assignment.Record) (assignment.Record, bool) {
		record.Recovered = true
		return record, true
	}
	m.Change(ctx, recovered.Partition, recovered.Epoch, setRecovered)
}

// RequestEpoch requests a new epoch, since this disk was used with the record's epoch in an earlier
// run. It reports whether the record was changed.
func (m *Manager) RequestEpoch(ctx context.Context, used assignment.Record) bool {
	m.Log.Log(event.EpochRenewed, "partition", used.Partition, "epoch", used.Epoch)
	return m.Change(ctx, used.Partition, used.Epoch, func(record assignment.Record) (assignment.Record, bool) {
		next := record.Next(m.Self, record.Replicas, "the owner came back on its machine", m.Clock.Now())
		return next, record.Leader == m.Self
	})
}

// Promote makes a learner that has caught up a replica. It replaces the lost disk of the same node
// if the record names one, and is an additional replica otherwise.
func (m *Manager) Promote(ctx context.Context, led assignment.Record, learner assignment.Replica) {
	m.Change(ctx, led.Partition, led.Epoch, func(record assignment.Record) (assignment.Record, bool) {
		isLearner := record.Learner != nil && *record.Learner == learner
		reason := learner.Node + " has caught up and holds a copy"
		next := record.Next(m.Self, record.WithReplica(learner), reason, m.Clock.Now())
		return next, isLearner && record.Leader == m.Self && record.Recovered
	})
}

// DropOrphans drops the replicas that a recovered record at a higher epoch assigns to other nodes.
// A record is not read if it names this node in the version that is known here. If a later version
// no longer does, the update arrives by itself, and gossip repairs missing updates.
func (m *Manager) DropOrphans(ctx context.Context) {
	for _, partition := range m.Replica.Partitions() {
		if m.Store.Record(partition).Includes(m.Self) {
			continue
		}
		record, err := m.readRecord(ctx, partition)
		if err != nil || !record.Recovered || record.Includes(m.Self) {
			continue
		}
		target := replica.Target{Partition: partition, Incarnation: m.Replica.Incarnation(), Epoch: record.Epoch}
		if _, err := m.Replica.Drop(ctx, &replica.DropRequest{Target: target}); err == nil {
			m.Log.Log(event.OrphanPartition, "partition", partition, "epoch", record.Epoch)
		}
	}
}

// readOwnRecords reads the records of all partitions on this disk concurrently. After a restart of
// all nodes no other node may know them.
func (m *Manager) readOwnRecords(ctx context.Context) {
	var group sync.WaitGroup
	for _, partition := range m.Replica.Partitions() {
		group.Go(func() { m.readUntilKnown(ctx, partition) })
	}
	group.Wait()
}

// readUntilKnown retries to read a record until that succeeds, this node learns the record
// otherwise, or ctx ends.
func (m *Manager) readUntilKnown(ctx context.Context, partition int) {
	for attempt := 0; ctx.Err() == nil && m.Store.Record(partition).Epoch == 0; attempt++ {
		if m.Store.VoterSet().Sequence > 0 {
			callCtx, cancel := context.WithTimeout(ctx, m.Timing.CallTimeout())
			_, err := m.readRecord(callCtx, partition)
			cancel()
			if err == nil {
				return
			}
		}
		_ = m.Clock.Sleep(ctx, m.Timing.Backoff(attempt))
	}
}

// readRecord reads a record by quorum and applies it to the store, which spreads it to the other
// nodes.
func (m *Manager) readRecord(ctx context.Context, partition int) (assignment.Record, error) {
	value, err := m.Client.Read(ctx, assignment.Key(partition))
	if err != nil {
		return assignment.Record{}, err
	}
	record, err := assignment.Parse(value.Body, value.Version)
	if err != nil {
		return record, apierror.Wrap(apierror.Internal, err, "read the record of partition %d", partition)
	}
	m.Store.Apply(gossip.Update{Records: []assignment.Record{record}})
	return record, nil
}
