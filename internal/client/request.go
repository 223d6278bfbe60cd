package client

import (
	"encoding/json"
	"slices"

	"postjunction/internal/client/token"
	"postjunction/internal/configuration"
	"postjunction/internal/partitionlog/leader"
)

// The verbs.
const (
	VerbAttach = "attach"
	VerbSend   = "send"
	VerbFollow = "follow"
	VerbAck    = "ack"
	VerbCount  = "count"
	// VerbWithdraw withdraws the messages under a key.
	VerbWithdraw = "withdraw"
)

// Request is one call of a client.
type Request struct {
	Verb    string
	Token   string
	Client  string
	Topics  []string
	CallSeq uint64
	Body    json.RawMessage
	Cursor  string
	Emit    Emit
	// Abort makes the write in flight of Emit fail, and all later ones. It doesn't block.
	Abort func()
	// Key is the key of a message, or the key under which a withdrawal withdraws.
	Key *string
	// WithdrawSender and WithdrawUpTo name a sender and its highest CallSeq that a withdrawal
	// covers too.
	WithdrawSender string
	WithdrawUpTo   uint64

	// The fields below are set by the policies and the handler of the call.
	identity    token.Token
	spaces      []configuration.Space
	savedCursor string
	decision    leader.Decision
	response    any
}

// Emit writes one line of a stream.
type Emit func(line []byte) error

// isUrgent reports whether the call passes through the urgent lanes.
func (r *Request) isUrgent() bool {
	switch r.Verb {
	case VerbSend, VerbWithdraw, VerbFollow:
		return slices.ContainsFunc(r.spaces, func(space configuration.Space) bool { return space.Urgent })
	default:
		return false
	}
}

// Attachment is the response to attach.
type Attachment struct {
	Token      string `json:"token"`
	Client     string `json:"visitor"`
	Generation uint64 `json:"generation"`
	Cursor     string `json:"cursor,omitempty"`
}

// Receipt is the response to send: what the partition's leader decided.
type Receipt struct {
	Topic     string `json:"topic"`
	CallSeq   uint64 `json:"call_seq"`
	Partition int    `json:"partition"`
	Offset    uint64 `json:"offset"`
	Duplicate bool   `json:"repeat"`
}

// Withdrawal is the response to withdraw. It has the offset of the tombstone, and confirms that no
// node delivers the covered messages any longer. GivenUp names nodes that sent nothing for so long
// that they have disconnected their clients.
type Withdrawal struct {
	Topic            string   `json:"topic"`
	Key              string   `json:"key"`
	CallSeq          uint64   `json:"call_seq"`
	Partition        int      `json:"partition"`
	Offset           uint64   `json:"offset"`
	Duplicate        bool     `json:"repeat"`
	AlreadyWithdrawn bool     `json:"already"`
	Complete         bool     `json:"forgotten"`
	GivenUp          []string `json:"given_up"`
}

// PresenceCount is the response to count. Complete reports whether all nodes answered.
type PresenceCount struct {
	Topic    string `json:"topic"`
	Others   int    `json:"others"`
	Complete bool   `json:"whole"`
}

// CursorSaved is the response to ack.
type CursorSaved struct {
	Cursor string `json:"cursor"`
}
