// Package lineserver serves visits over connections of text lines; a codec gives the words.
package lineserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/clock"
)

// Session is one visitor's stay. Do never blocks for long and keeps the order of calls; End ends the stay, once.
type Session interface {
	Do(session.Request)
	End()
}

// BufferedSession is a session whose pending responses can be dropped before they are written. The
// function that AttachBuffer returns is called once no response is pending for good.
type BufferedSession interface {
	AttachBuffer(x session.Buffer) func()
}

// Sessions takes visitors in. Answers come through out, from any goroutine.
type Sessions interface {
	NewSession(out session.Sink) Session
}

// Codec is the words of a kind of line. Read gives the next task; body is the largest body in
// bytes. A line that can't be taken is a *Fault together with what is known of the task; any other
// error ends the connection. Append writes an answer.
type Codec interface {
	ReadRequest(r *bufio.Reader, body int) (session.Request, error)
	AppendResponse(b []byte, a session.Response) []byte
}

// Options of a server. MaxConnections bounds the connections, 0 for no bound; AcceptRetryDelay is
// the pause after a failed accept.
type Options struct {
	Sessions         Sessions
	Codec            Codec
	Clock            clock.Clock
	Keepalive        time.Duration
	AcceptRetryDelay time.Duration
	BodyLimit        func() int
	MaxConnections   int
}

const (
	readBytes    = 1 << 10
	firstBytes   = 1 << 9
	pooledBytes  = 16 << 10
	backlogBytes = 256 << 10
	silentTicks  = 4
	emptyShare   = 20
)

// Server serves visits.
type Server struct {
	s      Options
	tick   atomic.Int64
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	ls     map[net.Listener]struct{}
	conns  map[*conn]struct{}
	wg     sync.WaitGroup
}

// New makes a server.
func New(s Options) *Server {
	v := &Server{s: s, ls: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.wg.Go(v.sweep)
	return v
}

// Serve takes connections until the server is shut down.
func (v *Server) Serve(l net.Listener) error {
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		return l.Close()
	}
	v.ls[l] = struct{}{}
	v.mu.Unlock()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			v.take(c)
		case errors.Is(err, net.ErrClosed) || v.ctx.Err() != nil:
			return nil
		default:
			_ = v.s.Clock.Sleep(v.ctx, v.s.AcceptRetryDelay)
		}
	}
}

func (v *Server) take(n net.Conn) {
	c := &conn{v: v, n: n}
	c.seen.Store(v.tick.Load())
	v.mu.Lock()
	ok := !v.closed && (v.s.MaxConnections == 0 || len(v.conns) < v.s.MaxConnections)
	if ok {
		v.conns[c] = struct{}{}
		v.wg.Add(1)
	}
	v.mu.Unlock()
	if !ok {
		_ = n.Close()
		return
	}
	go c.serve()
}

func (v *Server) drop(c *conn) {
	v.mu.Lock()
	delete(v.conns, c)
	v.mu.Unlock()
	v.wg.Done()
}

func (v *Server) all() []*conn {
	v.mu.Lock()
	defer v.mu.Unlock()
	cs := make([]*conn, 0, len(v.conns))
	for c := range v.conns {
		cs = append(cs, c)
	}
	return cs
}

// Count is the number of connections.
func (v *Server) Count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.conns)
}

func (v *Server) sweep() {
	for v.s.Clock.Sleep(v.ctx, v.s.Keepalive) == nil {
		t := v.tick.Add(1)
		for _, c := range v.all() {
			if w := c.since.Load(); t-c.seen.Load() >= silentTicks || w > 0 && t-(w-1) >= silentTicks {
				_ = c.n.Close()
			}
		}
	}
}

func (v *Server) shut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	for l := range v.ls {
		_ = l.Close()
	}
}

// Shutdown takes no more connections, waits for those there are until the end of ctx, and closes them.
func (v *Server) Shutdown(ctx context.Context) error {
	v.shut()
	for v.Count() > 0 && v.s.Clock.Sleep(ctx, v.s.Keepalive/emptyShare) == nil {
		continue
	}
	return v.Close()
}

// Close ends all connections at once.
func (v *Server) Close() error {
	v.shut()
	v.cancel()
	for _, c := range v.all() {
		_ = c.n.Close()
	}
	v.wg.Wait()
	return nil
}

