// Package reconfigurer maintains the voter set of the control keys: it bootstraps the fleet, adds
// new control disks, replaces absent voters, and catches up voters that missed a change.
//
// One Reconfigurer runs beside each voter. The first voter by name that is live and up to date is
// the coordinator, which changes the voter set. The others act only if a change that was started
// does not end. Safety does not depend on there being one coordinator: package reconfig decides
// each change by a majority of the voters, also if two reconfigurers act at the same time.
//
// A Reconfigurer has no lock. All its state belongs to the goroutine that calls Run, which blocks
// on calls to other voters for at most the recovery time in each round.
package reconfigurer

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/bootstrap"
	"postjunction/internal/control/reconfig"
	"postjunction/internal/control/repair"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// Reconfigurer runs beside a voter. All exported fields must be set before Run.
type Reconfigurer struct {
	Self         string
	Clock        clock.Clock
	Timing       settings.Timing
	Store        *gossip.Store
	Bootstrapper *bootstrap.Bootstrapper
	Executor     *reconfig.Executor
	Repairer     *repair.Repairer
	Log          *event.Logger
	// Live returns the nodes with a session at a control node.
	Live func() []membership.Info
	// Changed returns a channel that is closed at the next change of the membership.
	Changed func() <-chan struct{}
	// Sealed returns the sequence of the voter set that is sealed on this disk, 0 if none is.
	Sealed func() uint64
	// Sealing returns a channel that is closed when a voter set is sealed on this disk.
	Sealing func() <-chan struct{}

	absent absences
	// lastBootstrapError is the last logged error of a bootstrap.
	lastBootstrapError string
	// sealedSince is when a change that another voter started was first seen here, or when this
	// voter last tried to finish it. It is zero while there is no such change.
	sealedSince time.Time
	lastSweep   time.Time
}

const (
	// joinPauseDivisor divides the longest backoff. The result is the pause in which control disks
	// that join at about the same time are collected into one change.
	joinPauseDivisor = 2
	// spareVotersDivisor divides the pause between rounds while absent voters could be removed.
	spareVotersDivisor = 2
)

// Run maintains the voter set until ctx ends. It runs a round when the membership changes or a
// voter set is sealed on this disk, and else about every reconcile interval.
func (r *Reconfigurer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		membersChanged, sealing := r.Changed(), r.Sealing()
		pause := r.runRound(ctx)
		if r.Clock.Sleep(ctx, r.Timing.MaxBackoff()/joinPauseDivisor) != nil {
			return
		}
		clock.Wait(ctx, r.Clock, pause, membersChanged, sealing)
	}
}

// runRound bootstraps the fleet or reconciles the voter set. It returns the longest pause until the
// next round.
func (r *Reconfigurer) runRound(ctx context.Context) time.Duration {
	pause := clock.Jitter(r.Timing.ReconcileInterval(), 1, rand.Float64())
	callCtx, cancel := context.WithTimeout(ctx, r.Timing.Recovery)
	defer cancel()
	current := r.Store.VoterSet()
	if current.Sequence == 0 {
		r.bootstrap(callCtx)
		return r.Timing.MaxBackoff()
	}
	if waiting := r.reconcile(callCtx, current); waiting {
		return r.Timing.MaxBackoff()
	}
	if current.SpareVoters() > 0 {
		return pause / spareVotersDivisor
	}
	return pause
}

func (r *Reconfigurer) bootstrap(ctx context.Context) {
	first, err := r.Bootstrapper.Try(ctx)
	if err == nil {
		r.Log.Log(event.Bootstrapped, "fleet", first.Fleet, "voters", len(first.Voters))
		r.Store.Apply(gossip.Update{VoterSet: &first})
		return
	}
	if text := err.Error(); text != r.lastBootstrapError {
		r.lastBootstrapError = text
		r.Log.Log(event.BootstrapPending, "problem", err)
	}
}

