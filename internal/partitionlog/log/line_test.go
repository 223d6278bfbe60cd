package log

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func filled(n int) *Line {
	l := New()
	p := Point{}
	for range n {
		e := Entry{Offset: p.Offset + 1, Epoch: 1, What: Message, Digest: Digest(nil)}
		e.Chain = Link(p.Chain, e)
		l.Append(time.Now(), e)
		p = e.At()
	}
	return l
}

// A trim that was overtaken by a later one once emptied the line.
func TestBaseNeverGoesBack(t *testing.T) {
	l := filled(10)
	at := func(o uint64) Point {
		p, ok := l.Point(o)
		assert.Assert(t, ok)
		return p
	}
	early, late := at(3), at(6)
	l.Rebase(late)
	l.Rebase(early)
	l.Rebase(Point{Offset: 8, Epoch: 1, Chain: 1})
	l.Rebase(Point{Offset: 99, Epoch: 9, Chain: 1})
	assert.Equal(t, l.Base(), late)
	assert.Equal(t, l.Last().Offset, uint64(10))
	assert.Equal(t, l.Len(), 4)
	n := New()
	n.Rebase(early)
	assert.Equal(t, n.Base(), early)
}

func BenchmarkSound(b *testing.B) {
	body := make([]byte, 250)
	e := Entry{Offset: 1, Epoch: 1, What: Message, Topic: "space/topic-of-some-length", Visitor: "space/visitor-17", Call: 4, Body: body, Digest: Digest(body)}
	e.Chain = Link(0, e)
	b.ReportAllocs()
	for b.Loop() {
		if !e.Sound(Point{}) {
			b.Fatal("not sound")
		}
	}
}

// Lines on disks and copies of other builds hold this value.
func TestLinkStaysWhatItWas(t *testing.T) {
	e := Entry{Offset: 7, Epoch: 3, What: Message, Topic: "a/b", Visitor: "a/v", Call: 9, Generation: 2, Description: 5, Digest: Digest([]byte("x"))}
	assert.Equal(t, Link(11, e), uint64(17144078788975667344))
}
