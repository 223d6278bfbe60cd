package journal

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/disk/frame"
	"postjunction/internal/keylock"
	"postjunction/internal/recordtype"
)

// Record is a record to be written.
type Record struct {
	Kind   uint16
	Epoch  uint64
	Offset uint64
	Body   []byte
}

// Part is a holder of state in the journal: it takes back records at open, tells how many of them live and, at most, how many bytes their
// bodies have, and gives the live ones in slices when the log is written anew. What puts change is seen only by the journal's own steps.
type Part interface {
	Restore(r Record) error
	LiveSize() (records int, bytes int64)
	Slices() []Slice
}

// Counters counts the journal's work.
type Counters struct {
	Records     uint64 `json:"Records"`
	Batches     uint64 `json:"Batches"`
	Compactions uint64 `json:"Compactions"`
	Failures    uint64 `json:"Failures"`
}

// Report says what was found when the journal was opened.
type Report struct {
	Records uint64
	Torn    uint64
	Damaged bool
	Cause   error
}

type put struct {
	recs  []Record
	apply func()
	after func()
	done  chan error
}

func (p put) end(err error) {
	if p.after != nil {
		p.after()
	}
	p.done <- err
}

// Journal is one log with one writer; urgent puts go first.
type Journal struct {
	log    Log
	clk    clock.Clock
	parts  map[uint16]Part
	order  []Part
	mu     sync.Mutex
	lanes  [2][]put
	wake   chan struct{}
	next   uint64
	mark   uint64
	base   uint64
	live   uint64
	closed bool
	tally  Counters
	fault  error
	doubt  bool
	room   room
	anew   *anew
	scrubs []*scrub
	passed int
}

const (
	groupBytes  = 1 << 20
	minLive     = 4096
	growth      = 4
	frameBefore = 1
)

// Open reads the log back into its parts. A torn tail past the last synced point is cut;
// damage before it sets the whole journal aside, so that the node comes back as a new disk.
func Open(log Log, clk clock.Clock, kinds map[uint16]Part, order []Part) (*Journal, Report, error) {
	j := &Journal{log: log, clk: clk, parts: kinds, order: order, wake: make(chan struct{}, 1)}
	r, err := j.load()
	if err != nil {
		return nil, r, err
	}
	return j, r, nil
}

func (j *Journal) scan() ([]frame.Frame, uint64, uint64, error) {
	first, last, err := j.log.Bounds()
	if err != nil {
		return nil, 0, 0, err
	}
	mark, bad := j.log.Synced(), uint64(0)
	var cause error
	var fs []frame.Frame
	for i := first; i <= last; i++ {
		b, err := j.log.Read(i)
		var f frame.Frame
		if err == nil {
			f, err = frame.Decode(i, b)
		}
		if err != nil {
			if apierror.HasCode(err, apierror.DiskNewer) || apierror.HasCode(err, apierror.DiskForeign) {
				return nil, 0, 0, err
			}
			if bad == 0 {
				bad, cause = i, err
			}
			continue
		}
		mark = max(mark, f.SyncedIndex)
		if bad == 0 {
			fs = append(fs, f)
		}
	}
	if bad != 0 && bad <= mark {
		return nil, bad, mark, apierror.Wrap(apierror.DiskDamaged, cause, "record %d is damaged though synced up to %d", bad, mark)
	}
	if bad == 0 && last < mark {
		return nil, last + 1, mark, apierror.New(apierror.DiskDamaged, "the log ends at %d though synced up to %d", last, mark)
	}
	return fs, bad, last, nil
}

// unfinished gives where a writing anew began that did not come to its end: power was lost in it, and what it replaces still stands before it.
func unfinished(fs []frame.Frame) int {
	at := len(fs)
	for i, f := range fs {
		switch f.Kind {
		case recordtype.CompactionBegins:
			at = i
		case recordtype.CompactionEnds:
			at = len(fs)
		}
	}
	return at
}

func (j *Journal) load() (Report, error) {
	fs, bad, last, err := j.scan()
	if apierror.HasCode(err, apierror.DiskDamaged) {
		r := Report{Damaged: true, Cause: err}
		if err := j.log.SetAside(); err != nil {
			return r, err
		}
		_, last, err := j.log.Bounds()
		j.next, j.mark, j.base = last+1, last, last
		return r, err
	}
	if err != nil {
		return Report{Cause: err}, err
	}
	if k := unfinished(fs); k < len(fs) {
		bad, fs = fs[k].Index, fs[:k]
	}
	r := Report{Records: uint64(len(fs))}
	if bad != 0 {
		r.Torn = last - bad + 1
		if err := j.log.CutBack(bad - 1); err != nil {
			return r, err
		}
		last = bad - 1
	}
	if err := j.log.Sync(); err != nil {
		return r, err
	}
	for _, f := range fs {
		p, ok := j.parts[f.Kind]
		if !ok {
			continue
		}
		if err := p.Restore(Record{Kind: f.Kind, Epoch: f.Epoch, Offset: f.Offset, Body: append([]byte(nil), f.Body...)}); err != nil {
			return r, err
		}
	}
	j.next, j.mark = last+1, last
	j.base = last - uint64(len(fs))
	for _, f := range fs {
		j.room.used += size(len(f.Body))
	}
	return r, nil
}

// Run writes until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			j.stop()
			return
		case <-j.wake:
		}
		for j.round(ctx) {
		}
	}
}

func (j *Journal) stop() {
	j.mu.Lock()
	j.closed = true
	ls := j.lanes
	j.lanes = [2][]put{}
	j.mu.Unlock()
	gone := apierror.New(apierror.Stopped, "the journal was stopped")
	for _, l := range ls {
		for _, p := range l {
			p.end(gone)
		}
	}
	j.drop(gone)
	j.quit(gone)
}

