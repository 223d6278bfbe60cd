package crash

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/disk/journal"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/recordtype"
	"postjunction/internal/voters"
)

type diskParts struct {
	journal  *journal.Journal
	acceptor *acceptor.Acceptor
	replica  *replica.Replica
}

func boot(t *testing.T, disk journal.Log) (*diskParts, journal.Report, func()) {
	t.Helper()
	opened := &diskParts{acceptor: acceptor.New(), replica: replica.New(clock.Real{})}
	parts := map[uint16]journal.Part{recordtype.Slot: opened.acceptor, recordtype.VoterSet: opened.acceptor}
	for _, recordType := range replica.RecordTypes() {
		parts[recordType] = opened.replica
	}
	diskJournal, report, err := journal.Open(disk, clock.Real{}, parts, []journal.Part{opened.acceptor, opened.replica})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		diskJournal.Run(ctx)
		close(done)
	}()
	opened.journal = diskJournal
	opened.replica.Start("i", diskJournal)
	opened.acceptor.Start("i1", diskJournal, func(voters.Set) error { return nil }, func(voters.Set) {})
	return opened, report, func() {
		stop()
		<-done
	}
}

func initialVoterSet() voters.Set {
	return voters.NewSet([]voters.Voter{{Node: "c1", Incarnation: "i1"}, {Node: "c2", Incarnation: "i2"},
		{Node: "c3", Incarnation: "i3"}}, voters.Layout{RoutinePartitions: 2, UrgentPartitions: 1})
}

func entries(after log.Position, epoch uint64, count int) []log.Entry {
	var entries []log.Entry
	for i := range count {
		b := []byte(fmt.Sprintf("%d/%d", epoch, i))
		entry := log.Entry{Offset: after.Offset + 1, Epoch: epoch, Type: log.TypeMessage, Body: b,
			Digest: log.Digest(b)}
		entry.Chain = log.NextChain(after.Chain, entry)
		entries, after = append(entries, entry), entry.Position()
	}
	return entries
}

// diskState is everything that a disk has promised and stored.
type diskState struct {
	seals    map[int]uint64
	logs     map[log.ID]map[uint64]log.Position
	slots    map[string]acceptor.Slot
	voterSet uint64
}

const partitions = 3

func (d *diskParts) diskState(t *testing.T) diskState {
	t.Helper()
	contents := diskState{seals: map[int]uint64{}, logs: map[log.ID]map[uint64]log.Position{},
		slots: map[string]acceptor.Slot{}, voterSet: d.acceptor.VoterSet().Sequence}
	for partition := range partitions {
		contents.seals[partition] = d.replica.Sealed(partition)
		for _, kind := range log.Kinds {
			positions := map[uint64]log.Position{}
			for _, entry := range d.replica.Log(partition, kind).Slice(0, ^uint64(0), 1<<30, 1<<30) {
				positions[entry.Offset] = entry.Position()
			}
			contents.logs[log.ID{Partition: partition, Kind: kind}] = positions
		}
		if snapshot, ok := d.replica.Snapshot(partition); ok {
			position, found := d.replica.Log(partition, log.KindChangelog).Position(snapshot.At.Offset)
			assert.Assert(t, found && position == snapshot.At,
				"a snapshot whose position is not on the changelog was returned")
		}
	}
	if contents.voterSet > 0 {
		for _, sealed := range []bool{false, true} {
			if answer, err := d.acceptor.Peek(context.Background(), &acceptor.PeekRequest{VoterSet: contents.voterSet,
				Incarnation: "i1", Sealed: sealed}); err == nil {
				contents.slots = answer.Slots
			}
		}
	}
	return contents
}

// checkBetween checks that a recovered state lies between the state after the last answered request
// and the state after the request in flight.
func checkBetween(recovered, answered, next diskState) error {
	for partition, epoch := range recovered.seals {
		if epoch < answered.seals[partition] {
			return fmt.Errorf("partition %d was sealed at %d, recovered at %d", partition, answered.seals[partition],
				epoch)
		}
	}
	for id, before := range answered.logs {
		after := next.logs[id]
		for offset, position := range before {
			if after[offset] == position && recovered.logs[id][offset] != position {
				return fmt.Errorf("%v: entry %d was acknowledged and is lost", id, offset)
			}
		}
		for offset, position := range recovered.logs[id] {
			if before[offset] != position && after[offset] != position {
				return fmt.Errorf("%v: entry %d was never appended", id, offset)
			}
		}
	}
	if recovered.voterSet < answered.voterSet {
		return fmt.Errorf("voter set %d was recovered as %d", answered.voterSet, recovered.voterSet)
	}
	for key, slot := range answered.slots {
		recoveredSlot := recovered.slots[key]
		if recovered.voterSet == answered.voterSet && (recoveredSlot.Promised.Less(slot.Promised) ||
			slot.NewerThan(recoveredSlot)) {
			return fmt.Errorf("key %s: promised %v and accepted %v, recovered as %v and %v", key, slot.Promised,
				slot.Accepted, recoveredSlot.Promised, recoveredSlot.Accepted)
		}
	}
	return nil
}

