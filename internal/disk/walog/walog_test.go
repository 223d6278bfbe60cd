package walog

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/disk/frame"
	"postjunction/internal/disk/identity"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
)

const kind = 99

type part struct{ bodies []string }

func (p *part) Restore(r journal.Record) error {
	p.bodies = append(p.bodies, string(r.Body))
	return nil
}

func (p *part) LiveSize() (int, int64) { return len(p.bodies), 0 }

func (p *part) Slices() []journal.Slice { return journal.EncodeAll(p.dump) }

func (p *part) dump() []journal.Record {
	var records []journal.Record
	for _, body := range p.bodies {
		records = append(records, journal.Record{Kind: kind, Body: []byte(body)})
	}
	return records
}

type fixture struct {
	t       *testing.T
	dir     string
	part    *part
	journal *journal.Journal
	report  journal.Report
	stop    func()
}

func open(t *testing.T, dir string) *fixture {
	t.Helper()
	log, err := Open(dir)
	assert.NilError(t, err)
	f := &fixture{t: t, dir: dir, part: &part{}}
	f.journal, f.report, err = journal.Open(
		log, clock.Real{}, map[uint16]journal.Part{kind: f.part}, []journal.Part{f.part},
	)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.journal.Run(ctx)
		close(done)
	}()
	f.stop = func() {
		cancel()
		<-done
		assert.NilError(t, log.Close())
	}
	return f
}

func (f *fixture) put(bodies ...string) {
	for _, body := range bodies {
		assert.NilError(
			f.t,
			f.journal.Put(
				context.Background(), false, func() { f.part.bodies = append(f.part.bodies, body) },
				journal.Record{Kind: kind, Body: []byte(body)},
			),
		)
	}
}

func (f *fixture) lastSegment() string {
	paths, err := segments(filepath.Join(f.dir, "journal"))
	assert.NilError(f.t, err)
	return paths[len(paths)-1]
}

func edit(t *testing.T, file string, change func(b []byte) []byte) {
	b, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, change(b), 0o640))
}

func TestTailsAndDamage(t *testing.T) {
	cases := map[string]struct {
		damage  func(t *testing.T, f *fixture)
		want    []string
		torn    bool
		damaged bool
	}{
		"whole": {func(*testing.T, *fixture) {}, []string{"a", "b", "c"}, false, false},
		"a short record after the last sync is cut": {func(t *testing.T, f *fixture) {
			edit(t, f.lastSegment(), func(b []byte) []byte { return append(b, 60, 1, 2, 3) })
		}, []string{"a", "b", "c"}, false, false},
		"a torn record after the last sync is cut": {func(t *testing.T, f *fixture) {
			torn := frame.Encode(frame.Frame{Kind: kind, Index: 4, SyncedIndex: 3, Body: []byte("d")})
			torn[len(torn)-1] ^= 1
			edit(t, f.lastSegment(), func(b []byte) []byte { return append(append(b, byte(len(torn))), torn...) })
		}, []string{"a", "b", "c"}, true, false},
		"a bit flipped before the last sync is damage": {func(t *testing.T, f *fixture) {
			edit(t, f.lastSegment(), func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
		}, nil, false, true},
		"a log cut short before the last sync is damage": {func(t *testing.T, f *fixture) {
			edit(t, f.lastSegment(), func(b []byte) []byte { return b[:len(b)-10] })
		}, nil, false, true},
		"the same without the file of the synced index, found by the next record": {func(t *testing.T, f *fixture) {
			assert.NilError(t, os.Remove(filepath.Join(f.dir, "synced")))
			edit(t, f.lastSegment(), func(b []byte) []byte { b[frame.Size] ^= 1; return b })
		}, nil, false, true},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			f := open(t, dir)
			f.put("a", "b", "c")
			f.stop()
			testCase.damage(t, f)
			f = open(t, dir)
			assert.DeepEqual(t, f.part.bodies, testCase.want)
			assert.Equal(t, f.report.Torn > 0, testCase.torn)
			assert.Equal(t, f.report.Damaged, testCase.damaged)
			f.put("e")
			f.stop()
			f = open(t, dir)
			assert.DeepEqual(t, f.part.bodies, append(testCase.want, "e"))
			f.stop()
			_, err := os.Stat(filepath.Join(dir, "damaged-1"))
			assert.Equal(t, err == nil, testCase.damaged)
		})
	}
}

