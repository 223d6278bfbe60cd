// Package session serves one client on one connection: it attaches, subscribes and unsubscribes,
// sends, withdraws, counts and sends heartbeats. Responses come in any order.
//
// Invariants:
//   - Every Subscribe, Send, Count and Withdraw gets one response, unless the session ends first.
//   - The messages of a subscription are delivered in the order of the log and without gaps. Where
//     that is impossible, the client is asked to reconnect with its cursors.
//
// A Registry owns the sessions of a node. Its Run is driven by one goroutine of the node; the
// requests of a session are driven by its connection. Nothing here blocks a connection: responses
// go to a Sink that never blocks, and Count and Withdraw wait in goroutines of their own that end
// with the context given to Start. Locks are held for map access only, never over calls to the hub,
// the partition log or a sink.
package session

import "postjunction/internal/delivery/fanout"

// Verb is the kind of a request.
type Verb string

// The verbs.
const (
	Attach      Verb = "attach"
	Subscribe   Verb = "join"
	Unsubscribe Verb = "leave"
	Send        Verb = "send"
	Count       Verb = "count"
	Heartbeat   Verb = "pulse"
	// Withdraw withdraws the messages under a key.
	Withdraw Verb = "withdraw"
)

// Request is one request of a client on its connection.
type Request struct {
	Verb    Verb
	Client  string
	Topic   string
	Cursor  string
	CallSeq uint64
	Body    []byte
	// Key is the key of a message or a withdrawal.
	Key string
	// WithdrawSender and WithdrawUpTo name a sender and its highest CallSeq that a withdrawal
	// covers too, even if that message has not arrived yet.
	WithdrawSender string
	WithdrawUpTo   uint64
}

// ResponseType is the kind of a response.
type ResponseType string

// Types of responses: those to each verb, messages, errors, and the advice to move to another node.
const (
	Attached     ResponseType = "attached"
	Subscribed   ResponseType = "joined"
	Unsubscribed ResponseType = "left"
	Accepted     ResponseType = "taken"
	Counted      ResponseType = "counted"
	Alive        ResponseType = "alive"
	Message      ResponseType = "message"
	Rejected     ResponseType = "turned"
	Moved        ResponseType = "moved"
	// Withdrawn informs a subscriber that a message which it got under a key is withdrawn.
	Withdrawn ResponseType = "withdrawn"
	// WithdrawalComplete informs the client that withdrew that no node will show the message again.
	WithdrawalComplete ResponseType = "forgotten"
)

// Response is what a client is sent: the response to a request, a message, or a notice.
type Response struct {
	Type ResponseType
	// InReplyTo is the verb that was rejected.
	InReplyTo Verb
	Topic     string
	Cursor    string
	// From is the sender of a message.
	From    string
	CallSeq uint64
	Count   int
	Body    []byte
	// Address is the node that a moved client is to connect to.
	Address string
	Err     error
	Key     string
	// AlreadyWithdrawn is set when an earlier withdrawal covered the same messages.
	AlreadyWithdrawn bool
	// GivenUp are nodes that sent nothing for so long that the withdrawal no longer waits for them.
	GivenUp []string
	// Partition and Offset locate a message or a tombstone in its log, for buffers.
	Partition int
	Offset    uint64
}

// Sink accepts a response for the client. It never blocks; a client that does not read is
// disconnected.
type Sink func(Response)

// Buffer holds responses until they are written to the client. What is being written can be dropped
// only by closing the connection.
type Buffer interface {
	// Withdraw drops the messages of a partition that are covered. It closes the connection if one
	// of them is being written.
	Withdraw(partition int, covered fanout.WithdrawnFunc)
	// Drop drops the messages of a topic that have keys.
	Drop(topic string)
	// Release drops the messages of a partition that have keys and reports whether none is left. It
	// closes the connection only if closeConnection is set.
	Release(partition int, closeConnection bool) bool
}
