package replica

import (
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/disk/frame"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
)

var ctx = context.Background()

func startReplica(t *testing.T, disk *memlog.Disk, incarnation string) *Replica {
	r := New(clock.Real{})
	parts := map[uint16]journal.Part{}
	for _, recordType := range RecordTypes() {
		parts[recordType] = r
	}
	opened, _, err := journal.Open(disk, clock.Real{}, parts, []journal.Part{r})
	assert.NilError(t, err)
	runCtx, stop := context.WithCancel(ctx)
	t.Cleanup(stop)
	go opened.Run(runCtx)
	r.Start(incarnation, opened)
	return r
}

func entriesAfter(after log.Position, epoch uint64, bodies ...string) []log.Entry {
	var entries []log.Entry
	for _, body := range bodies {
		entry := log.Entry{
			Offset: after.Offset + 1, Epoch: epoch, Type: log.TypeMessage, Body: []byte(body),
			Digest: log.Digest([]byte(body)),
		}
		entry.Chain = log.NextChain(after.Chain, entry)
		entries, after = append(entries, entry), entry.Position()
	}
	return entries
}

func targetAt(epoch uint64) Target { return Target{Partition: 1, Incarnation: "i", Epoch: epoch} }

func appendEntries(
	t *testing.T, r *Replica, kind log.Kind, epoch uint64, after log.Position, bodies ...string,
) log.Position {
	entries := entriesAfter(after, epoch, bodies...)
	response, err := r.Append(ctx, &AppendRequest{Target: targetAt(epoch), Kind: kind, After: after, Entries: entries})
	assert.NilError(t, err)
	assert.Assert(t, response.Matched)
	return entries[len(entries)-1].Position()
}

func TestFencedEpochsStayFencedAcrossPowerLoss(t *testing.T) {
	disk := memlog.New()
	r := startReplica(t, disk, "i")
	last := appendEntries(t, r, log.KindInput, 1, log.Position{}, "a", "b")
	response, err := r.Seal(ctx, &SealRequest{Target: targetAt(3)})
	assert.NilError(t, err)
	assert.Equal(t, response.Tails[log.KindInput].Last, last)
	disk.LosePower(true)
	r = startReplica(t, disk, "i")
	for _, kind := range log.Kinds {
		_, err = r.Append(ctx, &AppendRequest{
			Target: targetAt(2), Kind: kind, After: r.Log(1, kind).Last(),
			Entries: entriesAfter(r.Log(1, kind).Last(), 2, "late"),
		})
		assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%s: %v", kind, err)
	}
	_, err = r.Seal(ctx, &SealRequest{Target: targetAt(2)})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%v", err)
	_, err = r.Drop(ctx, &DropRequest{targetAt(2)})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%v", err)
	assert.Equal(t, r.Log(1, log.KindInput).Last(), last)
}

func TestAnotherIncarnationIsRejected(t *testing.T) {
	r := startReplica(t, memlog.New(), "j")
	_, err := r.Seal(ctx, &SealRequest{Target: targetAt(1)})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
	_, err = r.Append(ctx, &AppendRequest{Target: targetAt(1), Kind: log.KindInput})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
	_, err = r.Fetch(ctx, &FetchRequest{Partition: 1, Incarnation: "i", Kind: log.KindInput})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
}

func TestTailThatDiffersIsReplacedAndAlteredEntriesAreNot(t *testing.T) {
	disk := memlog.New()
	r := startReplica(t, disk, "i")
	common := appendEntries(t, r, log.KindInput, 1, log.Position{}, "a")
	appendEntries(t, r, log.KindInput, 1, common, "lost", "lost too")
	response, err := r.Append(ctx, &AppendRequest{
		Target: targetAt(2), Kind: log.KindInput, After: log.Position{Offset: 2, Epoch: 1, Chain: 5},
	})
	assert.NilError(t, err)
	assert.Assert(t, !response.Matched, "another log at the same offset")
	altered := entriesAfter(common, 2, "x")
	altered[0].Body = []byte("altered")
	_, err = r.Append(ctx, &AppendRequest{Target: targetAt(2), Kind: log.KindInput, After: common, Entries: altered})
	assert.Assert(t, apierror.HasCode(err, apierror.LogMismatch), "%v", err)
	last := appendEntries(t, r, log.KindInput, 2, common, "new")
	disk.LosePower(false)
	r = startReplica(t, disk, "i")
	assert.Equal(t, r.Log(1, log.KindInput).Last(), last)
	assert.Equal(t, string(r.Log(1, log.KindInput).Slice(2, 2, 1, 1)[0].Body), "new")
}

func TestSnapshotIsUsedOnlyWhereItsPositionIsOnTheChangelog(t *testing.T) {
	disk := memlog.New()
	r := startReplica(t, disk, "i")
	first := appendEntries(t, r, log.KindChangelog, 1, log.Position{}, "one")
	second := appendEntries(t, r, log.KindChangelog, 1, first, "two")
	assert.NilError(t, r.SaveSnapshot(ctx, Snapshot{Partition: 1, At: second, Input: 9, State: []byte(`{}`)}))
	r = startReplica(t, disk, "i")
	snapshot, ok := r.Snapshot(1)
	assert.Assert(t, ok)
	assert.Equal(t, snapshot.Input, uint64(9))
	appendEntries(t, r, log.KindChangelog, 2, first, "another two")
	_, ok = r.Snapshot(1)
	assert.Assert(t, !ok, "the snapshot is of a tail that was truncated")
	_, err := r.Drop(ctx, &DropRequest{targetAt(3)})
	assert.NilError(t, err)
	_, ok = r.Snapshot(1)
	assert.Assert(t, !ok)
	assert.Equal(t, len(startReplica(t, disk, "i").Partitions()), 0, "a dropped partition has entries after a restart")
}

