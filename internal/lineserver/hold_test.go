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

// keeper is a host that minds where answers wait.
type keeper struct {
	hall
	held  []session.Buffer
	freed int
}

type keeping struct {
	lineserver.Session
	k *keeper
}

func (k *keeper) NewSession(out session.Sink) lineserver.Session {
	return keeping{k.hall.NewSession(out), k}
}

func (g keeping) AttachBuffer(x session.Buffer) func() {
	g.k.mu.Lock()
	defer g.k.mu.Unlock()
	g.k.held = append(g.k.held, x)
	return func() {
		g.k.mu.Lock()
		defer g.k.mu.Unlock()
		g.k.freed++
	}
}

func keep(t *testing.T, f func(t *testing.T, s *lineserver.Server, c net.Conn, k *keeper)) {
	t.Helper()
	k := &keeper{}
	playWith(t, 0, &k.hall, k, func(t *testing.T, s *lineserver.Server, l *pipes) {
		c := l.dial()
		synctest.Wait()
		f(t, s, c, k)
	})
	assert.Equal(t, k.freed, 1, "what waits is forgotten once")
}

func at(p int, topic, key string, offset uint64) session.Response {
	return session.Response{Type: session.Message, Topic: topic, Key: key, Partition: p, Offset: offset,
		CallSeq: offset, Body: []byte(fmt.Sprint(offset))}
}

func withdraw(x session.Buffer, p int, topic, key string, before uint64) {
	x.Withdraw(p, func(t, k string, o uint64) bool { return t == topic && k == key && o < before })
}

// What waits behind a write is taken back, and the rest is written whole.
func TestWithdrawnBytesAreNeverWritten(t *testing.T) {
	cases := map[string]struct {
		take func(x session.Buffer)
		want string
	}{
		"nothing":          {func(session.Buffer) {}, "1 2 3 4 5 6 7 8"},
		"under a key":      {func(x session.Buffer) { withdraw(x, 0, "a", "k", 8) }, "2 3 4 5 7 8"},
		"not newer":        {func(x session.Buffer) { withdraw(x, 0, "a", "k", 6) }, "2 3 4 5 6 7 8"},
		"one by one":       {func(x session.Buffer) { withdraw(x, 0, "a", "k", 8); withdraw(x, 0, "a", "j", 9) }, "2 4 5 7"},
		"the last first":   {func(x session.Buffer) { withdraw(x, 0, "a", "j", 9); withdraw(x, 0, "a", "k", 8) }, "2 4 5 7"},
		"another topic":    {func(x session.Buffer) { withdraw(x, 0, "b", "k", 9) }, "1 2 3 5 6 7 8"},
		"another place":    {func(x session.Buffer) { withdraw(x, 1, "a", "k", 9) }, "1 2 3 4 6 7 8"},
		"a topic":          {func(x session.Buffer) { x.Drop("a") }, "2 4 7"},
		"a partition":      {func(x session.Buffer) { x.Release(0, false) }, "2 5 7"},
		"all":              {func(x session.Buffer) { x.Release(0, false); x.Release(1, false) }, "2 7"},
		"an unknown topic": {func(x session.Buffer) { x.Drop("c") }, "1 2 3 4 5 6 7 8"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			keep(t, func(t *testing.T, _ *lineserver.Server, n net.Conn, k *keeper) {
				out := k.outs[0]
				out(session.Response{Type: session.Alive})
				synctest.Wait()
				for _, a := range []session.Response{
					at(0, "a", "k", 1), at(0, "a", "", 2), at(0, "a", "j", 3), at(0, "b", "k", 4), at(1, "a", "k", 5),
					at(0, "a", "k", 6), {Type: session.Accepted, Key: "k", Topic: "a", CallSeq: 7}, at(0, "a", "j", 8),
				} {
					out(a)
				}
				c.take(k.held[0])
				out(session.Response{Type: session.Unsubscribed, Topic: "a"})
				r := bufio.NewReader(n)
				var got []string
				for {
					l := hear(t, r)
					if strings.Contains(l, "left") {
						break
					}
					_, l, ok := strings.Cut(l, `"call_seq":`)
					if ok {
						l, _, _ = strings.Cut(l, ",")
						got = append(got, strings.TrimRight(l, "}\n"))
					}
				}
				assert.Equal(t, strings.Join(got, " "), c.want)
				synctest.Wait()
				withdraw(k.held[0], 0, "a", "j", 9)
				withdraw(k.held[0], 0, "a", "k", 9)
				out(session.Response{Type: session.Alive})
				assert.Equal(t, hear(t, r), `{"what":"alive"}`, "what was written is shown and ends nothing")
				assert.Assert(t, k.held[0].Release(0, false))
				assert.NilError(t, n.Close())
			})
		})
	}
}

