package journal_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
)

// slowLog is a disk whose writes wait for step, and whose reads are counted.
type slowLog struct {
	*memlog.Disk
	mu     sync.Mutex
	writes [][]string
	reads  int
	step   chan struct{}
	onRead func(n int)
}

func (l *slowLog) Write(first uint64, records [][]byte) error {
	if l.step != nil {
		<-l.step
	}
	var s []string
	for _, r := range records {
		s = append(s, string(r[len(r)-1:]))
	}
	l.mu.Lock()
	l.writes = append(l.writes, s)
	l.mu.Unlock()
	return l.Disk.Write(first, records)
}

func (l *slowLog) Read(i uint64) ([]byte, error) {
	l.reads++
	if l.onRead != nil {
		l.onRead(l.reads)
	}
	return l.Disk.Read(i)
}

func start(t *testing.T, l *slowLog) *journal.Journal {
	t.Helper()
	j, _, err := journal.Open(l, clock.Real{}, nil, nil)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go j.Run(ctx)
	return j
}

func record(s string) journal.Record { return journal.Record{Kind: 1, Body: []byte(s)} }

// Urgent records share neither a write nor a sync with the routine ones that came before them.
func TestUrgentRecordsAreWrittenAloneAndNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLog{Disk: memlog.New(), step: make(chan struct{})}
		j := start(t, l)
		var wg sync.WaitGroup
		put := func(urgent bool, s string) {
			wg.Go(func() { assert.Check(t, j.Put(t.Context(), urgent, nil, record(s))) })
		}
		put(false, "a")
		synctest.Wait()
		for range 40 {
			put(false, "r")
		}
		put(true, "u")
		synctest.Wait()
		for range 3 {
			l.step <- struct{}{}
			synctest.Wait()
		}
		wg.Wait()
		assert.DeepEqual(t, l.writes[:2], [][]string{{"a"}, {"u"}})
		assert.Equal(t, len(l.writes[2]), 40)
	})
}

// Reading the whole log through once held every write until it was done.
func TestScrubLetsWritesThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLog{Disk: memlog.New()}
		j := start(t, l)
		const many = 3000
		for range many / 100 {
			var records []journal.Record
			for range 100 {
				records = append(records, record("r"))
			}
			assert.NilError(t, j.Put(t.Context(), false, nil, records...))
		}
		at, done := 0, make(chan struct{})
		l.onRead = func(n int) {
			if n != 10 {
				return
			}
			go func() {
				_ = j.Put(t.Context(), true, func() { at = l.reads }, record("u"))
				close(done)
			}()
			synctest.Wait()
		}
		n, bad, err := j.Scrub(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, bad, 0)
		assert.Equal(t, n, many)
		<-done
		assert.Assert(t, at < many/2, "an urgent write waited for %d of %d reads", at, many)
	})
}

// Before its first compaction a journal took every record for dead: it wrote all of them again,
// though none could go.
func TestCompaction_WaitsUntilItPays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const live = 6000
		part := &latest{limit: live}
		j, _, err := journal.Open(memlog.New(), clock.Real{}, map[uint16]journal.Part{1: part}, []journal.Part{part})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go j.Run(ctx)
		put := func(n int) {
			for range n / 100 {
				var records []journal.Record
				for range 100 {
					records = append(records, record("r"))
				}
				assert.NilError(t, j.Put(t.Context(), false, func() {
					for _, r := range records {
						part.add(r)
					}
				}, records...))
			}
		}
		put(live)
		assert.Equal(t, j.Counters().Compactions, uint64(0), "all of %d records live", live)
		put(2 * live)
		assert.Equal(t, j.Counters().Compactions, uint64(0), "a third of the records lives")
		put(2 * live)
		synctest.Wait()
		assert.Equal(t, j.Counters().Compactions, uint64(1))
	})
}
