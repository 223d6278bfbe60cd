// Package register owns control keys: one holder per key, which has a change on a majority of disks before it answers.
package register

import (
	"postjunction/internal/control/acceptor"
	"postjunction/internal/wire"
)

// ChangeRequest writes a key if its count of writes is still Base. By is the change's own name, so that a repeat is known.
// Memory is written with Body and read back with it.
type ChangeRequest struct {
	Key         string `json:"key"`
	BaseVersion uint64 `json:"base"`
	ChangeID    string `json:"by"`
	Body        []byte `json:"body"`
	Metadata    []byte `json:"memory,omitempty"`
	Forwards    int    `json:"handed,omitempty"`
}

// ReadRequest reads a key; the answer is current when it was asked for.
type ReadRequest struct {
	Key      string `json:"key"`
	Forwards int    `json:"handed,omitempty"`
}

// TakeOverRequest names the receiver as successor for a key.
type TakeOverRequest struct {
	Key string `json:"key"`
}

// LeaderRequest asks a control node whether it holds a key.
type LeaderRequest struct {
	Key string `json:"key"`
}

// LeaderResponse says so, and else whom it takes for the holder.
type LeaderResponse struct {
	Leads bool   `json:"holds"`
	Hint  string `json:"hint,omitempty"`
}

// The holder's calls.
var (
	Change   = wire.NewProcedure[ChangeRequest, acceptor.Value]("Control", "Change", wire.Deduplicated, "the change has a name and builds on a count of writes; the register knows both")
	Read     = wire.NewProcedure[ReadRequest, acceptor.Value]("Control", "Read", wire.ReadOnly, "a majority is asked")
	Leader   = wire.NewProcedure[LeaderRequest, LeaderResponse]("Control", "Who", wire.ReadOnly, "says who is taken for the holder")
	TakeOver = wire.NewProcedure[TakeOverRequest, acceptor.Empty]("Control", "Take", wire.Monotonic, "claims under a higher epoch, whoever held the key")
)
