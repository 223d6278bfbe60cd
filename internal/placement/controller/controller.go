package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/control/register"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// Key is the control key whose leader runs the placement controller.
const Key = "duty/placement"

// roundPauseDivisor divides the longest backoff. The result is the shortest pause between rounds.
const roundPauseDivisor = 4

// Controller places partitions while this control node leads Key. All exported fields must be set
// before Run.
type Controller struct {
	Self     string
	Clock    clock.Clock
	Timing   settings.Timing
	Proposer *register.Proposer
	Client   *registerclient.Client
	Store    *gossip.Store
	Live     func() []membership.Info
	// Changed returns a channel that is closed at the next change of the membership.
	Changed func() <-chan struct{}
	Log     *event.Logger
	// Broadcast sends records that this controller wrote to the other nodes immediately.
	Broadcast func(context.Context, ...assignment.Record)

	// active says that this controller has read all records and makes decisions. It has done so
	// since activeSince.
	active      bool
	activeSince time.Time
	records     map[int]assignment.Record
	// pending are the changes that the round has decided on and not yet written.
	pending []change
	// balancedAt is when a leader was last moved to balance load.
	balancedAt time.Time
	observations

	membersChanged, storeChanged <-chan struct{}
}

// observations are the times since when conditions have been observed, by machine or by partition.
// They are reset when the controller becomes active.
type observations struct {
	missingSince   map[string]time.Time
	leaselessSince map[string]time.Time
	slowSince      map[string]time.Time
	// emptySince has the storage machines that were empty when first seen. A machine that has
	// received replicas remains in it until no machine is missing.
	emptySince map[string]time.Time
	// departedSince has the emptied machines that are absent. newDiskSince has those that are live
	// with another disk.
	departedSince map[string]time.Time
	newDiskSince  map[string]time.Time
	// epochs has the epoch of each partition, and epochSince when it was first seen.
	epochs     map[int]uint64
	epochSince map[int]time.Time
}

func newObservations() observations {
	return observations{
		missingSince:   map[string]time.Time{},
		leaselessSince: map[string]time.Time{},
		slowSince:      map[string]time.Time{},
		emptySince:     map[string]time.Time{},
		departedSince:  map[string]time.Time{},
		newDiskSince:   map[string]time.Time{},
		epochs:         map[int]uint64{},
		epochSince:     map[int]time.Time{},
	}
}

// Run places the partitions until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for c.wait(ctx) == nil {
		if c.Store.VoterSet().Sequence > 0 {
			c.runOnce(ctx)
		}
	}
}

// wait waits for the next round. The active controller also runs a round when the members or the
// gossip store change, and the other controllers only at intervals.
func (c *Controller) wait(ctx context.Context) error {
	interval := clock.Jitter(c.Timing.ReconcileInterval(), 0.2, rand.Float64())
	if !c.active {
		return c.Clock.Sleep(ctx, interval)
	}
	if err := c.Clock.Sleep(ctx, c.Timing.MaxBackoff()/roundPauseDivisor); err != nil {
		return err
	}
	clock.Wait(ctx, c.Clock, interval, c.membersChanged, c.storeChanged)
	c.membersChanged, c.storeChanged = c.Changed(), c.Store.Changed()
	return ctx.Err()
}

// runOnce runs a round if this control node leads Key, and becomes active or inactive as needed.
func (c *Controller) runOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.Timing.Recovery)
	defer cancel()
	if !c.ensureLeadership(ctx) {
		if c.active {
			c.Log.Log(event.ControllerStopped)
		}
		c.active = false
		return
	}
	if !c.active {
		c.activate(ctx)
	}
	if c.active {
		c.runRound(ctx)
	}
}

// ensureLeadership claims Key if this control node does not lead it. It reports whether a majority
// confirms that this node leads Key.
func (c *Controller) ensureLeadership(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.Timing.CallTimeout())
	defer cancel()
	if !c.Proposer.Leads(Key) {
		if err := c.Proposer.Claim(ctx, Key); err != nil {
			return false
		}
	}
	return c.Proposer.ConfirmLeadership(ctx, Key)
}

// activate reads all records by quorum. The controller becomes active only if it has read every
// one.
func (c *Controller) activate(ctx context.Context) {
	c.records, c.observations = map[int]assignment.Record{}, newObservations()
	var partitions []int
	for partition := range c.Store.VoterSet().Layout.PartitionCount() {
		partitions = append(partitions, partition)
	}
	for _, result := range quorum.Gather(ctx, partitions, c.fetchRecord, nil) {
		if result.Err != nil {
			c.Log.Log(event.PlacementFailed, "partition", result.Target, "problem", result.Err)
			return
		}
		c.applyRecord(result.Value)
	}
	c.active, c.activeSince, c.balancedAt = true, c.Clock.Now(), c.Clock.Now()
	c.Log.Log(event.ControllerStarted, "partitions", len(c.records))
}

// runRound makes decisions on all partitions, urgent ones first, and then on load and
// decommissioning.
func (c *Controller) runRound(ctx context.Context) {
	c.pending = nil
	c.refreshRecords(ctx)
	view, err := c.currentView(ctx)
	if err != nil {
		return
	}
	for _, partition := range byUrgency(c.records, c.Store.VoterSet().Layout) {
		if ctx.Err() != nil {
			return
		}
		record := c.records[partition]
		if c.epochs[partition] != record.Epoch {
			c.epochs[partition], c.epochSince[partition] = record.Epoch, view.now
		}
		if record.Epoch == 0 {
			c.placeFirst(view, record)
			continue
		}
		if c.replaceLeader(view, record) || !record.Recovered {
			continue
		}
		c.adjustReplicas(view, record)
	}
	c.writeChanges(ctx)
	c.balanceLoad(view)
	c.writeChanges(ctx)
	c.updateDecommissions(ctx, view)
}

// byUrgency returns the partitions, urgent ones first, and those of each class by number.
func byUrgency(records map[int]assignment.Record, layout voters.Layout) []int {
	var partitions []int
	for partition := range records {
		partitions = append(partitions, partition)
	}
	slices.SortFunc(partitions, func(a, b int) int {
		if (a >= layout.RoutinePartitions) != (b >= layout.RoutinePartitions) {
			return b - a
		}
		return a - b
	})
	return partitions
}
