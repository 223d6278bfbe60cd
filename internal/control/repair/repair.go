// Package repair mends old copies of control keys: reads mend what they find, and a sweep finds the rest.
package repair

import (
	"context"
	"slices"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/voters"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Repairer resends what a majority may already hold; it never proposes anything of its own.
type Repairer struct {
	Self   string
	Net    wire.Network
	Bounds settings.Timing
}

type copy = quorum.Result[voters.Voter, *acceptor.PeekResponse]

// Repair compares the copies of the named keys, all when none are named, and brings old ones up. It gives how many it mended. Values are read only
// where some copy is old, and then from one voter.
func (m *Repairer) Repair(ctx context.Context, r voters.Set, keys ...string) int {
	cx, stop := context.WithTimeout(ctx, m.Bounds.CallTimeout())
	defer stop()
	as := quorum.Successes(quorum.Gather(cx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, m.Net, m.Self, s.Addr, &acceptor.PeekRequest{VoterSet: r.Sequence, Incarnation: s.Incarnation, Keys: keys, Brief: true})
	}, nil))
	top, at := map[string]acceptor.Slot{}, map[string]voters.Voter{}
	for _, a := range as {
		for k, s := range a.Value.Slots {
			if s.NewerThan(top[k]) {
				top[k], at[k] = s, a.Target
			}
		}
	}
	n := 0
	for k, t := range top {
		old := slices.DeleteFunc(slices.Clone(as), func(a copy) bool { return !t.NewerThan(a.Value.Slots[k]) })
		if len(old) == 0 {
			continue
		}
		if v, ok := acceptor.ReadFullSlot(cx, m.Net, m.Self, r, at[k], k, t); ok {
			n += m.key(ctx, r, old, k, v)
		}
	}
	return n
}

func (m *Repairer) key(ctx context.Context, r voters.Set, old []copy, k string, t acceptor.Slot) int {
	n := 0
	for _, a := range old {
		cx, stop := context.WithTimeout(ctx, m.Bounds.CallTimeout())
		b, err := acceptor.Accept.Call(cx, m.Net, m.Self, a.Target.Addr, &acceptor.AcceptRequest{Target: acceptor.Target{VoterSet: r.Sequence, Incarnation: a.Target.Incarnation, Key: k}, Epoch: t.Accepted, Value: t.Value})
		stop()
		if err == nil && b.Granted {
			n++
		}
	}
	return n
}
