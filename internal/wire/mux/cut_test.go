package mux

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// cutter relays bytes between a client and a server. It resets the first connection after a number
// of bytes in each direction, and relays all later ones without limit.
type cutter struct {
	listener      net.Listener
	target        string
	requestBytes  int
	responseBytes int
	mu            sync.Mutex
	connections   int
	wg            sync.WaitGroup
}

const unlimited = 1 << 30

func newCutter(t *testing.T, target string, requestBytes, responseBytes int) *cutter {
	t.Helper()
	c := &cutter{
		listener: newListener(t, "127.0.0.1:0"), target: target,
		requestBytes: requestBytes, responseBytes: responseBytes,
	}
	c.wg.Go(c.accept)
	return c
}

func (c *cutter) accept() {
	for {
		in, err := c.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c.mu.Lock()
		c.connections++
		requestBytes, responseBytes := c.requestBytes, c.responseBytes
		if c.connections > 1 {
			requestBytes, responseBytes = unlimited, unlimited
		}
		c.mu.Unlock()
		c.wg.Go(func() { c.relay(out, in, requestBytes) })
		c.wg.Go(func() { c.relay(in, out, responseBytes) })
	}
}

// relay copies up to that many bytes, then closes both connections. It does so too when either side
// closes.
func (c *cutter) relay(to, from net.Conn, bytes int) {
	_, _ = io.CopyN(to, from, int64(bytes))
	if bytes < unlimited {
		for _, conn := range []net.Conn{to, from} {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.wg.Wait()
}

// A connection is reset after each byte of a request, and after each byte of a response. No call is
// handled twice, and a response belongs to its own request.
func TestNoCallIsDoneTwiceWhereverItsConnectionBreaks(t *testing.T) {
	const requestBytes, responseBytes = 120, 60
	for _, long := range []bool{false, true} {
		for k := range requestBytes + responseBytes {
			requestLimit, responseLimit := k, unlimited
			if k >= requestBytes {
				requestLimit, responseLimit = unlimited, k-requestBytes
			}
			cutOnce(t, fmt.Sprintf("call %d %v", k, long), requestLimit, responseLimit, long)
		}
	}
}

// cutOnce makes a call whose first connection is reset, and another call after it.
func cutOnce(t *testing.T, name string, requestBytes, responseBytes int, long bool) {
	t.Helper()
	var mu sync.Mutex
	done := map[string]int{}
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		done[string(b)]++
		mu.Unlock()
		_, _ = w.Write(b)
	})
	c := newCutter(t, f.addr, requestBytes, responseBytes)
	network := New(patientOptions)
	body := []byte(name)
	if long {
		body = append(body, make([]byte, 2*chunkBytes)...)
	}
	got, err := echoAt(t.Context(), network, c.listener.Addr().String(), body)
	if err == nil {
		assert.DeepEqual(t, got, body)
	}
	next := []byte("next " + name)
	nextGot, nextErr := echoAt(t.Context(), network, c.listener.Addr().String(), next)
	if nextErr == nil {
		assert.DeepEqual(t, nextGot, next)
	}
	network.Close()
	_ = f.server.Close()
	c.close()
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(
		t, done[string(body)] <= 1, "%s, cut after %d and %d bytes: handled %d times",
		name, requestBytes, responseBytes, done[string(body)],
	)
	assert.Assert(t, err != nil || done[string(body)] == 1, "%s: answered but not handled", name)
	assert.Assert(t, done[string(next)] <= 1, "%s: the next call was handled %d times", name, done[string(next)])
}

func echoAt(ctx context.Context, network *Network, addr string, body []byte) ([]byte, error) {
	return post(ctx, network, addr, "/echo", body)
}
