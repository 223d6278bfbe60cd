// Package quorum calls many nodes at once and stops when enough have answered.
//
// Each call runs in a goroutine of its own, which ends with the call. Gather blocks until it has
// enough results, until it has all of them, or until ctx ends.
package quorum

import (
	"context"

	"postjunction/internal/apierror"
)

// Result is what the call to one target returned.
type Result[T, V any] struct {
	Target T
	Value  V
	Err    error
}

// Gather calls all targets at once. It returns the results so far as soon as isEnough reports true
// for them, and else all results. isEnough may be nil. If ctx ends, calls without a result count as
// Unreachable, so that there is one result for each target.
func Gather[T, V any](
	ctx context.Context, targets []T, call func(context.Context, T) (V, error), isEnough func([]Result[T, V]) bool,
) []Result[T, V] {
	returned := make(chan Result[T, V], len(targets))
	for _, target := range targets {
		go func() {
			value, err := call(ctx, target)
			returned <- Result[T, V]{target, value, err}
		}()
	}
	var results []Result[T, V]
	for range targets {
		select {
		case result := <-returned:
			results = append(results, result)
		case <-ctx.Done():
			for range len(targets) - len(results) {
				err := apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer in time")
				results = append(results, Result[T, V]{Err: err})
			}
			return results
		}
		if isEnough != nil && isEnough(results) {
			return results
		}
	}
	return results
}

// Successes returns the results without an error.
func Successes[T, V any](results []Result[T, V]) []Result[T, V] {
	var successes []Result[T, V]
	for _, result := range results {
		if result.Err == nil {
			successes = append(successes, result)
		}
	}
	return successes
}

// FirstError returns the first error among the results, or nil if there is none.
func FirstError[T, V any](results []Result[T, V]) error {
	for _, result := range results {
		if result.Err != nil {
			return result.Err
		}
	}
	return nil
}
