package golden

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/assignment"
	"postjunction/internal/client/token"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/disk/frame"
	"postjunction/internal/disk/identity"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/disk/walog"
	"postjunction/internal/operator/orderlog"
	partitionlog "postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/recordtype"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
	"postjunction/internal/voters"
)

const diskIncarnation = "1111222233334444"

// machine has all parts of a node that store records in one journal.
type machine struct {
	id      *identity.Part
	voter   *acceptor.Acceptor
	replica *replica.Replica
	journal *journal.Journal
	report  journal.Report
}

func open(t *testing.T, disk journal.Log) *machine {
	t.Helper()
	opened := &machine{id: &identity.Part{}, voter: acceptor.New(), replica: replica.New(clock.Real{})}
	parts := map[uint16]journal.Part{recordtype.Identity: opened.id, recordtype.Slot: opened.voter,
		recordtype.VoterSet: opened.voter}
	for _, recordType := range replica.RecordTypes() {
		parts[recordType] = opened.replica
	}
	var err error
	order := []journal.Part{opened.id, opened.voter, opened.replica}
	opened.journal, opened.report, err = journal.Open(disk, clock.Real{}, parts, order)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		opened.journal.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		assert.NilError(t, disk.Close())
	})
	opened.replica.Start(diskIncarnation, opened.journal)
	opened.voter.Start(diskIncarnation, opened.journal, func(voters.Set) error { return nil }, func(voters.Set) {})
	return opened
}

// claim gives the disk a fixed incarnation, which is random in a node.
func (m *machine) claim(t *testing.T) {
	t.Helper()
	name := fmt.Sprintf(`{"node":"machine-1","incarnation":%q}`, diskIncarnation)
	assert.NilError(t, m.id.Restore(journal.Record{Kind: recordtype.Identity, Body: []byte(name)}))
	assert.NilError(t, m.id.Join(t.Context(), m.journal, "fleet-1"))
}

func initialVoterSet() voters.Set {
	var members []voters.Voter
	for i := range 3 {
		node, address := fmt.Sprintf("machine-%d", 3-i), fmt.Sprintf("127.0.0.1:750%d", i)
		members = append(members, voters.Voter{Node: node, Addr: address, Incarnation: diskIncarnation})
	}
	return voters.NewSet(members, voters.Layout{RoutinePartitions: 4, UrgentPartitions: 2, ToleratedLosses: 1})
}

// writeControl performs all operations that write records to a control disk.
func (m *machine) writeControl(t *testing.T) {
	t.Helper()
	ctx, voterSet := t.Context(), initialVoterSet()
	m.claim(t)
	_, err := m.voter.Bootstrap(ctx, &acceptor.BootstrapRequest{Incarnation: diskIncarnation, VoterSet: voterSet})
	assert.NilError(t, err)
	lowEpoch := epoch.Epoch{Number: 2, Node: "machine-1"}
	value := acceptor.Value{
		Version: 1, ChangeID: "order-0", Body: []byte(`{"base":0,"spaces":[]}`), Metadata: orders().Marshal(),
	}
	_, err = m.voter.Activate(ctx, &acceptor.ActivateRequest{
		Incarnation: diskIncarnation, VoterSet: voterSet, Bootstrap: true,
		Slots: map[string]acceptor.Slot{"description": {Promised: lowEpoch, Accepted: lowEpoch, Value: value}},
	})
	assert.NilError(t, err)
	highEpoch := epoch.Epoch{Number: 5, Node: "machine-2"}
	for _, key := range []string{"duty/drain", "partition/003"} {
		target := acceptor.Target{VoterSet: voterSet.Sequence, Incarnation: diskIncarnation, Key: key}
		answer, err := m.voter.Promise(ctx, &acceptor.PromiseRequest{Target: target, Epoch: highEpoch})
		assert.NilError(t, err)
		assert.Assert(t, answer.Granted)
		keyValue := acceptor.Value{
			Version: 3, ChangeID: "change-1", Successor: "machine-3",
			Body: []byte(`{"of":"` + key + `"}`), Metadata: []byte("beside " + key),
		}
		answer, err = m.voter.Accept(ctx, &acceptor.AcceptRequest{Target: target, Epoch: highEpoch, Value: keyValue})
		assert.NilError(t, err)
		assert.Assert(t, answer.Granted)
	}
	placementTarget := acceptor.Target{VoterSet: voterSet.Sequence, Incarnation: diskIncarnation, Key: "duty/placement"}
	answer, err := m.voter.Promise(ctx, &acceptor.PromiseRequest{Target: placementTarget, Epoch: highEpoch})
	assert.NilError(t, err)
	assert.Assert(t, answer.Granted)
}

