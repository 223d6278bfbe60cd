package leaders

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/leader"
)

// TransferLeadership transfers the leadership of every partition that this node leads to another
// replica that can lead, for a shutdown. It returns for how many that succeeded. State is flushed
// first, for at most half of the limit. No leader starts on this node afterwards. It blocks until
// all leaders of this node have resigned.
func (m *Manager) TransferLeadership(
	ctx context.Context, canLead func(assignment.Replica) bool, limit time.Duration,
) int {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	var group sync.WaitGroup
	var transferred atomic.Int64
	for _, running := range m.running() {
		group.Go(func() {
			running.Flush(ctx, limit/2)
			running.Close()
			if m.transfer(ctx, running, canLead) {
				transferred.Add(1)
			}
			running.Resign(apierror.New(apierror.ShuttingDown, "this node is stopping"))
		})
	}
	group.Wait()
	return int(transferred.Load())
}

// transfer names another leader in the record. The search starts at a different replica for each
// partition, so that the partitions of this node are distributed over several nodes.
func (m *Manager) transfer(
	ctx context.Context, running *leader.Leader, canLead func(assignment.Replica) bool,
) bool {
	id, epoch := running.Record.Partition, running.Record.Epoch
	return m.Change(ctx, id, epoch, func(record assignment.Record) (assignment.Record, bool) {
		for i := range record.Replicas {
			successor := record.Replicas[(i+id)%len(record.Replicas)]
			if successor.Node != m.Self && canLead(successor) {
				reason := m.Self + " stops and named its successor"
				return record.Next(successor.Node, record.Replicas, reason, m.Clock.Now()), record.Leader == m.Self
			}
		}
		return record, false
	})
}
