package changelog

import (
	"fmt"
	"testing"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// newChangelog returns a changelog of many batches over a number of keys, and the state at its end.
func newChangelog(keys, batches int) ([]log.Entry, *state.State) {
	source := state.New()
	var changes []log.Entry
	offset := uint64(0)
	for batch := range batches {
		for i := range keys / 4 {
			offset++
			key := (batch*keys/4 + i) % keys
			source.Apply(log.Entry{
				Offset: offset, Type: log.TypeMessage, Client: fmt.Sprintf("v%d", key),
				Topic: fmt.Sprintf("t%d", key%50), CallSeq: uint64(batch) + 1, Digest: "0123456789abcdef01234567",
			})
		}
		changes = append(changes, EncodeBatch(source.Input, source.TakeChanges(), false)...)
		changes = append(changes, EncodeCommit(Commit{Input: source.Input}))
	}
	return changes, source
}

func BenchmarkRecovery(b *testing.B) {
	for _, keys := range []int{1000, 10000, 50000} {
		changes, source := newChangelog(keys, 16)
		snapshot := source.Marshal()
		b.Run(fmt.Sprintf("full replay/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				if _, err := Replay(state.New(), 0, changes); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("directory/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				if _, err := state.Unmarshal(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
		lastBatchStart := len(changes) - len(changes)/16
		b.Run(fmt.Sprintf("directory and the last batch/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				restored, err := state.Unmarshal(snapshot)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Replay(restored, 0, changes[lastBatchStart:]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
