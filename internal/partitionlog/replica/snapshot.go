package replica

import (
	"context"
	"encoding/json"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
)

// Snapshot is the materialised state of a partition at a position of its changelog.
type Snapshot struct {
	Partition int             `json:"p"`
	At        log.Position    `json:"at"`
	Input     uint64          `json:"input"`
	State     json.RawMessage `json:"state"`
}

// SaveSnapshot saves the state of a partition.
func (r *Replica) SaveSnapshot(ctx context.Context, snapshot Snapshot) error {
	return r.journal.Put(ctx, false, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.snapshots[snapshot.Partition] = snapshot
	}, newRecord(recordtype.Snapshot, snapshot.At.Epoch, snapshot.At.Offset, snapshot))
}

// Snapshot returns the saved state of a partition, and whether there is one whose position is on
// the changelog here.
func (r *Replica) Snapshot(partition int) (Snapshot, bool) {
	r.mu.Lock()
	snapshot, ok := r.snapshots[partition]
	r.mu.Unlock()
	if !ok {
		return snapshot, false
	}
	position, ok := r.Log(partition, log.KindChangelog).Position(snapshot.At.Offset)
	return snapshot, ok && position == snapshot.At
}
