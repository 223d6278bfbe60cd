// Package reconfig changes the roster: it seals the old one on a majority, copies all keys, and opens the next.
package reconfig

import (
	"context"
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/control/voters"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Executor runs roster changes for one control node.
type Executor struct {
	self   string
	net    wire.Network
	bounds settings.Timing
	seen   epoch.Epoch
}

// New makes a reformer.
func New(self string, n wire.Network, b settings.Timing) *Executor {
	return &Executor{self: self, net: n, bounds: b}
}

func (f *Executor) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.bounds.CallTimeout())
}

// Change decides what follows roster r, wanted unless another change was begun, and opens it.
// It gives the roster that came into force.
func (f *Executor) Change(ctx context.Context, r, want voters.Set) (voters.Set, error) {
	next, err := f.decide(ctx, r, want)
	if err != nil {
		return voters.Set{}, err
	}
	slots, err := f.copy(ctx, r)
	if err != nil {
		return voters.Set{}, err
	}
	as := quorum.Gather(ctx, next.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.Empty, error) {
		cx, stop := f.call(context.WithoutCancel(ctx))
		defer stop()
		return acceptor.Activate.Call(cx, f.net, f.self, s.Addr, &acceptor.ActivateRequest{Incarnation: s.Incarnation, VoterSet: next, Slots: slots})
	}, func(as []quorum.Result[voters.Voter, *acceptor.Empty]) bool {
		return len(quorum.Successes(as)) >= next.Majority()
	})
	if n := len(quorum.Successes(as)); n < next.Majority() {
		return voters.Set{}, apierror.WithCause(apierror.NoMajority, quorum.FirstError(as), "roster %d was opened on %d of %d disks", next.Sequence, n, len(next.Voters))
	}
	return next, nil
}

func (f *Executor) decide(ctx context.Context, r, want voters.Set) (voters.Set, error) {
	e := f.seen.Next(f.self)
	f.seen = e
	enough := func(as []quorum.Result[voters.Voter, *acceptor.SlotResponse]) bool { return f.ok(as) >= r.Majority() }
	ballot := func(s voters.Voter) acceptor.Target {
		return acceptor.Target{VoterSet: r.Sequence, Incarnation: s.Incarnation, Key: acceptor.VoterSetKey}
	}
	as := quorum.Gather(ctx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.SlotResponse, error) {
		cx, stop := f.call(ctx)
		defer stop()
		return acceptor.Promise.Call(cx, f.net, f.self, s.Addr, &acceptor.PromiseRequest{Target: ballot(s), Epoch: e})
	}, enough)
	if !enough(as) {
		return voters.Set{}, f.short(r, as, "promised")
	}
	var top acceptor.Slot
	for _, a := range quorum.Successes(as) {
		if a.Value.Granted && a.Value.Slot.NewerThan(top) {
			top = a.Value.Slot
		}
	}
	next := want
	if !top.Accepted.IsZero() {
		if err := json.Unmarshal(top.Value.Body, &next); err != nil {
			return voters.Set{}, apierror.Wrap(apierror.DiskDamaged, err, "read the next roster")
		}
	}
	b, _ := json.Marshal(next)
	as = quorum.Gather(ctx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.SlotResponse, error) {
		cx, stop := f.call(ctx)
		defer stop()
		return acceptor.Accept.Call(cx, f.net, f.self, s.Addr, &acceptor.AcceptRequest{Target: ballot(s), Epoch: e, Value: acceptor.Value{Version: 1, ChangeID: f.self, Body: b}})
	}, enough)
	if !enough(as) {
		return voters.Set{}, f.short(r, as, "accepted")
	}
	return next, nil
}

func (f *Executor) ok(as []quorum.Result[voters.Voter, *acceptor.SlotResponse]) int {
	n := 0
	for _, a := range quorum.Successes(as) {
		if a.Value.Granted {
			n++
		} else if f.seen.Less(a.Value.Slot.Promised) {
			f.seen = a.Value.Slot.Promised
		}
	}
	return n
}

func (f *Executor) short(r voters.Set, as []quorum.Result[voters.Voter, *acceptor.SlotResponse], verb string) error {
	for _, a := range as {
		if apierror.HasCode(a.Err, apierror.StaleVoterSet) {
			return a.Err
		}
	}
	return apierror.WithCause(apierror.NoMajority, quorum.FirstError(as), "%d of %d disks %s a change of roster %d", f.ok(as), len(r.Voters), verb, r.Sequence)
}

func (f *Executor) copy(ctx context.Context, r voters.Set) (map[string]acceptor.Slot, error) {
	type answers = []quorum.Result[voters.Voter, *acceptor.PeekResponse]
	enough := func(as answers) bool { return len(quorum.Successes(as)) >= r.SealQuorum() }
	as := quorum.Gather(ctx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.PeekResponse, error) {
		cx, stop := f.call(ctx)
		defer stop()
		return acceptor.Peek.Call(cx, f.net, f.self, s.Addr, &acceptor.PeekRequest{VoterSet: r.Sequence, Incarnation: s.Incarnation, Sealed: true})
	}, enough)
	if !enough(as) {
		return nil, apierror.WithCause(apierror.NoMajority, quorum.FirstError(as), "%d of the %d intact disks needed gave their keys", len(quorum.Successes(as)), r.SealQuorum())
	}
	copies := map[string][]acceptor.Slot{}
	for _, a := range quorum.Successes(as) {
		for k, s := range a.Value.Slots {
			if k != acceptor.VoterSetKey {
				copies[k] = append(copies[k], s)
			}
		}
	}
	slots := map[string]acceptor.Slot{}
	for k, cs := range copies {
		slots[k] = acceptor.Merge(cs)
	}
	return slots, nil
}

// CatchUp opens the roster in force on a seat that missed it, with the slots of a seat that has it.
func (f *Executor) CatchUp(ctx context.Context, r voters.Set, late voters.Voter) error {
	for _, s := range r.Voters {
		if s.Node == late.Node {
			continue
		}
		cx, stop := f.call(ctx)
		a, err := acceptor.Peek.Call(cx, f.net, f.self, s.Addr, &acceptor.PeekRequest{VoterSet: r.Sequence, Incarnation: s.Incarnation})
		stop()
		if err != nil {
			continue
		}
		cx, stop = f.call(ctx)
		defer stop()
		_, err = acceptor.Activate.Call(cx, f.net, f.self, late.Addr, &acceptor.ActivateRequest{Incarnation: late.Incarnation, VoterSet: r, Slots: a.Slots})
		return err
	}
	return apierror.New(apierror.NoMajority, "no seat could give its keys to %s", late.Node)
}
