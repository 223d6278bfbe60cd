// Package session is a visitor's stay on one connection: it attaches, takes topics up and drops them, sends, counts and gives signs
// of life, and is answered in any order.
package session

import "postjunction/internal/delivery/fanout"

// Verb is what a task asks for.
type Verb string

// The verbs.
const (
	Attach      Verb = "attach"
	Subscribe   Verb = "join"
	Unsubscribe Verb = "leave"
	Send        Verb = "send"
	Count       Verb = "count"
	Heartbeat   Verb = "pulse"
	// Withdraw withdraws what stands under a key.
	Withdraw Verb = "withdraw"
)

// Request is one thing that a visitor asks on its connection. Key is that of a message or a withdrawal; Of and Upto name a sender and its highest number that is
// withdrawn too, though it may not have come yet.
type Request struct {
	Verb           Verb
	Client         string
	Topic          string
	Cursor         string
	CallSeq        uint64
	Body           []byte
	Key            string
	WithdrawSender string
	WithdrawUpTo   uint64
}

// ResponseType an answer is.
type ResponseType string

// Kinds of answers: those to each verb, messages, problems, and the advice to move to another node.
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
	// Withdrawn tells a follower that what it was given under a key no longer stands; Forgotten tells who withdrew that no node will show it again.
	Withdrawn          ResponseType = "withdrawn"
	WithdrawalComplete ResponseType = "forgotten"
)

// Response is one thing that a visitor is told. Re names the verb that a problem answers; From is the sender of a message; Address
// is where a moved visitor is expected. Already tells that what is withdrawn had been before; GivenUp names nodes that were not heard for so long that they no longer count.
type Response struct {
	Type             ResponseType
	InReplyTo        Verb
	Topic            string
	Cursor           string
	From             string
	CallSeq          uint64
	Count            int
	Body             []byte
	Address          string
	Err              error
	Key              string
	AlreadyWithdrawn bool
	GivenUp          []string
	// Offset and Partition are the place of a message or of a mark, for those who hold answers until they are written.
	Partition int
	Offset    uint64
}

// Sink takes an answer for the visitor. It never blocks; a visitor that does not read is ended by its connection.
type Sink func(Response)

// Buffer keeps answers until they are through to the visitor. Withdraw lets go of messages with keys of a partition that are covered, Drop of all that
// have keys of a topic, Release of those of a partition; it tells whether none is left. What is being written can only be let go of by ending the connection:
// Withdraw does so, Release where it may cut.
type Buffer interface {
	Withdraw(p int, covered fanout.WithdrawnFunc)
	Drop(topic string)
	Release(p int, cut bool) bool
}
