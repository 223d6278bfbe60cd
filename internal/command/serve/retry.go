package serve

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/settings"
)

// retrier retries the steps of a start that fail for what may pass by itself: a port or directory
// that the previous process still holds, for the recovery time, and a disk that takes no writes,
// for as long as it lasts.
type retrier struct {
	clock  clock.Clock
	timing settings.Timing
	log    *event.Logger
	// stop ends retries.
	stop <-chan struct{}
}

// retriedForever are the codes that a start is retried for without a limit.
var retriedForever = map[apierror.Code]bool{apierror.DiskFull: true, apierror.DiskFailed: true}

// retry calls step until it succeeds, fails for good, or stop is closed. It logs each new error
// once.
func retry[T any](r *retrier, step func() (T, error)) (T, error) {
	begun := r.clock.Now()
	logged := ""
	for {
		result, err := step()
		if err == nil {
			return result, nil
		}
		if !r.isRetryable(err, begun) {
			return result, err
		}
		if text := err.Error(); text != logged {
			logged = text
			r.log.Log(event.StartDelayed, "problem", err)
		}
		clock.Wait(context.Background(), r.clock, r.timing.MaxBackoff(), r.stop, nil)
		select {
		case <-r.stop:
			return result, err
		default:
		}
	}
}

// isRetryable reports whether a step that was begun at a time and failed now is worth another call.
func (r *retrier) isRetryable(err error, begun time.Time) bool {
	code := apierror.From(err).Code
	if retriedForever[code] {
		return true
	}
	return code == apierror.ResourceInUse && r.clock.Now().Sub(begun) <= r.timing.Recovery
}
