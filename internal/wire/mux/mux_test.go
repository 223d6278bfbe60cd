package mux

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

func TestManyCallsAtATimeEachGetTheirOwnAnswer(t *testing.T) {
	f := newFixture(t, echo)
	var wg sync.WaitGroup
	for caller := range 32 {
		wg.Go(func() {
			for i := range 21 {
				body := pattern([]int{0, 1, 100, 5000, chunkBytes, chunkBytes + 1, 100_000}[(caller+i)%7], caller*i)
				path := fmt.Sprintf("/p%d", i%5)
				response, err := f.post(path, body)
				assert.Check(t, err)
				assert.Check(t, bytes.Equal(response, append([]byte(path+" tester "), body...)))
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(f.network.allConnections()), 1)
}

func TestStatusAndHeadersCome(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/y")
		w.WriteHeader(http.StatusTeapot)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, r.Header.Get(timeoutHeader)+" "+r.Method)
	})
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.addr+"/x", nil)
		assert.NilError(t, err)
		request.Header[timeoutHeader] = []string{"1234"}
		response, err := f.network.Do(request)
		assert.NilError(t, err)
		b, _ := io.ReadAll(response.Body)
		assert.Equal(t, response.StatusCode, http.StatusTeapot)
		assert.Equal(t, response.Header.Get("Content-Type"), "application/y")
		assert.Equal(t, string(b), "1234 POST")
	}
}

func TestHeadsBeyondTheTableGoInline(t *testing.T) {
	f := newFixture(t, echo)
	for k := range maxHeads + 20 {
		path := fmt.Sprintf("/%d", k)
		response, err := f.post(path, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(response), path+" tester ")
	}
}

func TestBigBodies(t *testing.T) {
	f := newFixture(t, echo)
	b := pattern(6<<20, 3)
	response, err := f.post("/big", b)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(response[len("/big tester "):], b))
}

func TestCancelReachesTheHandler(t *testing.T) {
	entered, handlerErr := make(chan bool), make(chan error)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/echo" {
			echo(w, r)
			return
		}
		entered <- true
		<-r.Context().Done()
		handlerErr <- r.Context().Err()
	})
	ctx, stop := context.WithCancel(context.Background())
	results := make(chan error)
	go func() {
		_, err := post(ctx, f.network, f.addr, "/wait", nil)
		results <- err
	}()
	<-entered
	stop()
	assert.ErrorIs(t, <-results, context.Canceled)
	assert.ErrorIs(t, <-handlerErr, context.Canceled)
	_, err := f.post("/echo", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(f.network.allConnections()), 1)
}

func TestRefusedFailsAtOnceAndTheNextCallDialsAnew(t *testing.T) {
	f := newFixture(t, echo)
	assert.NilError(t, f.server.Close())
	for range 3 {
		_, err := f.post("/x", nil)
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	}
	f.server = serve(newListener(t, f.addr), echo)
	_, err := f.post("/x", nil)
	assert.NilError(t, err)
}

// A machine that accepts no connections yet is reached soon after it does: a dial attempt without
// an answer is not awaited until the whole timeout ends.
func TestMachineThatBeginsToAcceptIsReachedSoon(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "full-backlog")
	listener, err := net.FileListener(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	for {
		c, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second/5)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	options := patientOptions
	options.Dial = 5 * time.Second
	network := New(options)
	defer network.Close()
	started := time.Now()
	done := make(chan error, 1)
	go func() {
		_, err := post(context.Background(), network, listener.Addr().String(), "/x", nil)
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("the call ended before the machine accepted: %v", err)
	case <-time.After(time.Second / 10):
	}
	server := serve(listener, echo)
	defer func() { _ = server.Close() }()
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(started) < 900*time.Millisecond, "reached after %s", time.Since(started))
}

func TestCalls_FailAtOnceWhenThePeerGoes(t *testing.T) {
	entered := make(chan bool)
	var ended atomic.Int64
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		entered <- true
		<-r.Context().Done()
		ended.Add(1)
	})
	results := make(chan error)
	for range 20 {
		go func() {
			_, err := f.post("/wait", nil)
			results <- err
		}()
		<-entered
	}
	assert.NilError(t, f.server.Close())
	for range 20 {
		err := <-results
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	}
}

func TestCalls_ReachARestartedPeerAtOnce(t *testing.T) {
	f := newFixture(t, echo)
	for restart := range 200 {
		_, err := f.post("/x", nil)
		assert.NilError(t, err, "after restart %d", restart)
		assert.NilError(t, f.server.Close())
		f.server = serve(newListener(t, f.addr), echo)
	}
}

// failingConn is a connection whose writes fail after some bytes.
type failingConn struct {
	net.Conn
	after int
}

// Write writes the first bytes and fails.
func (c failingConn) Write(p []byte) (int, error) { return min(c.after, len(p)), io.ErrClosedPipe }

func TestOnlyWhatWasNotWrittenIsSentAgain(t *testing.T) {
	for after, retried := range map[int]bool{0: true, 1: false} {
		handled := atomic.Int64{}
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			echo(w, r)
		})
		pipe, _ := net.Pipe()
		target := f.network.peer(f.addr)
		target.conn = newClientConn(target, failingConn{pipe, after}, "tester")
		_, err := f.post("/x", nil)
		if retried {
			assert.NilError(t, err)
			assert.Equal(t, handled.Load(), int64(1))
			continue
		}
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		assert.Equal(t, handled.Load(), int64(0))
		_, err = f.post("/x", nil)
		assert.NilError(t, err)
	}
}

