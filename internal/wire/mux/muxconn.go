// Package mux multiplexes concurrent calls over one TCP connection for each pair of nodes and
// direction. Frames are short, and each head is sent once. Responses come in any order. Long bodies
// are sent in chunks, and short messages go between them.
package mux

import (
	"encoding/binary"
	"math"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"postjunction/internal/apierror"
)

// Timeouts are the timeouts of a connection.
type Timeouts struct {
	Dial       time.Duration // limit for the last attempt; all earlier ones together take as long
	CheckAfter time.Duration // time without input after which a connection is checked before reuse
	// KeepaliveAfter is how long a peer with calls in flight may send nothing before it gets a
	// heartbeat. After as long again without input the connection is closed.
	KeepaliveAfter time.Duration
	Unacknowledged time.Duration // limit for sent bytes without a TCP acknowledgement
	Idle           time.Duration // time after which an unused connection is closed
	Handshake      time.Duration // limit for the preface, and for a response that waits for queue space
}

// Options are the timeouts and headers of calls.
type Options struct {
	Timeouts
	Headers    []string // sent with a request or response, besides the deadline
	FromHeader string   // the header with the calling node's name
}

const (
	maxShortQueueBytes   = 1 << 20
	maxLongQueueBytes    = 16 << 20
	notSentLowWater      = 64 << 10
	maxPooledBufferBytes = 64 << 10
	initialBufferBytes   = 2 << 10
	timeoutHeader        = "Connect-Timeout-Ms"
)

var (
	errUnsent    = apierror.New(apierror.Unreachable, "the connection closed before the call was sent")
	errQueueFull = apierror.New(apierror.Unreachable, "the send queue of the connection is full")
	errClosed    = apierror.New(apierror.Unreachable, "the connection was closed by this node")
)

type frameBuffer struct{ data []byte }

var bufferPool = sync.Pool{New: func() any { return &frameBuffer{make([]byte, 0, initialBufferBytes)} }}

func (b *frameBuffer) release() {
	if cap(b.data) <= maxPooledBufferBytes {
		b.data = b.data[:0]
		bufferPool.Put(b)
	}
}

// message is a request or response that is being sent. The mutex of its connection guards it.
type message struct {
	kind       byte
	id         uint64
	timeoutMS  uint64
	head       []byte
	body       []byte
	offset     int    // of the next chunk in body
	firstWrite uint64 // the write with the first frame, math.MaxUint64 until there is one
	dropped    bool   // its sender does not wait for it any more
	isLong     bool   // sent in chunks and not completely sent
}

// muxConn is the part that both sides of a connection have in common: the send queue and its
// writer.
type muxConn struct {
	conn    net.Conn
	rawConn syscall.RawConn
	onClose func(error)

	// mu guards the fields up to spaceFreed, and the calls and counts of the embedding connection.
	mu             sync.Mutex
	err            error        // why the connection was closed, nil while it is open
	shortFrames    *frameBuffer // queued frames, nil for none
	longMessages   []*message
	onSent         func(*message) // called when a long message is completely sent
	longQueueBytes int            // unsent bytes of longMessages
	writing        bool           // a goroutine is writing
	callCount      int
	nextWrite      uint64 // number of the next write
	lastWrite      uint64 // number of the last write of which bytes may have been sent
	headNumbers    map[string]uint64
	spaceFreed     chan struct{} // closed at the next write, nil when nothing waits for space

	writeCount atomic.Uint64

	// The goroutine that set writing uses the fields below.
	attempted []byte
	written   int
	writeErr  error
	tryWrite  func(fd uintptr) bool
}

func (c *muxConn) init(conn net.Conn, onClose func(error)) {
	c.conn, c.onClose, c.nextWrite, c.headNumbers = conn, onClose, 1, map[string]uint64{}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = syscallConn.SyscallConn()
	}
	c.tryWrite = func(fd uintptr) bool {
		for {
			n, err := unix.Write(int(fd), c.attempted)
			if err == unix.EINTR {
				continue
			}
			c.written, c.writeErr = max(n, 0), nil
			if err != nil && err != unix.EAGAIN {
				c.writeErr = err
			}
			return true
		}
	}
}

