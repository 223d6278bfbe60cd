package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/log"
)

// Entries of an earlier epoch that a majority has are committed only with the start of this epoch.
func TestCommit_EarlierEntriesWaitForTheEpochStart(t *testing.T) {
	partitionLog := log.New()
	progress := newLogProgress(log.KindInput, partitionLog)
	progress.appendEntry(log.Entry{Type: log.TypeMessage, Body: []byte("old")}, 1)
	partitionLog.Append(time.Now(), progress.pending...)
	progress.pending, progress.durable = nil, 1
	record := assignment.Record{
		Epoch: 2,
		Replicas: []assignment.Replica{
			{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}, {Node: "s3", Incarnation: "i3"},
		},
	}
	progress.match["i2"], progress.match["i3"] = 1, 1
	assert.Assert(t, !progress.advanceCommit(record, "s1"))
	assert.Equal(t, progress.commit, uint64(0))
	progress.appendEntry(log.Entry{Type: log.TypeEpochStart}, 2)
	progress.match["i2"] = 2
	assert.Assert(t, !progress.advanceCommit(record, "s1"), "one replica with the start is not a majority")
	progress.match["i3"] = 2
	assert.Assert(t, progress.advanceCommit(record, "s1"), "a majority without the local disk")
	assert.Equal(t, progress.commit, uint64(2))
}

// The new disk of a machine whose lost disk the record still names is brought up to date as a
// learner. It doesn't count for a majority yet.
func TestCommit_NewDiskDoesNotCountForTheLostOne(t *testing.T) {
	partitionLog := log.New()
	progress := newLogProgress(log.KindInput, partitionLog)
	progress.appendEntry(log.Entry{Type: log.TypeEpochStart}, 2)
	partitionLog.Append(time.Now(), progress.pending...)
	progress.pending, progress.durable = nil, 1
	record := assignment.Record{
		Epoch: 2,
		Replicas: []assignment.Replica{
			{Node: "s1", Incarnation: "i1"}, {Node: "s2", Incarnation: "i2"}, {Node: "s3", Incarnation: "i3"},
		},
	}
	progress.match["new"] = 1
	assert.Assert(t, !progress.advanceCommit(record, "s1"), "a learner was counted")
	progress.match["i2"] = 1
	assert.Assert(t, progress.advanceCommit(record, "s1"))

	progress.match["i3"], progress.match["new"] = 9, 8
	assert.Assert(
		t, !progress.isCaughtUp(record, assignment.Replica{Node: "s3", Incarnation: "new"}),
		"the lost disk had more, and a commit may still depend on it",
	)
	progress.match["new"] = 9
	assert.Assert(t, progress.isCaughtUp(record, assignment.Replica{Node: "s3", Incarnation: "new"}))
}
