// Package orders records what operators were answered about their configurations and judges it by
// linearizability.
//
// An operator sends an order (a whole configuration on a base version) again until it has a clear
// answer. The judged object is one register that takes an order if and only if its base is the
// current version, acknowledges again whatever it took before, refuses the rest, and is read back
// whole. For tests only.
package orders

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Order is one order: ID tells it apart from all others, also from those with the same numbers.
type Order struct {
	Base     uint64
	Sequence uint64
	ID       string
}

// Outcome is what an operator knows after one try.
type Outcome int

// Outcomes of a try: acknowledged, refused because another version is current, or no clear answer.
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
	mu    sync.Mutex
	began time.Time
	ops   []operation
}

// New begins a history.
func New(now time.Time) *History { return &History{began: now} }

// Tried notes a try of an order and its outcome.
func (h *History) Tried(o Order, outcome Outcome, call, end time.Time) {
	h.note(operation{order: o, outcome: outcome, call: call, end: end})
}

// Read notes that the configuration was read back; the order is the one that was shown.
func (h *History) Read(o Order, call, end time.Time) {
	h.note(operation{read: true, order: o, outcome: Acknowledged, call: call, end: end})
}

func (h *History) note(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// Count gives how many tries had each outcome.
func (h *History) Count() map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := map[Outcome]int{}
	for _, o := range h.ops {
		if !o.read {
			n[o.outcome]++
		}
	}
	return n
}

// Linearizable tells whether some order of the operations, each at one moment between its call and
// its end, explains all answers.
func (h *History) Linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	for i, o := range merged(h.ops) {
		end := int64(math.MaxInt64)
		if !o.end.IsZero() {
			end = o.end.Sub(h.began).Nanoseconds()
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o, Output: o.outcome,
			Call: o.call.Sub(h.began).Nanoseconds(), Return: end})
	}
	model := model()
	return porcupine.CheckOperations(model.ToModel(), ops)
}

// merged makes one operation of the unclear tries of an order, which may take effect at any time
// after the first of them. Where the order was acknowledged later, the first acknowledgement covers
// them, as taking an order twice is taking it once.
func merged(ops []operation) []operation {
	var out []operation
	first := map[Order]time.Time{}
	for _, o := range ops {
		if at, ok := first[o.order]; !o.read && o.outcome == Unclear && (!ok || o.call.Before(at)) {
			first[o.order] = o.call
		}
	}
	sorted := slices.Clone(ops)
	slices.SortStableFunc(sorted, func(a, b operation) int { return a.end.Compare(b.end) })
	for _, o := range sorted {
		if !o.read && o.outcome == Unclear {
			continue
		}
		if at, ok := first[o.order]; !o.read && ok && o.outcome == Acknowledged {
			if at.Before(o.call) {
				o.call = at
			}
			delete(first, o.order)
		}
		out = append(out, o)
	}
	for o, at := range first {
		out = append(out, operation{order: o, outcome: Unclear, call: at})
	}
	return out
}

// state is the register: the current order and all that were taken, in the order in which they
// were.
type state struct{ taken []Order }

func (s state) current() Order {
	if len(s.taken) == 0 {
		return Order{}
	}
	return s.taken[len(s.taken)-1]
}

func (s state) fits(o Order) bool {
	return s.current().Sequence == o.Base && o.Sequence > o.Base
}

func (s state) with(o Order) state { return state{append(slices.Clone(s.taken), o)} }

func model() porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init:  func() []any { return []any{state{}} },
		Step:  func(st, input, _ any) []any { return step(st.(state), input.(operation)) },
		Equal: func(a, b any) bool { return slices.Equal(a.(state).taken, b.(state).taken) },
	}
}

func step(s state, o operation) []any {
	known := slices.Contains(s.taken, o.order)
	switch {
	case o.read:
		return only(s.current() == o.order, s)
	case o.outcome == Acknowledged && known:
		return only(true, s)
	case o.outcome == Acknowledged:
		return only(s.fits(o.order), s.with(o.order))
	case o.outcome == Refused:
		return only(!known && !s.fits(o.order), s)
	case !known && s.fits(o.order):
		return []any{s, s.with(o.order)}
	}
	return only(true, s)
}

func only(ok bool, s state) []any {
	if !ok {
		return nil
	}
	return []any{s}
}
