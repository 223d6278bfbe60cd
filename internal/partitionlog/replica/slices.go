package replica

import (
	"sort"

	"postjunction/internal/disk/journal"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
)

// recordOverhead is how many bytes a record takes on disk besides its contents, at most.
const recordOverhead = 160

// LiveSize returns the number of live records and an upper bound of their bytes.
func (r *Replica) LiveSize() (int, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records, bytes := len(r.seals)+len(r.logs)+len(r.snapshots), int64(0)
	for _, partitionLog := range r.logs {
		entries, size := partitionLog.Size()
		records, bytes = records+entries, bytes+size
	}
	for _, snapshot := range r.snapshots {
		bytes += int64(len(snapshot.State))
	}
	return records, bytes + int64(records)*recordOverhead
}

// Bounds of one slice of a log.
const (
	maxSliceEntries = 64
	maxSliceBytes   = 64 << 10
)

// Slices returns the live records: the seals, each log in slices of its own, and each snapshot.
func (r *Replica) Slices() []journal.Slice {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices := journal.EncodeAll(r.dumpSeals)
	ids := make([]log.ID, 0, len(r.logs))
	for id := range r.logs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := ids[i], ids[j]
		return a.Partition < b.Partition || a.Partition == b.Partition && a.Kind < b.Kind
	})
	for _, id := range ids {
		slices = append(slices, r.logSlice(id))
	}
	for partition := range r.snapshots {
		slices = append(slices, journal.EncodeAll(func() []journal.Record { return r.dumpSnapshot(partition) })...)
	}
	return slices
}

func (r *Replica) dumpSeals() []journal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []journal.Record
	for partition, epoch := range r.seals {
		records = append(records, newRecord(recordtype.Seal, epoch, 0, sealRecord{partition, epoch}))
	}
	return records
}

func (r *Replica) dumpSnapshot(partition int) []journal.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot, ok := r.snapshots[partition]
	if !ok {
		return nil
	}
	return []journal.Record{newRecord(recordtype.Snapshot, snapshot.At.Epoch, snapshot.At.Offset, snapshot)}
}

// logSlice returns a log in parts, from its base to its end. Entries that are written meanwhile at
// or before the offset reached are in the journal already, after the start of the compaction.
// Entries that are written after that offset come with a later part.
func (r *Replica) logSlice(id log.ID) journal.Slice {
	next := uint64(0)
	return func() ([]journal.Record, bool) {
		r.mu.Lock()
		current, ok := r.logs[id]
		r.mu.Unlock()
		if !ok || current.Last() == (log.Position{}) {
			return nil, false
		}
		base := current.Base()
		records := []journal.Record{
			newRecord(recordtype.Base, base.Epoch, base.Offset, baseRecord{ID: id, Base: base, Compacted: true}),
		}
		next = max(next, base.Offset+1)
		for _, entry := range current.Slice(next, ^uint64(0), maxSliceEntries, maxSliceBytes) {
			records = append(records, newRecord(recordtype.Entry, entry.Epoch, entry.Offset, entryRecord{id, entry}))
			next = entry.Offset + 1
		}
		return records, next <= current.Last().Offset
	}
}
