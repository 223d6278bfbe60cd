package idle

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/settings"
)

// fakeDisk answers for the replicas of a disk. All but those in differing end where their leaders
// expect.
type fakeDisk struct {
	mu        sync.Mutex
	requested []int
	differing map[int]bool
	isFailing bool
	delay     time.Duration
}

func testLog(partition int) replica.IdleLog {
	return replica.IdleLog{
		Partition: partition, Kind: log.KindInput, Epoch: 2, Last: log.Position{Offset: uint64(partition), Epoch: 1},
	}
}

func (d *fakeDisk) compareIdle(
	_ context.Context, request *replica.CompareIdleRequest,
) (*replica.CompareIdleResponse, error) {
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested = append(d.requested, len(request.Partitions[log.KindInput]))
	if d.isFailing {
		return nil, apierror.New(apierror.WrongDisk, "another disk")
	}
	var logs []replica.IdleLog
	for _, partition := range request.Partitions[log.KindInput] {
		idleLog := testLog(partition)
		if d.differing[partition] {
			idleLog.Epoch++
		}
		logs = append(logs, idleLog)
	}
	return &replica.CompareIdleResponse{Identical: replica.IdleChecksum(logs) == request.Checksum}, nil
}

func (d *fakeDisk) Do(request *http.Request) (*http.Response, error) {
	mux := http.NewServeMux()
	replica.CompareIdle.Handle(mux, d.compareIdle)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, request)
	return w.Result(), nil
}

// waitForLogs has idle logs of a disk wait, each due a little later than the one before, and runs
// script. Closing appended supersedes the first log.
func (d *fakeDisk) waitForLogs(
	t *testing.T, count int, script func(confirmer *Confirmer, outcomes []chan Outcome, appended chan struct{}),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		confirmer := New(ctx, "s1", d, clock.Real{}, settings.DefaultTiming)
		outcomes, appended := make([]chan Outcome, count), make(chan struct{})
		start := time.Now()
		for partition := range count {
			outcomes[partition] = make(chan Outcome, 1)
			ownAppended := appended
			if partition > 0 {
				ownAppended = nil
			}
			go func() {
				outcomes[partition] <- confirmer.Wait(
					ctx, Disk{"at-s2", "disk"}, testLog(partition),
					start.Add(time.Second+time.Duration(partition)*time.Millisecond), ownAppended, nil,
				)
			}()
		}
		synctest.Wait()
		script(confirmer, outcomes, appended)
		stop()
		synctest.Wait()
		confirmer.mu.Lock()
		defer confirmer.mu.Unlock()
		assert.Equal(t, len(confirmer.queues), 0)
	})
}

func countOutcomes(outcomes []chan Outcome) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, outcome := range outcomes {
		counts[<-outcome]++
	}
	return counts
}

// All idle logs of a disk are confirmed in one call, once the first is due.
func TestIdleLogsAreConfirmedInOneCall(t *testing.T) {
	disk := &fakeDisk{}
	disk.waitForLogs(t, 100, func(_ *Confirmer, outcomes []chan Outcome, _ chan struct{}) {
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, disk.requested, []int{100})
		assert.DeepEqual(t, countOutcomes(outcomes), map[Outcome]int{Identical: 100})
	})
}

// A log that is due before all waiting ones is confirmed when it is due, and the others with it.
func TestALogThatIsDueSoonerIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		disk := &fakeDisk{}
		confirmer := New(ctx, "s1", disk, clock.Real{}, settings.DefaultTiming)
		start, outcomes := time.Now(), make(chan Outcome, 2)
		for partition, due := range []time.Duration{2 * time.Second, time.Second} {
			go func() {
				outcomes <- confirmer.Wait(ctx, Disk{"at-s2", "disk"}, testLog(partition), start.Add(due), nil, nil)
			}()
			synctest.Wait()
		}
		for range 2 {
			assert.Equal(t, <-outcomes, Identical)
		}
		assert.Equal(t, time.Since(start), time.Second)
		assert.DeepEqual(t, disk.requested, []int{2})
	})
}

// A log whose replica differs is Uncertain. Of the other logs, at most those in the same smallest
// group are. Comparing halves finds that group.
func TestALogThatDiffersIsFound(t *testing.T) {
	disk := &fakeDisk{differing: map[int]bool{37: true}}
	disk.waitForLogs(t, 100, func(_ *Confirmer, outcomes []chan Outcome, _ chan struct{}) {
		counts := map[Outcome]int{}
		for partition, outcome := range outcomes {
			got := <-outcome
			counts[got]++
			assert.Assert(t, got == Uncertain || partition != 37)
		}
		assert.Assert(t, counts[Uncertain] <= maxUnsplit && counts[Identical] == 100-counts[Uncertain], "%v", counts)
		assert.Assert(t, len(disk.requested) <= 12, "%v", disk.requested)
	})
}

// A log with new entries stops waiting at once, also while the others are compared. If another disk
// is there, or none answers, all logs are uncertain.
func TestAppendedLogsAndFailedRequests(t *testing.T) {
	disk := &fakeDisk{delay: 500 * time.Millisecond}
	disk.waitForLogs(t, 10, func(_ *Confirmer, outcomes []chan Outcome, appended chan struct{}) {
		time.Sleep(1200 * time.Millisecond)
		close(appended)
		synctest.Wait()
		assert.Equal(t, len(outcomes[0]), 1)
		assert.DeepEqual(t, countOutcomes(outcomes), map[Outcome]int{Superseded: 1, Identical: 9})
	})
	disk = &fakeDisk{isFailing: true}
	disk.waitForLogs(t, 10, func(_ *Confirmer, outcomes []chan Outcome, _ chan struct{}) {
		assert.DeepEqual(t, countOutcomes(outcomes), map[Outcome]int{Uncertain: 10})
		assert.DeepEqual(t, disk.requested, []int{10})
	})
}
