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

type store struct {
	j *journal.Journal
	v *acceptor.Acceptor
	r *replica.Replica
}

func boot(t *testing.T, l journal.Log) (*store, journal.Report, func()) {
	t.Helper()
	s := &store{v: acceptor.New(), r: replica.New(clock.Real{})}
	parts := map[uint16]journal.Part{recordtype.Slot: s.v, recordtype.VoterSet: s.v}
	for _, k := range replica.RecordTypes() {
		parts[k] = s.r
	}
	j, rep, err := journal.Open(l, clock.Real{}, parts, []journal.Part{s.v, s.r})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		j.Run(ctx)
		close(done)
	}()
	s.j = j
	s.r.Start("i", j)
	s.v.Start("i1", j, func(voters.Set) error { return nil }, func(voters.Set) {})
	return s, rep, func() {
		stop()
		<-done
	}
}

func founding() voters.Set {
	return voters.NewSet([]voters.Voter{{Node: "c1", Incarnation: "i1"}, {Node: "c2", Incarnation: "i2"},
		{Node: "c3", Incarnation: "i3"}}, voters.Layout{RoutinePartitions: 2, UrgentPartitions: 1})
}

func entries(after log.Position, e uint64, n int) []log.Entry {
	var es []log.Entry
	for i := range n {
		b := []byte(fmt.Sprintf("%d/%d", e, i))
		x := log.Entry{Offset: after.Offset + 1, Epoch: e, Type: log.TypeMessage, Body: b, Digest: log.Digest(b)}
		x.Chain = log.NextChain(after.Chain, x)
		es, after = append(es, x), x.Position()
	}
	return es
}

// picture is all that a disk has promised and holds.
type picture struct {
	seals map[int]uint64
	lines map[log.ID]map[uint64]log.Position
	slots map[string]acceptor.Slot
	rost  uint64
}

const partitions = 3

func (s *store) picture(t *testing.T) picture {
	t.Helper()
	p := picture{seals: map[int]uint64{}, lines: map[log.ID]map[uint64]log.Position{},
		slots: map[string]acceptor.Slot{}, rost: s.v.VoterSet().Sequence}
	for n := range partitions {
		p.seals[n] = s.r.Sealed(n)
		for _, k := range log.Kinds {
			m := map[uint64]log.Position{}
			for _, e := range s.r.Log(n, k).Slice(0, ^uint64(0), 1<<30, 1<<30) {
				m[e.Offset] = e.Position()
			}
			p.lines[log.ID{Partition: n, Kind: k}] = m
		}
		if d, ok := s.r.Snapshot(n); ok {
			at, held := s.r.Log(n, log.KindChangelog).Position(d.At.Offset)
			assert.Assert(t, held && at == d.At, "a directory whose point is not on the changelog was given out")
		}
	}
	if p.rost > 0 {
		for _, sealed := range []bool{false, true} {
			if a, err := s.v.Peek(context.Background(), &acceptor.PeekRequest{VoterSet: p.rost, Incarnation: "i1",
				Sealed: sealed}); err == nil {
				p.slots = a.Slots
			}
		}
	}
	return p
}

// between tells whether a picture lies between the one answered last and the one of the task under
// way.
func between(got, last, next picture) error {
	for n, e := range got.seals {
		if e < last.seals[n] {
			return fmt.Errorf("partition %d was sealed at %d, came back at %d", n, last.seals[n], e)
		}
	}
	for id, was := range last.lines {
		will := next.lines[id]
		for o, p := range was {
			if will[o] == p && got.lines[id][o] != p {
				return fmt.Errorf("%v: entry %d was answered for and is gone", id, o)
			}
		}
		for o, p := range got.lines[id] {
			if was[o] != p && will[o] != p {
				return fmt.Errorf("%v: entry %d was never put there", id, o)
			}
		}
	}
	if got.rost < last.rost {
		return fmt.Errorf("voter set %d came back as %d", last.rost, got.rost)
	}
	for k, s := range last.slots {
		g := got.slots[k]
		if got.rost == last.rost && (g.Promised.Less(s.Promised) || s.NewerThan(g)) {
			return fmt.Errorf("key %s: promised %v and accepted %v, came back as %v and %v", k, s.Promised, s.Accepted,
				g.Promised, g.Accepted)
		}
	}
	return nil
}