// gatedConn is a connection whose writes block until a test receives them, one by one.
type gatedConn struct {
	net.Conn
	writes chan []byte
}

// Write passes a copy of p to the test.
func (c gatedConn) Write(p []byte) (int, error) {
	c.writes <- bytes.Clone(p)
	return len(p), nil
}

func TestShortFramesGoBetweenThePiecesOfLongOnes(t *testing.T) {
	pipe, _ := net.Pipe()
	gate := gatedConn{pipe, make(chan []byte)}
	target := New(patientOptions).peer("x")
	conn := newClientConn(target, gate, "tester")
	send := func(b []byte) {
		conn.mu.Lock()
		conn.lastID++
		assert.NilError(
			t, conn.enqueue(&message{kind: kindOpen, id: conn.lastID, head: appendPrefixed(nil, "/x"), body: b}),
		)
		conn.flushAndUnlock()
	}
	send(make([]byte, 10*chunkBytes))
	send(make([]byte, 10*chunkBytes))
	send([]byte("short"))
	first := <-gate.writes
	second := <-gate.writes
	assert.Assert(t, bytes.Contains(append(first, second...), []byte("short")))
	assert.Assert(t, len(second) < chunkBytes+100)
	written := len(first) + len(second)
	for written < 20*chunkBytes {
		written += len(<-gate.writes)
	}
}

func TestHandlerThatBreaksOffFailsItsCallAlone(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	})
	for range 3 {
		_, err := f.post("/bad", nil)
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		_, err = f.post("/good", nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(f.network.allConnections()), 1)
}

func TestForeignConnectionsAreRejected(t *testing.T) {
	f := newFixture(t, echo)
	for _, sent := range []string{"POST / HTTP/1.1\r\n\r\n", "PJL\x02\r\n\x00", magic + "\xff\xff\x7f",
		magic + "\x00\x09\x00\x00", magic + "\x00\x02\x01\x02\x05\x00"} {
		conn, err := net.Dial("tcp", f.addr)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, sent)
		assert.NilError(t, err)
		response, _ := io.ReadAll(conn)
		assert.Equal(t, len(response), 0)
		_ = conn.Close()
	}
	listener := newListener(t, "127.0.0.1:0")
	httpServer := &http.Server{ReadHeaderTimeout: time.Minute}
	go func() { _ = httpServer.Serve(listener) }()
	defer func() { _ = httpServer.Close() }()
	_, err := post(context.Background(), f.network, listener.Addr().String(), "/x", nil)
	assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
}

func TestPrefaceNamesTheNode(t *testing.T) {
	name, err := Preface(bufio.NewReader(bytes.NewReader(AppendPreface(nil, "store-7"))))
	assert.NilError(t, err)
	assert.Equal(t, name, "store-7")
}

func FuzzFrames(f *testing.F) {
	encoded := appendPrefixed(appendPrefixed(appendPrefixed(nil, "/x"), "Content-Type"), "y")
	b := append(appendFrameHeader(nil, kindHead, 1, len(encoded)), encoded...)
	f.Add(append(appendFrameHeader(b, kindOpen, 1, 6), "\x01\x00body"...))
	f.Add(append(
		appendFrameHeader(b, kindOpen|moreFlag, 1, 7),
		"\x01\x00\x09body\x04\x01\x01z\x03\x01\x00\x06\x00\x00"...,
	))
	f.Add(append(appendFrameHeader(nil, kindOpen, 1, 6), "\x00\x05\x03\x02/x"...))
	f.Add([]byte("\x02\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Add(appendFrameHeader(nil, kindData, 1<<60, maxFrameBytes))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(b), 64)
		var received frame
		var heads headTable
		for received.read(r) == nil {
			if len(received.body) > maxFrameBytes || received.kind == 0 || received.kind >= kindLimit {
				t.Fatalf("frame %+v", received)
			}
			switch received.kind {
			case kindHead:
				_ = heads.define(&received)
			case kindOpen:
				if fields, _, err := received.parseOpen(); err == nil {
					if parsed, err := heads.lookup(fields); err == nil && len(parsed.pairs)%2 != 0 {
						t.Fatalf("head %+v", parsed)
					}
				}
			}
		}
	})
}

func FuzzServer(f *testing.F) {
	encoded := appendPrefixed(nil, "/x")
	b := append(appendFrameHeader(AppendPreface(nil, "a"), kindHead, 1, len(encoded)), encoded...)
	f.Add(append(appendFrameHeader(b, kindOpen, 1, 6), "\x01\x00body"...))
	f.Add(append(
		appendFrameHeader(b, kindOpen|moreFlag, 1, 7),
		"\x01\x00\x09body\x83\x01\x01z\x04\x01\x00\x06\x00\x00\x03\x01\x01y"...,
	))
	f.Fuzz(func(_ *testing.T, b []byte) {
		server := NewServer(http.HandlerFunc(echo), patientOptions)
		clientSide, serverSide := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, clientSide) }()
		go func() {
			_, _ = clientSide.Write(b)
			_ = clientSide.Close()
		}()
		server.serve(serverSide)
		server.cancel()
	})
}
