package visitor

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/carrier/cursor"
	"postjunction/internal/description"
	"postjunction/internal/gossip"
	"postjunction/internal/ledger/line"
)

func TestStreamSkipsWhatItGaveAndWhatNobodyAskedFor(t *testing.T) {
	b := gossip.NewBoard(nil)
	b.Offer(gossip.News{Description: &description.Description{Sequence: 1, Spaces: []description.Space{{Name: "s", Kind: "kept", Topics: []string{"a", "b"}}}}})
	n := 0
	st := &stream{s: &Service{Board: b}, t: &Task{Emit: func([]byte) error { n++; return nil }}, want: map[string]bool{"s/a": true, "s/gone": true}, pos: cursor.Cursor{}}
	give := func(o uint64, topic string) error {
		return st.give(lane{}, line.Entry{Offset: o, What: line.Message, Topic: topic, Body: []byte("1")})
	}
	assert.NilError(t, give(1, "s/a"))
	assert.NilError(t, give(1, "s/a"))
	assert.NilError(t, give(2, "s/b"))
	assert.NilError(t, give(3, "s/a"))
	assert.NilError(t, give(2, "s/a"))
	assert.Equal(t, n, 2)
	assert.ErrorContains(t, give(4, "s/gone"), "unknown_topic")
}
