// Package journal groups records from many writers into few syncs on one log, and compacts that log
// from the state of the parts that the records are about.
//
// What must stay true:
//   - Put returns nil only after its records were synced, and apply functions run in the order of
//     the log.
//   - Nothing that was synced is lost: a torn tail is cut only past the last synced record, a
//     damaged log is set aside whole, and the front of the log is cut only after a compaction was
//     synced to its end.
//   - Urgent puts never share a write with routine ones.
//
// The journal owns the log; parts own their state. One goroutine, Run, does all writes, syncs and
// compactions and calls the parts. Put, PutIn, Probe and Scrub may be called by any goroutine and
// block until it answers or their context ends; the lock is held for short steps only, never over
// I/O.
package journal

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/keylock"
	"postjunction/internal/recordtype"
)

const (
	groupBytes = 1 << 20 // of records in one write
	probeBytes = 4096
)

// Record is a record to be written: its type, the epoch and offset that it is about, and its
// encoded body.
type Record struct {
	Kind   uint16
	Epoch  uint64
	Offset uint64
	Body   []byte
}

// Part is a component whose state the journal keeps. It restores records at open, reports how many
// of them live and, at most, how many bytes their bodies have, and returns the live ones in slices
// when the log is compacted. The journal calls it from Open and from the goroutine of Run; what
// puts change it learns from their apply functions.
type Part interface {
	Restore(r Record) error
	LiveSize() (records int, bytes int64)
	Slices() []Slice
}

// Counters counts the work of a journal since it was opened.
type Counters struct {
	Records     uint64 `json:"Records"`
	Batches     uint64 `json:"Batches"`
	Compactions uint64 `json:"Compactions"`
	Failures    uint64 `json:"Failures"`
}

// Report says what was found when the journal was opened: how many records, how many torn ones were
// cut off, and whether the log was set aside as damaged, and why.
type Report struct {
	Records uint64
	Torn    uint64
	Damaged bool
	Cause   error
}

// put is records of one writer. apply runs once they are durable, after whatever came of them.
type put struct {
	records []Record
	apply   func()
	after   func()
	done    chan error
}

// finish ends the put: its turn is over, then its writer learns the result.
func (p put) finish(err error) {
	if p.after != nil {
		p.after()
	}
	p.done <- err
}

// Journal is one log with one writer, the goroutine of Run. Fields without a lock are used by Open
// and that goroutine only.
type Journal struct {
	log         Log
	clock       clock.Clock
	partsByType map[uint16]Part
	parts       []Part
	wake        chan struct{} // has room for one signal

	nextIndex   uint64 // of the next record
	synced      uint64 // the last index that is durable
	compactedTo uint64 // the last index before what the last compaction left
	liveRecords uint64 // at the last count
	space       space
	compaction  *compaction // nil when none is under way
	skipped     int         // urgent writes in a row without a slice of the compaction

	// mu guards the fields below; it is never held over a call to the log or to a part.
	mu          sync.Mutex
	queues      [2][]put // urgent, routine
	scrubs      []*scrub
	counters    Counters
	failure     error
	needsRepair bool
	closed      bool
}

// Open reads the log back into its parts, by the types of record they keep. A torn tail past the
// last synced record is cut; damage before it sets the whole log aside, so that the node comes back
// as a new disk. Errors are apierror.DiskNewer and DiskForeign for logs of others, and those of the
// log and the parts.
func Open(log Log, clk clock.Clock, partsByType map[uint16]Part, parts []Part) (*Journal, Report, error) {
	j := &Journal{log: log, clock: clk, partsByType: partsByType, parts: parts, wake: make(chan struct{}, 1)}
	report, err := j.restore()
	if err != nil {
		return nil, report, err
	}
	return j, report, nil
}

// Run writes until ctx ends, and then rejects what is pending. It is called once, and is the only
// writer of the log.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			j.stop()
			return
		case <-j.wake:
		}
		for j.writeRound(ctx) {
		}
	}
}

// stop rejects all that is pending.
func (j *Journal) stop() {
	j.mu.Lock()
	j.closed = true
	queues := j.queues
	j.queues = [2][]put{}
	j.mu.Unlock()
	gone := apierror.New(apierror.Stopped, "the journal was stopped")
	for _, l := range queues {
		for _, p := range l {
			p.finish(gone)
		}
	}
	j.endCompaction(gone)
	j.failScrubs(gone)
}

// Put makes records durable, then runs apply in the order of the log, then returns. When ctx ends
// first, the records may still become durable; the error is apierror.DiskFailed then,
// apierror.Stopped after Run ended, apierror.DiskFull where there is no space, else that of the
// log.
func (j *Journal) Put(ctx context.Context, urgent bool, apply func(), records ...Record) error {
	return j.enqueue(ctx, put{records: records, apply: apply, done: make(chan error, 1)}, queueOf[urgent])
}

// PutIn is Put under a lock under which the records were made from the present state. The lock is
// kept until it is known whether they stand, also where ctx ends before that: whoever has it next
// must not go by the state before them.
func (j *Journal) PutIn(ctx context.Context, t *keylock.Shared, urgent bool, apply func(), records ...Record) error {
	return j.enqueue(
		ctx, put{records: records, apply: apply, after: t.Retain(), done: make(chan error, 1)},
		queueOf[urgent],
	)
}

var queueOf = map[bool]int{true: 0, false: 1}

func (j *Journal) enqueue(ctx context.Context, p put, queue int) error {
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		p.finish(nil)
		return apierror.New(apierror.Stopped, "the journal was stopped")
	}
	j.queues[queue] = append(j.queues[queue], p)
	j.mu.Unlock()
	j.signal()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return apierror.WithCause(apierror.DiskFailed, ctx.Err(), "the disk did not answer in time")
	}
}

// signal wakes Run.
func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Counters returns the counts so far.
func (j *Journal) Counters() Counters {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counters
}

// Failure returns the last failure of the disk, nil once it works again.
func (j *Journal) Failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failure
}

// Probe checks within limit that the disk takes a write and a sync; a sync alone succeeds on a full
// disk.
func (j *Journal) Probe(ctx context.Context, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	return j.Put(ctx, true, nil, Record{Kind: recordtype.Probe, Body: make([]byte, probeBytes)})
}
