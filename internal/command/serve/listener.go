package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/settings"
)

const (
	// reservedDescriptors are reserved for files.
	reservedDescriptors = 200
	// apiFraction is the divisor for the part of the other descriptors that the HTTP API may use.
	apiFraction = 16
)

// open opens the listener's port. It returns apierror.ResourceInUse while another process uses the
// port, and apierror.SettingsInvalid for any other error.
func (l Listener) open() (net.Listener, error) {
	config := net.ListenConfig{}
	if l.ReapsIdle {
		config.KeepAlive = -1
	}
	port, err := config.Listen(context.Background(), "tcp", l.Address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, apierror.Wrap(apierror.ResourceInUse, err, "%s %s", l.Setting, l.Address)
	}
	return port, apierror.Wrap(apierror.SettingsInvalid, err, "%s %s", l.Setting, l.Address)
}

// connectionLimit returns how many connections may be open at a time, 0 for no limit. The HTTP API
// may use a sixteenth of the descriptors that are not reserved for files. Line connections have a
// limit of their own, and peers have none.
func (l Listener) connectionLimit(descriptors int) int {
	if l.MaxConnections > 0 || descriptors == 0 || l.Setting != "listen" {
		return l.MaxConnections
	}
	return max(1, (descriptors-reservedDescriptors)/apiFraction)
}

// limitConnections immediately closes connections that are accepted beyond limit open ones, so that
// the client tries another node; 0 is no limit.
func limitConnections(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit)}
}

// limitedListener limits the open connections. slots has an entry for each of them.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept returns the next connection that gets a slot.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, listener: l}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	once     sync.Once
	listener *limitedListener
}

// Close closes the connection. The first call frees its slot.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.slots })
	return c.Conn.Close()
}

// supervisor serves listeners until the process ends.
type supervisor struct {
	clock  clock.Clock
	timing settings.Timing
	log    *event.Logger
	// mu guards ended.
	mu    sync.Mutex
	ended bool
}

// serve serves a listener until end is called. If the listener fails its port is opened again.
func (s *supervisor) serve(listener Listener, server Server, port net.Listener) {
	for {
		err := server.Serve(port)
		if err == nil || errors.Is(err, http.ErrServerClosed) || s.hasEnded() {
			return
		}
		s.log.Log(event.ServeFailed,
			"problem", apierror.Wrap(apierror.Internal, err, "serve on %s", listener.Address))
		_ = port.Close()
		if port = s.reopen(listener); port == nil {
			return
		}
	}
}

// reopen opens a listener's port again. It retries after pauses, and returns nil once the process
// ends.
func (s *supervisor) reopen(listener Listener) net.Listener {
	for {
		_ = s.clock.Sleep(context.Background(), s.timing.MaxBackoff())
		if s.hasEnded() {
			return nil
		}
		if port, err := listener.open(); err == nil {
			return port
		}
	}
}

func (s *supervisor) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

func (s *supervisor) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}
