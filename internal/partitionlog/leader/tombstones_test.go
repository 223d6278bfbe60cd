package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
)

// The number of tombstones is bounded. A key that has a tombstone can still be withdrawn again.
func TestTombstones_AreBounded(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.options.MaxTombstones = func() int { return 2 }
		r.submitAccepted(message("v", 1, "t", "a"), message("v", 2, "t", "b"), message("v", 3, "t", "c"))
		outcomes := r.submit(
			withdrawal("v", 4, "t", "a"), withdrawal("v", 5, "t", "b"), withdrawal("v", 6, "t", "c"),
			message("v", 7, "t", "c"),
		)
		assert.Equal(t, outcomes[2].Err.Code, apierror.Overloaded)
		assert.Assert(t, outcomes[3].Err == nil, "messages are still accepted")
		r.expectRejected(withdrawal("v", 8, "t", "c"), apierror.Overloaded)
		assert.DeepEqual(t, r.observed, []string{"full"})
		r.submitAccepted(message("v", 8, "t", "a"))
		r.submitAccepted(withdrawal("v", 9, "t", "a"))
	})
}

// trimPartitionLog trims the partition log up to an offset.
func (r *rig) trimPartitionLog(to uint64) {
	r.t.Helper()
	partitionLog := r.logs[log.KindInput].log
	r.state.Prune(partitionLog.Slice(r.prunedTo+1, to, 1<<20, 1<<30)...)
	r.prunedTo, r.savedInput = to, to
	position, ok := partitionLog.Position(to)
	assert.Assert(r.t, ok)
	r.locked(r.dropTombstones)
	assert.Assert(
		r.t, len(r.state.Tombstones) > 0 || partitionLog.Base().Offset == to,
		"the partition log still has what the tombstone covers",
	)
	partitionLog.TrimTo(position)
	r.locked(r.dropTombstones)
}

// A tombstone is dropped when all readers have read past it and the partition log has nothing that
// it covers.
func TestTombstones_RetainedUntilRead(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.submitAccepted(message("v", 3, "t", ""))
		assert.DeepEqual(t, r.View().TombstoneView, TombstoneView{
			Tombstones: 1, OldestLag: 1, Readers: []ReaderView{{Node: "a1"}},
		})
		r.trimPartitionLog(offset)
		assert.Equal(t, len(r.state.Tombstones), 1, "a reader may still have the message")
		r.poll("a1", "b", offset)
		assert.DeepEqual(t, r.View().Readers, []ReaderView{{Node: "a1", Read: offset}})
		r.locked(r.dropTombstones)
		assert.Equal(t, len(r.state.Tombstones), 0)
		assert.Equal(t, r.counters.TombstonesDropped, uint64(1))
		r.expectRejected(withdrawal("v", 4, "t", "k"), apierror.KeyUnknown)
	})
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.locked(r.dropTombstones)
		assert.Equal(t, len(r.state.Tombstones), 1, "the partition log still has what it covers")
		r.trimPartitionLog(2)
		assert.Equal(t, len(r.state.Tombstones), 0)
	})
}

// A tombstone that was dropped is restored by a new leader whose partition log begins before it.
// The new leader skips what the tombstone covers, and waits for all readers again.
func TestTombstones_RestoredAfterRecovery(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"), message("v", 2, "t", ""))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		offset := r.submitAccepted(withdrawal("v", 3, "t", "k"))
		r.submitAccepted(message("v", 4, "t", "l"))
		r.poll("a1", "b", offset)
		r.state.DropTombstone(state.Key("t", "k"))
		changes := r.logs[log.KindChangelog]
		for _, entry := range append(
			changelog.EncodeBatch(r.state.Input, r.state.TakeChanges(), false),
			changelog.EncodeCommit(changelog.Commit{Input: r.state.Input}),
		) {
			changes.appendEntry(entry, 1)
		}
		changes.log.Append(time.Now(), changes.pending...)
		changes.pending, changes.durable, changes.commit = nil, changes.last.Offset, changes.last.Offset

		restarted := New(r.options, r.Record, false)
		restarted.logs, restarted.ctx = r.logs, t.Context()
		assert.NilError(t, restarted.rebuildState())
		restarted.stage, r.Leader = StageOpen, restarted
		assert.Equal(t, len(restarted.state.Tombstones), 1)
		assert.DeepEqual(t, restarted.state.Readers, map[string]state.Reader{"a1": {BootID: "b", Offset: 3}})
		pending, err := r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending.Nodes, []string{"a1"})
		r.locked(r.dropTombstones)
		assert.Equal(t, len(restarted.state.Tombstones), 1)
		r.follow("a1", "b", "t")
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 0)), []uint64{2, 4, 5})
		r.poll("a1", "b", offset)
		pending, err = r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending, &PendingReaders{})
		assert.Assert(t, r.submit(withdrawal("v", 3, "t", "k"))[0].Decision.Duplicate)
		r.expectRejected(message("v", 1, "t", ""), apierror.CallAltered)
		r.submitAccepted(withdrawal("v", 5, "t", "l"))
	})
}

// What a tombstone covers is skipped until the partition log is trimmed, even if the state already
// counts it as trimmed.
func TestTombstones_RetainedUntilTheLogIsTrimmed(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.poll("a1", "b", offset)
		partitionLog := r.logs[log.KindInput].log
		r.state.Prune(partitionLog.Slice(1, offset, 9, 1<<20)...)
		r.prunedTo = offset
		r.locked(r.dropTombstones)
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 0)), []uint64{offset})
	})
}
