package replica

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/keylock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
	"postjunction/internal/wire"
)

// Replica is the store of one disk.
type Replica struct {
	incarnation string
	journal     *journal.Journal
	clk         clock.Clock
	turns       *keylock.Locks
	mu          sync.Mutex
	lines       map[log.ID]*log.Log
	seals       map[int]uint64
	states      map[int]Snapshot
	turned      uint64
}

// Snapshot is a partition's state directory: the materialised state at a point of the changelog.
type Snapshot struct {
	Partition int             `json:"p"`
	At        log.Position    `json:"at"`
	Input     uint64          `json:"input"`
	State     json.RawMessage `json:"state"`
}

const (
	turnShards = 512
	sliceBytes = 1 << 20
	sliceMost  = 4096
)

// New makes an empty store.
func New(c clock.Clock) *Replica {
	return &Replica{clk: c, turns: keylock.New(turnShards), lines: map[log.ID]*log.Log{}, seals: map[int]uint64{}, states: map[int]Snapshot{}}
}

// Start gives the store its disk.
func (r *Replica) Start(inc string, j *journal.Journal) { r.incarnation, r.journal = inc, j }

// Incarnation is the random name of the disk.
func (r *Replica) Incarnation() string { return r.incarnation }

// Log gives a line, made empty if need be.
func (r *Replica) Log(p int, k log.Kind) *log.Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line(log.ID{Partition: p, Kind: k})
}

func (r *Replica) line(id log.ID) *log.Log {
	l, ok := r.lines[id]
	if !ok {
		l = log.New()
		r.lines[id] = l
	}
	return l
}

// Sealed gives the epoch below which a partition turns owners away.
func (r *Replica) Sealed(p int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seals[p]
}

// Partitions lists those of which something is held.
func (r *Replica) Partitions() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[int]bool{}
	for id, l := range r.lines {
		if l.Last().Offset > 0 {
			m[id.Partition] = true
		}
	}
	var ps []int
	for p := range m {
		ps = append(ps, p)
	}
	sort.Ints(ps)
	return ps
}

// Rejected counts appends and seals that were turned away for a lower epoch.
func (r *Replica) Rejected() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turned
}

type sealRec struct {
	Partition int    `json:"p"`
	Epoch     uint64 `json:"e"`
}

type entryRec struct {
	ID log.ID `json:"id"`
	log.Entry
}

type baseRec struct {
	ID    log.ID       `json:"id"`
	Base  log.Position `json:"base"`
	Fresh bool         `json:"fresh,omitempty"`
	// Anew comes before a slice of the line: one that does not hold the base is begun there.
	Anew bool `json:"anew,omitempty"`
}

type cutRec struct {
	ID  log.ID `json:"id"`
	Cut uint64 `json:"cut"`
}

func rec(k uint16, e, o uint64, x any) journal.Record {
	b, _ := wire.Marshal(x)
	return journal.Record{Kind: k, Epoch: e, Offset: o, Body: b}
}

// read takes a body of this format, or of the first one, which was JSON.
func read(b []byte, x any) error {
	if len(b) > 0 && b[0] == '{' {
		return json.Unmarshal(b, x)
	}
	return wire.Unmarshal(b, x)
}

var restore = map[uint16]func(*Replica, []byte) error{
	recordtype.Seal: func(r *Replica, b []byte) error {
		var s sealRec
		err := read(b, &s)
		r.seals[s.Partition] = max(s.Epoch, r.seals[s.Partition])
		return err
	},
	recordtype.Entry: func(r *Replica, b []byte) error {
		var s entryRec
		err := read(b, &s)
		r.line(s.ID).Append(r.clk.Now(), s.Entry)
		return err
	},
	recordtype.Base: func(r *Replica, b []byte) error {
		var s baseRec
		err := read(b, &s)
		if s.Fresh {
			r.lines[s.ID] = log.New()
		}
		if p, ok := r.line(s.ID).Position(s.Base.Offset); s.Anew && (!ok || p != s.Base) {
			r.lines[s.ID] = log.New()
		}
		r.line(s.ID).TrimTo(s.Base)
		return err
	},
	recordtype.Truncation: func(r *Replica, b []byte) error {
		var s cutRec
		err := read(b, &s)
		r.line(s.ID).TruncateAfter(s.Cut)
		return err
	},
	recordtype.Snapshot: func(r *Replica, b []byte) error {
		var s Snapshot
		err := read(b, &s)
		r.states[s.Partition] = s
		return err
	},
	recordtype.Forget: func(r *Replica, b []byte) error {
		var s sealRec
		err := read(b, &s)
		r.forget(s.Partition)
		return err
	},
}

// RecordTypes lists the records that the store keeps.
func RecordTypes() []uint16 {
	var ks []uint16
	for k := range restore {
		ks = append(ks, k)
	}
	return ks
}

// Restore takes back a record.
func (r *Replica) Restore(x journal.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return apierror.Wrap(apierror.DiskDamaged, restore[x.Kind](r, x.Body), "read a record of kind %d", x.Kind)
}

