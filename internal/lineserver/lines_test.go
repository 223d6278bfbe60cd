package lineserver_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client/session"
	"postjunction/internal/clock"
	"postjunction/internal/lineserver"
	"postjunction/internal/lineserver/jsoncodec"
)

// pipes is a listener whose connections are made in the process.
type pipes struct {
	in    chan any
	once  sync.Once
	ended chan struct{}
}

func listen() *pipes { return &pipes{in: make(chan any, 8), ended: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case x := <-p.in:
		if err, ok := x.(error); ok {
			return nil, err
		}
		return x.(net.Conn), nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.ended) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	a, b := net.Pipe()
	p.in <- a
	return b
}

// hall is a host that answers as its function says and remembers what it heard.
type hall struct {
	mu    sync.Mutex
	do    func(session.Request, session.Sink)
	heard []session.Request
	outs  []session.Sink
	ended int
}

type fakeSession struct {
	h   *hall
	out session.Sink
}

func (h *hall) NewSession(out session.Sink) lineserver.Session {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outs = append(h.outs, out)
	return &fakeSession{h, out}
}

func (g *fakeSession) Do(t session.Request) {
	g.h.mu.Lock()
	g.h.heard = append(g.h.heard, t)
	g.h.mu.Unlock()
	if g.h.do != nil {
		g.h.do(t, g.out)
	}
}

func (g *fakeSession) End() {
	g.h.mu.Lock()
	defer g.h.mu.Unlock()
	g.h.ended++
}

func echo(t session.Request, out session.Sink) {
	out(session.Response{Type: session.Unsubscribed, Topic: t.Topic})
}

const keepalive = 2 * time.Second

func play(t *testing.T, most int, h *hall, f func(t *testing.T, s *lineserver.Server, l *pipes)) {
	playWith(t, most, h, h, f)
}

func playWith(t *testing.T, most int, h *hall, x lineserver.Sessions,
	f func(t *testing.T, s *lineserver.Server, l *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		s := lineserver.New(lineserver.Options{
			Sessions: x, Codec: jsoncodec.Codec{}, Clock: clock.Real{}, Keepalive: keepalive, AcceptRetryDelay: 200 * time.Millisecond,
			BodyLimit: func() int { return 64 }, MaxConnections: most,
		})
		l := listen()
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		f(t, s, l)
		assert.NilError(t, s.Close())
		assert.NilError(t, <-done)
		synctest.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		assert.Equal(t, h.ended, len(h.outs), "every stay ends once")
	})
}

func say(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(t, err)
}

func hear(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	s, err := r.ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSuffix(s, "\n")
}

func TestRequests_KeepTheirOrderAndRejectionsAreSent(t *testing.T) {
	h := &hall{do: echo}
	play(t, 0, h, func(t *testing.T, _ *lineserver.Server, l *pipes) {
		c := l.dial()
		r := bufio.NewReader(c)
		go say(t, c, `{"verb":"leave","topic":"a"}`+"\n"+`{"verb":"dance"}`+"\r\n"+`{"verb":"leave"}`+"\n"+
			`{"verb":"send","topic":"a","call_seq":7,"body":"`+strings.Repeat("x", 64)+`"}`+"\n"+
			strings.Repeat("y", 5000)+"\n"+`{"verb":"leave","topic":"b"}`+"\n")
		assert.Equal(t, hear(t, r), `{"what":"left","topic":"a"}`)
		assert.Equal(t, hear(t, r),
			`{"what":"turned","code":"malformed","say":"there is no verb \"dance\"","advice":"Send one `+
				`well-formed JSON document with the fields of this call."}`)
		assert.Equal(t, hear(t, r),
			`{"what":"turned","re":"leave","code":"malformed","say":"$.topic: is missing","advice":"Send one `+
				`well-formed JSON document with the fields of this call."}`)
		assert.Equal(t, hear(t, r),
			`{"what":"turned","re":"send","topic":"a","call_seq":7,"code":"oversize","say":"the body has 66 `+
				`bytes, the limit is 64","advice":"Send a smaller body; the limit is named in the sentence."}`)
		assert.Equal(t, hear(t, r),
			`{"what":"turned","code":"oversize","say":"the line is longer than 2112 bytes","advice":"Send a `+
				`smaller body; the limit is named in the sentence."}`)
		assert.Equal(t, hear(t, r), `{"what":"left","topic":"b"}`)
	})
}

func TestHalfALineIsDropped(t *testing.T) {
	h := &hall{do: echo}
	play(t, 0, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		c := l.dial()
		say(t, c, `{"verb":"leave","topic":"a"}`)
		assert.NilError(t, c.Close())
		synctest.Wait()
		assert.Equal(t, len(h.heard), 0)
		assert.Equal(t, s.Count(), 0)
	})
}

