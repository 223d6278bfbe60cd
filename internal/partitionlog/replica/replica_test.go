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

func boot(t *testing.T, d *memlog.Disk, inc string) *Replica {
	r := New(clock.Real{})
	parts := map[uint16]journal.Part{}
	for _, k := range RecordTypes() {
		parts[k] = r
	}
	j, _, err := journal.Open(d, clock.Real{}, parts, []journal.Part{r})
	assert.NilError(t, err)
	cx, stop := context.WithCancel(ctx)
	t.Cleanup(stop)
	go j.Run(cx)
	r.Start(inc, j)
	return r
}

func chain(after log.Position, epoch uint64, bodies ...string) []log.Entry {
	var es []log.Entry
	for _, b := range bodies {
		e := log.Entry{
			Offset: after.Offset + 1, Epoch: epoch, Type: log.TypeMessage, Body: []byte(b),
			Digest: log.Digest([]byte(b)),
		}
		e.Chain = log.NextChain(after.Chain, e)
		es, after = append(es, e), e.Position()
	}
	return es
}

func to(epoch uint64) Target { return Target{Partition: 1, Incarnation: "i", Epoch: epoch} }

func put(t *testing.T, r *Replica, k log.Kind, epoch uint64, after log.Position, bodies ...string) log.Position {
	es := chain(after, epoch, bodies...)
	a, err := r.Append(ctx, &AppendRequest{Target: to(epoch), Kind: k, After: after, Entries: es})
	assert.NilError(t, err)
	assert.Assert(t, a.Matched)
	return es[len(es)-1].Position()
}

func TestFencedEpochsStayFencedAcrossPowerLoss(t *testing.T) {
	d := memlog.New()
	r := boot(t, d, "i")
	p := put(t, r, log.KindLedger, 1, log.Position{}, "a", "b")
	s, err := r.Seal(ctx, &SealRequest{Target: to(3)})
	assert.NilError(t, err)
	assert.Equal(t, s.Tails[log.KindLedger].Last, p)
	d.LosePower(true)
	r = boot(t, d, "i")
	for _, k := range log.Kinds {
		_, err = r.Append(ctx, &AppendRequest{
			Target: to(2), Kind: k, After: r.Log(1, k).Last(), Entries: chain(r.Log(1, k).Last(), 2, "late"),
		})
		assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%s: %v", k, err)
	}
	_, err = r.Seal(ctx, &SealRequest{Target: to(2)})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%v", err)
	_, err = r.Drop(ctx, &DropRequest{to(2)})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%v", err)
	assert.Equal(t, r.Log(1, log.KindLedger).Last(), p)
}

func TestAnotherIncarnationIsTurnedAway(t *testing.T) {
	r := boot(t, memlog.New(), "j")
	_, err := r.Seal(ctx, &SealRequest{Target: to(1)})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
	_, err = r.Append(ctx, &AppendRequest{Target: to(1), Kind: log.KindLedger})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
	_, err = r.Fetch(ctx, &FetchRequest{Partition: 1, Incarnation: "i", Kind: log.KindLedger})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
}

func TestTailThatDiffersIsReplacedAndAlteredEntriesAreNot(t *testing.T) {
	d := memlog.New()
	r := boot(t, d, "i")
	p := put(t, r, log.KindLedger, 1, log.Position{}, "a")
	put(t, r, log.KindLedger, 1, p, "lost", "lost too")
	a, err := r.Append(ctx, &AppendRequest{
		Target: to(2), Kind: log.KindLedger, After: log.Position{Offset: 2, Epoch: 1, Chain: 5},
	})
	assert.NilError(t, err)
	assert.Assert(t, !a.Matched, "another line at the same place")
	bad := chain(p, 2, "x")
	bad[0].Body = []byte("altered")
	_, err = r.Append(ctx, &AppendRequest{Target: to(2), Kind: log.KindLedger, After: p, Entries: bad})
	assert.Assert(t, apierror.HasCode(err, apierror.LogMismatch), "%v", err)
	q := put(t, r, log.KindLedger, 2, p, "kept")
	d.LosePower(false)
	r = boot(t, d, "i")
	assert.Equal(t, r.Log(1, log.KindLedger).Last(), q)
	assert.Equal(t, string(r.Log(1, log.KindLedger).Slice(2, 2, 1, 1)[0].Body), "kept")
}

func TestDirectoryIsUsedOnlyWhereItsPointIsOnTheChangelog(t *testing.T) {
	d := memlog.New()
	r := boot(t, d, "i")
	p := put(t, r, log.KindChangelog, 1, log.Position{}, "one")
	q := put(t, r, log.KindChangelog, 1, p, "two")
	assert.NilError(t, r.SaveSnapshot(ctx, Snapshot{Partition: 1, At: q, Input: 9, State: []byte(`{}`)}))
	r = boot(t, d, "i")
	got, ok := r.Snapshot(1)
	assert.Assert(t, ok)
	assert.Equal(t, got.Input, uint64(9))
	put(t, r, log.KindChangelog, 2, p, "another two")
	_, ok = r.Snapshot(1)
	assert.Assert(t, !ok, "the directory is of a tail that was cut")
	_, err := r.Drop(ctx, &DropRequest{to(3)})
	assert.NilError(t, err)
	_, ok = r.Snapshot(1)
	assert.Assert(t, !ok)
	assert.Equal(t, len(boot(t, d, "i").Partitions()), 0, "a dropped partition comes back")
}

