package mux

import (
	"bufio"
	"context"
	"log"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"time"
)

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
