// Package reconfig changes the voter set of the control keys. It seals the current set on a
// majority of its voters, copies all keys, and activates the next set.
//
// The voters of the current set decide the next set themselves, under the key acceptor.VoterSetKey.
// A majority that accepted the next set is sealed and decides nothing else. So at most one set
// follows another, and any executor can finish a change that another one started.
//
// An Executor has no lock and is for use by one goroutine. A change blocks for at most one call
// timeout in each of its rounds, of which there are four.
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
	// highestSeen is the highest known epoch that any voter has promised.
	highestSeen epoch.Epoch
}

// New returns an executor that calls the voters on behalf of the node self.
func New(self string, network wire.Network, timing settings.Timing) *Executor {
	return &Executor{self: self, network: network, timing: timing}
}

func (e *Executor) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.timing.CallTimeout())
}

// Change has the voters decide which set follows current, and activates it. They decide on wanted,
// unless another change was started before. Change returns the set that is in effect afterwards.
// Errors are NoMajority if too few voters answered or another executor has a higher epoch,
// StaleVoterSet if current is no longer in effect, and DiskDamaged if the decided successor can't
// be decoded.
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

// copySlots reads the slots of all keys from a seal quorum of current, which has every decided
// value.
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
			"%d sealed disks returned their keys, %d are needed", len(answered), needed)
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

// activate activates the voter set next, with these slots, on a majority of its voters. The calls
// to the other voters continue after it returns.
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

// CatchUp activates the voter set in effect on a voter that missed its activation, with the slots
// of the first other voter that returns them. It returns NoMajority if none does.
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
	return apierror.New(apierror.NoMajority, "no voter returned its keys to catch up %s", lagging.Node)
}

// peekAll reads the slots of all keys from one voter. With sealed it succeeds only if current is
// sealed on that voter.
func (e *Executor) peekAll(
	ctx context.Context, current voters.Set, voter voters.Voter, sealed bool,
) (*acceptor.PeekResponse, error) {
	callCtx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	request := &acceptor.PeekRequest{VoterSet: current.Sequence, Incarnation: voter.Incarnation, Sealed: sealed}
	return acceptor.Peek.Call(callCtx, e.network, e.self, voter.Addr, request)
}
