// Package keylock hands out turns: one worker at a time per shard, waiting in a channel and not on a lock.
package keylock

import (
	"context"
	"hash/fnv"

	"postjunction/internal/apierror"
)

// Locks is a row of shards.
type Locks struct{ s []chan struct{} }

// New makes n shards.
func New(n int) *Locks {
	t := &Locks{s: make([]chan struct{}, n)}
	for i := range t.s {
		t.s[i] = make(chan struct{}, 1)
	}
	return t
}

// LockNumber waits for the turn of a number; numbers that differ by less than the count of shards never share one.
func (t *Locks) LockNumber(ctx context.Context, n int) (func(), error) {
	i := n % len(t.s)
	if err := t.take(ctx, i); err != nil {
		return nil, err
	}
	return func() { <-t.s[i] }, nil
}

func (t *Locks) at(k string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k))
	return int(h.Sum32() % uint32(len(t.s)))
}

func (t *Locks) take(ctx context.Context, i int) error {
	select {
	case t.s[i] <- struct{}{}:
		return nil
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "waiting for a turn")
	}
}

// Lock waits for the turn of a key; the function gives it back.
func (t *Locks) Lock(ctx context.Context, k string) (func(), error) {
	i := t.at(k)
	if err := t.take(ctx, i); err != nil {
		return nil, err
	}
	return func() { <-t.s[i] }, nil
}

// LockAll waits for every shard.
func (t *Locks) LockAll(ctx context.Context) (func(), error) {
	n := 0
	back := func() {
		for i := range n {
			<-t.s[i]
		}
	}
	for i := range t.s {
		if err := t.take(ctx, i); err != nil {
			back()
			return nil, err
		}
		n++
	}
	return back, nil
}
