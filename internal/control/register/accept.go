package register

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// accept has a majority accept a value under the epoch of state. When ctx ends first, the round
// goes on in the background for a call timeout at most, and the outcome is unknown to the caller.
// The caller has the key's lock.
func (p *Proposer) accept(ctx context.Context, key string, state keyState, value acceptor.Value) error {
	voterSet := p.peers.VoterSet()
	if voterSet.Sequence != state.voterSet {
		return apierror.New(apierror.StaleVoterSet, "voter set %d came into force", voterSet.Sequence)
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
		return apierror.WithCause(apierror.NoMajority, ctx.Err(), "the outcome of writing %s is not known yet", key)
	}
}

// acceptRound sends the value to all voters. Those that are not waited for get it all the same.
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
		return apierror.New(apierror.NoMajority, "the outcome of writing %s is not known: %v", key, err)
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
