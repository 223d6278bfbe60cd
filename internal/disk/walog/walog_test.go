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

type part struct{ got []string }

func (p *part) Restore(r journal.Record) error {
	p.got = append(p.got, string(r.Body))
	return nil
}

func (p *part) LiveSize() (int, int64) { return len(p.got), 0 }

func (p *part) Slices() []journal.Slice { return journal.EncodeAll(p.dump) }

func (p *part) dump() []journal.Record {
	var rs []journal.Record
	for _, s := range p.got {
		rs = append(rs, journal.Record{Kind: kind, Body: []byte(s)})
	}
	return rs
}

type rig struct {
	t    *testing.T
	dir  string
	p    *part
	j    *journal.Journal
	rep  journal.Report
	stop func()
}

func open(t *testing.T, dir string) *rig {
	t.Helper()
	l, err := Open(dir)
	assert.NilError(t, err)
	r := &rig{t: t, dir: dir, p: &part{}}
	r.j, r.rep, err = journal.Open(l, clock.Real{}, map[uint16]journal.Part{kind: r.p}, []journal.Part{r.p})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.j.Run(ctx)
		close(done)
	}()
	r.stop = func() {
		cancel()
		<-done
		assert.NilError(t, l.Close())
	}
	return r
}

func (r *rig) put(ss ...string) {
	for _, s := range ss {
		assert.NilError(
			r.t,
			r.j.Put(
				context.Background(), false, func() { r.p.got = append(r.p.got, s) },
				journal.Record{Kind: kind, Body: []byte(s)},
			),
		)
	}
}

func (r *rig) file() string {
	s, err := segments(filepath.Join(r.dir, "journal"))
	assert.NilError(r.t, err)
	return s[len(s)-1]
}

func edit(t *testing.T, file string, f func(b []byte) []byte) {
	b, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, f(b), 0o640))
}

