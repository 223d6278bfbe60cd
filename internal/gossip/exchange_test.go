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
		g := &Gossiper{Clock: clock.Real{}, Timing: timing, Store: NewStore(nil)}
		asksFor := func(sequence uint64) bool {
			return g.responseDigest(Digest{Configuration: sequence}).Configuration < sequence
		}
		assert.Assert(t, asksFor(5))
		assert.Assert(t, !asksFor(5), "a second peer was let send it at once")
		assert.Assert(t, !asksFor(4))
		assert.Assert(t, asksFor(6), "a newer one")
		assert.Assert(t, !asksFor(6))
		time.Sleep(timing.HeartbeatInterval())
		assert.Assert(t, asksFor(6), "the peer that was let send it never did")
		g.Store.Apply(Update{Configuration: &configuration.Config{Sequence: 6}})
		assert.Equal(t, g.responseDigest(Digest{Configuration: 6}).Configuration, uint64(6))
		assert.Equal(t, g.responseDigest(Digest{Configuration: 3}).Configuration, uint64(6))
	})
}

func TestConfiguration_FirstIsFetchedFromOnePeerAtATime(t *testing.T) {
	g := &Gossiper{Store: NewStore(nil)}
	assert.Assert(t, g.beginFetch())
	assert.Assert(t, !g.beginFetch())
	g.endFetch(false)
	assert.Assert(t, !g.beginFetch(), "an exchange that was not allowed to fetch ended the fetch")
	g.endFetch(true)
	assert.Assert(t, g.beginFetch())
	sender := NewStore(nil)
	sender.Apply(Update{Configuration: &configuration.Config{Sequence: 1}})
	assert.Assert(t, sender.Since(Digest{ConfigurationPending: true}).Empty())
	g.Store.Apply(sender.Since(Digest{}))
	assert.Assert(t, g.beginFetch(), "changes are small")
	assert.Assert(t, g.beginFetch())
}

// Nodes without a disk hear who leads, not the history of it, which is most of a record; those with
// a disk, which write records, have them complete and from one another only.
func TestRecords_AreSentWithoutHistoryToDisklessNodes(t *testing.T) {
	record := assignment.Record{Partition: 1, Version: 1}
	for range 9 {
		replicas := []assignment.Replica{{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}}
		record = record.Next("s1", replicas, "the owner is gone: nothing is heard from it", time.Now())
	}
	store := &Gossiper{Store: NewStore(nil), Disk: true}
	access, otherAccess := &Gossiper{Store: NewStore(nil)}, &Gossiper{Store: NewStore(nil)}
	store.Store.Apply(Update{Records: []assignment.Record{record}})
	assert.Assert(t, !store.digest().OmitHistory)
	assert.Assert(t, access.digest().OmitHistory && access.responseDigest(Digest{}).OmitHistory)

	complete := store.forPeer(store.Store.Since(Digest{}), false)
	assert.DeepEqual(t, complete.Records, []assignment.Record{record})
	short := store.forPeer(store.Store.Since(access.digest()), access.digest().OmitHistory)
	assert.Equal(t, len(short.Records), 1)
	assert.Equal(t, len(short.Records[0].History), 0)
	assert.Equal(t, short.Records[0].Leader, "s1")
	assert.Equal(t, len(store.Store.Record(1).History), 9, "the stored record lost its history")
	completeBytes, err := wire.Marshal(complete)
	assert.NilError(t, err)
	shortBytes, err := wire.Marshal(short)
	assert.NilError(t, err)
	assert.Assert(t, len(shortBytes)*5 < len(completeBytes),
		"%d bytes complete, %d without history", len(completeBytes), len(shortBytes))

	access.Store.Apply(short)
	assert.Equal(t, access.Store.Hash(), store.Store.Hash(), "they know the same")
	relayed := access.forPeer(access.Store.Since(otherAccess.digest()), otherAccess.digest().OmitHistory)
	otherAccess.Store.Apply(relayed)
	assert.Equal(t, otherAccess.Store.Record(1).Epoch, record.Epoch)
	assert.Assert(t, access.forPeer(access.Store.Since(store.digest()), false).Empty(),
		"a record without its history went to a node that may write it")
}
