// Package state is the state that a partition's deliveries depend on. It is a function of the
// partition log alone. It holds each client's accepted call numbers, the ordering progress of each
// topic, cursors, attachments, tombstones and readers.
package state

import (
	"encoding/json"
	"strings"
)

// Progress is the progress of a topic: the offset of its newest message, the number of its
// messages, and the offset of its last entry that was trimmed.
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

// SavedCursor is the cursor that a client saved last.
type SavedCursor struct {
	Cursor string `json:"c"`
	Offset uint64 `json:"o"`
}

// State is the state of one partition. Its leader's lock guards it.
type State struct {
	Accepted     map[string]AcceptedCalls `json:"a"`
	Progress     map[string]Progress      `json:"p"`
	Attachments  map[string]Attachment    `json:"t"`
	SavedCursors map[string]SavedCursor   `json:"k"`
	Tombstones   map[string]Tombstone     `json:"m,omitempty"`
	Readers      map[string]Reader        `json:"r,omitempty"`
	Input        uint64                   `json:"i"`
	// LastKeyed is the offset of the last message under each key that the partition log has. It is
	// not encoded, since RestoreAnswer rebuilds it from the log.
	LastKeyed map[string]uint64 `json:"-"`
	dirty     map[string]bool
}

// New returns an empty state.
func New() *State {
	return &State{
		Accepted: map[string]AcceptedCalls{}, Progress: map[string]Progress{},
		Attachments: map[string]Attachment{}, SavedCursors: map[string]SavedCursor{},
		Tombstones: map[string]Tombstone{}, Readers: map[string]Reader{},
		LastKeyed: map[string]uint64{}, dirty: map[string]bool{},
	}
}

// Key returns the map key of a client's calls on a topic. Given a topic and a message key, in this
// order, it returns the map key of that message key.
func Key(client, topic string) string { return client + "\x1f" + topic }

// Size returns the number of map keys.
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

// Marshal encodes the whole state.
func (s *State) Marshal() json.RawMessage {
	b, _ := json.Marshal(s)
	return b
}

// Unmarshal decodes a whole state.
func Unmarshal(b []byte) (*State, error) {
	s := New()
	err := json.Unmarshal(b, s)
	return s, err
}
