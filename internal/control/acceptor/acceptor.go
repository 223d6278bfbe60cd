package acceptor

import (
	"context"
	"net/http"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/keylock"
	"postjunction/internal/recordtype"
	"postjunction/internal/voters"
)

// VoterSetKey is the key of the register that contains the next voter set. A voter that accepts a
// value of it has its current voter set sealed.
const VoterSetKey = "roster"

const lockShards = 8

// Acceptor is the Paxos acceptor on one disk.
type Acceptor struct {
	incarnation    string
	journal        *journal.Journal
	checkBootstrap func(voters.Set) error
	onActivate     func(voters.Set)
	// locks serializes requests for one key, from reading its slot until the new slot is synced.
	locks *keylock.Locks

	// mu guards slots, voterSet, agreedBootstrap and sealing. It is never held during a write to
	// the journal.
	mu       sync.Mutex
	slots    map[string]Slot
	voterSet voters.Set
	// agreedBootstrap is the proposed first voter set that this disk agreed to last. It is nil once
	// a voter set is activated.
	agreedBootstrap *voters.Set
	// sealing is closed and replaced when the voter set is sealed on this disk.
	sealing chan struct{}
}

// New returns an acceptor without promises. Start must be called before it is used.
func New() *Acceptor {
	return &Acceptor{
		slots:   map[string]Slot{},
		locks:   keylock.New(lockShards),
		sealing: make(chan struct{}),
	}
}

// Start sets the incarnation of the disk, its journal, the check that a bootstrap must pass, and
// the function that is called with each activated voter set. It must be called after the journal
// was restored and before the first request.
func (a *Acceptor) Start(
	incarnation string,
	diskJournal *journal.Journal,
	checkBootstrap func(voters.Set) error,
	onActivate func(voters.Set),
) {
	a.incarnation, a.journal, a.checkBootstrap, a.onActivate = incarnation, diskJournal, checkBootstrap, onActivate
}

// VoterSet returns the voter set that is active on this voter. Its Sequence is 0 before the
// bootstrap.
func (a *Acceptor) VoterSet() voters.Set {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voterSet
}

// Sealed returns the sequence of the voter set that is sealed on this disk, 0 if none is. A voter
// set remains sealed until the next one is activated.
func (a *Acceptor) Sealed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isSealed() {
		return 0
	}
	return a.voterSet.Sequence
}

// Sealing returns a channel that is closed when a voter set is sealed on this disk.
func (a *Acceptor) Sealing() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sealing
}

// isSealed reports whether the current voter set is sealed. The caller must hold mu.
func (a *Acceptor) isSealed() bool {
	return !a.slots[VoterSetKey].Accepted.IsZero()
}

func (a *Acceptor) checkDisk(incarnation string) error {
	if incarnation != a.incarnation {
		return apierror.New(apierror.WrongDisk, "this disk is %s, not %s", a.incarnation, incarnation)
	}
	return nil
}

