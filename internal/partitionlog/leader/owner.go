// Package leader decides for one partition under one epoch: it takes over, orders, replicates and commits.
package leader

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/idle"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Observer hears what owners go through.
type Observer interface {
	DiskFailed(partition int, err error)
	LeadershipLost(partition int, epoch uint64, err error)
	Opened(partition int, epoch uint64, how Recovery)
	StepFailed(partition int, epoch uint64, step string, err error)
	ReaderChanged(partition int, epoch uint64, node, boot string, givenUp bool)
	TombstonesFull(partition int, epoch uint64, marks int)
}

// Options are what an owner works with.
type Options struct {
	Self              string
	Net               wire.Network
	Clock             clock.Clock
	Timing            settings.Timing
	ChangelogInterval func() time.Duration
	Backlog           func() int
	Replica           *replica.Replica
	// Idle confirms lines that have nothing new; without it, each is confirmed by an append without entries.
	Idle *idle.Confirmer
	Addr func(node string) (string, bool)
	// LongestRetention is how long spaces ask to keep for, as far as this node knows.
	LongestRetention func() time.Duration
	CheckLease       func() error
	// MaxTombstones is how many withdrawals of a partition may stand, and Stretch what a node's lease may last longer.
	MaxTombstones  func() int
	LeaseExtension time.Duration
	OnRecovered    func(ctx context.Context, r assignment.Record)
	OnPromote      func(ctx context.Context, r assignment.Record, l assignment.Replica)
	Observer       Observer
	OnDecision     DecisionObserver
}

// DecisionObserver hears every verdict that an owner tells: what it was, and when its task was taken up. Only proof uses it.
type DecisionObserver func(partition int, epoch uint64, what string, begun time.Time)

func (o *Leader) say(what string, begun time.Time) {
	if o.d.OnDecision != nil {
		o.d.OnDecision(o.Record.Partition, o.Record.Epoch, what, begun)
	}
}

// Stages of an owner.
const (
	StageRecovering = "taking over"
	StageOpen       = "open"
	StageClosing    = "closing"
	StageLost       = "lost"
)

// Recovery says how the state was brought back.
type Recovery struct {
	Tails       string        `json:"tails"`
	Directory   bool          `json:"directory"`
	Replayed    int           `json:"replayed"`
	Fetched     int           `json:"fetched"`
	Reprocessed int           `json:"reprocessed"`
	Keys        int           `json:"keys"`
	Duration    time.Duration `json:"took"`
}

// Counters counts an owner's work.
type Counters struct {
	Accepted    uint64 `json:"Taken"`
	Bytes       uint64 `json:"Bytes"`
	Duplicates  uint64 `json:"Repeats"`
	Batches     uint64 `json:"Batches"`
	Items       uint64 `json:"Items"`
	Compactions uint64 `json:"Compactions"`
	// QuorumChecks counts the questions to a majority whether this epoch still stands.
	QuorumChecks uint64 `json:"Rounds"`
	// Forgotten counts the answers to calls that were let go once the ledger no longer held their messages.
	Forgotten uint64 `json:"Forgotten"`
	// Withdrawals counts those taken, Unmarked the marks let go, GivenUp the readers given up.
	Withdrawals       uint64 `json:"Withdrawals"`
	TombstonesDropped uint64 `json:"Unmarked"`
	ReadersGivenUp    uint64 `json:"GivenUp"`
}

// Leader decides for one partition until it is lost.
type Leader struct {
	Record assignment.Record
	Urgent bool
	d      Options
	mu     sync.Mutex
	stage  string
	tracks map[log.Kind]*track
	bases  map[log.Kind]log.Position
	trims  map[log.Kind]chan struct{}
	st     *state.State
	front  map[string]*front
	input  uint64
	pruned uint64
	how    Recovery
	tally  Counters
	stop   context.CancelFunc
	lost   chan struct{}
	cause  error
	flush  chan chan struct{}

	fans    map[string]*fan
	keyed   map[string]flying
	entered map[string]entered
	heard   map[string]heard
	turns   map[string]turn
	turn    uint64
	news    chan struct{}
	full    bool
	ctx     context.Context
	next    *round
	asking  bool
	learner assignment.Replica
	leave   context.CancelFunc
}

// New makes an owner for a record that names this node.
func New(d Options, r assignment.Record, urgent bool) *Leader {
	return &Leader{
		Record: r, Urgent: urgent, d: d, stage: StageRecovering, tracks: map[log.Kind]*track{}, bases: map[log.Kind]log.Position{},
		trims: map[log.Kind]chan struct{}{log.KindLedger: make(chan struct{}, 1), log.KindChangelog: make(chan struct{}, 1)},
		front: map[string]*front{}, lost: make(chan struct{}), flush: make(chan chan struct{}),
		keyed: map[string]flying{}, entered: map[string]entered{}, heard: map[string]heard{}, turns: map[string]turn{},
	}
}

