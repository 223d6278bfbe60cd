package changelog

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

func tombstoneEntries() []log.Entry {
	return []log.Entry{
		{Offset: 1, Type: log.TypeMessage, Topic: "t", Client: "v", CallSeq: 1, Key: "k"},
		{Offset: 2, Type: log.TypeMessage, Topic: "t", Client: "v", CallSeq: 2, Key: "l"},
		{Offset: 3, Type: log.TypeReader, Client: "a1", Body: state.EncodeBody(state.ReaderEntry{BootID: "b"})},
		{Offset: 4, Type: log.TypeReader, Client: "a2", Body: state.EncodeBody(state.ReaderEntry{BootID: "b"})},
		{Offset: 5, Type: log.TypeWithdrawal, Topic: "t", Client: "v", CallSeq: 3, Key: "k"},
		{
			Offset: 6, Type: log.TypeWithdrawal, Topic: "t", Client: "w", CallSeq: 1, Key: "l",
			Body: state.EncodeBody(state.SenderWithdrawal{Sender: "v", UpTo: 9}),
		},
		{
			Offset: 7, Type: log.TypeReader, Client: "a2",
			Body: state.EncodeBody(state.ReaderEntry{BootID: "b", Removed: true}),
		},
		{
			Offset: 8, Type: log.TypeReader, Client: "a1",
			Body: state.EncodeBody(state.ReaderEntry{BootID: "b", GivenUp: true}),
		},
	}
}

// Tombstones and readers survive a change of leaders wherever the batches end. A removal of one of
// them does too.
func TestTombstonesSurviveReplay(t *testing.T) {
	entries := tombstoneEntries()
	for cut := range len(entries) + 1 {
		for _, compacted := range []bool{false, true} {
			source := apply(state.New(), entries[:cut])
			changes := append(
				EncodeBatch(source.Input, source.TakeChanges(), false), EncodeCommit(Commit{Input: source.Input}),
			)
			apply(source, entries[cut:])
			source.DropTombstone(state.Key("t", "k"))
			if compacted {
				source.MarkAllChanged()
			}
			changes = append(changes, EncodeBatch(source.Input, source.TakeChanges(), compacted)...)
			input, err := Replay(
				state.New(), 0,
				append(changes[:len(changes):len(changes)], EncodeCommit(Commit{Input: source.Input})),
			)
			assert.NilError(t, err)
			assert.Equal(t, input, uint64(len(entries)))
			replayed := state.New()
			_, err = Replay(replayed, 0, append(changes, EncodeCommit(Commit{Input: source.Input})))
			assert.NilError(t, err)
			for _, got := range []*state.State{replayed, reencoded(t, replayed)} {
				assert.DeepEqual(t, got.Tombstones, map[string]state.Tombstone{
					state.Key("t", "l"): {Offset: 6, Client: "w", CallSeq: 1},
				})
				assert.DeepEqual(t, got.Readers, map[string]state.Reader{
					"a1": {BootID: "b", Offset: 8, GivenUp: true},
				})
				assert.Equal(t, got.Accepted[state.Key("v", "t")].Last, uint64(9))
			}
			replayed = state.New()
			input, err = Replay(replayed, 0, changes)
			assert.NilError(t, err)
			for _, entry := range entries[:input] {
				replayed.RestoreAnswer(entry)
			}
			apply(replayed, entries[input:])
			assert.DeepEqual(t, replayed.Readers, source.Readers)
			assert.DeepEqual(t, replayed.LastKeyed, source.LastKeyed)
			assert.Equal(t, len(replayed.Tombstones), 2, "tombstones are restored from the partition log")
		}
	}
}

func reencoded(t *testing.T, source *state.State) *state.State {
	t.Helper()
	decoded, err := state.Unmarshal(source.Marshal())
	assert.NilError(t, err)
	return decoded
}
