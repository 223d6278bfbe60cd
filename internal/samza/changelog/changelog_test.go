package changelog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

func ledger(n int) []log.Entry {
	var es []log.Entry
	for i := range n {
		v, t := fmt.Sprintf("v%d", i%700), fmt.Sprintf("t%d", i%3)
		es = append(es, log.Entry{
			Offset: uint64(i + 1), Type: log.TypeMessage, Client: v, Topic: t, CallSeq: uint64(i/2100) + 1,
			Digest: "d",
		})
	}
	es = append(
		es,
		log.Entry{Offset: uint64(n + 1), Type: log.TypeAttach, Client: "v1", Generation: 2, Body: []byte("s")},
		log.Entry{Offset: uint64(n + 2), Type: log.TypeCursor, Client: "v1", Body: []byte("c")},
	)
	return es
}

func apply(s *state.State, es []log.Entry) *state.State {
	for _, e := range es {
		s.Apply(e)
	}
	return s
}

func TestReplayAndReprocessingGiveTheSameState(t *testing.T) {
	es := ledger(5000)
	whole := apply(state.New(), es)
	for _, cut := range []int{0, 1, 2500, 5001, 5002} {
		s := apply(state.New(), es[:cut])
		changes := append(EncodeBatch(s.Input, s.TakeChanges(), false), EncodeCommit(Commit{Input: s.Input}))
		got := state.New()
		in, err := Replay(got, 0, changes)
		assert.NilError(t, err)
		assert.Equal(t, in, uint64(cut))
		for _, e := range es[:in] {
			got.RestoreAnswer(e)
		}
		apply(got, es[in:])
		apply(got, es[in/2:])
		assert.Equal(t, string(got.Marshal()), string(whole.Marshal()), "cut at %d", cut)
		assert.DeepEqual(t, got.Accepted, whole.Accepted)
	}
}

func TestBatchIsAppliedOnlyWhole(t *testing.T) {
	s := apply(state.New(), ledger(5000))
	changes := EncodeBatch(s.Input, s.TakeChanges(), false)
	assert.Assert(t, len(changes) > 2)
	got := state.New()
	in, err := Replay(got, 0, changes[:len(changes)-1])
	assert.NilError(t, err)
	assert.Equal(t, in, uint64(0))
	assert.Equal(t, got.Size(), 0)
	in, err = Replay(got, 0, append(append(changes[:1:1], log.Entry{Type: log.TypeEpochStart}), changes...))
	assert.NilError(t, err)
	assert.Equal(t, in, uint64(0), "the offset counts by its own record only")
	assert.Equal(t, got.Size(), s.Size())
}

// A batch stood in the changelog, and its owner was lost before the record that commits it: the
// state is ahead of the input offset. What is processed again changes nothing, but the answers to
// it must be known, or a repeat of a taken call would be told that it never was.
func TestBatchWithoutItsRecordKnowsItsAnswers(t *testing.T) {
	es := ledger(5000)
	s := apply(state.New(), es[:2000])
	changes := append(EncodeBatch(s.Input, s.TakeChanges(), false), EncodeCommit(Commit{Input: s.Input}))
	apply(s, es[2000:])
	changes = append(changes, EncodeBatch(s.Input, s.TakeChanges(), false)...)
	got := state.New()
	in, err := Replay(got, 0, changes)
	assert.NilError(t, err)
	assert.Equal(t, in, uint64(2000))
	for _, e := range es[:in] {
		got.RestoreAnswer(e)
	}
	apply(got, es[in:])
	assert.Equal(t, string(got.Marshal()), string(s.Marshal()))
	for _, e := range es[:5000] {
		x, ok := got.Accepted[state.Key(e.Client, e.Topic)].Find(e.CallSeq)
		assert.Assert(t, ok && x.Offset == e.Offset, "call %d of %s on %s", e.CallSeq, e.Client, e.Topic)
	}
}
