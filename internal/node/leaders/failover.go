package leaders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
)

// maxClaims is how many partitions this node claims at a time.
const maxClaims = 32

// claims are the partitions that this node is claiming.
type claims struct {
	// mu guards partitions.
	mu         sync.Mutex
	partitions map[int]bool
}

// begin adds a partition. It returns false if the partition is being claimed already, or if there
// are too many claims.
func (c *claims) begin(partition int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitions[partition] || len(c.partitions) >= maxClaims {
		return false
	}
	if c.partitions == nil {
		c.partitions = map[int]bool{}
	}
	c.partitions[partition] = true
	return true
}

func (c *claims) end(partition int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.partitions, partition)
}

// FailOver claims the partitions of a node that failed at the time since. The first successor in
// the assignment record claims a partition immediately, and each further one after another pause.
// If two nodes claim a partition, one of them wins. FailOver returns immediately, and is called
// repeatedly until the node is back. The claims end with ctx.
func (m *Manager) FailOver(ctx context.Context, node string, since time.Time, reason string) {
	if m.isClosed() {
		return
	}
	for partition := range m.Store.VoterSet().Layout.PartitionCount() {
		record := m.Store.Record(partition)
		if record.Leader != node || !m.isNamed(record) {
			continue
		}
		// If this node is no successor, its rank is -1 and so the delay is below 0.
		rank := record.Successors(m.RankSuccessor).Rank(m.Self)
		delay := time.Duration(rank) * m.Timing.ClaimJitter()
		if delay < 0 || m.Clock.Now().Sub(since) < delay || !m.claims.begin(partition) {
			continue
		}
		go func() {
			defer m.claims.end(partition)
			m.claim(ctx, record, reason)
		}()
	}
}

func (m *Manager) isClosed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// claim proposes this node as the leader. If that fails, the record is read again, so that the next
// call starts from its current version. Before that it pauses, unless the claim failed because
// another change was made first.
func (m *Manager) claim(ctx context.Context, record assignment.Record, reason string) {
	callCtx, cancel := context.WithTimeout(ctx, m.Timing.CallTimeout())
	defer cancel()
	next := record.Next(m.Self, record.Replicas, "the owner is gone: "+reason, m.Clock.Now())
	key := assignment.Key(record.Partition)
	value, err := m.Client.Change(callCtx, key, record.Version, registerclient.NewChangeID(), next.Marshal())
	if err == nil {
		next.Version = value.Version
		m.Log.Log(event.PartitionTakenOver, "partition", record.Partition, "epoch", next.Epoch,
			"from", record.Leader, "reason", reason)
		m.Broadcast(ctx, next)
		return
	}
	if !apierror.HasCode(err, apierror.StaleBase) {
		m.Log.Log(event.PlacementFailed, "partition", record.Partition, "problem", err)
		_ = m.Clock.Sleep(ctx, clock.Jitter(m.Timing.PingInterval(), 1, rand.Float64()))
	}
	// Should this fail too, the next call claims on a stale version, which is rejected.
	_, _ = m.readRecord(callCtx, record.Partition)
}
