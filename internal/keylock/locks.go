// Package keylock serializes work by key: a fixed number of locks that are waited for with a
// context, a lock with several holders, and a map with a lock for each shard. Keys may share a
// lock. It starts no goroutines; who takes a lock owns it until it calls the function that releases
// it.
package keylock

import (
	"context"
	"hash/fnv"

	"postjunction/internal/apierror"
)

// Locks is a row of locks; each is a channel with room for its holder.
type Locks struct{ locks []chan struct{} }

// New makes n locks.
func New(count int) *Locks {
	l := &Locks{locks: make([]chan struct{}, count)}
	for i := range l.locks {
		l.locks[i] = make(chan struct{}, 1)
	}
	return l
}

// LockNumber takes the lock of a number and returns the function that releases it; numbers that
// differ by less than the count of locks never share one. It returns Unreachable when ctx ends
// before.
func (l *Locks) LockNumber(ctx context.Context, number int) (func(), error) {
	return l.lock(ctx, number%len(l.locks))
}

// Lock takes the lock of a key and returns the function that releases it; Unreachable when ctx ends
// before.
func (l *Locks) Lock(ctx context.Context, key string) (func(), error) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // never fails
	return l.lock(ctx, int(hash.Sum32()%uint32(len(l.locks))))
}

func (l *Locks) lock(ctx context.Context, i int) (func(), error) {
	if err := l.acquire(ctx, i); err != nil {
		return nil, err
	}
	return func() { <-l.locks[i] }, nil
}

func (l *Locks) acquire(ctx context.Context, i int) error {
	select {
	case l.locks[i] <- struct{}{}:
		return nil
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "waiting for a turn")
	}
}

// LockAll takes every lock and returns the function that releases them; Unreachable when ctx ends
// before.
func (l *Locks) LockAll(ctx context.Context) (func(), error) {
	acquired := 0
	release := func() {
		for i := range acquired {
			<-l.locks[i]
		}
	}
	for i := range l.locks {
		if err := l.acquire(ctx, i); err != nil {
			release()
			return nil, err
		}
		acquired++
	}
	return release, nil
}
