package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
)

// Entries of an earlier epoch on a majority are committed only with the start of the present one.
func TestEpochStartComesBeforeEarlierEntriesCount(t *testing.T) {
	l := log.New()
	k := newTrack(log.KindLedger, l)
	k.push(log.Entry{Type: log.TypeMessage, Body: []byte("old")}, 1)
	l.Append(time.Now(), k.pending...)
	k.pending, k.durable = nil, 1
	r := assignment.Record{Epoch: 2, Replicas: []assignment.Replica{{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}, {Node: "s3", Incarnation: "i3"}}}
	k.match["i2"], k.match["i3"] = 1, 1
	assert.Assert(t, !k.settle(r, "s1"))
	assert.Equal(t, k.commit, uint64(0))
	k.push(log.Entry{Type: log.TypeEpochStart}, 2)
	k.match["i2"] = 2
	assert.Assert(t, !k.settle(r, "s1"), "one copy of the start is not a majority")
	k.match["i3"] = 2
	assert.Assert(t, k.settle(r, "s1"), "a majority without the own disk")
	assert.Equal(t, k.commit, uint64(2))
}

// The new disk of a machine whose lost one the record still names is brought up as a learner; what it holds is no copy yet.
func TestNewDiskCountsForNothingInTheLostOnesPlace(t *testing.T) {
	l := log.New()
	k := newTrack(log.KindLedger, l)
	k.push(log.Entry{Type: log.TypeEpochStart}, 2)
	l.Append(time.Now(), k.pending...)
	k.pending, k.durable = nil, 1
	r := assignment.Record{Epoch: 2, Replicas: []assignment.Replica{{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}, {Node: "s3", Incarnation: "i3"}}}
	k.match["new"] = 1
	assert.Assert(t, !k.settle(r, "s1"), "a learner was counted")
	k.match["i2"] = 1
	assert.Assert(t, k.settle(r, "s1"))

	k.match["i3"], k.match["new"] = 9, 8
	assert.Assert(t, !k.caughtUp(r, assignment.Replica{Node: "s3", Incarnation: "new"}), "the lost disk held more, on which a commit may still rest")
	k.match["new"] = 9
	assert.Assert(t, k.caughtUp(r, assignment.Replica{Node: "s3", Incarnation: "new"}))
}
