package replica

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
)

// appendPlan is what an append writes.
type appendPlan struct {
	id      log.ID
	records []journal.Record
	// entries are those of the request that the log does not have yet.
	entries []log.Entry
	// last is the position of the request's last entry.
	last log.Position
	// trimTo is the position up to which the log is trimmed. With the zero position it is not
	// trimmed.
	trimTo log.Position
}

// Append checks the epoch, the disk and the position, extends the log, and answers once that is
// synced.
func (r *Replica) Append(ctx context.Context, request *AppendRequest) (*AppendResponse, error) {
	lock, err := r.lockPartition(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	defer lock.Release()
	current := r.Log(request.Partition, request.Kind)
	if !request.Reset {
		if position, ok := current.Position(request.After.Offset); !ok || position != request.After {
			return &AppendResponse{Tail: r.tail(request.Partition, request.Kind)}, nil
		}
	}
	plan, err := r.planAppend(request, current)
	if err != nil {
		return nil, err
	}
	if len(plan.records) > 0 {
		apply := func() { r.applyAppend(request, plan) }
		if err := r.journal.PutIn(ctx, lock, request.Urgent, apply, plan.records...); err != nil {
			return nil, err
		}
	}
	appended := r.Log(request.Partition, request.Kind)
	appended.SetCommit(min(request.Commit, plan.last.Offset))
	tail := Tail{Base: appended.Base(), Last: plan.last, Commit: appended.Commit()}
	return &AppendResponse{Matched: true, Tail: tail}, nil
}

// planAppend returns what a request writes to the current log. It changes nothing.
func (r *Replica) planAppend(request *AppendRequest, current *log.Log) (*appendPlan, error) {
	plan := &appendPlan{id: log.ID{Partition: request.Partition, Kind: request.Kind}}
	if r.Sealed(request.Partition) < request.Epoch {
		seal := sealRecord{request.Partition, request.Epoch}
		plan.records = append(plan.records, newRecord(recordtype.Seal, request.Epoch, 0, seal))
	}
	if request.Reset {
		plan.addBase(baseRecord{ID: plan.id, Base: request.After, Fresh: true})
	}
	if err := plan.addEntries(request, current); err != nil {
		return nil, err
	}
	base, ok := current.Position(request.Base.Offset)
	if ok && base == request.Base && base.Offset > current.Base().Offset {
		plan.trimTo = base
		plan.addBase(baseRecord{ID: plan.id, Base: base})
	}
	return plan, nil
}

func (p *appendPlan) addBase(base baseRecord) {
	p.records = append(p.records, newRecord(recordtype.Base, base.Base.Epoch, base.Base.Offset, base))
}

// addEntries adds the entries of the request that the log does not have. Each must follow the one
// before it.
func (p *appendPlan) addEntries(request *AppendRequest, current *log.Log) error {
	p.last = request.After
	for _, entry := range request.Entries {
		if !entry.Valid(p.last) {
			return apierror.New(
				apierror.LogMismatch, "entry %d is not a valid successor of entry %d", entry.Offset, p.last.Offset,
			)
		}
		p.last = entry.Position()
		if position, ok := current.Position(entry.Offset); !request.Reset && ok && position == p.last {
			continue
		}
		p.entries = append(p.entries, entry)
		record := newRecord(recordtype.Entry, entry.Epoch, entry.Offset, entryRecord{p.id, entry})
		p.records = append(p.records, record)
	}
	return nil
}

// applyAppend makes an append visible once it is durable.
func (r *Replica) applyAppend(request *AppendRequest, plan *appendPlan) {
	r.setSeal(request.Partition, request.Epoch)
	if request.Reset {
		r.beginLog(plan.id, request.After)
	}
	appended := r.Log(request.Partition, request.Kind)
	appended.Append(r.clock.Now(), plan.entries...)
	if plan.trimTo.Offset > 0 {
		appended.TrimTo(plan.trimTo)
	}
}

// beginLog replaces a log by an empty one that starts after a position.
func (r *Replica) beginLog(id log.ID, after log.Position) {
	fresh := log.New()
	fresh.TrimTo(after)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logs[id] = fresh
}