// A snapshot before the end of the changelog is used while its position is on the changelog, and
// not once another leader replaced that part of it.
func TestSnapshotBehindTheEndOfTheChangelog(t *testing.T) {
	r := startReplica(t, memlog.New(), "i")
	snapshotAt := appendEntries(t, r, log.KindChangelog, 1, log.Position{}, "a", "b")
	assert.NilError(t, r.SaveSnapshot(ctx, Snapshot{Partition: 1, At: snapshotAt, Input: 7, State: []byte(`{}`)}))
	replacedLast := appendEntries(t, r, log.KindChangelog, 1, snapshotAt, "c", "d")
	_, ok := r.Snapshot(1)
	assert.Assert(t, ok, "the changelog grew, and the snapshot's position is on it")
	assert.NilError(t, r.TruncateAfter(ctx, targetAt(1), log.KindChangelog, 1, false))
	first, _ := r.Log(1, log.KindChangelog).Position(1)
	appendEntries(t, r, log.KindChangelog, 2, first, "B", "C", "D")
	_, ok = r.Snapshot(1)
	assert.Assert(t, !ok, "the snapshot's position is on a tail that was replaced")
	assert.Assert(t, replacedLast != r.Log(1, log.KindChangelog).Last())
}

// Guards against a leader that was delayed between sealing and adopting, and then truncated what a
// later leader had written to the disk since.
func TestFencedLeaderTruncatesNothing(t *testing.T) {
	r := startReplica(t, memlog.New(), "i")
	common := appendEntries(t, r, log.KindInput, 1, log.Position{}, "a", "b")
	_, err := r.Seal(ctx, &SealRequest{Target: targetAt(2)})
	assert.NilError(t, err)
	_, err = r.Seal(ctx, &SealRequest{Target: targetAt(3)})
	assert.NilError(t, err)
	last := appendEntries(t, r, log.KindInput, 3, common, "acknowledged")
	err = r.TruncateAfter(ctx, targetAt(2), log.KindInput, 1, false)
	assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%v", err)
	assert.Equal(t, r.Log(1, log.KindInput).Last(), last)
	assert.NilError(t, r.TruncateAfter(ctx, targetAt(3), log.KindInput, common.Offset, false))
	assert.Equal(t, r.Log(1, log.KindInput).Last(), common)
}

// Data directories of the first format have bodies in JSON.
func TestFoldersOfTheFirstFormatAreRead(t *testing.T) {
	disk := memlog.New()
	entries := entriesAfter(log.Position{}, 1, "a", "b")
	var records [][]byte
	for _, entry := range entries {
		body, err := json.Marshal(entryRecord{log.ID{Partition: 1, Kind: log.KindInput}, entry})
		assert.NilError(t, err)
		encoded := frame.Encode(frame.Frame{
			Kind: recordtype.Entry, Index: entry.Offset, Epoch: 1, Offset: entry.Offset, Body: body,
		})
		encoded[6] = 1
		records = append(records, frame.WriteChecksum(encoded))
	}
	assert.NilError(t, disk.Write(1, records))
	assert.NilError(t, disk.Sync())
	for range 2 {
		r := startReplica(t, disk, "i")
		assert.DeepEqual(t, r.Log(1, log.KindInput).Slice(0, ^uint64(0), 9, 1<<20), entries)
		entries = append(entries, entriesAfter(entries[len(entries)-1].Position(), 2, "c")...)
		appendEntries(t, r, log.KindInput, 2, entries[len(entries)-2].Position(), "c")
	}
}

// A replica reports a log as identical only while the log ends where its leader expects and the
// partition has not been sealed under a higher epoch since.
func TestCompareIdle_IdenticalUntilSealedOrDifferent(t *testing.T) {
	compare := func(r *Replica, incarnation string, logs ...IdleLog) (bool, error) {
		request := &CompareIdleRequest{
			Incarnation: incarnation, Partitions: map[log.Kind][]int{}, Checksum: IdleChecksum(logs),
		}
		for _, idleLog := range logs {
			request.Partitions[idleLog.Kind] = append(request.Partitions[idleLog.Kind], idleLog.Partition)
		}
		response, err := r.CompareIdle(t.Context(), request)
		return err == nil && response.Identical, err
	}
	r := startReplica(t, memlog.New(), "i")
	last := appendEntries(t, r, log.KindInput, 3, log.Position{}, "a")
	oneEntry, noEntries := IdleLog{
		Partition: 1, Kind: log.KindInput, Epoch: 3, Last: last,
	}, IdleLog{Partition: 1, Kind: log.KindChangelog, Epoch: 3}
	logCount := len(r.logs)
	ok, err := compare(r, "i", noEntries, oneEntry)
	assert.Assert(t, ok && err == nil)
	for _, different := range []IdleLog{
		{1, log.KindInput, 3, log.Position{}}, {1, log.KindInput, 2, last}, {2, log.KindInput, 3, last},
	} {
		ok, err = compare(r, "i", noEntries, different)
		assert.Assert(t, !ok && err == nil, "%+v", different)
	}
	assert.Equal(t, len(r.logs), logCount, "a comparison creates no logs")
	_, err = compare(r, "another", oneEntry)
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk))
	_, err = r.Seal(t.Context(), &SealRequest{Target: targetAt(4)})
	assert.NilError(t, err)
	ok, err = compare(r, "i", noEntries, oneEntry)
	assert.Assert(t, !ok && err == nil)
}
