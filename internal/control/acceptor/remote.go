package acceptor

import (
	"context"

	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Remote calls one voter under a voter set on behalf of the node Self.
type Remote struct {
	Network  wire.Network
	Self     string
	VoterSet uint64
	Voter    voters.Voter
}

// ReadFullSlot reads a slot with its value after a brief peek. It is not ok if the voter has
// another acceptance by now.
func (r Remote) ReadFullSlot(ctx context.Context, key string, brief Slot) (Slot, bool) {
	response, err := Peek.Call(ctx, r.Network, r.Self, r.Voter.Addr, &PeekRequest{
		VoterSet:    r.VoterSet,
		Incarnation: r.Voter.Incarnation,
		Keys:        []string{key},
	})
	if err != nil {
		return Slot{}, false
	}
	full := response.Slots[key]
	return full, full.Accepted == brief.Accepted && full.Value.Version == brief.Value.Version
}
