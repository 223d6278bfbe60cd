package state

import (
	"encoding/json"

	"postjunction/internal/partitionlog/log"
)

// Tombstone is a withdrawal in effect: messages under its key before its offset are withdrawn.
// Client and CallSeq are those of the withdrawal.
type Tombstone struct {
	Offset  uint64 `json:"o"`
	Client  string `json:"v"`
	CallSeq uint64 `json:"c"`
}

// WrittenBy reports whether it is the tombstone of a client's call.
func (t Tombstone) WrittenBy(client string, callSeq uint64) bool {
	return t.Client == client && t.CallSeq == callSeq
}

// Reader is a node that may have received messages with keys: the boot ID under which it did, and
// the offset of the last entry about it. GivenUp is set for a reader that was silent for so long
// that nothing waits for it any more. ReplacedBootID is the boot ID before BootID: only late calls
// of that run can still arrive.
type Reader struct {
	BootID         string `json:"b"`
	Offset         uint64 `json:"o"`
	GivenUp        bool   `json:"x,omitempty"`
	ReplacedBootID string `json:"f,omitempty"`
}

// ReaderEntry is the body of a reader's entry: the node reads under a boot ID, is given up, or is
// removed.
type ReaderEntry struct {
	BootID  string `json:"b"`
	GivenUp bool   `json:"x,omitempty"`
	Removed bool   `json:"g,omitempty"`
}

// SenderWithdrawal is the body of a withdrawal's entry that names a sender: the sender's call
// numbers on the topic are passed up to UpTo.
type SenderWithdrawal struct {
	Sender string `json:"o"`
	UpTo   uint64 `json:"u"`
}

// EncodeBody encodes the body of an entry.
func EncodeBody[T any](value T) []byte {
	b, _ := json.Marshal(value)
	return b
}

// DecodeBody decodes the body of an entry. An empty body gives the zero value.
func DecodeBody[T any](entry log.Entry) T {
	var value T
	_ = json.Unmarshal(entry.Body, &value)
	return value
}

// IsWithdrawn reports whether a message's key was withdrawn after the message.
func (s *State) IsWithdrawn(entry log.Entry) bool {
	return entry.Key != "" && s.Tombstones[Key(entry.Topic, entry.Key)].Offset > entry.Offset
}

// DropTombstone drops a tombstone.
func (s *State) DropTombstone(key string) {
	delete(s.Tombstones, key)
	s.dirty[tombstonePrefix+key] = true
}
