// Package quorumread finds out from a majority of control disks which description is current.
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
	"postjunction/internal/control/voters"
	"postjunction/internal/gossip"
	"postjunction/internal/nodelease"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"

	"github.com/mailru/easyjson"
)

// ConfigurationKey is the control key of the description.
const ConfigurationKey = "description"

// Confirmer keeps the answer fresh on one control node.
type Confirmer struct {
	Self     string
	Net      wire.Network
	Clock    clock.Clock
	Timing   settings.Timing
	Store    *gossip.Store
	Proposer *register.Proposer
	Repairer *repair.Repairer
	mu       sync.Mutex
	c        nodelease.Confirmation
	at       uint64
	// reached is when a majority had last answered, in whatever way; there tells that it has answered the question that is open.
	reached time.Time
	there   bool
}

// Latest gives the last confirmation; it is OK only while young.
func (f *Confirmer) Latest() nodelease.Confirmation {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.c
	c.OK = c.OK && now.Sub(c.At) < f.Timing.LeaseDuration()
	c.Isolated = f.reached != none && !f.there && now.Sub(f.reached) > f.Timing.IsolationTimeout()
	return c
}

// Parse reads the description of a register; none was put when it was never written.
func Parse(v acceptor.Value) (configuration.Config, error) {
	var d configuration.Config
	if len(v.Body) == 0 {
		return d, nil
	}
	err := easyjson.Unmarshal(v.Body, &d)
	return d, err
}

// Run confirms every heartbeat; until it did so for the first time, it tries again soon and on news.
func (f *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		news := f.Store.Changed()
		f.once(ctx)
		if f.begun() {
			_ = f.Clock.Sleep(ctx, f.Timing.HeartbeatInterval())
			continue
		}
		if f.Store.VoterSet().Sequence == 0 {
			clock.Wait(ctx, f.Clock, f.Timing.HeartbeatInterval()/2, news, nil)
			continue
		}
		_ = f.Clock.Sleep(ctx, clock.Jitter(f.Timing.InitialBackoff(), 1, rand.Float64()))
	}
}

func (f *Confirmer) begun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.c.At != none
}

type peeks = []quorum.Result[voters.Voter, *acceptor.PeekResponse]

func (f *Confirmer) once(ctx context.Context) {
	r := f.Store.VoterSet()
	if r.Sequence == 0 {
		return
	}
	at := f.Clock.Now()
	cx, stop := context.WithTimeout(ctx, f.Timing.CallTimeout())
	defer stop()
	as := quorum.Gather(cx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, f.Net, f.Self, s.Addr, &acceptor.PeekRequest{VoterSet: r.Sequence, Incarnation: s.Incarnation, Keys: []string{ConfigurationKey}, Brief: true})
	}, func(as peeks) bool {
		f.reach(as, r.Majority())
		return len(quorum.Successes(as)) >= r.Majority()
	})
	f.leave()
	g := quorum.Successes(as)
	if len(g) < r.Majority() {
		return
	}
	top := g[0].Value.Slots[ConfigurationKey]
	same := true
	for _, a := range g[1:] {
		s := a.Value.Slots[ConfigurationKey]
		same = same && s.Accepted == top.Accepted && s.Value.Version == top.Value.Version
		if s.NewerThan(top) {
			top = s
		}
	}
	f.Proposer.ObserveEpoch(ConfigurationKey, top.Promised, top.Value.Successor)
	f.mu.Lock()
	had, seq := f.c.OK && same && f.writes(top), f.c.Sequence
	f.mu.Unlock()
	if had {
		f.set(at, seq, top)
		return
	}
	if !f.settle(r, same) {
		return
	}
	v, ok := f.Proposer.QuorumRead(cx, ConfigurationKey)
	if !ok {
		w, err := f.Proposer.Read(cx, &register.ReadRequest{Key: ConfigurationKey})
		if err != nil {
			return
		}
		v = *w
	}
	d, err := Parse(v)
	if err != nil {
		return
	}
	if d.Sequence > 0 {
		f.Store.Apply(gossip.Update{Configuration: &d})
	}
	if !same {
		f.Repairer.Repair(cx, r, ConfigurationKey)
	}
	top.Value.Version = v.Version
	f.set(at, d.Sequence, top)
}

// reach notes that a majority is there. Voters that turn the question away, as while their roster changes, are.
func (f *Confirmer) reach(as peeks, majority int) {
	n := 0
	for _, a := range as {
		if !apierror.HasCode(a.Err, apierror.Unreachable) {
			n++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.there = n >= majority; f.there {
		f.reached = f.Clock.Now()
	}
}

// leave ends the question.
func (f *Confirmer) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.there {
		f.there, f.reached = false, f.Clock.Now()
	}
}

// settle tells whether the description may be read now. Copies that differ mostly do so while a change is on its way, and to read a key whose copies
// differ may mean to claim it, which makes them differ for all others. So that is left to later heartbeats, while the last confirmation is young, and to a few
// nodes.
func (f *Confirmer) settle(r voters.Set, same bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if same || f.c.At == none {
		return true
	}
	return f.Clock.Now().Sub(f.c.At) >= f.Timing.LeaseDuration()/youngShare && rand.IntN(len(r.Voters)) < fewNodes
}

// A confirmation is young for a part of the lease; fewNodes is how many read a key whose copies differ, on the average.
const (
	youngShare = 2
	fewNodes   = 2
)

var none time.Time

func (f *Confirmer) writes(s acceptor.Slot) bool { return f.at == s.Value.Version && f.c.At != none }

func (f *Confirmer) set(at time.Time, seq uint64, s acceptor.Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.c = nodelease.Confirmation{OK: true, Sequence: max(seq, f.c.Sequence), At: at}
	f.at = s.Value.Version
}
