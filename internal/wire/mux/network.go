package mux

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	keepaliveTicks = 2 // timer ticks in KeepaliveAfter
)

// Network sends calls to peers over one connection each. A connection is opened at the first call
// and stays open while it is used.
type Network struct {
	options        Options
	peers          sync.Map
	pendingCalls   atomic.Int64
	timerMu        sync.Mutex // guards timerArmed and the setting of keepaliveTimer
	timerArmed     bool
	keepaliveTimer *time.Timer
	started        time.Time

	mu          sync.Mutex // guards connections and the setting of idleTimer
	connections map[*clientConn]struct{}
	idleTimer   *time.Timer
}

// New returns a network without connections.
func New(options Options) *Network {
	n := &Network{options: options, started: time.Now(), connections: map[*clientConn]struct{}{}}
	n.keepaliveTimer = time.AfterFunc(options.KeepaliveAfter, n.tick)
	n.keepaliveTimer.Stop()
	n.idleTimer = time.AfterFunc(options.Idle, n.closeIdle)
	n.idleTimer.Stop()
	return n
}

// Close closes all connections. Calls in flight fail.
func (n *Network) Close() {
	for _, c := range n.allConnections() {
		c.fail(errClosed, false)
	}
}

func (n *Network) allConnections() []*clientConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	connections := make([]*clientConn, 0, len(n.connections))
	for c := range n.connections {
		connections = append(connections, c)
	}
	return connections
}

func (n *Network) add(c *clientConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections[c] = struct{}{}; len(n.connections) == 1 {
		n.idleTimer.Reset(n.options.Idle)
	}
}

func (n *Network) remove(c *clientConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if delete(n.connections, c); len(n.connections) == 0 {
		n.idleTimer.Stop()
	}
}

// addPending adds delta to the number of pending calls. The keepalive timer runs while there are
// any.
func (n *Network) addPending(delta int64) {
	if pending := n.pendingCalls.Add(delta); pending == 0 || pending == delta {
		n.updateTimer(false)
	}
}

// updateTimer starts or stops the keepalive timer as pending calls need it. fired says that the
// timer has just fired.
func (n *Network) updateTimer(fired bool) {
	n.timerMu.Lock()
	defer n.timerMu.Unlock()
	if fired {
		n.timerArmed = false
	}
	needed := n.pendingCalls.Load() > 0
	switch {
	case needed && !n.timerArmed:
		n.keepaliveTimer.Reset(n.options.KeepaliveAfter / keepaliveTicks)
	case !needed && n.timerArmed:
		n.keepaliveTimer.Stop()
	}
	n.timerArmed = needed
}

// tick sends heartbeats to silent peers with calls in flight, and closes the connections of peers
// that stayed silent after one.
func (n *Network) tick() {
	for _, c := range n.allConnections() {
		c.tick()
	}
	n.updateTimer(true)
}

// closeIdle closes the connections without calls that were not used since its last run.
func (n *Network) closeIdle() {
	for _, c := range n.allConnections() {
		c.mu.Lock()
		isIdle := !c.used && len(c.calls) == 0 && !c.writing
		c.used = false
		c.mu.Unlock()
		if isIdle {
			c.fail(errClosed, false)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.connections) > 0 {
		n.idleTimer.Reset(n.options.Idle)
	}
}

// Do sends a request to the peer at the URL's address and returns its response. A call that failed
// unsent is retried once. Errors are Unreachable, Oversize, Internal or those of the context.
func (n *Network) Do(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	call := callPool.Get().(*clientCall)
	defer func() {
		call.responseHead, call.responseBody, call.head = nil, nil, nil
		if cap(call.body) > maxPooledBufferBytes {
			call.body = nil
		}
		callPool.Put(call)
	}()
	if err := call.load(request, n.options.Headers); err != nil {
		return nil, err
	}
	from := request.Header.Get(n.options.FromHeader)
	target := n.peer(request.URL.Host)
	for retried := false; ; retried = true {
		conn, err := target.connect(ctx, from)
		if err == nil {
			err = conn.roundTrip(ctx, call)
		}
		switch {
		case err == errUnsent && !retried:
			continue
		case err != nil:
			return nil, err
		}
		return call.response(request)
	}
}
