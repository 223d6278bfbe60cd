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

// cutter passes bytes on between a caller and a server. Of the first connection it passes on so many bytes each way and
// then resets it; all others it leaves alone.
type cutter struct {
	l      net.Listener
	to     string
	ask    int
	answer int
	mu     sync.Mutex
	conns  int
	wg     sync.WaitGroup
}

const unlimited = 1 << 30

func newCutter(t *testing.T, to string, ask, answer int) *cutter {
	t.Helper()
	c := &cutter{l: listen(t, "127.0.0.1:0"), to: to, ask: ask, answer: answer}
	c.wg.Go(c.accept)
	return c
}

func (c *cutter) accept() {
	for {
		in, err := c.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", c.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		c.mu.Lock()
		c.conns++
		ask, answer := c.ask, c.answer
		if c.conns > 1 {
			ask, answer = unlimited, unlimited
		}
		c.mu.Unlock()
		c.wg.Go(func() { c.pass(out, in, ask) })
		c.wg.Go(func() { c.pass(in, out, answer) })
	}
}

// pass passes on so many bytes, and ends both ways then or when either side has.
func (c *cutter) pass(to, from net.Conn, bytes int) {
	_, _ = io.CopyN(to, from, int64(bytes))
	if bytes < unlimited {
		for _, x := range []net.Conn{to, from} {
			_ = x.(*net.TCPConn).SetLinger(0)
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (c *cutter) close() {
	_ = c.l.Close()
	c.wg.Wait()
}

// A connection is reset after each byte of a question, and after each byte of an answer. No call is done twice, and an
// answer is that of its own question.
func TestNoCallIsDoneTwiceWhereverItsConnectionBreaks(t *testing.T) {
	const questionBytes, answerBytes = 120, 60
	for _, long := range []bool{false, true} {
		for k := range questionBytes + answerBytes {
			ask, answer := k, unlimited
			if k >= questionBytes {
				ask, answer = unlimited, k-questionBytes
			}
			cutOnce(t, fmt.Sprintf("call %d %v", k, long), ask, answer, long)
		}
	}
}

// cutOnce makes a call whose first connection breaks, and another call after it.
func cutOnce(t *testing.T, name string, ask, answer int, long bool) {
	t.Helper()
	var mu sync.Mutex
	done := map[string]int{}
	f := stand(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		done[string(b)]++
		mu.Unlock()
		_, _ = w.Write(b)
	})
	c := newCutter(t, f.addr, ask, answer)
	n := New(patient)
	body := []byte(name)
	if long {
		body = append(body, make([]byte, 2*chunk)...)
	}
	got, err := askAt(t.Context(), n, c.l.Addr().String(), body)
	if err == nil {
		assert.DeepEqual(t, got, body)
	}
	next := []byte("next " + name)
	again, failed := askAt(t.Context(), n, c.l.Addr().String(), next)
	if failed == nil {
		assert.DeepEqual(t, again, next)
	}
	n.Close()
	_ = f.s.Close()
	c.close()
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, done[string(body)] <= 1, "%s, cut after %d and %d bytes: done %d times", name, ask, answer,
		done[string(body)])
	assert.Assert(t, err != nil || done[string(body)] == 1, "%s: answered and not done", name)
	assert.Assert(t, done[string(next)] <= 1, "%s: the next one was done %d times", name, done[string(next)])
}

func askAt(ctx context.Context, n *Network, addr string, body []byte) ([]byte, error) {
	return ask(ctx, n, addr, "/echo", body)
}
