// Package leader implements the leader of one partition under one epoch. It seals a majority of the
// replicas, adopts the longest log, orders messages, replicates them and commits what a majority
// has.
//
// Invariants:
//   - An entry counts as committed only once a majority of the record's replicas has it and it, or
//     a later entry, was written under the leader's own epoch.
//   - A final answer (accepted, duplicate, final rejection) is sent only when everything it depends
//     on is committed. A duplicate or rejection also needs a majority to have confirmed the epoch
//     since the call began.
//   - A node is sent an entry with a key only once it is committed that this node is a reader.
//     Otherwise a tombstone could be dropped before every reader has read past it.
//   - The partition log is trimmed only up to what the committed changelog covers.
//
// A Leader owns the state of its partition. Run drives it: it recovers, then writes changelog
// batches until ctx ends or the leadership is lost. For each of the two logs, one goroutine writes
// to the local disk and one goroutine replicates to each other replica. On demand, one more
// goroutine asks a majority to confirm the epoch. All of them end with Run's ctx. Leader.mu guards
// the state and is never held during disk or network I/O. Calls of Submit, Attach, Follow, Poll and
// Read block until a majority has what they depend on, their maximum wait is over, ctx ends, or the
// leadership is lost.
package leader

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/idle"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Observer is notified of what happens to leaders. Its methods may be called under the leader's
// lock: they must not block and must not call the leader.
type Observer interface {
	DiskFailed(partition int, err error)
	LeadershipLost(partition int, epoch uint64, err error)
	Opened(partition int, epoch uint64, recovery Recovery)
	StepFailed(partition int, epoch uint64, step string, err error)
	ReaderChanged(partition int, epoch uint64, node, bootID string, givenUp bool)
	TombstonesFull(partition int, epoch uint64, tombstones int)
}

// Options are the settings and dependencies of a leader. Idle, MaxTombstones and OnDecision may be
// nil.
type Options struct {
	Self              string
	Net               wire.Network
	Clock             clock.Clock
	Timing            settings.Timing
	ChangelogInterval func() time.Duration
	// Backlog returns how many entries of the partition log may be uncommitted before calls are
	// rejected.
	Backlog func() int
	Replica *replica.Replica
	// Idle confirms logs that have no new entries. Without it, each log is confirmed by an append
	// without entries.
	Idle *idle.Confirmer
	// Addr returns the address of a member, false for a node that is not a member.
	Addr func(node string) (string, bool)
	// LongestRetention returns the longest retention that a namespace asks for, as far as this node
	// knows.
	LongestRetention func() time.Duration
	// CheckLease returns an error while this node has no lease to serve.
	CheckLease func() error
	// MaxTombstones returns how many tombstones a partition may have.
	MaxTombstones func() int
	// LeaseExtension is by how much a node's lease may outlast its duration.
	LeaseExtension time.Duration
	OnRecovered    func(ctx context.Context, record assignment.Record)
	OnPromote      func(ctx context.Context, record assignment.Record, learner assignment.Replica)
	Observer       Observer
	OnDecision     DecisionObserver
}

// DecisionObserver is notified of every decision that a leader answers with, and of when its call
// began. Only tests use it.
type DecisionObserver func(partition int, epoch uint64, decision string, startedAt time.Time)

// Stages of a leader.
const (
	StageRecovering = "taking over"
	StageOpen       = "open"
	StageClosing    = "closing"
	StageLost       = "lost"
)

// Recovery describes how the state was recovered: where the replicas' logs ended, whether a
// snapshot was used, how many changelog entries were replayed, how many entries were fetched from
// other replicas, how many entries of the partition log were applied again, and how many keys the
// state has.
type Recovery struct {
	Tails        string        `json:"tails"`
	SnapshotUsed bool          `json:"directory"`
	Replayed     int           `json:"replayed"`
	Fetched      int           `json:"fetched"`
	Reprocessed  int           `json:"reprocessed"`
	Keys         int           `json:"keys"`
	Duration     time.Duration `json:"took"`
}

// Counters counts a leader's work.
type Counters struct {
	Accepted    uint64 `json:"Taken"`
	Bytes       uint64 `json:"Bytes"`
	Duplicates  uint64 `json:"Repeats"`
	Batches     uint64 `json:"Batches"`
	Items       uint64 `json:"Items"`
	Compactions uint64 `json:"Compactions"`
	// QuorumChecks counts the requests to a majority to confirm this epoch.
	QuorumChecks uint64 `json:"Rounds"`
	// AnswersDropped counts the answers to calls that were dropped once the partition log no longer
	// had their messages.
	AnswersDropped uint64 `json:"Forgotten"`
	// Withdrawals counts accepted withdrawals, TombstonesDropped dropped tombstones and
	// ReadersGivenUp readers that were given up.
	Withdrawals       uint64 `json:"Withdrawals"`
	TombstonesDropped uint64 `json:"Unmarked"`
	ReadersGivenUp    uint64 `json:"GivenUp"`
}

