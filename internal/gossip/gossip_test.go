package gossip

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/control/voters"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

func TestNewsNeverGoesBack(t *testing.T) {
	heard := 0
	b := NewStore(func(Update) { heard++ })
	r := voters.Set{Sequence: 2, Fleet: "f", Layout: voters.Layout{RoutinePartitions: 1, UrgentPartitions: 1}}
	offer := func(d, w uint64) bool {
		return !b.Apply(Update{VoterSet: &r, Configuration: &configuration.Config{Sequence: d}, Records: []assignment.Record{{Partition: 1, Version: w}}}).Empty()
	}
	assert.Assert(t, offer(3, 5))
	assert.Assert(t, !offer(3, 5))
	assert.Assert(t, !offer(2, 4))
	other := voters.Set{Sequence: 9, Fleet: "g"}
	assert.Assert(t, b.Apply(Update{VoterSet: &other}).Empty(), "another fleet's roster")
	assert.Equal(t, heard, 1)
	assert.Equal(t, b.Configuration().Sequence, uint64(3))
	assert.Equal(t, b.Record(1).Version, uint64(5))
	d := b.Digest()
	assert.DeepEqual(t, d, Digest{VoterSet: 2, Configuration: 3, Records: []uint64{0, 5}, Changes: true})
	assert.Assert(t, b.Since(d).Empty())
	assert.Equal(t, len(b.Since(Digest{}).Records), 1)
}

func TestADescriptionComesFromOneFellowAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		g := &Gossiper{Clock: clock.Real{}, Timing: b, Store: NewStore(nil)}
		lacks := func(seq uint64) bool { return g.answer(Digest{Configuration: seq}).Configuration < seq }
		assert.Assert(t, lacks(5))
		assert.Assert(t, !lacks(5), "a second fellow was let send it at once")
		assert.Assert(t, !lacks(4))
		assert.Assert(t, lacks(6), "a newer one")
		assert.Assert(t, !lacks(6))
		time.Sleep(b.HeartbeatInterval())
		assert.Assert(t, lacks(6), "the fellow that was let send it never did")
		g.Store.Apply(Update{Configuration: &configuration.Config{Sequence: 6}})
		assert.Equal(t, g.answer(Digest{Configuration: 6}).Configuration, uint64(6))
		assert.Equal(t, g.answer(Digest{Configuration: 3}).Configuration, uint64(6))
	})
}

func step(d configuration.Config) configuration.Config {
	n := d
	n.Base, n.Sequence = d.Sequence, d.Sequence+1
	n.Spaces = slices.Clone(d.Spaces)
	n.Spaces[0].DeadlineMS++
	return n
}

func TestADescriptionTravelsByItsChanges(t *testing.T) {
	a, b, late := NewStore(nil), NewStore(nil), NewStore(nil)
	d := configuration.Config{Sequence: 1, Source: "the document", Spaces: []configuration.Space{{Name: "a", Prefix: "a"}, {Name: "b", Prefix: "b"}, {Name: "c", Prefix: "c"}, {Name: "d", Prefix: "d"}}}
	a.Apply(Update{Configuration: &d})
	assert.Equal(t, a.Configuration().Source, "", "the document goes round")
	n := a.Since(b.Digest())
	assert.Assert(t, n.Configuration != nil && len(n.Changes) == 0)
	b.Apply(n)
	for i := range uint64(changesMost + 3) {
		d = step(d)
		a.Apply(Update{Configuration: &d})
		if i < 2 {
			late.Apply(Update{Configuration: &d})
		}
		if i%2 == 0 {
			continue
		}
		n := a.Since(b.Digest())
		assert.Assert(t, n.Configuration == nil)
		assert.Equal(t, len(n.Changes), 2)
		b.Apply(n)
		assert.DeepEqual(t, b.Configuration(), a.Configuration())
		assert.Assert(t, b.Since(a.Digest()).Empty())
		assert.Assert(t, b.Apply(n).Empty(), "the same again")
	}
	assert.Assert(t, a.Since(late.Digest()).Configuration != nil, "the changes to one so old are kept")
	n = a.Since(Digest{Configuration: d.Sequence - 1})
	assert.Assert(t, n.Configuration != nil, "one that knows nothing of changes was sent some")
	late.Apply(Update{Changes: a.Since(b.Digest()).Changes})
	late.Apply(a.Since(late.Digest()))
	assert.DeepEqual(t, late.Configuration(), a.Configuration())
}

func TestAfterAChangeThatDoesNotComeOutTheWholeComes(t *testing.T) {
	a, b := NewStore(nil), NewStore(nil)
	d := configuration.Config{Sequence: 1, Spaces: []configuration.Space{{Name: "a", Prefix: "a"}, {Name: "b", Prefix: "b"}}}
	a.Apply(Update{Configuration: &d})
	other := step(d)
	other.Sequence = 1
	b.Apply(Update{Configuration: &other})
	d = step(d)
	d.Spaces[1].Weight = 3
	a.Apply(Update{Configuration: &d})
	d = step(d)
	a.Apply(Update{Configuration: &d})
	was := b.Configuration()
	n := Update{Changes: []configuration.Change{{From: 1, Sequence: 2, Parts: []configuration.Part{{Count: 2}}, Checksum: 5}}}
	assert.Assert(t, b.Apply(n).Empty())
	assert.DeepEqual(t, b.Configuration(), was)
	assert.Assert(t, !b.AcceptsChanges())
	n = a.Since(b.Digest())
	assert.Assert(t, n.Configuration != nil && len(n.Changes) == 0)
	b.Apply(n)
	assert.DeepEqual(t, b.Configuration(), a.Configuration())
	assert.Assert(t, b.AcceptsChanges())
}