// reconcile compares the current voter set with the live control nodes. The coordinator changes the
// voter set and catches up other voters. Any other voter finishes a stalled change. It reports
// whether something waits for a timeout that is shorter than the usual pause.
func (r *Reconfigurer) reconcile(ctx context.Context, current voters.Set) (waiting bool) {
	live := r.liveControlNodes()
	r.absent.update(current, live, r.Clock.Now())
	coordinator := coordinatorOf(current, live)
	if coordinator != r.Self {
		return r.finishStalledChange(ctx, current, live, coordinator)
	}
	r.sealedSince = time.Time{}
	r.sweep(ctx, current)
	change := r.plan(current, live, r.Clock.Now())
	if !change.isEmpty() {
		r.changeVoterSet(ctx, current, change.applyTo(current), strings.Join(change.reasons, "; "))
		return change.waiting
	}
	r.catchUp(ctx, current, laggingVoters(current, live))
	return change.waiting
}

func (r *Reconfigurer) liveControlNodes() map[string]membership.Info {
	live := map[string]membership.Info{}
	for _, node := range r.Live() {
		if node.Disk == settings.DiskControl {
			live[node.Name] = node
		}
	}
	return live
}

// coordinatorOf returns the first voter, in the order of the set, that is live with the disk that
// the set names and up to date. It returns "" if there is none.
func coordinatorOf(current voters.Set, live map[string]membership.Info) string {
	for _, voter := range current.Voters {
		node, ok := live[voter.Node]
		if ok && node.Incarnation == voter.Incarnation && node.VoterSet == current.Sequence {
			return voter.Node
		}
	}
	return ""
}

// finishStalledChange finishes a change of the voter set that another voter started, if the set has
// been sealed on this disk for longer than a change takes. The voter that started it may have
// failed, and nothing is decided until the change ends. The voters step in one after the other. If
// two do at the same time, their epochs decide. It reports whether such a change is unfinished.
func (r *Reconfigurer) finishStalledChange(
	ctx context.Context, current voters.Set, live map[string]membership.Info, coordinator string,
) (waiting bool) {
	if r.Sealed() != current.Sequence {
		r.sealedSince = time.Time{}
		return false
	}
	now := r.Clock.Now()
	if r.sealedSince.IsZero() {
		r.sealedSince = now
	}
	if now.Sub(r.sealedSince) < r.stepInDelay(current, live, coordinator) {
		return true
	}
	r.sealedSince = now
	r.changeVoterSet(ctx, current, current.Replace(), "the change that was begun does not end")
	return true
}

// stepInDelay returns how long a voter set must be sealed before this voter steps in. The delay
// grows with each live voter before this one in the set, the coordinator excepted.
func (r *Reconfigurer) stepInDelay(
	current voters.Set, live map[string]membership.Info, coordinator string,
) time.Duration {
	delay := r.Timing.ForwardTimeout()
	for _, voter := range current.Voters {
		if voter.Node == r.Self {
			break
		}
		if _, ok := live[voter.Node]; ok && voter.Node != coordinator {
			delay += r.Timing.SessionTimeout() / 2
		}
	}
	return delay
}

// sweep repairs control keys whose copy on some disk is outdated, once in each sweep interval.
func (r *Reconfigurer) sweep(ctx context.Context, current voters.Set) {
	now := r.Clock.Now()
	if now.Sub(r.lastSweep) < r.Timing.SweepInterval() {
		return
	}
	r.lastSweep = now
	if repaired := r.Repairer.Repair(ctx, current); repaired > 0 {
		r.Log.Log(event.RepairFound, "keys", repaired)
	}
}

func (r *Reconfigurer) changeVoterSet(ctx context.Context, current, wanted voters.Set, reason string) {
	r.Log.Log(event.VoterSetChange, "from", current.Sequence, "reason", reason)
	next, err := r.Executor.Change(ctx, current, wanted)
	if err != nil {
		if !apierror.HasCode(err, apierror.StaleVoterSet) {
			r.Log.Log(event.VoterSetChangeFailed, "problem", err)
		}
		return
	}
	r.Store.Apply(gossip.Update{VoterSet: &next})
}

// catchUp activates the current voter set on the lagging voters, all at the same time.
func (r *Reconfigurer) catchUp(ctx context.Context, current voters.Set, lagging []voters.Voter) {
	quorum.Gather(ctx, lagging, func(ctx context.Context, voter voters.Voter) (bool, error) {
		err := r.Executor.CatchUp(ctx, current, voter)
		if err != nil {
			r.Log.Log(event.VoterSetChangeFailed, "problem", err)
		}
		return err == nil, err
	}, nil)
}
