package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

func message(offset uint64, client string, callSeq uint64, key string) log.Entry {
	return log.Entry{
		Offset: offset, Type: log.TypeMessage, Topic: "s/a", Client: client, CallSeq: callSeq, Key: key, Digest: "d",
	}
}

func withdrawal(offset uint64, client string, callSeq uint64, key string, body SenderWithdrawal) log.Entry {
	return log.Entry{
		Offset: offset, Type: log.TypeWithdrawal, Topic: "s/a", Client: client, CallSeq: callSeq, Key: key,
		Body: EncodeBody(body), Digest: "w",
	}
}

func reader(offset uint64, node string, body ReaderEntry) log.Entry {
	return log.Entry{Offset: offset, Type: log.TypeReader, Client: node, Body: EncodeBody(body)}
}

func keyedEntries() []log.Entry {
	return []log.Entry{
		message(1, "v", 1, "k"),
		message(2, "v", 2, "l"),
		reader(3, "a1", ReaderEntry{BootID: "b"}),
		reader(4, "a2", ReaderEntry{BootID: "b"}),
		withdrawal(5, "w", 3, "k", SenderWithdrawal{"v", 7}),
		message(6, "u", 1, "k"),
		reader(7, "a1", ReaderEntry{BootID: "c"}),
		reader(8, "a2", ReaderEntry{BootID: "b", GivenUp: true}),
		reader(9, "a3", ReaderEntry{BootID: "b"}),
		reader(10, "a3", ReaderEntry{BootID: "b", Removed: true}),
	}
}

func applyAll(logEntries ...log.Entry) *State {
	state := New()
	for _, entry := range logEntries {
		state.Apply(entry)
	}
	return state
}

var withdrawnKey = Key("s/a", "k")

// A withdrawal adds a call of its client and a tombstone. If it names a sender, that sender's call
// numbers up to the given one are passed.
func TestWithdrawalsAndReadersAreState(t *testing.T) {
	state := applyAll(keyedEntries()...)
	for range 2 {
		assert.DeepEqual(t, state.Tombstones, map[string]Tombstone{withdrawnKey: {5, "w", 3}})
		assert.DeepEqual(t, state.Readers, map[string]Reader{"a1": {"c", 7, false, "b"}, "a2": {"b", 8, true, ""}})
		assert.DeepEqual(t, state.LastKeyed, map[string]uint64{withdrawnKey: 6, Key("s/a", "l"): 2})
		assert.DeepEqual(t, state.Accepted[Key("w", "s/a")].Recent, []AcceptedCall{
			{3, 5, CallDigest(log.TypeWithdrawal, "k", "w")},
		})
		calls := state.Accepted[Key("v", "s/a")]
		assert.Equal(t, calls.Last, uint64(7))
		assert.Equal(t, calls.Floor, uint64(0))
		_, ok := calls.Find(2)
		assert.Assert(t, ok, "a call that was accepted remains accepted")
		assert.Equal(t, state.Progress["s/a"], Progress{Offset: 6, Count: 3})
		assert.Assert(t, state.IsWithdrawn(keyedEntries()[0]) &&
			!state.IsWithdrawn(keyedEntries()[1]) && !state.IsWithdrawn(keyedEntries()[5]))
		before := string(state.Marshal())
		for _, entry := range keyedEntries() {
			state.Apply(entry)
		}
		assert.Equal(t, string(state.Marshal()), before, "applying the entries again changed the state")
	}
}

// A call is identified by its body, its key and the type of its entry. A message without a key is
// identified by its body alone, as in builds without keys.
func TestCallsAreIdentifiedByKeyAndBody(t *testing.T) {
	seen := map[string]bool{}
	for _, digest := range []string{
		CallDigest(log.TypeMessage, "", "d"), CallDigest(log.TypeMessage, "k", "d"),
		CallDigest(log.TypeWithdrawal, "k", "d"), CallDigest(log.TypeMessage, "l", "d"),
		CallDigest(log.TypeMessage, "k", "e"),
	} {
		assert.Assert(t, !seen[digest], digest)
		seen[digest] = true
	}
	assert.Equal(t, CallDigest(log.TypeMessage, "", "d"), "d")
}

// Answers and tombstones are restored from the partition log. This includes a tombstone that was
// dropped by another leader, whose log was trimmed further.
func TestTombstonesAreRestoredFromThePartitionLog(t *testing.T) {
	logEntries := keyedEntries()
	state := applyAll(logEntries...)
	state.Prune(logEntries...)
	assert.Equal(t, len(state.LastKeyed), 0)
	assert.Equal(t, state.Progress["s/a"].Trimmed, uint64(6))
	state.DropTombstone(withdrawnKey)
	restored, err := Unmarshal(state.Marshal())
	assert.NilError(t, err)
	assert.Assert(t, !restored.IsWithdrawn(logEntries[0]))
	for range 2 {
		for _, entry := range logEntries {
			restored.RestoreAnswer(entry)
		}
	}
	assert.Assert(t, restored.IsWithdrawn(logEntries[0]) && !restored.IsWithdrawn(logEntries[5]))
	assert.Equal(t, restored.LastKeyed[withdrawnKey], uint64(6))
	assert.DeepEqual(t, restored.Readers, state.Readers)
	call, ok := restored.Accepted[Key("w", "s/a")].Find(3)
	assert.Assert(t, ok && call.Offset == 5)
}

// A withdrawal that the partition log drops counts as trimmed from its topic, so that a cursor
// before it is expired.
func TestDroppedWithdrawalsCountAsTrimmed(t *testing.T) {
	logEntries := keyedEntries()
	state := applyAll(logEntries...)
	state.Prune(logEntries[:5]...)
	assert.Equal(t, state.Progress["s/a"].Trimmed, uint64(5))
	assert.DeepEqual(t, state.LastKeyed, map[string]uint64{withdrawnKey: 6})
	assert.Equal(t, state.Accepted[Key("w", "s/a")].Floor, uint64(3))
}

// A state written by a build without keys decodes as one without tombstones and readers.
func TestAnOlderStateHasNoTombstones(t *testing.T) {
	state, err := Unmarshal([]byte(`{"a":{},"p":{},"t":{},"k":{},"i":9}`))
	assert.NilError(t, err)
	for _, entry := range keyedEntries() {
		state.Apply(entry)
	}
	assert.Equal(t, len(state.Tombstones), 1)
	assert.Equal(t, len(state.Readers), 2)
	assert.Equal(t, string(New().Marshal()), `{"a":{},"p":{},"t":{},"k":{},"i":0}`)
}