// Leader serves one partition until its leadership is lost.
type Leader struct {
	Record  assignment.Record
	Urgent  bool
	options Options
	// lost is closed once the leadership is lost. lostCause is the reason.
	lost          chan struct{}
	flushRequests chan chan struct{}
	// trimRequests wakes the writer of a log when trimTo has moved.
	trimRequests map[log.Kind]chan struct{}

	// mu guards all fields below, and all fields of the logs' progress.
	mu        sync.Mutex
	stage     string
	ctx       context.Context
	cancel    context.CancelFunc
	lostCause error
	recovery  Recovery
	counters  Counters
	logs      map[log.Kind]*logProgress
	// trimTo is the base that each log is to have, on the replicas too.
	trimTo map[log.Kind]log.Position

	// state is the result of the committed partition log. The changelog on a majority covers it up
	// to savedInput, and calls up to prunedTo are dropped from it.
	state      *state.State
	savedInput uint64
	prunedTo   uint64
	// uncommitted (by client and topic) and uncommittedKeys (by topic and key) have the changes
	// that are not committed yet and so are not in state.
	uncommitted     map[string]*uncommittedCalls
	uncommittedKeys map[string]keyOffsets

	followers          map[string]*follower
	uncommittedReaders map[string]uncommittedReader
	readerProgress     map[string]readerProgress
	readerTokens       map[string]readerToken
	lastReaderToken    uint64
	// readersChanged is closed and replaced when a reader has read further or changed. It is nil
	// while no call waits for that.
	readersChanged chan struct{}
	// tombstonesFull is set from the first withdrawal that was rejected because of the number of
	// tombstones until one is accepted again.
	tombstonesFull bool

	// nextCheck is the leadership check that calls can still join. checking is set while a
	// goroutine runs checks.
	nextCheck *leadershipCheck
	checking  bool

	learner     assignment.Replica
	stopLearner context.CancelFunc
}

// New returns a leader for a record that names this node.
func New(options Options, record assignment.Record, urgent bool) *Leader {
	return &Leader{
		Record:        record,
		Urgent:        urgent,
		options:       options,
		lost:          make(chan struct{}),
		flushRequests: make(chan chan struct{}),
		trimRequests: map[log.Kind]chan struct{}{
			log.KindInput:     make(chan struct{}, 1),
			log.KindChangelog: make(chan struct{}, 1),
		},
		stage:              StageRecovering,
		logs:               map[log.Kind]*logProgress{},
		trimTo:             map[log.Kind]log.Position{},
		uncommitted:        map[string]*uncommittedCalls{},
		uncommittedKeys:    map[string]keyOffsets{},
		followers:          map[string]*follower{},
		uncommittedReaders: map[string]uncommittedReader{},
		readerProgress:     map[string]readerProgress{},
		readerTokens:       map[string]readerToken{},
	}
}

// Run recovers the partition and serves it until ctx ends or the leadership is lost.
func (l *Leader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.cancel, l.ctx = cancel, ctx
	isLost := l.stage == StageLost
	l.mu.Unlock()
	if isLost {
		return
	}
	if err := l.recoverPartition(ctx); err != nil {
		l.loseLeadership(err)
		return
	}
	l.maintain(ctx)
	l.loseLeadership(apierror.New(apierror.Stopped, "the leader was stopped"))
}

// Close rejects new calls. Those in flight are finished.
func (l *Leader) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stage == StageOpen {
		l.stage = StageClosing
	}
}

// Resign ends the leadership. Waiting calls are answered at once.
func (l *Leader) Resign(err error) { l.loseLeadership(err) }

// Done is closed once the leadership is lost.
func (l *Leader) Done() <-chan struct{} { return l.lost }

func (l *Leader) loseLeadership(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stage == StageLost {
		return
	}
	l.stage, l.lostCause = StageLost, err
	close(l.lost)
	if l.cancel != nil {
		l.cancel()
	}
	l.options.Observer.LeadershipLost(l.Record.Partition, l.Record.Epoch, err)
}

// isFenced reports whether a replica rejected a request because it has seen a higher epoch.
func isFenced(err error) bool { return apierror.HasCode(err, apierror.StaleEpoch) }

func (l *Leader) errLost() error {
	return apierror.New(apierror.NotPartitionLeader, "the leadership of partition %d was lost", l.Record.Partition)
}

// target addresses a replica of the partition under the leader's epoch.
func (l *Leader) target(to assignment.Replica) replica.Target {
	return replica.Target{Partition: l.Record.Partition, Incarnation: to.Incarnation, Epoch: l.Record.Epoch}
}

// localTarget addresses the replica on this node.
func (l *Leader) localTarget() replica.Target {
	local, _ := l.Record.Replica(l.options.Self)
	return l.target(local)
}

// address returns the address of a node, or an error if it is not a member.
func (l *Leader) address(node string) (string, error) {
	address, ok := l.options.Addr(node)
	if !ok {
		return "", apierror.New(apierror.Unreachable, "%s is not a member", node)
	}
	return address, nil
}

func (l *Leader) observeDecision(decision string, startedAt time.Time) {
	if l.options.OnDecision != nil {
		l.options.OnDecision(l.Record.Partition, l.Record.Epoch, decision, startedAt)
	}
}