func TestScrubRepairsADamagedRecordFromMemory(t *testing.T) {
	disk := memlog.New()
	stored := &part{}
	j, _, err := journal.Open(disk, clock.Real{}, map[uint16]journal.Part{kind: stored}, []journal.Part{stored})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go j.Run(ctx)
	for _, body := range []string{"a", "b", "c"} {
		assert.NilError(
			t,
			j.Put(
				ctx, false, func() { stored.bodies = append(stored.bodies, body) },
				journal.Record{Kind: kind, Body: []byte(body)},
			),
		)
	}
	count, damaged, err := j.Scrub(ctx)
	assert.NilError(t, err)
	assert.Equal(t, count, 3)
	assert.Equal(t, damaged, 0)
	assert.Assert(t, disk.CorruptRecord(1))
	_, damaged, err = j.Scrub(ctx)
	assert.Assert(t, apierror.HasCode(err, apierror.DiskDamaged), "%v", err)
	assert.Equal(t, damaged, 1)
	_, damaged, err = j.Scrub(ctx)
	assert.NilError(t, err)
	assert.Equal(t, damaged, 0)
	reopened := &part{}
	_, _, err = journal.Open(disk, clock.Real{}, map[uint16]journal.Part{kind: reopened}, []journal.Part{reopened})
	assert.NilError(t, err)
	assert.DeepEqual(t, reopened.bodies, []string{"a", "b", "c"})
}

func TestFullDiskIsNotTrustedUntilReopened(t *testing.T) {
	disk := memlog.New()
	stored := &part{}
	j, _, err := journal.Open(disk, clock.Real{}, map[uint16]journal.Part{kind: stored}, []journal.Part{stored})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go j.Run(ctx)
	put := func(body string) error {
		return j.Put(
			ctx, false, func() { stored.bodies = append(stored.bodies, body) },
			journal.Record{Kind: kind, Body: []byte(body)},
		)
	}
	assert.NilError(t, put("a"))
	disk.Fill(true)
	assert.Assert(t, apierror.HasCode(put("b"), apierror.DiskFull))
	assert.Assert(t, apierror.HasCode(j.Failure(), apierror.DiskFull))
	disk.Fill(false)
	assert.NilError(t, put("c"))
	assert.NilError(t, j.Failure())
	assert.DeepEqual(t, stored.bodies, []string{"a", "c"})
	reopened := &part{}
	_, _, err = journal.Open(disk, clock.Real{}, map[uint16]journal.Part{kind: reopened}, []journal.Part{reopened})
	assert.NilError(t, err)
	assert.DeepEqual(t, reopened.bodies, []string{"a", "c"})
}

func TestNewerAndForeignDisksAreRejected(t *testing.T) {
	dir := t.TempDir()
	log, err := Open(dir)
	assert.NilError(t, err)
	encoded := frame.Encode(frame.Frame{Kind: kind, Index: 1, Body: []byte("x")})
	encoded[6] = frame.Format + 1
	assert.NilError(t, log.Write(1, [][]byte{frame.WriteChecksum(encoded)}))
	assert.NilError(t, log.Sync())
	_, _, err = journal.Open(log, clock.Real{}, nil, nil)
	assert.Assert(t, apierror.HasCode(err, apierror.DiskNewer), "%v", err)
	_, last, err := log.Bounds()
	assert.NilError(t, err)
	assert.Equal(t, last, uint64(1), "a rejected log was changed")
	assert.NilError(t, log.Close())

	part := &identity.Part{}
	assert.NilError(t, part.Restore(journal.Record{Body: []byte(`{"node":"s1","incarnation":"i","fleet":"f"}`)}))
	assert.NilError(t, part.Check("s1"))
	assert.Assert(t, apierror.HasCode(part.Check("s2"), apierror.DiskForeign))
	assert.Assert(t, apierror.HasCode(part.Join(context.Background(), nil, "g"), apierror.DiskForeign))
}

func TestManySegmentsAndCompaction(t *testing.T) {
	dir := t.TempDir()
	f := open(t, dir)
	big := make([]byte, 1<<20)
	for i := range 12 {
		big[0] = byte(i)
		f.put(string(big))
	}
	f.stop()
	f = open(t, dir)
	assert.Equal(t, len(f.part.bodies), 12)
	f.part.bodies = f.part.bodies[11:]
	for range 5000 {
		assert.NilError(
			t, f.journal.Put(context.Background(), true, nil, journal.Record{Kind: kind + 1, Body: []byte("dead")}),
		)
	}
	assert.Assert(t, f.journal.Counters().Compactions > 0)
	f.stop()
	f = open(t, dir)
	assert.Equal(t, len(f.part.bodies), 1)
	f.stop()
}