func (j *Journal) take() ([]put, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ps []put
	n, urgent := 0, false
	for k := range j.lanes {
		if len(ps) > 0 {
			break
		}
		for len(j.lanes[k]) > 0 && n < groupBytes {
			p := j.lanes[k][0]
			j.lanes[k] = j.lanes[k][1:]
			for _, r := range p.recs {
				n += len(r.Body) + frame.Size
			}
			ps = append(ps, p)
			urgent = k == 0
		}
	}
	return ps, urgent
}

func (j *Journal) round(ctx context.Context) bool {
	ps, urgent := j.take()
	if len(ps) == 0 {
		return j.aside() && ctx.Err() == nil
	}
	if ps = j.admit(ps); len(ps) == 0 {
		return ctx.Err() == nil
	}
	err := j.mend()
	if err == nil {
		rs := j.along(urgent)
		for _, p := range ps {
			rs = append(rs, p.recs...)
		}
		err = j.commit(rs)
	}
	for _, p := range ps {
		if err == nil && p.apply != nil {
			p.apply()
		}
		p.end(err)
	}
	if err == nil {
		j.end()
	}
	if err == nil && j.anew == nil && j.pays() {
		j.begin(nil)
	}
	return ctx.Err() == nil
}

// pays tells whether writing anew is worth it: what lives is counted only when it looks so.
func (j *Journal) pays() bool {
	if !j.ripe() {
		return false
	}
	j.count()
	return j.ripe()
}

func (j *Journal) count() {
	n, b := 0, int64(0)
	for _, p := range j.order {
		k, s := p.LiveSize()
		n, b = n+k, b+s
	}
	j.live, j.room.live = uint64(n), b+int64(n)*size(0)
}

func (j *Journal) ripe() bool {
	return j.next-j.base > max(minLive, growth*j.live) || j.room.grown()
}

func (j *Journal) spoil(err error) {
	j.mu.Lock()
	j.doubt, j.fault = true, err
	j.tally.Failures++
	j.mu.Unlock()
	j.drop(err)
}

func (j *Journal) mend() error {
	j.mu.Lock()
	d := j.doubt
	j.mu.Unlock()
	if !d {
		return nil
	}
	if err := j.log.Reopen(); err != nil {
		return err
	}
	_, last, err := j.log.Bounds()
	if err != nil {
		return err
	}
	if last < j.mark {
		return apierror.New(apierror.DiskDamaged, "the log ends at %d though synced up to %d", last, j.mark)
	}
	if last > j.mark {
		if err := j.log.CutBack(j.mark); err != nil {
			return err
		}
	}
	for i := j.mark; i > 0 && i+frameBefore > j.mark; i-- {
		b, err := j.log.Read(i)
		if err != nil {
			return err
		}
		if _, err := frame.Decode(i, b); err != nil {
			return err
		}
	}
	j.next = j.mark + 1
	j.mu.Lock()
	j.doubt = false
	j.mu.Unlock()
	return nil
}

func (j *Journal) commit(rs []Record) error {
	bs := make([][]byte, len(rs))
	for i, r := range rs {
		bs[i] = frame.Encode(frame.Frame{Kind: r.Kind, Index: j.next + uint64(i), SyncedIndex: j.mark, Epoch: r.Epoch, Offset: r.Offset, Body: r.Body})
	}
	if len(bs) > 0 {
		if err := j.log.Write(j.next, bs); err != nil {
			j.spoil(err)
			return err
		}
	}
	if err := j.log.Sync(); err != nil {
		j.spoil(err)
		return err
	}
	j.next += uint64(len(bs))
	j.mark = j.next - 1
	for _, b := range bs {
		j.room.used += size(len(b) - frame.Size)
	}
	j.mu.Lock()
	if !j.room.tight {
		j.fault = nil
	}
	j.tally.Records += uint64(len(bs))
	j.tally.Batches++
	j.mu.Unlock()
	return nil
}

// Put makes records durable, then runs apply in the order of the log, then returns. When ctx ends first, the records may still come to stand.
func (j *Journal) Put(ctx context.Context, urgent bool, apply func(), recs ...Record) error {
	return j.put(ctx, put{recs: recs, apply: apply, done: make(chan error, 1)}, lane[urgent])
}

// PutIn is Put in a turn in which the records were made from what stands. The turn is kept until it is settled whether they stand, also where
// ctx ends before that: whoever has the next turn must not go by what stood before them.
func (j *Journal) PutIn(ctx context.Context, t *keylock.Shared, urgent bool, apply func(), recs ...Record) error {
	return j.put(ctx, put{recs: recs, apply: apply, after: t.Retain(), done: make(chan error, 1)}, lane[urgent])
}

var lane = map[bool]int{true: 0, false: 1}

func (j *Journal) put(ctx context.Context, p put, k int) error {
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		p.end(nil)
		return apierror.New(apierror.Stopped, "the journal was stopped")
	}
	j.lanes[k] = append(j.lanes[k], p)
	j.mu.Unlock()
	j.rouse()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return apierror.WithCause(apierror.DiskFailed, ctx.Err(), "the disk did not answer in time")
	}
}

func (j *Journal) rouse() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Counters gives the counts so far.
func (j *Journal) Counters() Counters {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tally
}

// Failure gives the last failure of the disk, nil once it works again.
func (j *Journal) Failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fault
}

const probeBytes = 4096

// Probe checks that the disk takes a write and a sync; a sync alone goes through on a full disk.
func (j *Journal) Probe(ctx context.Context, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	return j.Put(ctx, true, nil, Record{Kind: recordtype.Probe, Body: make([]byte, probeBytes)})
}