func TestAnswersThatWaitGoOutTogether(t *testing.T) {
	h := &hall{}
	play(t, 0, h, func(t *testing.T, _ *lineserver.Server, l *pipes) {
		c := l.dial()
		synctest.Wait()
		out := h.outs[0]
		out(session.Response{Type: session.Alive})
		synctest.Wait()
		for range 100 {
			out(session.Response{Type: session.Alive})
		}
		b := make([]byte, 64<<10)
		n, err := c.Read(b)
		assert.NilError(t, err)
		one := n
		n, err = c.Read(b)
		assert.NilError(t, err)
		assert.Equal(t, n, 100*one)
	})
}

func TestClientThatDoesNotRead_IsDisconnected(t *testing.T) {
	h := &hall{}
	play(t, 0, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		_ = l.dial()
		synctest.Wait()
		m := session.Response{Type: session.Message, Topic: "a", Body: bytes.Repeat([]byte("x"), 16<<10)}
		for range 15 {
			h.outs[0](m)
		}
		synctest.Wait()
		assert.Equal(t, s.Count(), 1)
		h.outs[0](m)
		h.outs[0](m)
		synctest.Wait()
		assert.Equal(t, s.Count(), 0)
		h.outs[0](m)
	})
}

// A write that no one reads ends a visit even if the visitor goes on talking.
func TestStuckWriteEndsTheVisit(t *testing.T) {
	h := &hall{do: echo}
	play(t, 0, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		c := l.dial()
		for range 3 {
			say(t, c, `{"verb":"leave","topic":"a"}`+"\n")
			time.Sleep(keepalive)
			synctest.Wait()
			assert.Equal(t, s.Count(), 1)
		}
		say(t, c, `{"verb":"leave","topic":"a"}`+"\n")
		time.Sleep(2 * keepalive)
		synctest.Wait()
		assert.Equal(t, s.Count(), 0)
	})
}

func TestSilentClient_IsDisconnected(t *testing.T) {
	h := &hall{}
	play(t, 0, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		_, talks := l.dial(), l.dial()
		synctest.Wait()
		assert.Equal(t, s.Count(), 2)
		for range 3 {
			time.Sleep(keepalive)
			say(t, talks, `{"verb":"pulse"}`+"\n")
		}
		synctest.Wait()
		assert.Equal(t, s.Count(), 2, "three keepalives are allowed")
		time.Sleep(keepalive + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, s.Count(), 1)
	})
}

func TestAcceptGoesOnAfterAFailure(t *testing.T) {
	h := &hall{}
	play(t, 0, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		for range 3 {
			l.in <- errors.New("too many open files")
		}
		_ = l.dial()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, s.Count(), 1)
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	h := &hall{}
	play(t, 2, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		_, _, third := l.dial(), l.dial(), l.dial()
		_, err := third.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, s.Count(), 2)
	})
}

func TestShutdown_WaitsForClientsToLeave(t *testing.T) {
	h := &hall{}
	play(t, 0, h, func(t *testing.T, s *lineserver.Server, l *pipes) {
		a, _ := l.dial(), l.dial()
		synctest.Wait()
		cx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		was, done := time.Now(), make(chan error)
		go func() { done <- s.Shutdown(cx) }()
		synctest.Wait()
		assert.Equal(t, s.Count(), 2)
		assert.NilError(t, a.Close())
		synctest.Wait()
		assert.Equal(t, s.Count(), 1)
		assert.NilError(t, <-done)
		assert.Equal(t, time.Since(was), time.Second)
		assert.Equal(t, s.Count(), 0)
	})
}

// Whoever ends its side still gets what was answered.
func TestLastAnswersAreWritten(t *testing.T) {
	h := &hall{do: echo}
	s := lineserver.New(lineserver.Options{Sessions: h, Codec: jsoncodec.Codec{}, Clock: clock.Real{},
		Keepalive: keepalive, AcceptRetryDelay: keepalive, BodyLimit: func() int { return 64 }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error)
	go func() { done <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	say(t, c, strings.Repeat(`{"verb":"leave","topic":"a"}`+"\n", 1000))
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	b, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(b), "\n"), 1000)
	assert.NilError(t, s.Close())
	assert.NilError(t, <-done)
}

func TestUnavailable_RejectsAllButHeartbeats(t *testing.T) {
	var got []session.Response
	g := lineserver.Unavailable{}.NewSession(func(a session.Response) { got = append(got, a) })
	g.Do(session.Request{Verb: session.Heartbeat})
	g.Do(session.Request{Verb: session.Subscribe, Topic: "a"})
	g.End()
	assert.Equal(t, got[0].Type, session.Alive)
	assert.Equal(t, got[1].InReplyTo, session.Subscribe)
}
