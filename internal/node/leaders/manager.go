// Package leaders runs the partition leaders that the assignment records name this node for.
//
// Manager follows the records: it starts a leader for each new epoch that names this node, updates
// the one that runs, and has it resign when a higher epoch names another node. It changes records
// only for partitions that this node leads, is a successor for, or is named for; each change builds
// on the version and the epoch that were read.
//
// Invariants: at most one leader of a partition runs here; none is started under an epoch that this
// disk was used with before, since what it promised then is not known (a new epoch is asked for
// instead); none is started once the leadership was transferred for a shutdown.
//
// Run owns the following of the records. It starts a goroutine for each leader, and for each
// partition that needs a new epoch; FailOver starts one for each claim. All end with the context
// that they were given. Exported methods are safe for concurrent use. Change and all that rests on
// it block on calls to control nodes; no lock is kept meanwhile.
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

// Manager starts and ends leaders as the records change.
type Manager struct {
	Self          string
	Clock         clock.Clock
	Timing        settings.Timing
	Store         *gossip.Store
	Client        *registerclient.Client
	Replica       *replica.Replica
	LeaderOptions leader.Options
	Log           *event.Logger
	// RankSuccessor ranks a disk as the next leader by what is known of its machine: 0 first, below
	// 0 for one that can't lead.
	RankSuccessor func(assignment.Replica) int
	// Broadcast sends records that were written here to the other nodes at once.
	Broadcast func(context.Context, ...assignment.Record)

	claims claims

	// mu guards the fields below.
	mu sync.Mutex
	// leaders are the leaders that run here, by partition.
	leaders map[int]*leader.Leader
	// epochs are the highest epochs that named this node, by partition.
	epochs map[int]uint64
	// closed reports that the leadership was transferred and no leader starts any more.
	closed bool
	loads  map[int]loadSample
}

// Leader returns the leader of a partition that runs here. It fails with code NotPartitionLeader.
func (m *Manager) Leader(partition int) (*leader.Leader, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if running, ok := m.leaders[partition]; ok {
		return running, nil
	}
	return nil, apierror.New(apierror.NotPartitionLeader, "%s does not decide for partition %d", m.Self, partition)
}

// Views returns the figures of all leaders that run here, by partition.
func (m *Manager) Views() []leader.View {
	views := []leader.View{}
	for _, running := range m.running() {
		views = append(views, running.View())
	}
	return views
}

// Count returns how many leaders run here.
func (m *Manager) Count() int { return len(m.running()) }

// running returns the leaders that run here, by partition.
func (m *Manager) running() []*leader.Leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := make([]*leader.Leader, 0, len(m.leaders))
	for _, partition := range slices.Sorted(maps.Keys(m.leaders)) {
		running = append(running, m.leaders[partition])
	}
	return running
}

// Run follows the records until ctx ends. It blocks.
func (m *Manager) Run(ctx context.Context) {
	go m.readOwnRecords(ctx)
	for ctx.Err() == nil {
		changed := m.Store.Changed()
		m.reconcile(ctx)
		clock.Wait(ctx, m.Clock, m.Timing.ReconcileInterval(), changed, nil)
	}
}

// reconcile brings the leaders that run here in line with the records.
func (m *Manager) reconcile(ctx context.Context) {
	layout := m.Store.VoterSet().Layout
	for id := range layout.PartitionCount() {
		record := m.Store.Record(id)
		if record.Epoch > 0 {
			m.reconcilePartition(ctx, id, record, partition.Urgent(id, layout))
		}
	}
}

// step is what the record of a partition asks for.
type step int

const (
	// stepNone: nothing.
	stepNone step = iota
	// stepUpdate: the leader that runs goes on under the record.
	stepUpdate
	// stepStart: the leader that was started resumes the partition from the one before, if any.
	stepStart
	// stepRenew: this disk was used with the epoch before, so a new one has to be asked for.
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
		resign(previous, "epoch %d came", record.Epoch)
		m.Log.Log(event.LeaderRecovering, "partition", id, "epoch", record.Epoch)
		go m.lead(ctx, started)
	case stepRenew:
		resign(previous, "epoch %d came", record.Epoch)
		go m.renewEpoch(ctx, id)
	case stepStop:
		resign(previous, "%s decides under epoch %d", record.Leader, record.Epoch)
	}
}

// resign has a leader end for a higher epoch; nil for none.
func resign(previous *leader.Leader, format string, args ...any) {
	if previous != nil {
		previous.Resign(apierror.New(apierror.StaleEpoch, format, args...))
	}
}

// nextStep decides what a record asks for, and registers or removes the leader accordingly. It
// returns the leader that ran before, nil for none, and the one that was started.
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

// lead runs a leader to its end. One that ended by itself, while no other leader of the partition
// runs here, is followed by another under a new epoch, after a pause.
func (m *Manager) lead(ctx context.Context, running *leader.Leader) {
	running.Run(ctx)
	id := running.Record.Partition
	if m.removeEnded(running) && m.Clock.Sleep(ctx, m.Timing.MaxBackoff()) == nil {
		m.renewEpoch(ctx, id)
	}
}

// removeEnded removes a leader that ended, and reports false where it was removed or replaced
// before, or is one of those that a shutdown ends.
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

// renewEpoch asks for a new epoch of a partition that the record names this node for, under one
// that this disk was used with before, until that is done or no longer needed.
func (m *Manager) renewEpoch(ctx context.Context, id int) {
	for attempt := 0; !m.tryRenewEpoch(ctx, id); attempt++ {
		if m.Clock.Sleep(ctx, m.Timing.Backoff(attempt)) != nil {
			return
		}
	}
}

// tryRenewEpoch reads the record, and asks for a new epoch if it still names this node though no
// leader runs here. It returns false until the record was read and changed where needed: no one
// else would notice.
func (m *Manager) tryRenewEpoch(ctx context.Context, id int) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Timing.TakeoverTimeout())
	defer cancel()
	record, err := m.readRecord(ctx, id)
	if err != nil {
		return false
	}
	isNewer := m.Store.Record(id).Epoch > record.Epoch
	if record.Leader != m.Self || isNewer || !m.isNamed(record) || !m.isUsedUp(id, record.Epoch) {
		return true
	}
	return m.Renew(ctx, record)
}

// isNamed reports whether a record names this node's present disk as a replica.
func (m *Manager) isNamed(record assignment.Record) bool {
	named, ok := record.Replica(m.Self)
	return ok && named.Incarnation == m.Replica.Incarnation()
}

// isUsedUp reports whether no leader runs here and none will be started under an epoch.
func (m *Manager) isUsedUp(id int, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaders[id] == nil && m.epochs[id] >= epoch
}
