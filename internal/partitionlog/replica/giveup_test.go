package replica

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/partitionlog/log"
)

// slowDisk takes no sync to its end while it is held.
type slowDisk struct {
	*memlog.Disk
	held chan chan struct{}
}

func (d *slowDisk) Sync() error {
	select {
	case c := <-d.held:
		<-c
	default:
	}
	return d.Disk.Sync()
}

// An owner that begins a line anew and stops waiting for the disk leaves a line that is replaced
// later. What comes next goes into the line that stands then, not into the one that stood before:
// that would be said to be held, and nobody would have it.
func TestAnOwnerThatGivesUpLeavesNoStaleLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &slowDisk{memlog.New(), make(chan chan struct{}, 1)}
		r := New(clock.Real{})
		parts := map[uint16]journal.Part{}
		for _, k := range RecordTypes() {
			parts[k] = r
		}
		j, _, err := journal.Open(d, clock.Real{}, parts, []journal.Part{r})
		assert.NilError(t, err)
		run, end := context.WithCancel(ctx)
		defer end()
		go j.Run(run)
		r.Start("i", j)
		p := put(t, r, log.KindInput, 1, log.Position{}, "a", "b")
		release := make(chan struct{})
		d.held <- release
		cx, leave := context.WithCancel(ctx)
		gone := make(chan error, 1)
		go func() {
			_, err := r.Append(cx, &AppendRequest{Target: to(1), Kind: log.KindInput, After: p, Reset: true})
			gone <- err
		}()
		synctest.Wait()
		leave()
		assert.Assert(t, <-gone != nil)
		done := make(chan *AppendResponse, 1)
		go func() {
			a, err := r.Append(ctx, &AppendRequest{
				Target: to(1), Kind: log.KindInput, After: p, Entries: chain(p, 1, "c"),
			})
			assert.Check(t, err)
			done <- a
		}()
		synctest.Wait()
		close(release)
		a := <-done
		assert.Assert(t, a.Matched)
		assert.Equal(t, r.Log(1, log.KindInput).Last(), a.Tail.Last)
	})
}
