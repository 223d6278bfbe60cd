// Package repair brings outdated copies of control keys up to date (anti-entropy): a quorum read
// that sees copies differ repairs its key, and a sweep of internal/control/reconfigurer finds the
// rest.
//
// A repair proposes nothing: it sends an acceptance that one voter has, under the epoch it was
// accepted under, to voters that lag. They judge it as they judge any accept request, so that it
// can't undo a later promise. A Repairer has no state; calls run in the goroutine of the caller and
// block for a call timeout per voter at most.
package repair

import (
	"context"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Repairer sends the latest acceptance of a key to voters whose copy is older.
type Repairer struct {
	Self   string
	Net    wire.Network
	Timing settings.Timing
}

type peekResponses = []quorum.Result[voters.Voter, *acceptor.PeekResponse]

// latestCopy is the latest acceptance of a key, and a voter that has it.
type latestCopy struct {
	slot  acceptor.Slot
	voter voters.Voter
}

// Repair compares the copies of the named keys, of all keys when none are named, and brings
// outdated ones up to date. It returns how many it repaired. Values are read only where some copy
// is outdated, and then from one voter.
func (r *Repairer) Repair(ctx context.Context, voterSet voters.Set, keys ...string) int {
	gatherCtx, stop := context.WithTimeout(ctx, r.Timing.CallTimeout())
	defer stop()
	peek := func(ctx context.Context, voter voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, r.Net, r.Self, voter.Addr, &acceptor.PeekRequest{
			VoterSet:    voterSet.Sequence,
			Incarnation: voter.Incarnation,
			Keys:        keys,
			Brief:       true,
		})
	}
	responses := quorum.Successes(quorum.Gather(gatherCtx, voterSet.Voters, peek, nil))
	repaired := 0
	for key, latest := range latestCopies(responses) {
		outdated := outdatedVoters(responses, key, latest.slot)
		if len(outdated) == 0 {
			continue
		}
		remote := acceptor.Remote{Network: r.Net, Self: r.Self, VoterSet: voterSet.Sequence, Voter: latest.voter}
		if full, ok := remote.ReadFullSlot(gatherCtx, key, latest.slot); ok {
			repaired += r.resend(ctx, voterSet, outdated, key, full)
		}
	}
	return repaired
}

func latestCopies(responses peekResponses) map[string]latestCopy {
	latest := map[string]latestCopy{}
	for _, response := range responses {
		for key, slot := range response.Value.Slots {
			if slot.NewerThan(latest[key].slot) {
				latest[key] = latestCopy{slot, response.Target}
			}
		}
	}
	return latest
}

func outdatedVoters(responses peekResponses, key string, latest acceptor.Slot) []voters.Voter {
	var outdated []voters.Voter
	for _, response := range responses {
		if latest.NewerThan(response.Value.Slots[key]) {
			outdated = append(outdated, response.Target)
		}
	}
	return outdated
}

// resend has voters accept a slot that another one accepted, one after the other, and returns how
// many did.
func (r *Repairer) resend(
	ctx context.Context, voterSet voters.Set, outdated []voters.Voter, key string, slot acceptor.Slot,
) int {
	repaired := 0
	for _, voter := range outdated {
		callCtx, stop := context.WithTimeout(ctx, r.Timing.CallTimeout())
		response, err := acceptor.Accept.Call(callCtx, r.Net, r.Self, voter.Addr, &acceptor.AcceptRequest{
			Target: acceptor.Target{VoterSet: voterSet.Sequence, Incarnation: voter.Incarnation, Key: key},
			Epoch:  slot.Accepted,
			Value:  slot.Value,
		})
		stop()
		if err == nil && response.Granted {
			repaired++
		}
	}
	return repaired
}
