// Package admission limits how many calls and streams a node serves at a time, by lane. Lanes have
// separate limits, so that urgent calls never wait behind routine ones. A call that exceeds its
// limit is rejected at once, never queued.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/failsafe-go/failsafe-go/bulkhead"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
)

// Lane is a class of calls with a limit of its own.
type Lane string

// The lanes.
const (
	Urgent  Lane = "urgent"
	Routine Lane = "routine"
	Attach  Lane = "attach"
	Stream  Lane = "stream"

	// UrgentStream is for streams with an urgent topic.
	UrgentStream Lane = "urgent_stream"
)

// Limiter counts the calls in each lane. It is safe for concurrent use and never blocks.
type Limiter struct {
	// mu guards the fields below.
	mu        sync.Mutex
	limit     int
	bulkheads map[Lane]bulkhead.Bulkhead[any]
	admitted  map[Lane]uint64
	shed      map[Lane]uint64
}

// A lane of streams has streamsPerCall times the limit of a lane of calls, since an idle stream
// costs little.
const streamsPerCall = 8

// New returns a limiter that admits up to limit calls in each lane.
func New(limit int) *Limiter {
	l := &Limiter{admitted: map[Lane]uint64{}, shed: map[Lane]uint64{}}
	l.Resize(limit)
	return l
}

// Resize changes the limit. Calls in flight are not counted against the new one.
func (l *Limiter) Resize(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == l.limit {
		return
	}
	l.limit = limit
	l.bulkheads = map[Lane]bulkhead.Bulkhead[any]{
		Urgent:  bulkhead.New[any](uint(limit)),
		Routine: bulkhead.New[any](uint(limit)),
		Attach:  bulkhead.New[any](uint(limit)),
		Stream:  bulkhead.New[any](uint(limit * streamsPerCall)),

		UrgentStream: bulkhead.New[any](uint(limit * streamsPerCall)),
	}
}

// Acquire admits a call to a lane; the returned function is called at its end. Its error has the
// code Overloaded and a jittered time after which to retry.
func (l *Limiter) Acquire(lane Lane) (func(), error) {
	l.mu.Lock()
	permits := l.bulkheads[lane]
	ok := permits.TryAcquirePermit()
	if ok {
		l.admitted[lane]++
	} else {
		l.shed[lane]++
	}
	l.mu.Unlock()
	if !ok {
		overloaded := apierror.New(apierror.Overloaded, "the %s lane of this node is full", lane)
		retryAfter := clock.Jitter(overloaded.RetryAfter, 2, rand.Float64())
		return nil, overloaded.WithRetryAfter(retryAfter.Round(time.Millisecond))
	}
	return permits.ReleasePermit, nil
}

// Counts returns how many calls were admitted and shed since the start, by lane.
func (l *Limiter) Counts() (admitted, shed map[Lane]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted, shed = map[Lane]uint64{}, map[Lane]uint64{}
	for lane := range l.bulkheads {
		admitted[lane], shed[lane] = l.admitted[lane], l.shed[lane]
	}
	return admitted, shed
}
