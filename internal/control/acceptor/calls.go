// Package acceptor is the part of a control node that promises and accepts, each synced before it is answered.
package acceptor

import (
	"context"

	"postjunction/internal/control/epoch"
	"postjunction/internal/control/voters"
	"postjunction/internal/wire"
)

// Value is what a register holds: a count of writes, who wrote, whom the holder named as successor, the body, and what
// the writers of the key remember beside it. Body and Memory are decided together. Memory is absent from values that
// older builds wrote.
type Value struct {
	Version   uint64 `json:"writes"`
	ChangeID  string `json:"by,omitempty"`
	Successor string `json:"successor,omitempty"`
	Body      []byte `json:"body,omitempty"`
	Metadata  []byte `json:"memory,omitempty"`
}

// Slot is a voter's memory of one key.
type Slot struct {
	Promised epoch.Epoch `json:"promised"`
	Accepted epoch.Epoch `json:"accepted"`
	Value    Value       `json:"value"`
}

// NewerThan tells whether s holds a later acceptance than t.
func (s Slot) NewerThan(t Slot) bool {
	if s.Accepted != t.Accepted {
		return t.Accepted.Less(s.Accepted)
	}
	return s.Value.Version > t.Value.Version
}

// Target addresses one disk under one roster.
type Target struct {
	VoterSet    uint64 `json:"roster"`
	Incarnation string `json:"incarnation"`
	Key         string `json:"key"`
}

// PromiseRequest asks for a promise.
type PromiseRequest struct {
	Target
	Epoch epoch.Epoch `json:"epoch"`
}

// AcceptRequest asks for an acceptance.
type AcceptRequest struct {
	Target
	Epoch epoch.Epoch `json:"epoch"`
	Value Value       `json:"value"`
}

// SlotResponse gives the slot; OK tells whether the task was done.
type SlotResponse struct {
	Granted bool `json:"ok"`
	Slot    Slot `json:"slot"`
}

// PeekRequest reads slots of the named keys, all when none are named. Sealed slots are given only when asked for; Brief leaves out body and memory.
type PeekRequest struct {
	VoterSet    uint64   `json:"roster"`
	Incarnation string   `json:"incarnation"`
	Keys        []string `json:"keys,omitempty"`
	Sealed      bool     `json:"sealed,omitempty"`
	Brief       bool     `json:"brief,omitempty"`
}

// PeekResponse gives slots by key.
type PeekResponse struct {
	Slots map[string]Slot `json:"slots"`
}

// ActivateRequest brings a voter under a roster with the copied keys.
type ActivateRequest struct {
	Incarnation string          `json:"incarnation"`
	VoterSet    voters.Set      `json:"roster"`
	Slots       map[string]Slot `json:"slots"`
	Bootstrap   bool            `json:"founding,omitempty"`
}

// BootstrapRequest asks a fresh disk to agree to a founding roster.
type BootstrapRequest struct {
	Incarnation string     `json:"incarnation"`
	VoterSet    voters.Set `json:"roster"`
}

// Empty is an answer without contents.
type Empty struct{}

// The voter's calls.
var (
	Promise   = wire.NewProcedure[PromiseRequest, SlotResponse]("Control", "Promise", wire.Monotonic, "epochs only rise; the same one is promised again")
	Accept    = wire.NewProcedure[AcceptRequest, SlotResponse]("Control", "Accept", wire.Monotonic, "epoch and count of writes only rise")
	Peek      = wire.NewProcedure[PeekRequest, PeekResponse]("Control", "Peek", wire.ReadOnly, "slots of a voter")
	Activate  = wire.NewProcedure[ActivateRequest, Empty]("Control", "Open", wire.Monotonic, "rosters only rise; one that is in force or below changes nothing")
	Bootstrap = wire.NewProcedure[BootstrapRequest, Empty]("Control", "Found", wire.Monotonic, "agreed to as long as the disk is under no roster")
)

// VoterSetKey is the register that names the next roster; accepting it seals the present one.
const VoterSetKey = "roster"

// ReadFullSlot reads the slot that a voter told briefly, with its value; it is not ok when another one stands there by now.
func ReadFullSlot(ctx context.Context, n wire.Network, self string, r voters.Set, s voters.Voter, k string, told Slot) (Slot, bool) {
	a, err := Peek.Call(ctx, n, self, s.Addr, &PeekRequest{VoterSet: r.Sequence, Incarnation: s.Incarnation, Keys: []string{k}})
	if err != nil {
		return Slot{}, false
	}
	x := a.Slots[k]
	return x, x.Accepted == told.Accepted && x.Value.Version == told.Value.Version
}
