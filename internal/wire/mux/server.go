package mux

import (
	"bufio"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
)

const (
	mostCalls  = 4 << 10
	mostIdle   = 4
	pauseShare = 64
	probes     = 3
)

// Server answers the calls that peers send over their connections.
type Server struct {
	o    Options
	h    http.Handler
	ctx  context.Context
	stop func()
	work chan *serving
	idle atomic.Int64

	mu     sync.Mutex
	closed bool
	m      map[*served]struct{}
	ls     []net.Listener
}

// NewServer makes a server that calls a handler.
func NewServer(h http.Handler, o Options) *Server {
	s := &Server{o: o, h: h, work: make(chan *serving), m: map[*served]struct{}{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Serve answers calls that come to a listener. It gives nil after Close, else the cause why nothing comes any more.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.ls = append(s.ls, l)
	s.mu.Unlock()
	for !s.over() {
		nc, err := l.Accept()
		switch {
		case err == nil:
			go s.serve(nc)
		case s.over():
		case errors.Is(err, net.ErrClosed):
			return apierror.Wrap(apierror.Internal, err, "accept on %s", l.Addr())
		default:
			_ = clock.Real{}.Sleep(s.ctx, s.o.KeepaliveAfter/pauseShare)
		}
	}
	return apierror.Wrap(apierror.Internal, shut(l), "close %s", l.Addr())
}

func (s *Server) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func shut(l net.Listener) error {
	if err := l.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Shutdown is Close: calls between nodes are not waited for.
func (s *Server) Shutdown(context.Context) error { return s.Close() }

// Close closes the listener and all connections; the contexts of calls under way end, each after
// its connection, so that what a handler says of its end is no answer.
func (s *Server) Close() error {
	defer s.stop()
	s.mu.Lock()
	s.closed = true
	ls := s.ls
	cs := make([]*served, 0, len(s.m))
	for c := range s.m {
		cs = append(cs, c)
	}
	s.mu.Unlock()
	var err error
	for _, l := range ls {
		err = errors.Join(err, shut(l))
	}
	for _, c := range cs {
		c.fail(errClosed, false)
	}
	return apierror.Wrap(apierror.Internal, err, "close")
}

// served is this side's end of a connection that a peer opened.
type served struct {
	link
	s     *Server
	ctx   context.Context
	stop  func()
	calls map[uint64]*serving
	parts int
}

// serving is a call that is answered, or whose task is still coming in.
type serving struct {
	parcel
	c     *served
	ctx   context.Context
	stop  func()
	h     *handled
	parts []byte
	begun bool
}

// handled is a head that was made ready for the handler.
type handled struct {
	*head
	url *url.URL
}

func (s *Server) serve(nc net.Conn) {
	c := &served{s: s, calls: map[uint64]*serving{}}
	c.ctx, c.stop = context.WithCancel(s.ctx)
	c.init(nc, c.over)
	c.sent = func(p *parcel) { delete(c.calls, p.id) }
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: s.o.Idle, Interval: s.o.Unacknowledged, Count: probes})
		_ = c.raw.Control(func(fd uintptr) { tune(fd, s.o.Timeouts) })
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		c.stop()
		_ = nc.Close()
		return
	}
	s.m[c] = struct{}{}
	s.mu.Unlock()
	c.fail(c.read(), false)
}

// hand gives a call to a goroutine that has just answered another one, as its stack has grown already, or to a new one.
func (s *Server) hand(x *serving) {
	select {
	case s.work <- x:
	default:
		go s.answer(x)
	}
}

func (s *Server) answer(x *serving) {
	for x.c.answer(x); s.idle.Add(1) <= mostIdle; x.c.answer(x) {
		x = nil
		select {
		case x = <-s.work:
			s.idle.Add(-1)
		case <-s.ctx.Done():
			s.idle.Add(-1)
			return
		}
	}
	s.idle.Add(-1)
}

// over ends the contexts of all calls of a connection that is gone.
func (c *served) over(error) {
	c.stop()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	delete(c.s.m, c)
}

func (c *served) read() error {
	r := bufio.NewReaderSize(c.c, readBuffer)
	_ = c.c.SetReadDeadline(time.Now().Add(c.s.o.Handshake))
	if _, err := Preface(r); err != nil {
		return err
	}
	_ = c.c.SetReadDeadline(time.Time{})
	var f frame
	var hs heads
	ready := map[*head]*handled{}
	for {
		if err := f.read(r); err != nil {
			return err
		}
		switch f.kind {
		case kindHead:
			if err := hs.name(&f); err != nil {
				return err
			}
			h := hs.m[len(hs.m)-1]
			ready[h] = &handled{h, &url.URL{Path: h.first}}
		case kindOpen:
			o, b, err := f.opening()
			if err != nil {
				return err
			}
			h, err := hs.of(o)
			if err != nil {
				return err
			}
			k := ready[h]
			if k == nil {
				k = &handled{h, &url.URL{Path: h.first}}
			}
			if err := c.open(&f, o, k, b); err != nil {
				return err
			}
		case kindData:
			if err := c.more(&f); err != nil {
				return err
			}
		case kindCancel:
			c.cancel(f.id)
		case kindHeartbeat:
			c.mu.Lock()
			c.say(kindEcho, 0, "")
			c.kick()
		default:
			return broken("a frame of kind %d from the side that asks", f.kind)
		}
	}
}

