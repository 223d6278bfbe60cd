package state

import (
	"encoding/json"

	"postjunction/internal/partitionlog/log"
)

// Tombstone is a withdrawal that stands: what came before its offset under its key is withdrawn, by
// whom and under which number.
type Tombstone struct {
	Offset  uint64 `json:"o"`
	Client  string `json:"v"`
	CallSeq uint64 `json:"c"`
}

// WrittenBy reports whether it is the tombstone of a client's call.
func (m Tombstone) WrittenBy(client string, call uint64) bool {
	return m.Client == client && m.CallSeq == call
}

// Reader is a node that may have been given messages under keys, under which boot, and the offset
// of the entry that says so. GivenUp is one that was not heard for so long that nobody waits for
// it. Before is the boot whose place it took: of that run nothing is left but what comes late.
type Reader struct {
	BootID         string `json:"b"`
	Offset         uint64 `json:"o"`
	GivenUp        bool   `json:"x,omitempty"`
	ReplacedBootID string `json:"f,omitempty"`
}

// ReaderEntry is what the entry of a reader says: that the node reads under a boot, that it is
// given up, or that it is gone.
type ReaderEntry struct {
	BootID  string `json:"b"`
	GivenUp bool   `json:"x,omitempty"`
	Removed bool   `json:"g,omitempty"`
}

// SenderWithdrawal is what the entry of a withdrawal says when it names a sender: that one's
// numbers on the topic are passed up to one of them.
type SenderWithdrawal struct {
	Sender string `json:"o"`
	UpTo   uint64 `json:"u"`
}

// EncodeBody encodes the body of an entry.
func EncodeBody[T any](v T) []byte {
	b, _ := json.Marshal(v)
	return b
}

// DecodeBody decodes the body of an entry. An empty body gives the zero value.
func DecodeBody[T any](e log.Entry) T {
	var v T
	_ = json.Unmarshal(e.Body, &v)
	return v
}

// IsWithdrawn reports whether a later withdrawal covers a message's key.
func (s *State) IsWithdrawn(entry log.Entry) bool {
	return entry.Key != "" && s.Tombstones[Key(entry.Topic, entry.Key)].Offset > entry.Offset
}

// DropTombstone drops a tombstone.
func (s *State) DropTombstone(key string) {
	delete(s.Tombstones, key)
	s.dirty[tombstones+key] = true
}
