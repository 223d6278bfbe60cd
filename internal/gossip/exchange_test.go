package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

func TestConfiguration_IsSentByOnePeerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		gossiper := &Gossiper{Clock: clock.Real{}, Timing: timing, Store: NewStore(nil)}
		asksFor := func(sequence uint64) bool {
			return gossiper.responseDigest(Digest{Configuration: sequence}).Configuration < sequence
		}
		assert.Assert(t, asksFor(5))
		assert.Assert(t, !asksFor(5), "a second peer was allowed to send it meanwhile")
		assert.Assert(t, !asksFor(4))
		assert.Assert(t, asksFor(6), "a newer one")
		assert.Assert(t, !asksFor(6))
		time.Sleep(timing.HeartbeatInterval())
		assert.Assert(t, asksFor(6), "the peer that was allowed to send it never did")
		gossiper.Store.Apply(Update{Configuration: &configuration.Config{Sequence: 6}})
		assert.Equal(t, gossiper.responseDigest(Digest{Configuration: 6}).Configuration, uint64(6))
		assert.Equal(t, gossiper.responseDigest(Digest{Configuration: 3}).Configuration, uint64(6))
	})
}

func TestConfiguration_FirstIsFetchedFromOnePeerAtATime(t *testing.T) {
	gossiper := &Gossiper{Store: NewStore(nil)}
	assert.Assert(t, gossiper.beginFetch())
	assert.Assert(t, !gossiper.beginFetch())
	gossiper.endFetch(false)
	assert.Assert(t, !gossiper.beginFetch(), "an exchange that was not allowed to fetch ended the fetch")
	gossiper.endFetch(true)
	assert.Assert(t, gossiper.beginFetch())
	sender := NewStore(nil)
	sender.Apply(Update{Configuration: &configuration.Config{Sequence: 1}})
	assert.Assert(t, sender.Since(Digest{ConfigurationPending: true}).Empty())
	gossiper.Store.Apply(sender.Since(Digest{}))
	assert.Assert(t, gossiper.beginFetch(), "changes are small")
	assert.Assert(t, gossiper.beginFetch())
}

// Nodes without a disk are sent who leads, but not the history, which is most of a record. Nodes
// with a disk write records, so they are sent complete records, and only by one another.
func TestRecords_AreSentWithoutHistoryToDisklessNodes(t *testing.T) {
	record := assignment.Record{Partition: 1, Version: 1}
	for range 9 {
		replicas := []assignment.Replica{{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}}
		record = record.Next("s1", replicas, "the owner is gone: nothing is heard from it", time.Now())
	}
	storageNode := &Gossiper{Store: NewStore(nil), Disk: true}
	diskless, otherDiskless := &Gossiper{Store: NewStore(nil)}, &Gossiper{Store: NewStore(nil)}
	storageNode.Store.Apply(Update{Records: []assignment.Record{record}})
	assert.Assert(t, !storageNode.digest().OmitHistory)
	assert.Assert(t, diskless.digest().OmitHistory && diskless.responseDigest(Digest{}).OmitHistory)

	complete := storageNode.forPeer(storageNode.Store.Since(Digest{}), false)
	assert.DeepEqual(t, complete.Records, []assignment.Record{record})
	short := storageNode.forPeer(storageNode.Store.Since(diskless.digest()), diskless.digest().OmitHistory)
	assert.Equal(t, len(short.Records), 1)
	assert.Equal(t, len(short.Records[0].History), 0)
	assert.Equal(t, short.Records[0].Leader, "s1")
	assert.Equal(t, len(storageNode.Store.Record(1).History), 9, "the stored record lost its history")
	completeBytes, err := wire.Marshal(complete)
	assert.NilError(t, err)
	shortBytes, err := wire.Marshal(short)
	assert.NilError(t, err)
	assert.Assert(t, len(shortBytes)*5 < len(completeBytes),
		"%d bytes complete, %d without history", len(completeBytes), len(shortBytes))

	diskless.Store.Apply(short)
	assert.Equal(t, diskless.Store.Hash(), storageNode.Store.Hash(), "both have the same versions")
	relayed := diskless.forPeer(diskless.Store.Since(otherDiskless.digest()), otherDiskless.digest().OmitHistory)
	otherDiskless.Store.Apply(relayed)
	assert.Equal(t, otherDiskless.Store.Record(1).Epoch, record.Epoch)
	assert.Assert(t, diskless.forPeer(diskless.Store.Since(storageNode.digest()), false).Empty(),
		"a record without its history was sent to a node that may write it")
}
