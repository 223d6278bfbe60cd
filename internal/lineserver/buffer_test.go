package lineserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/client/session"
	"postjunction/internal/lineserver"
)

// bufferedSessions records the buffers that its sessions get, and how many are drained.
type bufferedSessions struct {
	fakeSessions
	buffers []session.Buffer
	drained int
}

type bufferedSession struct {
	lineserver.Session
	sessions *bufferedSessions
}

func (s *bufferedSessions) NewSession(sink session.Sink) lineserver.Session {
	return bufferedSession{s.fakeSessions.NewSession(sink), s}
}

func (s bufferedSession) AttachBuffer(buffer session.Buffer) func() {
	s.sessions.mu.Lock()
	defer s.sessions.mu.Unlock()
	s.sessions.buffers = append(s.sessions.buffers, buffer)
	return func() {
		s.sessions.mu.Lock()
		defer s.sessions.mu.Unlock()
		s.sessions.drained++
	}
}

func withBufferedConn(
	t *testing.T,
	test func(t *testing.T, server *lineserver.Server, client net.Conn, sessions *bufferedSessions),
) {
	t.Helper()
	sessions := &bufferedSessions{}
	withServerOf(t, 0, &sessions.fakeSessions, sessions,
		func(t *testing.T, server *lineserver.Server, listener *pipeListener) {
			client := listener.dial()
			synctest.Wait()
			test(t, server, client, sessions)
		})
	assert.Equal(t, sessions.drained, 1, "the buffer is drained once")
}

func keyedMessage(partition int, topic, key string, offset uint64) session.Response {
	return session.Response{Type: session.Message, Topic: topic, Key: key, Partition: partition, Offset: offset,
		CallSeq: offset, Body: []byte(fmt.Sprint(offset))}
}

func withdraw(buffer session.Buffer, partition int, topic, key string, before uint64) {
	buffer.Withdraw(partition, func(withdrawnTopic, withdrawnKey string, offset uint64) bool {
		return withdrawnTopic == topic && withdrawnKey == key && offset < before
	})
}

// Messages that are pending behind a write are removed, and the others are written whole.
func TestWithdrawnBytesAreNeverWritten(t *testing.T) {
	cases := map[string]struct {
		remove func(buffer session.Buffer)
		want   string
	}{
		"nothing":     {func(session.Buffer) {}, "1 2 3 4 5 6 7 8"},
		"under a key": {func(buffer session.Buffer) { withdraw(buffer, 0, "a", "k", 8) }, "2 3 4 5 7 8"},
		"not newer":   {func(buffer session.Buffer) { withdraw(buffer, 0, "a", "k", 6) }, "2 3 4 5 6 7 8"},
		"one by one": {func(buffer session.Buffer) {
			withdraw(buffer, 0, "a", "k", 8)
			withdraw(buffer, 0, "a", "j", 9)
		}, "2 4 5 7"},
		"the last first": {func(buffer session.Buffer) {
			withdraw(buffer, 0, "a", "j", 9)
			withdraw(buffer, 0, "a", "k", 8)
		}, "2 4 5 7"},
		"another topic":     {func(buffer session.Buffer) { withdraw(buffer, 0, "b", "k", 9) }, "1 2 3 5 6 7 8"},
		"another partition": {func(buffer session.Buffer) { withdraw(buffer, 1, "a", "k", 9) }, "1 2 3 4 6 7 8"},
		"a topic":           {func(buffer session.Buffer) { buffer.Drop("a") }, "2 4 7"},
		"a partition":       {func(buffer session.Buffer) { buffer.Release(0, false) }, "2 5 7"},
		"all": {
			func(buffer session.Buffer) { buffer.Release(0, false); buffer.Release(1, false) }, "2 7",
		},
		"an unknown topic": {func(buffer session.Buffer) { buffer.Drop("c") }, "1 2 3 4 5 6 7 8"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withBufferedConn(t, func(t *testing.T, _ *lineserver.Server, client net.Conn, sessions *bufferedSessions) {
				sink := sessions.sinks[0]
				sink(session.Response{Type: session.Alive})
				synctest.Wait()
				for _, response := range []session.Response{
					keyedMessage(0, "a", "k", 1), keyedMessage(0, "a", "", 2), keyedMessage(0, "a", "j", 3),
					keyedMessage(0, "b", "k", 4), keyedMessage(1, "a", "k", 5), keyedMessage(0, "a", "k", 6),
					{Type: session.Accepted, Key: "k", Topic: "a", CallSeq: 7}, keyedMessage(0, "a", "j", 8),
				} {
					sink(response)
				}
				test.remove(sessions.buffers[0])
				sink(session.Response{Type: session.Unsubscribed, Topic: "a"})
				reader := bufio.NewReader(client)
				var callSeqs []string
				for {
					line := readLine(t, reader)
					if strings.Contains(line, "left") {
						break
					}
					_, line, ok := strings.Cut(line, `"call_seq":`)
					if ok {
						line, _, _ = strings.Cut(line, ",")
						callSeqs = append(callSeqs, strings.TrimRight(line, "}\n"))
					}
				}
				assert.Equal(t, strings.Join(callSeqs, " "), test.want)
				synctest.Wait()
				withdraw(sessions.buffers[0], 0, "a", "j", 9)
				withdraw(sessions.buffers[0], 0, "a", "k", 9)
				sink(session.Response{Type: session.Alive})
				assert.Equal(t, readLine(t, reader), `{"what":"alive"}`, "written messages close nothing")
				assert.Assert(t, sessions.buffers[0].Release(0, false))
				assert.NilError(t, client.Close())
			})
		})
	}
}

