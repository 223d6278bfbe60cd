package keylock

import "sync/atomic"

// Shared is a lock that several holders need: it is released once all of them have released it.
type Shared struct {
	references atomic.Int32
	release    func()
}

// Share makes a taken lock, which release releases, a shared one with the caller as its holder.
func Share(release func()) *Shared {
	s := &Shared{release: release}
	s.references.Store(1)
	return s
}

// Retain adds a holder and returns the function that releases for it.
func (s *Shared) Retain() func() {
	s.references.Add(1)
	return s.Release
}

// Release releases for one holder.
func (s *Shared) Release() {
	if s.references.Add(-1) == 0 {
		s.release()
	}
}
