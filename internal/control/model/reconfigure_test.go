package model

import (
	"math/bits"

	"postjunction/internal/control/acceptor"
)

// reconfigure replaces the wiped voter: a majority is sealed, slots are copied from enough sealed
// voters, and the next voter set is activated, also from voters that have been activated already.
func (e *exploration) reconfigure(s state) {
	if !s.disks[wipedVoter].wiped {
		next := s
		next.disks[wipedVoter] = disk{wiped: true}
		e.add(next)
	}
	for voter := range voterCount {
		if d := s.disks[voter]; d.voterSet == 1 && !d.sealed && !d.wiped {
			next := s
			next.disks[voter].sealed = true
			next.sealed |= 1 << voter
			e.add(next)
		}
	}
	if !isMajority(s.sealed) {
		return
	}
	for i := range reconfigurerCount {
		if !s.copied[i] {
			e.copySlots(s, i)
			continue
		}
		for voter := range voterCount {
			e.activate(s, voter, s.copies[i])
		}
	}
	for from := range voterCount {
		if s.disks[from].voterSet != 2 {
			continue
		}
		for voter := range voterCount {
			e.activate(s, voter, s.disks[from].slot)
		}
	}
}

// copySlots has a reconfigurer read any set of sealed voters that is large enough.
func (e *exploration) copySlots(s state, reconfigurer int) {
	for readFrom := range uint8(1 << voterCount) {
		if bits.OnesCount8(readFrom) < sizes.SealQuorum() {
			continue
		}
		copies, ok := sealedSlots(s, readFrom)
		if !ok {
			continue
		}
		next := s
		next.copied[reconfigurer], next.copies[reconfigurer] = true, compact(acceptor.Merge(copies))
		e.add(next)
	}
}

// sealedSlots returns the slots of voters; it is not ok unless all of them are sealed.
func sealedSlots(s state, readFrom uint8) (slots []acceptor.Slot, ok bool) {
	for voter := range voterCount {
		if !contains(readFrom, voter) {
			continue
		}
		d := s.disks[voter]
		if d.voterSet != 1 || !d.sealed || d.wiped {
			return nil, false
		}
		slots = append(slots, d.slot.expand())
	}
	return slots, true
}

func (e *exploration) activate(s state, voter int, copied slot) {
	if d := s.disks[voter]; d.voterSet == 2 || d.wiped || !contains(members[2], voter) {
		return
	}
	next := s
	next.disks[voter] = disk{voterSet: 2, slot: compact(acceptor.Merge([]acceptor.Slot{copied.expand()}))}
	e.add(next)
}
