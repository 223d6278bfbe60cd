// Package controller is the placement duty: the node that holds its key gives partitions their disks and owners.
package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/register"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
)

// Key is the control key whose holder has the duty.
const Key = "duty/placement"

// Controller runs placement on one control node while it holds the key.
type Controller struct {
	Self     string
	Clock    clock.Clock
	Timing   settings.Timing
	Proposer *register.Proposer
	Client   *registerclient.Client
	Store    *gossip.Store
	Live     func() []membership.Info
	// Changed gives what is closed at news of the members.
	Changed func() <-chan struct{}
	Log     *event.Logger
	// Broadcast has records that were written here known at once.
	Broadcast func(context.Context, ...assignment.Record)

	held  bool
	since time.Time
	recs  map[int]assignment.Record
	gone  map[string]time.Time
	deaf  map[string]time.Time
	slow  map[string]time.Time
	// fresh are the storage machines that held nothing when they were first seen, and when that was, until nothing is gone.
	fresh map[string]time.Time
	// absent are emptied machines that are gone, renewed those that are there with another disk, and since when.
	absent  map[string]time.Time
	renewed map[string]time.Time
	opened  map[int]time.Time
	epochs  map[int]uint64
	moved   time.Time
	wants   []want

	members, records <-chan struct{}
}

// want is a change of a record that a round has decided on.
type want struct{ old, n assignment.Record }

const (
	learnersMost = 32
	// newsShare makes the least pause between two rounds.
	newsShare = 4
	// worthPercent is how much of the highest load a move must take off to be worth its take-over.
	worthPercent = 15
)

// wait waits for the next round: the one that has the duty acts on news, the others look at their own pace.
func (d *Controller) wait(ctx context.Context) error {
	pace := clock.Jitter(d.Timing.ReconcileInterval(), 0.2, rand.Float64())
	if !d.held {
		return d.Clock.Sleep(ctx, pace)
	}
	if err := d.Clock.Sleep(ctx, d.Timing.MaxBackoff()/newsShare); err != nil {
		return err
	}
	clock.Wait(ctx, d.Clock, pace, d.members, d.records)
	d.members, d.records = d.Changed(), d.Store.Changed()
	return ctx.Err()
}

// Run tends the partitions until ctx ends.
func (d *Controller) Run(ctx context.Context) {
	for d.wait(ctx) == nil {
		if d.Store.VoterSet().Sequence == 0 {
			continue
		}
		cx, stop := context.WithTimeout(ctx, d.Timing.Recovery)
		if !d.mine(cx) {
			if d.held {
				d.Log.Log(event.ControllerStopped)
			}
			d.held = false
			stop()
			continue
		}
		if !d.held {
			d.take(cx)
		}
		if d.held {
			d.round(cx)
		}
		stop()
	}
}

func (d *Controller) mine(ctx context.Context) bool {
	if !d.Proposer.Leads(Key) {
		cx, stop := context.WithTimeout(ctx, d.Timing.CallTimeout())
		defer stop()
		if err := d.Proposer.Claim(cx, Key); err != nil {
			return false
		}
		return d.Proposer.ConfirmLeadership(cx, Key)
	}
	cx, stop := context.WithTimeout(ctx, d.Timing.CallTimeout())
	defer stop()
	return d.Proposer.ConfirmLeadership(cx, Key)
}

func (d *Controller) take(ctx context.Context) {
	d.recs, d.gone, d.deaf, d.slow = map[int]assignment.Record{}, map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	d.fresh, d.absent, d.renewed = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	d.opened, d.epochs = map[int]time.Time{}, map[int]uint64{}
	var ps []int
	for p := range d.Store.VoterSet().Layout.PartitionCount() {
		ps = append(ps, p)
	}
	for _, a := range quorum.Gather(ctx, ps, d.fetch, nil) {
		if a.Err != nil {
			d.Log.Log(event.PlacementFailed, "partition", a.Target, "problem", a.Err)
			return
		}
		d.keep(a.Value)
	}
	d.held, d.since, d.moved = true, d.Clock.Now(), d.Clock.Now()
	d.Log.Log(event.ControllerStarted, "partitions", len(d.recs))
}

