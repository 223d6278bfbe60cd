package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

func message(o uint64, client string, call uint64, key string) log.Entry {
	return log.Entry{
		Offset: o, Type: log.TypeMessage, Topic: "s/a", Client: client, CallSeq: call, Key: key, Digest: "d",
	}
}

func withdrawal(o uint64, client string, call uint64, key string, p SenderWithdrawal) log.Entry {
	return log.Entry{
		Offset: o, Type: log.TypeWithdrawal, Topic: "s/a", Client: client, CallSeq: call, Key: key,
		Body: EncodeBody(p), Digest: "w",
	}
}

func reader(o uint64, node string, r ReaderEntry) log.Entry {
	return log.Entry{Offset: o, Type: log.TypeReader, Client: node, Body: EncodeBody(r)}
}

func keyed() []log.Entry {
	return []log.Entry{
		message(1, "v", 1, "k"), message(2, "v", 2, "l"), reader(
			3, "a1", ReaderEntry{BootID: "b"},
		), reader(4, "a2", ReaderEntry{BootID: "b"}),
		withdrawal(
			5, "w", 3, "k", SenderWithdrawal{"v", 7},
		), message(6, "u", 1, "k"), reader(7, "a1", ReaderEntry{BootID: "c"}), reader(
			8, "a2", ReaderEntry{BootID: "b", GivenUp: true},
		),
		reader(9, "a3", ReaderEntry{BootID: "b"}), reader(10, "a3", ReaderEntry{BootID: "b", Removed: true}),
	}
}

func all(es ...log.Entry) *State {
	s := New()
	for _, e := range es {
		s.Apply(e)
	}
	return s
}

var known = Key("s/a", "k")

// A withdrawal is a call of its visitor, a mark, and where it names a sender the end of that one's
// lower numbers.
func TestWithdrawalsAndReadersAreState(t *testing.T) {
	s := all(keyed()...)
	for range 2 {
		assert.DeepEqual(t, s.Tombstones, map[string]Tombstone{known: {5, "w", 3}})
		assert.DeepEqual(t, s.Readers, map[string]Reader{"a1": {"c", 7, false, "b"}, "a2": {"b", 8, true, ""}})
		assert.DeepEqual(t, s.LastKeyed, map[string]uint64{known: 6, Key("s/a", "l"): 2})
		assert.DeepEqual(t, s.Accepted[Key("w", "s/a")].Recent, []AcceptedCall{
			{3, 5, CallDigest(log.TypeWithdrawal, "k", "w")},
		})
		v := s.Accepted[Key("v", "s/a")]
		assert.Equal(t, v.Last, uint64(7))
		assert.Equal(t, v.Floor, uint64(0))
		_, ok := v.Find(2)
		assert.Assert(t, ok, "what was taken stays taken")
		assert.Equal(t, s.Progress["s/a"], Progress{Offset: 6, Count: 3})
		assert.Assert(t, s.IsWithdrawn(keyed()[0]) && !s.IsWithdrawn(keyed()[1]) && !s.IsWithdrawn(keyed()[5]))
		before := string(s.Marshal())
		for _, e := range keyed() {
			s.Apply(e)
		}
		assert.Equal(t, string(s.Marshal()), before, "applied again, it changed something")
	}
}

// What a call was taken with is its body, its key, and what it asked; a message without a key is
// known as ever.
func TestCallsAreKnownByKeyAndBody(t *testing.T) {
	seen := map[string]bool{}
	for _, n := range []string{
		CallDigest(log.TypeMessage, "", "d"), CallDigest(log.TypeMessage, "k", "d"),
		CallDigest(log.TypeWithdrawal, "k", "d"), CallDigest(log.TypeMessage, "l", "d"),
		CallDigest(log.TypeMessage, "k", "e"),
	} {
		assert.Assert(t, !seen[n], n)
		seen[n] = true
	}
	assert.Equal(t, CallDigest(log.TypeMessage, "", "d"), "d")
}

// What is held, and the marks of what is held, come back from the ledger, also a mark that was let
// go by an owner whose ledger was cut further.
func TestMarksComeBackFromTheLedger(t *testing.T) {
	es := keyed()
	s := all(es...)
	s.Prune(es...)
	assert.Equal(t, len(s.LastKeyed), 0)
	assert.Equal(t, s.Progress["s/a"].Trimmed, uint64(6))
	s.DropTombstone(known)
	got, err := Unmarshal(s.Marshal())
	assert.NilError(t, err)
	assert.Assert(t, !got.IsWithdrawn(es[0]))
	for range 2 {
		for _, e := range es {
			got.RestoreAnswer(e)
		}
	}
	assert.Assert(t, got.IsWithdrawn(es[0]) && !got.IsWithdrawn(es[5]))
	assert.Equal(t, got.LastKeyed[known], uint64(6))
	assert.DeepEqual(t, got.Readers, s.Readers)
	x, ok := got.Accepted[Key("w", "s/a")].Find(3)
	assert.Assert(t, ok && x.Offset == 5)
}

// A withdrawal that the ledger drops counts as gone of its topic, so that a cursor before it is no
// cursor any more.
func TestDroppedWithdrawalsCountAsGone(t *testing.T) {
	es := keyed()
	s := all(es...)
	s.Prune(es[:5]...)
	assert.Equal(t, s.Progress["s/a"].Trimmed, uint64(5))
	assert.DeepEqual(t, s.LastKeyed, map[string]uint64{known: 6})
	assert.Equal(t, s.Accepted[Key("w", "s/a")].Floor, uint64(3))
}

// A state of a build that knew no keys reads as one without any.
func TestAnOlderStateHasNoMarks(t *testing.T) {
	s, err := Unmarshal([]byte(`{"a":{},"p":{},"t":{},"k":{},"i":9}`))
	assert.NilError(t, err)
	for _, e := range keyed() {
		s.Apply(e)
	}
	assert.Equal(t, len(s.Tombstones), 1)
	assert.Equal(t, len(s.Readers), 2)
	assert.Equal(t, string(New().Marshal()), `{"a":{},"p":{},"t":{},"k":{},"i":0}`)
}
