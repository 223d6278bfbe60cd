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

var patient = Options{
	Timeouts:   Timeouts{Dial: time.Minute, KeepaliveAfter: time.Hour, Unacknowledged: time.Minute, Idle: time.Hour, Handshake: time.Minute},
	Headers:    []string{"Content-Type", "X-Name"},
	FromHeader: "X-Name",
}

type fixture struct {
	t    *testing.T
	addr string
	s    *Server
	n    *Network
}

func serve(l net.Listener, h http.HandlerFunc) *Server {
	s := NewServer(h, patient)
	go func() { _ = s.Serve(l) }()
	return s
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	return l
}

func stand(t *testing.T, h http.HandlerFunc) *fixture {
	t.Helper()
	l := listen(t, "127.0.0.1:0")
	f := &fixture{t: t, addr: l.Addr().String(), s: serve(l, h), n: New(patient)}
	t.Cleanup(func() {
		f.n.Close()
		_ = f.s.Close()
	})
	return f
}

func ask(ctx context.Context, n *Network, addr, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Name", "tester")
	r.Header.Set("Content-Type", "application/x")
	a, err := n.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return nil, apierror.New(apierror.Internal, "status %d", a.StatusCode)
	}
	return io.ReadAll(a.Body)
}

func (f *fixture) ask(path string, body []byte) ([]byte, error) {
	return ask(context.Background(), f.n, f.addr, path, body)
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = fmt.Fprintf(w, "%s %s ", r.URL.Path, r.Header.Get("X-Name"))
	_, _ = io.Copy(w, r.Body)
}

func pattern(n, seed int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>8 + seed)
	}
	return b
}

// mute accepts connections and never reads them.
func mute(t *testing.T) string {
	t.Helper()
	l := listen(t, "127.0.0.1:0")
	var mu sync.Mutex
	var cs []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			cs = append(cs, c)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range cs {
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

func (n *Network) under(k int) bool {
	for _, c := range n.all() {
		c.mu.Lock()
		k -= len(c.calls)
		c.mu.Unlock()
	}
	return k <= 0
}

func until(f func() bool) {
	for !f() {
		<-time.After(time.Millisecond)
	}
}

func canceled() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

func (n *Network) stuck() bool {
	for _, c := range n.all() {
		c.mu.Lock()
		b := c.bulk
		c.mu.Unlock()
		if b+1<<20 > mostBulk {
			return true
		}
	}
	return false
}
