package register

import (
	"postjunction/internal/control/acceptor"
	"postjunction/internal/wire"
)

// ChangeRequest writes a key if its version is still BaseVersion. ChangeID identifies the change,
// so that a retry is recognized. Metadata is written and read together with Body. Forwards counts
// how often the request was forwarded.
type ChangeRequest struct {
	Key         string `json:"key"`
	BaseVersion uint64 `json:"base"`
	ChangeID    string `json:"by"`
	Body        []byte `json:"body"`
	Metadata    []byte `json:"memory,omitempty"`
	Forwards    int    `json:"handed,omitempty"`
}

// ReadRequest reads a key. The value in the response was current at some moment after the request
// was made.
type ReadRequest struct {
	Key      string `json:"key"`
	Forwards int    `json:"handed,omitempty"`
}

// TakeOverRequest asks the receiver, as the named successor, to claim a key.
type TakeOverRequest struct {
	Key string `json:"key"`
}

// LeaderRequest asks a control node whether it leads a key.
type LeaderRequest struct {
	Key string `json:"key"`
}

// LeaderResponse says whether the receiver leads the key. Hint is the node that the receiver
// presumes to be the leader.
type LeaderResponse struct {
	Leads bool   `json:"holds"`
	Hint  string `json:"hint,omitempty"`
}

// Procedures that a proposer serves.
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
