package mux

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
)

// peer is an address with its connection, or with the dial attempt in progress.
type peer struct {
	network *Network
	addr    string
	mu      sync.Mutex // guards conn and dialing
	conn    *clientConn
	dialing *dialAttempt
}

// dialTimeoutDivisors divide the dial timeout into the timeouts of the attempts. Short attempts
// come first: a machine that was just switched on has missed the packets sent before, and the
// kernel of this machine retransmits them late.
var dialTimeoutDivisors = []time.Duration{10, 10, 10, 10, 10, 2, 1}

type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

func (n *Network) peer(addr string) *peer {
	if p, ok := n.peers.Load(addr); ok {
		return p.(*peer)
	}
	p, _ := n.peers.LoadOrStore(addr, &peer{network: n, addr: addr})
	return p.(*peer)
}

// connect returns the connection to a peer, and opens one if there is none. Concurrent calls wait
// for the same dial.
func (p *peer) connect(ctx context.Context, from string) (*clientConn, error) {
	p.mu.Lock()
	if conn := p.conn; conn != nil {
		p.mu.Unlock()
		if conn.usable() {
			return conn, nil
		}
		p.mu.Lock()
		if p.conn == conn {
			p.conn = nil
		}
	}
	if conn := p.conn; conn != nil {
		p.mu.Unlock()
		return conn, nil
	}
	attempt := p.dialing
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		p.dialing = attempt
		go p.dial(attempt, from)
	}
	p.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) dial(attempt *dialAttempt, from string) {
	options := p.network.options
	dialer := net.Dialer{KeepAlive: -1, Control: func(_, _ string, rawConn syscall.RawConn) error {
		return rawConn.Control(func(fd uintptr) { setSocketOptions(fd, options.Timeouts) })
	}}
	var tcpConn net.Conn
	var err error
	for _, divisor := range dialTimeoutDivisors {
		dialer.Timeout = options.Dial / divisor
		tcpConn, err = dialer.Dial("tcp", p.addr)
		if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	if err != nil {
		attempt.err = apierror.WithCause(apierror.Unreachable, err, "no connection to %s", p.addr)
	} else {
		attempt.conn = newClientConn(p, tcpConn, from)
		p.conn = attempt.conn
	}
	close(attempt.done)
}
