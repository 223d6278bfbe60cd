package mux

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

var patientOptions = Options{
	Timeouts: Timeouts{
		Dial: time.Minute, KeepaliveAfter: time.Hour, Unacknowledged: time.Minute, Idle: time.Hour,
		Handshake: time.Minute,
	},
	Headers:    []string{"Content-Type", "X-Name"},
	FromHeader: "X-Name",
}

type fixture struct {
	t       *testing.T
	addr    string
	server  *Server
	network *Network
}

func serve(listener net.Listener, handler http.HandlerFunc) *Server {
	s := NewServer(handler, patientOptions)
	go func() { _ = s.Serve(listener) }()
	return s
}

func newListener(t *testing.T, addr string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	return listener
}

func newFixture(t *testing.T, handler http.HandlerFunc) *fixture {
	t.Helper()
	listener := newListener(t, "127.0.0.1:0")
	f := &fixture{t: t, addr: listener.Addr().String(), server: serve(listener, handler), network: New(patientOptions)}
	t.Cleanup(func() {
		f.network.Close()
		_ = f.server.Close()
	})
	return f
}

func post(ctx context.Context, network *Network, addr, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Name", "tester")
	request.Header.Set("Content-Type", "application/x")
	response, err := network.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, apierror.New(apierror.Internal, "status %d", response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

func (f *fixture) post(path string, body []byte) ([]byte, error) {
	return post(context.Background(), f.network, f.addr, path, body)
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = fmt.Fprintf(w, "%s %s ", r.URL.Path, r.Header.Get("X-Name"))
	_, _ = io.Copy(w, r.Body)
}

func pattern(size, seed int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i*7 + i>>8 + seed)
	}
	return b
}

// unresponsivePeer accepts connections and never reads from them.
func unresponsivePeer(t *testing.T) string {
	t.Helper()
	listener := newListener(t, "127.0.0.1:0")
	var mu sync.Mutex
	var connections []net.Conn
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			connections = append(connections, c)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range connections {
			_ = c.Close()
		}
	})
	return listener.Addr().String()
}

// hasPending reports whether at least count calls are pending.
func (n *Network) hasPending(count int) bool {
	for _, c := range n.allConnections() {
		c.mu.Lock()
		count -= len(c.calls)
		c.mu.Unlock()
	}
	return count <= 0
}

func waitUntil(condition func() bool) {
	for !condition() {
		<-time.After(time.Millisecond)
	}
}

func canceledContext() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// queueIsFull reports whether some connection has no queue space for another MiB.
func (n *Network) queueIsFull() bool {
	for _, c := range n.allConnections() {
		c.mu.Lock()
		queued := c.longQueueBytes
		c.mu.Unlock()
		if queued+1<<20 > maxLongQueueBytes {
			return true
		}
	}
	return false
}
