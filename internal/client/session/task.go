// Package session is a visitor's stay on one connection: it attaches, takes topics up and drops them, sends, counts and gives signs
// of life, and is answered in any order.
package session

import "postjunction/internal/delivery/fanout"

// Verb is what a task asks for.
type Verb string

// The verbs.
const (
	Attach    Verb = "attach"
	Join      Verb = "join"
	Leave     Verb = "leave"
	Send      Verb = "send"
	Count     Verb = "count"
	Heartbeat Verb = "pulse"
	// Withdraw withdraws what stands under a key.
	Withdraw Verb = "withdraw"
)

// Task is one thing that a visitor asks on its connection. Key is that of a message or a withdrawal; Of and Upto name a sender and its highest number that is
// withdrawn too, though it may not have come yet.
type Task struct {
	Verb    Verb
	Visitor string
	Topic   string
	Cursor  string
	Call    uint64
	Body    []byte
	Key     string
	Of      string
	Upto    uint64
}

// What an answer is.
type What string

// Kinds of answers: those to each verb, messages, problems, and the advice to move to another node.
const (
	Attached What = "attached"
	Joined   What = "joined"
	Left     What = "left"
	Taken    What = "taken"
	Counted  What = "counted"
	Alive    What = "alive"
	Message  What = "message"
	Turned   What = "turned"
	Moved    What = "moved"
	// Withdrawn tells a follower that what it was given under a key no longer stands; Forgotten tells who withdrew that no node will show it again.
	Withdrawn What = "withdrawn"
	Forgotten What = "forgotten"
)

// Answer is one thing that a visitor is told. Re names the verb that a problem answers; From is the sender of a message; Address
// is where a moved visitor is expected. Already tells that what is withdrawn had been before; GivenUp names nodes that were not heard for so long that they no longer count.
type Answer struct {
	What    What
	Re      Verb
	Topic   string
	Cursor  string
	From    string
	Call    uint64
	Count   int
	Body    []byte
	Address string
	Err     error
	Key     string
	Already bool
	GivenUp []string
	// Offset and Partition are the place of a message or of a mark, for those who hold answers until they are written.
	Partition int
	Offset    uint64
}

// Out takes an answer for the visitor. It never blocks; a visitor that does not read is ended by its connection.
type Out func(Answer)

// Holder keeps answers until they are through to the visitor. Withdraw lets go of messages with keys of a partition that are covered, Drop of all that
// have keys of a topic, Release of those of a partition; it tells whether none is left. What is being written can only be let go of by ending the connection:
// Withdraw does so, Release where it may cut.
type Holder interface {
	Withdraw(p int, covered fanout.WithdrawnFunc)
	Drop(topic string)
	Release(p int, cut bool) bool
}
