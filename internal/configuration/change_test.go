package configuration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func many(n int) Config {
	d := Config{Sequence: 1, StandingLanes: true}
	for i := range n {
		d.Spaces = append(d.Spaces, Space{Name: fmt.Sprintf("pick-line/aisle-%04d/", i), Prefix: fmt.Sprintf("pick-line/aisle-%04d/", i), Kind: KindRetained, Order: OrderPerSender, Urgent: i%4 == 0, RetentionMS: 35000, DeadlineMS: 1500, TargetLatencyMS: 150, Weight: 1})
	}
	return d.WithLanes(Config{}, RemovedSpaces{})
}

func next(r *rand.Rand, d Config) Config {
	n := d
	n.Base, n.Sequence = d.Sequence, d.Sequence+1+r.Uint64N(3)
	n.Spaces = slices.Clone(d.Spaces)
	n.Limits.Topics = r.IntN(3)
	for range r.IntN(4) {
		i := r.IntN(len(n.Spaces) + 1)
		switch k := r.IntN(4); {
		case k == 0:
			s := Space{Name: fmt.Sprintf("new-%d", r.Uint64()), Kind: KindLive, Urgent: r.IntN(2) == 0}
			if s.Topics = []string{"a", "b"}; r.IntN(2) == 0 {
				s.Topics, s.Prefix = nil, s.Name+"."
			}
			n.Spaces = slices.Insert(n.Spaces, i, s)
		case i == len(n.Spaces):
		case k == 1:
			n.Spaces = slices.Delete(n.Spaces, i, i+1)
		case k == 2:
			n.Spaces[i].DeadlineMS += 1 + r.Uint64N(9)
		default:
			j := r.IntN(len(n.Spaces))
			n.Spaces[i], n.Spaces[j] = n.Spaces[j], n.Spaces[i]
		}
	}
	return n.WithLanes(d, RemovedSpaces{})
}

func TestChangesMakeTheNextDescription(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := many(1 + r.IntN(40))
		x := NewIndex(d)
		for range 30 {
			to := next(r, d)
			got, ok := d.Apply(d.Change(to))
			assert.Assert(t, ok, "seed %d", seed)
			assert.DeepEqual(t, got, to)
			nx, fresh := x.Next(d, to), NewIndex(to)
			for _, s := range append(d.Spaces, to.Spaces...) {
				for _, topic := range []string{s.path() + "a", s.path()} {
					a, ea := nx.Find(topic)
					b, eb := fresh.Find(topic)
					assert.DeepEqual(t, a, b)
					assert.Equal(t, ea == nil, eb == nil)
				}
			}
			assert.Equal(t, nx.Longest, fresh.Longest)
			assert.Equal(t, nx.Limits, fresh.Limits)
			assert.Equal(t, nx.Sequence, fresh.Sequence)
			d, x = to, nx
		}
	}
}

func TestAChangeOfOneSpaceHoldsOneSpace(t *testing.T) {
	d := many(514)
	to := d
	to.Base, to.Sequence, to.Spaces = 1, 2, slices.Clone(d.Spaces)
	to.Spaces[200].DeadlineMS++
	c := d.Change(to)
	assert.Equal(t, c.Size(), 1)
	assert.Equal(t, len(c.Parts), 2)
	assert.Assert(t, c.Lanes == nil)
	x := NewIndex(d)
	assert.Assert(t, x.Next(d, to).AgreesWith(x))
	to.Spaces = slices.Delete(slices.Clone(d.Spaces), 200, 201)
	assert.Equal(t, d.Change(to).Size(), 0)
	assert.Assert(t, !x.Next(d, to).AgreesWith(x))
}

func TestAChangeThatDoesNotComeOutIsNotTaken(t *testing.T) {
	d := many(9)
	to := next(rand.New(rand.NewPCG(5, 5)), d)
	to.Spaces[0].Weight = 7
	good := d.Change(to)
	for name, spoil := range map[string]func(*Change){
		"another base":     func(c *Change) { c.From++ },
		"back":             func(c *Change) { c.Sequence = 1 },
		"another sum":      func(c *Change) { c.Checksum++ },
		"another number":   func(c *Change) { c.Sequence++ },
		"limits":           func(c *Change) { c.Limits.Body++ },
		"lanes":            func(c *Change) { c.Lanes = &Lanes{Urgent: []string{"x"}} },
		"out of range":     func(c *Change) { c.Parts = append(c.Parts, Part{At: 8, Count: 5}) },
		"below range":      func(c *Change) { c.Parts = append(c.Parts, Part{At: -1, Count: 1}) },
		"a count below 0":  func(c *Change) { c.Parts = append(c.Parts, Part{At: 1, Count: -1}) },
		"a part left out":  func(c *Change) { c.Parts = c.Parts[1:] },
		"a space twice":    func(c *Change) { c.Parts = append(c.Parts, Part{At: 1, Count: 1}) },
		"too many, by far": func(c *Change) { c.Parts = slices.Repeat([]Part{{Count: 9}}, MaxSpaces) },
	} {
		c := good
		c.Parts = slices.Clone(good.Parts)
		spoil(&c)
		got, ok := d.Apply(c)
		assert.Assert(t, !ok, name)
		assert.DeepEqual(t, got, d)
	}
	_, ok := d.Apply(good)
	assert.Assert(t, ok)
}

func BenchmarkChange(b *testing.B) {
	d := many(514)
	to := d
	to.Base, to.Sequence, to.Spaces = 1, 2, slices.Clone(d.Spaces)
	to.Spaces[200].DeadlineMS++
	c, x := d.Change(to), NewIndex(d)
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.Change(to)
		}
	})
	b.Run("take", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n, _ := d.Apply(c)
			x.Next(d, n)
		}
	})
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewIndex(d)
		}
	})
}
