// Package keylock serializes work by key. It has a fixed number of striped locks that can be waited
// for with a context (Locks), a reference-counted lock (Shared), and a sharded map with a lock per
// shard (Map). Keys may share a lock. The package starts no goroutines. The caller that acquires a
// lock owns it until it calls the function that releases it.
package keylock

import (
	"context"
	"hash/fnv"

	"postjunction/internal/apierror"
)

// Locks is an array of locks. Each is a channel with capacity 1 that is full while the lock is
// locked.
type Locks struct{ locks []chan struct{} }

// New returns count locks.
func New(count int) *Locks {
	l := &Locks{locks: make([]chan struct{}, count)}
	for i := range l.locks {
		l.locks[i] = make(chan struct{}, 1)
	}
	return l
}

// LockNumber acquires the lock of a number and returns the function that releases it. Numbers that
// differ by less than the count of locks never share one. It returns Unreachable if ctx ends
// first.
func (l *Locks) LockNumber(ctx context.Context, number int) (func(), error) {
	return l.lock(ctx, number%len(l.locks))
}

// Lock acquires the lock of a key and returns the function that releases it. It returns Unreachable
// if ctx ends first.
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
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "waiting for a lock")
	}
}

// LockAll acquires every lock and returns the function that releases them. It returns Unreachable
// if ctx ends first.
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
