// Package replica holds the lines of all partitions on one disk and refuses lower epochs durably.
package replica

import (
	"postjunction/internal/ledger/line"
	"postjunction/internal/wire"
)

// Target addresses one partition on one disk.
type Target struct {
	Partition   int    `json:"p"`
	Incarnation string `json:"i"`
	Epoch       uint64 `json:"e"`
}

// SealTask asks a replica to turn away all epochs below.
type SealTask struct {
	Target
	Urgent bool `json:"u,omitempty"`
}

// Tail says what a replica holds of one line.
type Tail struct {
	Base   line.Point `json:"base"`
	Last   line.Point `json:"last"`
	Commit uint64     `json:"commit"`
}

// SealAnswer gives the tails of both lines.
type SealAnswer struct {
	Tails map[line.Kind]Tail `json:"tails"`
}

// AppendTask extends a line after a point; with Reset the replica starts anew there.
type AppendTask struct {
	Target
	Kind    line.Kind    `json:"k"`
	After   line.Point   `json:"a"`
	Entries []line.Entry `json:"n,omitempty"`
	Commit  uint64       `json:"c"`
	Base    line.Point   `json:"b"`
	Reset   bool         `json:"r,omitempty"`
	Urgent  bool         `json:"u,omitempty"`
}

// AppendAnswer gives the replica's last point; OK tells whether the lines matched.
type AppendAnswer struct {
	OK   bool `json:"ok"`
	Tail Tail `json:"tail"`
}

// FetchTask reads entries of a line, committed or not.
type FetchTask struct {
	Partition   int       `json:"p"`
	Incarnation string    `json:"i"`
	Kind        line.Kind `json:"k"`
	From        uint64    `json:"f"`
	Most        int       `json:"m"`
}

// FetchAnswer gives entries with the tail they were read at.
type FetchAnswer struct {
	Tail    Tail         `json:"tail"`
	Before  line.Point   `json:"before"`
	Entries []line.Entry `json:"n,omitempty"`
}

// DropTask tells a replica that the ownership record no longer names it.
type DropTask struct {
	Target
}

// Done is an answer without contents.
type Done struct{}

// The replica's calls.
var (
	Seal   = wire.Name[SealTask, SealAnswer]("Ledger", "Seal")
	Append = wire.Name[AppendTask, AppendAnswer]("Ledger", "Append")
	Fetch  = wire.Name[FetchTask, FetchAnswer]("Ledger", "Fetch")
	Drop   = wire.Name[DropTask, Done]("Ledger", "Drop")
)
