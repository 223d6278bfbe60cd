package acceptor

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/control/voters"
	"postjunction/internal/disk/journal"
	"postjunction/internal/keylock"
	"postjunction/internal/recordtype"
)

// Acceptor keeps promises on one disk.
type Acceptor struct {
	incarnation string
	journal     *journal.Journal
	turns       *keylock.Locks
	mu          sync.Mutex
	slots       map[string]Slot
	roster      voters.Set
	founding    *voters.Set
	sealing     chan struct{}
	agree       func(voters.Set) error
	opened      func(voters.Set)
}

const turnShards = 8

// New makes a voter that has promised nothing.
func New() *Acceptor {
	return &Acceptor{slots: map[string]Slot{}, turns: keylock.New(turnShards), sealing: make(chan struct{})}
}

// Start gives the voter its disk, its check of foundings, and whom to tell of a new roster.
func (v *Acceptor) Start(incarnation string, j *journal.Journal, agree func(voters.Set) error, opened func(voters.Set)) {
	v.incarnation, v.journal, v.agree, v.opened = incarnation, j, agree, opened
}

type slotRec struct {
	Key  string `json:"key"`
	Slot Slot   `json:"slot"`
}

type rosterRec struct {
	Roster   voters.Set  `json:"roster"`
	Founding *voters.Set `json:"founding,omitempty"`
	Clear    bool        `json:"clear,omitempty"`
}

// Restore takes back a record.
func (v *Acceptor) Restore(r journal.Record) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Kind == recordtype.Slot {
		var s slotRec
		if err := json.Unmarshal(r.Body, &s); err != nil {
			return apierror.Wrap(apierror.DiskDamaged, err, "read a slot")
		}
		v.slots[s.Key] = s.Slot
		return nil
	}
	var s rosterRec
	if err := json.Unmarshal(r.Body, &s); err != nil {
		return apierror.Wrap(apierror.DiskDamaged, err, "read a roster")
	}
	v.roster, v.founding = s.Roster, s.Founding
	if s.Clear {
		v.slots = map[string]Slot{}
	}
	return nil
}

// LiveSize counts the live records.
func (v *Acceptor) LiveSize() (int, int64) {
	rs := v.dump()
	n := int64(0)
	for _, r := range rs {
		n += int64(len(r.Body))
	}
	return len(rs), n
}

// Slices gives the live records: the roster clears the slots that stand before them, so that they are one slice.
func (v *Acceptor) Slices() []journal.Slice { return journal.EncodeAll(v.dump) }

func (v *Acceptor) dump() []journal.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	rs := []journal.Record{rec(recordtype.Roster, rosterRec{Roster: v.roster, Founding: v.founding, Clear: true})}
	for k, s := range v.slots {
		rs = append(rs, rec(recordtype.Slot, slotRec{Key: k, Slot: s}))
	}
	return rs
}

func rec(k uint16, x any) journal.Record {
	b, _ := json.Marshal(x)
	return journal.Record{Kind: k, Body: b}
}

// VoterSet gives the roster that this voter is under; its sequence is 0 before founding.
func (v *Acceptor) VoterSet() voters.Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster
}

// Sealed gives the sequence of the roster that is sealed here and waits for the next one to be opened, 0 when none does.
func (v *Acceptor) Sealed() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.sealed() {
		return 0
	}
	return v.roster.Sequence
}

// Sealing gives what is closed when a roster is sealed here.
func (v *Acceptor) Sealing() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sealing
}

func (v *Acceptor) disk(inc string) error {
	if inc != v.incarnation {
		return apierror.New(apierror.WrongDisk, "this disk is %s, not %s", v.incarnation, inc)
	}
	return nil
}