// chainEntries gives entries their offsets, epochs, digests and chain sums after a position.
func chainEntries(after partitionlog.Position, entryEpoch uint64, entries ...partitionlog.Entry) []partitionlog.Entry {
	for i := range entries {
		entry := &entries[i]
		entry.Offset, entry.Epoch, entry.Digest = after.Offset+1, entryEpoch, partitionlog.Digest(entry.Body)
		entry.Chain = partitionlog.NextChain(after.Chain, *entry)
		after = entry.Position()
	}
	return entries
}

// sampleEntries returns entries of every type that a partition log contains.
func sampleEntries() []partitionlog.Entry {
	return []partitionlog.Entry{
		{Type: "start"},
		{Type: "attach", Client: "picker-7", Generation: 2, Body: []byte("secret")},
		{
			Type: "message", Topic: "aisles/a1", Client: "picker-7", Key: "k1", CallSeq: 3, Generation: 2,
			Configuration: 9, Body: []byte(`{"pick":12}`),
		},
		{
			Type: "reader", Client: "machine-2",
			Body: state.EncodeBody(state.ReaderEntry{BootID: "boot-1", GivenUp: true}),
		},
		{
			Type: "withdraw", Topic: "aisles/a1", Client: "picker-7", Key: "k1", CallSeq: 4, Generation: 2,
			Configuration: 9, Body: state.EncodeBody(state.SenderWithdrawal{Sender: "picker-8", UpTo: 6}),
		},
		{
			Type: "message", Topic: "aisles/a2", Client: "picker-8", CallSeq: 1, Generation: 1,
			Configuration: 9, Live: true, Body: []byte("plain"),
		},
		{Type: "cursor", Client: "picker-7", Body: []byte("c1.abc")},
	}
}

func sampleState() *state.State {
	sample := state.New()
	for _, entry := range chainEntries(partitionlog.Position{}, 4, sampleEntries()...) {
		sample.Apply(entry)
	}
	return sample
}

// writeStorage performs all operations that write records to a storage disk.
func (m *machine) writeStorage(t *testing.T) {
	t.Helper()
	ctx := t.Context()
	m.claim(t)
	target := func(partition int, epoch uint64) replica.Target {
		return replica.Target{Partition: partition, Incarnation: diskIncarnation, Epoch: epoch}
	}
	appendEntries := func(request *replica.AppendRequest) partitionlog.Position {
		answer, err := m.replica.Append(ctx, request)
		assert.NilError(t, err)
		assert.Assert(t, answer.Matched)
		return answer.Tail.Last
	}
	_, err := m.replica.Seal(ctx, &replica.SealRequest{Target: target(1, 3)})
	assert.NilError(t, err)
	entries := chainEntries(partitionlog.Position{}, 4, sampleEntries()...)
	appendEntries(&replica.AppendRequest{Target: target(1, 4), Kind: partitionlog.KindInput, Entries: entries,
		Commit: 6})
	appendEntries(&replica.AppendRequest{
		Target: target(1, 4), Kind: partitionlog.KindInput, After: entries[6].Position(), Base: entries[1].Position(),
		Commit: 7})
	changelogEntries := changelog.EncodeBatch(7, sampleState().TakeChanges(), true)
	changelogEntries = append(changelogEntries, changelog.EncodeCommit(changelog.Commit{Input: 7, Base: 1}))
	changelogEntries = chainEntries(partitionlog.Position{}, 4, changelogEntries...)
	last := appendEntries(&replica.AppendRequest{
		Target: target(1, 4), Kind: partitionlog.KindChangelog, Entries: changelogEntries, Commit: 2,
	})
	snapshot := replica.Snapshot{Partition: 1, At: last, Input: 7, State: sampleState().Marshal()}
	assert.NilError(t, m.replica.SaveSnapshot(ctx, snapshot))

	from := partitionlog.Position{Offset: 40, Epoch: 2, Chain: 77}
	resetEntries := chainEntries(from, 5, sampleEntries()[:3]...)
	appendEntries(&replica.AppendRequest{
		Target: target(2, 5), Kind: partitionlog.KindInput, After: from, Entries: resetEntries, Reset: true, Commit: 41,
	})
	assert.NilError(t, m.replica.TruncateAfter(ctx, target(2, 5), partitionlog.KindInput, 42, true))

	droppedEntries := chainEntries(partitionlog.Position{}, 6, sampleEntries()...)
	appendEntries(&replica.AppendRequest{Target: target(3, 6), Kind: partitionlog.KindInput, Entries: droppedEntries})
	_, err = m.replica.Drop(ctx, &replica.DropRequest{Target: target(3, 7)})
	assert.NilError(t, err)
}

