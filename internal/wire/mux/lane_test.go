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
	f := stand(t, echo)
	var wg sync.WaitGroup
	for g := range 32 {
		wg.Go(func() {
			for k := range 21 {
				b := pattern([]int{0, 1, 100, 5000, chunk, chunk + 1, 100_000}[(g+k)%7], g*k)
				path := fmt.Sprintf("/p%d", k%5)
				a, err := f.ask(path, b)
				assert.Check(t, err)
				assert.Check(t, bytes.Equal(a, append([]byte(path+" tester "), b...)))
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(f.n.all()), 1)
}

func TestStatusAndHeadersCome(t *testing.T) {
	f := stand(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/y")
		w.WriteHeader(http.StatusTeapot)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, r.Header.Get(timeout)+" "+r.Method)
	})
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+f.addr+"/x", nil)
		assert.NilError(t, err)
		r.Header[timeout] = []string{"1234"}
		a, err := f.n.Do(r)
		assert.NilError(t, err)
		b, _ := io.ReadAll(a.Body)
		assert.Equal(t, a.StatusCode, http.StatusTeapot)
		assert.Equal(t, a.Header.Get("Content-Type"), "application/y")
		assert.Equal(t, string(b), "1234 POST")
	}
}

func TestHeadsBeyondTheTableGoInline(t *testing.T) {
	f := stand(t, echo)
	for k := range mostHeads + 20 {
		path := fmt.Sprintf("/%d", k)
		a, err := f.ask(path, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(a), path+" tester ")
	}
}

func TestBigBodies(t *testing.T) {
	f := stand(t, echo)
	b := pattern(6<<20, 3)
	a, err := f.ask("/big", b)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(a[len("/big tester "):], b))
}

func TestCancelReachesTheHandler(t *testing.T) {
	in, out := make(chan bool), make(chan error)
	f := stand(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/echo" {
			echo(w, r)
			return
		}
		in <- true
		<-r.Context().Done()
		out <- r.Context().Err()
	})
	ctx, stop := context.WithCancel(context.Background())
	res := make(chan error)
	go func() {
		_, err := ask(ctx, f.n, f.addr, "/wait", nil)
		res <- err
	}()
	<-in
	stop()
	assert.ErrorIs(t, <-res, context.Canceled)
	assert.ErrorIs(t, <-out, context.Canceled)
	_, err := f.ask("/echo", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(f.n.all()), 1)
}

func TestRefusedFailsAtOnceAndTheNextCallDialsAnew(t *testing.T) {
	f := stand(t, echo)
	assert.NilError(t, f.s.Close())
	for range 3 {
		_, err := f.ask("/x", nil)
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	}
	f.s = serve(listen(t, f.addr), echo)
	_, err := f.ask("/x", nil)
	assert.NilError(t, err)
}

// A machine that hears nothing yet is reached soon after it does: an attempt of a dial that was not
// heard is not waited out.
func TestMachineThatBeginsToHearIsReachedSoon(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "deaf")
	l, err := net.FileListener(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), time.Second/5)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	o := patient
	o.Dial = 5 * time.Second
	n := New(o)
	defer n.Close()
	begun := time.Now()
	done := make(chan error, 1)
	go func() {
		_, err := ask(context.Background(), n, l.Addr().String(), "/x", nil)
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("the machine heard: %v", err)
	case <-time.After(time.Second / 10):
	}
	s := serve(l, echo)
	defer func() { _ = s.Close() }()
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(begun) < 900*time.Millisecond, "reached after %s", time.Since(begun))
}

func TestCalls_FailAtOnceWhenThePeerGoes(t *testing.T) {
	in := make(chan bool)
	var done atomic.Int64
	f := stand(t, func(_ http.ResponseWriter, r *http.Request) {
		in <- true
		<-r.Context().Done()
		done.Add(1)
	})
	res := make(chan error)
	for range 20 {
		go func() {
			_, err := f.ask("/wait", nil)
			res <- err
		}()
		<-in
	}
	assert.NilError(t, f.s.Close())
	for range 20 {
		err := <-res
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	}
}

func TestCalls_ReachARestartedPeerAtOnce(t *testing.T) {
	f := stand(t, echo)
	for k := range 200 {
		_, err := f.ask("/x", nil)
		assert.NilError(t, err, "after restart %d", k)
		assert.NilError(t, f.s.Close())
		f.s = serve(listen(t, f.addr), echo)
	}
}

// breaking is a connection whose writes break off after some bytes.
type breaking struct {
	net.Conn
	after int
}

// Write breaks off.
func (b breaking) Write(p []byte) (int, error) { return min(b.after, len(p)), io.ErrClosedPipe }

