// Package repair brings outdated copies of control keys up to date (anti-entropy). A quorum read
// that finds copies to differ repairs its key, and a sweep of internal/control/reconfigurer repairs
// all keys.
//
// A repair proposes no value. It sends the acceptance of one voter to voters with an older copy,
// under the epoch of that acceptance. They treat it like any accept request, so it can't override a
// later promise. A Repairer has no state. Calls run in the goroutine of the caller and block for at
// most a call timeout per voter.
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

// latestCopy is the latest acceptance of a key and a voter that has it.
type latestCopy struct {
	slot  acceptor.Slot
	voter voters.Voter
}

// Repair compares the copies of the named keys, or of all keys if none are named, and brings
// outdated ones up to date. It returns how many copies it repaired. A value is read only if some
// copy is outdated, and then from one voter.
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

// resend sends a slot that one voter accepted to outdated voters, one after the other. It returns
// how many accepted it.
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
