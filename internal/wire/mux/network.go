package mux

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"postjunction/internal/apierror"
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

// clientCall is a request whose response is pending.
type clientCall struct {
	message
	done         chan struct{}
	responseHead *head
	responseBody []byte
	err          error
	headBuffer   [512]byte
}

var callPool = sync.Pool{New: func() any { return &clientCall{done: make(chan struct{}, 1)} }}

// clientConn is the end of a connection that this node opened. awaited says that calls were in
// flight at the last tick. silentTicks counts the ticks in a row with calls in flight and no input.
type clientConn struct {
	muxConn
	network      *Network
	peer         *peer
	calls        map[uint64]*clientCall
	lastID       uint64
	used         bool
	awaited      bool
	silentTicks  int
	received     atomic.Bool
	lastReceived atomic.Int64
}

func newClientConn(p *peer, tcpConn net.Conn, from string) *clientConn {
	c := &clientConn{network: p.network, peer: p, calls: map[uint64]*clientCall{}}
	c.init(tcpConn, c.failCalls)
	buffer := c.shortBuffer()
	buffer.data = AppendPreface(buffer.data, from)
	c.lastReceived.Store(int64(time.Since(p.network.started)))
	p.network.add(c)
	go c.readLoop()
	return c
}

// usable reports whether a connection can take a call. A connection without calls and without
// recent input is checked with a read that doesn't block: its peer may have restarted while this
// process did not run.
func (c *clientConn) usable() bool {
	c.mu.Lock()
	ok, isUnused := c.err == nil, len(c.calls) == 0 && !c.writing
	c.mu.Unlock()
	if !ok || !isUnused ||
		time.Since(c.network.started)-time.Duration(c.lastReceived.Load()) < c.network.options.CheckAfter ||
		c.rawConn == nil {
		return ok
	}
	_ = c.rawConn.Control(func(fd uintptr) {
		var probe [1]byte
		n, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = n > 0 || err == unix.EAGAIN || err == unix.EINTR
	})
	if !ok {
		c.fail(io.EOF, false)
	}
	return ok
}

// tick counts a tick without input, and sends a heartbeat or closes the connection when it is due.
func (c *clientConn) tick() {
	c.mu.Lock()
	wasAwaited := c.awaited
	if c.awaited = len(c.calls) > 0; c.received.Swap(false) || !c.awaited || !wasAwaited {
		c.silentTicks = 0
		c.mu.Unlock()
		return
	}
	c.silentTicks++
	switch {
	case c.silentTicks == keepaliveTicks:
		c.enqueueControl(kindHeartbeat, 0, "")
		c.flushAndUnlock()
	case c.silentTicks >= 2*keepaliveTicks:
		c.mu.Unlock()
		c.fail(apierror.New(apierror.Unreachable, "%s did not answer a heartbeat", c.peer.addr), true)
	default:
		c.mu.Unlock()
	}
}

// failCalls removes a connection that was closed and fails all its calls. Calls whose first frame
// was in no write of which bytes were sent fail with errUnsent.
func (c *clientConn) failCalls(err error) {
	c.network.remove(c)
	c.peer.mu.Lock()
	if c.peer.conn == c {
		c.peer.conn = nil
	}
	c.peer.mu.Unlock()
	c.mu.Lock()
	pending := c.calls
	c.calls = map[uint64]*clientCall{}
	for _, call := range pending {
		call.err = apierror.WithCause(apierror.Unreachable, err, "the connection to %s failed", c.peer.addr)
		if call.firstWrite > c.lastWrite {
			call.err = errUnsent
		}
	}
	c.mu.Unlock()
	for _, call := range pending {
		call.done <- struct{}{}
	}
}

func (c *clientConn) readLoop() {
	r := bufio.NewReaderSize(c.conn, readBufferBytes)
	var f frame
	var heads headTable
	for {
		err := f.read(r)
		if err == nil {
			c.received.Store(true)
			c.lastReceived.Store(int64(time.Since(c.network.started)))
			err = c.handleFrame(&f, &heads)
		}
		if err != nil {
			c.fail(err, false)
			return
		}
	}
}

func (c *clientConn) handleFrame(f *frame, heads *headTable) error {
	switch f.kind {
	case kindHead:
		return heads.define(f)
	case kindOpen:
		fields, body, err := f.parseOpen()
		if err != nil {
			return err
		}
		responseHead, err := heads.lookup(fields)
		if err != nil {
			return err
		}
		return c.addResponse(f, responseHead, body, fields.initialCapacity())
	case kindData:
		return c.addResponse(f, nil, f.body, 0)
	case kindAbort:
		c.mu.Lock()
		call := c.calls[f.id]
		c.removeCall(call)
		c.mu.Unlock()
		if call != nil {
			call.err = apierror.New(apierror.Unreachable, "%s aborted the call: %s", c.peer.addr, f.body)
			call.done <- struct{}{}
		}
		return nil
	case kindEcho:
		return nil
	}
	return protocolError("unexpected frame kind %d in a response stream", f.kind)
}

