package journal

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/disk/frame"
	"postjunction/internal/kinds"
	"postjunction/internal/problem"
)

// Rec is a record to be written.
type Rec struct {
	Kind   uint16
	Epoch  uint64
	Offset uint64
	Body   []byte
}

// Part is a holder of state in the journal: it takes back records at open and gives its live ones at compaction.
type Part interface {
	Restore(r Rec) error
	Dump() []Rec
}

// Tally counts the journal's work.
type Tally struct {
	Records, Batches, Compactions, Failures uint64
}

// Report says what was found when the journal was opened.
type Report struct {
	Records uint64
	Torn    uint64
	Damaged bool
	Cause   error
}

type put struct {
	recs  []Rec
	apply func()
	done  chan error
	scrub *scrub
}

// scrub is a reading of the whole log in slices, between which others have their turn.
type scrub struct {
	next, last      uint64
	records, rotten int
	cause           error
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
	tally  Tally
	fault  error
	doubt  bool
}

const (
	groupBytes  = 1 << 20
	scrubSlice  = 256
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
			f, err = frame.Unpack(i, b)
		}
		if err != nil {
			if problem.Has(err, problem.DiskNewer) || problem.Has(err, problem.DiskForeign) {
				return nil, 0, 0, err
			}
			if bad == 0 {
				bad, cause = i, err
			}
			continue
		}
		mark = max(mark, f.Mark)
		if bad == 0 {
			fs = append(fs, f)
		}
	}
	if bad != 0 && bad <= mark {
		return nil, bad, mark, problem.Wrap(problem.DiskDamaged, cause, "record %d is damaged though synced up to %d", bad, mark)
	}
	if bad == 0 && last < mark {
		return nil, last + 1, mark, problem.New(problem.DiskDamaged, "the log ends at %d though synced up to %d", last, mark)
	}
	return fs, bad, last, nil
}

// unfinished gives where a writing anew began that did not come to its end: power was lost in it, and what it replaces still stands before it.
func unfinished(fs []frame.Frame) int {
	at := len(fs)
	for i, f := range fs {
		switch f.Kind {
		case kinds.AnewBegins:
			at = i
		case kinds.AnewEnds:
			at = len(fs)
		}
	}
	return at
}

func (j *Journal) load() (Report, error) {
	fs, bad, last, err := j.scan()
	if problem.Has(err, problem.DiskDamaged) {
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
		if err := p.Restore(Rec{Kind: f.Kind, Epoch: f.Epoch, Offset: f.Offset, Body: append([]byte(nil), f.Body...)}); err != nil {
			return r, err
		}
	}
	j.next, j.mark = last+1, last
	j.base = last - uint64(len(fs))
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
	for _, l := range ls {
		for _, p := range l {
			p.done <- problem.New(problem.Stopped, "the journal was stopped")
		}
	}
}

func (j *Journal) take() []put {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ps []put
	n := 0
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
		}
	}
	return ps
}

func (j *Journal) round(ctx context.Context) bool {
	ps := j.take()
	if len(ps) == 0 {
		return false
	}
	err := j.mend()
	if err == nil {
		var rs []Rec
		for _, p := range ps {
			rs = append(rs, p.recs...)
		}
		err = j.commit(rs)
	}
	for _, p := range ps {
		if err == nil && p.scrub != nil {
			j.read(p)
			continue
		}
		if err == nil && p.apply != nil {
			p.apply()
		}
		p.done <- err
	}
	if err == nil && j.next-j.base > max(minLive, growth*j.live) {
		if err := j.compact(); err != nil {
			j.spoil(err)
		}
	}
	return ctx.Err() == nil
}

func (j *Journal) spoil(err error) {
	j.mu.Lock()
	j.doubt, j.fault = true, err
	j.tally.Failures++
	j.mu.Unlock()
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
		return problem.New(problem.DiskDamaged, "the log ends at %d though synced up to %d", last, j.mark)
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
		if _, err := frame.Unpack(i, b); err != nil {
			return err
		}
	}
	j.next = j.mark + 1
	j.mu.Lock()
	j.doubt = false
	j.mu.Unlock()
	return nil
}

func (j *Journal) commit(rs []Rec) error {
	bs := make([][]byte, len(rs))
	for i, r := range rs {
		bs[i] = frame.Pack(frame.Frame{Kind: r.Kind, Index: j.next + uint64(i), Mark: j.mark, Epoch: r.Epoch, Offset: r.Offset, Body: r.Body})
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
	j.mu.Lock()
	j.fault = nil
	j.tally.Records += uint64(len(bs))
	j.tally.Batches++
	j.mu.Unlock()
	return nil
}

func (j *Journal) compact() error {
	from := j.next
	rs := []Rec{{Kind: kinds.AnewBegins}}
	for _, p := range j.order {
		rs = append(rs, p.Dump()...)
	}
	rs = append(rs, Rec{Kind: kinds.AnewEnds})
	if err := j.commit(rs); err != nil {
		return err
	}
	if err := j.log.CutFront(from); err != nil {
		return err
	}
	j.base, j.live = from-1, uint64(len(rs))
	j.mu.Lock()
	j.tally.Compactions++
	j.mu.Unlock()
	return nil
}

// Put makes records durable, then runs apply in the order of the log, then returns.
func (j *Journal) Put(ctx context.Context, urgent bool, apply func(), recs ...Rec) error {
	k := 1
	if urgent {
		k = 0
	}
	return j.put(ctx, put{recs: recs, apply: apply, done: make(chan error, 1)}, k)
}

func (j *Journal) put(ctx context.Context, p put, k int) error {
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		return problem.New(problem.Stopped, "the journal was stopped")
	}
	j.lanes[k] = append(j.lanes[k], p)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return problem.Because(problem.DiskFailed, ctx.Err(), "the disk did not answer in time")
	}
}

func (j *Journal) read(p put) {
	first, last, err := j.log.Bounds()
	if err != nil {
		p.done <- err
		return
	}
	c := p.scrub
	if c.last == 0 {
		c.last = last
	}
	c.next = max(c.next, first)
	for end := min(c.next+scrubSlice, c.last+1); c.next < end; c.next++ {
		b, err := j.log.Read(c.next)
		if err == nil {
			_, err = frame.Unpack(c.next, b)
		}
		if err != nil {
			c.rotten++
			c.cause = err
		}
		c.records++
	}
	if c.next <= c.last {
		j.mu.Lock()
		j.lanes[1] = append(j.lanes[1], p)
		j.mu.Unlock()
		return
	}
	if c.cause != nil {
		if err := j.compact(); err != nil {
			j.spoil(err)
			c.cause = err
		}
	}
	p.done <- c.cause
}

// Scrub reads the whole log through, a slice at a time, and, when a record is damaged, writes all live ones anew from memory.
func (j *Journal) Scrub(ctx context.Context) (records, damaged int, cause error) {
	c := &scrub{}
	err := j.put(ctx, put{scrub: c, done: make(chan error, 1)}, 1)
	if ctx.Err() != nil {
		return 0, 0, err
	}
	return c.records, c.rotten, err
}

// Tally gives the counts so far.
func (j *Journal) Tally() Tally {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tally
}

// Fault gives the last failure of the disk, nil once it works again.
func (j *Journal) Fault() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fault
}

const probeBytes = 4096

// Probe checks that the disk takes a write and a sync; a sync alone goes through on a full disk.
func (j *Journal) Probe(ctx context.Context, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	return j.Put(ctx, true, nil, Rec{Kind: kinds.Probe, Body: make([]byte, probeBytes)})
}
