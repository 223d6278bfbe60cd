package history

import (
	"fmt"
	"time"
)

// Decision is one decision of a node for a partition: what it was, under which epoch, and when it
// was begun and answered.
type Decision struct {
	Node      string
	Partition int
	Epoch     uint64
	What      string
	Begun     time.Time
	Answered  time.Time
}

// DecisionOpen is the decision by which a leader opens its partition under a new epoch.
const DecisionOpen = "open"

// term is one epoch of a partition.
type term struct {
	partition int
	epoch     uint64
}

// Decide records a decision.
func (h *History) Decide(decision Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decisions = append(h.decisions, decision)
}

// Lead records which leader the assignment record names for an epoch.
func (h *History) Lead(partition int, epoch uint64, leader string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := term{partition, epoch}
	if previous, ok := h.leaders[key]; ok && previous != leader {
		h.violate(Fenced, "partition %d has two leaders under epoch %d: %s and %s", partition, epoch, previous, leader)
	}
	h.leaders[key] = leader
}

// Terms returns how many epochs were recorded, over all partitions.
func (h *History) Terms() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.leaders)
}

func (h *History) judgeDecisions(report *Report) {
	opened := map[int][]Decision{}
	for _, decision := range h.decisions {
		if decision.What == DecisionOpen {
			opened[decision.Partition] = append(opened[decision.Partition], decision)
		}
	}
	report.Decisions = map[string]int{}
	for _, decision := range h.decisions {
		report.Decisions[decision.What]++
		if leader, ok := h.leaders[term{decision.Partition, decision.Epoch}]; ok && leader != decision.Node {
			h.violate(Fenced, "%s decided %q for partition %d under epoch %d, whose leader is %s", decision.Node,
				decision.What, decision.Partition, decision.Epoch, leader)
		}
		for _, opening := range opened[decision.Partition] {
			if opening.Epoch > decision.Epoch && decision.Begun.After(opening.Answered) {
				h.violate(Fenced,
					"%s decided %q for partition %d under epoch %d, begun %s, after %s opened it under epoch %d at %s",
					decision.Node, decision.What, decision.Partition, decision.Epoch,
					decision.Begun.Format("04:05.000000"), opening.Node, opening.Epoch,
					opening.Answered.Format("04:05.000000"))
			}
		}
	}
}

// Rank orders promises by number, then by node.
type Rank struct {
	Number uint64
	Node   string
}

func (r Rank) less(other Rank) bool {
	return r.Number < other.Number || r.Number == other.Number && r.Node < other.Node
}

type promise struct {
	rank     Rank
	at       time.Time
	repeated bool
}

// Promise records that a disk, identified by its random name, granted a rank for the register or
// partition that what names. Granting a lower rank, on a request made after a higher one was
// answered, shows that a disk lost its promises and was trusted nevertheless.
func (h *History) Promise(disk, what string, rank Rank, begun, answered time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := disk + " " + what
	h.promises++
	if previous, ok := h.promised[key]; ok && rank.less(previous.rank) && begun.After(previous.at) {
		h.violate(Disk, "disk %s granted %s under %v at %s, after it granted it under %v at %s", disk, what, rank,
			answered.Format("04:05.000000"), previous.rank, previous.at.Format("04:05.000000"))
	}
	if previous, ok := h.promised[key]; !ok || previous.rank.less(rank) {
		h.promised[key] = promise{rank, answered, ok}
	}
}

// Reading is what a new subscriber read back at the end of a run.
type Reading struct {
	Through string
	Topics  map[string]bool
	Since   time.Time
	Got     []Receipt
}

// ReadMessages records what a new subscriber read back through a node, resuming from a cursor that
// was obtained at Since.
func (h *History) ReadMessages(reading Reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings = append(h.readings, reading)
}

func (h *History) judgeReadings(cut time.Time) {
	for _, reading := range h.readings {
		positions, lastOffset := map[Message]string{}, map[int]uint64{}
		for _, receipt := range reading.Got {
			if receipt.Offset <= lastOffset[receipt.Partition] {
				h.violate(Order, "through %s, %v was read back at %d/%d after offset %d", reading.Through,
					receipt.Message, receipt.Partition, receipt.Offset, lastOffset[receipt.Partition])
			}
			lastOffset[receipt.Partition] = receipt.Offset
			if _, ok := positions[receipt.Message]; ok {
				h.violate(Twice, "through %s, %v was read back twice", reading.Through, receipt.Message)
			}
			positions[receipt.Message] = fmt.Sprintf("%d/%d", receipt.Partition, receipt.Offset)
			if state := h.sent[receipt.Message]; state == nil || state.body != receipt.Body {
				h.violate(Foreign, "through %s, %v was read back, which no client sent in that form", reading.Through,
					receipt.Message)
			}
		}
		for message, state := range h.sent {
			if !reading.Topics[message.Topic] || state.outcome != Accepted || state.acceptedAt.After(cut) {
				continue
			}
			position, ok := positions[message]
			if !ok && state.sentAt.After(reading.Since) {
				h.violate(Lost, "through %s, %v was not read back, acknowledged at %d/%d on %s", reading.Through,
					message, state.partition, state.offset, state.acceptedAt.Format("04:05.000"))
			}
			if ok && position != fmt.Sprintf("%d/%d", state.partition, state.offset) {
				h.violate(Order, "through %s, %v was read back at %s, acknowledged at %d/%d", reading.Through, message,
					position, state.partition, state.offset)
			}
		}
	}
}
