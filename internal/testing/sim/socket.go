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

// socketBufferBytes is how many unread bytes a simulated connection buffers.
const socketBufferBytes = 4 << 10

// chunk is the data that a socket accepted in one write, and when.
type chunk struct {
	data      []byte
	writtenAt time.Time
}

// socket is the server's end of a client's connection. A write waits while the buffer is full of
// bytes that the client has not read.
type socket struct {
	machine *Machine
	run     int
	// mu guards toServer, toClient, unread, closedByServer and closedByClient.
	mu             sync.Mutex
	toServer       []byte
	toClient       []chunk
	unread         int
	closedByServer bool
	closedByClient bool
	inputReady     chan struct{}
	spaceReady     chan struct{}
	outputReady    chan struct{}
	closed         chan struct{}
	once           sync.Once
}

func newSocket(m *Machine, run int) *socket {
	return &socket{machine: m, run: run, inputReady: make(chan struct{}, 1), spaceReady: make(chan struct{}, 1),
		outputReady: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Read returns what the client has sent.
func (s *socket) Read(b []byte) (int, error) {
	for {
		s.mu.Lock()
		n, closed := copy(b, s.toServer), s.closedByClient
		s.toServer = s.toServer[n:]
		s.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		select {
		case <-s.inputReady:
		case <-s.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write accepts bytes as fast as the client's reading frees space in the buffer.
func (s *socket) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		s.machine.waitWhileFrozen()
		if _, run := s.machine.node(); run != s.run {
			return written, errProcessEnded
		}
		s.mu.Lock()
		if s.closedByServer || s.closedByClient {
			s.mu.Unlock()
			return written, net.ErrClosed
		}
		n := min(len(b)-written, socketBufferBytes-s.unread)
		if n > 0 {
			s.toClient = append(s.toClient, chunk{bytes.Clone(b[written : written+n]), time.Now()})
			s.unread += n
			written += n
		}
		s.mu.Unlock()
		if n > 0 {
			signal(s.outputReady)
			continue
		}
		select {
		case <-s.spaceReady:
		case <-s.closed:
			return written, net.ErrClosed
		}
	}
	return written, nil
}

// Close closes the connection from the server's side. The client can read what is buffered.
func (s *socket) Close() error {
	s.mu.Lock()
	s.closedByServer = true
	s.mu.Unlock()
	s.once.Do(func() { close(s.closed) })
	signal(s.outputReady)
	return nil
}

func (s *socket) closeFromClient() {
	s.mu.Lock()
	s.closedByClient = true
	s.mu.Unlock()
	signal(s.inputReady)
	signal(s.spaceReady)
}

// deliver appends bytes that the client has sent.
func (s *socket) deliver(b []byte) {
	s.mu.Lock()
	s.toServer = append(s.toServer, b...)
	s.mu.Unlock()
	signal(s.inputReady)
}

// drain returns the buffered chunks, and whether more may follow.
func (s *socket) drain() ([]chunk, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks := s.toClient
	s.toClient, s.unread = nil, 0
	signal(s.spaceReady)
	return chunks, !s.closedByServer
}

// LocalAddr returns an empty address.
func (s *socket) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address.
func (s *socket) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (s *socket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (s *socket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (s *socket) SetWriteDeadline(time.Time) error { return nil }

// lineCodec encodes requests and responses as they are, one JSON value per line.
type lineCodec struct{}

type lineResponse struct {
	session.Response
	Err     *apierror.Error
	Failure string
}

const maxLineBytes = 64 << 10

// ReadRequest reads one line as a request.
func (lineCodec) ReadRequest(r *bufio.Reader, _ int) (request session.Request, err error) {
	line, err := lineserver.ReadLine(r, maxLineBytes)
	if err != nil {
		return request, err
	}
	return request, json.Unmarshal(line, &request)
}

// AppendResponse appends a response as one line.
func (lineCodec) AppendResponse(b []byte, response session.Response) []byte {
	encoded := lineResponse{Response: response}
	if response.Err != nil {
		encoded.Err = apierror.From(response.Err)
		encoded.Failure = response.Err.Error()
	}
	line, err := json.Marshal(encoded)
	if err != nil {
		panic(err)
	}
	return append(append(b, line...), '\n')
}

func parseResponse(line []byte) session.Response {
	var parsed lineResponse
	if err := json.Unmarshal(line, &parsed); err != nil {
		panic(err)
	}
	response := parsed.Response
	if parsed.Err != nil {
		parsed.Err.Cause = errors.New(parsed.Failure)
		response.Err = parsed.Err
	}
	return response
}

// connListener is a listener that accepts the connections passed to dial.
type connListener struct {
	connections chan net.Conn
	done        chan struct{}
	once        sync.Once
}

// Accept waits for the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops the listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an empty address.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial passes a connection to the server. It returns nil once the listener is closed.
func (l *connListener) dial(s *socket) *socket {
	select {
	case l.connections <- s:
		return s
	case <-l.done:
		return nil
	}
}

type sessionRegistry struct{ *session.Registry }

// NewSession starts a client session.
func (r sessionRegistry) NewSession(out session.Sink) lineserver.Session {
	return r.Registry.NewSession(out)
}

// lineServer serves line sessions for a machine's process.
type lineServer struct {
	server   *lineserver.Server
	listener *connListener
}

const maxBodyBytes = 64 << 10

func (m *Machine) newLineServer(process *node.Node) *lineServer {
	lines := &lineServer{listener: &connListener{connections: make(chan net.Conn), done: make(chan struct{})}}
	lines.server = lineserver.New(lineserver.Options{
		Sessions: sessionRegistry{process.Sessions}, Codec: lineCodec{}, Clock: machineClock{m},
		Keepalive: Habits().Keepalive, AcceptRetryDelay: m.world.Site.Timing.MaxBackoff(),
		BodyLimit: func() int { return maxBodyBytes },
	})
	go func() { _ = lines.server.Serve(lines.listener) }()
	return lines
}