func setSocketOptions(fd uintptr, timeouts Timeouts) {
	_ = unix.SetsockoptInt(
		int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeouts.Unacknowledged.Milliseconds()),
	)
	_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, notSentLowWater)
}

// enqueue adds a message to the send queue. The caller holds mu.
func (c *muxConn) enqueue(msg *message) error {
	if c.err != nil {
		return errUnsent
	}
	if len(msg.body) > chunkBytes {
		if c.longQueueBytes > 0 && c.longQueueBytes+len(msg.body) > maxLongQueueBytes {
			return errQueueFull
		}
		msg.firstWrite, msg.offset, msg.isLong = math.MaxUint64, 0, true
		c.longQueueBytes += len(msg.body)
		c.longMessages = append(c.longMessages, msg)
		return nil
	}
	buffer := c.shortBuffer()
	if len(buffer.data) > 0 && len(buffer.data)+len(msg.body) > maxShortQueueBytes {
		return errQueueFull
	}
	msg.firstWrite = c.nextWrite
	buffer.data = c.appendOpen(buffer.data, msg, msg.body, false)
	return nil
}

// dequeue marks a message as dropped, and removes it from the queue if it is not completely sent.
// The caller holds mu.
func (c *muxConn) dequeue(msg *message) {
	msg.dropped = true
	if !msg.isLong {
		return
	}
	if i := slices.Index(c.longMessages, msg); i >= 0 {
		c.longMessages = slices.Delete(c.longMessages, i, i+1)
		c.longQueueBytes -= len(msg.body) - msg.offset
	}
	msg.isLong = false
}

// enqueueControl adds a frame without a head to the queue, if there is space. The caller holds mu.
func (c *muxConn) enqueueControl(kind byte, id uint64, payload string) {
	if buffer := c.shortBuffer(); c.err == nil && len(buffer.data) <= maxShortQueueBytes {
		buffer.data = append(appendFrameHeader(buffer.data, kind, id, len(payload)), payload...)
	}
}

// shortBuffer returns the buffer of queued short frames. The caller holds mu.
func (c *muxConn) shortBuffer() *frameBuffer {
	if c.shortFrames == nil {
		c.shortFrames = bufferPool.Get().(*frameBuffer)
	}
	return c.shortFrames
}

// appendOpen appends the first frame of a message, after a frame that defines its head when the
// head is new. The caller holds mu.
func (c *muxConn) appendOpen(b []byte, msg *message, body []byte, hasMore bool) []byte {
	headNumber, ok := c.headNumbers[string(msg.head)]
	if !ok && len(c.headNumbers) < maxHeads {
		headNumber = uint64(len(c.headNumbers) + 1)
		c.headNumbers[string(msg.head)] = headNumber
		b = append(appendFrameHeader(b, kindHead, headNumber, len(msg.head)), msg.head...)
	}
	var scratch [4 * binary.MaxVarintLen64]byte
	fields := binary.AppendUvarint(binary.AppendUvarint(scratch[:0], headNumber), msg.timeoutMS)
	if hasMore {
		fields = binary.AppendUvarint(fields, uint64(len(msg.body)))
	}
	var inlineHead []byte
	if headNumber == 0 {
		fields, inlineHead = binary.AppendUvarint(fields, uint64(len(msg.head))), msg.head
	}
	kind := msg.kind
	if hasMore {
		kind |= moreFlag
	}
	b = appendFrameHeader(b, kind, msg.id, len(fields)+len(inlineHead)+len(body))
	return append(append(append(b, fields...), inlineHead...), body...)
}

