// Package lineserver serves client sessions over connections that transmit lines of text. A Codec
// defines the line protocol.
//
// Each connection has a goroutine that reads, and one that writes while responses are pending.
// Responses that are pending at the same time are written together. A connection is closed when its
// client sends nothing, when a write doesn't end, and when too many bytes are unwritten.
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

// Session is one client's session. Do never blocks for long and handles requests in the order of
// the calls. End ends the session; it is called once.
type Session interface {
	Do(session.Request)
	End()
}

// BufferedSession is a session whose pending responses can be dropped before they are written. The
// function that AttachBuffer returns is called once, when the session has ended and no response is
// pending.
type BufferedSession interface {
	AttachBuffer(buffer session.Buffer) func()
}

// Sessions opens client sessions. Their responses go to sink, from any goroutine.
type Sessions interface {
	NewSession(sink session.Sink) Session
}

// Codec reads and writes the lines of one protocol. ReadRequest returns the next request, whose
// body has at most maxBody bytes. A line that is rejected is a *Fault, returned together with what
// is known of the request; any other error closes the connection. AppendResponse appends an encoded
// response.
type Codec interface {
	ReadRequest(r *bufio.Reader, maxBody int) (session.Request, error)
	AppendResponse(b []byte, response session.Response) []byte
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
	readBufferBytes    = 1 << 10
	initialBufferBytes = 1 << 9
	// maxPooledBytes bounds the buffers that are reused.
	maxPooledBytes = 16 << 10
	// maxUnwrittenBytes bounds the bytes of a connection that are pending or being written.
	maxUnwrittenBytes = 256 << 10
	// maxSilentTicks is the number of keepalive intervals after which a connection is closed if no
	// line came or one write has not ended.
	maxSilentTicks = 4
	// shutdownPollDivisor is the fraction of the keepalive interval at which Shutdown checks whether
	// connections are left.
	shutdownPollDivisor = 20
)

// Server accepts connections and serves a session on each.
type Server struct {
	options Options
	// tick counts keepalive intervals.
	tick   atomic.Int64
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards closed, listeners and conns.
	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	wg        sync.WaitGroup
}

// New returns a server that runs until Close or Shutdown.
func New(options Options) *Server {
	server := &Server{options: options, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
	server.ctx, server.cancel = context.WithCancel(context.Background())
	server.wg.Go(server.closeStalledConns)
	return server
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return listener.Close()
	}
	s.listeners[listener] = struct{}{}
	s.mu.Unlock()
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			s.startConn(netConn)
		case errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil:
			return nil
		default:
			_ = s.options.Clock.Sleep(s.ctx, s.options.AcceptRetryDelay)
		}
	}
}

func (s *Server) startConn(netConn net.Conn) {
	c := &conn{server: s, netConn: netConn}
	c.lastReadTick.Store(s.tick.Load())
	s.mu.Lock()
	ok := !s.closed && (s.options.MaxConnections == 0 || len(s.conns) < s.options.MaxConnections)
	if ok {
		s.conns[c] = struct{}{}
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if !ok {
		_ = netConn.Close()
		return
	}
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

func (s *Server) allConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Count returns the number of connections.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) closeStalledConns() {
	for s.options.Clock.Sleep(s.ctx, s.options.Keepalive) == nil {
		now := s.tick.Add(1)
		for _, c := range s.allConns() {
			if writeStart := c.writeStartTick.Load(); now-c.lastReadTick.Load() >= maxSilentTicks ||
				writeStart > 0 && now-(writeStart-1) >= maxSilentTicks {
				_ = c.netConn.Close()
			}
		}
	}
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
}

// Shutdown accepts no more connections, waits for the open ones until ctx ends, and closes the
// rest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	for s.Count() > 0 && s.options.Clock.Sleep(ctx, s.options.Keepalive/shutdownPollDivisor) == nil {
		continue
	}
	return s.Close()
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.stopAccepting()
	s.cancel()
	for _, c := range s.allConns() {
		_ = c.netConn.Close()
	}
	s.wg.Wait()
	return nil
}

// conn is one connection. Its own goroutine reads requests; flush runs in another one while
// responses are pending.
type conn struct {
	server  *Server
	netConn net.Conn
	// lastReadTick is the tick of the last line. writeStartTick is the tick, plus one, at which the
	// write in flight began, and 0 while there is none.
	lastReadTick   atomic.Int64
	writeStartTick atomic.Int64

	// mu guards the fields below up to inFlightSpans.
	mu sync.Mutex
	// pending is what the next write sends, inFlightBytes is the size of the write in flight.
	pending       []byte
	inFlightBytes int
	isWriting     bool
	sessionEnded  bool
	isClosed      bool
	// pendingSpans are the messages with keys in pending. inFlightSpans are those in the bytes that
	// are being written.
	pendingSpans  []messageSpan
	inFlightSpans []messageSpan
	// onDrained, if set, is called when the session has ended and no response is pending.
	onDrained func()
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	clientSession := c.server.options.Sessions.NewSession(c.enqueue)
	if buffered, ok := clientSession.(BufferedSession); ok {
		c.onDrained = buffered.AttachBuffer(c)
	}
	r := bufio.NewReaderSize(c.netConn, readBufferBytes)
	for c.handleRequest(r, clientSession) {
		continue
	}
	clientSession.End()
	c.finish()
}

