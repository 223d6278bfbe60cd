package gossip

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

func TestStore_NeverGoesBack(t *testing.T) {
	updates := 0
	store := NewStore(func(Update) { updates++ })
	voterSet := voters.Set{Sequence: 2, Fleet: "f", Layout: voters.Layout{RoutinePartitions: 1, UrgentPartitions: 1}}
	apply := func(sequence, version uint64) bool {
		return !store.Apply(Update{
			VoterSet:      &voterSet,
			Configuration: &configuration.Config{Sequence: sequence},
			Records:       []assignment.Record{{Partition: 1, Version: version}},
		}).Empty()
	}
	assert.Assert(t, apply(3, 5))
	assert.Assert(t, !apply(3, 5))
	assert.Assert(t, !apply(2, 4))
	otherFleet := voters.Set{Sequence: 9, Fleet: "g"}
	assert.Assert(t, store.Apply(Update{VoterSet: &otherFleet}).Empty(), "another fleet's voter set")
	assert.Equal(t, updates, 1)
	assert.Equal(t, store.Configuration().Sequence, uint64(3))
	assert.Equal(t, store.Record(1).Version, uint64(5))
	digest := store.Digest()
	assert.DeepEqual(t, digest, Digest{VoterSet: 2, Configuration: 3, Records: []uint64{0, 5}, Changes: true})
	assert.Assert(t, store.Since(digest).Empty())
	assert.Equal(t, len(store.Since(Digest{}).Records), 1)
}

// nextConfiguration returns the configuration after previous, with its first space changed.
func nextConfiguration(previous configuration.Config) configuration.Config {
	next := previous
	next.Base, next.Sequence = previous.Sequence, previous.Sequence+1
	next.Spaces = slices.Clone(previous.Spaces)
	next.Spaces[0].DeadlineMS++
	return next
}

func TestConfiguration_IsSentByItsChanges(t *testing.T) {
	sender, receiver, lagging := NewStore(nil), NewStore(nil), NewStore(nil)
	config := configuration.Config{Sequence: 1, Source: "the document", Spaces: []configuration.Space{
		{Name: "a", Prefix: "a"}, {Name: "b", Prefix: "b"}, {Name: "c", Prefix: "c"}, {Name: "d", Prefix: "d"},
	}}
	sender.Apply(Update{Configuration: &config})
	assert.Equal(t, sender.Configuration().Source, "", "the source is sent")
	update := sender.Since(receiver.Digest())
	assert.Assert(t, update.Configuration != nil && len(update.Changes) == 0)
	receiver.Apply(update)
	for i := range uint64(maxRecentChanges + 3) {
		config = nextConfiguration(config)
		sender.Apply(Update{Configuration: &config})
		if i < 2 {
			lagging.Apply(Update{Configuration: &config})
		}
		if i%2 == 0 {
			continue
		}
		update := sender.Since(receiver.Digest())
		assert.Assert(t, update.Configuration == nil)
		assert.Equal(t, len(update.Changes), 2)
		receiver.Apply(update)
		assert.DeepEqual(t, receiver.Configuration(), sender.Configuration())
		assert.Assert(t, receiver.Since(sender.Digest()).Empty())
		assert.Assert(t, receiver.Apply(update).Empty(), "the same update again")
	}
	assert.Assert(t, sender.Since(lagging.Digest()).Configuration != nil,
		"changes to such an old configuration are still available")
	update = sender.Since(Digest{Configuration: config.Sequence - 1})
	assert.Assert(t, update.Configuration != nil, "a node that does not accept changes was sent some")
	lagging.Apply(Update{Changes: sender.Since(receiver.Digest()).Changes})
	lagging.Apply(sender.Since(lagging.Digest()))
	assert.DeepEqual(t, lagging.Configuration(), sender.Configuration())
}

func TestConfiguration_IsSentCompleteAfterAFailedChange(t *testing.T) {
	sender, receiver := NewStore(nil), NewStore(nil)
	config := configuration.Config{Sequence: 1, Spaces: []configuration.Space{
		{Name: "a", Prefix: "a"}, {Name: "b", Prefix: "b"},
	}}
	sender.Apply(Update{Configuration: &config})
	conflicting := nextConfiguration(config)
	conflicting.Sequence = 1
	receiver.Apply(Update{Configuration: &conflicting})
	config = nextConfiguration(config)
	config.Spaces[1].Weight = 3
	sender.Apply(Update{Configuration: &config})
	config = nextConfiguration(config)
	sender.Apply(Update{Configuration: &config})
	previous := receiver.Configuration()
	failing := configuration.Change{From: 1, Sequence: 2, Parts: []configuration.Part{{Count: 2}}, Checksum: 5}
	assert.Assert(t, receiver.Apply(Update{Changes: []configuration.Change{failing}}).Empty())
	assert.DeepEqual(t, receiver.Configuration(), previous)
	assert.Assert(t, !receiver.AcceptsChanges())
	update := sender.Since(receiver.Digest())
	assert.Assert(t, update.Configuration != nil && len(update.Changes) == 0)
	receiver.Apply(update)
	assert.DeepEqual(t, receiver.Configuration(), sender.Configuration())
	assert.Assert(t, receiver.AcceptsChanges())
}

// For a configuration of 514 spaces, a change takes a hundredth of the bytes of the complete one.
func TestConfigurationChange_IsSmallOnTheWire(t *testing.T) {
	config := configuration.Config{Sequence: 70000, Base: 69999, UseAssignedLanes: true}
	for i := range 514 {
		name := fmt.Sprintf("pick-line/aisle-%04d/", i)
		config.Spaces = append(config.Spaces, configuration.Space{
			Name: name, Prefix: name, Kind: configuration.KindRetained, Order: configuration.OrderPerSender,
			Urgent: i%4 == 0, RetentionMS: 35000, DeadlineMS: 1500, TargetLatencyMS: 150, Weight: 1,
		})
	}
	config = config.WithLanes(configuration.Config{}, configuration.RemovedSpaces{})
	size := func(value any) int {
		bytes, err := wire.Marshal(value)
		assert.NilError(t, err)
		return len(bytes)
	}
	complete := size(Update{Configuration: &config})
	changeSize := func(name string, change func(next *configuration.Config)) int {
		store := NewStore(nil)
		store.Apply(Update{Configuration: &config})
		next := config
		next.Sequence, next.Base, next.Spaces = config.Sequence+1, config.Sequence, slices.Clone(config.Spaces)
		change(&next)
		next = next.WithLanes(config, configuration.RemovedSpaces{})
		store.Apply(Update{Configuration: &next})
		update := store.Since(Digest{Configuration: config.Sequence, Changes: true})
		assert.Assert(t, update.Configuration == nil, name)
		t.Logf("%s: %d bytes, complete %d", name, size(update), complete)
		return size(update)
	}
	oneSpace := changeSize("a space changed", func(next *configuration.Config) { next.Spaces[200].DeadlineMS++ })
	assert.Assert(t, oneSpace*100 < complete)
	changeSize("a space removed", func(next *configuration.Config) {
		next.Spaces = slices.Delete(next.Spaces, 200, 201)
	})
	changeSize("ten spaces changed", func(next *configuration.Config) {
		for i := range 10 {
			next.Spaces[i*50].DeadlineMS++
		}
	})
	changeSize("a space more, and with it the table of lanes", func(next *configuration.Config) {
		added := configuration.Space{Name: "new", Prefix: "new/", Kind: configuration.KindRetained}
		next.Spaces = slices.Insert(next.Spaces, 200, added)
	})
}