type conn struct {
	v *Server
	n net.Conn
	// seen is the tick of the last line; since is the tick, plus one, at which the write now going on began.
	seen  atomic.Int64
	since atomic.Int64

	mu      sync.Mutex
	out     []byte
	flying  int
	writing bool
	over    bool
	gone    bool
	// kept are the messages with keys in out, flown those in the part that is being written.
	kept  []span
	flown []span
	freed func()
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, firstBytes); return &b }}

func (c *conn) serve() {
	defer c.v.drop(c)
	g := c.v.s.Sessions.NewSession(c.put)
	if x, ok := g.(BufferedSession); ok {
		c.freed = x.AttachBuffer(c)
	}
	r := bufio.NewReaderSize(c.n, readBytes)
	for c.next(r, g) {
		continue
	}
	g.End()
	c.finish()
}

func (c *conn) next(r *bufio.Reader, g Session) bool {
	t, err := c.v.s.Codec.ReadRequest(r, c.v.s.BodyLimit())
	c.seen.Store(c.v.tick.Load())
	if err == nil {
		g.Do(t)
		return true
	}
	var f *Fault
	if !errors.As(err, &f) {
		return false
	}
	c.put(session.Response{Type: session.Rejected, InReplyTo: t.Verb, Topic: t.Topic, CallSeq: t.CallSeq, Err: f.Err})
	return f.Resynced
}

// put adds an answer to what waits to be written. A visitor that leaves too much unread is cut.
func (c *conn) put(a session.Response) {
	c.mu.Lock()
	if c.over || c.gone {
		c.mu.Unlock()
		return
	}
	if c.out == nil {
		c.out = *buffers.Get().(*[]byte)
	}
	n := len(c.out)
	c.out = c.v.s.Codec.AppendResponse(c.out, a)
	if a.Key != "" && a.Type == session.Message {
		c.kept = append(c.kept, span{a.Partition, a.Topic, a.Key, a.Offset, n, len(c.out)})
	}
	cut := len(c.out)+c.flying > backlogBytes
	if cut {
		c.gone = true
		c.out, c.kept = nil, nil
	}
	start := !cut && !c.writing
	c.writing = c.writing || start
	c.mu.Unlock()
	if cut {
		_ = c.n.Close()
	}
	if start {
		go c.flush()
	}
}

// flush writes all that waits, in one write for as much as came together, until nothing does.
func (c *conn) flush() {
	var last []byte
	for {
		c.mu.Lock()
		c.flying = 0
		b := c.out
		c.out = nil
		c.kept, c.flown = c.flown[:0], c.kept
		if len(b) == 0 || c.gone {
			c.writing = false
			c.flown = nil
			over, gone := c.over, c.gone
			c.mu.Unlock()
			release(last)
			release(b)
			if over || gone {
				_ = c.n.Close()
			}
			if over {
				c.free()
			}
			return
		}
		c.out = last[:0:cap(last)]
		if cap(last) == 0 || cap(last) > pooledBytes {
			c.out = nil
		}
		last = nil
		c.flying = len(b)
		c.mu.Unlock()
		c.since.Store(c.v.tick.Load() + 1)
		_, err := c.n.Write(b)
		c.since.Store(0)
		last = b
		if err != nil {
			c.mu.Lock()
			c.gone = true
			c.mu.Unlock()
		}
	}
}

func release(b []byte) {
	if cap(b) == 0 || cap(b) > pooledBytes {
		return
	}
	b = b[:0]
	buffers.Put(&b)
}

// finish ends the connection once what waits is written.
func (c *conn) finish() {
	c.mu.Lock()
	c.over = true
	now := !c.writing
	c.mu.Unlock()
	if now {
		_ = c.n.Close()
		c.free()
	}
}

func (c *conn) free() {
	if c.freed != nil {
		c.freed()
	}
}

// Fault is a line that could not be taken. Sure tells that the next line surely begins where reading goes on.
type Fault struct {
	Err      error
	Resynced bool
}

// Error gives the problem's sentence.
func (f *Fault) Error() string { return f.Err.Error() }

// Unwrap gives the problem.
func (f *Fault) Unwrap() error { return f.Err }

// Malformed is a fault of a line that can't be read.
func Malformed(sure bool, say string, a ...any) *Fault {
	return &Fault{Err: apierror.New(apierror.Malformed, say, a...), Resynced: sure}
}
