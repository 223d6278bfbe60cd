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

// Meddle is what may happen to a call between machines: it or its answer is lost, it comes a second time, late, or it takes longer.
type Meddle struct {
	Lose  bool
	Again time.Duration
	Late  time.Duration
}

// Meddle has a function decide what happens to each call at each of its stages, until the function that it gives is called.
func (w *World) Meddle(f func(Point) Meddle) (stop func()) {
	w.note("meddle")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.meddle = f
	return func() {
		w.note("meddle no more")
		w.mu.Lock()
		defer w.mu.Unlock()
		w.meddle = nil
	}
}

// meddled holds a call up as it is meddled with, for good when it is lost; it gives how late it comes again, 0 for not at all.
func (w *World) meddled(ctx context.Context, p Point) time.Duration {
	w.mu.Lock()
	f := w.meddle
	w.mu.Unlock()
	if f == nil {
		return 0
	}
	x := f(p)
	if x.Late > 0 {
		_ = clock.Real{}.Sleep(ctx, x.Late)
	}
	if x.Lose {
		<-ctx.Done()
	}
	return x.Again
}