// disks are the kinds of disks that a machine may have, and what is written to each.
var disks = []struct {
	name  string
	write func(m *machine, t *testing.T)
}{{"control", (*machine).writeControl}, {"storage", (*machine).writeStorage}}

func body(b []byte) string {
	if json.Valid(b) {
		return string(b)
	}
	return hex.EncodeToString(b)
}

// Compares the bytes of every record that is written to a journal, and of those that a compaction
// writes.
func TestBytesOnDisk(t *testing.T) {
	var out strings.Builder
	sample := frame.Frame{Kind: 3, Index: 4, SyncedIndex: 5, Epoch: 6, Offset: 7, Body: []byte("body")}
	fmt.Fprintf(&out, "format %d, header %d\nframe %x\n", frame.Format, frame.Size, frame.Encode(sample))
	fmt.Fprintf(&out, "kinds %d\n", []uint16{
		recordtype.Identity, recordtype.VoterSet, recordtype.Slot, recordtype.Seal, recordtype.Entry,
		recordtype.Truncation, recordtype.Base,
		recordtype.Forget, recordtype.Snapshot, recordtype.CompactionBegins, recordtype.CompactionEnds,
		recordtype.Probe})
	for _, disk := range disks {
		log := memlog.New()
		opened := open(t, log)
		disk.write(opened, t)
		first, last, err := log.Bounds()
		assert.NilError(t, err)
		for i := first; i <= last; i++ {
			b, err := log.Read(i)
			assert.NilError(t, err)
			head, rest := b[:frame.Size], b[frame.Size:]
			fmt.Fprintf(&out, "%s %d kind %d head %x body %s\n", disk.name, i, b[7], head, body(rest))
		}
		var rewritten []string
		for _, part := range []journal.Part{opened.id, opened.voter, opened.replica} {
			for _, slice := range part.Slices() {
				records, _ := slice()
				for _, record := range records {
					rewritten = append(rewritten, fmt.Sprintf("%s anew kind %d epoch %d offset %d body %s\n",
						disk.name, record.Kind, record.Epoch, record.Offset, body(record.Body)))
				}
			}
		}
		out.WriteString(strings.Join(sorted(rewritten), ""))
	}
	golden.Assert(t, out.String(), "records.golden")
}

func orders() orderlog.Log {
	log := orderlog.Log{ForgottenThrough: 3}
	for i := range uint64(2) {
		digest := orderlog.Digest{1, 2, 3, byte(i)}
		log = log.Append(orderlog.Order{Sequence: 5 + i, Base: 4 + i, Digest: digest})
	}
	return log
}