// A message in a write that the client has not read may still reach it. The connection is closed
// instead.
func TestAWriteUnderWayIsCut(t *testing.T) {
	cases := map[string]struct {
		remove     func(buffer session.Buffer) bool
		isClosed   bool
		isReleased bool
	}{
		"withdrawn": {
			func(buffer session.Buffer) bool { withdraw(buffer, 0, "a", "k", 8); return true }, true, true,
		},
		"another key": {
			func(buffer session.Buffer) bool { withdraw(buffer, 0, "a", "j", 8); return true }, false, true,
		},
		"newer": {
			func(buffer session.Buffer) bool { withdraw(buffer, 0, "a", "k", 5); return true }, false, true,
		},
		"unsubscribed":      {func(buffer session.Buffer) bool { buffer.Drop("a"); return true }, false, true},
		"released":          {func(buffer session.Buffer) bool { return buffer.Release(0, false) }, false, false},
		"released with cut": {func(buffer session.Buffer) bool { return buffer.Release(0, true) }, true, true},
		"another partition": {func(buffer session.Buffer) bool { return buffer.Release(1, true) }, false, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withBufferedConn(t, func(
				t *testing.T, server *lineserver.Server, client net.Conn, sessions *bufferedSessions,
			) {
				sessions.sinks[0](keyedMessage(0, "a", "k", 5))
				synctest.Wait()
				sessions.sinks[0](keyedMessage(0, "a", "", 6))
				assert.Equal(t, test.remove(sessions.buffers[0]), test.isReleased)
				synctest.Wait()
				if test.isClosed {
					received, err := io.ReadAll(client)
					assert.NilError(t, err)
					assert.Equal(t, len(received), 0)
					assert.Equal(t, server.Count(), 0)
					return
				}
				reader := bufio.NewReader(client)
				assert.Assert(t, strings.Contains(readLine(t, reader), `"call_seq":5`))
				assert.Assert(t, strings.Contains(readLine(t, reader), `"call_seq":6`))
				synctest.Wait()
				assert.Assert(t, sessions.buffers[0].Release(0, false))
				assert.NilError(t, client.Close())
			})
		})
	}
}

// halfClosedConn is a connection whose other side sends nothing more but still reads.
type halfClosedConn struct {
	net.Conn
	ended chan struct{}
}

func (c halfClosedConn) Read([]byte) (int, error) {
	<-c.ended
	return 0, io.EOF
}

// A client that closed its sending side still gets its responses, except messages that are
// withdrawn meanwhile.
func TestPendingResponses_OutlastTheSession(t *testing.T) {
	sessions := &bufferedSessions{}
	withServerOf(t, 0, &sessions.fakeSessions, sessions, func(
		t *testing.T, _ *lineserver.Server, listener *pipeListener,
	) {
		serverSide, client := net.Pipe()
		conn := halfClosedConn{serverSide, make(chan struct{})}
		listener.accepted <- conn
		synctest.Wait()
		sessions.sinks[0](session.Response{Type: session.Alive})
		synctest.Wait()
		sessions.sinks[0](keyedMessage(0, "a", "k", 5))
		sessions.sinks[0](keyedMessage(0, "a", "", 6))
		close(conn.ended)
		synctest.Wait()
		assert.Equal(t, sessions.endCount, 1)
		assert.Equal(t, sessions.drained, 0)
		withdraw(sessions.buffers[0], 0, "a", "k", 8)
		received, err := io.ReadAll(client)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(received), "\n"), 2)
		assert.Assert(t, strings.Contains(string(received), `"call_seq":6`))
		synctest.Wait()
		assert.Equal(t, sessions.drained, 1)
	})
}
