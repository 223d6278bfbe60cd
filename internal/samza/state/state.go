// Package state is what a partition's deliveries depend on: a function of its ledger. It holds each
// client's accepted call numbers, the ordering progress of each topic, cursors and attachments.
package state

import (
	"encoding/json"
	"strings"
)

// Progress is how far a topic's log has come: the offset of its newest message, how many there
// were, and the offset of the last one that is no longer held.
type Progress struct {
	Offset  uint64 `json:"o"`
	Count   uint64 `json:"n"`
	Trimmed uint64 `json:"x,omitempty"`
}

// Attachment is the attachment of a client that is in force.
type Attachment struct {
	Generation uint64 `json:"g"`
	Secret     string `json:"s"`
	Offset     uint64 `json:"o"`
}

// SavedCursor is the cursor that a client left.
type SavedCursor struct {
	Cursor string `json:"c"`
	Offset uint64 `json:"o"`
}

// State is one partition's; it is used under its leader's lock.
type State struct {
	Accepted     map[string]AcceptedCalls `json:"a"`
	Progress     map[string]Progress      `json:"p"`
	Attachments  map[string]Attachment    `json:"t"`
	SavedCursors map[string]SavedCursor   `json:"k"`
	Tombstones   map[string]Tombstone     `json:"m,omitempty"`
	Readers      map[string]Reader        `json:"r,omitempty"`
	Input        uint64                   `json:"i"`
	// LastKeyed is the offset of the last message under a key that the ledger holds; the ledger
	// itself tells it (RestoreAnswer).
	LastKeyed map[string]uint64 `json:"-"`
	dirty     map[string]bool
}

// New makes an empty state.
func New() *State {
	return &State{
		Accepted: map[string]AcceptedCalls{}, Progress: map[string]Progress{},
		Attachments: map[string]Attachment{}, SavedCursors: map[string]SavedCursor{},
		Tombstones: map[string]Tombstone{}, Readers: map[string]Reader{},
		LastKeyed: map[string]uint64{}, dirty: map[string]bool{},
	}
}

// Key names a client's calls on a topic, or with the topic first what stands under a key of it.
func Key(client, topic string) string { return client + "\x1f" + topic }

// Size is the number of keys.
func (s *State) Size() int {
	return len(s.Accepted) + len(s.Progress) + len(s.Attachments) + len(s.SavedCursors) +
		len(s.Tombstones) + len(s.Readers)
}

// Senders counts the clients that sent on each topic.
func (s *State) Senders() map[string]int {
	senders := map[string]int{}
	for key := range s.Accepted {
		_, topic, _ := strings.Cut(key, "\x1f")
		senders[topic]++
	}
	return senders
}

// Marshal writes the whole state.
func (s *State) Marshal() json.RawMessage {
	b, _ := json.Marshal(s)
	return b
}

// Unmarshal reads a whole state.
func Unmarshal(b []byte) (*State, error) {
	s := New()
	err := json.Unmarshal(b, s)
	return s, err
}
