package serve

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/settings"
)

// retrier retries the steps of a start that fail for a reason that may pass by itself. A port or
// directory that the previous process still uses is retried for the recovery time, and a disk that
// accepts no writes without a limit.
type retrier struct {
	clock  clock.Clock
	timing settings.Timing
	log    *event.Logger
	// stop ends retries.
	stop <-chan struct{}
}

// retriedForever are the codes after which a start is retried without a limit.
var retriedForever = map[apierror.Code]bool{apierror.DiskFull: true, apierror.DiskFailed: true}

// retry calls step until it succeeds, fails permanently, or stop is closed. It logs an error only
// if it differs from the one before.
func retry[T any](r *retrier, step func() (T, error)) (T, error) {
	startedAt := r.clock.Now()
	logged := ""
	for {
		result, err := step()
		if err == nil {
			return result, nil
		}
		if !r.isRetryable(err, startedAt) {
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

// isRetryable reports whether a step that was first tried at startedAt, and has failed now, should
// be retried.
func (r *retrier) isRetryable(err error, startedAt time.Time) bool {
	code := apierror.From(err).Code
	if retriedForever[code] {
		return true
	}
	return code == apierror.ResourceInUse && r.clock.Now().Sub(startedAt) <= r.timing.Recovery
}