func TestTheFirstDescriptionIsAskedOfOneFellowAtATime(t *testing.T) {
	g := &Gossiper{Store: NewStore(nil)}
	assert.Assert(t, g.first())
	assert.Assert(t, !g.first())
	g.freed(false)
	assert.Assert(t, !g.first(), "the one that was told to do without freed it")
	g.freed(true)
	assert.Assert(t, g.first())
	a := NewStore(nil)
	d := configuration.Config{Sequence: 1}
	a.Apply(Update{Configuration: &d})
	assert.Assert(t, a.Since(Digest{ConfigurationPending: true}).Empty())
	g.Store.Apply(a.Since(Digest{}))
	assert.Assert(t, g.first(), "changes are small")
	assert.Assert(t, g.first())
}

// Nodes without a disk hear who decides, not the history of it, which is most of a record; those with a disk, which write records, have them whole
// and from one another only.
func TestRecordsGoWithoutTheirHistoryToNodesWithoutADisk(t *testing.T) {
	r := assignment.Record{Partition: 1, Version: 1}
	for range 9 {
		r = r.Next("s1", []assignment.Replica{{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}}, "the owner is gone: nothing is heard from it", time.Now())
	}
	store, front, other := &Gossiper{Store: NewStore(nil), Disk: true}, &Gossiper{Store: NewStore(nil)}, &Gossiper{Store: NewStore(nil)}
	store.Store.Apply(Update{Records: []assignment.Record{r}})
	assert.Assert(t, !store.digest().OmitHistory && front.digest().OmitHistory && front.answer(Digest{}).OmitHistory)

	whole := store.suited(store.Store.Since(Digest{}), false)
	assert.DeepEqual(t, whole.Records, []assignment.Record{r})
	lean := store.suited(store.Store.Since(front.digest()), front.digest().OmitHistory)
	assert.Equal(t, len(lean.Records), 1)
	assert.Equal(t, len(lean.Records[0].History), 0)
	assert.Equal(t, lean.Records[0].Leader, "s1")
	assert.Equal(t, len(store.Store.Record(1).History), 9, "the own record lost its history")
	a, err := wire.Marshal(whole)
	assert.NilError(t, err)
	b, err := wire.Marshal(lean)
	assert.NilError(t, err)
	assert.Assert(t, len(b)*5 < len(a), "%d bytes whole, %d lean", len(a), len(b))

	front.Store.Apply(lean)
	assert.Equal(t, front.Store.Hash(), store.Store.Hash(), "they know the same")
	passed := front.suited(front.Store.Since(other.digest()), other.digest().OmitHistory)
	other.Store.Apply(passed)
	assert.Equal(t, other.Store.Record(1).Epoch, r.Epoch)
	assert.Assert(t, front.suited(front.Store.Since(store.digest()), false).Empty(), "a record without its history went to one that may write it")
}

// Of a description of 514 spaces, what changed goes between nodes in a hundredth of the bytes of the whole.
func TestAChangeIsSmallOnTheWire(t *testing.T) {
	d := configuration.Config{Sequence: 70000, Base: 69999, StandingLanes: true}
	for i := range 514 {
		d.Spaces = append(d.Spaces, configuration.Space{Name: fmt.Sprintf("pick-line/aisle-%04d/", i), Prefix: fmt.Sprintf("pick-line/aisle-%04d/", i), Kind: configuration.KindRetained, Order: configuration.OrderPerSender, Urgent: i%4 == 0, RetentionMS: 35000, DeadlineMS: 1500, TargetLatencyMS: 150, Weight: 1})
	}
	d = d.WithLanes(configuration.Config{}, configuration.RemovedSpaces{})
	size := func(v any) int {
		b, err := wire.Marshal(v)
		assert.NilError(t, err)
		return len(b)
	}
	whole := size(Update{Configuration: &d})
	changed := func(name string, f func(n *configuration.Config)) int {
		b := NewStore(nil)
		b.Apply(Update{Configuration: &d})
		n := d
		n.Sequence, n.Base, n.Spaces = d.Sequence+1, d.Sequence, slices.Clone(d.Spaces)
		f(&n)
		n = n.WithLanes(d, configuration.RemovedSpaces{})
		b.Apply(Update{Configuration: &n})
		x := b.Since(Digest{Configuration: d.Sequence, Changes: true})
		assert.Assert(t, x.Configuration == nil, name)
		t.Logf("%s: %d bytes, whole %d", name, size(x), whole)
		return size(x)
	}
	one := changed("a space changed", func(n *configuration.Config) { n.Spaces[200].DeadlineMS++ })
	assert.Assert(t, one*100 < whole)
	changed("a space removed", func(n *configuration.Config) { n.Spaces = slices.Delete(n.Spaces, 200, 201) })
	changed("ten spaces changed", func(n *configuration.Config) {
		for i := range 10 {
			n.Spaces[i*50].DeadlineMS++
		}
	})
	changed("a space more, and with it the table of lanes", func(n *configuration.Config) {
		n.Spaces = slices.Insert(n.Spaces, 200, configuration.Space{Name: "new", Prefix: "new/", Kind: configuration.KindRetained})
	})
}