func (c *served) open(f *frame, o opening, h *handled, b []byte) error {
	x := &serving{c: c, h: h}
	if f.more {
		x.parts = append(make([]byte, 0, o.room()), b...)
	} else {
		x.parts = f.kept(b)
	}
	x.kind, x.id, x.wait = kindOpen, f.id, o.wait
	c.mu.Lock()
	switch {
	case c.calls[f.id] != nil:
		c.mu.Unlock()
		return broken("call %d comes twice", f.id)
	case len(c.calls) >= mostCalls:
		c.say(kindAbort, f.id, "too many calls at a time")
		c.kick()
		return nil
	}
	x.ctx, x.stop = context.WithCancel(c.ctx)
	c.calls[f.id] = x
	c.crowd = len(c.calls)
	x.begun = !f.more
	if !x.begun {
		c.parts += len(x.parts)
	}
	c.mu.Unlock()
	if x.begun {
		c.s.hand(x)
	}
	return nil
}

func (c *served) more(f *frame) error {
	c.mu.Lock()
	x := c.calls[f.id]
	if x == nil || x.begun {
		c.mu.Unlock()
		if x != nil {
			return broken("more of call %d after its end", f.id)
		}
		return nil
	}
	if c.parts+len(f.body) > mostBody {
		c.mu.Unlock()
		return broken("tasks of more than %d bytes", mostBody)
	}
	x.parts = append(x.parts, f.body...)
	c.parts += len(f.body)
	if x.begun = !f.more; x.begun {
		c.parts -= len(x.parts)
	}
	c.mu.Unlock()
	if x.begun {
		c.s.hand(x)
	}
	return nil
}

func (c *served) cancel(id uint64) {
	c.mu.Lock()
	x := c.calls[id]
	if x != nil {
		c.end(x)
		if !x.begun {
			c.parts -= len(x.parts)
		}
	}
	c.mu.Unlock()
	if x != nil {
		x.stop()
	}
}

// end takes a call out; the lock is held.
func (c *served) end(x *serving) {
	c.forget(&x.parcel)
	delete(c.calls, x.id)
	c.crowd = len(c.calls)
}

// writer keeps an answer in memory.
type writer struct {
	h      http.Header
	status int
	b      []byte
	head   [256]byte
}

// Header gives the headers of the answer.
func (w *writer) Header() http.Header { return w.h }

// WriteHeader sets the status once.
func (w *writer) WriteHeader(n int) {
	if w.status == 0 {
		w.status = n
	}
}

// Write adds to the body.
func (w *writer) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.b = append(w.b, b...)
	return len(b), nil
}

var writers = sync.Pool{New: func() any { return &writer{h: http.Header{}} }}

func (c *served) answer(x *serving) {
	defer x.stop()
	w := writers.Get().(*writer)
	clear(w.h)
	w.status, w.b = 0, w.b[:0]
	if !c.handle(w, x) {
		c.mu.Lock()
		if !x.dropped {
			c.end(x)
			c.say(kindAbort, x.id, "its handler broke off")
		}
		c.kick()
		return
	}
	x.head = append(w.head[:0], 0, 0, 0, 0)[:0]
	w.WriteHeader(http.StatusOK)
	var t [20]byte
	st := strconv.AppendInt(t[:0], int64(w.status), 10)
	x.head = append(append(x.head, byte(len(st))), st...)
	x.head = appendHeaders(x.head, w.h, c.s.o.Headers)
	x.body, x.parts = w.b, nil
	if c.send(x) && len(w.b) <= chunk {
		writers.Put(w)
	}
}

// send queues an answer, or waits for room as long as the call has time; it tells whether nothing
// of the answer is held any more.
func (c *served) send(x *serving) bool {
	var late <-chan time.Time
	for {
		c.mu.Lock()
		if x.dropped || c.err != nil {
			c.mu.Unlock()
			return true
		}
		x.wait, x.at = 0, 0
		if err := c.queue(&x.parcel); err == nil {
			if !x.big {
				delete(c.calls, x.id)
			}
			c.crowd = len(c.calls) + 1
			c.kick()
			return true
		}
		if c.room == nil {
			c.room = make(chan struct{})
		}
		room := c.room
		c.mu.Unlock()
		if late == nil {
			t := time.NewTimer(c.s.o.Handshake)
			defer t.Stop()
			late = t.C
		}
		select {
		case <-room:
		case <-x.ctx.Done():
		case <-late:
			c.mu.Lock()
			if !x.dropped {
				c.end(x)
			}
			c.mu.Unlock()
			return true
		}
		if x.ctx.Err() != nil {
			return true
		}
	}
}

// handle calls the handler and tells whether it came to an end.
func (c *served) handle(w http.ResponseWriter, x *serving) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			ok = false
			if v != http.ErrAbortHandler {
				log.Printf("lane: panic in %s: %v\n%s", x.h.first, v, debug.Stack())
			}
		}
	}()
	m := x.h.header(2)
	if x.wait > 0 {
		m[timeout] = []string{strconv.FormatUint(x.wait, 10)}
	}
	b := &body{}
	b.Reset(x.parts)
	r := (&http.Request{
		Method: http.MethodPost, URL: x.h.url, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: m, Body: b, ContentLength: int64(len(x.parts)), RequestURI: x.h.first,
	}).WithContext(x.ctx)
	c.s.h.ServeHTTP(w, r)
	return true
}