// tasks are a disk's whole life in small: founding, promises, appends of two epochs, a replaced
// tail, trims, a fresh start, directories, a drop, a new voter set, and so many records that the
// journal is written anew in between.
func tasks() []func(s *store) error {
	ctx := context.Background()
	to := func(p int, e uint64) replica.Target { return replica.Target{Partition: p, Incarnation: "i", Epoch: e} }
	put := func(p int, k log.Kind, e uint64, after func(l *log.Log) log.Position, n int, reset bool) func(*store) error {
		return func(s *store) error {
			a := after(s.r.Log(p, k))
			x, err := s.r.Append(ctx, &replica.AppendRequest{Target: to(p, e), Kind: k, After: a,
				Entries: entries(a, e, n), Reset: reset})
			if err == nil && !x.Matched {
				err = fmt.Errorf("the lines did not match")
			}
			return err
		}
	}
	end := func(l *log.Log) log.Position { return l.Last() }
	back := func(n uint64) func(l *log.Log) log.Position {
		return func(l *log.Log) log.Position {
			p, _ := l.Position(l.Last().Offset - n)
			return p
		}
	}
	seal := func(p int, e uint64) func(*store) error {
		return func(s *store) error {
			_, err := s.r.Seal(ctx, &replica.SealRequest{Target: to(p, e)})
			return err
		}
	}
	trim := func(p int, k log.Kind, e, keep uint64) func(*store) error {
		return func(s *store) error {
			l := s.r.Log(p, k)
			b, _ := l.Position(l.Last().Offset - keep)
			_, err := s.r.Append(ctx, &replica.AppendRequest{Target: to(p, e), Kind: k, After: l.Last(), Base: b})
			return err
		}
	}
	keep := func(p int) func(*store) error {
		return func(s *store) error {
			return s.r.SaveSnapshot(ctx, replica.Snapshot{Partition: p, At: s.r.Log(p, log.KindChangelog).Last(),
				Input: 1, State: []byte(`{}`)})
		}
	}
	ballot := func(k string, seq uint64) acceptor.Target {
		return acceptor.Target{VoterSet: seq, Incarnation: "i1", Key: k}
	}
	promise := func(k string, n uint64) func(*store) error {
		return func(s *store) error {
			_, err := s.v.Promise(ctx, &acceptor.PromiseRequest{Target: ballot(k, s.v.VoterSet().Sequence),
				Epoch: epoch.Epoch{Number: n, Node: "c1"}})
			return err
		}
	}
	accept := func(k string, n, w uint64) func(*store) error {
		return func(s *store) error {
			_, err := s.v.Accept(ctx, &acceptor.AcceptRequest{Target: ballot(k, s.v.VoterSet().Sequence),
				Epoch: epoch.Epoch{Number: n, Node: "c1"}, Value: acceptor.Value{Version: w, Body: []byte(k)}})
			return err
		}
	}
	ts := []func(*store) error{
		func(s *store) error {
			_, err := s.v.Bootstrap(ctx, &acceptor.BootstrapRequest{Incarnation: "i1", VoterSet: founding()})
			return err
		},
		func(s *store) error {
			_, err := s.v.Activate(ctx, &acceptor.ActivateRequest{Incarnation: "i1", VoterSet: founding(), Bootstrap: true})
			return err
		},
		promise("description", 1), accept("description", 1, 1), promise("description", 3),
		accept("description", 3, 2), promise("partition/000", 2),
		seal(0, 1), put(0, log.KindInput, 1, end, 5, false), put(0, log.KindChangelog, 1, end, 3, false), keep(0),
		seal(0, 2),
		put(0, log.KindInput, 2, back(2), 4, false), trim(0, log.KindInput, 2, 3),
		put(0, log.KindChangelog, 2, end, 2, false), keep(0), trim(0, log.KindChangelog, 2, 2),
		seal(1, 4), put(1, log.KindInput, 4, end, 6, false),
		put(1, log.KindInput, 5, func(*log.Log) log.Position {
			return log.Position{Epoch: 4, Offset: 20, Chain: 7}
		}, 3, true),
		func(s *store) error { return s.r.TruncateAfter(ctx, to(1, 5), log.KindInput, 22, false) },
		seal(2, 1), put(2, log.KindInput, 1, end, 4, false),
		func(s *store) error { _, err := s.r.Drop(ctx, &replica.DropRequest{Target: to(2, 9)}); return err },
		accept(acceptor.VoterSetKey, 1, 1),
		func(s *store) error {
			n := s.v.VoterSet()
			n.Sequence++
			_, err := s.v.Activate(ctx, &acceptor.ActivateRequest{Incarnation: "i1", VoterSet: n,
				Slots: map[string]acceptor.Slot{"description": {Accepted: epoch.Epoch{Number: 3, Node: "c1"},
					Value: acceptor.Value{Version: 2}}}})
			return err
		},
		promise("description", 7),
	}
	for range 9 {
		ts = append(ts, put(0, log.KindInput, 2, end, 500, false), trim(0, log.KindInput, 2, 40))
	}
	return append(ts, seal(0, 8), accept("description", 7, 3), put(0, log.KindInput, 8, end, 2, false))
}