func (c *conn) handleRequest(r *bufio.Reader, clientSession Session) bool {
	request, err := c.server.options.Codec.ReadRequest(r, c.server.options.BodyLimit())
	c.lastReadTick.Store(c.server.tick.Load())
	if err == nil {
		clientSession.Do(request)
		return true
	}
	var fault *Fault
	if !errors.As(err, &fault) {
		return false
	}
	c.enqueue(session.Response{Type: session.Rejected, InReplyTo: request.Verb, Topic: request.Topic,
		CallSeq: request.CallSeq, Err: fault.Err})
	return fault.Resynced
}

// enqueue adds a response to the pending bytes. A client that leaves too much unread is
// disconnected.
func (c *conn) enqueue(response session.Response) {
	c.mu.Lock()
	if c.sessionEnded || c.isClosed {
		c.mu.Unlock()
		return
	}
	if c.pending == nil {
		c.pending = *bufferPool.Get().(*[]byte)
	}
	spanStart := len(c.pending)
	c.pending = c.server.options.Codec.AppendResponse(c.pending, response)
	if response.Key != "" && response.Type == session.Message {
		c.pendingSpans = append(c.pendingSpans, messageSpan{
			response.Partition, response.Topic, response.Key, response.Offset, spanStart, len(c.pending),
		})
	}
	isOverflow := len(c.pending)+c.inFlightBytes > maxUnwrittenBytes
	if isOverflow {
		c.isClosed = true
		c.pending, c.pendingSpans = nil, nil
	}
	startsWriter := !isOverflow && !c.isWriting
	c.isWriting = c.isWriting || startsWriter
	c.mu.Unlock()
	if isOverflow {
		_ = c.netConn.Close()
	}
	if startsWriter {
		go c.flush()
	}
}

// flush writes the pending bytes until there are none. Bytes that become pending during a write are
// sent by the next one.
func (c *conn) flush() {
	var written []byte
	for {
		c.mu.Lock()
		c.inFlightBytes = 0
		batch := c.pending
		c.pending = nil
		c.pendingSpans, c.inFlightSpans = c.inFlightSpans[:0], c.pendingSpans
		if len(batch) == 0 || c.isClosed {
			c.isWriting = false
			c.inFlightSpans = nil
			sessionEnded, isClosed := c.sessionEnded, c.isClosed
			c.mu.Unlock()
			recycleBuffer(written)
			recycleBuffer(batch)
			if sessionEnded || isClosed {
				_ = c.netConn.Close()
			}
			if sessionEnded {
				c.notifyDrained()
			}
			return
		}
		c.pending = written[:0:cap(written)]
		if cap(written) == 0 || cap(written) > maxPooledBytes {
			c.pending = nil
		}
		written = nil
		c.inFlightBytes = len(batch)
		c.mu.Unlock()
		c.writeStartTick.Store(c.server.tick.Load() + 1)
		_, err := c.netConn.Write(batch)
		c.writeStartTick.Store(0)
		written = batch
		if err != nil {
			c.mu.Lock()
			c.isClosed = true
			c.mu.Unlock()
		}
	}
}

func recycleBuffer(buffer []byte) {
	if cap(buffer) == 0 || cap(buffer) > maxPooledBytes {
		return
	}
	buffer = buffer[:0]
	bufferPool.Put(&buffer)
}

// finish closes the connection once the pending bytes are written.
func (c *conn) finish() {
	c.mu.Lock()
	c.sessionEnded = true
	isDrained := !c.isWriting
	c.mu.Unlock()
	if isDrained {
		_ = c.netConn.Close()
		c.notifyDrained()
	}
}

func (c *conn) notifyDrained() {
	if c.onDrained != nil {
		c.onDrained()
	}
}

// Fault is a line that was rejected. Resynced is set if reading continues at the beginning of the
// next line for certain; otherwise the connection is closed.
type Fault struct {
	Err      error
	Resynced bool
}

// Error returns the text of the cause.
func (f *Fault) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// Malformed returns the fault of a line that can't be parsed.
func Malformed(resynced bool, format string, args ...any) *Fault {
	return &Fault{Err: apierror.New(apierror.Malformed, format, args...), Resynced: resynced}
}
