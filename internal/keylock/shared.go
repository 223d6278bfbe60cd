package keylock

import "sync/atomic"

// Shared is a turn that several may need: it is given back once all of them have done so.
type Shared struct {
	n    atomic.Int32
	back func()
}

// Share makes a turn that was taken one that several may need; whoever made it gives it back with Back.
func Share(back func()) *Shared {
	h := &Shared{back: back}
	h.n.Store(1)
	return h
}

// Retain keeps the turn for one more; the function gives that one's part back.
func (h *Shared) Retain() func() {
	h.n.Add(1)
	return h.Release
}

// Release gives one part back.
func (h *Shared) Release() {
	if h.n.Add(-1) == 0 {
		h.back()
	}
}
