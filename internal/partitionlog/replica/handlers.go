package replica

import (
	"context"
	"net/http"

	"postjunction/internal/apierror"
	"postjunction/internal/keylock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
)

// Serve adds the handlers of the replica's calls.
func (r *Replica) Serve(mux *http.ServeMux) {
	Seal.Handle(mux, r.Seal)
	Append.Handle(mux, r.Append)
	CompareIdle.Handle(mux, r.CompareIdle)
	Fetch.Handle(mux, r.Fetch)
	Drop.Handle(mux, r.Drop)
}

// Seal rejects lower epochs from now on. It answers once that is synced.
func (r *Replica) Seal(ctx context.Context, request *SealRequest) (*SealResponse, error) {
	lock, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	if r.Sealed(request.Partition) < request.Epoch {
		if err := r.journal.PutIn(
			ctx, lock, request.Urgent, func() { r.setSeal(request.Partition, request.Epoch) },
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

// TruncateAfter drops the entries after an offset. The log that was adopted under the target's
// epoch ends there.
func (r *Replica) TruncateAfter(ctx context.Context, target Target, kind log.Kind, offset uint64, urgent bool) error {
	lock, err := r.lockPartition(ctx, target)
	if err != nil {
		return err
	}
	defer lock.Release()
	id := log.ID{Partition: target.Partition, Kind: kind}
	return r.journal.PutIn(
		ctx, lock, urgent, func() { r.Log(target.Partition, kind).TruncateAfter(offset) },
		newRecord(recordtype.Truncation, target.Epoch, offset, truncationRecord{id, offset}),
	)
}

// Fetch returns entries of a log, committed or not.
func (r *Replica) Fetch(_ context.Context, request *FetchRequest) (*FetchResponse, error) {
	if request.Incarnation != r.incarnation {
		return nil, apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, request.Incarnation)
	}
	current := r.Log(request.Partition, request.Kind)
	response := &FetchResponse{Tail: r.tail(request.Partition, request.Kind)}
	if request.From > 0 {
		response.Before, _ = current.Position(request.From - 1)
	}
	response.Entries = current.Slice(request.From, ^uint64(0), min(request.Limit, maxFetchEntries), maxFetchBytes)
	return response, nil
}

// Drop deletes a partition whose assignment record no longer places it here. The request has the
// epoch of that record, which must not be below the sealed one.
func (r *Replica) Drop(ctx context.Context, request *DropRequest) (*Empty, error) {
	lock, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	apply := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seals[request.Partition] = max(r.seals[request.Partition], request.Epoch)
		r.forget(request.Partition)
	}
	seal := sealRecord{request.Partition, request.Epoch}
	return &Empty{}, r.journal.PutIn(
		ctx, lock, false, apply,
		newRecord(recordtype.Seal, request.Epoch, 0, seal), newRecord(recordtype.Forget, request.Epoch, 0, seal),
	)
}

func (r *Replica) tail(partition int, kind log.Kind) Tail {
	current := r.Log(partition, kind)
	return Tail{Base: current.Base(), Last: current.Last(), Commit: current.Commit()}
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

// CheckEpoch returns an error for a target on another disk, and for one whose epoch is below the
// sealed one.
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
