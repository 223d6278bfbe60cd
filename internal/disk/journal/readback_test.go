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
	diskBytes  = 64 << 20
	recBytes   = 1 << 10
	recsAtOnce = 256
)

type allRecords struct{ recs []journal.Record }

func (k *allRecords) Restore(r journal.Record) error {
	k.recs = append(k.recs, r)
	return nil
}

func (k *allRecords) LiveSize() (int, int64) { return len(k.recs), int64(len(k.recs)) * recBytes }

func (k *allRecords) Slices() []journal.Slice {
	return journal.EncodeAll(func() []journal.Record { return k.recs })
}

// processorTime is what this process has spent on the processor so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var use syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkReadBack opens a journal of 64 MiB in records of 1 KiB, as a restarted machine does;
// processor time a byte is what to read off.
func BenchmarkReadBack(b *testing.B) {
	dir := b.TempDir()
	open := func() (*walog.Log, *journal.Journal, *allRecords) {
		l, err := walog.Open(dir)
		assert.NilError(b, err)
		k := &allRecords{}
		j, _, err := journal.Open(l, clock.Real{}, map[uint16]journal.Part{1: k}, []journal.Part{k})
		assert.NilError(b, err)
		return l, j, k
	}
	l, j, k := open()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); j.Run(ctx) }()
	var records []journal.Record
	for range recsAtOnce {
		records = append(records, journal.Record{Kind: 1, Body: make([]byte, recBytes)})
	}
	before := processorTime(b)
	for n := 0; n < diskBytes; n += recsAtOnce * recBytes {
		assert.NilError(b, j.Put(ctx, false, func() { k.recs = append(k.recs, records...) }, records...))
	}
	after := processorTime(b)
	wrote := (after - before).Seconds() * (1 << 30) / diskBytes
	stop()
	<-done
	assert.NilError(b, l.Close())
	b.SetBytes(diskBytes)
	before = processorTime(b)
	for b.Loop() {
		l, _, k := open()
		assert.Equal(b, len(k.recs), diskBytes/recBytes)
		assert.NilError(b, l.Close())
	}
	after = processorTime(b)
	b.ReportMetric(wrote, "written-core-s/GiB")
	b.ReportMetric((after-before).Seconds()/float64(b.N)*(1<<30)/diskBytes, "read-core-s/GiB")
}
