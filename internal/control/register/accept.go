package register

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// accept has a majority of the voters accept a value under the epoch of state. If ctx ends first,
// the round continues in the background for at most a call timeout, and the outcome is unknown to
// the caller. The caller must hold the key's lock.
func (p *Proposer) accept(ctx context.Context, key string, state keyState, value acceptor.Value) error {
	voterSet := p.peers.VoterSet()
	if voterSet.Sequence != state.voterSet {
		return apierror.New(apierror.StaleVoterSet, "voter set %d is in effect now", voterSet.Sequence)
	}
	p.updateState(key, func(current *keyState) { current.leading, current.epoch = false, state.epoch })
	p.accepts.Add(1)
	roundCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), p.timing.CallTimeout())
	done := make(chan error, 1)
	go func() {
		defer stop()
		done <- p.acceptRound(roundCtx, key, voterSet, state, value)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return apierror.WithCause(apierror.NoMajority, ctx.Err(), "the outcome of writing %s is unknown so far", key)
	}
}

// acceptRound sends the value to all voters and waits for a majority. The calls to the other voters
// continue after it returns.
func (p *Proposer) acceptRound(
	ctx context.Context, key string, voterSet voters.Set, state keyState, value acceptor.Value,
) error {
	accept := func(ctx context.Context, voter voters.Voter) (*acceptor.SlotResponse, error) {
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), p.timing.CallTimeout())
		defer stop()
		request := &acceptor.AcceptRequest{Target: target(voterSet, voter, key), Epoch: state.epoch, Value: value}
		return acceptor.Accept.Call(ctx, p.network, p.self, voter.Addr, request)
	}
	responses := quorum.Gather(ctx, voterSet.Voters, accept, func(responses slotResponses) bool {
		return grantCount(responses) >= voterSet.Majority()
	})
	if err := p.finishRound(key, voterSet, responses); err != nil {
		if rejectionCount(responses) == len(voterSet.Voters) {
			return err
		}
		return apierror.New(apierror.NoMajority, "the outcome of writing %s is unknown: %v", key, err)
	}
	p.updateState(key, func(current *keyState) {
		if current.epoch != state.epoch {
			return
		}
		*current = keyState{
			epoch:       state.epoch,
			voterSet:    voterSet.Sequence,
			leading:     true,
			value:       value,
			highestSeen: state.epoch,
			leaderHint:  p.self,
		}
	})
	p.onCommit(key, value)
	return nil
}
