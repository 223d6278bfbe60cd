// Package orders records the answers that operators got to their configurations and checks them for
// linearizability.
//
// An operator retries an order (a whole configuration on a base version) until it has a definite
// answer. The checked object is one register. It accepts an order if and only if the order's base
// is the current version. It acknowledges an order again that it accepted before, and refuses all
// others. A read returns the order that it accepted last. For tests only.
package orders

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Order is one order. ID distinguishes it from all others, also from those with the same numbers.
type Order struct {
	Base     uint64
	Sequence uint64
	ID       string
}

// Outcome is the result of one try as the operator knows it.
type Outcome int

// Outcomes of a try: no definite answer, acknowledged, or refused because another version is
// current.
const (
	Unclear Outcome = iota
	Acknowledged
	Refused
)

type operation struct {
	read    bool
	order   Order
	outcome Outcome
	call    time.Time
	end     time.Time
}

// History collects the operations of many operators.
type History struct {
	// mu guards operations.
	mu         sync.Mutex
	began      time.Time
	operations []operation
}

// New returns an empty history that begins now.
func New(now time.Time) *History { return &History{began: now} }

// Tried records a try of an order and its outcome.
func (h *History) Tried(order Order, outcome Outcome, call, end time.Time) {
	h.record(operation{order: order, outcome: outcome, call: call, end: end})
}

// Read records that the configuration was read back, and which order was returned.
func (h *History) Read(order Order, call, end time.Time) {
	h.record(operation{read: true, order: order, outcome: Acknowledged, call: call, end: end})
}

func (h *History) record(operation operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, operation)
}

// Count returns how many tries had each outcome.
func (h *History) Count() map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[Outcome]int{}
	for _, operation := range h.operations {
		if !operation.read {
			counts[operation.outcome]++
		}
	}
	return counts
}

// Linearizable reports whether some sequence of the operations, each taking effect at one moment
// between its call and its end, explains all answers.
func (h *History) Linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var operations []porcupine.Operation
	for i, operation := range mergeUnclear(h.operations) {
		end := int64(math.MaxInt64)
		if !operation.end.IsZero() {
			end = operation.end.Sub(h.began).Nanoseconds()
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: operation, Output: operation.outcome,
			Call: operation.call.Sub(h.began).Nanoseconds(), Return: end})
	}
	model := model()
	return porcupine.CheckOperations(model.ToModel(), operations)
}

// mergeUnclear merges the unclear tries of an order into one operation, which may take effect at
// any time after the first of them. If the order was acknowledged later, the first acknowledgement
// covers them, because accepting an order is idempotent.
func mergeUnclear(operations []operation) []operation {
	var merged []operation
	firstCall := map[Order]time.Time{}
	for _, operation := range operations {
		if firstCallAt, ok := firstCall[operation.order]; !operation.read && operation.outcome == Unclear &&
			(!ok || operation.call.Before(firstCallAt)) {
			firstCall[operation.order] = operation.call
		}
	}
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b operation) int { return a.end.Compare(b.end) })
	for _, operation := range sorted {
		if !operation.read && operation.outcome == Unclear {
			continue
		}
		if firstCallAt, ok := firstCall[operation.order]; !operation.read && ok && operation.outcome == Acknowledged {
			if firstCallAt.Before(operation.call) {
				operation.call = firstCallAt
			}
			delete(firstCall, operation.order)
		}
		merged = append(merged, operation)
	}
	for order, firstCallAt := range firstCall {
		merged = append(merged, operation{order: order, outcome: Unclear, call: firstCallAt})
	}
	return merged
}

// state is the register's state: all accepted orders in the sequence of their acceptance. The last
// one is current.
type state struct{ accepted []Order }

func (s state) current() Order {
	if len(s.accepted) == 0 {
		return Order{}
	}
	return s.accepted[len(s.accepted)-1]
}

func (s state) canFollow(order Order) bool {
	return s.current().Sequence == order.Base && order.Sequence > order.Base
}

func (s state) with(order Order) state { return state{append(slices.Clone(s.accepted), order)} }

func model() porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init:  func() []any { return []any{state{}} },
		Step:  func(st, input, _ any) []any { return step(st.(state), input.(operation)) },
		Equal: func(a, b any) bool { return slices.Equal(a.(state).accepted, b.(state).accepted) },
	}
}

func step(s state, operation operation) []any {
	known := slices.Contains(s.accepted, operation.order)
	switch {
	case operation.read:
		return onlyIf(s.current() == operation.order, s)
	case operation.outcome == Acknowledged && known:
		return onlyIf(true, s)
	case operation.outcome == Acknowledged:
		return onlyIf(s.canFollow(operation.order), s.with(operation.order))
	case operation.outcome == Refused:
		return onlyIf(!known && !s.canFollow(operation.order), s)
	case !known && s.canFollow(operation.order):
		return []any{s, s.with(operation.order)}
	}
	return onlyIf(true, s)
}

func onlyIf(ok bool, result state) []any {
	if !ok {
		return nil
	}
	return []any{result}
}
