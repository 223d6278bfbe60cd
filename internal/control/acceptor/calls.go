package acceptor

import (
	"postjunction/internal/control/epoch"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Target addresses the slot of one key on one disk under one voter set.
type Target struct {
	VoterSet    uint64 `json:"roster"`
	Incarnation string `json:"incarnation"`
	Key         string `json:"key"`
}

// PromiseRequest asks for a promise to accept nothing below an epoch (prepare, in the terms of
// Paxos).
type PromiseRequest struct {
	Target
	Epoch epoch.Epoch `json:"epoch"`
}

// AcceptRequest asks for the acceptance of a value under an epoch.
type AcceptRequest struct {
	Target
	Epoch epoch.Epoch `json:"epoch"`
	Value Value       `json:"value"`
}

// SlotResponse is the slot after the request; Granted says whether the promise or acceptance was
// given.
type SlotResponse struct {
	Granted bool `json:"ok"`
	Slot    Slot `json:"slot"`
}

// PeekRequest reads the slots of the named keys, all slots when none are named. Sealed slots are
// read only when Sealed is set, and then only those; Brief leaves out body and metadata.
type PeekRequest struct {
	VoterSet    uint64   `json:"roster"`
	Incarnation string   `json:"incarnation"`
	Keys        []string `json:"keys,omitempty"`
	Sealed      bool     `json:"sealed,omitempty"`
	Brief       bool     `json:"brief,omitempty"`
}

// PeekResponse is slots by key.
type PeekResponse struct {
	Slots map[string]Slot `json:"slots"`
}

// ActivateRequest brings a voter under a voter set, with the slots copied from the one before.
// Bootstrap marks the first voter set of a fleet.
type ActivateRequest struct {
	Incarnation string          `json:"incarnation"`
	VoterSet    voters.Set      `json:"roster"`
	Slots       map[string]Slot `json:"slots"`
	Bootstrap   bool            `json:"founding,omitempty"`
}

// BootstrapRequest asks a fresh disk to agree to the first voter set of a fleet.
type BootstrapRequest struct {
	Incarnation string     `json:"incarnation"`
	VoterSet    voters.Set `json:"roster"`
}

// Empty is a response without contents.
type Empty struct{}

// The calls to a voter.
var (
	Promise = wire.NewProcedure[PromiseRequest, SlotResponse]("Control", "Promise", wire.Monotonic,
		"epochs only rise; the same one is promised again")
	Accept = wire.NewProcedure[AcceptRequest, SlotResponse]("Control", "Accept", wire.Monotonic,
		"epoch and version only rise")
	Peek = wire.NewProcedure[PeekRequest, PeekResponse]("Control", "Peek", wire.ReadOnly,
		"slots of a voter")
	Activate = wire.NewProcedure[ActivateRequest, Empty]("Control", "Open", wire.Monotonic,
		"voter sets only rise; one that is in force or below changes nothing")
	Bootstrap = wire.NewProcedure[BootstrapRequest, Empty]("Control", "Found", wire.Monotonic,
		"agreed to as long as the disk is under no voter set")
)
