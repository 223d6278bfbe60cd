package mux

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

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
