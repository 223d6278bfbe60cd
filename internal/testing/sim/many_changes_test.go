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
	// sourceBytes is the size of a source document with manyRoutes routes.
	sourceBytes = 100 << 10
	smallDiskMB = 64
)

// routesDocument returns a configuration of many spaces by prefix. Every seventh changes its
// deadline with each version.
func routesDocument(base, sequence uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"base":%d,"sequence":%d,"standing_lanes":true,"source":%q,"spaces":[`, base, sequence, strings.Repeat("x", sourceBytes))
	for route := range manyRoutes {
		if route > 0 {
			b.WriteByte(',')
		}
		kind := "kept"
		if route%5 == 0 {
			kind = "live"
		}
		deadline := 1500
		if route%7 == 0 {
			deadline += int(sequence)
		}
		fmt.Fprintf(&b, `{"name":"route-%d","prefix":"p%d.","kind":%q,"deadline_ms":%d}`, route, route, kind, deadline)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// storedBytes returns how many bytes a machine's disk contains.
func (w *World) storedBytes(t *testing.T, node string) int {
	t.Helper()
	disk := w.Machines[node].Disk
	first, last, err := disk.Bounds()
	assert.NilError(t, err)
	bytes := 0
	for i := first; i <= last; i++ {
		b, err := disk.Read(i)
		assert.NilError(t, err)
		bytes += len(b)
	}
	return bytes
}

// Hundreds of changes of many routes are put in quick succession. Meanwhile a voter and two access
// nodes are down from the tenth change on, another voter is frozen, and a third is replaced. Disks
// of 64 MiB have enough space, and all nodes catch up within the spread after their return.
func TestHundredsOfChangesWhileNodesAreDown(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	changes := 300
	if os.Getenv("PJ_MEASURE") != "" {
		changes = 1000
	}
	site := withSpares(Traductores, "c2")
	site.Access = 3
	site.DiskMB = map[string]int{}
	for zone := range site.Control {
		site.DiskMB[fmt.Sprint("c", zone+1)] = smallDiskMB
	}
	runFleet(t, site, 420, func(t *testing.T, w *World) {
		w.Watch()
		stopped := []string{"c4", "a2", "a3"}
		mostBytes := 0
		for change := range uint64(changes) {
			_, err := w.Put([]string{"c1", "a1", "s1", "c3"}[change%4], routesDocument(change, change+1))
			assert.NilError(t, err, "change %d", change)
			switch change {
			case 10:
				for _, node := range stopped {
					w.Kill(node)
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
			mostBytes = max(mostBytes, w.storedBytes(t, "c1"))
		}
		for _, node := range stopped {
			assert.NilError(t, w.Start(node))
		}
		start := time.Now()
		assert.NilError(t, w.WaitUntil(w.Site.Timing.Spread, "all nodes have the latest configuration", func() bool {
			for _, name := range w.Present() {
				if running := w.Machines[name].Node(); running == nil || running.Ready() != nil || running.Store.Configuration().Sequence != uint64(changes) {
					return false
				}
			}
			return true
		}))
		t.Logf("%d changes of %d bytes: all caught up %s after their return, %d MiB at most on a small disk", changes, len(routesDocument(1, 2)), time.Since(start), mostBytes>>20)
		for _, node := range []string{"c1", "c3", "c4", "c2b"} {
			assert.Assert(t, w.storedBytes(t, node) < smallDiskMB<<20, node)
		}
		for change := range uint64(5) {
			_, err := w.Put("a2", routesDocument(change*20, change*20+1))
			assert.NilError(t, err, "an accepted order again, hundreds of changes later")
		}
	})
}
