// Package quorumread confirms on a control node, once every heartbeat, which configuration a
// majority of the voters has. Leases of other nodes are given out on the last confirmation
// (internal/nodelease).
//
// What must stay true: a confirmation counts from before its question was sent, its sequence never
// goes back, and it is OK for less than a lease. So a configuration that was superseded is served
// for no longer than a lease.
//
// Run is the one goroutine that asks and writes; Latest only reads, and never blocks on a call.
// Peeks carry no values: the configuration itself is read, through internal/control/register, only
// where copies differ or have another version than the one confirmed last.
package quorumread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/register"
	"postjunction/internal/control/repair"
	"postjunction/internal/gossip"
	"postjunction/internal/nodelease"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
	"postjunction/internal/wire"

	"github.com/mailru/easyjson"
)

// ConfigurationKey is the control key of the configuration.
const ConfigurationKey = "description"

const (
	// youngDivisor divides a lease: a confirmation is young for that part of it.
	recentDivisor = 2
	// readersOfDiffering is how many nodes read a key whose copies differ, on the average.
	expectedReaders = 2
)

// Confirmer keeps the confirmation of one control node fresh. Its exported fields are set before
// Run and not changed.
type Confirmer struct {
	Self     string
	Net      wire.Network
	Clock    clock.Clock
	Timing   settings.Timing
	Store    *gossip.Store
	Proposer *register.Proposer
	Repairer *repair.Repairer

	// mu guards the fields below.
	mu           sync.Mutex
	confirmation nodelease.Confirmation
	// version is the configuration's version in the register as of the confirmation.
	version uint64
	// majorityAnswered is when a majority last answered, in whatever way; roundAnswered says that
	// one has answered the round that is under way.
	majorityAnswered time.Time
	roundAnswered    bool
}

type peekResponses = []quorum.Result[voters.Voter, *acceptor.PeekResponse]

// Latest returns the last confirmation; it is OK only for a lease. Isolated says that no majority
// has answered for an isolation timeout.
func (c *Confirmer) Latest() nodelease.Confirmation {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.confirmation
	latest.OK = latest.OK && now.Sub(latest.At) < c.Timing.LeaseDuration()
	latest.Isolated = !c.majorityAnswered.IsZero() && !c.roundAnswered &&
		now.Sub(c.majorityAnswered) > c.Timing.IsolationTimeout()
	return latest
}

// Parse returns the configuration in a register, the zero one when none was written yet.
func Parse(value acceptor.Value) (configuration.Config, error) {
	var config configuration.Config
	if len(value.Body) == 0 {
		return config, nil
	}
	err := easyjson.Unmarshal(value.Body, &config)
	return config, err
}

// Run confirms every heartbeat until ctx ends. Before the first confirmation it tries again soon,
// and where no voter set is known as soon as gossip has changed.
func (c *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.Store.Changed()
		c.confirm(ctx)
		switch {
		case c.hasConfirmed():
			_ = c.Clock.Sleep(ctx, c.Timing.HeartbeatInterval())
		case c.Store.VoterSet().Sequence == 0:
			clock.Wait(ctx, c.Clock, c.Timing.HeartbeatInterval()/2, changed, nil)
		default:
			_ = c.Clock.Sleep(ctx, clock.Jitter(c.Timing.InitialBackoff(), 1, rand.Float64()))
		}
	}
}

func (c *Confirmer) hasConfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmation.At.IsZero()
}

// confirm asks the voters once. Errors leave the last confirmation to its age.
func (c *Confirmer) confirm(ctx context.Context) {
	voterSet := c.Store.VoterSet()
	if voterSet.Sequence == 0 {
		return
	}
	askedAt := c.Clock.Now()
	ctx, stop := context.WithTimeout(ctx, c.Timing.CallTimeout())
	defer stop()
	copies := c.gatherCopies(ctx, voterSet)
	if len(copies) < voterSet.Majority() {
		return
	}
	highest, identical := compareCopies(copies)
	c.Proposer.ObserveEpoch(ConfigurationKey, highest.Promised, highest.Value.Successor)
	if identical && c.renew(askedAt, highest.Value.Version) {
		return
	}
	if !c.mayRead(voterSet, identical) {
		return
	}
	value, err := c.readValue(ctx)
	if err != nil {
		return
	}
	config, err := Parse(value)
	if err != nil {
		return
	}
	if config.Sequence > 0 {
		c.Store.Apply(gossip.Update{Configuration: &config})
	}
	if !identical {
		c.Repairer.Repair(ctx, voterSet, ConfigurationKey)
	}
	c.recordConfirmation(askedAt, config.Sequence, value.Version)
}

