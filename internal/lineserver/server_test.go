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

// pipeListener is a listener whose connections are pipes within the process.
type pipeListener struct {
	accepted chan any
	once     sync.Once
	closed   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan any, 8), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case value := <-l.accepted:
		if err, ok := value.(error); ok {
			return nil, err
		}
		return value.(net.Conn), nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	serverSide, client := net.Pipe()
	l.accepted <- serverSide
	return client
}

// fakeSessions handles requests with a function and records them.
type fakeSessions struct {
	mu        sync.Mutex
	onRequest func(session.Request, session.Sink)
	requests  []session.Request
	sinks     []session.Sink
	endCount  int
}

type fakeSession struct {
	sessions *fakeSessions
	sink     session.Sink
}

func (s *fakeSessions) NewSession(sink session.Sink) lineserver.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinks = append(s.sinks, sink)
	return &fakeSession{s, sink}
}

func (s *fakeSession) Do(request session.Request) {
	s.sessions.mu.Lock()
	s.sessions.requests = append(s.sessions.requests, request)
	s.sessions.mu.Unlock()
	if s.sessions.onRequest != nil {
		s.sessions.onRequest(request, s.sink)
	}
}

func (s *fakeSession) End() {
	s.sessions.mu.Lock()
	defer s.sessions.mu.Unlock()
	s.sessions.endCount++
}

func echo(request session.Request, sink session.Sink) {
	sink(session.Response{Type: session.Unsubscribed, Topic: request.Topic})
}

const keepalive = 2 * time.Second

func withServer(t *testing.T, maxConnections int, sessions *fakeSessions,
	test func(t *testing.T, server *lineserver.Server, listener *pipeListener)) {
	withServerOf(t, maxConnections, sessions, sessions, test)
}

func withServerOf(t *testing.T, maxConnections int, fake *fakeSessions, sessions lineserver.Sessions,
	test func(t *testing.T, server *lineserver.Server, listener *pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		server := lineserver.New(lineserver.Options{
			Sessions: sessions, Codec: jsoncodec.Codec{}, Clock: clock.Real{},
			Keepalive: keepalive, AcceptRetryDelay: 200 * time.Millisecond,
			BodyLimit: func() int { return 64 }, MaxConnections: maxConnections,
		})
		listener := newPipeListener()
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		test(t, server, listener)
		assert.NilError(t, server.Close())
		assert.NilError(t, <-done)
		synctest.Wait()
		fake.mu.Lock()
		defer fake.mu.Unlock()
		assert.Equal(t, fake.endCount, len(fake.sinks), "every session ends once")
	})
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func readLine(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSuffix(line, "\n")
}

func TestRequests_KeepTheirOrderAndRejectionsAreSent(t *testing.T) {
	sessions := &fakeSessions{onRequest: echo}
	withServer(t, 0, sessions, func(t *testing.T, _ *lineserver.Server, listener *pipeListener) {
		client := listener.dial()
		reader := bufio.NewReader(client)
		go send(t, client, `{"verb":"leave","topic":"a"}`+"\n"+`{"verb":"dance"}`+"\r\n"+`{"verb":"leave"}`+"\n"+
			`{"verb":"send","topic":"a","call_seq":7,"body":"`+strings.Repeat("x", 64)+`"}`+"\n"+
			strings.Repeat("y", 5000)+"\n"+`{"verb":"leave","topic":"b"}`+"\n")
		assert.Equal(t, readLine(t, reader), `{"what":"left","topic":"a"}`)
		assert.Equal(t, readLine(t, reader),
			`{"what":"turned","code":"malformed","say":"there is no verb \"dance\"","advice":"Send one `+
				`well-formed JSON document with the fields of this call."}`)
		assert.Equal(t, readLine(t, reader),
			`{"what":"turned","re":"leave","code":"malformed","say":"$.topic: is missing","advice":"Send one `+
				`well-formed JSON document with the fields of this call."}`)
		assert.Equal(t, readLine(t, reader),
			`{"what":"turned","re":"send","topic":"a","call_seq":7,"code":"oversize","say":"the body has 66 `+
				`bytes, the limit is 64","advice":"Send a smaller body; the limit is named in the sentence."}`)
		assert.Equal(t, readLine(t, reader),
			`{"what":"turned","code":"oversize","say":"the line is longer than 2112 bytes","advice":"Send a `+
				`smaller body; the limit is named in the sentence."}`)
		assert.Equal(t, readLine(t, reader), `{"what":"left","topic":"b"}`)
	})
}

func TestHalfALineIsDropped(t *testing.T) {
	sessions := &fakeSessions{onRequest: echo}
	withServer(t, 0, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		client := listener.dial()
		send(t, client, `{"verb":"leave","topic":"a"}`)
		assert.NilError(t, client.Close())
		synctest.Wait()
		assert.Equal(t, len(sessions.requests), 0)
		assert.Equal(t, server.Count(), 0)
	})
}

