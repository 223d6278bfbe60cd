// Package leaders runs the partition leaders that the assignment records assign to this node.
//
// Manager watches the assignment records. It starts a leader for each new epoch that names this
// node, passes later versions of the record to the running leader, and makes it resign when a
// higher epoch names another node. It changes the records only of partitions that this node leads,
// is a successor for, or has a replica of. Each change builds on the version and the epoch that
// were read.
//
// Invariants: at most one leader of a partition runs on this node. No leader is started under an
// epoch that this disk was used with in an earlier run, since the promises of that run are not
// known; a new epoch is requested instead. No leader is started after the leadership was
// transferred for a shutdown.
//
// Run watches the records. It starts a goroutine for each leader, and for each partition that needs
// a new epoch. FailOver starts one for each claim. All end with the context that they were given.
// Exported methods are safe for concurrent use. Change and the methods that use it block on calls
// to control nodes; no lock is held meanwhile.
package leaders

import (
	"context"
	"maps"
	"slices"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/settings"
)

// Manager starts and ends leaders as the assignment records change.
type Manager struct {
	Self          string
	Clock         clock.Clock
	Timing        settings.Timing
	Store         *gossip.Store
	Client        *registerclient.Client
	Replica       *replica.Replica
	LeaderOptions leader.Options
	Log           *event.Logger
	// RankSuccessor ranks a replica as the next leader by what is known about its node. The rank 0
	// is the best, and a rank below 0 means that the replica can't lead.
	RankSuccessor func(assignment.Replica) int
	// Broadcast sends records that this node wrote to the other nodes immediately.
	Broadcast func(context.Context, ...assignment.Record)

	claims claims

	// mu guards the fields below.
	mu sync.Mutex
	// leaders are the running leaders, by partition.
	leaders map[int]*leader.Leader
	// epochs are the highest epochs that named this node, by partition.
	epochs map[int]uint64
	// closed is true once the leadership was transferred. No leader starts after that.
	closed bool
	loads  map[int]loadSample
}

// Leader returns the running leader of a partition. It fails with code NotPartitionLeader if there
// is none on this node.
func (m *Manager) Leader(partition int) (*leader.Leader, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if running, ok := m.leaders[partition]; ok {
		return running, nil
	}
	return nil, apierror.New(apierror.NotPartitionLeader, "%s does not lead partition %d", m.Self, partition)
}

// Views returns the figures of all running leaders, by ascending partition.
func (m *Manager) Views() []leader.View {
	views := []leader.View{}
	for _, running := range m.running() {
		views = append(views, running.View())
	}
	return views
}

// Count returns the number of running leaders.
func (m *Manager) Count() int { return len(m.running()) }

// running returns the running leaders, by ascending partition.
func (m *Manager) running() []*leader.Leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := make([]*leader.Leader, 0, len(m.leaders))
	for _, partition := range slices.Sorted(maps.Keys(m.leaders)) {
		running = append(running, m.leaders[partition])
	}
	return running
}

// Run watches the assignment records until ctx ends. It blocks.
func (m *Manager) Run(ctx context.Context) {
	go m.readOwnRecords(ctx)
	for ctx.Err() == nil {
		changed := m.Store.Changed()
		m.reconcile(ctx)
		clock.Wait(ctx, m.Clock, m.Timing.ReconcileInterval(), changed, nil)
	}
}

// reconcile starts, updates and stops leaders according to the assignment records.
func (m *Manager) reconcile(ctx context.Context) {
	layout := m.Store.VoterSet().Layout
	for id := range layout.PartitionCount() {
		record := m.Store.Record(id)
		if record.Epoch > 0 {
			m.reconcilePartition(ctx, id, record, partition.Urgent(id, layout))
		}
	}
}

// step is what has to be done for the record of a partition.
type step int

const (
	// stepNone: nothing.
	stepNone step = iota
	// stepUpdate: the running leader continues under the record.
	stepUpdate
	// stepStart: the new leader replaces the previous one, if any.
	stepStart
	// stepRenew: this disk was used with the epoch in an earlier run, so a new epoch has to be
	// requested.
	stepRenew
	// stepStop: another node leads under a higher epoch.
	stepStop
)

