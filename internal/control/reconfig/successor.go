package reconfig

import (
	"context"
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// slotResult is the response of one voter to a prepare or accept request.
type slotResult = quorum.Result[voters.Voter, *acceptor.SlotResponse]

// decideSuccessor has the voters of current decide which set follows it, in two rounds: a majority
// promises a new epoch, and then accepts the successor under it. The successor is wanted, unless a
// voter that promised has accepted another set already. Once it is decided, current is sealed.
func (e *Executor) decideSuccessor(ctx context.Context, current, wanted voters.Set) (voters.Set, error) {
	proposed := e.highestSeen.Next(e.self)
	e.highestSeen = proposed
	promises, err := e.askMajority(ctx, current, "promised",
		func(ctx context.Context, voter voters.Voter) (*acceptor.SlotResponse, error) {
			request := &acceptor.PromiseRequest{Target: target(current, voter), Epoch: proposed}
			return acceptor.Promise.Call(ctx, e.network, e.self, voter.Addr, request)
		})
	if err != nil {
		return voters.Set{}, err
	}
	next, err := successorOf(promises, wanted)
	if err != nil {
		return voters.Set{}, err
	}
	if err := e.acceptSuccessor(ctx, current, next, proposed); err != nil {
		return voters.Set{}, err
	}
	return next, nil
}

func (e *Executor) acceptSuccessor(ctx context.Context, current, next voters.Set, proposed epoch.Epoch) error {
	body, err := json.Marshal(next)
	if err != nil {
		return err
	}
	value := acceptor.Value{Version: 1, ChangeID: e.self, Body: body}
	_, err = e.askMajority(ctx, current, "accepted",
		func(ctx context.Context, voter voters.Voter) (*acceptor.SlotResponse, error) {
			request := &acceptor.AcceptRequest{Target: target(current, voter), Epoch: proposed, Value: value}
			return acceptor.Accept.Call(ctx, e.network, e.self, voter.Addr, request)
		})
	return err
}

// target addresses the slot of VoterSetKey on one voter.
func target(current voters.Set, voter voters.Voter) acceptor.Target {
	return acceptor.Target{VoterSet: current.Sequence, Incarnation: voter.Incarnation, Key: acceptor.VoterSetKey}
}

// successorOf returns the set with the latest acceptance among the voters that promised, or wanted
// if none has accepted one. It returns DiskDamaged if that set can't be decoded.
func successorOf(promises []slotResult, wanted voters.Set) (voters.Set, error) {
	var latest acceptor.Slot
	for _, result := range quorum.Successes(promises) {
		if result.Value.Granted && result.Value.Slot.NewerThan(latest) {
			latest = result.Value.Slot
		}
	}
	next := wanted
	if latest.Accepted.IsZero() {
		return next, nil
	}
	if err := json.Unmarshal(latest.Value.Body, &next); err != nil {
		return voters.Set{}, apierror.Wrap(apierror.DiskDamaged, err, "decode the next voter set")
	}
	return next, nil
}

// askMajority calls every voter of current at once and returns the responses once a majority has
// granted the request. Else it returns StaleVoterSet if some voter returned that, and NoMajority if
// none did. verb is part of the text of NoMajority.
func (e *Executor) askMajority(
	ctx context.Context, current voters.Set, verb string,
	call func(context.Context, voters.Voter) (*acceptor.SlotResponse, error),
) ([]slotResult, error) {
	hasMajority := func(results []slotResult) bool { return e.countGranted(results) >= current.Majority() }
	callWithTimeout := func(ctx context.Context, voter voters.Voter) (*acceptor.SlotResponse, error) {
		callCtx, cancel := e.withCallTimeout(ctx)
		defer cancel()
		return call(callCtx, voter)
	}
	results := quorum.Gather(ctx, current.Voters, callWithTimeout, hasMajority)
	if hasMajority(results) {
		return results, nil
	}
	for _, result := range results {
		if apierror.HasCode(result.Err, apierror.StaleVoterSet) {
			return nil, result.Err
		}
	}
	return nil, apierror.WithCause(apierror.NoMajority, quorum.FirstError(results),
		"%d of %d disks %s a change of voter set %d", e.countGranted(results), len(current.Voters), verb, current.Sequence)
}

// countGranted returns how many voters granted the request. It records the epochs of the voters
// that rejected it, so that the next proposed epoch is above them.
func (e *Executor) countGranted(results []slotResult) int {
	granted := 0
	for _, result := range quorum.Successes(results) {
		if result.Value.Granted {
			granted++
		} else if e.highestSeen.Less(result.Value.Slot.Promised) {
			e.highestSeen = result.Value.Slot.Promised
		}
	}
	return granted
}
