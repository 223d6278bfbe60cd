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

type one struct {
	c    chan net.Conn
	done chan struct{}
}

func (l *one) Accept() (net.Conn, error) {
	select {
	case c := <-l.c:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *one) Close() error   { close(l.done); return nil }
func (l *one) Addr() net.Addr { return &net.TCPAddr{} }

// A line that its client does not read ends at once when the stream is aborted, also where that
// comes right before it, and nothing follows it.
func TestCutStreamsWriteNothingMore(t *testing.T) {
	for name, script := range map[string]func(t *testing.T, p *streamWriter, emitted chan error){
		"under way": func(t *testing.T, p *streamWriter, emitted chan error) {
			synctest.Wait()
			assert.Equal(t, len(emitted), 0)
			p.abort()
		},
		"about to begin": func(t *testing.T, p *streamWriter, emitted chan error) {
			p.abort()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun, emitted, over := make(chan *streamWriter), make(chan error, 2), make(chan struct{})
				l := &one{make(chan net.Conn, 1), make(chan struct{})}
				h := func(w http.ResponseWriter, r *http.Request) {
					p := &streamWriter{response: w, controller: http.NewResponseController(w), writeTimeout: time.Hour}
					assert.Check(t, p.emit([]byte("first\n")))
					begun <- p
					begun <- p
					emitted <- p.emit([]byte(strings.Repeat("x", 1<<16) + "\n"))
					emitted <- p.emit([]byte("third\n"))
					close(over)
				}
				s := &http.Server{Handler: http.HandlerFunc(h)}
				go func() { _ = s.Serve(l) }()
				near, far := net.Pipe()
				l.c <- far
				go func() { _, _ = near.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")) }()
				in := bufio.NewReaderSize(near, 16)
				var got bytes.Buffer
				for !strings.HasSuffix(got.String(), "first\n\r\n") {
					b, err := in.ReadByte()
					assert.NilError(t, err)
					got.WriteByte(b)
				}
				p := <-begun
				if name == "under way" {
					<-begun
				}
				began := time.Now()
				script(t, p, emitted)
				if name != "under way" {
					<-begun
				}
				assert.ErrorContains(t, <-emitted, "slow_reader")
				assert.ErrorContains(t, <-emitted, "slow_reader")
				<-over
				assert.Equal(t, time.Since(began), time.Duration(0))
				var rest bytes.Buffer
				_, _ = rest.ReadFrom(in)
				assert.Assert(t, !strings.Contains(rest.String(), "third"))
				if name != "under way" {
					assert.Assert(t, !strings.Contains(rest.String(), "x"))
				}
				assert.NilError(t, s.Close())
			})
		})
	}
}
