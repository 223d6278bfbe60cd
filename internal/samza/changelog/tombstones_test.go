package changelog

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

func marked() []log.Entry {
	return []log.Entry{
		{
			Offset: 1, Type: log.TypeMessage, Topic: "t", Client: "v", CallSeq: 1, Key: "k",
		}, {Offset: 2, Type: log.TypeMessage, Topic: "t", Client: "v", CallSeq: 2, Key: "l"},
		{
			Offset: 3, Type: log.TypeReader, Client: "a1",
			Body: state.EncodeBody(state.ReaderEntry{BootID: "b"}),
		}, {Offset: 4, Type: log.TypeReader, Client: "a2", Body: state.EncodeBody(state.ReaderEntry{BootID: "b"})},
		{Offset: 5, Type: log.TypeWithdrawal, Topic: "t", Client: "v", CallSeq: 3, Key: "k"}, {
			Offset: 6, Type: log.TypeWithdrawal, Topic: "t", Client: "w", CallSeq: 1, Key: "l",
			Body: state.EncodeBody(state.SenderWithdrawal{Sender: "v", UpTo: 9}),
		},
		{
			Offset: 7, Type: log.TypeReader, Client: "a2",
			Body: state.EncodeBody(state.ReaderEntry{BootID: "b", Removed: true}),
		}, {
			Offset: 8, Type: log.TypeReader, Client: "a1",
			Body: state.EncodeBody(state.ReaderEntry{BootID: "b", GivenUp: true}),
		},
	}
}

// Marks and readers outlive their owner wherever its batches were cut, and so does that one of them
// was let go.
func TestMarksSurviveReplay(t *testing.T) {
	es := marked()
	for cut := range len(es) + 1 {
		for _, whole := range []bool{false, true} {
			s := apply(state.New(), es[:cut])
			changes := append(EncodeBatch(s.Input, s.TakeChanges(), false), EncodeCommit(Commit{Input: s.Input}))
			apply(s, es[cut:])
			s.DropTombstone(state.Key("t", "k"))
			if whole {
				s.MarkAllChanged()
			}
			changes = append(changes, EncodeBatch(s.Input, s.TakeChanges(), whole)...)
			in, err := Replay(
				state.New(), 0,
				append(changes[:len(changes):len(changes)], EncodeCommit(Commit{Input: s.Input})),
			)
			assert.NilError(t, err)
			assert.Equal(t, in, uint64(len(es)))
			got := state.New()
			_, err = Replay(got, 0, append(changes, EncodeCommit(Commit{Input: s.Input})))
			assert.NilError(t, err)
			for _, x := range []*state.State{got, unpacked(t, got)} {
				assert.DeepEqual(t, x.Tombstones, map[string]state.Tombstone{
					state.Key("t", "l"): {Offset: 6, Client: "w", CallSeq: 1},
				})
				assert.DeepEqual(t, x.Readers, map[string]state.Reader{"a1": {BootID: "b", Offset: 8, GivenUp: true}})
				assert.Equal(t, x.Accepted[state.Key("v", "t")].Last, uint64(9))
			}
			got = state.New()
			in, err = Replay(got, 0, changes)
			assert.NilError(t, err)
			for _, e := range es[:in] {
				got.RestoreAnswer(e)
			}
			apply(got, es[in:])
			assert.DeepEqual(t, got.Readers, s.Readers)
			assert.DeepEqual(t, got.LastKeyed, s.LastKeyed)
			assert.Equal(t, len(got.Tombstones), 2, "what the ledger still tells stands")
		}
	}
}

func unpacked(t *testing.T, s *state.State) *state.State {
	t.Helper()
	got, err := state.Unmarshal(s.Marshal())
	assert.NilError(t, err)
	return got
}