const anewMost = 64

// The power goes after every operation of the disk, with each number of unsynced records kept and
// the next one torn or not.
func TestPowerLostAfterEveryWrite(t *testing.T) {
	l := New()
	s, _, stop := boot(t, l)
	pics := []picture{s.picture(t)}
	do := func(i int, f func(*store) error) {
		assert.NilError(t, f(s), "task %d", i)
		pics = append(pics, s.picture(t))
		l.Answer()
	}
	ts := tasks()
	for i, f := range ts {
		do(i, f)
	}
	// A writing anew goes on along with what is put, a slice each: some more is put until one has
	// come to its end.
	for e := uint64(1); s.j.Counters().Compactions == 0 && e < anewMost; e++ {
		do(len(ts)+int(e), func(s *store) error {
			_, err := s.r.Seal(t.Context(), &replica.SealRequest{
				Target: replica.Target{Partition: 7, Incarnation: "i", Epoch: e}})
			return err
		})
	}
	tally := s.j.Counters()
	stop()
	assert.Assert(t, tally.Compactions > 0, "void: the journal was never written anew")
	cases, cuts := 0, map[string]int{}
	for at, m := range l.Moments() {
		n := m.Disk.Unsynced()
		if raced && at%4 != 0 {
			continue
		}
		for k := 0; k <= n; k += max(1, n/8) {
			for _, torn := range []bool{false, true} {
				d := m.Disk.Copy()
				d.LosePowerAfter(k, torn)
				got, rep, stop := boot(t, d)
				p := got.picture(t)
				stop()
				cases++
				cuts[m.Op]++
				assert.Assert(t, !rep.Damaged, "moment %d (%s), %d of %d kept, torn %v: %v", at, m.Op, k, n, torn, rep.Cause)
				assert.NilError(t, between(p, pics[m.Answered], pics[min(m.Answered+1, len(pics)-1)]),
					"moment %d (%s), %d of %d unsynced kept, torn %v", at, m.Op, k, n, torn)
			}
		}
	}
	t.Logf("%d moments, %d ways to lose power: %v", len(l.Moments()), cases, cuts)
}
