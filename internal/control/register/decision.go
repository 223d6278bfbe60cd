package register

import (
	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// This file evaluates the responses of the voters to a proposer. It does no I/O.

type (
	slotResponses = []quorum.Result[voters.Voter, *acceptor.SlotResponse]
	peekResponses = []quorum.Result[voters.Voter, *acceptor.PeekResponse]
)

// grantCount returns how many voters granted a prepare or accept request.
func grantCount(responses slotResponses) int {
	granted := 0
	for _, response := range quorum.Successes(responses) {
		if response.Value.Granted {
			granted++
		}
	}
	return granted
}

// rejectionCount returns how many voters have certainly not executed the request.
func rejectionCount(responses slotResponses) int {
	rejected := 0
	for _, response := range responses {
		switch {
		case response.Err == nil && !response.Value.Granted,
			apierror.HasCode(response.Err, apierror.StaleVoterSet),
			apierror.HasCode(response.Err, apierror.WrongDisk):
			rejected++
		}
	}
	return rejected
}

// firstRejection returns the slot of the first voter that rejected the request because it has
// promised a higher epoch, nil if there is none.
func firstRejection(responses slotResponses) *acceptor.Slot {
	for _, response := range quorum.Successes(responses) {
		if !response.Value.Granted {
			return &response.Value.Slot
		}
	}
	return nil
}

// roundError returns nil if a majority granted a round, and else why it failed: NotKeyLeader after
// a rejection, StaleVoterSet, or NoMajority.
func roundError(key string, voterSet voters.Set, responses slotResponses) error {
	if grantCount(responses) >= voterSet.Majority() {
		return nil
	}
	if rejection := firstRejection(responses); rejection != nil {
		return apierror.New(apierror.NotKeyLeader, "%s is led under epoch %s", key, rejection.Promised)
	}
	for _, response := range responses {
		if apierror.HasCode(response.Err, apierror.StaleVoterSet) {
			return response.Err
		}
	}
	failure := apierror.New(apierror.NoMajority, "%d of %d control disks granted a request for %s, %d are needed",
		grantCount(responses), len(voterSet.Voters), key, voterSet.Majority())
	failure.Cause = quorum.FirstError(responses)
	return failure
}

// highestAccepted returns the latest acceptance among the slots of the voters that granted a
// prepare request.
func highestAccepted(responses slotResponses) acceptor.Slot {
	var slots []acceptor.Slot
	for _, response := range quorum.Successes(responses) {
		if response.Value.Granted {
			slots = append(slots, response.Value.Slot)
		}
	}
	return acceptor.Highest(slots)
}

// promisedCount returns how many voters have exactly this epoch as their promised one.
func promisedCount(responses peekResponses, key string, promised epoch.Epoch) int {
	count := 0
	for _, response := range quorum.Successes(responses) {
		if response.Value.Slots[key].Promised == promised {
			count++
		}
	}
	return count
}

// highestCopies returns the responses that contain the highest acceptance among them.
func highestCopies(responses peekResponses, key string) peekResponses {
	var slots []acceptor.Slot
	for _, response := range responses {
		slots = append(slots, response.Value.Slots[key])
	}
	var highest peekResponses
	for _, i := range acceptor.HighestIndexes(slots) {
		highest = append(highest, responses[i])
	}
	return highest
}
