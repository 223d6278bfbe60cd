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

// Silent is a line that its owner has nothing new for: the epoch that it was told under, and where it ends.
type Silent struct {
	Partition int
	Kind      line.Kind
	Epoch     uint64
	Last      line.Point
}

// StillTask asks whether lines of one disk stand as their owners have told them: the partitions by the kind of line, each in rising order, and the sum of all.
type StillTask struct {
	Incarnation string              `json:"i"`
	Lines       map[line.Kind][]int `json:"l"`
	Sum         uint64              `json:"s"`
}

// StillAnswer tells whether all do.
type StillAnswer struct {
	Alike bool `json:"a,omitempty"`
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
	Seal   = wire.Name[SealTask, SealAnswer]("Ledger", "Seal", wire.Ordered, "epochs only rise on a disk")
	Append = wire.Name[AppendTask, AppendAnswer]("Ledger", "Append", wire.Ordered, "entries have their epoch and place; a copy that has them answers the same, and lower epochs are refused")
	Still  = wire.Name[StillTask, StillAnswer]("Ledger", "Still", wire.Reads, "compares sums, changes nothing on disk")
	Fetch  = wire.Name[FetchTask, FetchAnswer]("Ledger", "Fetch", wire.Reads, "entries of a copy")
	Drop   = wire.Name[DropTask, Done]("Ledger", "Drop", wire.Ordered, "names the epoch of the record that no longer places the copy here")
)
