// Package quorum asks many at once and stops when enough have answered.
package quorum

import (
	"context"

	"postjunction/internal/apierror"
)

// Result is what one of those asked said.
type Result[W, A any] struct {
	Target W
	Value  A
	Err    error
}

// Gather calls f on all of ws at once and gives the answers so far when enough says so, or all of them.
// When ctx ends, those that have not answered count as errors, so that there is one answer for each asked.
func Gather[W, A any](ctx context.Context, ws []W, f func(context.Context, W) (A, error), enough func([]Result[W, A]) bool) []Result[W, A] {
	c := make(chan Result[W, A], len(ws))
	for _, w := range ws {
		go func() {
			a, err := f(ctx, w)
			c <- Result[W, A]{w, a, err}
		}()
	}
	var as []Result[W, A]
	for range ws {
		select {
		case a := <-c:
			as = append(as, a)
		case <-ctx.Done():
			for range len(ws) - len(as) {
				as = append(as, Result[W, A]{Err: apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer in time")})
			}
			return as
		}
		if enough != nil && enough(as) {
			return as
		}
	}
	return as
}

// Successes gives the answers without an error.
func Successes[W, A any](as []Result[W, A]) []Result[W, A] {
	var g []Result[W, A]
	for _, a := range as {
		if a.Err == nil {
			g = append(g, a)
		}
	}
	return g
}

// FirstError gives the first error.
func FirstError[W, A any](as []Result[W, A]) error {
	for _, a := range as {
		if a.Err != nil {
			return a.Err
		}
	}
	return nil
}