// A message in a write that the visitor has not taken may still get to it: the connection ends instead.
func TestAWriteUnderWayIsCut(t *testing.T) {
	cases := map[string]struct {
		take func(x session.Buffer) bool
		cut  bool
		free bool
	}{
		"withdrawn":     {func(x session.Buffer) bool { withdraw(x, 0, "a", "k", 8); return true }, true, true},
		"another key":   {func(x session.Buffer) bool { withdraw(x, 0, "a", "j", 8); return true }, false, true},
		"newer":         {func(x session.Buffer) bool { withdraw(x, 0, "a", "k", 5); return true }, false, true},
		"left":          {func(x session.Buffer) bool { x.Drop("a"); return true }, false, true},
		"asked for":     {func(x session.Buffer) bool { return x.Release(0, false) }, false, false},
		"to be let go":  {func(x session.Buffer) bool { return x.Release(0, true) }, true, true},
		"another place": {func(x session.Buffer) bool { return x.Release(1, true) }, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			keep(t, func(t *testing.T, s *lineserver.Server, n net.Conn, k *keeper) {
				k.outs[0](at(0, "a", "k", 5))
				synctest.Wait()
				k.outs[0](at(0, "a", "", 6))
				assert.Equal(t, c.take(k.held[0]), c.free)
				synctest.Wait()
				if c.cut {
					b, err := io.ReadAll(n)
					assert.NilError(t, err)
					assert.Equal(t, len(b), 0)
					assert.Equal(t, s.Count(), 0)
					return
				}
				r := bufio.NewReader(n)
				assert.Assert(t, strings.Contains(hear(t, r), `"call_seq":5`))
				assert.Assert(t, strings.Contains(hear(t, r), `"call_seq":6`))
				synctest.Wait()
				assert.Assert(t, k.held[0].Release(0, false))
				assert.NilError(t, n.Close())
			})
		})
	}
}

// half is a connection whose other side says no more and goes on reading.
type half struct {
	net.Conn
	ended chan struct{}
}

func (h half) Read([]byte) (int, error) {
	<-h.ended
	return 0, io.EOF
}

// A visitor that has ended its side still gets what was answered, except what is withdrawn meanwhile.
func TestWhatWaitsOutlastsTheVisit(t *testing.T) {
	k := &keeper{}
	playWith(t, 0, &k.hall, k, func(t *testing.T, _ *lineserver.Server, l *pipes) {
		a, n := net.Pipe()
		h := half{a, make(chan struct{})}
		l.in <- h
		synctest.Wait()
		k.outs[0](session.Response{Type: session.Alive})
		synctest.Wait()
		k.outs[0](at(0, "a", "k", 5))
		k.outs[0](at(0, "a", "", 6))
		close(h.ended)
		synctest.Wait()
		assert.Equal(t, k.ended, 1)
		assert.Equal(t, k.freed, 0)
		withdraw(k.held[0], 0, "a", "k", 8)
		b, err := io.ReadAll(n)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(b), "\n"), 2)
		assert.Assert(t, strings.Contains(string(b), `"call_seq":6`))
		synctest.Wait()
		assert.Equal(t, k.freed, 1)
	})
}
