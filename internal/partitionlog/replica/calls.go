// Package replica holds the lines of all partitions on one disk and refuses lower epochs durably.
package replica

import (
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/wire"
)

// Target addresses one partition on one disk.
type Target struct {
	Partition   int    `json:"p"`
	Incarnation string `json:"i"`
	Epoch       uint64 `json:"e"`
}

// SealRequest asks a replica to turn away all epochs below.
type SealRequest struct {
	Target
	Urgent bool `json:"u,omitempty"`
}

// Tail says what a replica holds of one line.
type Tail struct {
	Base   log.Position `json:"base"`
	Last   log.Position `json:"last"`
	Commit uint64       `json:"commit"`
}

// SealResponse gives the tails of both lines.
type SealResponse struct {
	Tails map[log.Kind]Tail `json:"tails"`
}

// AppendRequest extends a line after a point; with Reset the replica starts anew there.
type AppendRequest struct {
	Target
	Kind    log.Kind     `json:"k"`
	After   log.Position `json:"a"`
	Entries []log.Entry  `json:"n,omitempty"`
	Commit  uint64       `json:"c"`
	Base    log.Position `json:"b"`
	Reset   bool         `json:"r,omitempty"`
	Urgent  bool         `json:"u,omitempty"`
}

// AppendResponse gives the replica's last point; OK tells whether the lines matched.
type AppendResponse struct {
	Matched bool `json:"ok"`
	Tail    Tail `json:"tail"`
}

// IdleLog is a line that its owner has nothing new for: the epoch that it was told under, and where it ends.
type IdleLog struct {
	Partition int
	Kind      log.Kind
	Epoch     uint64
	Last      log.Position
}

// CompareIdleRequest asks whether lines of one disk stand as their owners have told them: the partitions by the kind of line, each in rising order, and the sum of all.
type CompareIdleRequest struct {
	Incarnation string             `json:"i"`
	Partitions  map[log.Kind][]int `json:"l"`
	Checksum    uint64             `json:"s"`
}

// CompareIdleResponse tells whether all do.
type CompareIdleResponse struct {
	Identical bool `json:"a,omitempty"`
}

// FetchRequest reads entries of a line, committed or not.
type FetchRequest struct {
	Partition   int      `json:"p"`
	Incarnation string   `json:"i"`
	Kind        log.Kind `json:"k"`
	From        uint64   `json:"f"`
	Limit       int      `json:"m"`
}

// FetchResponse gives entries with the tail they were read at.
type FetchResponse struct {
	Tail    Tail         `json:"tail"`
	Before  log.Position `json:"before"`
	Entries []log.Entry  `json:"n,omitempty"`
}

// DropRequest tells a replica that the ownership record no longer names it.
type DropRequest struct {
	Target
}

// Empty is an answer without contents.
type Empty struct{}

// The replica's calls.
var (
	Seal        = wire.NewProcedure[SealRequest, SealResponse]("Ledger", "Seal", wire.Monotonic, "epochs only rise on a disk")
	Append      = wire.NewProcedure[AppendRequest, AppendResponse]("Ledger", "Append", wire.Monotonic, "entries have their epoch and place; a copy that has them answers the same, and lower epochs are refused")
	CompareIdle = wire.NewProcedure[CompareIdleRequest, CompareIdleResponse]("Ledger", "Still", wire.ReadOnly, "compares sums, changes nothing on disk")
	Fetch       = wire.NewProcedure[FetchRequest, FetchResponse]("Ledger", "Fetch", wire.ReadOnly, "entries of a copy")
	Drop        = wire.NewProcedure[DropRequest, Empty]("Ledger", "Drop", wire.Monotonic, "names the epoch of the record that no longer places the copy here")
)
