package scale

import (
	"context"
	"testing"

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

type kept struct{ recs []journal.Rec }

func (k *kept) Restore(r journal.Rec) error {
	k.recs = append(k.recs, r)
	return nil
}

func (k *kept) Live() (int, int64) { return len(k.recs), int64(len(k.recs)) * recBytes }

func (k *kept) Slices() []journal.Slice {
	return journal.Whole(func() []journal.Rec { return k.recs })
}

// BenchmarkReadBack opens a journal of 64 MiB in records of 1 KiB, as a restarted machine does; processor time a byte is what to read off.
func BenchmarkReadBack(b *testing.B) {
	dir := b.TempDir()
	open := func() (*walog.Log, *journal.Journal, *kept) {
		l, err := walog.Open(dir)
		assert.NilError(b, err)
		k := &kept{}
		j, _, err := journal.Open(l, clock.Real{}, map[uint16]journal.Part{1: k}, []journal.Part{k})
		assert.NilError(b, err)
		return l, j, k
	}
	l, j, k := open()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); j.Run(ctx) }()
	var rs []journal.Rec
	for range recsAtOnce {
		rs = append(rs, journal.Rec{Kind: 1, Body: make([]byte, recBytes)})
	}
	before, err := (&Group{}).Sample()
	assert.NilError(b, err)
	for n := 0; n < diskBytes; n += recsAtOnce * recBytes {
		assert.NilError(b, j.Put(ctx, false, func() { k.recs = append(k.recs, rs...) }, rs...))
	}
	after, err := (&Group{}).Sample()
	assert.NilError(b, err)
	wrote := (after.Processor - before.Processor).Seconds() * (1 << 30) / diskBytes
	stop()
	<-done
	assert.NilError(b, l.Close())
	b.SetBytes(diskBytes)
	before, err = (&Group{}).Sample()
	assert.NilError(b, err)
	for b.Loop() {
		l, _, k := open()
		assert.Equal(b, len(k.recs), diskBytes/recBytes)
		assert.NilError(b, l.Close())
	}
	after, err = (&Group{}).Sample()
	assert.NilError(b, err)
	b.ReportMetric(wrote, "written-core-s/GiB")
	b.ReportMetric((after.Processor-before.Processor).Seconds()/float64(b.N)*(1<<30)/diskBytes, "read-core-s/GiB")
}
