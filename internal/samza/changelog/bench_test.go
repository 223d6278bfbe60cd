package changelog

import (
	"fmt"
	"testing"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// past makes a changelog of many batches over a number of keys, and the state at its end.
func past(keys, batches int) ([]log.Entry, *state.State) {
	s := state.New()
	var changes []log.Entry
	o := uint64(0)
	for b := range batches {
		for i := range keys / 4 {
			o++
			k := (b*keys/4 + i) % keys
			s.Apply(log.Entry{
				Offset: o, Type: log.TypeMessage, Client: fmt.Sprintf("v%d", k),
				Topic: fmt.Sprintf("t%d", k%50), CallSeq: uint64(b) + 1, Digest: "0123456789abcdef01234567",
			})
		}
		changes = append(changes, EncodeBatch(s.Input, s.TakeChanges(), false)...)
		changes = append(changes, EncodeCommit(Commit{Input: s.Input}))
	}
	return changes, s
}

func BenchmarkRecovery(b *testing.B) {
	for _, keys := range []int{1000, 10000, 50000} {
		changes, s := past(keys, 16)
		pack := s.Marshal()
		b.Run(fmt.Sprintf("full replay/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				if _, err := Replay(state.New(), 0, changes); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("directory/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				if _, err := state.Unmarshal(pack); err != nil {
					b.Fatal(err)
				}
			}
		})
		after := len(changes) - len(changes)/16
		b.Run(fmt.Sprintf("directory and the last batch/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				d, err := state.Unmarshal(pack)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Replay(d, 0, changes[after:]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