// takeWrite returns the bytes of the next write, nil when the queue is empty: all short frames and
// one chunk of one long message. The caller holds mu.
func (c *muxConn) takeWrite() *frameBuffer {
	if c.err != nil || c.shortFrames == nil && len(c.longMessages) == 0 {
		return nil
	}
	buffer := c.shortBuffer()
	c.shortFrames = nil
	if len(c.longMessages) > 0 {
		msg := c.longMessages[0]
		c.longMessages = slices.Delete(c.longMessages, 0, 1)
		end := min(msg.offset+chunkBytes, len(msg.body))
		part, hasMore := msg.body[msg.offset:end], end < len(msg.body)
		if msg.offset == 0 {
			msg.firstWrite = c.nextWrite
			buffer.data = c.appendOpen(buffer.data, msg, part, hasMore)
		} else {
			kind := byte(kindData)
			if hasMore {
				kind |= moreFlag
			}
			buffer.data = append(appendFrameHeader(buffer.data, kind, msg.id, len(part)), part...)
		}
		msg.offset = end
		c.longQueueBytes -= len(part)
		switch {
		case hasMore:
			c.longMessages = append(c.longMessages, msg)
		default:
			msg.isLong = false
			if c.onSent != nil {
				c.onSent(msg)
			}
		}
	}
	c.lastWrite = c.nextWrite
	c.nextWrite++
	if c.spaceFreed != nil {
		close(c.spaceFreed)
		c.spaceFreed = nil
	}
	return buffer
}

// flushAndUnlock starts the write of all queued messages, and unlocks mu, which the caller holds.
// One goroutine writes at a time. The first one tries one write without blocking, which includes
// the messages that others queued meanwhile. Another goroutine writes the rest. If the connection
// has several calls, the first one yields once before its write, so that the write includes their
// messages.
func (c *muxConn) flushAndUnlock() {
	if c.writing || c.err != nil {
		c.mu.Unlock()
		return
	}
	c.writing = true
	if c.callCount > 1 {
		c.mu.Unlock()
		runtime.Gosched()
		c.mu.Lock()
	}
	buffer := c.takeWrite()
	if buffer == nil {
		c.writing = false
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	if c.rawConn == nil {
		go c.writeLoop(buffer, 0)
		return
	}
	c.attempted = buffer.data
	c.writeCount.Add(1)
	err := c.rawConn.Write(c.tryWrite)
	c.attempted = nil
	if err != nil {
		c.written, c.writeErr = 0, err
	}
	if c.writeErr != nil {
		c.writeFailed(c.written, c.writeErr)
		return
	}
	written := c.written
	if written == len(buffer.data) {
		c.mu.Lock()
		if c.shortFrames == nil && len(c.longMessages) == 0 {
			c.writing = false
			c.mu.Unlock()
			buffer.release()
			return
		}
		c.mu.Unlock()
	}
	go c.writeLoop(buffer, written)
}

// writeLoop writes the rest of a buffer, and then queued messages until there are none.
func (c *muxConn) writeLoop(buffer *frameBuffer, written int) {
	for buffer != nil {
		if written < len(buffer.data) {
			c.writeCount.Add(1)
			if count, err := c.conn.Write(buffer.data[written:]); err != nil {
				c.writeFailed(written+count, err)
				return
			}
		}
		buffer.release()
		c.mu.Lock()
		buffer, written = c.takeWrite(), 0
		c.writing = buffer != nil
		c.mu.Unlock()
	}
}

// writeFailed closes the connection after a write that failed. When no byte of it was written, its
// messages count as unsent, so that their calls may be retried.
func (c *muxConn) writeFailed(written int, err error) {
	if written == 0 {
		c.mu.Lock()
		c.lastWrite--
		c.mu.Unlock()
	}
	c.fail(err, false)
}

// fail closes the connection, once. reset drops the data that the kernel has not sent yet.
func (c *muxConn) fail(err error, reset bool) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	c.longMessages, c.longQueueBytes = nil, 0
	if c.spaceFreed != nil {
		close(c.spaceFreed)
		c.spaceFreed = nil
	}
	c.mu.Unlock()
	if tcpConn, ok := c.conn.(*net.TCPConn); ok && reset {
		_ = tcpConn.SetLinger(0)
	}
	_ = c.conn.Close()
	c.onClose(err)
}
