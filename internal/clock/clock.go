// Package clock is the small interface behind which time stands, so that a simulated machine can be frozen.
package clock

import (
	"context"
	"time"
)

// Clock tells and waits for time.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Real is the machine's own clock; Now carries a monotonic reading.
type Real struct{}

// Now tells the time.
func (Real) Now() time.Time { return time.Now() }

// Sleep waits for d or the end of ctx.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jitter spreads d by up to a share of itself, with x from [0,1).
func Jitter(d time.Duration, share, x float64) time.Duration {
	return d + time.Duration(float64(d)*share*x)
}

// Wait waits for d, the end of ctx, or until news or other news, which may be nil, comes.
func Wait(ctx context.Context, c Clock, d time.Duration, news, other <-chan struct{}) {
	if _, ok := c.(Real); ok {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-news:
		case <-other:
		case <-t.C:
		case <-ctx.Done():
		}
		return
	}
	cx, stop := context.WithCancel(ctx)
	defer stop()
	due := make(chan struct{})
	go func() {
		_ = c.Sleep(cx, d)
		close(due)
	}()
	select {
	case <-news:
	case <-other:
	case <-due:
	}
}
