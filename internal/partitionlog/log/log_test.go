package log

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newFilledLog(count int) *Log {
	filledLog := New()
	last := Position{}
	for range count {
		entry := Entry{Offset: last.Offset + 1, Epoch: 1, Type: TypeMessage, Digest: Digest(nil)}
		entry.Chain = NextChain(last.Chain, entry)
		filledLog.Append(time.Now(), entry)
		last = entry.Position()
	}
	return filledLog
}

// Guards against a trim that arrives after a later one and empties the log.
func TestBaseNeverGoesBack(t *testing.T) {
	filledLog := newFilledLog(10)
	positionAt := func(offset uint64) Position {
		position, ok := filledLog.Position(offset)
		assert.Assert(t, ok)
		return position
	}
	early, late := positionAt(3), positionAt(6)
	filledLog.TrimTo(late)
	filledLog.TrimTo(early)
	filledLog.TrimTo(Position{Offset: 8, Epoch: 1, Chain: 1})
	filledLog.TrimTo(Position{Offset: 99, Epoch: 9, Chain: 1})
	assert.Equal(t, filledLog.Base(), late)
	assert.Equal(t, filledLog.Last().Offset, uint64(10))
	assert.Equal(t, filledLog.Len(), 4)
	emptyLog := New()
	emptyLog.TrimTo(early)
	assert.Equal(t, emptyLog.Base(), early)
}

func BenchmarkValid(b *testing.B) {
	body := make([]byte, 250)
	entry := Entry{
		Offset: 1, Epoch: 1, Type: TypeMessage, Topic: "space/topic-of-some-length",
		Client: "space/visitor-17", CallSeq: 4, Body: body, Digest: Digest(body),
	}
	entry.Chain = NextChain(0, entry)
	b.ReportAllocs()
	for b.Loop() {
		if !entry.Valid(Position{}) {
			b.Fatal("the entry is not valid")
		}
	}
}

// Logs on disks and on replicas of other builds contain chain checksums, so the function must not
// change.
func TestChainChecksumIsUnchanged(t *testing.T) {
	entry := Entry{
		Offset: 7, Epoch: 3, Type: TypeMessage, Topic: "a/b", Client: "a/v", CallSeq: 9, Generation: 2,
		Configuration: 5, Digest: Digest([]byte("x")),
	}
	assert.Equal(t, NextChain(11, entry), uint64(17144078788975667344))
}