func (m *Manager) reconcilePartition(ctx context.Context, id int, record assignment.Record, urgent bool) {
	previous, started, next := m.nextStep(id, record, urgent)
	switch next {
	case stepUpdate:
		previous.Update(ctx, record)
	case stepStart:
		resign(previous, "epoch %d has begun", record.Epoch)
		m.Log.Log(event.LeaderRecovering, "partition", id, "epoch", record.Epoch)
		go m.lead(ctx, started)
	case stepRenew:
		resign(previous, "epoch %d has begun", record.Epoch)
		go m.renewEpoch(ctx, id)
	case stepStop:
		resign(previous, "%s leads under epoch %d", record.Leader, record.Epoch)
	}
}

// resign ends a leader because of a higher epoch. It does nothing for nil.
func resign(previous *leader.Leader, format string, args ...any) {
	if previous != nil {
		previous.Resign(apierror.New(apierror.StaleEpoch, format, args...))
	}
}

// nextStep determines what has to be done for a record, and registers or removes the leader
// accordingly. It returns the previous leader, nil if there was none, and the new one for
// stepStart.
func (m *Manager) nextStep(
	id int, record assignment.Record, urgent bool,
) (previous, started *leader.Leader, next step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaders == nil {
		m.leaders, m.epochs = map[int]*leader.Leader{}, map[int]uint64{}
	}
	previous = m.leaders[id]
	switch {
	case previous != nil && previous.Record.Epoch == record.Epoch:
		return previous, nil, stepUpdate
	case record.Leader == m.Self && record.Epoch > m.epochs[id] && !m.closed:
		m.epochs[id] = record.Epoch
		if m.Replica.Sealed(id) >= record.Epoch && m.isNamed(record) {
			delete(m.leaders, id)
			return previous, nil, stepRenew
		}
		started = leader.New(m.LeaderOptions, record, urgent)
		m.leaders[id] = started
		return previous, started, stepStart
	case previous != nil && record.Epoch > previous.Record.Epoch:
		delete(m.leaders, id)
		return previous, nil, stepStop
	}
	return previous, nil, stepNone
}

// lead runs a leader to its end. If the leader ended by itself, and no other leader of the
// partition replaced it, a new epoch is requested after a pause.
func (m *Manager) lead(ctx context.Context, running *leader.Leader) {
	running.Run(ctx)
	id := running.Record.Partition
	if m.removeEnded(running) && m.Clock.Sleep(ctx, m.Timing.MaxBackoff()) == nil {
		m.renewEpoch(ctx, id)
	}
}

// removeEnded removes a leader that ended. It reports false if the leader was removed or replaced
// before, or ended for a shutdown.
func (m *Manager) removeEnded(ended *leader.Leader) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := ended.Record.Partition
	if m.leaders[id] != ended || m.closed {
		return false
	}
	delete(m.leaders, id)
	return true
}

// renewEpoch requests a new epoch for a partition whose record names this node under an epoch that
// this disk was used with before. It retries until there is a new epoch or none is needed any more.
func (m *Manager) renewEpoch(ctx context.Context, id int) {
	for attempt := 0; !m.tryRenewEpoch(ctx, id); attempt++ {
		if m.Clock.Sleep(ctx, m.Timing.Backoff(attempt)) != nil {
			return
		}
	}
}

// tryRenewEpoch reads the record, and requests a new epoch if it names this node although no leader
// runs. It returns false unless the record was read, and changed if needed. The caller has to retry
// then, since no other node notices that no leader runs.
func (m *Manager) tryRenewEpoch(ctx context.Context, id int) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Timing.TakeoverTimeout())
	defer cancel()
	record, err := m.readRecord(ctx, id)
	if err != nil {
		return false
	}
	isNewer := m.Store.Record(id).Epoch > record.Epoch
	if record.Leader != m.Self || isNewer || !m.isNamed(record) || !m.isEpochFinished(id, record.Epoch) {
		return true
	}
	return m.RequestEpoch(ctx, record)
}

// isNamed reports whether a record names this node's current disk as a replica.
func (m *Manager) isNamed(record assignment.Record) bool {
	named, ok := record.Replica(m.Self)
	return ok && named.Incarnation == m.Replica.Incarnation()
}

// isEpochFinished reports whether no leader of a partition runs, and none will be started under an
// epoch.
func (m *Manager) isEpochFinished(id int, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaders[id] == nil && m.epochs[id] >= epoch
}
