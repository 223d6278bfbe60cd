package history

import (
	"cmp"
	"fmt"
	"slices"
)

type tries struct{ all, rejected int }

// Try notes that a message is about to be tried once more.
func (h *History) Try(m Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tries[m]
	t.all++
	h.tries[m] = t
}

// Reject notes that a try was answered with a promise: not taken by it, and never will be.
func (h *History) Reject(m Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tries[m]
	t.rejected++
	h.tries[m] = t
}

// Pass notes that a number was told to be passed over for good, under whatever body and through
// whatever node.
func (h *History) Pass(m Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.passed[m] = true
}

type place struct {
	partition int
	offset    uint64
}

type sender struct{ topic, from string }

type placed struct {
	place
	call uint64
}

// places is where messages were shown to stand, by answers to senders, receipts and readings back.
type places struct {
	h    *History
	at   map[place]Message
	of   map[Message]place
	line map[sender][]placed
}

func newPlaces(h *History) *places {
	return &places{h: h, at: map[place]Message{}, of: map[Message]place{}, line: map[sender][]placed{}}
}

func (x *places) note(m Message, p int, o uint64, how string) {
	k := place{p, o}
	if y, ok := x.at[k]; ok && y != m {
		x.h.violate(Fenced, "%d/%d holds %v for one and %v for another (%s)", p, o, y, m, how)
	}
	x.at[k] = m
	if y, ok := x.of[m]; ok && y != k {
		x.h.violate(Twice, "%v stands at %d/%d and at %d/%d (%s)", m, y.partition, y.offset, p, o, how)
		return
	}
	if _, ok := x.of[m]; !ok {
		x.of[m] = k
		s := sender{m.Topic, m.From}
		x.line[s] = append(x.line[s], placed{k, m.Call})
	}
}

// seen notes all that was received or read back.
func (x *places) seen() {
	for v, s := range x.h.subs {
		for _, g := range s.got {
			x.note(g.Message, g.Partition, g.Offset, "given to "+v)
		}
	}
	for _, r := range x.h.readBacks {
		for _, g := range r.Got {
			x.note(g.Message, g.Partition, g.Offset, "read back through "+r.Through)
		}
	}
	for _, l := range x.line {
		slices.SortFunc(l, func(a, b placed) int {
			return cmp.Or(cmp.Compare(a.partition, b.partition), cmp.Compare(a.offset, b.offset))
		})
	}
}

// between gives the calls of a sender that stand in the ledger between two others.
func (x *places) between(topic, from string, low, high uint64) []uint64 {
	var cs []uint64
	for _, p := range x.line[sender{topic, from}] {
		if p.call > low && p.call < high {
			cs = append(cs, p.call)
		}
	}
	return cs
}

func (h *History) judgePlaces(x *places) {
	for s, l := range x.line {
		for i := 1; i < len(l); i++ {
			if l[i].call <= l[i-1].call {
				h.violate(Order, "the ledger holds call %d of %s on %s at %s, after call %d at %s", l[i].call, s.from,
					s.topic, l[i].place, l[i-1].call, l[i-1].place)
			}
		}
	}
	for m, p := range x.of {
		if h.passed[m] {
			h.violate(Foreign, "%v stands at %s, though it was passed over for good", m, p)
		}
		if t := h.tries[m]; t.all > 0 && t.all == t.rejected {
			h.violate(Foreign, "%v stands at %s, though each of its %d tries was turned away", m, p, t.all)
		}
	}
}

func (p place) String() string { return fmt.Sprintf("%d/%d", p.partition, p.offset) }
