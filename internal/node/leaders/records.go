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

// Change rewrites a partition's record while it is still at the given epoch, and reports whether it
// did. It tries until the record was written, change returns false, another epoch came, or ctx
// ends. change may be called several times.
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

// Renew asks for a new epoch, since this disk was used with the record's in an earlier run, and
// reports whether it got one.
func (m *Manager) Renew(ctx context.Context, used assignment.Record) bool {
	m.Log.Log(event.EpochRenewed, "partition", used.Partition, "epoch", used.Epoch)
	return m.Change(ctx, used.Partition, used.Epoch, func(record assignment.Record) (assignment.Record, bool) {
		next := record.Next(m.Self, record.Replicas, "the owner came back on its machine", m.Clock.Now())
		return next, record.Leader == m.Self
	})
}

// Promote makes the learner, which has caught up, a replica: instead of its machine's lost disk if
// the record names one, otherwise as one more.
func (m *Manager) Promote(ctx context.Context, led assignment.Record, learner assignment.Replica) {
	m.Change(ctx, led.Partition, led.Epoch, func(record assignment.Record) (assignment.Record, bool) {
		isLearner := record.Learner != nil && *record.Learner == learner
		reason := learner.Node + " has caught up and holds a copy"
		next := record.Next(m.Self, record.WithReplica(learner), reason, m.Clock.Now())
		return next, isLearner && record.Leader == m.Self && record.Recovered
	})
}

// Orphans drops the replicas that a recovered record at a higher epoch places elsewhere. Records
// that name this node, as far as it has heard, are not read for that: updates of one that no longer
// does come by themselves, and gaps are repaired by gossip.
func (m *Manager) Orphans(ctx context.Context) {
	for _, partition := range m.Replica.Partitions() {
		if m.Store.Record(partition).Holds(m.Self) {
			continue
		}
		record, err := m.readRecord(ctx, partition)
		if err != nil || !record.Recovered || record.Holds(m.Self) {
			continue
		}
		target := replica.Target{Partition: partition, Incarnation: m.Replica.Incarnation(), Epoch: record.Epoch}
		if _, err := m.Replica.Drop(ctx, &replica.DropRequest{Target: target}); err == nil {
			m.Log.Log(event.OrphanPartition, "partition", partition, "epoch", record.Epoch)
		}
	}
}

// readOwnRecords reads the records of what this disk holds, all at once: after a restart of all
// nodes no other may know them.
func (m *Manager) readOwnRecords(ctx context.Context) {
	var group sync.WaitGroup
	for _, partition := range m.Replica.Partitions() {
		group.Go(func() { m.readUntilKnown(ctx, partition) })
	}
	group.Wait()
}

// readUntilKnown reads a record until that works, this node has heard of it otherwise, or ctx ends.
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

// readRecord reads a record by quorum and has it spread to the other nodes.
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
