package changelog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

func inputLog(count int) []log.Entry {
	var entries []log.Entry
	for i := range count {
		client, topic := fmt.Sprintf("v%d", i%700), fmt.Sprintf("t%d", i%3)
		entries = append(entries, log.Entry{
			Offset: uint64(i + 1), Type: log.TypeMessage, Client: client, Topic: topic, CallSeq: uint64(i/2100) + 1,
			Digest: "d",
		})
	}
	entries = append(
		entries,
		log.Entry{Offset: uint64(count + 1), Type: log.TypeAttach, Client: "v1", Generation: 2, Body: []byte("s")},
		log.Entry{Offset: uint64(count + 2), Type: log.TypeCursor, Client: "v1", Body: []byte("c")},
	)
	return entries
}

func apply(target *state.State, entries []log.Entry) *state.State {
	for _, entry := range entries {
		target.Apply(entry)
	}
	return target
}

func TestReplayAndReprocessingGiveTheSameState(t *testing.T) {
	entries := inputLog(5000)
	want := apply(state.New(), entries)
	for _, cut := range []int{0, 1, 2500, 5001, 5002} {
		source := apply(state.New(), entries[:cut])
		changes := append(
			EncodeBatch(source.Input, source.TakeChanges(), false), EncodeCommit(Commit{Input: source.Input}),
		)
		replayed := state.New()
		input, err := Replay(replayed, 0, changes)
		assert.NilError(t, err)
		assert.Equal(t, input, uint64(cut))
		for _, entry := range entries[:input] {
			replayed.RestoreAnswer(entry)
		}
		apply(replayed, entries[input:])
		apply(replayed, entries[input/2:])
		assert.Equal(t, string(replayed.Marshal()), string(want.Marshal()), "cut at %d", cut)
		assert.DeepEqual(t, replayed.Accepted, want.Accepted)
	}
}

func TestBatchIsAppliedOnlyWhole(t *testing.T) {
	source := apply(state.New(), inputLog(5000))
	changes := EncodeBatch(source.Input, source.TakeChanges(), false)
	assert.Assert(t, len(changes) > 2)
	replayed := state.New()
	input, err := Replay(replayed, 0, changes[:len(changes)-1])
	assert.NilError(t, err)
	assert.Equal(t, input, uint64(0))
	assert.Equal(t, replayed.Size(), 0)
	input, err = Replay(replayed, 0, append(append(changes[:1:1], log.Entry{Type: log.TypeEpochStart}), changes...))
	assert.NilError(t, err)
	assert.Equal(t, input, uint64(0), "only a Commit raises the input offset")
	assert.Equal(t, replayed.Size(), source.Size())
}

// A leader fails after it wrote a batch to the changelog, before the entry that commits it. The
// state is then ahead of the input offset. Reprocessing changes nothing, but it must restore the
// answers. Otherwise a retry of an accepted call would be rejected as never accepted.
func TestBatchWithoutItsRecordKnowsItsAnswers(t *testing.T) {
	entries := inputLog(5000)
	source := apply(state.New(), entries[:2000])
	changes := append(EncodeBatch(source.Input, source.TakeChanges(), false), EncodeCommit(Commit{Input: source.Input}))
	apply(source, entries[2000:])
	changes = append(changes, EncodeBatch(source.Input, source.TakeChanges(), false)...)
	replayed := state.New()
	input, err := Replay(replayed, 0, changes)
	assert.NilError(t, err)
	assert.Equal(t, input, uint64(2000))
	for _, entry := range entries[:input] {
		replayed.RestoreAnswer(entry)
	}
	apply(replayed, entries[input:])
	assert.Equal(t, string(replayed.Marshal()), string(source.Marshal()))
	for _, entry := range entries[:5000] {
		call, ok := replayed.Accepted[state.Key(entry.Client, entry.Topic)].Find(entry.CallSeq)
		assert.Assert(
			t, ok && call.Offset == entry.Offset, "call %d of %s on %s", entry.CallSeq, entry.Client, entry.Topic,
		)
	}
}
