package replica

import (
	"context"
	"net/http"

	"postjunction/internal/apierror"
	"postjunction/internal/keylock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
)

// Serve adds the store's calls.
func (r *Replica) Serve(m *http.ServeMux) {
	Seal.Handle(m, r.Seal)
	Append.Handle(m, r.Append)
	CompareIdle.Handle(m, r.CompareIdle)
	Fetch.Handle(m, r.Fetch)
	Drop.Handle(m, r.Drop)
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
	response := &SealResponse{Tails: map[log.Kind]Tail{}}
	for _, kind := range log.Kinds {
		response.Tails[kind] = r.tail(request.Partition, kind)
	}
	return response, nil
}

func (r *Replica) setSeal(partition int, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seals[partition] = max(r.seals[partition], epoch)
}

// TruncateAfter drops what follows an offset, when a tail adopted under the target's epoch differs.
func (r *Replica) TruncateAfter(ctx context.Context, target Target, kind log.Kind, offset uint64, urgent bool) error {
	in, err := r.lockPartition(ctx, target)
	if err != nil {
		return err
	}
	defer in.Release()
	id := log.ID{Partition: target.Partition, Kind: kind}
	return r.journal.PutIn(
		ctx, in, urgent, func() { r.Log(target.Partition, kind).TruncateAfter(offset) },
		newRecord(recordtype.Truncation, target.Epoch, offset, truncationRecord{id, offset}),
	)
}

// Fetch reads entries.
func (r *Replica) Fetch(_ context.Context, request *FetchRequest) (*FetchResponse, error) {
	if request.Incarnation != r.incarnation {
		return nil, apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, request.Incarnation)
	}
	held := r.Log(request.Partition, request.Kind)
	response := &FetchResponse{Tail: r.tail(request.Partition, request.Kind)}
	if request.From > 0 {
		response.Before, _ = held.Position(request.From - 1)
	}
	response.Entries = held.Slice(request.From, ^uint64(0), min(request.Limit, maxFetchEntries), maxFetchBytes)
	return response, nil
}

// Drop forgets a partition that the record, at an epoch above the sealed one, no longer places
// here.
func (r *Replica) Drop(ctx context.Context, request *DropRequest) (*Empty, error) {
	in, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer in.Release()
	apply := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seals[request.Partition] = max(r.seals[request.Partition], request.Epoch)
		r.forget(request.Partition)
	}
	dropped := sealRecord{request.Partition, request.Epoch}
	return &Empty{}, r.journal.PutIn(
		ctx, in, false, apply,
		newRecord(recordtype.Seal, request.Epoch, 0, dropped), newRecord(recordtype.Forget, request.Epoch, 0, dropped),
	)
}

func (r *Replica) tail(partition int, kind log.Kind) Tail {
	held := r.Log(partition, kind)
	return Tail{Base: held.Base(), Last: held.Last(), Commit: held.Commit()}
}

// lockPartition locks a target's partition for a change, once its epoch is checked.
func (r *Replica) lockPartition(ctx context.Context, target Target) (*keylock.Shared, error) {
	unlock, err := r.locks.LockNumber(ctx, target.Partition)
	if err != nil {
		return nil, err
	}
	if err := r.CheckEpoch(target); err != nil {
		unlock()
		return nil, err
	}
	return keylock.Share(unlock), nil
}

// CheckEpoch checks whether a target's epoch is still the highest on this disk, under its own name.
func (r *Replica) CheckEpoch(target Target) error {
	if target.Incarnation != r.incarnation {
		return apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, target.Incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sealed := r.seals[target.Partition]; target.Epoch < sealed {
		r.rejected++
		return apierror.New(
			apierror.StaleEpoch, "partition %d is sealed at epoch %d, the call is under %d",
			target.Partition, sealed, target.Epoch,
		).WithCurrent(sealed)
	}
	return nil
}
