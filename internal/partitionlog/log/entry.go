// Package log is one append-only, ordered, replayable log of a partition, as one replica holds it.
package log

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Kind names the two lines of a partition.
type Kind string

// The lines: the ledger is the partition's input, the changelog that of its state.
const (
	KindLedger    Kind = "ledger"
	KindChangelog Kind = "changelog"
)

// Kinds lists both.
var Kinds = []Kind{KindLedger, KindChangelog}

// ID names a line.
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

// Entry is one decision: what was taken from whom, where it stands, and under which epoch and description.
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

// Digest gives the name of a body.
func Digest(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:12])
}

// NextChain gives the running checksum of a line after e, from the one before it.
func NextChain(before uint64, e Entry) uint64 {
	var room [linkRoom]byte
	b := room[:0]
	for _, x := range [...]uint64{before, e.Offset, e.Epoch, e.CallSeq, e.Generation, e.Configuration, uint64(len(e.Topic)), uint64(len(e.Client))} {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	for _, s := range [...]string{e.Type, "\x00", e.Topic, e.Client, e.Digest} {
		b = append(b, s...)
	}
	if e.Key != "" {
		b = append(append(b, 0), e.Key...)
	}
	h := sha256.Sum256(b)
	return binary.LittleEndian.Uint64(h[:])
}

const linkRoom = 256

// Position is a place in a line; equal points have equal lines up to them.
type Position struct {
	Offset uint64 `json:"o"`
	Epoch  uint64 `json:"e"`
	Chain  uint64 `json:"x"`
}

// Less orders tails: the higher epoch of the last entry, then the higher offset.
func (p Position) Less(q Position) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch < q.Epoch
	}
	return p.Offset < q.Offset
}

// Position gives the point of an entry.
func (e Entry) Position() Position { return Position{e.Offset, e.Epoch, e.Chain} }

// Valid tells whether an entry's body and chain are what they say, after a point.
func (e Entry) Valid(after Position) bool {
	if !e.BodyDropped && e.Digest != Digest(e.Body) {
		return false
	}
	return e.Offset == after.Offset+1 && e.Chain == NextChain(after.Chain, e)
}
