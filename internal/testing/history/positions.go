package history

import (
	"cmp"
	"fmt"
	"slices"
)

type tries struct{ total, rejected int }

// Try records one more try of a message.
func (h *History) Try(message Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tried := h.tries[message]
	tried.total++
	h.tries[message] = tried
}

// Reject records that a try was rejected for good: it was not accepted and never will be.
func (h *History) Reject(message Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tried := h.tries[message]
	tried.rejected++
	h.tries[message] = tried
}

// Pass records that a number was rejected for good with any body and through any node, because the
// sender's numbering had passed it.
func (h *History) Pass(message Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.passedOver[message] = true
}

type position struct {
	partition int
	offset    uint64
}

type sender struct{ topic, from string }

type positionedCall struct {
	position
	call uint64
}

// positionIndex maps positions in the partition logs to messages and back, as known from answers to
// senders, from receipts and from reading back.
type positionIndex struct {
	history   *History
	messages  map[position]Message
	positions map[Message]position
	calls     map[sender][]positionedCall
}

func newPositionIndex(h *History) *positionIndex {
	return &positionIndex{history: h, messages: map[position]Message{}, positions: map[Message]position{},
		calls: map[sender][]positionedCall{}}
}

func (index *positionIndex) record(message Message, partition int, offset uint64, source string) {
	position := position{partition, offset}
	if other, ok := index.messages[position]; ok && other != message {
		index.history.violate(Fenced, "%d/%d is %v by one source and %v by another (%s)", partition, offset, other, message,
			source)
	}
	index.messages[position] = message
	if known, ok := index.positions[message]; ok && known != position {
		index.history.violate(Twice, "%v is at %d/%d and at %d/%d (%s)", message, known.partition, known.offset, partition,
			offset, source)
		return
	}
	if _, ok := index.positions[message]; !ok {
		index.positions[message] = position
		key := sender{message.Topic, message.From}
		index.calls[key] = append(index.calls[key], positionedCall{position, message.Call})
	}
}

// recordReceipts records all messages that were received or read back, and sorts the calls of each
// sender by position.
func (index *positionIndex) recordReceipts() {
	for client, subscriber := range index.history.subscribers {
		for _, receipt := range subscriber.receipts {
			index.record(receipt.Message, receipt.Partition, receipt.Offset, "delivered to "+client)
		}
	}
	for _, reading := range index.history.readings {
		for _, receipt := range reading.Got {
			index.record(receipt.Message, receipt.Partition, receipt.Offset, "read back through "+reading.Through)
		}
	}
	for _, calls := range index.calls {
		slices.SortFunc(calls, func(a, b positionedCall) int {
			return cmp.Or(cmp.Compare(a.partition, b.partition), cmp.Compare(a.offset, b.offset))
		})
	}
}

// callsBetween returns the calls of a sender in the partition log with numbers between two others.
func (index *positionIndex) callsBetween(topic, from string, low, high uint64) []uint64 {
	var calls []uint64
	for _, positioned := range index.calls[sender{topic, from}] {
		if positioned.call > low && positioned.call < high {
			calls = append(calls, positioned.call)
		}
	}
	return calls
}

func (h *History) judgePositions(index *positionIndex) {
	for sender, calls := range index.calls {
		for i := 1; i < len(calls); i++ {
			if calls[i].call <= calls[i-1].call {
				h.violate(Order, "the partition log has call %d of %s on %s at %s, after call %d at %s", calls[i].call,
					sender.from, sender.topic, calls[i].position, calls[i-1].call, calls[i-1].position)
			}
		}
	}
	for message, position := range index.positions {
		if h.passedOver[message] {
			h.violate(Foreign, "%v is at %s, though its number was passed over for good", message, position)
		}
		if tried := h.tries[message]; tried.total > 0 && tried.total == tried.rejected {
			h.violate(Foreign, "%v is at %s, though each of its %d tries was rejected", message, position, tried.total)
		}
	}
}

func (p position) String() string { return fmt.Sprintf("%d/%d", p.partition, p.offset) }
