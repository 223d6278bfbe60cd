package sim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/lineserver"
	"postjunction/internal/node"
)

// socketBytes is what a simulated connection takes of what its reader has not read.
const socketBytes = 4 << 10

// piece is what a socket took in one go, and when.
type piece struct {
	b  []byte
	at time.Time
}

// socket is the machine's end of a visitor's connection: a write waits while the visitor has not
// read what was written before.
type socket struct {
	m    *Machine
	run  int
	mu   sync.Mutex
	in   []byte
	out  []piece
	held int
	over bool
	hung bool
	more chan struct{}
	room chan struct{}
	come chan struct{}
	dead chan struct{}
	once sync.Once
}

func newSocket(m *Machine, run int) *socket {
	return &socket{m: m, run: run, more: make(chan struct{}, 1), room: make(chan struct{}, 1),
		come: make(chan struct{}, 1), dead: make(chan struct{})}
}

// Read gives what the visitor has said.
func (s *socket) Read(b []byte) (int, error) {
	for {
		s.mu.Lock()
		n, hung := copy(b, s.in), s.hung
		s.in = s.in[n:]
		s.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		if hung {
			return 0, io.EOF
		}
		select {
		case <-s.more:
		case <-s.dead:
			return 0, net.ErrClosed
		}
	}
}

// Write takes bytes as the visitor's reading leaves room for them.
func (s *socket) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		s.m.gate()
		if _, run := s.m.node(); run != s.run {
			return done, errGone
		}
		s.mu.Lock()
		if s.over || s.hung {
			s.mu.Unlock()
			return done, net.ErrClosed
		}
		n := min(len(b)-done, socketBytes-s.held)
		if n > 0 {
			s.out = append(s.out, piece{bytes.Clone(b[done : done+n]), time.Now()})
			s.held += n
			done += n
		}
		s.mu.Unlock()
		if n > 0 {
			ring(s.come)
			continue
		}
		select {
		case <-s.room:
		case <-s.dead:
			return done, net.ErrClosed
		}
	}
	return done, nil
}

// Close ends the connection from the machine's side; what it has taken is still read.
func (s *socket) Close() error {
	s.mu.Lock()
	s.over = true
	s.mu.Unlock()
	s.once.Do(func() { close(s.dead) })
	ring(s.come)
	return nil
}

func (s *socket) hang() {
	s.mu.Lock()
	s.hung = true
	s.mu.Unlock()
	ring(s.more)
	ring(s.room)
}

// say hands bytes of the visitor over.
func (s *socket) say(b []byte) {
	s.mu.Lock()
	s.in = append(s.in, b...)
	s.mu.Unlock()
	ring(s.more)
}

// take gives what was written, and whether more may come.
func (s *socket) take() ([]piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := s.out
	s.out, s.held = nil, 0
	ring(s.room)
	return ps, !s.over
}

// LocalAddr is nowhere.
func (s *socket) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr is nowhere.
func (s *socket) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (s *socket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (s *socket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (s *socket) SetWriteDeadline(time.Time) error { return nil }

// lineCodec are tasks and answers as they are, one JSON value a line.
type lineCodec struct{}

type lineResponse struct {
	session.Response
	Err     *apierror.Error
	Failure string
}

const maxLineBytes = 64 << 10

// ReadRequest reads one line as a task.
func (lineCodec) ReadRequest(r *bufio.Reader, _ int) (t session.Request, err error) {
	b, err := lineserver.ReadLine(r, maxLineBytes)
	if err != nil {
		return t, err
	}
	return t, json.Unmarshal(b, &t)
}

// AppendResponse writes an answer as one line.
func (lineCodec) AppendResponse(b []byte, a session.Response) []byte {
	w := lineResponse{Response: a}
	if a.Err != nil {
		w.Err = apierror.From(a.Err)
		w.Failure = a.Err.Error()
	}
	l, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return append(append(b, l...), '\n')
}

func parseResponse(l []byte) session.Response {
	var w lineResponse
	if err := json.Unmarshal(l, &w); err != nil {
		panic(err)
	}
	a := w.Response
	if w.Err != nil {
		w.Err.Cause = errors.New(w.Failure)
		a.Err = w.Err
	}
	return a
}

// connListener is a listener whose connections are handed to it.
type connListener struct {
	c    chan net.Conn
	done chan struct{}
	once sync.Once
}

// Accept waits for the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.c:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listening.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is nowhere.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial gives a connection to the server, nil once it listens no more.
func (l *connListener) dial(s *socket) *socket {
	select {
	case l.c <- s:
		return s
	case <-l.done:
		return nil
	}
}

type sessionRegistry struct{ *session.Registry }

// NewSession begins a visit.
func (h sessionRegistry) NewSession(out session.Sink) lineserver.Session {
	return h.Registry.NewSession(out)
}

// lineServer is what serves visits on a machine's process.
type lineServer struct {
	s *lineserver.Server
	l *connListener
}

const maxBodyBytes = 64 << 10

func (m *Machine) opened(n *node.Node) *lineServer {
	p := &lineServer{l: &connListener{c: make(chan net.Conn), done: make(chan struct{})}}
	p.s = lineserver.New(lineserver.Options{
		Sessions: sessionRegistry{n.Sessions}, Codec: lineCodec{}, Clock: machineClock{m},
		Keepalive: Habits().Keepalive, AcceptRetryDelay: m.w.Site.Timing.MaxBackoff(), BodyLimit: func() int { return maxBodyBytes },
	})
	go func() { _ = p.s.Serve(p.l) }()
	return p
}
