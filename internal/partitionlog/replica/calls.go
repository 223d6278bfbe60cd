// Package replica stores the logs of all partitions on one disk and durably rejects lower epochs.
//
// Invariants: once a seal or an append under an epoch was answered, calls under lower epochs are
// rejected, also after a restart. Entries are acknowledged only once they are synced. A call that
// failed for its caller may still take effect.
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

// SealRequest asks a replica to reject all lower epochs.
type SealRequest struct {
	Target
	Urgent bool `json:"u,omitempty"`
}

// Tail is the range of one log that a replica has, and how far it is committed.
type Tail struct {
	Base   log.Position `json:"base"`
	Last   log.Position `json:"last"`
	Commit uint64       `json:"commit"`
}

// SealResponse holds the tails of both logs.
type SealResponse struct {
	Tails map[log.Kind]Tail `json:"tails"`
}

// AppendRequest extends a log after a position. With Reset the replica starts an empty log there.
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

// AppendResponse holds the replica's tail. Matched reports whether the replica's log had the
// position to append after.
type AppendResponse struct {
	Matched bool `json:"ok"`
	Tail    Tail `json:"tail"`
}

// IdleLog is a log for which its leader has no new entries: the epoch of that leader, which is the
// sealed one on the replica, and the position of the last entry.
type IdleLog struct {
	Partition int
	Kind      log.Kind
	Epoch     uint64
	Last      log.Position
}

// CompareIdleRequest asks whether logs on one disk end where their leaders expect. Partitions has
// the partitions by kind of log, each list in ascending order. Checksum is that of all logs.
type CompareIdleRequest struct {
	Incarnation string             `json:"i"`
	Partitions  map[log.Kind][]int `json:"l"`
	Checksum    uint64             `json:"s"`
}

// CompareIdleResponse reports whether all logs end where their leaders expect.
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

// FetchResponse holds entries, the tail at which they were read, and the position before the first.
type FetchResponse struct {
	Tail    Tail         `json:"tail"`
	Before  log.Position `json:"before"`
	Entries []log.Entry  `json:"n,omitempty"`
}

// DropRequest informs a replica that the assignment no longer names it.
type DropRequest struct {
	Target
}

// Empty is a response without contents.
type Empty struct{}

// The procedures of a replica.
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