// Compares the contents of registers, entries and tokens.
func TestBodies(t *testing.T) {
	var out strings.Builder
	write := func(name string, b []byte) { fmt.Fprintf(&out, "%s %s\n", name, body(b)) }
	plain := func(name string, typ reflect.Type) {
		b, err := json.Marshal(filled(t, typ))
		assert.NilError(t, err)
		write(name, b)
	}
	write("ownership", filled(t, reflect.TypeFor[assignment.Record]()).(*assignment.Record).Marshal())
	write("drains", filled(t, reflect.TypeFor[decommission.Orders]()).(*decommission.Orders).Marshal())
	write("orders", orders().Marshal())
	config := filled(t, reflect.TypeFor[configuration.Config]()).(*configuration.Config)
	write("description", config.Marshal())
	write("order name", []byte(orderlog.OrderOf(*config).ChangeID()))
	write("retired", filled(t, reflect.TypeFor[configuration.RemovedSpaces]()).(*configuration.RemovedSpaces).Marshal())
	plain("roster", reflect.TypeFor[voters.Set]())
	write("founded", []byte(initialVoterSet().Fleet))
	plain("slot", reflect.TypeFor[acceptor.Slot]())
	plain("identity", reflect.TypeFor[identity.Identity]())
	plain("batch", reflect.TypeFor[changelog.Batch]())
	plain("commit", reflect.TypeFor[changelog.Commit]())
	plain("reads", reflect.TypeFor[state.ReaderEntry]())
	plain("passes", reflect.TypeFor[state.SenderWithdrawal]())
	write("state", filled(t, reflect.TypeFor[state.State]()).(*state.State).Marshal())
	write("state of entries", sampleState().Marshal())
	for _, item := range sampleState().TakeChanges() {
		write("item "+strings.ReplaceAll(item.Key, "\x1f", "|"), item.Value)
	}
	for _, entry := range chainEntries(partitionlog.Position{Offset: 1, Epoch: 2, Chain: 3}, 4, sampleEntries()...) {
		fmt.Fprintf(&out, "chain %x digest %s\n", entry.Chain, entry.Digest)
	}
	write("name of a call", []byte(state.CallDigest("message", "k1", "digest")))
	write("cursor", []byte(cursor.Encode("fleet-1", cursor.Cursor{1: 7, 300: 9})))
	write("token", []byte(token.Token{Client: "picker-7", Generation: 2, Secret: "secret"}.Encode()))
	write("digest of a secret", []byte(token.Digest("secret")))
	golden.Assert(t, out.String(), "bodies.golden")
}

// Fields that are written as JSON on disk need tags too.
func TestFieldsOnDiskHaveTags(t *testing.T) {
	found, seen := map[string]bool{}, map[reflect.Type]bool{}
	for _, typ := range []reflect.Type{
		reflect.TypeFor[assignment.Record](), reflect.TypeFor[decommission.Orders](),
		reflect.TypeFor[configuration.Config](), reflect.TypeFor[configuration.RemovedSpaces](),
		reflect.TypeFor[voters.Set](), reflect.TypeFor[acceptor.Slot](),
		reflect.TypeFor[identity.Identity](), reflect.TypeFor[changelog.Batch](),
		reflect.TypeFor[changelog.Commit](), reflect.TypeFor[state.ReaderEntry](),
		reflect.TypeFor[state.SenderWithdrawal](), reflect.TypeFor[replica.Snapshot](),
		reflect.TypeFor[partitionlog.Entry](),
	} {
		untagged(typ, seen, found)
	}
	assert.Equal(t, len(found), 0, "%v need a tag", found)
}

func oldPath(name string) string { return filepath.Join("testdata", "old", name) }

// Disks that were written by an older build are read. testdata/old contains them as they were, and
// they are never updated.
func TestOldDisksAreRead(t *testing.T) {
	var out strings.Builder
	for _, disk := range disks {
		if _, err := os.Stat(oldPath(disk.name)); errors.Is(err, os.ErrNotExist) && golden.FlagUpdate() {
			t.Run("write", func(t *testing.T) {
				log, err := walog.Open(oldPath(disk.name))
				assert.NilError(t, err)
				disk.write(open(t, log), t)
			})
		}
		dir := t.TempDir()
		assert.NilError(t, os.CopyFS(dir, os.DirFS(oldPath(disk.name))))
		log, err := walog.Open(dir)
		assert.NilError(t, err)
		opened := open(t, log)
		assert.NilError(t, opened.report.Cause)
		assert.Equal(t, opened.report.Torn, uint64(0))
		assert.Assert(t, opened.report.Records > 0 && !opened.report.Damaged)
		out.WriteString("disk " + disk.name + "\n" + opened.describe(t))
		opened.checkPromises(t)
	}
	golden.Assert(t, out.String(), "old.golden")
}

