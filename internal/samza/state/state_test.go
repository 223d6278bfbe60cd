package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

// entries returns messages of clients that use every second call number.
func entries(clients, calls int) []log.Entry {
	var logEntries []log.Entry
	for call := range calls {
		for client := range clients {
			logEntries = append(logEntries, log.Entry{
				Offset: uint64(len(logEntries) + 1), Type: log.TypeMessage, Topic: "s/a",
				Client: fmt.Sprintf("v%d", client), CallSeq: 2 * uint64(call+1), Generation: 1,
				Digest: log.Digest([]byte{byte(call), byte(client)}),
			})
		}
	}
	return logEntries
}

func newFilledState(clients, calls int) *State {
	state := New()
	for _, entry := range entries(clients, calls) {
		state.Apply(entry)
	}
	return state
}

// The answers to trimmed entries are dropped, but the last call number remains. A retry then gets
// an error code of its own and is never accepted again.
func TestPruningRetainsTheLastCallNumber(t *testing.T) {
	state := newFilledState(3, 40)
	state.TakeChanges()
	assert.Equal(t, state.Prune(entries(3, 40)[:3*38]...), 3*38, "the answers to trimmed entries are dropped")
	assert.Equal(t, len(state.TakeChanges()), 3+1, "each client's calls and the topic's progress are written again")
	assert.Equal(t, state.Progress["s/a"], Progress{Offset: 120, Count: 120, Trimmed: 3 * 38})
	for client := range 3 {
		key := Key(fmt.Sprintf("v%d", client), "s/a")
		calls := state.Accepted[key]
		assert.Equal(t, calls.Last, uint64(2*40))
		assert.Equal(t, calls.Floor, uint64(2*38))
		assert.Equal(t, len(calls.Recent), 2)
		state.Apply(log.Entry{
			Offset: 500, Type: log.TypeMessage, Topic: "s/a", Client: fmt.Sprintf("v%d", client), CallSeq: 7,
		})
		assert.Equal(t, state.Accepted[key].Last, uint64(2*40))
	}
	assert.Equal(t, state.Prune(entries(3, 40)[:3*38]...), 0)
	assert.Assert(t, !state.Changed(), "dropping the same again changes nothing")
}

// Answers are rebuilt from the partition log, so they need not be stored. The floor covers the
// answers that can not be rebuilt.
func TestAnswersAreRestoredFromThePartitionLog(t *testing.T) {
	logEntries := entries(3, 40)
	for _, trimmed := range []int{0, 1, 50, 119, 120} {
		state := newFilledState(3, 40)
		state.Prune(logEntries[:trimmed]...)
		restored, err := Unmarshal(state.Marshal())
		assert.NilError(t, err)
		for range 2 {
			for _, entry := range logEntries[trimmed:] {
				restored.RestoreAnswer(entry)
			}
		}
		for key, want := range state.Accepted {
			got := restored.Accepted[key]
			assert.Equal(t, len(want.Recent), len(got.Recent))
			for i := range want.Recent {
				assert.Equal(t, want.Recent[i], got.Recent[i])
			}
			assert.Equal(t, want.Floor, got.Floor)
			for _, call := range want.Recent {
				found, ok := got.Find(call.CallSeq)
				assert.Assert(t, ok && found == call)
			}
			_, ok := got.Find(41)
			assert.Assert(t, !ok, "odd numbers were never used")
		}
	}
}

// A value written by a build without floors does not say which answers were dropped. All calls up
// to the last one may have been accepted.
func TestAnOlderBuildsAnswersMayHaveBeenAccepted(t *testing.T) {
	state := New()
	olderValue := []byte(`{"l":9,"g":2,"r":[{"c":9,"o":4,"s":"d"}]}`)
	assert.NilError(t, state.Set(Item{Key: "a:" + Key("v", "s/a"), Value: olderValue}))
	calls := state.Accepted[Key("v", "s/a")]
	assert.Equal(t, calls.Last, uint64(9))
	assert.Equal(t, calls.Floor, uint64(9))
}

func TestAnswersAreBounded(t *testing.T) {
	state := newFilledState(1, MaxAnswers+10)
	calls := state.Accepted[Key("v0", "s/a")]
	assert.Equal(t, len(calls.Recent), MaxAnswers)
	assert.Equal(t, calls.Floor, uint64(20))
}

// Guards the size of a batch after a busy interval: a client with hundreds of answers takes no more
// bytes than one with none.
func TestAnswersAreNotStored(t *testing.T) {
	state := newFilledState(200, 1200)
	size := 0
	for _, item := range state.TakeChanges() {
		size += len(item.Key) + len(item.Value)
	}
	t.Logf(
		"200 clients of a topic with 1200 answers each: %d bytes each in a batch, %d in a snapshot", size/200,
		len(state.Marshal())/200,
	)
	assert.Assert(t, size/200 < 64)
}

func BenchmarkApply(b *testing.B) {
	logEntries := entries(20, 1200)
	for b.Loop() {
		state := New()
		for _, entry := range logEntries {
			state.Apply(entry)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(logEntries)), "ns/message")
}
