package model

import (
	"slices"

	"postjunction/internal/control/acceptor"
)

// propose adds the next steps that the proposer of an attempt, given by its index, can take without
// a message.
func (e *exploration) propose(current state, index int) {
	claim := current.attempts[index]
	switch {
	case claim.phase == idle:
		for voterSet := int8(1); voterSet <= 2; voterSet++ {
			isActive := func(voterDisk disk) bool { return voterDisk.voterSet == voterSet }
			if voterSet == 2 && !slices.ContainsFunc(current.disks[:], isActive) {
				continue
			}
			next := current
			next.attempts[index] = attempt{phase: preparing, voterSet: voterSet, decidedBefore: current.maxDecided}
			e.add(next)
		}
	case claim.phase == preparing && isMajority(claim.promises):
		next := current
		if claim.adopted.accepted == 0 {
			e.lead(&next, index)
		} else {
			next.attempts[index].phase, next.attempts[index].reacceptSent = reaccepting, true
		}
		e.add(next)
	case claim.phase == reaccepting && isMajority(claim.reaccepted):
		next := current
		e.lead(&next, index)
		e.add(next)
	}
}

// lead makes the proposer leader of the key, which then changes it. It is a violation if the
// adopted version is older than the version that was decided before the attempt began.
func (e *exploration) lead(next *state, index int) {
	claim := &next.attempts[index]
	if claim.adopted.version < claim.decidedBefore {
		e.violate("attempt %d leads with version %d, and version %d was decided before it began",
			index, claim.adopted.version, claim.decidedBefore)
	}
	claim.phase, claim.changeSent = changing, true
}

func (e *exploration) promise(current state, index, voter int) {
	claim := current.attempts[index]
	if claim.phase == idle || !current.serves(voter, claim.voterSet) {
		return
	}
	promised, ok := current.disks[voter].slot.expand().Promise(epochOf(int8(index + 1)))
	next := current
	next.disks[voter].slot = compact(promised)
	e.add(next)
	if ok && claim.phase == preparing {
		next.attempts[index].promises |= 1 << voter
		next.attempts[index].adopted = compact(acceptor.Highest([]acceptor.Slot{claim.adopted.expand(), promised}))
		e.add(next)
	}
}

func (e *exploration) reaccept(current state, index, voter int) {
	claim := current.attempts[index]
	if !claim.reacceptSent || !current.serves(voter, claim.voterSet) {
		return
	}
	accepted, ok := current.disks[voter].slot.expand().Accept(epochOf(int8(index+1)), claim.adopted.expand().Value)
	if !ok {
		return
	}
	next := current
	next.disks[voter].slot = compact(accepted)
	next.attempts[index].reaccepted |= 1 << voter
	if isMajority(next.attempts[index].reaccepted) {
		e.decide(&next, claim.adopted.version, claim.adopted.value)
	}
	e.add(next)
}

func (e *exploration) acceptChange(current state, index, voter int) {
	claim := current.attempts[index]
	if !claim.changeSent || !current.serves(voter, claim.voterSet) {
		return
	}
	change := slot{version: claim.adopted.version + 1, value: int8(index + 1)}
	accepted, ok := current.disks[voter].slot.expand().Accept(epochOf(int8(index+1)), change.expand().Value)
	if !ok {
		return
	}
	next := current
	next.disks[voter].slot = compact(accepted)
	next.attempts[index].changeAccepted |= 1 << voter
	if isMajority(next.attempts[index].changeAccepted) {
		e.decide(&next, change.version, change.value)
	}
	e.add(next)
}

// quorumRead has the reader ask one more voter. The read ends once a majority has the highest copy
// among the answers. The returned value counts as decided: no other value may be decided under its
// version, and no later claim or read may have a lower version.
func (e *exploration) quorumRead(current state) {
	if !current.reader.began {
		next := current
		next.reader = reader{began: true, voterSet: 1, decidedBefore: current.maxDecided}
		e.add(next)
		return
	}
	if current.reader.ended {
		return
	}
	for voter := range voterCount {
		if contains(current.reader.answered, voter) || !current.serves(voter, current.reader.voterSet) {
			continue
		}
		next := current
		next.reader.answered |= 1 << voter
		next.reader.slots[voter] = current.disks[voter].slot
		e.endRead(&next)
		e.add(next)
	}
}

func (e *exploration) endRead(next *state) {
	var copies []acceptor.Slot
	for voter := range voterCount {
		if contains(next.reader.answered, voter) {
			copies = append(copies, next.reader.slots[voter].expand())
		}
	}
	if len(acceptor.HighestIndexes(copies)) < quorumSizes.Majority() {
		return
	}
	highest := compact(acceptor.Highest(copies))
	if highest.version < next.reader.decidedBefore {
		e.violate("a quorum read returned version %d, and version %d was decided before it began",
			highest.version, next.reader.decidedBefore)
	}
	if highest.version > 0 {
		e.decide(next, highest.version, highest.value)
	}
	next.reader = reader{began: true, ended: true}
}
