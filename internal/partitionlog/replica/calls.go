// Package replica holds the logs of all partitions on one disk and rejects lower epochs durably.
//
// What must stay true: once a seal or an append under an epoch was answered, calls under lower ones
// are rejected, across restarts too; entries are answered only once they are synced; what a caller
// does not see as done may still be done.
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

// SealRequest asks a replica to reject all epochs below.
type SealRequest struct {
	Target
	Urgent bool `json:"u,omitempty"`
}

// Tail says what a replica holds of one log.
type Tail struct {
	Base   log.Position `json:"base"`
	Last   log.Position `json:"last"`
	Commit uint64       `json:"commit"`
}

// SealResponse holds the tails of both logs.
type SealResponse struct {
	Tails map[log.Kind]Tail `json:"tails"`
}

// AppendRequest extends a log after a position; with Reset the replica starts an empty one there.
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

// AppendResponse holds the replica's tail; Matched reports whether the logs matched.
type AppendResponse struct {
	Matched bool `json:"ok"`
	Tail    Tail `json:"tail"`
}

// IdleLog is a log that its leader has nothing new for: the epoch that it was appended under, and
// where it ends.
type IdleLog struct {
	Partition int
	Kind      log.Kind
	Epoch     uint64
	Last      log.Position
}

// CompareIdleRequest asks whether logs of one disk end as their leaders say: the partitions by the
// kind of log, each in rising order, and the checksum of all.
type CompareIdleRequest struct {
	Incarnation string             `json:"i"`
	Partitions  map[log.Kind][]int `json:"l"`
	Checksum    uint64             `json:"s"`
}

// CompareIdleResponse reports whether all do.
type CompareIdleResponse struct {
	Identical bool `json:"a,omitempty"`
}

// FetchRequest reads entries of a log, committed or not.
type FetchRequest struct {
	Partition   int      `json:"p"`
	Incarnation string   `json:"i"`
	Kind        log.Kind `json:"k"`
	From        uint64   `json:"f"`
	Limit       int      `json:"m"`
}

// FetchResponse holds entries with the tail they were read at.
type FetchResponse struct {
	Tail    Tail         `json:"tail"`
	Before  log.Position `json:"before"`
	Entries []log.Entry  `json:"n,omitempty"`
}

// DropRequest tells a replica that the assignment no longer names it.
type DropRequest struct {
	Target
}

// Empty is an answer without contents.
type Empty struct{}

// The replica's calls.
var (
	Seal = wire.NewProcedure[SealRequest, SealResponse](
		"Ledger", "Seal", wire.Monotonic, "epochs only rise on a disk",
	)
	Append = wire.NewProcedure[AppendRequest, AppendResponse](
		"Ledger", "Append", wire.Monotonic,
		"entries have their epoch and place; a copy that has them answers the same, and lower epochs are refused",
	)
	CompareIdle = wire.NewProcedure[CompareIdleRequest, CompareIdleResponse](
		"Ledger", "Still", wire.ReadOnly, "compares sums, changes nothing on disk",
	)
	Fetch = wire.NewProcedure[FetchRequest, FetchResponse]("Ledger", "Fetch", wire.ReadOnly, "entries of a copy")
	Drop  = wire.NewProcedure[DropRequest, Empty](
		"Ledger", "Drop", wire.Monotonic, "names the epoch of the record that no longer places the copy here",
	)
)
