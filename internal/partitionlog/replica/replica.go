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

// Replica is the store of one disk. mu guards the fields below it; it is held for look-ups only,
// never over the journal. Changes of a partition are made one after another, under its lock of
// locks, and become visible once they are durable.
type Replica struct {
	incarnation string
	journal     *journal.Journal
	clock       clock.Clock
	locks       *keylock.Locks
	mu          sync.Mutex
	logs        map[log.ID]*log.Log
	seals       map[int]uint64
	snapshots   map[int]Snapshot
	rejected    uint64
}

// Snapshot is the state of a partition: materialised state at a point of the changelog.
type Snapshot struct {
	Partition int             `json:"p"`
	At        log.Position    `json:"at"`
	Input     uint64          `json:"input"`
	State     json.RawMessage `json:"state"`
}

const (
	lockShards      = 512
	fetchBytes      = 1 << 20
	maxFetchEntries = 4096
)

// New makes an empty store.
func New(c clock.Clock) *Replica {
	return &Replica{
		clock: c, locks: keylock.New(lockShards), logs: map[log.ID]*log.Log{},
		seals: map[int]uint64{}, snapshots: map[int]Snapshot{},
	}
}

// Start gives the store its disk.
func (r *Replica) Start(incarnation string, j *journal.Journal) {
	r.incarnation, r.journal = incarnation, j
}

// Incarnation is the random name of the disk.
func (r *Replica) Incarnation() string { return r.incarnation }

// Log returns a log, made empty if there is none.
func (r *Replica) Log(partition int, kind log.Kind) *log.Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logOf(log.ID{Partition: partition, Kind: kind})
}

func (r *Replica) logOf(id log.ID) *log.Log {
	l, ok := r.logs[id]
	if !ok {
		l = log.New()
		r.logs[id] = l
	}
	return l
}

// Sealed returns the epoch below which a partition rejects leaders.
func (r *Replica) Sealed(partition int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seals[partition]
}

// Partitions returns those that have entries here, sorted.
func (r *Replica) Partitions() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[int]bool{}
	for id, l := range r.logs {
		if l.Last().Offset > 0 {
			m[id.Partition] = true
		}
	}
	var ps []int
	for partition := range m {
		ps = append(ps, partition)
	}
	sort.Ints(ps)
	return ps
}

// Rejected returns how many calls were rejected for a lower epoch.
func (r *Replica) Rejected() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

type sealRecord struct {
	Partition int    `json:"p"`
	Epoch     uint64 `json:"e"`
}

type entryRecord struct {
	ID log.ID `json:"id"`
	log.Entry
}

type baseRecord struct {
	ID    log.ID       `json:"id"`
	Base  log.Position `json:"base"`
	Fresh bool         `json:"fresh,omitempty"`
	// Compacted comes before a slice of the log: one that does not hold the base is begun there.
	Compacted bool `json:"anew,omitempty"`
}

type truncationRecord struct {
	ID    log.ID `json:"id"`
	After uint64 `json:"cut"`
}

func newRecord(recordType uint16, epoch, offset uint64, body any) journal.Record {
	b, _ := wire.Marshal(body)
	return journal.Record{Kind: recordType, Epoch: epoch, Offset: offset, Body: b}
}

// decodeBody takes a body of this format, or of the first one, which was JSON.
func decodeBody(b []byte, into any) error {
	if len(b) > 0 && b[0] == '{' {
		return json.Unmarshal(b, into)
	}
	return wire.Unmarshal(b, into)
}