func TestOnlyWhatWasNotWrittenIsSentAgain(t *testing.T) {
	for after, again := range map[int]bool{0: true, 1: false} {
		n := atomic.Int64{}
		f := stand(t, func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			echo(w, r)
		})
		a, _ := net.Pipe()
		p := f.n.peer(f.addr)
		p.c = newClient(p, breaking{a, after}, "tester")
		_, err := f.ask("/x", nil)
		if again {
			assert.NilError(t, err)
			assert.Equal(t, n.Load(), int64(1))
			continue
		}
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		assert.Equal(t, n.Load(), int64(0))
		_, err = f.ask("/x", nil)
		assert.NilError(t, err)
	}
}

// gated is a connection whose writes go through one by one.
type gated struct {
	net.Conn
	wrote chan []byte
}

// Write hands over what is written.
func (g gated) Write(p []byte) (int, error) {
	g.wrote <- bytes.Clone(p)
	return len(p), nil
}

func TestShortFramesGoBetweenThePiecesOfLongOnes(t *testing.T) {
	a, _ := net.Pipe()
	g := gated{a, make(chan []byte)}
	p := New(patient).peer("x")
	c := newClient(p, g, "tester")
	send := func(b []byte) {
		c.mu.Lock()
		c.last++
		assert.NilError(t, c.queue(&parcel{kind: kindOpen, id: c.last, head: appendPiece(nil, "/x"), body: b}))
		c.kick()
	}
	send(make([]byte, 10*chunk))
	send(make([]byte, 10*chunk))
	send([]byte("short"))
	first := <-g.wrote
	second := <-g.wrote
	assert.Assert(t, bytes.Contains(append(first, second...), []byte("short")))
	assert.Assert(t, len(second) < chunk+100)
	n := len(first) + len(second)
	for n < 20*chunk {
		n += len(<-g.wrote)
	}
}

func TestHandlerThatBreaksOffFailsItsCallAlone(t *testing.T) {
	f := stand(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	})
	for range 3 {
		_, err := f.ask("/bad", nil)
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		_, err = f.ask("/good", nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(f.n.all()), 1)
}

func TestForeignersAreTurnedAway(t *testing.T) {
	f := stand(t, echo)
	for _, s := range []string{"POST / HTTP/1.1\r\n\r\n", "PJL\x02\r\n\x00", magic + "\xff\xff\x7f",
		magic + "\x00\x09\x00\x00", magic + "\x00\x02\x01\x02\x05\x00"} {
		c, err := net.Dial("tcp", f.addr)
		assert.NilError(t, err)
		_, err = io.WriteString(c, s)
		assert.NilError(t, err)
		b, _ := io.ReadAll(c)
		assert.Equal(t, len(b), 0)
		_ = c.Close()
	}
	l := listen(t, "127.0.0.1:0")
	hs := &http.Server{ReadHeaderTimeout: time.Minute}
	go func() { _ = hs.Serve(l) }()
	defer func() { _ = hs.Close() }()
	_, err := ask(context.Background(), f.n, l.Addr().String(), "/x", nil)
	assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
}

func TestPrefaceTellsWhoCalls(t *testing.T) {
	name, err := Preface(bufio.NewReader(bytes.NewReader(AppendPreface(nil, "store-7"))))
	assert.NilError(t, err)
	assert.Equal(t, name, "store-7")
}

func FuzzFrames(f *testing.F) {
	h := appendPiece(appendPiece(appendPiece(nil, "/x"), "Content-Type"), "y")
	b := append(start(nil, kindHead, 1, len(h)), h...)
	f.Add(append(start(b, kindOpen, 1, 6), "\x01\x00body"...))
	f.Add(append(start(b, kindOpen|more, 1, 7), "\x01\x00\x09body\x04\x01\x01z\x03\x01\x00\x06\x00\x00"...))
	f.Add(append(start(nil, kindOpen, 1, 6), "\x00\x05\x03\x02/x"...))
	f.Add([]byte("\x02\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Add(start(nil, kindData, 1<<60, mostFrame))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(b), 64)
		var x frame
		var hs heads
		for x.read(r) == nil {
			if len(x.body) > mostFrame || x.kind == 0 || x.kind >= kindsEnd {
				t.Fatalf("frame %+v", x)
			}
			switch x.kind {
			case kindHead:
				_ = hs.name(&x)
			case kindOpen:
				if o, _, err := x.opening(); err == nil {
					if h, err := hs.of(o); err == nil && len(h.pairs)%2 != 0 {
						t.Fatalf("head %+v", h)
					}
				}
			}
		}
	})
}

func FuzzServer(f *testing.F) {
	h := appendPiece(nil, "/x")
	b := append(start(AppendPreface(nil, "a"), kindHead, 1, len(h)), h...)
	f.Add(append(start(b, kindOpen, 1, 6), "\x01\x00body"...))
	f.Add(append(start(b, kindOpen|more, 1, 7), "\x01\x00\x09body\x83\x01\x01z\x04\x01\x00\x06\x00\x00\x03\x01\x01y"...))
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := NewServer(http.HandlerFunc(echo), patient)
		mine, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, mine) }()
		go func() {
			_, _ = mine.Write(b)
			_ = mine.Close()
		}()
		s.serve(theirs)
		s.stop()
	})
}
