package journal

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/frame"
	"postjunction/internal/recordtype"
)

// Slice gives some of a part's live records as they are now, and whether more are to come. Restored after all that the log held when it was
// taken, a slice changes nothing; restored after only what the log got since the writing anew began, all slices make the part whole.
type Slice func() (recs []Record, more bool)

// EncodeAll makes one slice of all records.
func EncodeAll(dump func() []Record) []Slice {
	return []Slice{func() ([]Record, bool) { return dump(), false }}
}

// anew is a writing anew under way: one slice at a time, along with what others put. The front is cut once all are written.
type anew struct {
	from   uint64
	used   int64
	slices []Slice
	waits  []chan error
}

// scrub is a reading of the whole log in slices, when nothing else is to be done.
type scrub struct {
	next, last      uint64
	records, rotten int
	cause           error
	done            chan error
}

const (
	scrubSlice = 64
	passMost   = 16
)

// begin starts a writing anew unless the disk has no place for it.
func (j *Journal) begin(wait chan error) bool {
	if !j.room.fits(j.room.live) {
		j.base, j.room.live = j.next-1, j.room.used
		return false
	}
	a := &anew{from: j.next, used: j.room.used}
	if wait != nil {
		a.waits = append(a.waits, wait)
	}
	for _, p := range j.order {
		a.slices = append(a.slices, p.Slices()...)
	}
	j.anew, j.passed = a, 0
	return true
}

func (j *Journal) slice() []Record {
	for a := j.anew; a != nil && len(a.slices) > 0; {
		rs, more := a.slices[0]()
		if !more {
			a.slices = a.slices[1:]
		}
		if len(rs) > 0 {
			return append(append([]Record{{Kind: recordtype.CompactionBegins}}, rs...), Record{Kind: recordtype.CompactionEnds})
		}
	}
	return nil
}

// along gives a slice to be written with what others put: it costs no sync of its own. Urgent puts go alone, but not for ever.
func (j *Journal) along(urgent bool) []Record {
	if j.passed++; urgent && j.passed < passMost {
		return nil
	}
	j.passed = 0
	return j.slice()
}

// aside does what is done when nobody waits, and tells whether there may be more of it.
func (j *Journal) aside() bool {
	if j.anew != nil {
		j.step()
		return true
	}
	return j.look()
}

func (j *Journal) step() {
	if err := j.mend(); err != nil {
		j.drop(err)
		return
	}
	if rs := j.slice(); len(rs) > 0 {
		if err := j.commit(rs); err != nil {
			return
		}
	}
	j.end()
}

// end cuts the front once every slice is written.
func (j *Journal) end() {
	a := j.anew
	if a == nil || len(a.slices) > 0 {
		return
	}
	if err := j.log.CutFront(a.from); err != nil {
		j.spoil(err)
		return
	}
	j.base = a.from - 1
	j.mu.Lock()
	j.room.used -= a.used
	j.room.live = min(j.room.live, j.room.used)
	if j.room.tight && !j.room.over(j.room.used, healPercent) {
		j.room.tight, j.fault = false, nil
	}
	j.tally.Compactions++
	j.mu.Unlock()
	j.drop(nil)
}

func (j *Journal) drop(err error) {
	a := j.anew
	if j.anew = nil; a == nil {
		return
	}
	for _, c := range a.waits {
		c <- err
	}
}

func (j *Journal) quit(err error) {
	j.mu.Lock()
	ss := j.scrubs
	j.scrubs = nil
	j.mu.Unlock()
	for _, c := range ss {
		c.done <- err
	}
}

func (j *Journal) look() bool {
	j.mu.Lock()
	var c *scrub
	if len(j.scrubs) > 0 {
		c = j.scrubs[0]
	}
	j.mu.Unlock()
	if c == nil {
		return false
	}
	err := j.read(c)
	if err == nil && c.next <= c.last {
		return true
	}
	j.mu.Lock()
	j.scrubs = j.scrubs[1:]
	j.mu.Unlock()
	if err != nil {
		c.cause = err
	} else if c.cause != nil {
		j.count()
		if w := make(chan error, 1); j.begin(w) {
			go func() {
				if err := <-w; err != nil {
					c.cause = err
				}
				c.done <- c.cause
			}()
			return true
		}
	}
	c.done <- c.cause
	return true
}

func (j *Journal) read(c *scrub) error {
	first, last, err := j.log.Bounds()
	if err != nil {
		return err
	}
	if c.last == 0 {
		c.last = last
	}
	c.next = max(c.next, first)
	for end := min(c.next+scrubSlice, c.last+1); c.next < end; c.next++ {
		b, err := j.log.Read(c.next)
		if err == nil {
			_, err = frame.Decode(c.next, b)
		}
		if err != nil {
			c.rotten++
			c.cause = err
		}
		c.records++
	}
	return nil
}

// Scrub reads the whole log through, a slice at a time while nobody puts, and, when a record is damaged, writes all live ones anew from memory.
func (j *Journal) Scrub(ctx context.Context) (records, damaged int, cause error) {
	c := &scrub{done: make(chan error, 1)}
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		return 0, 0, apierror.New(apierror.Stopped, "the journal was stopped")
	}
	j.scrubs = append(j.scrubs, c)
	j.mu.Unlock()
	j.rouse()
	select {
	case err := <-c.done:
		return c.records, c.rotten, err
	case <-ctx.Done():
		return 0, 0, apierror.WithCause(apierror.DiskFailed, ctx.Err(), "the disk did not answer in time")
	}
}
