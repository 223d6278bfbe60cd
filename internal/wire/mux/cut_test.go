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
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c.mu.Lock()
		c.connections++
		requestBytes, responseBytes := c.requestBytes, c.responseBytes
		if c.connections > 1 {
			requestBytes, responseBytes = unlimited, unlimited
		}
		c.mu.Unlock()
		c.wg.Go(func() { c.relay(server, client, requestBytes) })
		c.wg.Go(func() { c.relay(client, server, responseBytes) })
	}
}

// relay copies up to that many bytes. It closes both connections afterwards, and also when either
// side closes.
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

// Resets a connection after each number of bytes of a request, and of a response. No call is
// handled twice, and a response belongs to its own request.
func TestNoCallIsDoneTwiceWhereverItsConnectionBreaks(t *testing.T) {
	const requestBytes, responseBytes = 120, 60
	for _, long := range []bool{false, true} {
		for cutAt := range requestBytes + responseBytes {
			requestLimit, responseLimit := cutAt, unlimited
			if cutAt >= requestBytes {
				requestLimit, responseLimit = unlimited, cutAt-requestBytes
			}
			cutOnce(t, fmt.Sprintf("call %d %v", cutAt, long), requestLimit, responseLimit, long)
		}
	}
}

// cutOnce makes a call whose first connection is reset, and another call after it.
func cutOnce(t *testing.T, name string, requestBytes, responseBytes int, long bool) {
	t.Helper()
	var mu sync.Mutex
	handled := map[string]int{}
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		handled[string(b)]++
		mu.Unlock()
		_, _ = w.Write(b)
	})
	c := newCutter(t, f.addr, requestBytes, responseBytes)
	network := New(patientOptions)
	body := []byte(name)
	if long {
		body = append(body, make([]byte, 2*chunkBytes)...)
	}
	response, err := echoAt(t.Context(), network, c.listener.Addr().String(), body)
	if err == nil {
		assert.DeepEqual(t, response, body)
	}
	next := []byte("next " + name)
	nextResponse, nextErr := echoAt(t.Context(), network, c.listener.Addr().String(), next)
	if nextErr == nil {
		assert.DeepEqual(t, nextResponse, next)
	}
	network.Close()
	_ = f.server.Close()
	c.close()
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(
		t, handled[string(body)] <= 1, "%s, cut after %d and %d bytes: handled %d times",
		name, requestBytes, responseBytes, handled[string(body)],
	)
	assert.Assert(t, err != nil || handled[string(body)] == 1, "%s: answered but not handled", name)
	assert.Assert(t, handled[string(next)] <= 1, "%s: the next call was handled %d times", name, handled[string(next)])
}

func echoAt(ctx context.Context, network *Network, addr string, body []byte) ([]byte, error) {
	return post(ctx, network, addr, "/echo", body)
}