var restore = map[uint16]func(*Replica, []byte) error{
	recordtype.Seal: func(r *Replica, b []byte) error {
		var s sealRecord
		err := decodeBody(b, &s)
		r.seals[s.Partition] = max(s.Epoch, r.seals[s.Partition])
		return err
	},
	recordtype.Entry: func(r *Replica, b []byte) error {
		var s entryRecord
		err := decodeBody(b, &s)
		r.logOf(s.ID).Append(r.clock.Now(), s.Entry)
		return err
	},
	recordtype.Base: func(r *Replica, b []byte) error {
		var s baseRecord
		err := decodeBody(b, &s)
		if s.Fresh {
			r.logs[s.ID] = log.New()
		}
		if p, ok := r.logOf(s.ID).Position(s.Base.Offset); s.Compacted && (!ok || p != s.Base) {
			r.logs[s.ID] = log.New()
		}
		r.logOf(s.ID).TrimTo(s.Base)
		return err
	},
	recordtype.Truncation: func(r *Replica, b []byte) error {
		var s truncationRecord
		err := decodeBody(b, &s)
		r.logOf(s.ID).TruncateAfter(s.After)
		return err
	},
	recordtype.Snapshot: func(r *Replica, b []byte) error {
		var s Snapshot
		err := decodeBody(b, &s)
		r.snapshots[s.Partition] = s
		return err
	},
	recordtype.Forget: func(r *Replica, b []byte) error {
		var s sealRecord
		err := decodeBody(b, &s)
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

// Restore restores a record.
func (r *Replica) Restore(x journal.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return apierror.Wrap(apierror.DiskDamaged, restore[x.Kind](r, x.Body), "read a record of kind %d", x.Kind)
}

func (r *Replica) forget(partition int) {
	for _, kind := range log.Kinds {
		delete(r.logs, log.ID{Partition: partition, Kind: kind})
	}
	delete(r.snapshots, partition)
}

const recordOverhead = 160

// LiveSize counts the live records; their bytes are put high.
func (r *Replica) LiveSize() (int, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, b := len(r.seals)+len(r.logs)+len(r.snapshots), int64(0)
	for _, l := range r.logs {
		entries, bytes := l.Size()
		n, b = n+entries, b+bytes
	}
	for _, d := range r.snapshots {
		b += int64(len(d.State))
	}
	return n, b + int64(n)*recordOverhead
}

const (
	sliceEntries = 64
	sliceBytes   = 64 << 10
)

// Slices returns the live records: the seals, each log in slices of its own, and each snapshot.
func (r *Replica) Slices() []journal.Slice {
	r.mu.Lock()
	defer r.mu.Unlock()
	ss := journal.EncodeAll(r.dumpSeals)
	ids := make([]log.ID, 0, len(r.logs))
	for id := range r.logs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool {
		a, b := ids[i], ids[k]
		return a.Partition < b.Partition || a.Partition == b.Partition && a.Kind < b.Kind
	})
	for _, id := range ids {
		ss = append(ss, r.logSlice(id))
	}
	for partition := range r.snapshots {
		ss = append(ss, journal.EncodeAll(func() []journal.Record { return r.dumpSnapshot(partition) })...)
	}
	return ss
}

func (r *Replica) dumpSeals() []journal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []journal.Record
	for partition, e := range r.seals {
		records = append(records, newRecord(recordtype.Seal, e, 0, sealRecord{partition, e}))
	}
	return records
}

func (r *Replica) dumpSnapshot(partition int) []journal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.snapshots[partition]
	if !ok {
		return nil
	}
	return []journal.Record{newRecord(recordtype.Snapshot, d.At.Epoch, d.At.Offset, d)}
}

// logSlice goes through a line from its base to its end. What is put meanwhile at or before the
// place reached counts by itself when the log is read from where the writing anew began; what is
// put after it is passed over there, and comes with a later slice.
func (r *Replica) logSlice(id log.ID) journal.Slice {
	next := uint64(0)
	return func() ([]journal.Record, bool) {
		r.mu.Lock()
		l, ok := r.logs[id]
		r.mu.Unlock()
		if !ok || l.Last() == (log.Position{}) {
			return nil, false
		}
		b := l.Base()
		records := []journal.Record{
			newRecord(recordtype.Base, b.Epoch, b.Offset, baseRecord{ID: id, Base: b, Compacted: true}),
		}
		next = max(next, b.Offset+1)
		for _, e := range l.Slice(next, ^uint64(0), sliceEntries, sliceBytes) {
			records = append(records, newRecord(recordtype.Entry, e.Epoch, e.Offset, entryRecord{id, e}))
			next = e.Offset + 1
		}
		return records, next <= l.Last().Offset
	}
}

func (r *Replica) tail(partition int, kind log.Kind) Tail {
	l := r.Log(partition, kind)
	return Tail{Base: l.Base(), Last: l.Last(), Commit: l.Commit()}
}