// A state directory of an older day counts while its point is on the changelog, and not once
// another owner replaced that part of it.
func TestDirectoryOfAnOlderDay(t *testing.T) {
	r := boot(t, memlog.New(), "i")
	p := put(t, r, log.KindChangelog, 1, log.Position{}, "a", "b")
	assert.NilError(t, r.SaveSnapshot(ctx, Snapshot{Partition: 1, At: p, Input: 7, State: []byte(`{}`)}))
	q := put(t, r, log.KindChangelog, 1, p, "c", "d")
	_, ok := r.Snapshot(1)
	assert.Assert(t, ok, "the changelog went on, the directory's point is still on it")
	assert.NilError(t, r.TruncateAfter(ctx, to(1), log.KindChangelog, 1, false))
	first, _ := r.Log(1, log.KindChangelog).Position(1)
	put(t, r, log.KindChangelog, 2, first, "B", "C", "D")
	_, ok = r.Snapshot(1)
	assert.Assert(t, !ok, "the directory stands on a tail that was replaced")
	assert.Assert(t, q != r.Log(1, log.KindChangelog).Last())
}

// An owner held up between sealing and adopting once cut what a later owner had put on the disk
// since.
func TestFencedOwnerCutsNothing(t *testing.T) {
	r := boot(t, memlog.New(), "i")
	p := put(t, r, log.KindLedger, 1, log.Position{}, "a", "b")
	_, err := r.Seal(ctx, &SealRequest{Target: to(2)})
	assert.NilError(t, err)
	_, err = r.Seal(ctx, &SealRequest{Target: to(3)})
	assert.NilError(t, err)
	q := put(t, r, log.KindLedger, 3, p, "told to be taken")
	err = r.TruncateAfter(ctx, to(2), log.KindLedger, 1, false)
	assert.Assert(t, apierror.HasCode(err, apierror.StaleEpoch), "%v", err)
	assert.Equal(t, r.Log(1, log.KindLedger).Last(), q)
	assert.NilError(t, r.TruncateAfter(ctx, to(3), log.KindLedger, p.Offset, false))
	assert.Equal(t, r.Log(1, log.KindLedger).Last(), p)
}

// Folders of the first format had bodies in JSON.
func TestFoldersOfTheFirstFormatAreRead(t *testing.T) {
	d := memlog.New()
	es := chain(log.Position{}, 1, "a", "b")
	var rs [][]byte
	for _, e := range es {
		b, err := json.Marshal(entryRecord{log.ID{Partition: 1, Kind: log.KindLedger}, e})
		assert.NilError(t, err)
		f := frame.Encode(frame.Frame{Kind: recordtype.Entry, Index: e.Offset, Epoch: 1, Offset: e.Offset, Body: b})
		f[6] = 1
		rs = append(rs, frame.WriteChecksum(f))
	}
	assert.NilError(t, d.Write(1, rs))
	assert.NilError(t, d.Sync())
	for range 2 {
		r := boot(t, d, "i")
		assert.DeepEqual(t, r.Log(1, log.KindLedger).Slice(0, ^uint64(0), 9, 1<<20), es)
		es = append(es, chain(es[len(es)-1].Position(), 2, "c")...)
		put(t, r, log.KindLedger, 2, es[len(es)-2].Position(), "c")
	}
}

// A copy tells that a line stands as it was told only while it ends there and nobody has sealed its
// partition under a higher epoch since.
func TestStillStands(t *testing.T) {
	still := func(r *Replica, inc string, ss ...IdleLog) (bool, error) {
		q := &CompareIdleRequest{Incarnation: inc, Partitions: map[log.Kind][]int{}, Checksum: IdleChecksum(ss)}
		for _, s := range ss {
			q.Partitions[s.Kind] = append(q.Partitions[s.Kind], s.Partition)
		}
		a, err := r.CompareIdle(t.Context(), q)
		return err == nil && a.Identical, err
	}
	r := boot(t, memlog.New(), "i")
	e := put(t, r, log.KindLedger, 3, log.Position{}, "a")
	one, none := IdleLog{
		Partition: 1, Kind: log.KindLedger, Epoch: 3, Last: e,
	}, IdleLog{Partition: 1, Kind: log.KindChangelog, Epoch: 3}
	lines := len(r.logs)
	ok, err := still(r, "i", none, one)
	assert.Assert(t, ok && err == nil)
	for _, bad := range []IdleLog{
		{1, log.KindLedger, 3, log.Position{}}, {1, log.KindLedger, 2, e}, {2, log.KindLedger, 3, e},
	} {
		ok, err = still(r, "i", none, bad)
		assert.Assert(t, !ok && err == nil, "%+v", bad)
	}
	assert.Equal(t, len(r.logs), lines, "asking makes no lines")
	_, err = still(r, "another", one)
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk))
	_, err = r.Seal(t.Context(), &SealRequest{Target: to(4)})
	assert.NilError(t, err)
	ok, err = still(r, "i", none, one)
	assert.Assert(t, !ok && err == nil)
}
