package acceptor

import "postjunction/internal/control/epoch"

// This file is the pure core of the control registers. It decides what a voter promises and accepts
// for a key, what a proposer adopts, and which slots a new voter set starts with. It does no I/O. A
// model test explores all its runs within small bounds (internal/control/model).

// Value is the contents of a register. ChangeID identifies the change that wrote it. Successor is
// the node that the leader transfers the key to. Body and Metadata are decided together. Values
// that older builds wrote have no Metadata.
type Value struct {
	// Version counts the writes of the key.
	Version   uint64 `json:"writes"`
	ChangeID  string `json:"by,omitempty"`
	Successor string `json:"successor,omitempty"`
	Body      []byte `json:"body,omitempty"`
	Metadata  []byte `json:"memory,omitempty"`
}

// Slot is the state of one key on a voter: the epoch that it promised, and its latest acceptance.
// Accepted is zero if nothing was accepted.
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

// Promise returns the slot after a prepare request, and whether the epoch is promised. The promised
// epoch is granted again, and lower ones are rejected.
func (s Slot) Promise(requested epoch.Epoch) (Slot, bool) {
	if !s.Promised.Less(requested) {
		return s, s.Promised == requested
	}
	s.Promised = requested
	return s, true
}

// Accept returns the slot after an accept request, and whether the value is accepted. It rejects
// epochs below the promised one. It also rejects versions below the accepted one of the same epoch.
func (s Slot) Accept(requested epoch.Epoch, value Value) (Slot, bool) {
	next := Slot{Promised: requested, Accepted: requested, Value: value}
	if requested.Less(s.Promised) || s.NewerThan(next) {
		return s, false
	}
	return next, true
}

// Highest returns the latest acceptance among slots. A proposer must adopt it from the slots of the
// majority that promised its epoch.
func Highest(slots []Slot) Slot {
	var highest Slot
	for _, slot := range slots {
		if slot.NewerThan(highest) {
			highest = slot
		}
	}
	return highest
}

// Merge returns the slot of one key that the next voter set starts with, from the copies of sealed
// voters of the previous one. It has the highest acceptance, and the highest promise so that epochs
// keep rising. Every decided value was accepted by at least one of any voters.Set.SealQuorum sealed
// voters.
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

// HighestIndexes returns the indexes of the slots with the highest acceptance among them. If these
// are a majority of the voters, that value was decided, and no later value was decided when the
// slots were requested.
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