func (r *Replica) checkEpoch(t Target) error {
	if t.Incarnation != r.incarnation {
		return apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, t.Incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.seals[t.Partition]; t.Epoch < s {
		r.rejected++
		return apierror.New(
			apierror.StaleEpoch, "partition %d is sealed at epoch %d, the call is under %d",
			t.Partition, s, t.Epoch,
		).WithCurrent(s)
	}
	return nil
}

// CheckEpoch checks whether a target's epoch is still the highest on this disk, under its own name.
func (r *Replica) CheckEpoch(t Target) error { return r.checkEpoch(t) }

func (r *Replica) lockPartition(ctx context.Context, t Target) (*keylock.Shared, error) {
	back, err := r.locks.LockNumber(ctx, t.Partition)
	if err != nil {
		return nil, err
	}
	if err := r.checkEpoch(t); err != nil {
		back()
		return nil, err
	}
	return keylock.Share(back), nil
}

// Seal rejects lower epochs from now on; it answers once that is synced.
func (r *Replica) Seal(ctx context.Context, request *SealRequest) (*SealResponse, error) {
	in, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	if r.Sealed(request.Partition) < request.Epoch {
		if err := r.journal.PutIn(
			ctx, in, request.Urgent, func() { r.setSeal(request.Partition, request.Epoch) },
			newRecord(recordtype.Seal, request.Epoch, 0, sealRecord{request.Partition, request.Epoch}),
		); err != nil {
			return nil, err
		}
	}
	a := &SealResponse{Tails: map[log.Kind]Tail{}}
	for _, kind := range log.Kinds {
		a.Tails[kind] = r.tail(request.Partition, kind)
	}
	return a, nil
}

func (r *Replica) setSeal(partition int, e uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seals[partition] = max(r.seals[partition], e)
}

// Append extends a log and answers once that is synced, after checking the epoch, the disk and the
// position.
func (r *Replica) Append(ctx context.Context, request *AppendRequest) (*AppendResponse, error) {
	in, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	id := log.ID{Partition: request.Partition, Kind: request.Kind}
	l := r.Log(request.Partition, request.Kind)
	if !request.Reset {
		if position, ok := l.Position(request.After.Offset); !ok || position != request.After {
			return &AppendResponse{Tail: r.tail(request.Partition, request.Kind)}, nil
		}
	}
	var records []journal.Record
	if r.Sealed(request.Partition) < request.Epoch {
		records = append(
			records,
			newRecord(recordtype.Seal, request.Epoch, 0, sealRecord{request.Partition, request.Epoch}),
		)
	}
	if request.Reset {
		records = append(
			records,
			newRecord(
				recordtype.Base, request.After.Epoch, request.After.Offset,
				baseRecord{ID: id, Base: request.After, Fresh: true},
			),
		)
	}
	at := request.After
	var fresh []log.Entry
	for _, e := range request.Entries {
		if !e.Valid(at) {
			return nil, apierror.New(apierror.LogMismatch, "entry %d does not follow %d soundly", e.Offset, at.Offset)
		}
		at = e.Position()
		if position, ok := l.Position(e.Offset); !request.Reset && ok && position == at {
			continue
		}
		fresh = append(fresh, e)
		records = append(records, newRecord(recordtype.Entry, e.Epoch, e.Offset, entryRecord{id, e}))
	}
	trim := log.Position{}
	if position, ok := l.Position(request.Base.Offset); ok && position == request.Base &&
		request.Base.Offset > l.Base().Offset {
		trim = request.Base
		records = append(records, newRecord(recordtype.Base, trim.Epoch, trim.Offset, baseRecord{ID: id, Base: trim}))
	}
	if len(records) > 0 {
		err := r.journal.PutIn(ctx, in, request.Urgent, func() {
			r.setSeal(request.Partition, request.Epoch)
			if request.Reset {
				n := log.New()
				n.TrimTo(request.After)
				r.mu.Lock()
				r.logs[id] = n
				r.mu.Unlock()
				l = n
			}
			l.Append(r.clock.Now(), fresh...)
			if trim.Offset > 0 {
				l.TrimTo(trim)
			}
		}, records...)
		if err != nil {
			return nil, err
		}
	}
	l.SetCommit(min(request.Commit, at.Offset))
	return &AppendResponse{Matched: true, Tail: Tail{Base: l.Base(), Last: at, Commit: l.Commit()}}, nil
}

// TruncateAfter drops what follows an offset, when a tail adopted under the target's epoch differs.
func (r *Replica) TruncateAfter(ctx context.Context, t Target, kind log.Kind, o uint64, urgent bool) error {
	in, err := r.lockPartition(ctx, t)
	if err != nil {
		return err
	}
	defer in.Release()
	id := log.ID{Partition: t.Partition, Kind: kind}
	return r.journal.PutIn(
		ctx, in, urgent, func() { r.Log(t.Partition, kind).TruncateAfter(o) },
		newRecord(recordtype.Truncation, t.Epoch, o, truncationRecord{id, o}),
	)
}

// Fetch reads entries.
func (r *Replica) Fetch(_ context.Context, request *FetchRequest) (*FetchResponse, error) {
	if request.Incarnation != r.incarnation {
		return nil, apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, request.Incarnation)
	}
	l := r.Log(request.Partition, request.Kind)
	a := &FetchResponse{Tail: r.tail(request.Partition, request.Kind)}
	if request.From > 0 {
		a.Before, _ = l.Position(request.From - 1)
	}
	a.Entries = l.Slice(request.From, ^uint64(0), min(request.Limit, maxFetchEntries), fetchBytes)
	return a, nil
}

// Drop forgets a partition that the record, at an epoch above the sealed one, no longer places
// here.
func (r *Replica) Drop(ctx context.Context, request *DropRequest) (*Empty, error) {
	in, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	return &Empty{}, r.journal.PutIn(ctx, in, false, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seals[request.Partition] = max(r.seals[request.Partition], request.Epoch)
		r.forget(request.Partition)
	}, newRecord(recordtype.Seal, request.Epoch, 0, sealRecord{request.Partition, request.Epoch}), newRecord(
		recordtype.Forget, request.Epoch, 0, sealRecord{request.Partition, request.Epoch},
	))
}

// SaveSnapshot saves the state of a partition.
func (r *Replica) SaveSnapshot(ctx context.Context, d Snapshot) error {
	return r.journal.Put(ctx, false, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.snapshots[d.Partition] = d
	}, newRecord(recordtype.Snapshot, d.At.Epoch, d.At.Offset, d))
}

// Snapshot returns the saved state of a partition, and whether there is one whose position is on
// the changelog here.
func (r *Replica) Snapshot(partition int) (Snapshot, bool) {
	r.mu.Lock()
	d, ok := r.snapshots[partition]
	r.mu.Unlock()
	if !ok {
		return d, false
	}
	at, ok := r.Log(partition, log.KindChangelog).Position(d.At.Offset)
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
