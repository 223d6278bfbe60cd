package model

import (
	"slices"

	"postjunction/internal/control/acceptor"
)

// propose has the proposer of an attempt go on by itself.
func (e *exploration) propose(s state, i int) {
	a := s.attempts[i]
	switch {
	case a.phase == idle:
		for voterSet := int8(1); voterSet <= 2; voterSet++ {
			isActive := func(d disk) bool { return d.voterSet == voterSet }
			if voterSet == 2 && !slices.ContainsFunc(s.disks[:], isActive) {
				continue
			}
			next := s
			next.attempts[i] = attempt{phase: preparing, voterSet: voterSet, decidedBefore: s.maxDecided}
			e.add(next)
		}
	case a.phase == preparing && isMajority(a.promises):
		next := s
		if a.adopted.accepted == 0 {
			e.lead(&next, i)
		} else {
			next.attempts[i].phase, next.attempts[i].reacceptSent = reaccepting, true
		}
		e.add(next)
	case a.phase == reaccepting && isMajority(a.reaccepted):
		next := s
		e.lead(&next, i)
		e.add(next)
	}
}

// lead has the proposer lead the key and change it: what it adopted must not be older than what was
// decided before.
func (e *exploration) lead(s *state, i int) {
	a := &s.attempts[i]
	if a.adopted.version < a.decidedBefore {
		e.violate("attempt %d leads with version %d, and version %d was decided before it began",
			i, a.adopted.version, a.decidedBefore)
	}
	a.phase, a.changeSent = changing, true
}

func (e *exploration) promise(s state, i, voter int) {
	a := s.attempts[i]
	if a.phase == idle || !s.serves(voter, a.voterSet) {
		return
	}
	promised, ok := s.disks[voter].slot.expand().Promise(epochOf(int8(i + 1)))
	next := s
	next.disks[voter].slot = compact(promised)
	e.add(next)
	if ok && a.phase == preparing {
		next.attempts[i].promises |= 1 << voter
		next.attempts[i].adopted = compact(acceptor.Highest([]acceptor.Slot{a.adopted.expand(), promised}))
		e.add(next)
	}
}

func (e *exploration) reaccept(s state, i, voter int) {
	a := s.attempts[i]
	if !a.reacceptSent || !s.serves(voter, a.voterSet) {
		return
	}
	accepted, ok := s.disks[voter].slot.expand().Accept(epochOf(int8(i+1)), a.adopted.expand().Value)
	if !ok {
		return
	}
	next := s
	next.disks[voter].slot = compact(accepted)
	next.attempts[i].reaccepted |= 1 << voter
	if isMajority(next.attempts[i].reaccepted) {
		e.decide(&next, a.adopted.version, a.adopted.value)
	}
	e.add(next)
}

func (e *exploration) acceptChange(s state, i, voter int) {
	a := s.attempts[i]
	if !a.changeSent || !s.serves(voter, a.voterSet) {
		return
	}
	change := slot{version: a.adopted.version + 1, value: int8(i + 1)}
	accepted, ok := s.disks[voter].slot.expand().Accept(epochOf(int8(i+1)), change.expand().Value)
	if !ok {
		return
	}
	next := s
	next.disks[voter].slot = compact(accepted)
	next.attempts[i].changeAccepted |= 1 << voter
	if isMajority(next.attempts[i].changeAccepted) {
		e.decide(&next, change.version, change.value)
	}
	e.add(next)
}

// quorumRead has the reader ask one voter more; it ends where a majority holds the highest copy
// among the answers. What it returns counts as decided: nothing else may be decided in its place,
// and nobody may have less afterwards.
func (e *exploration) quorumRead(s state) {
	if !s.reader.began {
		next := s
		next.reader = reader{began: true, voterSet: 1, decidedBefore: s.maxDecided}
		e.add(next)
		return
	}
	if s.reader.ended {
		return
	}
	for voter := range voterCount {
		if contains(s.reader.answered, voter) || !s.serves(voter, s.reader.voterSet) {
			continue
		}
		next := s
		next.reader.answered |= 1 << voter
		next.reader.slots[voter] = s.disks[voter].slot
		e.endRead(&next)
		e.add(next)
	}
}

func (e *exploration) endRead(s *state) {
	var copies []acceptor.Slot
	for voter := range voterCount {
		if contains(s.reader.answered, voter) {
			copies = append(copies, s.reader.slots[voter].expand())
		}
	}
	if len(acceptor.HighestIndexes(copies)) < sizes.Majority() {
		return
	}
	highest := compact(acceptor.Highest(copies))
	if highest.version < s.reader.decidedBefore {
		e.violate("a quorum read returned version %d, and version %d was decided before it began",
			highest.version, s.reader.decidedBefore)
	}
	if highest.version > 0 {
		e.decide(s, highest.version, highest.value)
	}
	s.reader = reader{began: true, ended: true}
}
