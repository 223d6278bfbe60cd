package register

import (
	"sync/atomic"

	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/keylock"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Peers provides the voter set and the live nodes.
type Peers interface {
	// VoterSet returns the voter set in effect. Its Sequence is 0 before the bootstrap.
	VoterSet() voters.Set
	// Live returns the address of a node, and whether it is live.
	Live(node string) (addr string, ok bool)
}

// CommitHandler is called with a key's value once a majority has accepted it.
type CommitHandler func(key string, value acceptor.Value)

// Options are the dependencies of a Proposer.
type Options struct {
	Self    string
	Network wire.Network
	Clock   clock.Clock
	Timing  settings.Timing
	Peers   Peers
	// OnCommit runs in the goroutine of the accept round, under the key's lock.
	OnCommit CommitHandler
}

// Proposer claims and leads keys for one control node.
type Proposer struct {
	self     string
	network  wire.Network
	clock    clock.Clock
	timing   settings.Timing
	peers    Peers
	onCommit CommitHandler
	// locks serializes proposals for one key. states has locks of its own.
	locks    *keylock.Locks
	states   *keylock.Map[string, keyState]
	draining atomic.Bool
	claims   atomic.Uint64
	accepts  atomic.Uint64
}

// keyState is what this node knows about one key.
type keyState struct {
	// epoch is the epoch of this node's last claim. voterSet is the sequence of the voter set that
	// the claim was made under.
	epoch    epoch.Epoch
	voterSet uint64
	// leading says that this node leads the key, as far as it knows. value is then the committed
	// value.
	leading bool
	value   acceptor.Value
	// highestSeen is the highest epoch seen on any node. leaderHint is the node presumed to lead
	// the key.
	highestSeen epoch.Epoch
	leaderHint  string
}

func (s keyState) leadsUnder(voterSet uint64) bool { return s.leading && s.voterSet == voterSet }

const (
	lockShards = 64
	// maxClaimRetries is how often a failed claim is retried.
	maxClaimRetries = 4
	// maxForwards is how often a request is forwarded before its receiver claims the key.
	maxForwards = 2
	// claimBackoffStep is the number of steps by which the backoff grows with each retried claim.
	claimBackoffStep = 2
	// extraCopiesWait is the number of initial backoffs for which a quorum read waits for more
	// copies than a majority.
	extraCopiesWait = 2
)

// New returns a proposer that leads no key.
func New(options Options) *Proposer {
	return &Proposer{
		self:     options.Self,
		network:  options.Network,
		clock:    options.Clock,
		timing:   options.Timing,
		peers:    options.Peers,
		onCommit: options.OnCommit,
		locks:    keylock.New(lockShards),
		states:   keylock.NewMap[string, keyState](),
	}
}

func (p *Proposer) state(key string) keyState {
	state, _ := p.states.Get(key)
	return state
}

func (p *Proposer) updateState(key string, change func(*keyState)) {
	p.states.Update(key, func(state keyState, _ bool) (keyState, bool) {
		change(&state)
		return state, true
	})
}

func (p *Proposer) stopLeading(key string) {
	p.updateState(key, func(state *keyState) { state.leading = false })
}

func (p *Proposer) forgetLeader(key string) {
	p.updateState(key, func(state *keyState) { state.leaderHint = "" })
}

// Leads reports whether this node leads a key as far as it knows, without asking other nodes. See
// ConfirmLeadership for an answer that a majority confirms.
func (p *Proposer) Leads(key string) bool {
	return p.state(key).leadsUnder(p.peers.VoterSet().Sequence)
}

// LeaderOf returns the node presumed to lead a key, "" if none is known.
func (p *Proposer) LeaderOf(key string) string {
	if p.Leads(key) {
		return p.self
	}
	return p.state(key).leaderHint
}

// ObserveEpoch records an epoch seen on another node. The node of the epoch, or the successor that
// it named, is then presumed to lead the key.
func (p *Proposer) ObserveEpoch(key string, seen epoch.Epoch, successor string) {
	p.updateState(key, func(state *keyState) {
		if seen.Less(state.highestSeen) {
			return
		}
		state.highestSeen, state.leaderHint = seen, seen.Node
		if successor != "" {
			state.leaderHint = successor
		}
	})
}

// otherLeader returns the address of the node presumed to lead a key. It is not ok if that is this
// node, or a node that is not live, or if none is known.
func (p *Proposer) otherLeader(key string) (addr string, ok bool) {
	state := p.state(key)
	if state.leadsUnder(p.peers.VoterSet().Sequence) || state.leaderHint == "" || state.leaderHint == p.self {
		return "", false
	}
	return p.peers.Live(state.leaderHint)
}

// Counts returns how many claims and accept rounds were started.
func (p *Proposer) Counts() (claims, accepts uint64) {
	return p.claims.Load(), p.accepts.Load()
}
