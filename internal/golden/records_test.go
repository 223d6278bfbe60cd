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
	ledger "postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/recordtype"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
	"postjunction/internal/voters"
)

const disk = "1111222233334444"

// machine is all that keeps records in one journal, as a node puts it together.
type machine struct {
	id      *identity.Part
	voter   *acceptor.Acceptor
	replica *replica.Replica
	journal *journal.Journal
	report  journal.Report
}

func open(t *testing.T, l journal.Log) *machine {
	t.Helper()
	m := &machine{id: &identity.Part{}, voter: acceptor.New(), replica: replica.New(clock.Real{})}
	parts := map[uint16]journal.Part{recordtype.Identity: m.id, recordtype.Slot: m.voter, recordtype.VoterSet: m.voter}
	for _, k := range replica.RecordTypes() {
		parts[k] = m.replica
	}
	var err error
	order := []journal.Part{m.id, m.voter, m.replica}
	m.journal, m.report, err = journal.Open(l, clock.Real{}, parts, order)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.journal.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		assert.NilError(t, l.Close())
	})
	m.replica.Start(disk, m.journal)
	m.voter.Start(disk, m.journal, func(voters.Set) error { return nil }, func(voters.Set) {})
	return m
}

// claim gives the disk a name, which is random in a node.
func (m *machine) claim(t *testing.T) {
	t.Helper()
	name := fmt.Sprintf(`{"node":"machine-1","incarnation":%q}`, disk)
	assert.NilError(t, m.id.Restore(journal.Record{Kind: recordtype.Identity, Body: []byte(name)}))
	assert.NilError(t, m.id.Join(t.Context(), m.journal, "fleet-1"))
}

func founded() voters.Set {
	var seats []voters.Voter
	for i := range 3 {
		node, addr := fmt.Sprintf("machine-%d", 3-i), fmt.Sprintf("127.0.0.1:750%d", i)
		seats = append(seats, voters.Voter{Node: node, Addr: addr, Incarnation: disk})
	}
	return voters.NewSet(seats, voters.Layout{RoutinePartitions: 4, UrgentPartitions: 2, ToleratedLosses: 1})
}

// writeControl does on a control disk whatever writes records there.
func (m *machine) writeControl(t *testing.T) {
	t.Helper()
	ctx, r := t.Context(), founded()
	m.claim(t)
	_, err := m.voter.Bootstrap(ctx, &acceptor.BootstrapRequest{Incarnation: disk, VoterSet: r})
	assert.NilError(t, err)
	low := epoch.Epoch{Number: 2, Node: "machine-1"}
	v := acceptor.Value{
		Version: 1, ChangeID: "order-0", Body: []byte(`{"base":0,"spaces":[]}`), Metadata: orders().Marshal(),
	}
	_, err = m.voter.Activate(ctx, &acceptor.ActivateRequest{
		Incarnation: disk, VoterSet: r, Bootstrap: true,
		Slots: map[string]acceptor.Slot{"description": {Promised: low, Accepted: low, Value: v}},
	})
	assert.NilError(t, err)
	e := epoch.Epoch{Number: 5, Node: "machine-2"}
	for _, k := range []string{"duty/drain", "partition/003"} {
		b := acceptor.Target{VoterSet: r.Sequence, Incarnation: disk, Key: k}
		a, err := m.voter.Promise(ctx, &acceptor.PromiseRequest{Target: b, Epoch: e})
		assert.NilError(t, err)
		assert.Assert(t, a.Granted)
		v := acceptor.Value{
			Version: 3, ChangeID: "change-1", Successor: "machine-3",
			Body: []byte(`{"of":"` + k + `"}`), Metadata: []byte("beside " + k),
		}
		a, err = m.voter.Accept(ctx, &acceptor.AcceptRequest{Target: b, Epoch: e, Value: v})
		assert.NilError(t, err)
		assert.Assert(t, a.Granted)
	}
	b := acceptor.Target{VoterSet: r.Sequence, Incarnation: disk, Key: "duty/placement"}
	a, err := m.voter.Promise(ctx, &acceptor.PromiseRequest{Target: b, Epoch: e})
	assert.NilError(t, err)
	assert.Assert(t, a.Granted)
}