// describe returns everything that was recovered, as read by the calls that nodes use.
func (m *machine) describe(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	write := func(name string, value any) {
		b, err := json.Marshal(value)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s %s\n", name, b)
	}
	write("identity", m.id.Get())
	voterSet := m.voter.VoterSet()
	write("roster", voterSet)
	if voterSet.Sequence > 0 {
		answer, err := m.voter.Peek(t.Context(), &acceptor.PeekRequest{VoterSet: voterSet.Sequence,
			Incarnation: diskIncarnation})
		assert.NilError(t, err)
		write("slots", answer)
		orders, err := orderlog.Parse(answer.Slots["description"].Value.Metadata)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "orders %v\n", orders)
	}
	write("partitions", m.replica.Partitions())
	for partition := range 4 {
		write(fmt.Sprintf("seal %d", partition), m.replica.Sealed(partition))
		for _, kind := range partitionlog.Kinds {
			from := m.replica.Log(partition, kind).Base().Offset + 1
			answer, err := m.replica.Fetch(t.Context(), &replica.FetchRequest{
				Partition: partition, Incarnation: diskIncarnation, Kind: kind, From: from, Limit: 99,
			})
			assert.NilError(t, err)
			write(fmt.Sprintf("line %d %s", partition, kind), answer)
			if kind == partitionlog.KindChangelog && len(answer.Entries) > 0 {
				state := state.New()
				replayed, err := changelog.Replay(state, 0, answer.Entries)
				assert.NilError(t, err)
				write(fmt.Sprintf("replayed to %d", replayed), state.Marshal())
			}
		}
		if snapshot, ok := m.replica.Snapshot(partition); ok {
			restored, err := state.Unmarshal(snapshot.State)
			assert.NilError(t, err)
			write(fmt.Sprintf("directory %d", partition), snapshot)
			write("state", restored.Marshal())
		}
	}
	return out.String()
}

// checkPromises checks that a recovered disk keeps its promises: lower epochs are rejected, and a
// higher one appends to the stored log.
func (m *machine) checkPromises(t *testing.T) {
	t.Helper()
	if voterSet := m.voter.VoterSet(); voterSet.Sequence > 0 {
		target := acceptor.Target{VoterSet: voterSet.Sequence, Incarnation: diskIncarnation, Key: "partition/003"}
		low, high := epoch.Epoch{Number: 4, Node: "machine-9"}, epoch.Epoch{Number: 6, Node: "machine-9"}
		answer, err := m.voter.Promise(t.Context(), &acceptor.PromiseRequest{Target: target, Epoch: low})
		assert.NilError(t, err)
		assert.Assert(t, !answer.Granted)
		answer, err = m.voter.Promise(t.Context(), &acceptor.PromiseRequest{Target: target, Epoch: high})
		assert.NilError(t, err)
		assert.Assert(t, answer.Granted)
		return
	}
	target := replica.Target{Partition: 1, Incarnation: diskIncarnation, Epoch: 3}
	_, err := m.replica.Seal(t.Context(), &replica.SealRequest{Target: target})
	assert.ErrorContains(t, err, "stale_epoch")
	target.Epoch = 8
	last := m.replica.Log(1, partitionlog.KindInput).Last()
	entries := chainEntries(last, 8, partitionlog.Entry{Type: "start"})
	request := &replica.AppendRequest{Target: target, Kind: partitionlog.KindInput, After: last, Entries: entries}
	answer, err := m.replica.Append(t.Context(), request)
	assert.NilError(t, err)
	assert.Assert(t, answer.Matched)
}
