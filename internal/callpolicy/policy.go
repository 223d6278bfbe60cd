// Package callpolicy is the way of a task through a process: policies as plug-ins behind one interface.
package callpolicy

import "context"

// Next is the rest of the way.
type Next[T any] func(ctx context.Context, t T) error

// Policy lets a task pass, changes it, or turns it away.
type Policy[T any] interface {
	Apply(ctx context.Context, t T, next Next[T]) error
}

// Func is a policy made of a function.
type Func[T any] func(ctx context.Context, t T, next Next[T]) error

// Apply runs the function.
func (f Func[T]) Apply(ctx context.Context, t T, next Next[T]) error { return f(ctx, t, next) }

// Chain joins policies before an end.
func Chain[T any](end Next[T], ps ...Policy[T]) Next[T] {
	n := end
	for i := len(ps) - 1; i >= 0; i-- {
		p, rest := ps[i], n
		n = func(ctx context.Context, t T) error { return p.Apply(ctx, t, rest) }
	}
	return n
}