// addResponse adds body to the response of a call, and ends the call when it is complete.
// responseHead is nil for all frames but the first.
func (c *clientConn) addResponse(f *frame, responseHead *head, body []byte, capacity int) error {
	c.mu.Lock()
	call := c.calls[f.id]
	if call == nil {
		c.mu.Unlock()
		return nil
	}
	if responseHead != nil {
		call.responseHead = responseHead
	}
	switch {
	case call.responseHead == nil:
		c.mu.Unlock()
		return protocolError("a response has no head")
	case len(call.responseBody)+len(body) > maxBodyBytes:
		c.mu.Unlock()
		return protocolError("a response has more than %d bytes", maxBodyBytes)
	case call.responseBody == nil && !f.more:
		call.responseBody = f.stableBytes(body)
	case call.responseBody == nil:
		call.responseBody = append(make([]byte, 0, capacity), body...)
	default:
		call.responseBody = append(call.responseBody, body...)
	}
	if f.more {
		c.mu.Unlock()
		return nil
	}
	c.removeCall(call)
	c.mu.Unlock()
	call.done <- struct{}{}
	return nil
}

// removeCall removes a call, which may be nil, from the connection. The caller holds mu.
func (c *clientConn) removeCall(call *clientCall) {
	if call != nil {
		c.dequeue(&call.message)
		delete(c.calls, call.id)
		c.callCount = len(c.calls)
	}
}

// roundTrip sends a call and waits for its response or the end of ctx, which cancels the call at
// the peer.
func (c *clientConn) roundTrip(ctx context.Context, call *clientCall) error {
	c.mu.Lock()
	c.lastID++
	call.id, call.offset, call.isLong, call.dropped,
		call.responseHead, call.responseBody, call.err = c.lastID, 0, false, false, nil, nil, nil
	if err := c.enqueue(&call.message); err != nil {
		c.mu.Unlock()
		return err
	}
	c.calls[call.id], c.used = call, true
	c.callCount = len(c.calls)
	c.flushAndUnlock()
	c.network.addPending(1)
	defer c.network.addPending(-1)
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	if c.calls[call.id] != call {
		c.mu.Unlock()
		<-call.done
		return call.err
	}
	sent := call.firstWrite != math.MaxUint64
	c.removeCall(call)
	if sent {
		c.enqueueControl(kindCancel, call.id, "")
		c.flushAndUnlock()
	} else {
		c.mu.Unlock()
	}
	return ctx.Err()
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

// load copies the path, headers, timeout and body of a request into a call.
func (c *clientCall) load(request *http.Request, headerNames []string) error {
	c.kind, c.timeoutMS = kindOpen, 0
	c.head = appendPrefixed(c.headBuffer[:0], request.URL.Path)
	c.head = appendHeaders(c.head, request.Header, headerNames)
	if len(c.head) > maxHeadBytes {
		return apierror.New(apierror.Oversize, "request headers have %d bytes", len(c.head))
	}
	if values := request.Header[timeoutHeader]; len(values) == 1 {
		c.timeoutMS, _ = strconv.ParseUint(values[0], 10, 63)
	}
	c.body = c.body[:0]
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	defer func() { _ = request.Body.Close() }()
	if request.ContentLength > maxBodyBytes {
		return apierror.New(apierror.Oversize, "the request has %d bytes", request.ContentLength)
	}
	if length := int(request.ContentLength); length > 0 {
		if cap(c.body) < length {
			c.body = make([]byte, length)
		}
		c.body = c.body[:length]
		_, err := io.ReadFull(request.Body, c.body)
		return apierror.Wrap(apierror.Internal, err, "read the request body")
	}
	content, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
	if c.body = content; len(content) > maxBodyBytes {
		return apierror.New(apierror.Oversize, "the request has more than %d bytes", maxBodyBytes)
	}
	return apierror.Wrap(apierror.Internal, err, "read the request body")
}

func appendHeaders(b []byte, header http.Header, names []string) []byte {
	for _, name := range names {
		if values := header[name]; len(values) == 1 {
			b = appendPrefixed(appendPrefixed(b, name), values[0])
		}
	}
	return b
}

func (h *head) header(extra int) http.Header {
	header := make(http.Header, len(h.pairs)/2+extra)
	for i := 0; i < len(h.pairs); i += 2 {
		header[h.pairs[i]] = h.pairs[i+1 : i+2 : i+2]
	}
	return header
}

type bodyReader struct{ bytes.Reader }

// Close does nothing.
func (*bodyReader) Close() error { return nil }

func (c *clientCall) response(request *http.Request) (*http.Response, error) {
	status, err := strconv.Atoi(c.responseHead.pathOrStatus)
	if err != nil {
		return nil, apierror.WithCause(
			apierror.Unreachable, err, "the response has status %q", c.responseHead.pathOrStatus,
		)
	}
	content := &bodyReader{}
	content.Reset(c.responseBody)
	return &http.Response{
		Status: c.responseHead.pathOrStatus, StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.responseHead.header(0), Body: content, ContentLength: int64(len(c.responseBody)), Request: request,
	}, nil
}
