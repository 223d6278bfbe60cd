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

// slowLog is a disk whose writes wait for step and whose reads are counted. mu guards writes.
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
	var bodies []string
	for _, r := range records {
		bodies = append(bodies, string(r[len(r)-1:]))
	}
	l.mu.Lock()
	l.writes = append(l.writes, bodies)
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

func startJournal(t *testing.T, l *slowLog) *journal.Journal {
	t.Helper()
	j, _, err := journal.Open(l, clock.Real{}, nil, nil)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go j.Run(ctx)
	return j
}

func record(body string) journal.Record { return journal.Record{Kind: 1, Body: []byte(body)} }

// Guards old builds against record types that newer ones add: such records are skipped.
func TestOpen_SkipsRecordsOfUnknownTypes(t *testing.T) {
	disk := &slowLog{Disk: memlog.New()}
	j := startJournal(t, disk)
	assert.NilError(t, j.Put(t.Context(), false, func() {}, journal.Record{Kind: 250, Body: []byte("new")}))
	_, report, err := journal.Open(disk, clock.Real{}, nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, report, journal.Report{Records: 1})
}

// Urgent records share neither a write nor a sync with the routine ones that were put before them.
func TestUrgentRecordsAreWrittenAloneAndNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{Disk: memlog.New(), step: make(chan struct{})}
		j := startJournal(t, log)
		var wg sync.WaitGroup
		put := func(urgent bool, body string) {
			wg.Go(func() { assert.Check(t, j.Put(t.Context(), urgent, nil, record(body))) })
		}
		put(false, "a")
		synctest.Wait()
		for range 40 {
			put(false, "r")
		}
		put(true, "u")
		synctest.Wait()
		for range 3 {
			log.step <- struct{}{}
			synctest.Wait()
		}
		wg.Wait()
		assert.DeepEqual(t, log.writes[:2], [][]string{{"a"}, {"u"}})
		assert.Equal(t, len(log.writes[2]), 40)
	})
}

// A scrub that reads the whole log in one step blocks every write until it is done.
func TestScrubLetsWritesThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{Disk: memlog.New()}
		j := startJournal(t, log)
		const recordCount = 3000
		for range recordCount / 100 {
			var records []journal.Record
			for range 100 {
				records = append(records, record("r"))
			}
			assert.NilError(t, j.Put(t.Context(), false, nil, records...))
		}
		readsBefore, done := 0, make(chan struct{})
		log.onRead = func(n int) {
			if n != 10 {
				return
			}
			go func() {
				_ = j.Put(t.Context(), true, func() { readsBefore = log.reads }, record("u"))
				close(done)
			}()
			synctest.Wait()
		}
		count, damaged, err := j.Scrub(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, damaged, 0)
		assert.Equal(t, count, recordCount)
		<-done
		assert.Assert(
			t, readsBefore < recordCount/2, "an urgent write waited for %d of %d reads",
			readsBefore, recordCount,
		)
	})
}

// A journal that counts no live records before its first compaction writes all of them again,
// though none can be dropped.
func TestCompaction_WaitsUntilItPays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const live = 6000
		part := &latest{limit: live}
		j, _, err := journal.Open(memlog.New(), clock.Real{}, map[uint16]journal.Part{1: part}, []journal.Part{part})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go j.Run(ctx)
		put := func(count int) {
			for range count / 100 {
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
		assert.Equal(t, j.Counters().Compactions, uint64(0), "a third of the records is live")
		put(2 * live)
		synctest.Wait()
		assert.Equal(t, j.Counters().Compactions, uint64(1))
	})
}
