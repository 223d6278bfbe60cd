package keylock

import "sync/atomic"

// Shared is a reference-counted lock. It is released once every reference has been released.
type Shared struct {
	references atomic.Int32
	release    func()
}

// Share returns a Shared with one reference, for a locked lock that release unlocks.
func Share(release func()) *Shared {
	s := &Shared{release: release}
	s.references.Store(1)
	return s
}

// Retain adds a reference and returns the function that releases it.
func (s *Shared) Retain() func() {
	s.references.Add(1)
	return s.Release
}

// Release releases one reference.
func (s *Shared) Release() {
	if s.references.Add(-1) == 0 {
		s.release()
	}
}
