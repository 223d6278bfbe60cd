// Package admission bounds what waits in a node, by lane; the urgent lane is never behind the routine one.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/failsafe-go/failsafe-go/bulkhead"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
)

// Lane names a backlog.
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

// Limiter holds a bounded backlog per lane.
type Limiter struct {
	mu    sync.Mutex
	limit int
	m     map[Lane]bulkhead.Bulkhead[any]
	taken map[Lane]uint64
	shed  map[Lane]uint64
}

const streamsPerPlace = 8

// New makes gates of a size.
func New(limit int) *Limiter {
	g := &Limiter{taken: map[Lane]uint64{}, shed: map[Lane]uint64{}}
	g.Resize(limit)
	return g
}

// Resize changes the size; what is under way is not counted against the new one.
func (g *Limiter) Resize(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit == g.limit {
		return
	}
	g.limit = limit
	g.m = map[Lane]bulkhead.Bulkhead[any]{
		Urgent:  bulkhead.New[any](uint(limit)),
		Routine: bulkhead.New[any](uint(limit)),
		Attach:  bulkhead.New[any](uint(limit)),
		Stream:  bulkhead.New[any](uint(limit * streamsPerPlace)),

		UrgentStream: bulkhead.New[any](uint(limit * streamsPerPlace)),
	}
}

// Acquire takes a place in a lane, or turns away with a jittered hint when to come back.
func (g *Limiter) Acquire(l Lane) (func(), error) {
	g.mu.Lock()
	b := g.m[l]
	ok := b.TryAcquirePermit()
	if ok {
		g.taken[l]++
	} else {
		g.shed[l]++
	}
	g.mu.Unlock()
	if !ok {
		p := apierror.New(apierror.Overloaded, "the %s lane of this node is full", l)
		return nil, p.WithRetryAfter(clock.Jitter(p.RetryAfter, 2, rand.Float64()).Round(time.Millisecond))
	}
	return b.ReleasePermit, nil
}

// Counts gives what was taken in and shed by lane.
func (g *Limiter) Counts() (taken, shed map[Lane]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken, shed = map[Lane]uint64{}, map[Lane]uint64{}
	for l := range g.m {
		taken[l], shed[l] = g.taken[l], g.shed[l]
	}
	return taken, shed
}
