package register

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/quorum"
)

// Claim makes this node the leader of a key. It returns NotKeyLeader if another live node leads the
// key. A live node that is presumed to lead is asked first: two nodes that each presume the other
// to be the leader would otherwise both wait.
func (p *Proposer) Claim(ctx context.Context, key string) error {
	addr, ok := p.otherLeader(key)
	if !ok {
		return p.lockAndAcquire(ctx, key, true)
	}
	presumed := p.state(key).leaderHint
	response, err := askLeader(ctx, p, func(ctx context.Context) (*LeaderResponse, error) {
		return Leader.Call(ctx, p.network, p.self, addr, &LeaderRequest{Key: key})
	})
	if err != nil || response.Leads {
		return apierror.WithCause(apierror.NotKeyLeader, err, "%s is led by %s", key, presumed)
	}
	hint := response.Hint
	if _, live := p.peers.Live(hint); live && hint != p.self && hint != presumed {
		p.updateState(key, func(state *keyState) { state.leaderHint = hint })
		return apierror.New(apierror.NotKeyLeader, "%s does not lead %s and names %s", presumed, key, hint)
	}
	return p.lockAndAcquire(ctx, key, false)
}

// TransferLeadership transfers the keys that this node leads to successors, assigned in rotation.
// This node claims no key from then on. It returns how many keys a successor has claimed.
func (p *Proposer) TransferLeadership(ctx context.Context, successors []string) int {
	p.draining.Store(true)
	var keys []string
	p.states.Range(func(key string, state keyState) {
		if state.leading {
			keys = append(keys, key)
		}
	})
	if len(successors) == 0 || len(keys) == 0 {
		return 0
	}
	successorOf := map[string]string{}
	for i, key := range keys {
		successorOf[key] = successors[i%len(successors)]
	}
	results := quorum.Gather(ctx, keys, func(ctx context.Context, key string) (bool, error) {
		err := p.transfer(ctx, key, successorOf[key])
		return err == nil, err
	}, nil)
	return len(quorum.Successes(results))
}

// transfer writes the successor into the register, so that every node that reads it forwards to the
// successor. Then it asks the successor to claim the key.
func (p *Proposer) transfer(ctx context.Context, key, successor string) error {
	unlock, err := p.locks.Lock(ctx, key)
	if err != nil {
		return err
	}
	defer unlock()
	state := p.state(key)
	if state.value.Version > 0 {
		value := state.value
		value.Successor = successor
		value.Version++
		if err := p.accept(ctx, key, state, value); err != nil {
			return err
		}
	}
	p.updateState(key, func(state *keyState) { state.leading, state.leaderHint = false, successor })
	addr, ok := p.peers.Live(successor)
	if !ok {
		return apierror.New(apierror.Unreachable, "successor %s is not live", successor)
	}
	_, err = TakeOver.Call(ctx, p.network, p.self, addr, &TakeOverRequest{Key: key})
	return err
}
