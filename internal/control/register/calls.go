// Package register owns control keys: one holder per key, which has a change on a majority of disks before it answers.
package register

import (
	"postjunction/internal/control/acceptor"
	"postjunction/internal/wire"
)

// ChangeRequest writes a key if its count of writes is still Base. By is the change's own name, so that a repeat is known.
// Memory is written with Body and read back with it.
type ChangeRequest struct {
	Key    string `json:"key"`
	Base   uint64 `json:"base"`
	By     string `json:"by"`
	Body   []byte `json:"body"`
	Memory []byte `json:"memory,omitempty"`
	Handed int    `json:"handed,omitempty"`
}

// ReadRequest reads a key; the answer is current when it was asked for.
type ReadRequest struct {
	Key    string `json:"key"`
	Handed int    `json:"handed,omitempty"`
}

// TakeRequest names the receiver as successor for a key.
type TakeRequest struct {
	Key string `json:"key"`
}

// WhoRequest asks a control node whether it holds a key.
type WhoRequest struct {
	Key string `json:"key"`
}

// WhoResponse says so, and else whom it takes for the holder.
type WhoResponse struct {
	Holds bool   `json:"holds"`
	Hint  string `json:"hint,omitempty"`
}

// The holder's calls.
var (
	Change = wire.NewProcedure[ChangeRequest, acceptor.Value]("Control", "Change", wire.Deduplicated, "the change has a name and builds on a count of writes; the register knows both")
	Read   = wire.NewProcedure[ReadRequest, acceptor.Value]("Control", "Read", wire.ReadOnly, "a majority is asked")
	Who    = wire.NewProcedure[WhoRequest, WhoResponse]("Control", "Who", wire.ReadOnly, "says who is taken for the holder")
	Take   = wire.NewProcedure[TakeRequest, acceptor.Empty]("Control", "Take", wire.Monotonic, "claims under a higher epoch, whoever held the key")
)
