// Package quorumread confirms on a control node, once every heartbeat interval, which configuration
// a majority of the voters has. Leases are granted to other nodes on the basis of the last
// confirmation (internal/nodelease).
//
// Invariants: the time of a confirmation is taken before its requests are sent. Its sequence never
// decreases. It is OK for less than the duration of a lease. So a superseded configuration is
// served for no longer than a lease.
//
// Concurrency: Run is the only goroutine that calls the voters and writes. Latest only reads, and
// never blocks on a call. Peeks carry no values. The configuration itself is read, through
// internal/control/register, only if copies differ or have another version than the one confirmed
// last.
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
	// recentDivisor is the part of a lease for which a confirmation counts as recent.
	recentDivisor = 2
	// expectedReaders is how many nodes read a key whose copies differ, on average.
	expectedReaders = 2
)

// Confirmer renews the confirmation of one control node. Its exported fields must be set before Run
// and not be changed afterwards.
type Confirmer struct {
	Self     string
	Net      wire.Network
	Clock    clock.Clock
	Timing   settings.Timing
	Store    *gossip.Store
	Proposer *register.Proposer
	Repairer *repair.Repairer

	// mu guards confirmation, version, majorityAnswered and roundAnswered.
	mu           sync.Mutex
	confirmation nodelease.Confirmation
	// version is the version of the register at the confirmation.
	version uint64
	// majorityAnswered is when a majority last answered, with a response or a rejection.
	// roundAnswered says that a majority has answered in the current round.
	majorityAnswered time.Time
	roundAnswered    bool
}

type peekResponses = []quorum.Result[voters.Voter, *acceptor.PeekResponse]

// Latest returns the last confirmation. It is OK only for the duration of a lease. Isolated says
// that no majority has answered for an isolation timeout.
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

// Parse returns the configuration in a register, the zero Config if none was written yet.
func Parse(value acceptor.Value) (configuration.Config, error) {
	var config configuration.Config
	if len(value.Body) == 0 {
		return config, nil
	}
	err := easyjson.Unmarshal(value.Body, &config)
	return config, err
}

// Run confirms once every heartbeat interval until ctx ends. Before the first confirmation it
// retries after an initial backoff. While no voter set is known it retries as soon as gossip
// changes.
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

// confirm calls the voters once. After an error the last confirmation remains and expires.
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

// compareCopies returns the highest of one or more copies, and whether all are the same acceptance.
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

// readValue reads the register. It claims the key only if a quorum read is not possible.
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

// recordAnswers records whether a majority has answered in this round. A rejection counts as an
// answer: voters reject the request while the voter set changes.
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

// mayRead reports whether the configuration may be read now. Copies differ mostly while a change is
// in progress. Reading a key whose copies differ may claim it, and then the copies differ for all
// other nodes too. So nothing is read while the last confirmation is recent, and afterwards only a
// few nodes read.
func (c *Confirmer) mayRead(voterSet voters.Set, identical bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if identical || c.confirmation.At.IsZero() {
		return true
	}
	isRecent := c.Clock.Now().Sub(c.confirmation.At) < c.Timing.LeaseDuration()/recentDivisor
	return !isRecent && rand.IntN(len(voterSet.Voters)) < expectedReaders
}

// renew renews the last confirmation with the same sequence, if the register still has the same
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
