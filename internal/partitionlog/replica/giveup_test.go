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

// slowDisk makes a sync wait until the channel received from blocked is closed.
type slowDisk struct {
	*memlog.Disk
	blocked chan chan struct{}
}

func (d *slowDisk) Sync() error {
	select {
	case release := <-d.blocked:
		<-release
	default:
	}
	return d.Disk.Sync()
}

// A leader resets a log and then stops waiting for the disk, so the log is replaced later. The next
// append must go into the log that is current at that time. In the replaced log its entries would
// be acknowledged, but no replica would have them.
func TestALeaderThatGivesUpLeavesNoStaleLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &slowDisk{memlog.New(), make(chan chan struct{}, 1)}
		r := New(clock.Real{})
		parts := map[uint16]journal.Part{}
		for _, recordType := range RecordTypes() {
			parts[recordType] = r
		}
		opened, _, err := journal.Open(disk, clock.Real{}, parts, []journal.Part{r})
		assert.NilError(t, err)
		runCtx, stop := context.WithCancel(ctx)
		defer stop()
		go opened.Run(runCtx)
		r.Start("i", opened)
		last := appendEntries(t, r, log.KindInput, 1, log.Position{}, "a", "b")
		release := make(chan struct{})
		disk.blocked <- release
		callCtx, cancel := context.WithCancel(ctx)
		abandoned := make(chan error, 1)
		go func() {
			_, err := r.Append(callCtx, &AppendRequest{
				Target: targetAt(1), Kind: log.KindInput, After: last, Reset: true,
			})
			abandoned <- err
		}()
		synctest.Wait()
		cancel()
		assert.Assert(t, <-abandoned != nil)
		responses := make(chan *AppendResponse, 1)
		go func() {
			response, err := r.Append(ctx, &AppendRequest{
				Target: targetAt(1), Kind: log.KindInput, After: last, Entries: entriesAfter(last, 1, "c"),
			})
			assert.Check(t, err)
			responses <- response
		}()
		synctest.Wait()
		close(release)
		response := <-responses
		assert.Assert(t, response.Matched)
		assert.Equal(t, r.Log(1, log.KindInput).Last(), response.Tail.Last)
	})
}