func TestAnswersThatWaitGoOutTogether(t *testing.T) {
	sessions := &fakeSessions{}
	withServer(t, 0, sessions, func(t *testing.T, _ *lineserver.Server, listener *pipeListener) {
		client := listener.dial()
		synctest.Wait()
		sink := sessions.sinks[0]
		sink(session.Response{Type: session.Alive})
		synctest.Wait()
		for range 100 {
			sink(session.Response{Type: session.Alive})
		}
		buffer := make([]byte, 64<<10)
		length, err := client.Read(buffer)
		assert.NilError(t, err)
		lineLength := length
		length, err = client.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, length, 100*lineLength)
	})
}

func TestClientThatDoesNotRead_IsDisconnected(t *testing.T) {
	sessions := &fakeSessions{}
	withServer(t, 0, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		_ = listener.dial()
		synctest.Wait()
		message := session.Response{Type: session.Message, Topic: "a", Body: bytes.Repeat([]byte("x"), 16<<10)}
		for range 15 {
			sessions.sinks[0](message)
		}
		synctest.Wait()
		assert.Equal(t, server.Count(), 1)
		sessions.sinks[0](message)
		sessions.sinks[0](message)
		synctest.Wait()
		assert.Equal(t, server.Count(), 0)
		sessions.sinks[0](message)
	})
}

// A write that the client doesn't read closes the connection, even while the client sends requests.
func TestStuckWrite_ClosesTheConnection(t *testing.T) {
	sessions := &fakeSessions{onRequest: echo}
	withServer(t, 0, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		client := listener.dial()
		for range 3 {
			send(t, client, `{"verb":"leave","topic":"a"}`+"\n")
			time.Sleep(keepalive)
			synctest.Wait()
			assert.Equal(t, server.Count(), 1)
		}
		send(t, client, `{"verb":"leave","topic":"a"}`+"\n")
		time.Sleep(2 * keepalive)
		synctest.Wait()
		assert.Equal(t, server.Count(), 0)
	})
}

func TestSilentClient_IsDisconnected(t *testing.T) {
	sessions := &fakeSessions{}
	withServer(t, 0, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		_, talking := listener.dial(), listener.dial()
		synctest.Wait()
		assert.Equal(t, server.Count(), 2)
		for range 3 {
			time.Sleep(keepalive)
			send(t, talking, `{"verb":"pulse"}`+"\n")
		}
		synctest.Wait()
		assert.Equal(t, server.Count(), 2, "three keepalives are allowed")
		time.Sleep(keepalive + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, server.Count(), 1)
	})
}

func TestAcceptGoesOnAfterAFailure(t *testing.T) {
	sessions := &fakeSessions{}
	withServer(t, 0, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		for range 3 {
			listener.accepted <- errors.New("too many open files")
		}
		_ = listener.dial()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, server.Count(), 1)
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	sessions := &fakeSessions{}
	withServer(t, 2, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		_, _, third := listener.dial(), listener.dial(), listener.dial()
		_, err := third.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, server.Count(), 2)
	})
}

func TestShutdown_WaitsForClientsToLeave(t *testing.T) {
	sessions := &fakeSessions{}
	withServer(t, 0, sessions, func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
		leaving, _ := listener.dial(), listener.dial()
		synctest.Wait()
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		started, done := time.Now(), make(chan error)
		go func() { done <- server.Shutdown(ctx) }()
		synctest.Wait()
		assert.Equal(t, server.Count(), 2)
		assert.NilError(t, leaving.Close())
		synctest.Wait()
		assert.Equal(t, server.Count(), 1)
		assert.NilError(t, <-done)
		assert.Equal(t, time.Since(started), time.Second)
		assert.Equal(t, server.Count(), 0)
	})
}

// A client that closed its sending side still gets its responses.
func TestLastAnswersAreWritten(t *testing.T) {
	sessions := &fakeSessions{onRequest: echo}
	server := lineserver.New(lineserver.Options{Sessions: sessions, Codec: jsoncodec.Codec{}, Clock: clock.Real{},
		Keepalive: keepalive, AcceptRetryDelay: keepalive, BodyLimit: func() int { return 64 }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error)
	go func() { done <- server.Serve(listener) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	send(t, client, strings.Repeat(`{"verb":"leave","topic":"a"}`+"\n", 1000))
	assert.NilError(t, client.(*net.TCPConn).CloseWrite())
	received, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(received), "\n"), 1000)
	assert.NilError(t, server.Close())
	assert.NilError(t, <-done)
}

func TestUnavailable_RejectsAllButHeartbeats(t *testing.T) {
	var responses []session.Response
	unavailable := lineserver.Unavailable{}.NewSession(func(response session.Response) {
		responses = append(responses, response)
	})
	unavailable.Do(session.Request{Verb: session.Heartbeat})
	unavailable.Do(session.Request{Verb: session.Subscribe, Topic: "a"})
	unavailable.End()
	assert.Equal(t, responses[0].Type, session.Alive)
	assert.Equal(t, responses[1].InReplyTo, session.Subscribe)
}
