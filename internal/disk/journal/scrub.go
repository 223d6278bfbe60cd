package journal

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/frame"
)

// scrubSlice is how many records a scrub reads in one go.
const scrubSlice = 64

// scrub is a check of the whole log, read in slices while there is nothing else to do.
type scrub struct {
	next, last       uint64
	records, damaged int
	cause            error
	done             chan error
}

// Scrub reads the whole log, a slice at a time while there are no puts. When a record is damaged it
// compacts the log from memory. It returns how many records it read, how many were damaged, and the
// last cause. When ctx ends first the error is apierror.DiskFailed.
func (j *Journal) Scrub(ctx context.Context) (records, damaged int, cause error) {
	request := &scrub{done: make(chan error, 1)}
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		return 0, 0, apierror.New(apierror.Stopped, "the journal was stopped")
	}
	j.scrubs = append(j.scrubs, request)
	j.mu.Unlock()
	j.signal()
	select {
	case err := <-request.done:
		return request.records, request.damaged, err
	case <-ctx.Done():
		return 0, 0, apierror.WithCause(apierror.DiskFailed, ctx.Err(), "the disk did not answer in time")
	}
}

// scrubStep reads one slice for the first scrub, and reports whether there was one. Damage starts a
// compaction, which writes all live records again from memory.
func (j *Journal) scrubStep() bool {
	j.mu.Lock()
	var current *scrub
	if len(j.scrubs) > 0 {
		current = j.scrubs[0]
	}
	j.mu.Unlock()
	if current == nil {
		return false
	}
	err := j.readSlice(current)
	if err == nil && current.next <= current.last {
		return true
	}
	j.mu.Lock()
	j.scrubs = j.scrubs[1:]
	j.mu.Unlock()
	if err != nil {
		current.cause = err
	} else if current.cause != nil {
		j.countLive()
		if done := make(chan error, 1); j.beginCompaction(done) {
			go func() {
				if err := <-done; err != nil {
					current.cause = err
				}
				current.done <- current.cause
			}()
			return true
		}
	}
	current.done <- current.cause
	return true
}

func (j *Journal) readSlice(current *scrub) error {
	first, last, err := j.log.Bounds()
	if err != nil {
		return err
	}
	if current.last == 0 {
		current.last = last
	}
	current.next = max(current.next, first)
	for end := min(current.next+scrubSlice, current.last+1); current.next < end; current.next++ {
		b, err := j.log.Read(current.next)
		if err == nil {
			_, err = frame.Decode(current.next, b)
		}
		if err != nil {
			current.damaged++
			current.cause = err
		}
		current.records++
	}
	return nil
}

func (j *Journal) failScrubs(err error) {
	j.mu.Lock()
	scrubs := j.scrubs
	j.scrubs = nil
	j.mu.Unlock()
	for _, scrub := range scrubs {
		scrub.done <- err
	}
}
