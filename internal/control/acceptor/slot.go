package acceptor

import "postjunction/internal/control/epoch"

// This file is the pure core of the control registers: what one disk promises and accepts for a
// key, what a proposer adopts, and what the voters of a new voter set begin with. It does no I/O; a
// model test walks through all its runs within small bounds (internal/control/model).

// Value is the contents of a register. ChangeID names the change that wrote it, and Successor the
// node that the leader hands the key to. Body and Metadata are decided together; values that older
// builds wrote have no Metadata.
type Value struct {
	// Version counts the writes of the key.
	Version   uint64 `json:"writes"`
	ChangeID  string `json:"by,omitempty"`
	Successor string `json:"successor,omitempty"`
	Body      []byte `json:"body,omitempty"`
	Metadata  []byte `json:"memory,omitempty"`
}

// Slot is what a voter keeps of one key: the epoch that it promised, and its latest acceptance.
// Accepted is zero when nothing was accepted.
type Slot struct {
	Promised epoch.Epoch `json:"promised"`
	Accepted epoch.Epoch `json:"accepted"`
	Value    Value       `json:"value"`
}

// NewerThan reports whether s is a later acceptance than other.
func (s Slot) NewerThan(other Slot) bool {
	if s.Accepted != other.Accepted {
		return other.Accepted.Less(s.Accepted)
	}
	return s.Value.Version > other.Value.Version
}

// Promise returns the slot after a prepare request, and whether the epoch is promised. An epoch is
// promised again, but none below one that was promised.
func (s Slot) Promise(requested epoch.Epoch) (Slot, bool) {
	if !s.Promised.Less(requested) {
		return s, s.Promised == requested
	}
	s.Promised = requested
	return s, true
}

// Accept returns the slot after an accept request, and whether the value is accepted. Epochs below
// the promised one are rejected, and versions below the accepted one of the same epoch.
func (s Slot) Accept(requested epoch.Epoch, value Value) (Slot, bool) {
	next := Slot{Promised: requested, Accepted: requested, Value: value}
	if requested.Less(s.Promised) || s.NewerThan(next) {
		return s, false
	}
	return next, true
}

// Highest returns the latest acceptance among slots, which a proposer that a majority has promised
// must adopt.
func Highest(slots []Slot) Slot {
	var highest Slot
	for _, slot := range slots {
		if slot.NewerThan(highest) {
			highest = slot
		}
	}
	return highest
}

// Merge returns what the voters of the next voter set begin with for one key, from copies of sealed
// voters of the one before: the highest acceptance, and the highest promise so that epochs go on
// rising. Of voters.Set.SealQuorum sealed voters one has accepted every value that was decided.
func Merge(copies []Slot) Slot {
	merged := Highest(copies)
	for _, copied := range copies {
		if merged.Promised.Less(copied.Promised) {
			merged.Promised = copied.Promised
		}
	}
	if merged.Promised.Less(merged.Accepted) {
		merged.Promised = merged.Accepted
	}
	return merged
}

// HighestIndexes returns the indexes of the slots with the highest acceptance among them. Where
// these are a majority, that value was decided, and none after it was when the slots were asked
// for.
func HighestIndexes(slots []Slot) []int {
	var indexes []int
	highest := Highest(slots)
	for i, slot := range slots {
		if !highest.NewerThan(slot) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