// slot returns the slot of a target. It returns WrongDisk if the target is another disk, and
// StaleVoterSet if the target is under another voter set or the voter set is sealed.
func (a *Acceptor) slot(target Target) (Slot, error) {
	if err := a.checkDisk(target.Incarnation); err != nil {
		return Slot{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.voterSet.Sequence
	if current != target.VoterSet || target.VoterSet == 0 {
		return Slot{}, apierror.New(apierror.StaleVoterSet,
			"the request is for voter set %d, this voter is under %d", target.VoterSet, current).WithCurrent(current)
	}
	if a.isSealed() && target.Key != VoterSetKey {
		return Slot{}, apierror.New(apierror.StaleVoterSet, "voter set %d is sealed", current).WithCurrent(current)
	}
	return a.slots[target.Key], nil
}

// lockSlot locks the key of a target and returns its slot. For VoterSetKey it locks all keys.
func (a *Acceptor) lockSlot(ctx context.Context, target Target) (Slot, *keylock.Shared, error) {
	var unlock func()
	var err error
	if target.Key == VoterSetKey {
		unlock, err = a.locks.LockAll(ctx)
	} else {
		unlock, err = a.locks.Lock(ctx, target.Key)
	}
	if err != nil {
		return Slot{}, nil, err
	}
	slot, err := a.slot(target)
	if err != nil {
		unlock()
		return slot, nil, err
	}
	return slot, keylock.Share(unlock), nil
}

// lockAll checks the incarnation of the disk and locks all keys.
func (a *Acceptor) lockAll(ctx context.Context, incarnation string) (*keylock.Shared, error) {
	if err := a.checkDisk(incarnation); err != nil {
		return nil, err
	}
	unlock, err := a.locks.LockAll(ctx)
	if err != nil {
		return nil, err
	}
	return keylock.Share(unlock), nil
}

// store writes a slot to the journal and returns once it is synced. lock stays locked until then,
// also if ctx ends first.
func (a *Acceptor) store(ctx context.Context, lock *keylock.Shared, key string, slot Slot) error {
	apply := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.slots[key] = slot
		if key == VoterSetKey && a.isSealed() {
			close(a.sealing)
			a.sealing = make(chan struct{})
		}
	}
	return a.journal.PutIn(ctx, lock, true, apply, encode(recordtype.Slot, slotRecord{Key: key, Slot: slot}))
}

// Promise serves a prepare request. It returns once the promise is synced.
func (a *Acceptor) Promise(ctx context.Context, request *PromiseRequest) (*SlotResponse, error) {
	slot, lock, err := a.lockSlot(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	next, granted := slot.Promise(request.Epoch)
	if !granted || next.Promised == slot.Promised {
		return &SlotResponse{Granted: granted, Slot: slot}, nil
	}
	if err := a.store(ctx, lock, request.Key, next); err != nil {
		return nil, err
	}
	return &SlotResponse{Granted: true, Slot: next}, nil
}

// Accept serves an accept request. It returns once the value is synced.
func (a *Acceptor) Accept(ctx context.Context, request *AcceptRequest) (*SlotResponse, error) {
	slot, lock, err := a.lockSlot(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	next, granted := slot.Accept(request.Epoch, request.Value)
	if !granted {
		return &SlotResponse{Slot: slot}, nil
	}
	if err := a.store(ctx, lock, request.Key, next); err != nil {
		return nil, err
	}
	return &SlotResponse{Granted: true, Slot: next}, nil
}

// Peek returns slots without making a promise.
func (a *Acceptor) Peek(_ context.Context, request *PeekRequest) (*PeekResponse, error) {
	if err := a.checkDisk(request.Incarnation); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.voterSet.Sequence
	if current != request.VoterSet || request.VoterSet == 0 || a.isSealed() && !request.Sealed {
		// internal/golden compares the bytes of a whole call with this text, so it must not change.
		return nil, apierror.New(apierror.StaleVoterSet,
			"the peek is under roster %d, this voter under %d", request.VoterSet, current).WithCurrent(current)
	}
	if request.Sealed && !a.isSealed() {
		return nil, apierror.New(apierror.StaleVoterSet, "voter set %d is not sealed on this disk", current)
	}
	response := &PeekResponse{Slots: map[string]Slot{}}
	add := func(key string, slot Slot) {
		if request.Brief {
			slot.Value.Body, slot.Value.Metadata = nil, nil
		}
		response.Slots[key] = slot
	}
	for _, key := range request.Keys {
		add(key, a.slots[key])
	}
	if len(request.Keys) == 0 {
		for key, slot := range a.slots {
			add(key, slot)
		}
	}
	return response, nil
}

// Serve registers the acceptor's procedures on mux.
func (a *Acceptor) Serve(mux *http.ServeMux) {
	Promise.Handle(mux, a.Promise)
	Accept.Handle(mux, a.Accept)
	Peek.Handle(mux, a.Peek)
	Activate.Handle(mux, a.Activate)
	Bootstrap.Handle(mux, a.Bootstrap)
}
