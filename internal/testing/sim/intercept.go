package sim

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/clock"
)

// Stages of a call between machines at which it can be held up.
const (
	Asking    = "asking"
	Answering = "answering"
)

// Point is a place in a call's way: who calls whom, which call, and whether it is on its way there
// or back.
type Point struct {
	From, To, Path, Stage string
	Body                  []byte
}

type pausedCalls struct {
	match func(Point) bool
	open  chan struct{}
	mu    sync.Mutex
	hits  int
}

// PauseCalls keeps calls that match where they are until released, or until their time is up.
// The first function releases them; the second tells how many were held.
func (w *World) PauseCalls(match func(Point) bool) (release func(), hits func() int) {
	h := &pausedCalls{match: match, open: make(chan struct{})}
	w.mu.Lock()
	w.pauses = append(w.pauses, h)
	w.mu.Unlock()
	w.note("hold")
	var once sync.Once
	release = func() {
		once.Do(func() {
			w.mu.Lock()
			for i, x := range w.pauses {
				if x == h {
					w.pauses = append(append([]*pausedCalls(nil), w.pauses[:i]...), w.pauses[i+1:]...)
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

func (w *World) waitWhilePaused(ctx context.Context, p Point) {
	w.mu.Lock()
	hs := w.pauses
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

// CallFault is what may happen to a call between machines: it or its answer is lost, it comes a
// second time, late, or it takes longer.
type CallFault struct {
	Lose      bool
	Duplicate time.Duration
	Delay     time.Duration
}

// InterceptCalls has a function decide what happens to each call at each of its stages, until the
// function that it gives is called.
func (w *World) InterceptCalls(f func(Point) CallFault) (stop func()) {
	w.note("call faults")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intercept = f
	return func() {
		w.note("end of call faults")
		w.mu.Lock()
		defer w.mu.Unlock()
		w.intercept = nil
	}
}

// applyCallFault delays a call by its fault, for good when it is lost; it returns how late
// it comes again, 0 for not at all.
func (w *World) applyCallFault(ctx context.Context, p Point) time.Duration {
	w.mu.Lock()
	f := w.intercept
	w.mu.Unlock()
	if f == nil {
		return 0
	}
	x := f(p)
	if x.Delay > 0 {
		_ = clock.Real{}.Sleep(ctx, x.Delay)
	}
	if x.Lose {
		<-ctx.Done()
	}
	return x.Duplicate
}
