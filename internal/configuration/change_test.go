package configuration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func manySpaces(n int) Config {
	config := Config{Sequence: 1, UseAssignedLanes: true}
	for i := range n {
		config.Spaces = append(
			config.Spaces,
			Space{
				Name:   fmt.Sprintf("pick-line/aisle-%04d/", i),
				Prefix: fmt.Sprintf("pick-line/aisle-%04d/", i), Kind: KindRetained,
				Order: OrderPerSender, Urgent: i%4 == 0, RetentionMS: 35000, DeadlineMS: 1500,
				TargetLatencyMS: 150, Weight: 1,
			},
		)
	}
	return config.WithLanes(Config{}, RemovedSpaces{})
}

func randomNext(r *rand.Rand, config Config) Config {
	n := config
	n.Base, n.Sequence = config.Sequence, config.Sequence+1+r.Uint64N(3)
	n.Spaces = slices.Clone(config.Spaces)
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
	return n.WithLanes(config, RemovedSpaces{})
}

func TestChange_MakesTheNextConfiguration(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		config := manySpaces(1 + r.IntN(40))
		index := NewIndex(config)
		for range 30 {
			next := randomNext(r, config)
			got, ok := config.Apply(config.Change(next))
			assert.Assert(t, ok, "seed %d", seed)
			assert.DeepEqual(t, got, next)
			nextIndex, fresh := index.Next(config, next), NewIndex(next)
			for _, s := range append(config.Spaces, next.Spaces...) {
				for _, topic := range []string{s.path() + "a", s.path()} {
					a, ea := nextIndex.Find(topic)
					b, eb := fresh.Find(topic)
					assert.DeepEqual(t, a, b)
					assert.Equal(t, ea == nil, eb == nil)
				}
			}
			assert.Equal(t, nextIndex.LongestRetention, fresh.LongestRetention)
			assert.Equal(t, nextIndex.Limits, fresh.Limits)
			assert.Equal(t, nextIndex.Sequence, fresh.Sequence)
			config, index = next, nextIndex
		}
	}
}

func TestChange_OfOneSpaceCarriesOneSpace(t *testing.T) {
	config := manySpaces(514)
	next := config
	next.Base, next.Sequence, next.Spaces = 1, 2, slices.Clone(config.Spaces)
	next.Spaces[200].DeadlineMS++
	c := config.Change(next)
	assert.Equal(t, c.Size(), 1)
	assert.Equal(t, len(c.Parts), 2)
	assert.Assert(t, c.Lanes == nil)
	index := NewIndex(config)
	assert.Assert(t, index.Next(config, next).AgreesWith(index))
	next.Spaces = slices.Delete(slices.Clone(config.Spaces), 200, 201)
	assert.Equal(t, config.Change(next).Size(), 0)
	assert.Assert(t, !index.Next(config, next).AgreesWith(index))
}

func TestApply_RejectsAChangeThatDoesNotComeOut(t *testing.T) {
	config := manySpaces(9)
	next := randomNext(rand.New(rand.NewPCG(5, 5)), config)
	next.Spaces[0].Weight = 7
	good := config.Change(next)
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
		got, ok := config.Apply(c)
		assert.Assert(t, !ok, name)
		assert.DeepEqual(t, got, config)
	}
	_, ok := config.Apply(good)
	assert.Assert(t, ok)
}

func BenchmarkChange(b *testing.B) {
	config := manySpaces(514)
	next := config
	next.Base, next.Sequence, next.Spaces = 1, 2, slices.Clone(config.Spaces)
	next.Spaces[200].DeadlineMS++
	c, index := config.Change(next), NewIndex(config)
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			config.Change(next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n, _ := config.Apply(c)
			index.Next(config, n)
		}
	})
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewIndex(config)
		}
	})
}
