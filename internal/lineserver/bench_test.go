package lineserver

import (
	"bytes"
	"net"
	"testing"

	"postjunction/internal/client/session"
)

type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }

type bodyCodec struct{ Codec }

func (bodyCodec) AppendResponse(b []byte, response session.Response) []byte {
	return append(b, response.Body...)
}

func BenchmarkAnswersWithoutKeys(b *testing.B) {
	connection := &conn{server: &Server{options: Options{Codec: bodyCodec{}}}, netConn: discardConn{}}
	response := session.Response{Type: session.Message, Topic: "a", Cursor: "c", From: "v", CallSeq: 7,
		Body: bytes.Repeat([]byte("1"), 100)}
	b.ReportAllocs()
	for b.Loop() {
		connection.isWriting = true
		for range 16 {
			connection.enqueue(response)
		}
		connection.flush()
	}
}
