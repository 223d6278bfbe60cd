package register

import (
	"context"
	"math/rand/v2"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// acquire returns the state of a key that this node leads. It claims the key first if this node
// doesn't lead it. With yield it gives up as soon as it sees that another live node leads the key.
// The caller must hold the key's lock.
func (p *Proposer) acquire(ctx context.Context, key string, yield bool) (keyState, error) {
	for attempt := 0; ; attempt++ {
		voterSet := p.peers.VoterSet()
		if voterSet.Sequence == 0 {
			return keyState{}, apierror.New(apierror.NotBootstrapped, "no voter set is known")
		}
		state := p.state(key)
		if state.leadsUnder(voterSet.Sequence) {
			return state, nil
		}
		if p.draining.Load() {
			return keyState{}, apierror.New(apierror.ShuttingDown, "this control node is stopping")
		}
		startedAt := p.clock.Now()
		state, err := p.prepare(ctx, key, voterSet)
		if err == nil {
			return state, nil
		}
		rejected := apierror.HasCode(err, apierror.NotKeyLeader)
		if _, ok := p.otherLeader(key); ok && yield && rejected {
			return keyState{}, err
		}
		if attempt == maxClaimRetries || ctx.Err() != nil || apierror.HasCode(err, apierror.StaleVoterSet) {
			return keyState{}, err
		}
		pause := p.timing.Backoff(claimBackoffStep*attempt) / 2
		if rejected {
			// Waits for at least the duration of this round, up to the forward timeout, so that the
			// other claim can finish. Two claimants could otherwise overtake each other forever.
			pause = max(pause, min(p.clock.Now().Sub(startedAt), p.timing.ForwardTimeout()))
		}
		if p.clock.Sleep(ctx, clock.Jitter(pause, 2, rand.Float64())) != nil {
			return keyState{}, err
		}
	}
}

// lockAndAcquire calls acquire under the key's lock.
func (p *Proposer) lockAndAcquire(ctx context.Context, key string, yield bool) error {
	unlock, err := p.locks.Lock(ctx, key)
	if err != nil {
		return err
	}
	defer unlock()
	_, err = p.acquire(ctx, key, yield)
	return err
}

// prepare claims a key under a new epoch. It has a majority promise the epoch, and then has the
// highest acceptance that these voters report accepted again under it.
func (p *Proposer) prepare(ctx context.Context, key string, voterSet voters.Set) (keyState, error) {
	previous := p.state(key)
	highest := previous.highestSeen
	if highest.Less(previous.epoch) {
		highest = previous.epoch
	}
	proposed := highest.Next(p.self)
	p.updateState(key, func(state *keyState) { state.leading, state.epoch = false, proposed })
	p.claims.Add(1)
	gatherCtx, stop := context.WithTimeout(ctx, p.timing.CallTimeout())
	defer stop()
	promise := func(ctx context.Context, voter voters.Voter) (*acceptor.SlotResponse, error) {
		request := &acceptor.PromiseRequest{Target: target(voterSet, voter, key), Epoch: proposed}
		return acceptor.Promise.Call(ctx, p.network, p.self, voter.Addr, request)
	}
	responses := quorum.Gather(gatherCtx, voterSet.Voters, promise, func(responses slotResponses) bool {
		return grantCount(responses) >= voterSet.Majority()
	})
	if err := p.finishRound(key, voterSet, responses); err != nil {
		return keyState{}, err
	}
	adopted := highestAccepted(responses)
	state := keyState{
		epoch:       proposed,
		voterSet:    voterSet.Sequence,
		value:       adopted.Value,
		highestSeen: proposed,
		leaderHint:  p.self,
	}
	if adopted.Accepted.IsZero() {
		state.leading = true
		p.updateState(key, func(current *keyState) { *current = state })
		return state, nil
	}
	value := adopted.Value
	value.Successor = ""
	if err := p.accept(ctx, key, state, value); err != nil {
		return keyState{}, err
	}
	return p.state(key), nil
}

// finishRound returns the error of a round, nil if a majority granted it. It records the higher
// epoch of the first rejection.
func (p *Proposer) finishRound(key string, voterSet voters.Set, responses slotResponses) error {
	err := roundError(key, voterSet, responses)
	if rejection := firstRejection(responses); err != nil && rejection != nil {
		p.ObserveEpoch(key, rejection.Promised, rejection.Value.Successor)
	}
	return err
}

func target(voterSet voters.Set, voter voters.Voter, key string) acceptor.Target {
	return acceptor.Target{VoterSet: voterSet.Sequence, Incarnation: voter.Incarnation, Key: key}
}