func (v *Acceptor) view(b Target) (Slot, error) {
	if err := v.disk(b.Incarnation); err != nil {
		return Slot{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.roster.Sequence != b.VoterSet || b.VoterSet == 0 {
		return Slot{}, apierror.New(apierror.StaleVoterSet, "the ballot is under roster %d, this voter under %d", b.VoterSet, v.roster.Sequence).WithCurrent(v.roster.Sequence)
	}
	if v.sealed() && b.Key != VoterSetKey {
		return Slot{}, apierror.New(apierror.StaleVoterSet, "roster %d is sealed", v.roster.Sequence).WithCurrent(v.roster.Sequence)
	}
	return v.slots[b.Key], nil
}

func (v *Acceptor) sealed() bool {
	s := v.slots[VoterSetKey]
	return !s.Accepted.IsZero()
}

func (v *Acceptor) take(ctx context.Context, key string) (func(), error) {
	if key == VoterSetKey {
		return v.turns.LockAll(ctx)
	}
	return v.turns.Lock(ctx, key)
}

func (v *Acceptor) enter(ctx context.Context, b Target) (Slot, *keylock.Shared, error) {
	back, err := v.take(ctx, b.Key)
	if err != nil {
		return Slot{}, nil, err
	}
	s, err := v.view(b)
	if err != nil {
		back()
		return s, nil, err
	}
	return s, keylock.Share(back), nil
}

func (v *Acceptor) alone(ctx context.Context, inc string) (*keylock.Shared, error) {
	if err := v.disk(inc); err != nil {
		return nil, err
	}
	back, err := v.turns.LockAll(ctx)
	if err != nil {
		return nil, err
	}
	return keylock.Share(back), nil
}

func (v *Acceptor) store(ctx context.Context, t *keylock.Shared, key string, s Slot) error {
	return v.journal.PutIn(ctx, t, true, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.slots[key] = s
		if key == VoterSetKey && v.sealed() {
			close(v.sealing)
			v.sealing = make(chan struct{})
		}
	}, rec(recordtype.Slot, slotRec{Key: key, Slot: s}))
}

// Promise answers once the promise is synced.
func (v *Acceptor) Promise(ctx context.Context, q *PromiseRequest) (*SlotResponse, error) {
	s, t, err := v.enter(ctx, q.Target)
	if err != nil {
		return nil, err
	}
	defer t.Release()
	n, ok := s.Promise(q.Epoch)
	if !ok || n.Promised == s.Promised {
		return &SlotResponse{Granted: ok, Slot: s}, nil
	}
	if err := v.store(ctx, t, q.Key, n); err != nil {
		return nil, err
	}
	return &SlotResponse{Granted: true, Slot: n}, nil
}

// Accept answers once the value is synced.
func (v *Acceptor) Accept(ctx context.Context, q *AcceptRequest) (*SlotResponse, error) {
	s, t, err := v.enter(ctx, q.Target)
	if err != nil {
		return nil, err
	}
	defer t.Release()
	n, ok := s.Accept(q.Epoch, q.Value)
	if !ok {
		return &SlotResponse{Slot: s}, nil
	}
	if err := v.store(ctx, t, q.Key, n); err != nil {
		return nil, err
	}
	return &SlotResponse{Granted: true, Slot: n}, nil
}

// Peek reads without promising.
func (v *Acceptor) Peek(_ context.Context, q *PeekRequest) (*PeekResponse, error) {
	if err := v.disk(q.Incarnation); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.roster.Sequence != q.VoterSet || q.VoterSet == 0 || v.sealed() && !q.Sealed {
		return nil, apierror.New(apierror.StaleVoterSet, "the peek is under roster %d, this voter under %d", q.VoterSet, v.roster.Sequence).WithCurrent(v.roster.Sequence)
	}
	if q.Sealed && !v.sealed() {
		return nil, apierror.New(apierror.StaleVoterSet, "roster %d is not sealed here", v.roster.Sequence)
	}
	a := &PeekResponse{Slots: map[string]Slot{}}
	add := func(k string, s Slot) {
		if q.Brief {
			s.Value.Body, s.Value.Metadata = nil, nil
		}
		a.Slots[k] = s
	}
	for _, k := range q.Keys {
		add(k, v.slots[k])
	}
	if len(q.Keys) == 0 {
		for k, s := range v.slots {
			add(k, s)
		}
	}
	return a, nil
}

// Activate brings the voter under a higher roster; slots accepted under the old one are replaced by the copy.
func (v *Acceptor) Activate(ctx context.Context, q *ActivateRequest) (*Empty, error) {
	t, err := v.alone(ctx, q.Incarnation)
	if err != nil {
		return nil, err
	}
	defer t.Release()
	v.mu.Lock()
	cur, f := v.roster, v.founding
	v.mu.Unlock()
	if cur.Sequence >= q.VoterSet.Sequence {
		if cur.Fleet != q.VoterSet.Fleet {
			return nil, apierror.New(apierror.DiskForeign, "this disk is of fleet %s", cur.Fleet)
		}
		return &Empty{}, nil
	}
	if q.Bootstrap && (f == nil || f.Fleet != q.VoterSet.Fleet) {
		return nil, apierror.New(apierror.StaleVoterSet, "another founding was agreed to since")
	}
	if cur.Sequence > 0 && cur.Fleet != q.VoterSet.Fleet {
		return nil, apierror.New(apierror.DiskForeign, "this disk is of fleet %s", cur.Fleet)
	}
	slots := make(map[string]Slot, len(q.Slots))
	rs := []journal.Record{rec(recordtype.Roster, rosterRec{Roster: q.VoterSet, Clear: true})}
	for k, s := range q.Slots {
		if k == VoterSetKey {
			continue
		}
		s = Merge([]Slot{s})
		slots[k] = s
		rs = append(rs, rec(recordtype.Slot, slotRec{Key: k, Slot: s}))
	}
	err = v.journal.PutIn(ctx, t, true, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.roster, v.founding, v.slots = q.VoterSet, nil, slots
	}, rs...)
	if err != nil {
		return nil, err
	}
	v.opened(q.VoterSet)
	return &Empty{}, nil
}

// Bootstrap agrees to a founding roster while the disk is under none.
func (v *Acceptor) Bootstrap(ctx context.Context, q *BootstrapRequest) (*Empty, error) {
	t, err := v.alone(ctx, q.Incarnation)
	if err != nil {
		return nil, err
	}
	defer t.Release()
	if cur := v.VoterSet(); cur.Sequence > 0 {
		return nil, apierror.New(apierror.StaleVoterSet, "this disk is under roster %d already", cur.Sequence).WithCurrent(cur.Sequence)
	}
	if err := v.agree(q.VoterSet); err != nil {
		return nil, err
	}
	r := q.VoterSet
	err = v.journal.PutIn(ctx, t, true, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.founding = &r
	}, rec(recordtype.Roster, rosterRec{Founding: &r}))
	return &Empty{}, err
}

// Serve adds the voter's calls.
func (v *Acceptor) Serve(m *http.ServeMux) {
	Promise.Handle(m, v.Promise)
	Accept.Handle(m, v.Accept)
	Peek.Handle(m, v.Peek)
	Activate.Handle(m, v.Activate)
	Bootstrap.Handle(m, v.Bootstrap)
}
