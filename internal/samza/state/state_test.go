package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/ledger/line"
)

func filled(visitors, calls int) *State {
	s := New()
	o := uint64(0)
	for c := range calls {
		for v := range visitors {
			o++
			s.Apply(line.Entry{Offset: o, What: line.Message, Topic: "s/a", Visitor: fmt.Sprintf("v%d", v), Call: uint64(c + 1), Generation: 1, Digest: line.Digest([]byte{byte(c), byte(v)})})
		}
	}
	return s
}

// What the ledger no longer holds is forgotten but for how far it went: repeats are then told so by type and never taken again.
func TestPruningKeepsHowFarCallsHaveCome(t *testing.T) {
	s := filled(3, 40)
	assert.Equal(t, s.Prune(3*38), 3*30, "of 32 answers kept per visitor, 2 stand behind")
	for v := range 3 {
		a := s.Accepted[Key(fmt.Sprintf("v%d", v), "s/a")]
		assert.Equal(t, a.Last, uint64(40))
		assert.Equal(t, len(a.Recent), 2)
		before := a.Last
		s.Apply(line.Entry{Offset: 500, What: line.Message, Topic: "s/a", Visitor: fmt.Sprintf("v%d", v), Call: 7})
		assert.Equal(t, s.Accepted[Key(fmt.Sprintf("v%d", v), "s/a")].Last, before)
	}
	b := len(filled(200, 40).Pack())
	p := filled(200, 40)
	p.Prune(200 * 40)
	t.Logf("200 idle visitors of a topic: %d bytes each before, %d after", b/200, len(p.Pack())/200)
	assert.Assert(t, len(p.Pack()) < b/10)
}
