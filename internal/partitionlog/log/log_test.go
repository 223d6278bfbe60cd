package log

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func filled(n int) *Log {
	l := New()
	p := Position{}
	for range n {
		e := Entry{Offset: p.Offset + 1, Epoch: 1, Type: TypeMessage, Digest: Digest(nil)}
		e.Chain = NextChain(p.Chain, e)
		l.Append(time.Now(), e)
		p = e.Position()
	}
	return l
}

// A trim that was overtaken by a later one once emptied the line.
func TestBaseNeverGoesBack(t *testing.T) {
	l := filled(10)
	at := func(o uint64) Position {
		p, ok := l.Position(o)
		assert.Assert(t, ok)
		return p
	}
	early, late := at(3), at(6)
	l.TrimTo(late)
	l.TrimTo(early)
	l.TrimTo(Position{Offset: 8, Epoch: 1, Chain: 1})
	l.TrimTo(Position{Offset: 99, Epoch: 9, Chain: 1})
	assert.Equal(t, l.Base(), late)
	assert.Equal(t, l.Last().Offset, uint64(10))
	assert.Equal(t, l.Len(), 4)
	n := New()
	n.TrimTo(early)
	assert.Equal(t, n.Base(), early)
}

func BenchmarkSound(b *testing.B) {
	body := make([]byte, 250)
	e := Entry{
		Offset: 1, Epoch: 1, Type: TypeMessage, Topic: "space/topic-of-some-length",
		Client: "space/visitor-17", CallSeq: 4, Body: body, Digest: Digest(body),
	}
	e.Chain = NextChain(0, e)
	b.ReportAllocs()
	for b.Loop() {
		if !e.Valid(Position{}) {
			b.Fatal("not sound")
		}
	}
}

// Lines on disks and copies of other builds hold this value.
func TestLinkStaysWhatItWas(t *testing.T) {
	e := Entry{
		Offset: 7, Epoch: 3, Type: TypeMessage, Topic: "a/b", Client: "a/v", CallSeq: 9, Generation: 2,
		Configuration: 5, Digest: Digest([]byte("x")),
	}
	assert.Equal(t, NextChain(11, e), uint64(17144078788975667344))
}
