package journal_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/walog"
)

const (
	diskBytes     = 64 << 20
	recordBytes   = 1 << 10
	recordsPerPut = 256
)

type allRecords struct{ records []journal.Record }

func (a *allRecords) Restore(r journal.Record) error {
	a.records = append(a.records, r)
	return nil
}

func (a *allRecords) LiveSize() (int, int64) {
	return len(a.records), int64(len(a.records)) * recordBytes
}

func (a *allRecords) Slices() []journal.Slice {
	return journal.EncodeAll(func() []journal.Record { return a.records })
}

// processorTime returns the CPU time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkReadBack opens a journal of 64 MiB in records of 1 KiB, as a restarted machine does. Its
// result is the CPU time for each byte.
func BenchmarkReadBack(b *testing.B) {
	dir := b.TempDir()
	open := func() (*walog.Log, *journal.Journal, *allRecords) {
		log, err := walog.Open(dir)
		assert.NilError(b, err)
		part := &allRecords{}
		j, _, err := journal.Open(log, clock.Real{}, map[uint16]journal.Part{1: part}, []journal.Part{part})
		assert.NilError(b, err)
		return log, j, part
	}
	disk, j, part := open()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); j.Run(ctx) }()
	var records []journal.Record
	for range recordsPerPut {
		records = append(records, journal.Record{Kind: 1, Body: make([]byte, recordBytes)})
	}
	before := processorTime(b)
	for written := 0; written < diskBytes; written += recordsPerPut * recordBytes {
		assert.NilError(b, j.Put(ctx, false, func() { part.records = append(part.records, records...) }, records...))
	}
	after := processorTime(b)
	writeSeconds := (after - before).Seconds() * (1 << 30) / diskBytes
	stop()
	<-done
	assert.NilError(b, disk.Close())
	b.SetBytes(diskBytes)
	before = processorTime(b)
	for b.Loop() {
		disk, _, part := open()
		assert.Equal(b, len(part.records), diskBytes/recordBytes)
		assert.NilError(b, disk.Close())
	}
	after = processorTime(b)
	b.ReportMetric(writeSeconds, "written-core-s/GiB")
	b.ReportMetric((after-before).Seconds()/float64(b.N)*(1<<30)/diskBytes, "read-core-s/GiB")
}