func (r *Replica) forget(p int) {
	for _, k := range log.Kinds {
		delete(r.lines, log.ID{Partition: p, Kind: k})
	}
	delete(r.states, p)
}

const recordCost = 160

// LiveSize counts the live records; their bytes are put high.
func (r *Replica) LiveSize() (int, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, b := len(r.seals)+len(r.lines)+len(r.states), int64(0)
	for _, l := range r.lines {
		k, s := l.Size()
		n, b = n+k, b+s
	}
	for _, d := range r.states {
		b += int64(len(d.State))
	}
	return n, b + int64(n)*recordCost
}

const (
	anewMost  = 64
	anewBytes = 64 << 10
)

// Slices gives the live records: the seals, each line in slices of its own, and each directory.
func (r *Replica) Slices() []journal.Slice {
	r.mu.Lock()
	defer r.mu.Unlock()
	ss := journal.EncodeAll(r.dumpSeals)
	ids := make([]log.ID, 0, len(r.lines))
	for id := range r.lines {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool {
		a, b := ids[i], ids[k]
		return a.Partition < b.Partition || a.Partition == b.Partition && a.Kind < b.Kind
	})
	for _, id := range ids {
		ss = append(ss, r.slice(id))
	}
	for p := range r.states {
		ss = append(ss, journal.EncodeAll(func() []journal.Record { return r.dumpDirectory(p) })...)
	}
	return ss
}

func (r *Replica) dumpSeals() []journal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rs []journal.Record
	for p, e := range r.seals {
		rs = append(rs, rec(recordtype.Seal, e, 0, sealRec{p, e}))
	}
	return rs
}

func (r *Replica) dumpDirectory(p int) []journal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.states[p]
	if !ok {
		return nil
	}
	return []journal.Record{rec(recordtype.Snapshot, d.At.Epoch, d.At.Offset, d)}
}

// slice goes through a line from its base to its end. What is put meanwhile at or before the place reached counts by itself when the log is
// read from where the writing anew began; what is put after it is passed over there, and comes with a later slice.
func (r *Replica) slice(id log.ID) journal.Slice {
	next := uint64(0)
	return func() ([]journal.Record, bool) {
		r.mu.Lock()
		l, ok := r.lines[id]
		r.mu.Unlock()
		if !ok || l.Last() == (log.Position{}) {
			return nil, false
		}
		b := l.Base()
		rs := []journal.Record{rec(recordtype.Base, b.Epoch, b.Offset, baseRec{ID: id, Base: b, Anew: true})}
		next = max(next, b.Offset+1)
		for _, e := range l.Slice(next, ^uint64(0), anewMost, anewBytes) {
			rs = append(rs, rec(recordtype.Entry, e.Epoch, e.Offset, entryRec{id, e}))
			next = e.Offset + 1
		}
		return rs, next <= l.Last().Offset
	}
}

func (r *Replica) tail(p int, k log.Kind) Tail {
	l := r.Log(p, k)
	return Tail{Base: l.Base(), Last: l.Last(), Commit: l.Commit()}
}

