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
	maxCalls           = 4 << 10
	maxIdleWorkers     = 4
	acceptPauseDivisor = 64
	keepaliveProbes    = 3
)

// Server handles the calls that peers send over their connections.
type Server struct {
	options     Options
	handler     http.Handler
	ctx         context.Context
	cancel      func()
	work        chan *serverCall
	idleWorkers atomic.Int64

	mu          sync.Mutex // guards the fields below
	closed      bool
	connections map[*serverConn]struct{}
	listeners   []net.Listener
}

// NewServer returns a server that calls a handler.
func NewServer(handler http.Handler, options Options) *Server {
	s := &Server{
		options: options, handler: handler, work: make(chan *serverCall),
		connections: map[*serverConn]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections on a listener and handles their calls. It returns nil after Close, else
// the error that ended it.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for !s.isClosed() {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go s.serve(conn)
		case s.isClosed():
		case errors.Is(err, net.ErrClosed):
			return apierror.Wrap(apierror.Internal, err, "accept on %s", listener.Addr())
		default:
			_ = clock.Real{}.Sleep(s.ctx, s.options.KeepaliveAfter/acceptPauseDivisor)
		}
	}
	return apierror.Wrap(apierror.Internal, closeListener(listener), "close %s", listener.Addr())
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func closeListener(listener net.Listener) error {
	if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Shutdown calls Close. It doesn't wait for calls between nodes.
func (s *Server) Shutdown(context.Context) error { return s.Close() }

// Close closes the listeners and all connections. The context of a call in flight ends after its
// connection, so that a handler's error about the end of its context is not sent as a response.
func (s *Server) Close() error {
	defer s.cancel()
	s.mu.Lock()
	s.closed = true
	listeners := s.listeners
	connections := make([]*serverConn, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	s.mu.Unlock()
	var err error
	for _, l := range listeners {
		err = errors.Join(err, closeListener(l))
	}
	for _, c := range connections {
		c.fail(errClosed, false)
	}
	return apierror.Wrap(apierror.Internal, err, "close")
}

// serverConn is the end of a connection that a peer opened. partialBytes is the size of the request
// bodies that are not complete.
type serverConn struct {
	muxConn
	server       *Server
	ctx          context.Context
	cancel       func()
	calls        map[uint64]*serverCall
	partialBytes int
}

// serverCall is a call that is being handled, or whose request is not complete yet.
type serverCall struct {
	message
	conn        *serverConn
	ctx         context.Context
	cancel      func()
	requestHead *serverHead
	requestBody []byte
	started     bool
}

// serverHead is a request head with the URL for the handler.
type serverHead struct {
	*head
	url *url.URL
}

// serve handles the calls of a connection until it is closed.
func (s *Server) serve(conn net.Conn) {
	c := &serverConn{server: s, calls: map[uint64]*serverCall{}}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.init(conn, c.onClosed)
	c.onSent = func(msg *message) { delete(c.calls, msg.id) }
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable: true, Idle: s.options.Idle, Interval: s.options.Unacknowledged, Count: keepaliveProbes,
		})
		_ = c.rawConn.Control(func(fd uintptr) { setSocketOptions(fd, s.options.Timeouts) })
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		c.cancel()
		_ = conn.Close()
		return
	}
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	c.fail(c.readLoop(), false)
}

// dispatch passes a call to an idle worker, whose stack has already grown, or to a new goroutine.
func (s *Server) dispatch(call *serverCall) {
	select {
	case s.work <- call:
	default:
		go s.runWorker(call)
	}
}

// runWorker handles a call, and then others while at most maxIdleWorkers are idle.
func (s *Server) runWorker(call *serverCall) {
	for call.conn.respond(call); s.idleWorkers.Add(1) <= maxIdleWorkers; call.conn.respond(call) {
		call = nil
		select {
		case call = <-s.work:
			s.idleWorkers.Add(-1)
		case <-s.ctx.Done():
			s.idleWorkers.Add(-1)
			return
		}
	}
	s.idleWorkers.Add(-1)
}

