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

// latest is a part that stores the newest records, at most limit.
type latest struct {
	mu      sync.Mutex
	limit   int
	records []journal.Record
}

// Restore restores a record.
func (l *latest) Restore(r journal.Record) error {
	l.add(r)
	return nil
}

// LiveSize counts the live records.
func (l *latest) LiveSize() (int, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := int64(0)
	for _, r := range l.records {
		bytes += int64(len(r.Body))
	}
	return len(l.records), bytes
}

// Slices returns the live records.
func (l *latest) Slices() []journal.Slice { return journal.EncodeAll(l.dump) }

func (l *latest) dump() []journal.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]journal.Record(nil), l.records...)
}

func (l *latest) add(r journal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	l.records = l.records[max(0, len(l.records)-l.limit):]
}

func (l *latest) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.records = l.records[max(0, len(l.records)-limit):]
}

// peakDisk is a disk that records the highest number of bytes that were on it.
type peakDisk struct {
	*memlog.Disk
	peak atomic.Int64
}

// Write writes and records how much is on the disk afterwards.
func (d *peakDisk) Write(first uint64, records [][]byte) error {
	if err := d.Disk.Write(first, records); err != nil {
		return err
	}
	lowest, highest, err := d.Bounds()
	if err != nil {
		return err
	}
	bytes := 0
	for i := lowest; i <= highest; i++ {
		b, err := d.Read(i)
		if err != nil {
			return err
		}
		bytes += len(b)
	}
	d.peak.Store(max(d.peak.Load(), int64(bytes)))
	return nil
}

// The journal stays inside its capacity, whatever is put. It compacts long before that. It rejects
// large records when the live ones use too much, and still accepts small ones. Once fewer are live
// it accepts all again by itself, also after a restart.
func TestSetCapacity_BoundsTheBytesOnDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity, body = 1 << 20, 8 << 10
		disk, part := &peakDisk{Disk: memlog.New()}, &latest{limit: 10}
		open := func() (*journal.Journal, func()) {
			j, _, err := journal.Open(disk, clock.Real{}, map[uint16]journal.Part{1: part}, []journal.Part{part})
			assert.NilError(t, err)
			j.SetCapacity(capacity, time.Second)
			ctx, stop := context.WithCancel(t.Context())
			go j.Run(ctx)
			return j, stop
		}
		j, stop := open()
		put := func(bytes int) error {
			record := journal.Record{Kind: 1, Body: make([]byte, bytes)}
			err := j.Put(t.Context(), false, func() { part.add(record) }, record)
			assert.Assert(t, disk.peak.Load() <= capacity, "%d bytes were on the disk", disk.peak.Load())
			return err
		}
		for range 1000 {
			assert.NilError(t, put(body))
		}
		assert.Assert(t, j.Counters().Compactions > 10)
		part.setLimit(1 << 20)
		var err error
		for puts := 0; err == nil; puts++ {
			assert.Assert(t, puts < capacity/body, "nothing was rejected")
			err = put(body)
		}
		assert.Assert(t, apierror.HasCode(err, apierror.DiskFull), "%v", err)
		assert.Assert(t, apierror.HasCode(j.Failure(), apierror.DiskFull), "a full disk is not reported as a failure")
		assert.NilError(t, put(100))
		assert.Assert(
			t, apierror.HasCode(j.Failure(), apierror.DiskFull),
			"an accepted small record ended the failure",
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
		part.setLimit(20)
		time.Sleep(2 * time.Second)
		_ = j.Probe(t.Context(), time.Second)
		assert.NilError(t, j.Probe(t.Context(), time.Second))
		assert.NilError(t, j.Failure())
		for range 1000 {
			assert.NilError(t, put(body))
			part.setLimit(20)
		}
	})
}

// Entries in small puts that fill the disk up to its last percents leave no space to forget a
// partition that was dropped.
func TestSetCapacity_SmallEntriesLeaveSpaceToForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 1 << 20
		part := &latest{limit: 1 << 20}
		j, _, err := journal.Open(
			memlog.New(), clock.Real{}, map[uint16]journal.Part{recordtype.Entry: part},
			[]journal.Part{part},
		)
		assert.NilError(t, err)
		j.SetCapacity(capacity, time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go j.Run(ctx)
		put := func() error {
			record := journal.Record{Kind: recordtype.Entry, Body: make([]byte, 300)}
			return j.Put(t.Context(), false, func() { part.add(record) }, record)
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
		part.setLimit(0)
		time.Sleep(2 * time.Second)
		_ = put()
		assert.NilError(t, put())
		assert.NilError(t, j.Failure())
	})
}

// Entries of a few bytes that are accepted until the disk is full leave no space for the record
// that forgets them: the disk then stays full for good.
func TestSetCapacity_TinyEntriesLeaveSpaceForForgetRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 1 << 20
		part := &latest{limit: 1 << 20}
		j, _, err := journal.Open(memlog.New(), clock.Real{}, map[uint16]journal.Part{1: part}, []journal.Part{part})
		assert.NilError(t, err)
		j.SetCapacity(capacity, time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go j.Run(ctx)
		put := func(kind uint16) error {
			record := journal.Record{Kind: kind, Body: make([]byte, 400)}
			return j.Put(t.Context(), false, func() { part.add(record) }, record)
		}
		for _, kind := range []uint16{recordtype.Entry, recordtype.Snapshot} {
			for puts := 0; err == nil; puts++ {
				assert.Assert(t, puts < capacity/400, "nothing was rejected")
				err = put(kind)
			}
			assert.Assert(t, apierror.HasCode(err, apierror.DiskFull), "%v", err)
			err = nil
		}
		for range 100 {
			assert.NilError(t, put(recordtype.Forget))
		}
		part.setLimit(10)
		time.Sleep(2 * time.Second)
		assert.Assert(
			t, apierror.HasCode(put(recordtype.Entry), apierror.DiskFull),
			"the failure is reported until a compaction made space",
		)
		assert.NilError(t, put(recordtype.Entry))
		assert.NilError(t, j.Failure())
	})
}