func (r *Replica) fence(t Target) error {
	if t.Incarnation != r.incarnation {
		return apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, t.Incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.seals[t.Partition]; t.Epoch < s {
		r.turned++
		return apierror.New(apierror.StaleEpoch, "partition %d is sealed at epoch %d, the call is under %d", t.Partition, s, t.Epoch).WithCurrent(s)
	}
	return nil
}

// CheckEpoch tells whether a target's epoch is still the highest on this disk, under its own name.
func (r *Replica) CheckEpoch(t Target) error { return r.fence(t) }

func (r *Replica) enter(ctx context.Context, t Target) (*keylock.Shared, error) {
	back, err := r.turns.LockNumber(ctx, t.Partition)
	if err != nil {
		return nil, err
	}
	if err := r.fence(t); err != nil {
		back()
		return nil, err
	}
	return keylock.Share(back), nil
}

// Seal turns lower epochs away from now on; it answers once that is synced.
func (r *Replica) Seal(ctx context.Context, q *SealRequest) (*SealResponse, error) {
	in, err := r.enter(ctx, q.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	if r.Sealed(q.Partition) < q.Epoch {
		if err := r.journal.PutIn(ctx, in, q.Urgent, func() { r.setSeal(q.Partition, q.Epoch) }, rec(recordtype.Seal, q.Epoch, 0, sealRec{q.Partition, q.Epoch})); err != nil {
			return nil, err
		}
	}
	a := &SealResponse{Tails: map[log.Kind]Tail{}}
	for _, k := range log.Kinds {
		a.Tails[k] = r.tail(q.Partition, k)
	}
	return a, nil
}

func (r *Replica) setSeal(p int, e uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seals[p] = max(r.seals[p], e)
}

// Append extends a line once it is synced, after checking the epoch, the disk and the place.
func (r *Replica) Append(ctx context.Context, q *AppendRequest) (*AppendResponse, error) {
	in, err := r.enter(ctx, q.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	id := log.ID{Partition: q.Partition, Kind: q.Kind}
	l := r.Log(q.Partition, q.Kind)
	if !q.Reset {
		if p, ok := l.Position(q.After.Offset); !ok || p != q.After {
			return &AppendResponse{Tail: r.tail(q.Partition, q.Kind)}, nil
		}
	}
	var rs []journal.Record
	if r.Sealed(q.Partition) < q.Epoch {
		rs = append(rs, rec(recordtype.Seal, q.Epoch, 0, sealRec{q.Partition, q.Epoch}))
	}
	if q.Reset {
		rs = append(rs, rec(recordtype.Base, q.After.Epoch, q.After.Offset, baseRec{ID: id, Base: q.After, Fresh: true}))
	}
	at := q.After
	var fresh []log.Entry
	for _, e := range q.Entries {
		if !e.Valid(at) {
			return nil, apierror.New(apierror.LogMismatch, "entry %d does not follow %d soundly", e.Offset, at.Offset)
		}
		at = e.Position()
		if p, ok := l.Position(e.Offset); !q.Reset && ok && p == at {
			continue
		}
		fresh = append(fresh, e)
		rs = append(rs, rec(recordtype.Entry, e.Epoch, e.Offset, entryRec{id, e}))
	}
	trim := log.Position{}
	if p, ok := l.Position(q.Base.Offset); ok && p == q.Base && q.Base.Offset > l.Base().Offset {
		trim = q.Base
		rs = append(rs, rec(recordtype.Base, trim.Epoch, trim.Offset, baseRec{ID: id, Base: trim}))
	}
	if len(rs) > 0 {
		err := r.journal.PutIn(ctx, in, q.Urgent, func() {
			r.setSeal(q.Partition, q.Epoch)
			if q.Reset {
				n := log.New()
				n.TrimTo(q.After)
				r.mu.Lock()
				r.lines[id] = n
				r.mu.Unlock()
				l = n
			}
			l.Append(r.clk.Now(), fresh...)
			if trim.Offset > 0 {
				l.TrimTo(trim)
			}
		}, rs...)
		if err != nil {
			return nil, err
		}
	}
	l.SetCommit(min(q.Commit, at.Offset))
	return &AppendResponse{Matched: true, Tail: Tail{Base: l.Base(), Last: at, Commit: l.Commit()}}, nil
}

// TruncateAfter drops what follows an offset, when a tail adopted under the target's epoch differs.
func (r *Replica) TruncateAfter(ctx context.Context, t Target, k log.Kind, o uint64, urgent bool) error {
	in, err := r.enter(ctx, t)
	if err != nil {
		return err
	}
	defer in.Release()
	id := log.ID{Partition: t.Partition, Kind: k}
	return r.journal.PutIn(ctx, in, urgent, func() { r.Log(t.Partition, k).TruncateAfter(o) }, rec(recordtype.Truncation, t.Epoch, o, cutRec{id, o}))
}

// Fetch reads entries.
func (r *Replica) Fetch(_ context.Context, q *FetchRequest) (*FetchResponse, error) {
	if q.Incarnation != r.incarnation {
		return nil, apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, q.Incarnation)
	}
	l := r.Log(q.Partition, q.Kind)
	a := &FetchResponse{Tail: r.tail(q.Partition, q.Kind)}
	if q.From > 0 {
		a.Before, _ = l.Position(q.From - 1)
	}
	a.Entries = l.Slice(q.From, ^uint64(0), min(q.Limit, sliceMost), sliceBytes)
	return a, nil
}

// Drop forgets a partition that the record, at an epoch above the sealed one, no longer places here.
func (r *Replica) Drop(ctx context.Context, q *DropRequest) (*Empty, error) {
	in, err := r.enter(ctx, q.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	return &Empty{}, r.journal.PutIn(ctx, in, false, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seals[q.Partition] = max(r.seals[q.Partition], q.Epoch)
		r.forget(q.Partition)
	}, rec(recordtype.Seal, q.Epoch, 0, sealRec{q.Partition, q.Epoch}), rec(recordtype.Forget, q.Epoch, 0, sealRec{q.Partition, q.Epoch}))
}

// SaveSnapshot saves a state directory.
func (r *Replica) SaveSnapshot(ctx context.Context, d Snapshot) error {
	return r.journal.Put(ctx, false, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.states[d.Partition] = d
	}, rec(recordtype.Snapshot, d.At.Epoch, d.At.Offset, d))
}

// Snapshot gives the state directory of a partition if its point is on the changelog held.
func (r *Replica) Snapshot(p int) (Snapshot, bool) {
	r.mu.Lock()
	d, ok := r.states[p]
	r.mu.Unlock()
	if !ok {
		return d, false
	}
	at, ok := r.Log(p, log.KindChangelog).Position(d.At.Offset)
	return d, ok && at == d.At
}

// Serve adds the store's calls.
func (r *Replica) Serve(m *http.ServeMux) {
	Seal.Handle(m, r.Seal)
	Append.Handle(m, r.Append)
	CompareIdle.Handle(m, r.CompareIdle)
	Fetch.Handle(m, r.Fetch)
	Drop.Handle(m, r.Drop)
}