func TestTailsAndDamage(t *testing.T) {
	cases := map[string]struct {
		harm    func(t *testing.T, r *rig)
		want    []string
		torn    bool
		damaged bool
	}{
		"whole": {func(*testing.T, *rig) {}, []string{"a", "b", "c"}, false, false},
		"a short record after the last sync is cut": {func(t *testing.T, r *rig) {
			edit(t, r.file(), func(b []byte) []byte { return append(b, 60, 1, 2, 3) })
		}, []string{"a", "b", "c"}, false, false},
		"a torn record after the last sync is cut": {func(t *testing.T, r *rig) {
			f := frame.Encode(frame.Frame{Kind: kind, Index: 4, SyncedIndex: 3, Body: []byte("d")})
			f[len(f)-1] ^= 1
			edit(t, r.file(), func(b []byte) []byte { return append(append(b, byte(len(f))), f...) })
		}, []string{"a", "b", "c"}, true, false},
		"a bit flipped before the last sync is damage": {func(t *testing.T, r *rig) {
			edit(t, r.file(), func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
		}, nil, false, true},
		"a log cut short before the last sync is damage": {func(t *testing.T, r *rig) {
			edit(t, r.file(), func(b []byte) []byte { return b[:len(b)-10] })
		}, nil, false, true},
		"the same without the note of the last sync, told by the next record": {func(t *testing.T, r *rig) {
			assert.NilError(t, os.Remove(filepath.Join(r.dir, "synced")))
			edit(t, r.file(), func(b []byte) []byte { b[frame.Size] ^= 1; return b })
		}, nil, false, true},
	}
	for n, c := range cases {
		t.Run(n, func(t *testing.T) {
			dir := t.TempDir()
			r := open(t, dir)
			r.put("a", "b", "c")
			r.stop()
			c.harm(t, r)
			r = open(t, dir)
			assert.DeepEqual(t, r.p.got, c.want)
			assert.Equal(t, r.rep.Torn > 0, c.torn)
			assert.Equal(t, r.rep.Damaged, c.damaged)
			r.put("e")
			r.stop()
			r = open(t, dir)
			assert.DeepEqual(t, r.p.got, append(c.want, "e"))
			r.stop()
			_, err := os.Stat(filepath.Join(dir, "damaged-1"))
			assert.Equal(t, err == nil, c.damaged)
		})
	}
}

func TestScrubMendsARottenRecordFromMemory(t *testing.T) {
	d := memlog.New()
	p := &part{}
	j, _, err := journal.Open(d, clock.Real{}, map[uint16]journal.Part{kind: p}, []journal.Part{p})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go j.Run(ctx)
	for _, s := range []string{"a", "b", "c"} {
		assert.NilError(
			t,
			j.Put(ctx, false, func() { p.got = append(p.got, s) }, journal.Record{Kind: kind, Body: []byte(s)}),
		)
	}
	n, bad, err := j.Scrub(ctx)
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	assert.Equal(t, bad, 0)
	assert.Assert(t, d.CorruptRecord(1))
	_, bad, err = j.Scrub(ctx)
	assert.Assert(t, apierror.HasCode(err, apierror.DiskDamaged), "%v", err)
	assert.Equal(t, bad, 1)
	_, bad, err = j.Scrub(ctx)
	assert.NilError(t, err)
	assert.Equal(t, bad, 0)
	q := &part{}
	_, _, err = journal.Open(d, clock.Real{}, map[uint16]journal.Part{kind: q}, []journal.Part{q})
	assert.NilError(t, err)
	assert.DeepEqual(t, q.got, []string{"a", "b", "c"})
}

func TestFullDiskIsNotTrustedUntilReopened(t *testing.T) {
	d := memlog.New()
	p := &part{}
	j, _, err := journal.Open(d, clock.Real{}, map[uint16]journal.Part{kind: p}, []journal.Part{p})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go j.Run(ctx)
	put := func(s string) error {
		return j.Put(ctx, false, func() { p.got = append(p.got, s) }, journal.Record{Kind: kind, Body: []byte(s)})
	}
	assert.NilError(t, put("a"))
	d.Fill(true)
	assert.Assert(t, apierror.HasCode(put("b"), apierror.DiskFull))
	assert.Assert(t, apierror.HasCode(j.Failure(), apierror.DiskFull))
	d.Fill(false)
	assert.NilError(t, put("c"))
	assert.NilError(t, j.Failure())
	assert.DeepEqual(t, p.got, []string{"a", "c"})
	q := &part{}
	_, _, err = journal.Open(d, clock.Real{}, map[uint16]journal.Part{kind: q}, []journal.Part{q})
	assert.NilError(t, err)
	assert.DeepEqual(t, q.got, []string{"a", "c"})
}

func TestNewerAndForeignDisksAreTurnedAway(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir)
	assert.NilError(t, err)
	f := frame.Encode(frame.Frame{Kind: kind, Index: 1, Body: []byte("x")})
	f[6] = frame.Format + 1
	assert.NilError(t, l.Write(1, [][]byte{frame.WriteChecksum(f)}))
	assert.NilError(t, l.Sync())
	_, _, err = journal.Open(l, clock.Real{}, nil, nil)
	assert.Assert(t, apierror.HasCode(err, apierror.DiskNewer), "%v", err)
	_, last, err := l.Bounds()
	assert.NilError(t, err)
	assert.Equal(t, last, uint64(1), "nothing was harmed")
	assert.NilError(t, l.Close())

	p := &identity.Part{}
	assert.NilError(t, p.Restore(journal.Record{Body: []byte(`{"node":"s1","incarnation":"i","fleet":"f"}`)}))
	assert.NilError(t, p.Check("s1"))
	assert.Assert(t, apierror.HasCode(p.Check("s2"), apierror.DiskForeign))
	assert.Assert(t, apierror.HasCode(p.Join(context.Background(), nil, "g"), apierror.DiskForeign))
}

func TestManySegmentsAndCompaction(t *testing.T) {
	dir := t.TempDir()
	r := open(t, dir)
	big := make([]byte, 1<<20)
	for i := range 12 {
		big[0] = byte(i)
		r.put(string(big))
	}
	r.stop()
	r = open(t, dir)
	assert.Equal(t, len(r.p.got), 12)
	r.p.got = r.p.got[11:]
	for range 5000 {
		assert.NilError(
			t, r.j.Put(context.Background(), true, nil, journal.Record{Kind: kind + 1, Body: []byte("dead")}),
		)
	}
	assert.Assert(t, r.j.Counters().Compactions > 0)
	r.stop()
	r = open(t, dir)
	assert.Equal(t, len(r.p.got), 1)
	r.stop()
}
