package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

// entries are calls with gaps: every second number.
func entries(clients, calls int) []log.Entry {
	var es []log.Entry
	for c := range calls {
		for v := range clients {
			es = append(es, log.Entry{
				Offset: uint64(len(es) + 1), Type: log.TypeMessage, Topic: "s/a",
				Client: fmt.Sprintf("v%d", v), CallSeq: 2 * uint64(c+1), Generation: 1,
				Digest: log.Digest([]byte{byte(c), byte(v)}),
			})
		}
	}
	return es
}

func filled(clients, calls int) *State {
	s := New()
	for _, e := range entries(clients, calls) {
		s.Apply(e)
	}
	return s
}

// What the ledger no longer holds is forgotten but for how far it went: repeats are then told so by
// type and never taken again.
func TestPruningKeepsHowFarCallsHaveCome(t *testing.T) {
	s := filled(3, 40)
	s.TakeChanges()
	assert.Equal(t, s.Prune(entries(3, 40)[:3*38]...), 3*38, "what the ledger drops is let go")
	assert.Equal(t, len(s.TakeChanges()), 3+1, "how far it went is written down again, and what is gone of the topic")
	assert.Equal(t, s.Progress["s/a"], Progress{Offset: 120, Count: 120, Trimmed: 3 * 38})
	for v := range 3 {
		k := Key(fmt.Sprintf("v%d", v), "s/a")
		a := s.Accepted[k]
		assert.Equal(t, a.Last, uint64(2*40))
		assert.Equal(t, a.Floor, uint64(2*38))
		assert.Equal(t, len(a.Recent), 2)
		s.Apply(log.Entry{Offset: 500, Type: log.TypeMessage, Topic: "s/a", Client: fmt.Sprintf("v%d", v), CallSeq: 7})
		assert.Equal(t, s.Accepted[k].Last, uint64(2*40))
	}
	assert.Equal(t, s.Prune(entries(3, 40)[:3*38]...), 0)
	assert.Assert(t, !s.Changed(), "dropping the same again changes nothing")
}

// The answers are told by the ledger again, so they cost nothing to write down; the floor says what
// they can't tell.
func TestAnswersComeBackFromTheLedger(t *testing.T) {
	es := entries(3, 40)
	for _, gone := range []int{0, 1, 50, 119, 120} {
		s := filled(3, 40)
		s.Prune(es[:gone]...)
		got, err := Unmarshal(s.Marshal())
		assert.NilError(t, err)
		for range 2 {
			for _, e := range es[gone:] {
				got.RestoreAnswer(e)
			}
		}
		for k, a := range s.Accepted {
			b := got.Accepted[k]
			assert.Equal(t, len(a.Recent), len(b.Recent))
			for i := range a.Recent {
				assert.Equal(t, a.Recent[i], b.Recent[i])
			}
			assert.Equal(t, a.Floor, b.Floor)
			for _, t0 := range a.Recent {
				x, ok := b.Find(t0.CallSeq)
				assert.Assert(t, ok && x == t0)
			}
			_, ok := b.Find(41)
			assert.Assert(t, !ok, "odd numbers were never used")
		}
	}
}

// A value written by a build that had no floor says nothing about what was let go: all up to its
// last call may have been taken.
func TestAnOlderBuildsAnswersMayHaveBeenTaken(t *testing.T) {
	s := New()
	older := []byte(`{"l":9,"g":2,"r":[{"c":9,"o":4,"s":"d"}]}`)
	assert.NilError(t, s.Set(Item{Key: "a:" + Key("v", "s/a"), Value: older}))
	a := s.Accepted[Key("v", "s/a")]
	assert.Equal(t, a.Last, uint64(9))
	assert.Equal(t, a.Floor, uint64(9))
}

func TestAnswersAreBounded(t *testing.T) {
	s := filled(1, MaxAnswers+10)
	a := s.Accepted[Key("v0", "s/a")]
	assert.Equal(t, len(a.Recent), MaxAnswers)
	assert.Equal(t, a.Floor, uint64(20))
}

// What a batch costs that follows a busy interval: a visitor with hundreds of answers kept is
// written as one with none.
func TestAnswersAreNotWrittenDown(t *testing.T) {
	s := filled(200, 1200)
	n := 0
	for _, i := range s.TakeChanges() {
		n += len(i.Key) + len(i.Value)
	}
	t.Logf(
		"200 visitors of a topic with 1200 answers kept each: %d bytes each in a batch, %d packed", n/200,
		len(s.Marshal())/200,
	)
	assert.Assert(t, n/200 < 64)
}

func BenchmarkApply(b *testing.B) {
	es := entries(20, 1200)
	for b.Loop() {
		s := New()
		for _, e := range es {
			s.Apply(e)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(es)), "ns/message")
}
