package keylock

import "sync/atomic"

// Held is a turn that several may need: it is given back once all of them have done so.
type Held struct {
	n    atomic.Int32
	back func()
}

// Hold makes a turn that was taken one that several may need; whoever made it gives it back with Back.
func Hold(back func()) *Held {
	h := &Held{back: back}
	h.n.Store(1)
	return h
}

// More keeps the turn for one more; the function gives that one's part back.
func (h *Held) More() func() {
	h.n.Add(1)
	return h.Back
}

// Back gives one part back.
func (h *Held) Back() {
	if h.n.Add(-1) == 0 {
		h.back()
	}
}
