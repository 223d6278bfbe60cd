package gossip

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/roster"
	"postjunction/internal/description"
	"postjunction/internal/placement/record"
)

func TestNewsNeverGoesBack(t *testing.T) {
	heard := 0
	b := NewBoard(func(News) { heard++ })
	r := roster.Roster{Sequence: 2, Fleet: "f", Layout: roster.Layout{Routine: 1, Urgent: 1}}
	offer := func(d, w uint64) bool {
		return !b.Offer(News{Roster: &r, Description: &description.Description{Sequence: d}, Records: []record.Record{{Partition: 1, Writes: w}}}).Empty()
	}
	assert.Assert(t, offer(3, 5))
	assert.Assert(t, !offer(3, 5))
	assert.Assert(t, !offer(2, 4))
	other := roster.Roster{Sequence: 9, Fleet: "g"}
	assert.Assert(t, b.Offer(News{Roster: &other}).Empty(), "another fleet's roster")
	assert.Equal(t, heard, 1)
	assert.Equal(t, b.Description().Sequence, uint64(3))
	assert.Equal(t, b.Record(1).Writes, uint64(5))
	d := b.Digest()
	assert.DeepEqual(t, d, Digest{Roster: 2, Description: 3, Records: []uint64{0, 5}})
	assert.Assert(t, b.Since(d).Empty())
	assert.Equal(t, len(b.Since(Digest{}).Records), 1)
}
