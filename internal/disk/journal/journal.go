// Package journal groups records from many writers into few syncs on one log, and compacts that log
// from the state of the parts that the records belong to.
//
// Invariants:
//   - Put returns nil only after its records were synced, and apply functions run in the order of
//     the log.
//   - Nothing that was synced is lost: a torn tail is truncated only after the last synced record,
//     a damaged log is set aside whole, and the front of the log is truncated only after a whole
//     compaction was synced.
//   - Urgent puts never share a write with routine ones.
//
// The journal owns the log; parts own their state. One goroutine, Run, does all writes, syncs and
// compactions and calls the parts. Put, PutIn, Probe and Scrub may be called by any goroutine and
// block until it answers or their context ends. The mutex is locked for short steps only, never
// during I/O.
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

// Record is a record to be written: its type, the epoch and offset that it belongs to, and its
// encoded body.
type Record struct {
	Kind   uint16
	Epoch  uint64
	Offset uint64
	Body   []byte
}

// Part is a component whose state the journal persists. It restores records at open. It reports how
// many of them are live, and an upper bound of the bytes of their bodies. It returns the live ones
// in slices when the log is compacted. The journal calls it from Open and from the goroutine of
// Run. A part learns of new records through the apply functions of their puts.
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

// Report is what was found when the journal was opened: how many records, how many torn ones were
// truncated, and whether the log was set aside as damaged, and why.
type Report struct {
	Records uint64
	Torn    uint64
	Damaged bool
	Cause   error
}

// put is the records of one writer. apply runs once they are durable, afterApply in any case.
type put struct {
	records    []Record
	apply      func()
	afterApply func()
	done       chan error
}

// finish ends the put: it runs afterApply, then passes the result to the writer.
func (p put) finish(err error) {
	if p.afterApply != nil {
		p.afterApply()
	}
	p.done <- err
}

// Journal is one log with one writer, the goroutine of Run. Fields that mu does not guard are used
// by Open and that goroutine only.
type Journal struct {
	log         Log
	clock       clock.Clock
	partsByType map[uint16]Part
	parts       []Part
	wake        chan struct{} // has room for one signal

	nextIndex   uint64 // of the next record
	synced      uint64 // the last index that is durable
	compactedTo uint64 // growth since the last compaction is counted from this index
	liveRecords uint64 // at the last count
	space       space
	compaction  *compaction // nil when none is under way
	skipped     int         // urgent writes in a row without a slice of the compaction

	// mu guards the fields below. It is never locked during a call to the log or to a part.
	mu          sync.Mutex
	queues      [2][]put // urgent, routine
	scrubs      []*scrub
	counters    Counters
	failure     error
	needsRepair bool
	closed      bool
}

// Open reads the log back into its parts, by the types of record that they store. A torn tail after
// the last synced record is truncated. Damage before it sets the whole log aside, so that the node
// starts with a new disk. Errors are apierror.DiskNewer for a log of a newer build, DiskForeign for
// one of another program, and those of the log and the parts.
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

// stop rejects all pending and further puts and scrubs.
func (j *Journal) stop() {
	j.mu.Lock()
	j.closed = true
	queues := j.queues
	j.queues = [2][]put{}
	j.mu.Unlock()
	stopped := apierror.New(apierror.Stopped, "the journal was stopped")
	for _, queue := range queues {
		for _, p := range queue {
			p.finish(stopped)
		}
	}
	j.endCompaction(stopped)
	j.failScrubs(stopped)
}

// Put makes records durable, then runs apply in the order of the log, then returns. Errors are
// apierror.DiskFailed when ctx ends first, in which case the records may still become durable,
// apierror.Stopped after Run ended, apierror.DiskFull when there is no space, and those of the log.
func (j *Journal) Put(ctx context.Context, urgent bool, apply func(), records ...Record) error {
	return j.enqueue(ctx, put{records: records, apply: apply, done: make(chan error, 1)}, queueOf[urgent])
}

// PutIn is like Put, for records that the caller made from the present state while it held lock.
// The lock stays locked until the outcome of the records is known, even if ctx ends before that:
// whoever locks it next must not rely on the state before these records.
func (j *Journal) PutIn(ctx context.Context, lock *keylock.Shared, urgent bool, apply func(), records ...Record) error {
	return j.enqueue(
		ctx, put{records: records, apply: apply, afterApply: lock.Retain(), done: make(chan error, 1)},
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

// Probe checks within limit that a write and a sync succeed. A sync alone succeeds on a full disk.
func (j *Journal) Probe(ctx context.Context, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	return j.Put(ctx, true, nil, Record{Kind: recordtype.Probe, Body: make([]byte, probeBytes)})
}
