package visitor

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/carrier/cursor"
	"postjunction/internal/description"
	"postjunction/internal/gossip"
	"postjunction/internal/ledger/line"
)

func TestStreamSkipsWhatItGaveAndWhatNobodyAskedFor(t *testing.T) {
	b := gossip.NewBoard(nil)
	describe := func(seq uint64, ss ...description.Space) {
		b.Offer(gossip.News{Description: &description.Description{Sequence: seq, Spaces: ss}})
	}
	describe(1, description.Space{Name: "s", Kind: "kept", Topics: []string{"a", "b", "gone"}})
	var got []string
	st := &stream{s: &Service{Board: b}, t: &Task{Emit: func(l []byte) error {
		var x Line
		assert.NilError(t, json.Unmarshal(l, &x))
		got = append(got, x.Topic+strings.Join(x.Dropped, "-"))
		return nil
	}}, want: map[string]bool{"s/a": true, "s/gone": true}, urgent: map[string]bool{}, pos: cursor.Cursor{}, index: 1}
	give := func(o uint64, topic string) {
		stale, err := st.give(lane{}, line.Entry{Offset: o, What: line.Message, Topic: topic, Body: []byte("1")})
		assert.NilError(t, err)
		assert.Assert(t, !stale)
	}
	give(1, "s/a")
	give(1, "s/a")
	give(2, "s/b")
	give(3, "s/gone")
	give(2, "s/a")
	describe(2, description.Space{Name: "s", Kind: "kept", Topics: []string{"a", "b"}})
	assert.NilError(t, st.refresh())
	give(4, "s/gone")
	give(5, "s/a")
	assert.DeepEqual(t, got, []string{"s/a", "s/gone", "s/gone", "s/a"})
	describe(3, description.Space{Name: "s", Kind: "kept", Urgent: true, Topics: []string{"a"}})
	assert.ErrorContains(t, st.refresh(), "unknown_topic")
}
