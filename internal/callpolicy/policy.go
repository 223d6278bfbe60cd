// Package callpolicy chains policies that a call passes before it is handled. A policy runs in the
// call's goroutine and owns its own state.
package callpolicy

import (
	"context"
	"slices"
)

// Next is the rest of the chain: the policies behind, and the handler.
type Next[T any] func(ctx context.Context, call T) error

// Policy passes a call on to next, changes it before, or rejects it with an error.
type Policy[T any] interface {
	Apply(ctx context.Context, call T, next Next[T]) error
}

// Func is a function as a policy.
type Func[T any] func(ctx context.Context, call T, next Next[T]) error

// Apply calls the function.
func (f Func[T]) Apply(ctx context.Context, call T, next Next[T]) error {
	return f(ctx, call, next)
}

// Chain puts policies, the first one outermost, before a handler.
func Chain[T any](handler Next[T], policies ...Policy[T]) Next[T] {
	chained := handler
	for _, policy := range slices.Backward(policies) {
		next := chained
		chained = func(ctx context.Context, call T) error { return policy.Apply(ctx, call, next) }
	}
	return chained
}
