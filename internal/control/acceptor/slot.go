package acceptor

import "postjunction/internal/control/epoch"

// This file is the pure core of the control registers: what one disk promises and accepts for a key, what a claimant
// adopts, and what the voters of a new roster begin with. It does no I/O; a model test walks through all its runs within
// small bounds (internal/control/model).

// Promise gives the slot after it was asked to promise an epoch, and whether it promises it. A slot promises an epoch
// again, and none below one that it promised.
func (s Slot) Promise(e epoch.Epoch) (Slot, bool) {
	if !s.Promised.Less(e) {
		return s, s.Promised == e
	}
	s.Promised = e
	return s, true
}

// Accept gives the slot after it was asked to accept a value under an epoch, and whether it accepts it. It refuses
// epochs below the promised one, and values that were written before the one that it holds.
func (s Slot) Accept(e epoch.Epoch, v Value) (Slot, bool) {
	n := Slot{Promised: e, Accepted: e, Value: v}
	if e.Less(s.Promised) || s.NewerThan(n) {
		return s, false
	}
	return n, true
}

// Highest gives the latest acceptance among slots, which a claimant that a majority has promised must adopt.
func Highest(slots []Slot) Slot {
	var top Slot
	for _, s := range slots {
		if s.NewerThan(top) {
			top = s
		}
	}
	return top
}

// Merge gives what the voters of the next roster begin with for one key, of copies from sealed voters of the one before:
// the highest acceptance, and the highest promise so that epochs go on rising. Of Roster.Intact sealed voters one has
// accepted every value that was decided.
func Merge(copies []Slot) Slot {
	s := Highest(copies)
	for _, c := range copies {
		if s.Promised.Less(c.Promised) {
			s.Promised = c.Promised
		}
	}
	if s.Promised.Less(s.Accepted) {
		s.Promised = s.Accepted
	}
	return s
}

// HoldingHighest gives the places of the slots that hold the highest acceptance among them. Where these are a majority that value
// was decided, and none after it was when the slots were asked for.
func HoldingHighest(slots []Slot) []int {
	var at []int
	top := Highest(slots)
	for i, s := range slots {
		if !top.NewerThan(s) {
			at = append(at, i)
		}
	}
	return at
}
