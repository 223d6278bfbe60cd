// Package drain keeps the recorded duty of emptying machines.
package drain

import (
	"encoding/json"
	"time"
)

// Key is the control key of all drains.
const Key = "duty/drain"

// Drain is the emptying of one machine.
type Drain struct {
	Node  string    `json:"node"`
	Boot  string    `json:"boot"`
	Asked time.Time `json:"asked"`
	Done  bool      `json:"done"`
	Left  int       `json:"left"`
}

// Book holds all drains by node.
type Book map[string]Drain

// Parse reads a book.
func Parse(b []byte) Book {
	k := Book{}
	if len(b) > 0 {
		_ = json.Unmarshal(b, &k)
	}
	return k
}

// Pack writes a book.
func (k Book) Pack() []byte {
	b, _ := json.Marshal(k)
	return b
}
