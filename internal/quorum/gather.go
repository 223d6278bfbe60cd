// Package quorum calls many nodes at once and stops when enough have answered. Each call runs in a
// goroutine of its own, which ends with the call; Gather blocks until it has enough results, all of
// them, or ctx ends.
package quorum

import (
	"context"

	"postjunction/internal/apierror"
)

// Result is what the call to one target returned.
type Result[W, A any] struct {
	Target W
	Value  A
	Err    error
}

// Gather calls all targets at once and returns the results so far when isEnough, which may be nil,
// says so, or all of them. When ctx ends, calls without a result count as Unreachable, so that
// there is one result for each target.
func Gather[W, A any](
	ctx context.Context, targets []W, call func(context.Context, W) (A, error), isEnough func([]Result[W, A]) bool,
) []Result[W, A] {
	returned := make(chan Result[W, A], len(targets))
	for _, target := range targets {
		go func() {
			value, err := call(ctx, target)
			returned <- Result[W, A]{target, value, err}
		}()
	}
	var results []Result[W, A]
	for range targets {
		select {
		case result := <-returned:
			results = append(results, result)
		case <-ctx.Done():
			for range len(targets) - len(results) {
				err := apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer in time")
				results = append(results, Result[W, A]{Err: err})
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
func Successes[W, A any](results []Result[W, A]) []Result[W, A] {
	var successes []Result[W, A]
	for _, result := range results {
		if result.Err == nil {
			successes = append(successes, result)
		}
	}
	return successes
}

// FirstError returns the first error among the results, nil if there is none.
func FirstError[W, A any](results []Result[W, A]) error {
	for _, result := range results {
		if result.Err != nil {
			return result.Err
		}
	}
	return nil
}
