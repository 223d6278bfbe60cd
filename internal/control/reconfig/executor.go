// Package reconfig changes the voter set of the control keys: it seals the current set on a
// majority of its voters, copies all keys, and activates the next set.
//
// What follows a voter set is itself decided by its voters, under the key acceptor.VoterSetKey: a
// majority that accepted the successor is sealed and decides nothing else. So one set at most
// follows another, and a change that one executor began is ended by any other.
//
// An Executor keeps no lock: it is for one goroutine. Its calls block for at most the call time-out
// each, and for as many rounds as a change has (four).
package reconfig

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Executor changes voter sets on behalf of one control node.
type Executor struct {
	self    string
	network wire.Network
	timing  settings.Timing
	// highestSeen is the highest epoch that any voter promised, as far as known here.
	highestSeen epoch.Epoch
}

// New returns an executor that calls the voters as the node self.
func New(self string, network wire.Network, timing settings.Timing) *Executor {
	return &Executor{self: self, network: network, timing: timing}
}

func (e *Executor) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.timing.CallTimeout())
}

// Change decides which voter set follows current, and activates it: wanted, unless another change
// was begun before. It returns the set that came into force. Errors are NoMajority, when too few
// voters answered or another executor was ahead, StaleVoterSet, when current is no longer in force,
// and DiskDamaged, when the successor that was decided can't be read.
func (e *Executor) Change(ctx context.Context, current, wanted voters.Set) (voters.Set, error) {
	next, err := e.decideSuccessor(ctx, current, wanted)
	if err != nil {
		return voters.Set{}, err
	}
	slots, err := e.copySlots(ctx, current)
	if err != nil {
		return voters.Set{}, err
	}
	if err := e.activate(ctx, next, slots); err != nil {
		return voters.Set{}, err
	}
	return next, nil
}

// copySlots reads the slots of all keys from as many sealed voters as hold every decided value.
func (e *Executor) copySlots(ctx context.Context, current voters.Set) (map[string]acceptor.Slot, error) {
	needed := current.SealQuorum()
	peek := func(ctx context.Context, voter voters.Voter) (*acceptor.PeekResponse, error) {
		return e.peekAll(ctx, current, voter, true)
	}
	type peekResults = []quorum.Result[voters.Voter, *acceptor.PeekResponse]
	isEnough := func(results peekResults) bool { return len(quorum.Successes(results)) >= needed }
	results := quorum.Gather(ctx, current.Voters, peek, isEnough)
	answered := quorum.Successes(results)
	if len(answered) < needed {
		return nil, apierror.WithCause(apierror.NoMajority, quorum.FirstError(results),
			"%d of the %d sealed disks needed gave their keys", len(answered), needed)
	}
	copies := map[string][]acceptor.Slot{}
	for _, result := range answered {
		for key, slot := range result.Value.Slots {
			if key != acceptor.VoterSetKey {
				copies[key] = append(copies[key], slot)
			}
		}
	}
	merged := map[string]acceptor.Slot{}
	for key, slots := range copies {
		merged[key] = acceptor.Merge(slots)
	}
	return merged, nil
}

// activate puts the voter set next into force, with these slots, on a majority of its voters. The
// calls to the others go on when a majority answered.
func (e *Executor) activate(ctx context.Context, next voters.Set, slots map[string]acceptor.Slot) error {
	results := quorum.Gather(ctx, next.Voters, func(ctx context.Context, voter voters.Voter) (*acceptor.Empty, error) {
		callCtx, cancel := e.withCallTimeout(context.WithoutCancel(ctx))
		defer cancel()
		request := &acceptor.ActivateRequest{Incarnation: voter.Incarnation, VoterSet: next, Slots: slots}
		return acceptor.Activate.Call(callCtx, e.network, e.self, voter.Addr, request)
	}, func(results []quorum.Result[voters.Voter, *acceptor.Empty]) bool {
		return len(quorum.Successes(results)) >= next.Majority()
	})
	if activated := len(quorum.Successes(results)); activated < next.Majority() {
		return apierror.WithCause(apierror.NoMajority, quorum.FirstError(results),
			"voter set %d was activated on %d of %d disks", next.Sequence, activated, len(next.Voters))
	}
	return nil
}

// CatchUp activates the voter set in force on a voter that missed it, with the slots of the first
// other voter that gives them. It returns NoMajority when none does.
func (e *Executor) CatchUp(ctx context.Context, current voters.Set, lagging voters.Voter) error {
	for _, voter := range current.Voters {
		if voter.Node == lagging.Node {
			continue
		}
		response, err := e.peekAll(ctx, current, voter, false)
		if err != nil {
			continue
		}
		callCtx, cancel := e.withCallTimeout(ctx)
		defer cancel()
		request := &acceptor.ActivateRequest{Incarnation: lagging.Incarnation, VoterSet: current, Slots: response.Slots}
		_, err = acceptor.Activate.Call(callCtx, e.network, e.self, lagging.Addr, request)
		return err
	}
	return apierror.New(apierror.NoMajority, "no voter could give its keys to %s", lagging.Node)
}

// peekAll reads the slots of all keys from one voter; with sealed, only if current is sealed there.
func (e *Executor) peekAll(
	ctx context.Context, current voters.Set, voter voters.Voter, sealed bool,
) (*acceptor.PeekResponse, error) {
	callCtx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	request := &acceptor.PeekRequest{VoterSet: current.Sequence, Incarnation: voter.Incarnation, Sealed: sealed}
	return acceptor.Peek.Call(callCtx, e.network, e.self, voter.Addr, request)
}
