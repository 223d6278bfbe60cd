package journal_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/recordtype"
)

// latest is a part that keeps the newest records, at most limit.
type latest struct {
	mu    sync.Mutex
	limit int
	recs  []journal.Record
}

// Restore restores a record.
func (s *latest) Restore(r journal.Record) error {
	s.add(r)
	return nil
}

// LiveSize counts the live records.
func (s *latest) LiveSize() (int, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, r := range s.recs {
		n += int64(len(r.Body))
	}
	return len(s.recs), n
}

// Slices returns the live records.
func (s *latest) Slices() []journal.Slice { return journal.EncodeAll(s.dump) }

func (s *latest) dump() []journal.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]journal.Record(nil), s.recs...)
}

func (s *latest) add(r journal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recs = append(s.recs, r)
	s.recs = s.recs[max(0, len(s.recs)-s.limit):]
}

func (s *latest) keep(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = n
	s.recs = s.recs[max(0, len(s.recs)-n):]
}

// peakDisk is a disk that knows the most bytes that were on it.
type peakDisk struct {
	*memlog.Disk
	peak atomic.Int64
}

// Write notes how much is on the disk after it.
func (g *peakDisk) Write(first uint64, records [][]byte) error {
	if err := g.Disk.Write(first, records); err != nil {
		return err
	}
	f, l, err := g.Bounds()
	if err != nil {
		return err
	}
	n := 0
	for i := f; i <= l; i++ {
		b, err := g.Read(i)
		if err != nil {
			return err
		}
		n += len(b)
	}
	g.peak.Store(max(g.peak.Load(), int64(n)))
	return nil
}

// The journal stays inside its capacity, whatever is put: it compacts long before, rejects large
// records away when what lives takes too much, still takes small ones, and takes all again by
// itself once less lives, across a restart too.
func TestSetCapacity_BoundsTheBytesOnDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity, body = 1 << 20, 8 << 10
		d, s := &peakDisk{Disk: memlog.New()}, &latest{limit: 10}
		open := func() (*journal.Journal, func()) {
			j, _, err := journal.Open(d, clock.Real{}, map[uint16]journal.Part{1: s}, []journal.Part{s})
			assert.NilError(t, err)
			j.SetCapacity(capacity, time.Second)
			ctx, stop := context.WithCancel(t.Context())
			go j.Run(ctx)
			return j, stop
		}
		j, stop := open()
		put := func(n int) error {
			r := journal.Record{Kind: 1, Body: make([]byte, n)}
			err := j.Put(t.Context(), false, func() { s.add(r) }, r)
			assert.Assert(t, d.peak.Load() <= capacity, "%d bytes were on the disk", d.peak.Load())
			return err
		}
		for range 1000 {
			assert.NilError(t, put(body))
		}
		assert.Assert(t, j.Counters().Compactions > 10)
		s.keep(1 << 20)
		var err error
		for k := 0; err == nil; k++ {
			assert.Assert(t, k < capacity/body, "nothing was rejected")
			err = put(body)
		}
		assert.Assert(t, apierror.HasCode(err, apierror.DiskFull), "%v", err)
		assert.Assert(t, apierror.HasCode(j.Failure(), apierror.DiskFull), "a full disk that is not told of")
		assert.NilError(t, put(100))
		assert.Assert(
			t, apierror.HasCode(j.Failure(), apierror.DiskFull),
			"a small record that went in does not make it well",
		)
		assert.Assert(t, apierror.HasCode(j.Probe(t.Context(), time.Second), apierror.DiskFull))
		stop()
		synctest.Wait()
		j, stop = open()
		defer stop()
		for range 20 {
			if err = put(body); err != nil {
				break
			}
		}
		assert.Assert(t, apierror.HasCode(err, apierror.DiskFull), "%v", err)
		s.keep(20)
		time.Sleep(2 * time.Second)
		_ = j.Probe(t.Context(), time.Second)
		assert.NilError(t, j.Probe(t.Context(), time.Second))
		assert.NilError(t, j.Failure())
		for range 1000 {
			assert.NilError(t, put(body))
			s.keep(20)
		}
	})
}

// Entries in small puts once filled the disk up to its last percents, so that not even a partition
// that had left could be forgotten.
func TestSetCapacity_SmallEntriesLeaveSpaceToForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 1 << 20
		s := &latest{limit: 1 << 20}
		j, _, err := journal.Open(
			memlog.New(), clock.Real{}, map[uint16]journal.Part{recordtype.Entry: s},
			[]journal.Part{s},
		)
		assert.NilError(t, err)
		j.SetCapacity(capacity, time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go j.Run(ctx)
		put := func() error {
			r := journal.Record{Kind: recordtype.Entry, Body: make([]byte, 300)}
			return j.Put(t.Context(), false, func() { s.add(r) }, r)
		}
		for err = nil; err == nil; {
			err = put()
		}
		assert.Assert(t, apierror.HasCode(err, apierror.DiskFull), "%v", err)
		assert.Assert(t, apierror.HasCode(j.Failure(), apierror.DiskFull))
		for range 500 {
			assert.NilError(
				t,
				j.Put(t.Context(), false, nil, journal.Record{Kind: recordtype.Forget, Body: make([]byte, 100)}),
			)
		}
		s.keep(0)
		time.Sleep(2 * time.Second)
		_ = put()
		assert.NilError(t, put())
		assert.NilError(t, j.Failure())
	})
}

// Entries of a few bytes once went on until the disk was full, and then the record that forgets
// them had no space either: the disk stayed full for good.
func TestSetCapacity_TinyEntriesLeaveSpaceForForgetRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 1 << 20
		s := &latest{limit: 1 << 20}
		j, _, err := journal.Open(memlog.New(), clock.Real{}, map[uint16]journal.Part{1: s}, []journal.Part{s})
		assert.NilError(t, err)
		j.SetCapacity(capacity, time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go j.Run(ctx)
		put := func(k uint16) error {
			r := journal.Record{Kind: k, Body: make([]byte, 400)}
			return j.Put(t.Context(), false, func() { s.add(r) }, r)
		}
		for _, k := range []uint16{recordtype.Entry, recordtype.Snapshot} {
			for n := 0; err == nil; n++ {
				assert.Assert(t, n < capacity/400, "nothing was rejected")
				err = put(k)
			}
			assert.Assert(t, apierror.HasCode(err, apierror.DiskFull), "%v", err)
			err = nil
		}
		for range 100 {
			assert.NilError(t, put(recordtype.Forget))
		}
		s.keep(10)
		time.Sleep(2 * time.Second)
		assert.Assert(
			t, apierror.HasCode(put(recordtype.Entry), apierror.DiskFull),
			"it is told of until a compaction made place",
		)
		assert.NilError(t, put(recordtype.Entry))
		assert.NilError(t, j.Failure())
	})
}
