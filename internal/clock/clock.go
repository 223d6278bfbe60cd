// Package clock is the interface through which nodes read and wait for time, so that a simulated
// machine can be frozen.
package clock

import (
	"context"
	"time"
)

// Clock reads and waits for time. Sleep returns the error of ctx if that ends first.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Real is the machine's own clock; Now carries a monotonic reading.
type Real struct{}

// Now returns the time.
func (Real) Now() time.Time { return time.Now() }

// Sleep waits for d or the end of ctx.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jitter lengthens d by up to a fraction of itself, with random drawn from [0,1).
func Jitter(d time.Duration, fraction, random float64) time.Duration {
	return d + time.Duration(float64(d)*fraction*random)
}

// Wait waits for d, the end of ctx, or until one of two channels, which may be nil, is closed.
func Wait(ctx context.Context, c Clock, d time.Duration, first, second <-chan struct{}) {
	if _, ok := c.(Real); ok {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-first:
		case <-second:
		case <-timer.C:
		case <-ctx.Done():
		}
		return
	}
	sleepCtx, stop := context.WithCancel(ctx)
	defer stop()
	elapsed := make(chan struct{})
	go func() {
		_ = c.Sleep(sleepCtx, d)
		close(elapsed)
	}()
	select {
	case <-first:
	case <-second:
	case <-elapsed:
	}
}
