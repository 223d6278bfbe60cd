package lineserver

import (
	"bytes"
	"net"
	"testing"

	"postjunction/internal/client/session"
)

type deaf struct{ net.Conn }

func (deaf) Write(b []byte) (int, error) { return len(b), nil }

type short struct{ Codec }

func (short) AppendResponse(b []byte, a session.Response) []byte { return append(b, a.Body...) }

func BenchmarkAnswersWithoutKeys(b *testing.B) {
	c := &conn{v: &Server{s: Options{Codec: short{}}}, n: deaf{}}
	a := session.Response{Type: session.Message, Topic: "a", Cursor: "c", From: "v", CallSeq: 7,
		Body: bytes.Repeat([]byte("1"), 100)}
	b.ReportAllocs()
	for b.Loop() {
		c.writing = true
		for range 16 {
			c.put(a)
		}
		c.flush()
	}
}
