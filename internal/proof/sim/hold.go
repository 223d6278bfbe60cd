package sim

import (
	"context"
	"sync"
)

// Stages of a call between machines at which it can be held up.
const (
	Asking    = "asking"
	Answering = "answering"
)

// Point is a place in a call's way: who calls whom, which call, and whether it is on its way there or back.
type Point struct {
	From, To, Path, Stage string
	Body                  []byte
}

type hold struct {
	match func(Point) bool
	open  chan struct{}
	mu    sync.Mutex
	hits  int
}

// Hold keeps calls that match where they are until released, or until their time is up.
// The first function releases them; the second tells how many were held.
func (w *World) Hold(match func(Point) bool) (release func(), hits func() int) {
	h := &hold{match: match, open: make(chan struct{})}
	w.mu.Lock()
	w.holds = append(w.holds, h)
	w.mu.Unlock()
	w.note("hold")
	var once sync.Once
	release = func() {
		once.Do(func() {
			w.mu.Lock()
			for i, x := range w.holds {
				if x == h {
					w.holds = append(append([]*hold(nil), w.holds[:i]...), w.holds[i+1:]...)
					break
				}
			}
			w.mu.Unlock()
			close(h.open)
			w.note("release")
		})
	}
	return release, func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.hits
	}
}

func (w *World) held(ctx context.Context, p Point) {
	w.mu.Lock()
	hs := w.holds
	w.mu.Unlock()
	for _, h := range hs {
		if !h.match(p) {
			continue
		}
		h.mu.Lock()
		h.hits++
		h.mu.Unlock()
		select {
		case <-h.open:
		case <-ctx.Done():
		}
	}
}
