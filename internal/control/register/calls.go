package register

import (
	"postjunction/internal/control/acceptor"
	"postjunction/internal/wire"
)

// ChangeRequest writes a key if its version is still BaseVersion. ChangeID is the name of the
// change, by which a retry is known. Metadata is written with Body and read back with it. Forwards
// counts how often the request was forwarded.
type ChangeRequest struct {
	Key         string `json:"key"`
	BaseVersion uint64 `json:"base"`
	ChangeID    string `json:"by"`
	Body        []byte `json:"body"`
	Metadata    []byte `json:"memory,omitempty"`
	Forwards    int    `json:"handed,omitempty"`
}

// ReadRequest reads a key; the response was current at some moment after the request was made.
type ReadRequest struct {
	Key      string `json:"key"`
	Forwards int    `json:"handed,omitempty"`
}

// TakeOverRequest names the receiver as successor for a key.
type TakeOverRequest struct {
	Key string `json:"key"`
}

// LeaderRequest asks a control node whether it leads a key.
type LeaderRequest struct {
	Key string `json:"key"`
}

// LeaderResponse says whether the receiver leads the key; Hint is the node that it takes for the
// leader.
type LeaderResponse struct {
	Leads bool   `json:"holds"`
	Hint  string `json:"hint,omitempty"`
}

// The calls to a proposer.
var (
	Change = wire.NewProcedure[ChangeRequest, acceptor.Value]("Control", "Change", wire.Deduplicated,
		"the change has a name and builds on a version; the register knows both")
	Read = wire.NewProcedure[ReadRequest, acceptor.Value]("Control", "Read", wire.ReadOnly,
		"a majority is asked")
	Leader = wire.NewProcedure[LeaderRequest, LeaderResponse]("Control", "Who", wire.ReadOnly,
		"names the presumed leader")
	TakeOver = wire.NewProcedure[TakeOverRequest, acceptor.Empty]("Control", "Take", wire.Monotonic,
		"claims under a higher epoch, whoever led the key")
)
