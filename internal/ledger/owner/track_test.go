package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/ledger/line"
	"postjunction/internal/placement/record"
)

// Entries of an earlier epoch on a majority are committed only with the start of the present one.
func TestEpochStartComesBeforeEarlierEntriesCount(t *testing.T) {
	l := line.New()
	k := newTrack(line.Ledger, l)
	k.push(line.Entry{What: line.Message, Body: []byte("old")}, 1)
	l.Append(time.Now(), k.pending...)
	k.pending, k.durable = nil, 1
	r := record.Record{Epoch: 2, Replicas: []record.Place{{Node: "s1"}, {Node: "s2"}, {Node: "s3"}}}
	k.match["s2"], k.match["s3"] = 1, 1
	assert.Assert(t, !k.settle(r, "s1"))
	assert.Equal(t, k.commit, uint64(0))
	k.push(line.Entry{What: line.Start}, 2)
	k.match["s2"] = 2
	assert.Assert(t, !k.settle(r, "s1"), "one copy of the start is not a majority")
	k.match["s3"] = 2
	assert.Assert(t, k.settle(r, "s1"), "a majority without the own disk")
	assert.Equal(t, k.commit, uint64(2))
}
