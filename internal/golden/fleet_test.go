package golden

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/client"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/disk/walog"
	"postjunction/internal/testing/sim"
)

// kept is what a caller of the old fleet has in hand.
type kept struct {
	Token  string   `json:"token"`
	Cursor string   `json:"cursor"`
	Bodies []string `json:"bodies"`
}

const (
	topic = "kept/t0"
	limit = 30 * time.Second
)

var load = sim.Load{Topics: 2, LiveTopics: 1}

// transfer writes one log's records behind those of another.
func transfer(t *testing.T, from, to journal.Log) {
	t.Helper()
	first, last, err := from.Bounds()
	assert.NilError(t, err)
	_, next, err := to.Bounds()
	assert.NilError(t, err)
	assert.Equal(t, first, next+1, "the old log was written anew")
	var rs [][]byte
	for i := first; i <= last; i++ {
		b, err := from.Read(i)
		assert.NilError(t, err)
		rs = append(rs, b)
	}
	assert.NilError(t, to.Write(first, rs))
	assert.NilError(t, to.Sync())
}

// found makes a fleet, sends a few messages, and leaves its disks and what its caller has.
func found(t *testing.T, dir string) {
	t.Helper()
	var k kept
	var w *sim.World
	synctest.Test(t, func(t *testing.T) {
		w = sim.New(sim.Armor, 1, nil)
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		var err error
		assert.NilError(t, w.WaitUntil(limit, "a description is put", func() bool {
			_, err = w.Put("c1", load.Configuration(0))
			return err == nil
		}))
		assert.NilError(t, w.WaitReady(limit))
		time.Sleep(w.Site.Timing.Recovery)
		p := w.Transport("a1")
		a, err := p.Attach(t.Context(), "picker-7")
		assert.NilError(t, err)
		k.Token = a.Token
		k.Cursor = heard(t, w, k.Token, "", 0)[0].Cursor
		for i, b := range []string{`{"pick":1}`, `{"pick":2}`, `"third"`} {
			_, err := p.Send(t.Context(), k.Token, topic, uint64(i+1), []byte(b))
			assert.NilError(t, err)
			k.Bodies = append(k.Bodies, b)
		}
		time.Sleep(w.Site.Timing.Recovery)
	})
	for n, m := range w.Machines {
		if m.Opts.DataDir == "" || m.Opts.Disk == "none" {
			continue
		}
		l, err := walog.Open(filepath.Join(dir, n))
		assert.NilError(t, err)
		transfer(t, m.Disk, l)
		assert.NilError(t, l.Close())
	}
	b, err := json.MarshalIndent(k, "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "caller.json"), append(b, '\n'), 0o600))
}

var errEnough = errors.New("enough")

// heard follows the topic from a cursor until n messages came, or for none of them until the first
// line did.
func heard(t *testing.T, w *sim.World, token, cursor string, n int) []client.Event {
	t.Helper()
	var got []client.Event
	ctx, stop := context.WithTimeout(t.Context(), limit)
	defer stop()
	_ = w.Transport("a1").Follow(ctx, token, []string{topic}, cursor, func(l client.Event) error {
		if n == 0 || l.Body != nil {
			got = append(got, l)
		}
		if len(got) >= max(n, 1) {
			return errEnough
		}
		return nil
	})
	assert.Equal(t, len(got), max(n, 1))
	return got
}

// A fleet whose disks an older build wrote comes back: its caller's token and cursor hold, what was
// sent is read, a number that was taken stays taken, and the next one is taken.
func TestOldFleetServes(t *testing.T) {
	dir := old("fleet")
	if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) && golden.FlagUpdate() {
		found(t, dir)
	}
	b, err := os.ReadFile(filepath.Join(dir, "caller.json"))
	assert.NilError(t, err)
	var k kept
	assert.NilError(t, json.Unmarshal(b, &k))
	fresh := t.TempDir()
	assert.NilError(t, os.CopyFS(fresh, os.DirFS(dir)))
	disks := map[string]*memlog.Disk{}
	es, err := os.ReadDir(fresh)
	assert.NilError(t, err)
	for _, e := range es {
		if e.IsDir() {
			l, err := walog.Open(filepath.Join(fresh, e.Name()))
			assert.NilError(t, err)
			disks[e.Name()] = memlog.New()
			transfer(t, l, disks[e.Name()])
			assert.NilError(t, l.Close())
		}
	}
	assert.Equal(t, len(disks), 6)
	synctest.Test(t, func(t *testing.T) {
		w := sim.New(sim.Armor, 2, nil)
		defer w.Close()
		for n, d := range disks {
			w.Machines[n].Disk = d
		}
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(limit))
		time.Sleep(w.Site.Timing.Recovery)
		p := w.Transport("a1")
		seq, err := p.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, seq, uint64(1))
		var bodies []string
		for _, l := range heard(t, w, k.Token, k.Cursor, len(k.Bodies)) {
			bodies = append(bodies, string(l.Body))
		}
		assert.DeepEqual(t, bodies, k.Bodies)
		last := uint64(len(k.Bodies))
		r, err := p.Send(t.Context(), k.Token, topic, last, []byte(k.Bodies[last-1]))
		assert.NilError(t, err)
		assert.Assert(t, r.Duplicate)
		_, err = p.Send(t.Context(), k.Token, topic, last, []byte(`"altered"`))
		assert.ErrorContains(t, err, "call_altered")
		r, err = p.Send(t.Context(), k.Token, topic, last+1, []byte(`"next"`))
		assert.NilError(t, err)
		assert.Assert(t, !r.Duplicate)
	})
}