// AcceptedTotals gives the messages and bytes of bodies taken so far.
func (o *Leader) AcceptedTotals() (messages, bytes uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tally.Accepted, o.tally.Bytes
}

// Stage tells how far the owner is.
func (o *Leader) Stage() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stage
}

// View is what an owner says of itself.
type View struct {
	Partition int      `json:"partition"`
	Epoch     uint64   `json:"epoch"`
	Stage     string   `json:"stage"`
	Commit    uint64   `json:"commit"`
	Last      uint64   `json:"last"`
	Input     uint64   `json:"input_offset"`
	Changelog int      `json:"changelog_entries"`
	Ledger    int      `json:"ledger_entries"`
	Keys      int      `json:"state_keys"`
	Recovery  Recovery `json:"recovery"`
	Counters  Counters `json:"tally"`
	TombstoneView
}

// View gives the owner's figures.
func (o *Leader) View() View {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := View{Partition: o.Record.Partition, Epoch: o.Record.Epoch, Stage: o.stage, Input: o.input, Recovery: o.how, Counters: o.tally}
	if t := o.tracks[log.KindLedger]; t != nil {
		v.Commit, v.Last, v.Ledger = t.commit, t.last.Offset, t.line.Len()
		v.Changelog = o.tracks[log.KindChangelog].line.Len()
	}
	if o.st != nil {
		v.Keys = o.st.Size()
		v.TombstoneView = o.marksView(v.Commit)
	}
	return v
}

func (o *Leader) target(node string) replica.Target {
	p, _ := o.Record.Replica(node)
	return replica.Target{Partition: o.Record.Partition, Incarnation: p.Incarnation, Epoch: o.Record.Epoch}
}

func (o *Leader) fenced(err error) bool { return apierror.HasCode(err, apierror.StaleEpoch) }

func (o *Leader) lose(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage == StageLost {
		return
	}
	o.stage, o.cause = StageLost, err
	close(o.lost)
	if o.stop != nil {
		o.stop()
	}
	o.d.Observer.LeadershipLost(o.Record.Partition, o.Record.Epoch, err)
}

// Resign gives the partition up; those that wait get their answer at once.
func (o *Leader) Resign(err error) { o.lose(err) }

// Done is closed once the owner is lost.
func (o *Leader) Done() <-chan struct{} { return o.lost }

func (o *Leader) trimmed(k log.Kind) <-chan struct{} { return o.trims[k] }

func (o *Leader) trim(k log.Kind, to uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tracks[k]
	to = min(to, t.commit)
	p, ok := t.line.Position(to)
	if !ok || to <= o.bases[k].Offset || to <= t.line.Base().Offset {
		return
	}
	o.bases[k] = p
	select {
	case o.trims[k] <- struct{}{}:
	default:
	}
}

func (o *Leader) settle(t *track) {
	from := t.commit
	if !t.settle(o.Record, o.d.Self) || t.kind != log.KindLedger || o.st == nil {
		return
	}
	o.apply(t, from, t.commit)
}

func (o *Leader) apply(t *track, from, to uint64) {
	for at := from; at < to; {
		es := t.after(at)
		if len(es) == 0 {
			return
		}
		for _, e := range es {
			if e.Offset > to {
				return
			}
			o.st.Apply(e)
			o.landed(e)
			at = e.Offset
		}
	}
}

// Run takes the partition over and serves it until ctx ends or it is lost.
func (o *Leader) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	o.mu.Lock()
	o.stop, o.ctx = stop, ctx
	gone := o.stage == StageLost
	o.mu.Unlock()
	defer stop()
	if gone {
		return
	}
	if err := o.takeOver(ctx); err != nil {
		o.lose(err)
		return
	}
	o.tend(ctx)
	o.lose(apierror.New(apierror.Stopped, "the owner was stopped"))
}

func (o *Leader) await(ctx context.Context, k log.Kind, at uint64) error {
	for {
		o.mu.Lock()
		t := o.tracks[k]
		ok, moved := t.commit >= at, t.moved
		o.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-moved:
		case <-o.lost:
			return apierror.New(apierror.OutcomeUnknown, "the owner of partition %d lost it before offset %d was on a majority", o.Record.Partition, at)
		case <-ctx.Done():
			return apierror.New(apierror.OutcomeUnknown, "offset %d of partition %d was not on a majority in time", at, o.Record.Partition)
		}
	}
}

func (o *Leader) push(k log.Kind, es ...log.Entry) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage == StageLost {
		return 0, apierror.New(apierror.NotPartitionLeader, "partition %d was lost: %v", o.Record.Partition, o.cause)
	}
	var at uint64
	for _, e := range es {
		at = o.tracks[k].push(e, o.Record.Epoch).Offset
	}
	return at, nil
}