func (d *Controller) fetch(ctx context.Context, p int) (assignment.Record, error) {
	v, err := d.Client.Read(ctx, assignment.Key(p))
	if err != nil {
		return assignment.Record{}, err
	}
	r := assignment.Record{Partition: p}
	if len(v.Body) > 0 {
		if r, err = assignment.Parse(v.Body, v.Version); err != nil {
			return r, apierror.Wrap(apierror.Internal, err, "read the record of partition %d", p)
		}
	}
	r.Version = v.Version
	return r, nil
}

func (d *Controller) keep(r assignment.Record) {
	d.recs[r.Partition] = r
	if r.Version > 0 {
		d.Store.Apply(gossip.Update{Records: []assignment.Record{r}})
	}
}

func (d *Controller) read(ctx context.Context, p int) error {
	r, err := d.fetch(ctx, p)
	if err == nil {
		d.keep(r)
	}
	return err
}

// write notes a change, which is made with all others of the round.
func (d *Controller) write(old, n assignment.Record) { d.wants = append(d.wants, want{old, n}) }

// flush makes all changes that were noted, at once.
func (d *Controller) flush(ctx context.Context) {
	ws := d.wants
	d.wants = nil
	for _, a := range quorum.Gather(ctx, ws, func(ctx context.Context, w want) (assignment.Record, error) {
		v, err := d.Client.Change(ctx, assignment.Key(w.n.Partition), w.old.Version, registerclient.NewChangeID(), w.n.Marshal())
		if err == nil {
			w.n.Version = v.Version
			d.Broadcast(context.WithoutCancel(ctx), w.n)
			return w.n, nil
		}
		if !apierror.HasCode(err, apierror.StaleBase) {
			d.Log.Log(event.PlacementFailed, "partition", w.n.Partition, "problem", err)
		}
		return d.fetch(ctx, w.n.Partition)
	}, nil) {
		if a.Err != nil {
			continue
		}
		d.keep(a.Value)
		if n := a.Target.n; a.Value.Epoch == n.Epoch && n.Epoch != a.Target.old.Epoch && a.Value.Leader == n.Leader {
			h := n.History[len(n.History)-1]
			d.Log.Log(event.PartitionPlaced, "partition", n.Partition, "epoch", n.Epoch, "owner", n.Leader, "replicas", strings.Join(h.Replicas, ","), "reason", h.Reason)
		}
	}
}

func (d *Controller) refresh(ctx context.Context) {
	for p, r := range d.recs {
		if b := d.Store.Record(p); b.Version > r.Version {
			d.recs[p] = b
		}
	}
	for p, r := range d.recs {
		if !r.Recovered && r.Epoch > 0 && d.Clock.Now().Sub(d.opened[p]) > d.Timing.TakeoverTimeout() {
			_ = d.read(ctx, p)
		}
	}
}

func (d *Controller) round(ctx context.Context) {
	d.wants = nil
	d.refresh(ctx)
	s, err := d.scene(ctx)
	if err != nil {
		return
	}
	learners := 0
	var ps []int
	for p, r := range d.recs {
		ps = append(ps, p)
		if r.Learner != nil {
			learners++
		}
	}
	layout := d.Store.VoterSet().Layout
	slices.SortFunc(ps, func(a, b int) int {
		if (a >= layout.RoutinePartitions) != (b >= layout.RoutinePartitions) {
			return b - a
		}
		return a - b
	})
	for _, p := range ps {
		if ctx.Err() != nil {
			return
		}
		r := d.recs[p]
		if d.epochs[p] != r.Epoch {
			d.epochs[p], d.opened[p] = r.Epoch, s.now
		}
		if r.Epoch == 0 {
			d.first(s, r)
			continue
		}
		if d.owner(s, r) || !r.Recovered {
			continue
		}
		d.copies(s, r, &learners)
	}
	d.flush(ctx)
	d.balance(s)
	d.flush(ctx)
	d.tendDrains(ctx, s)
}
