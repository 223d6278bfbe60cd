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

// PromiseRequest is the prepare request of Paxos: it asks for a promise to accept nothing below an
// epoch.
type PromiseRequest struct {
	Target
	Epoch epoch.Epoch `json:"epoch"`
}

// AcceptRequest is the accept request of Paxos: it asks a voter to accept a value under an epoch.
type AcceptRequest struct {
	Target
	Epoch epoch.Epoch `json:"epoch"`
	Value Value       `json:"value"`
}

// SlotResponse is the slot after the request. Granted says whether the voter promised the epoch or
// accepted the value.
type SlotResponse struct {
	Granted bool `json:"ok"`
	Slot    Slot `json:"slot"`
}

// PeekRequest reads the slots of the named keys, or all slots if Keys is empty. With Sealed it
// succeeds only if the voter set is sealed, without it only if the voter set is not. Brief omits
// body and metadata.
type PeekRequest struct {
	VoterSet    uint64   `json:"roster"`
	Incarnation string   `json:"incarnation"`
	Keys        []string `json:"keys,omitempty"`
	Sealed      bool     `json:"sealed,omitempty"`
	Brief       bool     `json:"brief,omitempty"`
}

// PeekResponse has the slots by key.
type PeekResponse struct {
	Slots map[string]Slot `json:"slots"`
}

// ActivateRequest makes a voter set current on a voter, with the slots copied from the previous
// voter set. Bootstrap is set for the first voter set of a fleet.
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

// Procedures that an acceptor serves.
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
