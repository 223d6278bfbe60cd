package register

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// Read returns a value that was current at some moment after the call began. It forwards the
// request to the presumed leader, and reads the key itself if that fails.
func (p *Proposer) Read(ctx context.Context, request *ReadRequest) (*acceptor.Value, error) {
	for forwards := request.Forwards; ; {
		if addr, ok := p.otherLeader(request.Key); ok && forwards < maxForwards {
			forwards++
			value, err := askLeader(ctx, p, func(ctx context.Context) (*acceptor.Value, error) {
				return Read.Call(ctx, p.network, p.self, addr, &ReadRequest{Key: request.Key, Forwards: forwards})
			})
			if err == nil {
				return value, nil
			}
			p.forgetLeader(request.Key)
			forwards = maxForwards
		}
		canForward := forwards < maxForwards
		value, err := p.readLocally(ctx, request.Key, canForward)
		_, ledElsewhere := p.otherLeader(request.Key)
		if ledElsewhere && canForward && apierror.HasCode(err, apierror.NotKeyLeader) {
			continue
		}
		return value, err
	}
}

func (p *Proposer) readLocally(ctx context.Context, key string, yield bool) (*acceptor.Value, error) {
	unlock, err := p.locks.Lock(ctx, key)
	if err != nil {
		return nil, err
	}
	defer unlock()
	if p.Leads(key) {
		state := p.state(key)
		if p.confirmEpoch(ctx, key, state) {
			return &state.value, nil
		}
		p.stopLeading(key)
		if _, ok := p.otherLeader(key); ok && yield {
			return nil, apierror.New(apierror.NotKeyLeader, "%s was claimed by another node", key)
		}
	}
	if value, ok := p.QuorumRead(ctx, key); ok {
		return &value, nil
	}
	state, err := p.acquire(ctx, key, yield)
	if err != nil {
		return nil, err
	}
	return &state.value, nil
}

// QuorumRead reads a key without claiming it, whichever node leads it. The copy that a majority has
// accepted was decided, and nothing was decided after it before the read began. If the first copies
// differ, it waits a short time for more than a majority of them. It is not ok if no majority has
// the highest copy then. Only one voter sends the value itself: the one on this node, or else
// another.
func (p *Proposer) QuorumRead(ctx context.Context, key string) (acceptor.Value, bool) {
	voterSet := p.peers.VoterSet()
	if voterSet.Sequence == 0 {
		return acceptor.Value{}, false
	}
	gatherCtx, stop := context.WithTimeout(ctx, p.timing.ForwardTimeout())
	defer stop()
	copies := p.gatherCopies(gatherCtx, stop, voterSet, key)
	for _, copied := range copies {
		slot := copied.Value.Slots[key]
		p.ObserveEpoch(key, slot.Promised, slot.Value.Successor)
	}
	highest := highestCopies(copies, key)
	if len(highest) < voterSet.Majority() {
		return acceptor.Value{}, false
	}
	for _, copied := range highest {
		if copied.Target.Node == p.self {
			return copied.Value.Slots[key].Value, true
		}
	}
	brief := highest[0].Value.Slots[key]
	if brief.Accepted.IsZero() {
		return brief.Value, true
	}
	ctx, stopFull := context.WithTimeout(ctx, p.timing.ForwardTimeout())
	defer stopFull()
	remote := acceptor.Remote{Network: p.network, Self: p.self, VoterSet: voterSet.Sequence, Voter: highest[0].Target}
	full, ok := remote.ReadFullSlot(ctx, key, brief)
	if !ok {
		return acceptor.Value{}, false
	}
	return full.Value, true
}

// gatherCopies peeks at all voters until a majority has the highest copy. Once a majority has
// answered, the others have extraCopiesWait initial backoffs left: after that it calls stop, which
// ends ctx.
func (p *Proposer) gatherCopies(
	ctx context.Context, stop context.CancelFunc, voterSet voters.Set, key string,
) peekResponses {
	stopping := false
	isEnough := func(responses peekResponses) bool {
		copies := quorum.Successes(responses)
		if len(copies) < voterSet.Majority() {
			return false
		}
		if !stopping {
			stopping = true
			go func() {
				_ = p.clock.Sleep(ctx, extraCopiesWait*p.timing.InitialBackoff())
				stop()
			}()
		}
		return len(highestCopies(copies, key)) >= voterSet.Majority()
	}
	peek := func(ctx context.Context, voter voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, p.network, p.self, voter.Addr, &acceptor.PeekRequest{
			VoterSet:    voterSet.Sequence,
			Incarnation: voter.Incarnation,
			Keys:        []string{key},
			Brief:       voter.Node != p.self,
		})
	}
	return quorum.Successes(quorum.Gather(ctx, voterSet.Voters, peek, isEnough))
}

// ConfirmLeadership reports whether a majority confirms that this node still leads a key.
func (p *Proposer) ConfirmLeadership(ctx context.Context, key string) bool {
	unlock, err := p.locks.Lock(ctx, key)
	if err != nil {
		return false
	}
	defer unlock()
	if !p.Leads(key) {
		return false
	}
	if p.confirmEpoch(ctx, key, p.state(key)) {
		return true
	}
	p.stopLeading(key)
	return false
}

// confirmEpoch reports whether the epoch of state is still the promised one on a majority of the
// voters. It records the epochs that the voters report.
func (p *Proposer) confirmEpoch(ctx context.Context, key string, state keyState) bool {
	voterSet := p.peers.VoterSet()
	ctx, stop := context.WithTimeout(ctx, p.timing.CallTimeout())
	defer stop()
	peek := func(ctx context.Context, voter voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, p.network, p.self, voter.Addr, &acceptor.PeekRequest{
			VoterSet:    state.voterSet,
			Incarnation: voter.Incarnation,
			Keys:        []string{key},
			Brief:       true,
		})
	}
	isConfirmed := func(responses peekResponses) bool {
		return promisedCount(responses, key, state.epoch) >= voterSet.Majority()
	}
	responses := quorum.Gather(ctx, voterSet.Voters, peek, isConfirmed)
	for _, response := range quorum.Successes(responses) {
		slot := response.Value.Slots[key]
		p.ObserveEpoch(key, slot.Promised, slot.Value.Successor)
	}
	return voterSet.Sequence == state.voterSet && isConfirmed(responses)
}
