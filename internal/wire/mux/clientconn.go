package mux

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"postjunction/internal/apierror"
)

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
