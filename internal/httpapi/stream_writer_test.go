package httpapi

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

type oneConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConnListener) Close() error   { close(l.closed); return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// When a stream is aborted, the write of a line that the client doesn't read ends at once, also if
// the abort comes right before the write. Nothing is written after it.
func TestCutStreamsWriteNothingMore(t *testing.T) {
	for name, abort := range map[string]func(t *testing.T, writer *streamWriter, emitted chan error){
		"under way": func(t *testing.T, writer *streamWriter, emitted chan error) {
			synctest.Wait()
			assert.Equal(t, len(emitted), 0)
			writer.abort()
		},
		"about to begin": func(t *testing.T, writer *streamWriter, emitted chan error) {
			writer.abort()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				writers, emitted, finished := make(chan *streamWriter), make(chan error, 2), make(chan struct{})
				listener := &oneConnListener{make(chan net.Conn, 1), make(chan struct{})}
				handler := func(w http.ResponseWriter, r *http.Request) {
					writer := &streamWriter{
						response: w, controller: http.NewResponseController(w), writeTimeout: time.Hour,
					}
					assert.Check(t, writer.emit([]byte("first\n")))
					writers <- writer
					writers <- writer
					emitted <- writer.emit([]byte(strings.Repeat("x", 1<<16) + "\n"))
					emitted <- writer.emit([]byte("third\n"))
					close(finished)
				}
				server := &http.Server{Handler: http.HandlerFunc(handler)}
				go func() { _ = server.Serve(listener) }()
				client, serverSide := net.Pipe()
				listener.conns <- serverSide
				go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")) }()
				reader := bufio.NewReaderSize(client, 16)
				var received bytes.Buffer
				for !strings.HasSuffix(received.String(), "first\n\r\n") {
					next, err := reader.ReadByte()
					assert.NilError(t, err)
					received.WriteByte(next)
				}
				writer := <-writers
				if name == "under way" {
					<-writers
				}
				start := time.Now()
				abort(t, writer, emitted)
				if name != "under way" {
					<-writers
				}
				assert.ErrorContains(t, <-emitted, "slow_reader")
				assert.ErrorContains(t, <-emitted, "slow_reader")
				<-finished
				assert.Equal(t, time.Since(start), time.Duration(0))
				var remaining bytes.Buffer
				_, _ = remaining.ReadFrom(reader)
				assert.Assert(t, !strings.Contains(remaining.String(), "third"))
				if name != "under way" {
					assert.Assert(t, !strings.Contains(remaining.String(), "x"))
				}
				assert.NilError(t, server.Close())
			})
		})
	}
}
