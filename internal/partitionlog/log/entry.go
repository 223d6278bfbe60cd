// Package log implements an append-only, ordered, replayable log of a partition, as one replica
// stores it.
package log

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Kind is one of the two logs of a partition.
type Kind string

// The two logs of a partition. The input log is the partition log proper: it has the accepted
// messages and the other decisions. The changelog has the changes of the state that derives from
// the input log.
const (
	KindInput     Kind = "ledger"
	KindChangelog Kind = "changelog"
)

// Kinds lists both kinds.
var Kinds = []Kind{KindInput, KindChangelog}

// ID identifies a log.
type ID struct {
	Partition int  `json:"p"`
	Kind      Kind `json:"k"`
}

// Types of entries.
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

// Digest returns the digest of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:12])
}

// NextChain returns the running checksum of a log after an entry, from the one before it.
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

// Position identifies an entry of a log. Logs that have the same position are the same up to it.
type Position struct {
	Offset uint64 `json:"o"`
	Epoch  uint64 `json:"e"`
	Chain  uint64 `json:"x"`
}

// Less orders the ends of logs by the epoch of the last entry, then by its offset.
func (p Position) Less(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Offset < other.Offset
}

// Position returns the position of an entry.
func (e Entry) Position() Position { return Position{e.Offset, e.Epoch, e.Chain} }

// Valid reports whether an entry follows a position, and whether its digest and its chain are
// correct. The digest of a dropped body is not checked.
func (e Entry) Valid(after Position) bool {
	if !e.BodyDropped && e.Digest != Digest(e.Body) {
		return false
	}
	return e.Offset == after.Offset+1 && e.Chain == NextChain(after.Chain, e)
}
