// Package log is one append-only, ordered, replayable log of a partition, as one replica holds it.
package log

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Kind names the two logs of a partition.
type Kind string

// The logs: the ledger is the partition's input, the changelog that of its state.
const (
	KindInput     Kind = "ledger"
	KindChangelog Kind = "changelog"
)

// Kinds lists both.
var Kinds = []Kind{KindInput, KindChangelog}

// ID names a log.
type ID struct {
	Partition int  `json:"p"`
	Kind      Kind `json:"k"`
}

// What an entry records.
const (
	TypeEpochStart = "start"
	TypeMessage    = "message"
	TypeWithdrawal = "withdraw"
	TypeReader     = "reader"
	TypeAttach     = "attach"
	TypeCursor     = "cursor"
	TypeBatch      = "batch"
	TypeOffset     = "offset"
)

// Entry is one decision: what was accepted from whom, at which offset, and under which epoch and
// configuration.
type Entry struct {
	Offset        uint64 `json:"o"`
	Epoch         uint64 `json:"e"`
	Type          string `json:"w"`
	Topic         string `json:"t,omitempty"`
	Client        string `json:"v,omitempty"`
	Key           string `json:"k,omitempty"`
	CallSeq       uint64 `json:"c,omitempty"`
	Generation    uint64 `json:"g,omitempty"`
	Configuration uint64 `json:"d,omitempty"`
	Live          bool   `json:"l,omitempty"`
	BodyDropped   bool   `json:"h,omitempty"`
	Digest        string `json:"s,omitempty"`
	Chain         uint64 `json:"x"`
	Body          []byte `json:"b,omitempty"`
}

// Digest returns the name of a body.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:12])
}

// NextChain returns the running checksum of a log after e, from the one before it.
func NextChain(before uint64, entry Entry) uint64 {
	var buffer [chainBytes]byte
	b := buffer[:0]
	for _, number := range [...]uint64{
		before, entry.Offset, entry.Epoch, entry.CallSeq, entry.Generation, entry.Configuration,
		uint64(len(entry.Topic)), uint64(len(entry.Client)),
	} {
		b = binary.LittleEndian.AppendUint64(b, number)
	}
	for _, text := range [...]string{entry.Type, "\x00", entry.Topic, entry.Client, entry.Digest} {
		b = append(b, text...)
	}
	if entry.Key != "" {
		b = append(append(b, 0), entry.Key...)
	}
	sum := sha256.Sum256(b)
	return binary.LittleEndian.Uint64(sum[:])
}

const chainBytes = 256

// Position is a place in a log; logs that have the same position are the same up to it.
type Position struct {
	Offset uint64 `json:"o"`
	Epoch  uint64 `json:"e"`
	Chain  uint64 `json:"x"`
}

// Less orders tails: the higher epoch of the last entry, then the higher offset.
func (p Position) Less(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Offset < other.Offset
}

// Position returns the position of an entry.
func (e Entry) Position() Position { return Position{e.Offset, e.Epoch, e.Chain} }

// Valid reports whether an entry's body and chain are what they say, after a position.
func (e Entry) Valid(after Position) bool {
	if !e.BodyDropped && e.Digest != Digest(e.Body) {
		return false
	}
	return e.Offset == after.Offset+1 && e.Chain == NextChain(after.Chain, e)
}