// gatherCopies peeks at the configuration's register until a majority has answered.
func (c *Confirmer) gatherCopies(ctx context.Context, voterSet voters.Set) peekResponses {
	peek := func(ctx context.Context, voter voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, c.Net, c.Self, voter.Addr, &acceptor.PeekRequest{
			VoterSet:    voterSet.Sequence,
			Incarnation: voter.Incarnation,
			Keys:        []string{ConfigurationKey},
			Brief:       true,
		})
	}
	responses := quorum.Gather(ctx, voterSet.Voters, peek, func(responses peekResponses) bool {
		c.recordAnswers(responses, voterSet.Majority())
		return len(quorum.Successes(responses)) >= voterSet.Majority()
	})
	c.endRound()
	return quorum.Successes(responses)
}

// compareCopies returns the highest of one copy or more, and whether all are the same acceptance.
func compareCopies(copies peekResponses) (highest acceptor.Slot, identical bool) {
	highest, identical = copies[0].Value.Slots[ConfigurationKey], true
	for _, response := range copies[1:] {
		slot := response.Value.Slots[ConfigurationKey]
		if slot.Accepted != highest.Accepted || slot.Value.Version != highest.Value.Version {
			identical = false
		}
		if slot.NewerThan(highest) {
			highest = slot
		}
	}
	return highest, identical
}

// readValue reads the register, without a claim to the key where that can be done.
func (c *Confirmer) readValue(ctx context.Context) (acceptor.Value, error) {
	if value, ok := c.Proposer.QuorumRead(ctx, ConfigurationKey); ok {
		return value, nil
	}
	value, err := c.Proposer.Read(ctx, &register.ReadRequest{Key: ConfigurationKey})
	if err != nil {
		return acceptor.Value{}, err
	}
	return *value, nil
}

// noteAnswers notes whether a majority has answered. A voter that rejects the question, as while
// the voter set changes, has answered.
func (c *Confirmer) recordAnswers(responses peekResponses, majority int) {
	answered := 0
	for _, response := range responses {
		if !apierror.HasCode(response.Err, apierror.Unreachable) {
			answered++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundAnswered = answered >= majority
	if c.roundAnswered {
		c.majorityAnswered = c.Clock.Now()
	}
}

func (c *Confirmer) endRound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roundAnswered {
		c.roundAnswered, c.majorityAnswered = false, c.Clock.Now()
	}
}

// mayRead reports whether the configuration may be read now. Copies that differ mostly do so while
// a change is under way, and to read a key whose copies differ may mean to claim it, which makes
// them differ for all others. So that is left to later heartbeats, while the last confirmation is
// young, and to a few nodes.
func (c *Confirmer) mayRead(voterSet voters.Set, identical bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if identical || c.confirmation.At.IsZero() {
		return true
	}
	isRecent := c.Clock.Now().Sub(c.confirmation.At) < c.Timing.LeaseDuration()/recentDivisor
	return !isRecent && rand.IntN(len(voterSet.Voters)) < expectedReaders
}

// renew confirms the sequence of the last confirmation again, if the register still has the same
// version.
func (c *Confirmer) renew(askedAt time.Time, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmation.OK || version != c.version {
		return false
	}
	c.confirmation.At = askedAt
	return true
}

func (c *Confirmer) recordConfirmation(askedAt time.Time, sequence, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sequence = max(sequence, c.confirmation.Sequence)
	c.confirmation = nodelease.Confirmation{OK: true, Sequence: sequence, At: askedAt}
	c.version = version
}