// operations returns requests of every kind that changes a disk: bootstrap, promises, appends of
// two epochs, a replaced tail, trims, a reset, snapshots, a drop and a new voter set. They write so
// many records that the journal is compacted in between.
func operations() []func(d *diskParts) error {
	ctx := context.Background()
	target := func(partition int, epoch uint64) replica.Target {
		return replica.Target{Partition: partition, Incarnation: "i", Epoch: epoch}
	}
	appendEntries := func(partition int, kind log.Kind, epoch uint64, after func(prior *log.Log) log.Position,
		count int, reset bool) func(*diskParts) error {
		return func(d *diskParts) error {
			position := after(d.replica.Log(partition, kind))
			answer, err := d.replica.Append(ctx, &replica.AppendRequest{Target: target(partition, epoch), Kind: kind,
				After: position, Entries: entries(position, epoch, count), Reset: reset})
			if err == nil && !answer.Matched {
				err = fmt.Errorf("the logs did not match")
			}
			return err
		}
	}
	end := func(l *log.Log) log.Position { return l.Last() }
	beforeLast := func(count uint64) func(l *log.Log) log.Position {
		return func(l *log.Log) log.Position {
			position, _ := l.Position(l.Last().Offset - count)
			return position
		}
	}
	seal := func(partition int, epoch uint64) func(*diskParts) error {
		return func(d *diskParts) error {
			_, err := d.replica.Seal(ctx, &replica.SealRequest{Target: target(partition, epoch)})
			return err
		}
	}
	trim := func(partition int, kind log.Kind, epoch, keepCount uint64) func(*diskParts) error {
		return func(d *diskParts) error {
			l := d.replica.Log(partition, kind)
			base, _ := l.Position(l.Last().Offset - keepCount)
			_, err := d.replica.Append(ctx, &replica.AppendRequest{Target: target(partition, epoch), Kind: kind,
				After: l.Last(), Base: base})
			return err
		}
	}
	saveSnapshot := func(partition int) func(*diskParts) error {
		return func(d *diskParts) error {
			return d.replica.SaveSnapshot(ctx, replica.Snapshot{Partition: partition,
				At: d.replica.Log(partition, log.KindChangelog).Last(), Input: 1, State: []byte(`{}`)})
		}
	}
	slot := func(key string, sequence uint64) acceptor.Target {
		return acceptor.Target{VoterSet: sequence, Incarnation: "i1", Key: key}
	}
	promise := func(key string, number uint64) func(*diskParts) error {
		return func(d *diskParts) error {
			_, err := d.acceptor.Promise(ctx, &acceptor.PromiseRequest{Target: slot(key, d.acceptor.VoterSet().Sequence),
				Epoch: epoch.Epoch{Number: number, Node: "c1"}})
			return err
		}
	}
	accept := func(key string, number, version uint64) func(*diskParts) error {
		return func(d *diskParts) error {
			_, err := d.acceptor.Accept(ctx, &acceptor.AcceptRequest{Target: slot(key, d.acceptor.VoterSet().Sequence),
				Epoch: epoch.Epoch{Number: number, Node: "c1"}, Value: acceptor.Value{Version: version, Body: []byte(key)}})
			return err
		}
	}
	operations := []func(*diskParts) error{
		func(d *diskParts) error {
			_, err := d.acceptor.Bootstrap(ctx, &acceptor.BootstrapRequest{Incarnation: "i1",
				VoterSet: initialVoterSet()})
			return err
		},
		func(d *diskParts) error {
			_, err := d.acceptor.Activate(ctx, &acceptor.ActivateRequest{Incarnation: "i1", VoterSet: initialVoterSet(),
				Bootstrap: true})
			return err
		},
		promise("description", 1), accept("description", 1, 1), promise("description", 3),
		accept("description", 3, 2), promise("partition/000", 2),
		seal(0, 1), appendEntries(0, log.KindInput, 1, end, 5, false),
		appendEntries(0, log.KindChangelog, 1, end, 3, false), saveSnapshot(0), seal(0, 2),
		appendEntries(0, log.KindInput, 2, beforeLast(2), 4, false), trim(0, log.KindInput, 2, 3),
		appendEntries(0, log.KindChangelog, 2, end, 2, false), saveSnapshot(0), trim(0, log.KindChangelog, 2, 2),
		seal(1, 4), appendEntries(1, log.KindInput, 4, end, 6, false),
		appendEntries(1, log.KindInput, 5, func(*log.Log) log.Position {
			return log.Position{Epoch: 4, Offset: 20, Chain: 7}
		}, 3, true),
		func(d *diskParts) error { return d.replica.TruncateAfter(ctx, target(1, 5), log.KindInput, 22, false) },
		seal(2, 1), appendEntries(2, log.KindInput, 1, end, 4, false),
		func(d *diskParts) error {
			_, err := d.replica.Drop(ctx, &replica.DropRequest{Target: target(2, 9)})
			return err
		},
		accept(acceptor.VoterSetKey, 1, 1),
		func(d *diskParts) error {
			voterSet := d.acceptor.VoterSet()
			voterSet.Sequence++
			_, err := d.acceptor.Activate(ctx, &acceptor.ActivateRequest{Incarnation: "i1", VoterSet: voterSet,
				Slots: map[string]acceptor.Slot{"description": {Accepted: epoch.Epoch{Number: 3, Node: "c1"},
					Value: acceptor.Value{Version: 2}}}})
			return err
		},
		promise("description", 7),
	}
	for range 9 {
		operations = append(operations, appendEntries(0, log.KindInput, 2, end, 500, false),
			trim(0, log.KindInput, 2, 40))
	}
	return append(operations, seal(0, 8), accept("description", 7, 3),
		appendEntries(0, log.KindInput, 8, end, 2, false))
}