// onClosed removes a connection that was closed and ends the contexts of all its calls.
func (c *serverConn) onClosed(error) {
	c.cancel()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.connections, c)
}

func (c *serverConn) readLoop() error {
	r := bufio.NewReaderSize(c.conn, readBufferBytes)
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.Handshake))
	if _, err := Preface(r); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	var f frame
	var heads headTable
	serverHeads := map[*head]*serverHead{}
	for {
		if err := f.read(r); err != nil {
			return err
		}
		switch f.kind {
		case kindHead:
			if err := heads.define(&f); err != nil {
				return err
			}
			defined := heads.entries[len(heads.entries)-1]
			serverHeads[defined] = &serverHead{defined, &url.URL{Path: defined.pathOrStatus}}
		case kindOpen:
			fields, body, err := f.parseOpen()
			if err != nil {
				return err
			}
			parsed, err := heads.lookup(fields)
			if err != nil {
				return err
			}
			requestHead := serverHeads[parsed]
			if requestHead == nil {
				requestHead = &serverHead{parsed, &url.URL{Path: parsed.pathOrStatus}}
			}
			if err := c.openCall(&f, fields, requestHead, body); err != nil {
				return err
			}
		case kindData:
			if err := c.continueCall(&f); err != nil {
				return err
			}
		case kindCancel:
			c.cancelCall(f.id)
		case kindHeartbeat:
			c.mu.Lock()
			c.enqueueControl(kindEcho, 0, "")
			c.flushAndUnlock()
		default:
			return protocolError("unexpected frame kind %d in a request stream", f.kind)
		}
	}
}

func (c *serverConn) openCall(f *frame, fields openFields, requestHead *serverHead, body []byte) error {
	call := &serverCall{conn: c, requestHead: requestHead}
	if f.more {
		call.requestBody = append(make([]byte, 0, fields.initialCapacity()), body...)
	} else {
		call.requestBody = f.stableBytes(body)
	}
	call.kind, call.id, call.timeoutMS = kindOpen, f.id, fields.timeoutMS
	c.mu.Lock()
	switch {
	case c.calls[f.id] != nil:
		c.mu.Unlock()
		return protocolError("call %d is opened twice", f.id)
	case len(c.calls) >= maxCalls:
		c.enqueueControl(kindAbort, f.id, "too many concurrent calls")
		c.flushAndUnlock()
		return nil
	}
	call.ctx, call.cancel = context.WithCancel(c.ctx)
	c.calls[f.id] = call
	c.callCount = len(c.calls)
	call.started = !f.more
	if !call.started {
		c.partialBytes += len(call.requestBody)
	}
	c.mu.Unlock()
	if call.started {
		c.server.dispatch(call)
	}
	return nil
}

func (c *serverConn) continueCall(f *frame) error {
	c.mu.Lock()
	call := c.calls[f.id]
	if call == nil || call.started {
		c.mu.Unlock()
		if call != nil {
			return protocolError("data of call %d after its last frame", f.id)
		}
		return nil
	}
	if c.partialBytes+len(f.body) > maxBodyBytes {
		c.mu.Unlock()
		return protocolError("incomplete requests have more than %d bytes", maxBodyBytes)
	}
	call.requestBody = append(call.requestBody, f.body...)
	c.partialBytes += len(f.body)
	if call.started = !f.more; call.started {
		c.partialBytes -= len(call.requestBody)
	}
	c.mu.Unlock()
	if call.started {
		c.server.dispatch(call)
	}
	return nil
}

func (c *serverConn) cancelCall(id uint64) {
	c.mu.Lock()
	call := c.calls[id]
	if call != nil {
		c.removeCall(call)
		if !call.started {
			c.partialBytes -= len(call.requestBody)
		}
	}
	c.mu.Unlock()
	if call != nil {
		call.cancel()
	}
}

