package client

import (
	"encoding/json"
)

// Event is one line of a stream: the opening, a message, a withdrawal, a change of the followed
// topics, a keepalive, or the end with its reason.
type Event struct {
	Topic        string          `json:"topic,omitempty"`
	From         string          `json:"from,omitempty"`
	Key          string          `json:"key,omitempty"`
	Withdrawn    string          `json:"withdrawn,omitempty"`
	CallSeq      uint64          `json:"call_seq,omitempty"`
	Body         json.RawMessage `json:"body,omitempty"`
	Partition    *int            `json:"partition,omitempty"`
	Offset       uint64          `json:"offset,omitempty"`
	Attached     uint64          `json:"attached,omitempty"`
	Waiting      []string        `json:"waiting,omitempty"`
	Subscribed   []string        `json:"joined,omitempty"`
	Unsubscribed []string        `json:"dropped,omitempty"`
	Idle         bool            `json:"idle,omitempty"`
	End          *End            `json:"end,omitempty"`
	Cursor       string          `json:"cursor"`
}

// End is why a stream ended and what the client should do.
type End struct {
	Code         string `json:"code"`
	Message      string `json:"say"`
	Advice       string `json:"advice"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}