const maxExtraSeals = 64

// Power is lost after every operation of the disk, with various numbers of unsynced records
// persisted and the next one torn or not. Under the race detector only every fourth operation is
// tried.
func TestPowerLostAfterEveryWrite(t *testing.T) {
	disk := New()
	opened, _, stop := boot(t, disk)
	states := []diskState{opened.diskState(t)}
	run := func(number int, operation func(*diskParts) error) {
		assert.NilError(t, operation(opened), "request %d", number)
		states = append(states, opened.diskState(t))
		disk.Answer()
	}
	operations := operations()
	for i, operation := range operations {
		run(i, operation)
	}
	// A compaction advances by one slice with each write: more is written until a compaction has
	// finished.
	for epoch := uint64(1); opened.journal.Counters().Compactions == 0 && epoch < maxExtraSeals; epoch++ {
		run(len(operations)+int(epoch), func(d *diskParts) error {
			_, err := d.replica.Seal(t.Context(), &replica.SealRequest{
				Target: replica.Target{Partition: 7, Incarnation: "i", Epoch: epoch}})
			return err
		})
	}
	counters := opened.journal.Counters()
	stop()
	assert.Assert(t, counters.Compactions > 0, "void: the journal was never compacted")
	cases, casesByOperation := 0, map[string]int{}
	for index, moment := range disk.Moments() {
		unsynced := moment.Disk.Unsynced()
		if raceEnabled && index%4 != 0 {
			continue
		}
		for persisted := 0; persisted <= unsynced; persisted += max(1, unsynced/8) {
			for _, torn := range []bool{false, true} {
				copied := moment.Disk.Copy()
				copied.LosePowerAfter(persisted, torn)
				restarted, report, stop := boot(t, copied)
				recovered := restarted.diskState(t)
				stop()
				cases++
				casesByOperation[moment.Op]++
				assert.Assert(t, !report.Damaged, "moment %d (%s), %d of %d persisted, torn %v: %v", index, moment.Op,
					persisted, unsynced, torn, report.Cause)
				assert.NilError(t, checkBetween(recovered, states[moment.Answered],
					states[min(moment.Answered+1, len(states)-1)]),
					"moment %d (%s), %d of %d unsynced persisted, torn %v", index, moment.Op, persisted, unsynced, torn)
			}
		}
	}
	t.Logf("%d moments, %d ways to lose power: %v", len(disk.Moments()), cases, casesByOperation)
}
