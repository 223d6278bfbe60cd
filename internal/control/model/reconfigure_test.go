package model

import (
	"math/bits"

	"postjunction/internal/control/acceptor"
)

// reconfigure replaces the wiped voter. A majority is sealed, slots are copied from a seal quorum,
// and the next voter set is activated. It is also activated with the slots of voters that are
// activated already.
func (e *exploration) reconfigure(current state) {
	if !current.disks[wipedVoter].wiped {
		next := current
		next.disks[wipedVoter] = disk{wiped: true}
		e.add(next)
	}
	for voter := range voterCount {
		if voterDisk := current.disks[voter]; voterDisk.voterSet == 1 && !voterDisk.sealed && !voterDisk.wiped {
			next := current
			next.disks[voter].sealed = true
			next.sealed |= 1 << voter
			e.add(next)
		}
	}
	if !isMajority(current.sealed) {
		return
	}
	for i := range reconfigurerCount {
		if !current.copied[i] {
			e.copySlots(current, i)
			continue
		}
		for voter := range voterCount {
			e.activate(current, voter, current.copies[i])
		}
	}
	for from := range voterCount {
		if current.disks[from].voterSet != 2 {
			continue
		}
		for voter := range voterCount {
			e.activate(current, voter, current.disks[from].slot)
		}
	}
}

// copySlots has a reconfigurer read every possible seal quorum of sealed voters.
func (e *exploration) copySlots(current state, reconfigurer int) {
	for readFrom := range uint8(1 << voterCount) {
		if bits.OnesCount8(readFrom) < quorumSizes.SealQuorum() {
			continue
		}
		copies, ok := sealedSlots(current, readFrom)
		if !ok {
			continue
		}
		next := current
		next.copied[reconfigurer], next.copies[reconfigurer] = true, compact(acceptor.Merge(copies))
		e.add(next)
	}
}

// sealedSlots returns the slots of voters. It is not ok unless all of them are sealed.
func sealedSlots(current state, readFrom uint8) (slots []acceptor.Slot, ok bool) {
	for voter := range voterCount {
		if !contains(readFrom, voter) {
			continue
		}
		voterDisk := current.disks[voter]
		if voterDisk.voterSet != 1 || !voterDisk.sealed || voterDisk.wiped {
			return nil, false
		}
		slots = append(slots, voterDisk.slot.expand())
	}
	return slots, true
}

func (e *exploration) activate(current state, voter int, copied slot) {
	if voterDisk := current.disks[voter]; voterDisk.voterSet == 2 || voterDisk.wiped || !contains(members[2], voter) {
		return
	}
	next := current
	next.disks[voter] = disk{voterSet: 2, slot: compact(acceptor.Merge([]acceptor.Slot{copied.expand()}))}
	e.add(next)
}