// follow puts entries behind a point, with their places and sums.
func follow(after ledger.Position, under uint64, es ...ledger.Entry) []ledger.Entry {
	for i := range es {
		e := &es[i]
		e.Offset, e.Epoch, e.Digest = after.Offset+1, under, ledger.Digest(e.Body)
		e.Chain = ledger.NextChain(after.Chain, *e)
		after = e.Position()
	}
	return es
}

// said are entries of every sort that a ledger holds.
func said() []ledger.Entry {
	return []ledger.Entry{
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

func materialised() *state.State {
	s := state.New()
	for _, e := range follow(ledger.Position{}, 4, said()...) {
		s.Apply(e)
	}
	return s
}

// writeStorage does on a storage disk whatever writes records there.
func (m *machine) writeStorage(t *testing.T) {
	t.Helper()
	ctx := t.Context()
	m.claim(t)
	to := func(p int, e uint64) replica.Target {
		return replica.Target{Partition: p, Incarnation: disk, Epoch: e}
	}
	put := func(q *replica.AppendRequest) ledger.Position {
		a, err := m.replica.Append(ctx, q)
		assert.NilError(t, err)
		assert.Assert(t, a.Matched)
		return a.Tail.Last
	}
	_, err := m.replica.Seal(ctx, &replica.SealRequest{Target: to(1, 3)})
	assert.NilError(t, err)
	es := follow(ledger.Position{}, 4, said()...)
	put(&replica.AppendRequest{Target: to(1, 4), Kind: ledger.KindInput, Entries: es, Commit: 6})
	put(&replica.AppendRequest{
		Target: to(1, 4), Kind: ledger.KindInput, After: es[6].Position(), Base: es[1].Position(), Commit: 7,
	})
	log := changelog.EncodeBatch(7, materialised().TakeChanges(), true)
	log = append(log, changelog.EncodeCommit(changelog.Commit{Input: 7, Base: 1}))
	log = follow(ledger.Position{}, 4, log...)
	at := put(&replica.AppendRequest{
		Target: to(1, 4), Kind: ledger.KindChangelog, Entries: log, Commit: 2,
	})
	d := replica.Snapshot{Partition: 1, At: at, Input: 7, State: materialised().Marshal()}
	assert.NilError(t, m.replica.SaveSnapshot(ctx, d))

	from := ledger.Position{Offset: 40, Epoch: 2, Chain: 77}
	two := follow(from, 5, said()[:3]...)
	put(&replica.AppendRequest{
		Target: to(2, 5), Kind: ledger.KindInput, After: from, Entries: two, Reset: true, Commit: 41,
	})
	assert.NilError(t, m.replica.TruncateAfter(ctx, to(2, 5), ledger.KindInput, 42, true))

	three := follow(ledger.Position{}, 6, said()...)
	put(&replica.AppendRequest{Target: to(3, 6), Kind: ledger.KindInput, Entries: three})
	_, err = m.replica.Drop(ctx, &replica.DropRequest{Target: to(3, 7)})
	assert.NilError(t, err)
}

// disks are the sorts of disk that a machine may have, and what is written on each.
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

// The bytes of every record that a journal gets, and of those that it gets again when it is
// written anew.
func TestBytesOnDisk(t *testing.T) {
	var out strings.Builder
	f := frame.Frame{Kind: 3, Index: 4, SyncedIndex: 5, Epoch: 6, Offset: 7, Body: []byte("body")}
	fmt.Fprintf(&out, "format %d, header %d\nframe %x\n", frame.Format, frame.Size, frame.Encode(f))
	fmt.Fprintf(&out, "kinds %d\n", []uint16{
		recordtype.Identity, recordtype.VoterSet, recordtype.Slot, recordtype.Seal, recordtype.Entry, recordtype.Truncation, recordtype.Base,
		recordtype.Forget, recordtype.Snapshot, recordtype.CompactionBegins, recordtype.CompactionEnds, recordtype.Probe,
	})
	for _, d := range disks {
		l := memlog.New()
		m := open(t, l)
		d.write(m, t)
		first, last, err := l.Bounds()
		assert.NilError(t, err)
		for i := first; i <= last; i++ {
			b, err := l.Read(i)
			assert.NilError(t, err)
			head, rest := b[:frame.Size], b[frame.Size:]
			fmt.Fprintf(&out, "%s %d kind %d head %x body %s\n", d.name, i, b[7], head, body(rest))
		}
		var anew []string
		for _, p := range []journal.Part{m.id, m.voter, m.replica} {
			for _, s := range p.Slices() {
				rs, _ := s()
				for _, r := range rs {
					anew = append(anew, fmt.Sprintf("%s anew kind %d epoch %d offset %d body %s\n",
						d.name, r.Kind, r.Epoch, r.Offset, body(r.Body)))
				}
			}
		}
		out.WriteString(strings.Join(sorted(anew), ""))
	}
	golden.Assert(t, out.String(), "records.golden")
}

func orders() orderlog.Log {
	l := orderlog.Log{ForgottenThrough: 3}
	for i := range uint64(2) {
		d := orderlog.Digest{1, 2, 3, byte(i)}
		l = l.Append(orderlog.Order{Sequence: 5 + i, Base: 4 + i, Digest: d})
	}
	return l
}

// What registers, entries and tokens hold.
func TestBodies(t *testing.T) {
	var out strings.Builder
	say := func(name string, b []byte) { fmt.Fprintf(&out, "%s %s\n", name, body(b)) }
	plain := func(name string, x reflect.Type) {
		b, err := json.Marshal(filled(t, x))
		assert.NilError(t, err)
		say(name, b)
	}
	say("ownership", filled(t, reflect.TypeFor[assignment.Record]()).(*assignment.Record).Marshal())
	say("drains", filled(t, reflect.TypeFor[decommission.Orders]()).(*decommission.Orders).Marshal())
	say("orders", orders().Marshal())
	d := filled(t, reflect.TypeFor[configuration.Config]()).(*configuration.Config)
	say("description", d.Marshal())
	say("order name", []byte(orderlog.OrderOf(*d).ChangeID()))
	say("retired", filled(t, reflect.TypeFor[configuration.RemovedSpaces]()).(*configuration.RemovedSpaces).Marshal())
	plain("roster", reflect.TypeFor[voters.Set]())
	say("founded", []byte(founded().Fleet))
	plain("slot", reflect.TypeFor[acceptor.Slot]())
	plain("identity", reflect.TypeFor[identity.Identity]())
	plain("batch", reflect.TypeFor[changelog.Batch]())
	plain("commit", reflect.TypeFor[changelog.Commit]())
	plain("reads", reflect.TypeFor[state.ReaderEntry]())
	plain("passes", reflect.TypeFor[state.SenderWithdrawal]())
	say("state", filled(t, reflect.TypeFor[state.State]()).(*state.State).Marshal())
	say("state of entries", materialised().Marshal())
	for _, i := range materialised().TakeChanges() {
		say("item "+strings.ReplaceAll(i.Key, "\x1f", "|"), i.Value)
	}
	for _, e := range follow(ledger.Position{Offset: 1, Epoch: 2, Chain: 3}, 4, said()...) {
		fmt.Fprintf(&out, "chain %x digest %s\n", e.Chain, e.Digest)
	}
	say("name of a call", []byte(state.CallDigest("message", "k1", "digest")))
	say("cursor", []byte(cursor.Encode("fleet-1", cursor.Cursor{1: 7, 300: 9})))
	say("token", []byte(token.Token{Client: "picker-7", Generation: 2, Secret: "secret"}.Encode()))
	say("digest of a secret", []byte(token.Digest("secret")))
	golden.Assert(t, out.String(), "bodies.golden")
}

// What is written as JSON on disk has tags too.
func TestFieldsOnDiskHaveTags(t *testing.T) {
	found, seen := map[string]bool{}, map[reflect.Type]bool{}
	for _, x := range []reflect.Type{
		reflect.TypeFor[assignment.Record](), reflect.TypeFor[decommission.Orders](),
		reflect.TypeFor[configuration.Config](), reflect.TypeFor[configuration.RemovedSpaces](),
		reflect.TypeFor[voters.Set](), reflect.TypeFor[acceptor.Slot](),
		reflect.TypeFor[identity.Identity](), reflect.TypeFor[changelog.Batch](),
		reflect.TypeFor[changelog.Commit](), reflect.TypeFor[state.ReaderEntry](),
		reflect.TypeFor[state.SenderWithdrawal](), reflect.TypeFor[replica.Snapshot](),
		reflect.TypeFor[ledger.Entry](),
	} {
		untagged(x, seen, found)
	}
	assert.Equal(t, len(found), 0, "%v need a tag", found)
}

func old(name string) string { return filepath.Join("testdata", "old", name) }

// Disks that an older build wrote are read: testdata/old holds them as they were, and they are
// never written anew.
func TestOldDisksAreRead(t *testing.T) {
	var out strings.Builder
	for _, d := range disks {
		if _, err := os.Stat(old(d.name)); errors.Is(err, os.ErrNotExist) && golden.FlagUpdate() {
			t.Run("write", func(t *testing.T) {
				l, err := walog.Open(old(d.name))
				assert.NilError(t, err)
				d.write(open(t, l), t)
			})
		}
		dir := t.TempDir()
		assert.NilError(t, os.CopyFS(dir, os.DirFS(old(d.name))))
		l, err := walog.Open(dir)
		assert.NilError(t, err)
		m := open(t, l)
		assert.NilError(t, m.report.Cause)
		assert.Equal(t, m.report.Torn, uint64(0))
		assert.Assert(t, m.report.Records > 0 && !m.report.Damaged)
		out.WriteString("disk " + d.name + "\n" + m.tell(t))
		m.goOn(t)
	}
	golden.Assert(t, out.String(), "old.golden")
}

// tell says all that was read back, by the calls that nodes use for it.
func (m *machine) tell(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	say := func(name string, v any) {
		b, err := json.Marshal(v)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s %s\n", name, b)
	}
	say("identity", m.id.Get())
	r := m.voter.VoterSet()
	say("roster", r)
	if r.Sequence > 0 {
		a, err := m.voter.Peek(t.Context(), &acceptor.PeekRequest{VoterSet: r.Sequence, Incarnation: disk})
		assert.NilError(t, err)
		say("slots", a)
		orders, err := orderlog.Parse(a.Slots["description"].Value.Metadata)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "orders %v\n", orders)
	}
	say("partitions", m.replica.Partitions())
	for p := range 4 {
		say(fmt.Sprintf("seal %d", p), m.replica.Sealed(p))
		for _, k := range ledger.Kinds {
			from := m.replica.Log(p, k).Base().Offset + 1
			a, err := m.replica.Fetch(t.Context(), &replica.FetchRequest{
				Partition: p, Incarnation: disk, Kind: k, From: from, Limit: 99,
			})
			assert.NilError(t, err)
			say(fmt.Sprintf("line %d %s", p, k), a)
			if k == ledger.KindChangelog && len(a.Entries) > 0 {
				s := state.New()
				n, err := changelog.Replay(s, 0, a.Entries)
				assert.NilError(t, err)
				say(fmt.Sprintf("replayed to %d", n), s.Marshal())
			}
		}
		if d, ok := m.replica.Snapshot(p); ok {
			s, err := state.Unmarshal(d.State)
			assert.NilError(t, err)
			say(fmt.Sprintf("directory %d", p), d)
			say("state", s.Marshal())
		}
	}
	return out.String()
}

// goOn keeps the promises of the disk: lower epochs are refused, and a higher one goes on behind
// what stands.
func (m *machine) goOn(t *testing.T) {
	t.Helper()
	if r := m.voter.VoterSet(); r.Sequence > 0 {
		b := acceptor.Target{VoterSet: r.Sequence, Incarnation: disk, Key: "partition/003"}
		low, high := epoch.Epoch{Number: 4, Node: "machine-9"}, epoch.Epoch{Number: 6, Node: "machine-9"}
		a, err := m.voter.Promise(t.Context(), &acceptor.PromiseRequest{Target: b, Epoch: low})
		assert.NilError(t, err)
		assert.Assert(t, !a.Granted)
		a, err = m.voter.Promise(t.Context(), &acceptor.PromiseRequest{Target: b, Epoch: high})
		assert.NilError(t, err)
		assert.Assert(t, a.Granted)
		return
	}
	to := replica.Target{Partition: 1, Incarnation: disk, Epoch: 3}
	_, err := m.replica.Seal(t.Context(), &replica.SealRequest{Target: to})
	assert.ErrorContains(t, err, "stale_epoch")
	to.Epoch = 8
	last := m.replica.Log(1, ledger.KindInput).Last()
	es := follow(last, 8, ledger.Entry{Type: "start"})
	q := &replica.AppendRequest{Target: to, Kind: ledger.KindInput, After: last, Entries: es}
	a, err := m.replica.Append(t.Context(), q)
	assert.NilError(t, err)
	assert.Assert(t, a.Matched)
}