// removeCall removes a call from the connection. The caller holds mu.
func (c *serverConn) removeCall(call *serverCall) {
	c.dequeue(&call.message)
	delete(c.calls, call.id)
	c.callCount = len(c.calls)
}

// responseWriter buffers a response in memory.
type responseWriter struct {
	header     http.Header
	status     int
	body       []byte
	headBuffer [256]byte
}

// Header returns the headers of the response.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status, once.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write appends to the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, b...)
	return len(b), nil
}

var writerPool = sync.Pool{New: func() any { return &responseWriter{header: http.Header{}} }}

// respond calls the handler and sends its response, or aborts the call when the handler panicked.
func (c *serverConn) respond(call *serverCall) {
	defer call.cancel()
	w := writerPool.Get().(*responseWriter)
	clear(w.header)
	w.status, w.body = 0, w.body[:0]
	if !c.handle(w, call) {
		c.mu.Lock()
		if !call.dropped {
			c.removeCall(call)
			c.enqueueControl(kindAbort, call.id, "the handler panicked")
		}
		c.flushAndUnlock()
		return
	}
	call.head = append(w.headBuffer[:0], 0, 0, 0, 0)[:0]
	w.WriteHeader(http.StatusOK)
	var scratch [20]byte
	status := strconv.AppendInt(scratch[:0], int64(w.status), 10)
	call.head = append(append(call.head, byte(len(status))), status...)
	call.head = appendHeaders(call.head, w.header, c.server.options.Headers)
	call.body, call.requestBody = w.body, nil
	if c.send(call) && len(w.body) <= chunkBytes {
		writerPool.Put(w)
	}
}

// send queues a response. While the queue is full it waits for space, until the call ends or the
// Handshake timeout passes. It reports whether the buffers of a short response are free for reuse.
func (c *serverConn) send(call *serverCall) bool {
	var expired <-chan time.Time
	for {
		c.mu.Lock()
		if call.dropped || c.err != nil {
			c.mu.Unlock()
			return true
		}
		call.timeoutMS, call.offset = 0, 0
		if err := c.enqueue(&call.message); err == nil {
			if !call.isLong {
				delete(c.calls, call.id)
			}
			c.callCount = len(c.calls) + 1
			c.flushAndUnlock()
			return true
		}
		if c.spaceFreed == nil {
			c.spaceFreed = make(chan struct{})
		}
		spaceFreed := c.spaceFreed
		c.mu.Unlock()
		if expired == nil {
			timer := time.NewTimer(c.server.options.Handshake)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-spaceFreed:
		case <-call.ctx.Done():
		case <-expired:
			c.mu.Lock()
			if !call.dropped {
				c.removeCall(call)
			}
			c.mu.Unlock()
			return true
		}
		if call.ctx.Err() != nil {
			return true
		}
	}
}

// handle calls the handler and reports whether it returned.
func (c *serverConn) handle(w http.ResponseWriter, call *serverCall) (ok bool) {
	defer func() {
		if recovered := recover(); recovered != nil {
			ok = false
			if recovered != http.ErrAbortHandler {
				log.Printf("mux: panic in %s: %v\n%s", call.requestHead.pathOrStatus, recovered, debug.Stack())
			}
		}
	}()
	header := call.requestHead.header(2)
	if call.timeoutMS > 0 {
		header[timeoutHeader] = []string{strconv.FormatUint(call.timeoutMS, 10)}
	}
	content := &bodyReader{}
	content.Reset(call.requestBody)
	request := (&http.Request{
		Method: http.MethodPost, URL: call.requestHead.url, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: content, ContentLength: int64(len(call.requestBody)),
		RequestURI: call.requestHead.pathOrStatus,
	}).WithContext(call.ctx)
	c.server.handler.ServeHTTP(w, request)
	return true
}
