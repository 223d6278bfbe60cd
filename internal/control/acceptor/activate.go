package acceptor

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/recordtype"
	"postjunction/internal/voters"
)

// Activate makes a voter set with a higher sequence the current one. The copies in the request
// replace all slots. A request with the current voter set, or an older one, changes nothing.
func (a *Acceptor) Activate(ctx context.Context, request *ActivateRequest) (*Empty, error) {
	lock, err := a.lockAll(ctx, request.Incarnation)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	a.mu.Lock()
	current, agreed := a.voterSet, a.agreedBootstrap
	a.mu.Unlock()
	if err := checkActivation(current, agreed, request); err != nil {
		return nil, err
	}
	if current.Sequence >= request.VoterSet.Sequence {
		return &Empty{}, nil
	}
	slots := make(map[string]Slot, len(request.Slots))
	records := []journal.Record{encode(recordtype.VoterSet, voterSetRecord{VoterSet: request.VoterSet, Clear: true})}
	for key, slot := range request.Slots {
		if key == VoterSetKey {
			continue
		}
		slots[key] = Merge([]Slot{slot})
		records = append(records, encode(recordtype.Slot, slotRecord{Key: key, Slot: slots[key]}))
	}
	apply := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.voterSet, a.agreedBootstrap, a.slots = request.VoterSet, nil, slots
	}
	if err := a.journal.PutIn(ctx, lock, true, apply, records...); err != nil {
		return nil, err
	}
	a.onActivate(request.VoterSet)
	return &Empty{}, nil
}

// checkActivation returns DiskForeign for a voter set of another fleet. It returns StaleVoterSet
// for a bootstrap other than the one that this disk agreed to last.
func checkActivation(current voters.Set, agreed *voters.Set, request *ActivateRequest) error {
	next := request.VoterSet
	foreignErr := apierror.New(apierror.DiskForeign, "this disk is of fleet %s", current.Fleet)
	if current.Sequence >= next.Sequence {
		if current.Fleet != next.Fleet {
			return foreignErr
		}
		return nil
	}
	if request.Bootstrap && (agreed == nil || agreed.Fleet != next.Fleet) {
		return apierror.New(apierror.StaleVoterSet, "this disk has agreed to another bootstrap or to none")
	}
	if current.Sequence > 0 && current.Fleet != next.Fleet {
		return foreignErr
	}
	return nil
}

// Bootstrap agrees to the first voter set of a fleet while the disk is under no voter set. Only the
// last agreement counts.
func (a *Acceptor) Bootstrap(ctx context.Context, request *BootstrapRequest) (*Empty, error) {
	lock, err := a.lockAll(ctx, request.Incarnation)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	if current := a.VoterSet().Sequence; current > 0 {
		return nil, apierror.New(apierror.StaleVoterSet,
			"this disk is already under voter set %d", current).WithCurrent(current)
	}
	if err := a.checkBootstrap(request.VoterSet); err != nil {
		return nil, err
	}
	agreed := request.VoterSet
	apply := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.agreedBootstrap = &agreed
	}
	record := encode(recordtype.VoterSet, voterSetRecord{AgreedBootstrap: &agreed})
	return &Empty{}, a.journal.PutIn(ctx, lock, true, apply, record)
}
