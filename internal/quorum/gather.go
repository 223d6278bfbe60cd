// Package quorum asks many at once and stops when enough have answered.
package quorum

import (
	"context"

	"postjunction/internal/apierror"
)

// Answer is what one of those asked said.
type Answer[W, A any] struct {
	Who W
	A   A
	Err error
}

// Ask calls f on all of ws at once and gives the answers so far when enough says so, or all of them.
// When ctx ends, those that have not answered count as errors, so that there is one answer for each asked.
func Ask[W, A any](ctx context.Context, ws []W, f func(context.Context, W) (A, error), enough func([]Answer[W, A]) bool) []Answer[W, A] {
	c := make(chan Answer[W, A], len(ws))
	for _, w := range ws {
		go func() {
			a, err := f(ctx, w)
			c <- Answer[W, A]{w, a, err}
		}()
	}
	var as []Answer[W, A]
	for range ws {
		select {
		case a := <-c:
			as = append(as, a)
		case <-ctx.Done():
			for range len(ws) - len(as) {
				as = append(as, Answer[W, A]{Err: apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer in time")})
			}
			return as
		}
		if enough != nil && enough(as) {
			return as
		}
	}
	return as
}

// Good gives the answers without an error.
func Good[W, A any](as []Answer[W, A]) []Answer[W, A] {
	var g []Answer[W, A]
	for _, a := range as {
		if a.Err == nil {
			g = append(g, a)
		}
	}
	return g
}

// First gives the first error.
func First[W, A any](as []Answer[W, A]) error {
	for _, a := range as {
		if a.Err != nil {
			return a.Err
		}
	}
	return nil
}
