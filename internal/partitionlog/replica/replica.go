package replica

import (
	"maps"
	"slices"
	"sync"

	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/keylock"
	"postjunction/internal/partitionlog/log"
)

// Replica stores the logs, seals and snapshots of all partitions on one disk. Changes of a
// partition are made one after another, under its lock in locks, and become visible once they are
// durable.
type Replica struct {
	incarnation string
	journal     *journal.Journal
	clock       clock.Clock
	locks       *keylock.Locks

	// mu guards logs, seals, snapshots and rejected. It is locked for look-ups only, never while
	// the journal is written.
	mu        sync.Mutex
	logs      map[log.ID]*log.Log
	seals     map[int]uint64
	snapshots map[int]Snapshot
	rejected  uint64
}

// lockShards is how many locks the partitions share. The other constants bound what a Fetch
// returns.
const (
	lockShards      = 512
	maxFetchBytes   = 1 << 20
	maxFetchEntries = 4096
)

// New returns a Replica without contents.
func New(c clock.Clock) *Replica {
	return &Replica{
		clock: c, locks: keylock.New(lockShards), logs: map[log.ID]*log.Log{},
		seals: map[int]uint64{}, snapshots: map[int]Snapshot{},
	}
}

// Start sets the disk's incarnation and its journal.
func (r *Replica) Start(incarnation string, j *journal.Journal) {
	r.incarnation, r.journal = incarnation, j
}

// Incarnation is the random name of the disk.
func (r *Replica) Incarnation() string { return r.incarnation }

// Log returns a log. It creates an empty one if there is none.
func (r *Replica) Log(partition int, kind log.Kind) *log.Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logOf(log.ID{Partition: partition, Kind: kind})
}

// logOf returns a log. It creates an empty one if there is none. The caller holds mu.
func (r *Replica) logOf(id log.ID) *log.Log {
	partitionLog, ok := r.logs[id]
	if !ok {
		partitionLog = log.New()
		r.logs[id] = partitionLog
	}
	return partitionLog
}

// Sealed returns the epoch below which a partition rejects leaders.
func (r *Replica) Sealed(partition int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seals[partition]
}

// Partitions returns the partitions that have entries here, sorted.
func (r *Replica) Partitions() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	partitions := map[int]bool{}
	for id, partitionLog := range r.logs {
		if partitionLog.Last().Offset > 0 {
			partitions[id.Partition] = true
		}
	}
	return slices.Sorted(maps.Keys(partitions))
}

// Rejected returns how many calls were rejected for a lower epoch.
func (r *Replica) Rejected() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

// forget drops the logs and the snapshot of a partition. The caller holds mu.
func (r *Replica) forget(partition int) {
	for _, kind := range log.Kinds {
		delete(r.logs, log.ID{Partition: partition, Kind: kind})
	}
	delete(r.snapshots, partition)
}
