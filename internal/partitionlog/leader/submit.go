package leader

import (
	"context"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Message is a client's numbered message, which may have a key. With Withdraw, it is the withdrawal
// of what is under that key. WithdrawSender and WithdrawUpTo name a sender and the highest of its
// numbers on the topic that is withdrawn too, even if that message has not arrived yet.
type Message struct {
	Client         string `json:"v"`
	Generation     uint64 `json:"g"`
	Topic          string `json:"t"`
	CallSeq        uint64 `json:"c"`
	Body           []byte `json:"b"`
	Live           bool   `json:"l,omitempty"`
	Configuration  uint64 `json:"d"`
	Key            string `json:"k,omitempty"`
	Withdraw       bool   `json:"w,omitempty"`
	WithdrawSender string `json:"f,omitempty"`
	WithdrawUpTo   uint64 `json:"u,omitempty"`
}

// Decision is the answer to an accepted message. For a withdrawal, Offset is that of its tombstone,
// and AlreadyWithdrawn is set if the tombstone of an earlier withdrawal existed.
type Decision struct {
	Partition        int    `json:"p"`
	Epoch            uint64 `json:"e"`
	Offset           uint64 `json:"o"`
	Duplicate        bool   `json:"r,omitempty"`
	AlreadyWithdrawn bool   `json:"a,omitempty"`
}

// uncommittedCalls is what a client did on a topic that is not committed yet: its highest number,
// its generation with the secret of the attachment, the accepted calls in order, and the offset of
// the last entry that all of this depends on.
type uncommittedCalls struct {
	lastCallSeq uint64
	generation  uint64
	secret      string
	accepted    []state.AcceptedCall
	offset      uint64
}

// clientCalls is what a client did on a topic, committed or not.
type clientCalls struct {
	committed        state.AcceptedCalls
	uncommitted      []state.AcceptedCall
	last, generation uint64
}

// callsOf returns what a client did on a topic. key is the state.Key of both. l.mu must be held.
func (l *Leader) callsOf(key string) clientCalls {
	committed := l.state.Accepted[key]
	calls := clientCalls{committed: committed, last: committed.Last, generation: committed.Generation}
	if uncommitted := l.uncommitted[key]; uncommitted != nil {
		calls.uncommitted = uncommitted.accepted
		calls.last = max(calls.last, uncommitted.lastCallSeq)
		calls.generation = max(calls.generation, uncommitted.generation)
	}
	return calls
}

// find returns an accepted call whose answer is still available.
func (c clientCalls) find(callSeq uint64) (state.AcceptedCall, bool) {
	if call, ok := c.committed.Find(callSeq); ok {
		return call, true
	}
	return state.AcceptedCalls{Recent: c.uncommitted}.Find(callSeq)
}

// entry returns the message as an entry of the partition log, without a position.
func (m *Message) entry() log.Entry {
	entry := log.Entry{
		Type:          log.TypeMessage,
		Topic:         m.Topic,
		Client:        m.Client,
		Key:           m.Key,
		CallSeq:       m.CallSeq,
		Generation:    m.Generation,
		Configuration: m.Configuration,
		Live:          m.Live,
		Body:          m.Body,
	}
	if m.Withdraw {
		entry.Type, entry.Live = log.TypeWithdrawal, false
		if m.WithdrawSender != "" {
			entry.Body = state.EncodeBody(state.SenderWithdrawal{Sender: m.WithdrawSender, UpTo: m.WithdrawUpTo})
		}
	}
	entry.Digest = log.Digest(entry.Body)
	return entry
}

// Submit evaluates a message and answers once the decision is committed.
func (l *Leader) Submit(ctx context.Context, message *Message) (*Decision, error) {
	outcome := l.SubmitMany(ctx, []*Message{message})[0]
	if outcome.Err != nil {
		return nil, outcome.Err
	}
	return outcome.Decision, nil
}

// evaluate decides on a message. A new message that can be accepted is appended to the partition
// log. l.mu must be held.
func (l *Leader) evaluate(message *Message) evaluation {
	if err := message.validate(); err != nil {
		return evaluation{err: err}
	}
	entry := message.entry()
	digest := state.CallDigest(entry.Type, entry.Key, entry.Digest)
	calls := l.callsOf(state.Key(message.Client, message.Topic))
	if message.Generation > 0 && message.Generation < calls.generation {
		return evaluation{err: apierror.New(apierror.TokenFenced, "attachment %d of %s sent on %s after %d",
			calls.generation, message.Client, message.Topic, message.Generation)}
	}
	existing := l.findTombstone(message)
	if message.CallSeq <= calls.last {
		return l.evaluatePassed(message, entry, digest, calls, existing)
	}
	if message.Withdraw && !existing.exists {
		if err := l.checkWithdrawal(message); err != nil {
			return evaluation{err: err}
		}
	}
	if err := l.checkBacklog(); err != nil {
		return evaluation{err: err}
	}
	return evaluation{accepted: l.accept(message, entry, digest), alreadyWithdrawn: existing.exists}
}

// alteredPart names what differs from an accepted call, by whether the bodies are the same.
var alteredPart = map[bool]string{false: "body", true: "key"}

// evaluatePassed decides on a message whose number is not above the client's last one on the topic.
// A retry of an accepted call is a duplicate. Everything else is rejected. l.mu must be held.
func (l *Leader) evaluatePassed(
	message *Message, entry log.Entry, digest string, calls clientCalls, existing existingTombstone,
) evaluation {
	reject := func(code apierror.Code, format string, args ...any) evaluation {
		return evaluation{err: apierror.New(code, format, args...).WithCurrent(calls.last)}
	}
	previous, ok := calls.find(message.CallSeq)
	tombstone := l.state.Tombstones[state.Key(message.Topic, message.Key)]
	floor := calls.committed.Floor
	switch {
	case ok && previous.Digest != digest:
		return reject(apierror.CallAltered, "call_seq %d was taken with another %s",
			message.CallSeq, alteredPart[strings.HasPrefix(previous.Digest, entry.Digest)])
	case ok:
		return evaluation{accepted: previous, duplicate: true}
	case message.Withdraw && tombstone.WrittenBy(message.Client, message.CallSeq):
		accepted := state.AcceptedCall{CallSeq: message.CallSeq, Offset: tombstone.Offset, Digest: digest}
		return evaluation{accepted: accepted, duplicate: true}
	case existing.exists && message.CallSeq <= floor:
		accepted := state.AcceptedCall{CallSeq: message.CallSeq, Offset: existing.offset}
		return evaluation{accepted: accepted, alreadyWithdrawn: true, dependency: existing.dependency}
	case message.CallSeq <= floor:
		return reject(apierror.CallForgotten,
			"call_seq %d may have been taken, the ledger no longer holds what %s sent up to %d",
			message.CallSeq, message.Client, floor)
	default:
		return reject(apierror.CallPassed, "call_seq %d was never taken, and %d was", message.CallSeq, calls.last)
	}
}

// accept appends a message to the partition log and records what depends on it until it is
// committed. l.mu must be held.
func (l *Leader) accept(message *Message, entry log.Entry, digest string) state.AcceptedCall {
	entry = l.appendToPartitionLog(entry)
	accepted := state.AcceptedCall{CallSeq: message.CallSeq, Offset: entry.Offset, Digest: digest}
	calls := l.trackUncommitted(state.Key(message.Client, message.Topic), message.CallSeq, entry.Offset)
	calls.generation = max(calls.generation, message.Generation)
	calls.accepted = append(calls.accepted, accepted)
	if message.WithdrawSender != "" {
		l.trackUncommitted(state.Key(message.WithdrawSender, message.Topic), message.WithdrawUpTo, entry.Offset)
	}
	l.trackUncommittedKey(entry)
	return accepted
}

// uncommittedCallsOf returns the uncommitted calls of a client on a topic, to be changed in place.
// l.mu must be held.
func (l *Leader) uncommittedCallsOf(key string) *uncommittedCalls {
	calls := l.uncommitted[key]
	if calls == nil {
		calls = &uncommittedCalls{}
		l.uncommitted[key] = calls
	}
	return calls
}

// trackUncommitted records that an uncommitted entry raises a client's calls on a topic to a
// number. l.mu must be held.
func (l *Leader) trackUncommitted(key string, callSeq, offset uint64) *uncommittedCalls {
	calls := l.uncommittedCallsOf(key)
	calls.lastCallSeq, calls.offset = max(calls.lastCallSeq, callSeq), offset
	return calls
}

// onCommitted counts a committed entry and drops what was tracked while it was uncommitted. l.mu
// must be held.
func (l *Leader) onCommitted(entry log.Entry) {
	switch entry.Type {
	case log.TypeMessage:
		l.counters.Accepted++
		l.counters.Bytes += uint64(len(entry.Body))
		l.clearUncommitted(entry.Client, entry)
	case log.TypeWithdrawal:
		l.counters.Withdrawals++
		l.clearUncommitted(entry.Client, entry)
		l.clearUncommitted(state.DecodeBody[state.SenderWithdrawal](entry).Sender, entry)
	case log.TypeReader:
		l.applyReader(entry)
		return
	}
	l.clearUncommittedKey(entry)
}

// clearUncommitted drops what was tracked of a client while an entry was uncommitted. l.mu must be
// held.
func (l *Leader) clearUncommitted(client string, entry log.Entry) {
	key := state.Key(client, entry.Topic)
	calls := l.uncommitted[key]
	if calls == nil {
		return
	}
	for len(calls.accepted) > 0 && calls.accepted[0].Offset <= entry.Offset {
		calls.accepted = calls.accepted[1:]
	}
	if len(calls.accepted) == 0 && calls.offset <= entry.Offset {
		delete(l.uncommitted, key)
	}
}

// dependencyOffset returns the offset up to which the partition log must be committed before an
// answer may use what is known of a client on a topic. l.mu must be held.
func (l *Leader) dependencyOffset(key string) uint64 {
	offset := l.logs[log.KindInput].commit
	if calls := l.uncommitted[key]; calls != nil {
		offset = max(offset, calls.offset)
	}
	return offset
}
