package configuration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func manySpaces(count int) Config {
	config := Config{Sequence: 1, UseAssignedLanes: true}
	for i := range count {
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

func randomNext(random *rand.Rand, config Config) Config {
	next := config
	next.Base, next.Sequence = config.Sequence, config.Sequence+1+random.Uint64N(3)
	next.Spaces = slices.Clone(config.Spaces)
	next.Limits.Topics = random.IntN(3)
	for range random.IntN(4) {
		i := random.IntN(len(next.Spaces) + 1)
		switch kind := random.IntN(4); {
		case kind == 0:
			space := Space{Name: fmt.Sprintf("new-%d", random.Uint64()), Kind: KindLive, Urgent: random.IntN(2) == 0}
			if space.Topics = []string{"a", "b"}; random.IntN(2) == 0 {
				space.Topics, space.Prefix = nil, space.Name+"."
			}
			next.Spaces = slices.Insert(next.Spaces, i, space)
		case i == len(next.Spaces):
		case kind == 1:
			next.Spaces = slices.Delete(next.Spaces, i, i+1)
		case kind == 2:
			next.Spaces[i].DeadlineMS += 1 + random.Uint64N(9)
		default:
			j := random.IntN(len(next.Spaces))
			next.Spaces[i], next.Spaces[j] = next.Spaces[j], next.Spaces[i]
		}
	}
	return next.WithLanes(config, RemovedSpaces{})
}

func TestChange_MakesTheNextConfiguration(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		config := manySpaces(1 + random.IntN(40))
		index := NewIndex(config)
		for range 30 {
			next := randomNext(random, config)
			got, ok := config.Apply(config.Change(next))
			assert.Assert(t, ok, "seed %d", seed)
			assert.DeepEqual(t, got, next)
			nextIndex, newIndex := index.Next(config, next), NewIndex(next)
			for _, space := range append(config.Spaces, next.Spaces...) {
				for _, topic := range []string{space.path() + "a", space.path()} {
					found, foundErr := nextIndex.Find(topic)
					want, wantErr := newIndex.Find(topic)
					assert.DeepEqual(t, found, want)
					assert.Equal(t, foundErr == nil, wantErr == nil)
				}
			}
			assert.Equal(t, nextIndex.LongestRetention, newIndex.LongestRetention)
			assert.Equal(t, nextIndex.Limits, newIndex.Limits)
			assert.Equal(t, nextIndex.Sequence, newIndex.Sequence)
			config, index = next, nextIndex
		}
	}
}

func TestChange_OfOneSpaceCarriesOneSpace(t *testing.T) {
	config := manySpaces(514)
	next := config
	next.Base, next.Sequence, next.Spaces = 1, 2, slices.Clone(config.Spaces)
	next.Spaces[200].DeadlineMS++
	change := config.Change(next)
	assert.Equal(t, change.Size(), 1)
	assert.Equal(t, len(change.Parts), 2)
	assert.Assert(t, change.Lanes == nil)
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
	valid := config.Change(next)
	for name, corrupt := range map[string]func(*Change){
		"another base":     func(change *Change) { change.From++ },
		"an older one":     func(change *Change) { change.Sequence = 1 },
		"another sum":      func(change *Change) { change.Checksum++ },
		"another number":   func(change *Change) { change.Sequence++ },
		"limits":           func(change *Change) { change.Limits.Body++ },
		"lanes":            func(change *Change) { change.Lanes = &Lanes{Urgent: []string{"x"}} },
		"out of range":     func(change *Change) { change.Parts = append(change.Parts, Part{At: 8, Count: 5}) },
		"below range":      func(change *Change) { change.Parts = append(change.Parts, Part{At: -1, Count: 1}) },
		"a count below 0":  func(change *Change) { change.Parts = append(change.Parts, Part{At: 1, Count: -1}) },
		"a part left out":  func(change *Change) { change.Parts = change.Parts[1:] },
		"a space twice":    func(change *Change) { change.Parts = append(change.Parts, Part{At: 1, Count: 1}) },
		"too many, by far": func(change *Change) { change.Parts = slices.Repeat([]Part{{Count: 9}}, MaxSpaces) },
	} {
		change := valid
		change.Parts = slices.Clone(valid.Parts)
		corrupt(&change)
		got, ok := config.Apply(change)
		assert.Assert(t, !ok, name)
		assert.DeepEqual(t, got, config)
	}
	_, ok := config.Apply(valid)
	assert.Assert(t, ok)
}

func BenchmarkChange(b *testing.B) {
	config := manySpaces(514)
	next := config
	next.Base, next.Sequence, next.Spaces = 1, 2, slices.Clone(config.Spaces)
	next.Spaces[200].DeadlineMS++
	change, index := config.Change(next), NewIndex(config)
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			config.Change(next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			applied, _ := config.Apply(change)
			index.Next(config, applied)
		}
	})
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewIndex(config)
		}
	})
}
