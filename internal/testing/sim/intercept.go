package sim

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/clock"
)

// Stages of a call between machines at which it can be held up.
const (
	RequestStage  = "asking"
	ResponseStage = "answering"
)

// Point is a place in a call's way: who calls whom, which call, and whether it is on its way there
// or back.
type CallPoint struct {
	From, To, Path, Stage string
	Body                  []byte
}

type pausedCalls struct {
	match    func(CallPoint) bool
	released chan struct{}
	mu       sync.Mutex
	hits     int
}

// PauseCalls keeps calls that match where they are until released, or until their time is up.
// The first function releases them; the second tells how many were held.
func (w *World) PauseCalls(match func(CallPoint) bool) (release func(), hits func() int) {
	paused := &pausedCalls{match: match, released: make(chan struct{})}
	w.mu.Lock()
	w.pauses = append(w.pauses, paused)
	w.mu.Unlock()
	w.recordDisturbance("hold")
	var once sync.Once
	release = func() {
		once.Do(func() {
			w.mu.Lock()
			for i, x := range w.pauses {
				if x == paused {
					w.pauses = append(append([]*pausedCalls(nil), w.pauses[:i]...), w.pauses[i+1:]...)
					break
				}
			}
			w.mu.Unlock()
			close(paused.released)
			w.recordDisturbance("release")
		})
	}
	return release, func() int {
		paused.mu.Lock()
		defer paused.mu.Unlock()
		return paused.hits
	}
}

func (w *World) waitWhilePaused(ctx context.Context, point CallPoint) {
	w.mu.Lock()
	pauses := w.pauses
	w.mu.Unlock()
	for _, paused := range pauses {
		if !paused.match(point) {
			continue
		}
		paused.mu.Lock()
		paused.hits++
		paused.mu.Unlock()
		select {
		case <-paused.released:
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
func (w *World) InterceptCalls(decide func(CallPoint) CallFault) (stop func()) {
	w.recordDisturbance("call faults")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intercept = decide
	return func() {
		w.recordDisturbance("end of call faults")
		w.mu.Lock()
		defer w.mu.Unlock()
		w.intercept = nil
	}
}

// applyCallFault delays a call by its fault, for good when it is lost; it returns how late
// it comes again, 0 for not at all.
func (w *World) applyCallFault(ctx context.Context, point CallPoint) time.Duration {
	w.mu.Lock()
	intercept := w.intercept
	w.mu.Unlock()
	if intercept == nil {
		return 0
	}
	fault := intercept(point)
	if fault.Delay > 0 {
		_ = clock.Real{}.Sleep(ctx, fault.Delay)
	}
	if fault.Lose {
		<-ctx.Done()
	}
	return fault.Duplicate
}
