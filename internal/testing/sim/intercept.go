package sim

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/clock"
)

// Stages of a call between machines at which it can be delayed.
const (
	RequestStage  = "asking"
	ResponseStage = "answering"
)

// CallPoint is a point in a call's progress: its caller, its target, its path, and whether the
// request or the response is in flight.
type CallPoint struct {
	From, To, Path, Stage string
	Body                  []byte
}

type pausedCalls struct {
	match    func(CallPoint) bool
	released chan struct{}
	// mu guards hits.
	mu   sync.Mutex
	hits int
}

// PauseCalls pauses calls at each point that matches, until they are released or their deadline
// passes. The first function that it returns releases them. The second returns how often a call was
// paused.
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
			for i, candidate := range w.pauses {
				if candidate == paused {
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

// CallFault is a fault of a call between machines: the request or the response is lost, the request
// arrives a second time after a delay, or either takes longer.
type CallFault struct {
	Lose      bool
	Duplicate time.Duration
	Delay     time.Duration
}

// InterceptCalls lets a function decide the fault of each call at each of its stages, until the
// function that it returns is called.
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

// applyCallFault delays a call by its fault. A call that is lost waits until its deadline.
// applyCallFault returns the delay of the call's duplicate, or 0 if there is none.
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
