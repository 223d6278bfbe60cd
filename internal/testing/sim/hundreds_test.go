package sim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	manyRoutes = 514
	// sourceBytes is how long a document of so many routes is.
	sourceBytes = 100 << 10
	smallDiskMB = 64
)

// routes writes a configuration of many spaces by prefix; every seventh changes its deadline with
// each version.
func routes(base, sequence uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"base":%d,"sequence":%d,"standing_lanes":true,"source":%q,"spaces":[`, base, sequence, strings.Repeat("x", sourceBytes))
	for n := range manyRoutes {
		if n > 0 {
			b.WriteByte(',')
		}
		kind := "kept"
		if n%5 == 0 {
			kind = "live"
		}
		deadline := 1500
		if n%7 == 0 {
			deadline += int(sequence)
		}
		fmt.Fprintf(&b, `{"name":"route-%d","prefix":"p%d.","kind":%q,"deadline_ms":%d}`, n, n, kind, deadline)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// stored is how many bytes stand on a machine's disk.
func (w *World) stored(t *testing.T, n string) int {
	t.Helper()
	d := w.Machines[n].Disk
	first, last, err := d.Bounds()
	assert.NilError(t, err)
	bytes := 0
	for i := first; i <= last; i++ {
		b, err := d.Read(i)
		assert.NilError(t, err)
		bytes += len(b)
	}
	return bytes
}

// Hundreds of changes of many routes, in quick succession, while a voter and two access nodes are
// away from the tenth on, another voter stands still, and a third is replaced. Disks of 64 MiB have
// room for it, and all catch up within the spread of their return.
func TestHundredsOfChangesWhileMembersAreAway(t *testing.T) {
	t.Parallel()
	long(t)
	changes := 300
	if os.Getenv("PJ_MEASURE") != "" {
		changes = 1000
	}
	s := withSpares(Traductores, "c2")
	s.Access = 3
	s.DiskMB = map[string]int{}
	for n := range s.Control {
		s.DiskMB[fmt.Sprint("c", n+1)] = smallDiskMB
	}
	stand(t, s, 420, func(t *testing.T, w *World) {
		w.Watch()
		away := []string{"c4", "a2", "a3"}
		most := 0
		for n := range uint64(changes) {
			_, err := w.Put([]string{"c1", "a1", "s1", "c3"}[n%4], routes(n, n+1))
			assert.NilError(t, err, "change %d", n)
			switch n {
			case 10:
				for _, k := range away {
					w.Kill(k)
				}
			case 60:
				assert.NilError(t, w.Start("c4"))
				w.Remove("c2", false)
				time.Sleep(2 * time.Second)
				assert.NilError(t, w.Add("c2b"))
				time.Sleep(w.Site.Timing.Recovery)
				w.Kill("c4")
			case 120:
				w.Freeze("c3")
				time.Sleep(3 * time.Second)
				w.Thaw("c3")
				time.Sleep(time.Second)
			}
			most = max(most, w.stored(t, "c1"))
		}
		for _, k := range away {
			assert.NilError(t, w.Start(k))
		}
		at := time.Now()
		assert.NilError(t, w.WaitUntil(w.Site.Timing.Spread, "all have the newest", func() bool {
			for _, n := range w.Present() {
				if x := w.Machines[n].Node(); x == nil || x.Ready() != nil || x.Store.Configuration().Sequence != uint64(changes) {
					return false
				}
			}
			return true
		}))
		t.Logf("%d changes of %d bytes: all caught up %s after their return, %d MiB at most on a small disk", changes, len(routes(1, 2)), time.Since(at), most>>20)
		for _, n := range []string{"c1", "c3", "c4", "c2b"} {
			assert.Assert(t, w.stored(t, n) < smallDiskMB<<20, n)
		}
		for k := range uint64(5) {
			_, err := w.Put("a2", routes(k*20, k*20+1))
			assert.NilError(t, err, "an accepted order again, hundreds of changes later")
		}
	})
}
