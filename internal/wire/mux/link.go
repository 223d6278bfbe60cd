// Package mux carries many calls at a time over one TCP connection for each pair of nodes and
// direction: short frames, heads sent once, answers in any order, long bodies in pieces between
// which short ones go through.
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

// Timeouts are the bounds of a connection.
type Timeouts struct {
	Dial       time.Duration // of the longest attempt, the last; all others together take as long
	CheckAfter time.Duration // after which a connection is looked at before it is used again
	// KeepaliveAfter is the time after which a peer that owes answers is asked for a sign of life; after as
	// long again it is given up.
	KeepaliveAfter time.Duration
	Unacknowledged time.Duration // the longest that sent bytes stay without a receipt of the peer's machine
	Idle           time.Duration // after which an unused connection is closed
	Handshake      time.Duration // in which a connection must say who it is
}

// Options say how calls are carried.
type Options struct {
	Timeouts
	Headers    []string // that go with a task or an answer, besides the deadline
	FromHeader string   // the header with the caller's name
}

const (
	mostSmall  = 1 << 20
	mostBulk   = 16 << 20
	unsentMost = 64 << 10
	bufferMost = 64 << 10
	buffer     = 2 << 10
	timeout    = "Connect-Timeout-Ms"
)

var (
	errUnsent = apierror.New(apierror.Unreachable, "the connection closed before the call was sent")
	errFull   = apierror.New(apierror.Unreachable, "too much waits to be sent")
	errClosed = apierror.New(apierror.Unreachable, "closed on this side")
)

type buf struct{ b []byte }

var buffers = sync.Pool{New: func() any { return &buf{make([]byte, 0, buffer)} }}

func (b *buf) put() {
	if cap(b.b) <= bufferMost {
		b.b = b.b[:0]
		buffers.Put(b)
	}
}

// parcel is a task or an answer on its way out; the lock of its link guards it.
type parcel struct {
	kind    byte
	id      uint64
	wait    uint64
	head    []byte
	body    []byte
	at      int
	batch   uint64
	dropped bool
	big     bool
}

// link is what both sides of a connection have in common: the way out.
type link struct {
	c    net.Conn
	raw  syscall.RawConn
	gone func(error)

	mu    sync.Mutex
	err   error
	small *buf
	big   []*parcel
	sent  func(*parcel)
	bulk  int
	busy  bool
	crowd int
	next  uint64
	out   uint64
	heads map[string]uint64
	room  chan struct{}

	writes atomic.Uint64
	tried  []byte
	done   int
	failed error
	try    func(fd uintptr) bool
}

func (l *link) init(c net.Conn, gone func(error)) {
	l.c, l.gone, l.next, l.heads = c, gone, 1, map[string]uint64{}
	if s, ok := c.(syscall.Conn); ok {
		l.raw, _ = s.SyscallConn()
	}
	l.try = func(fd uintptr) bool {
		for {
			n, err := unix.Write(int(fd), l.tried)
			if err == unix.EINTR {
				continue
			}
			l.done, l.failed = max(n, 0), nil
			if err != nil && err != unix.EAGAIN {
				l.failed = err
			}
			return true
		}
	}
}

func tune(fd uintptr, t Timeouts) {
	_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(t.Unacknowledged.Milliseconds()))
	_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentMost)
}

// queue takes a parcel; the lock is held.
func (l *link) queue(p *parcel) error {
	if l.err != nil {
		return errUnsent
	}
	if len(p.body) > chunk {
		if l.bulk > 0 && l.bulk+len(p.body) > mostBulk {
			return errFull
		}
		p.batch, p.at, p.big = math.MaxUint64, 0, true
		l.bulk += len(p.body)
		l.big = append(l.big, p)
		return nil
	}
	b := l.begin()
	if len(b.b) > 0 && len(b.b)+len(p.body) > mostSmall {
		return errFull
	}
	p.batch = l.next
	b.b = l.open(b.b, p, p.body, false)
	return nil
}

// forget takes a parcel that is not through yet out of the queue; the lock is held.
func (l *link) forget(p *parcel) {
	p.dropped = true
	if !p.big {
		return
	}
	if i := slices.Index(l.big, p); i >= 0 {
		l.big = slices.Delete(l.big, i, i+1)
		l.bulk -= len(p.body) - p.at
	}
	p.big = false
}

// say queues a frame without a head; the lock is held.
func (l *link) say(kind byte, id uint64, text string) {
	if b := l.begin(); l.err == nil && len(b.b) <= mostSmall {
		b.b = append(start(b.b, kind, id, len(text)), text...)
	}
}

func (l *link) begin() *buf {
	if l.small == nil {
		l.small = buffers.Get().(*buf)
	}
	return l.small
}

func (l *link) open(b []byte, p *parcel, body []byte, rest bool) []byte {
	n, ok := l.heads[string(p.head)]
	if !ok && len(l.heads) < mostHeads {
		n = uint64(len(l.heads) + 1)
		l.heads[string(p.head)] = n
		b = append(start(b, kindHead, n, len(p.head)), p.head...)
	}
	var t [4 * binary.MaxVarintLen64]byte
	o := binary.AppendUvarint(binary.AppendUvarint(t[:0], n), p.wait)
	if rest {
		o = binary.AppendUvarint(o, uint64(len(p.body)))
	}
	var inline []byte
	if n == 0 {
		o, inline = binary.AppendUvarint(o, uint64(len(p.head))), p.head
	}
	k := p.kind
	if rest {
		k |= more
	}
	b = start(b, k, p.id, len(o)+len(inline)+len(body))
	return append(append(append(b, o...), inline...), body...)
}

// take gives what is to be written next, nil for nothing: all that is short, and one piece of what
// is long. The lock is held.
func (l *link) take() *buf {
	if l.err != nil || l.small == nil && len(l.big) == 0 {
		return nil
	}
	b := l.begin()
	l.small = nil
	if len(l.big) > 0 {
		p := l.big[0]
		l.big = slices.Delete(l.big, 0, 1)
		end := min(p.at+chunk, len(p.body))
		x, rest := p.body[p.at:end], end < len(p.body)
		if p.at == 0 {
			p.batch = l.next
			b.b = l.open(b.b, p, x, rest)
		} else {
			k := byte(kindData)
			if rest {
				k |= more
			}
			b.b = append(start(b.b, k, p.id, len(x)), x...)
		}
		p.at = end
		l.bulk -= len(x)
		switch {
		case rest:
			l.big = append(l.big, p)
		default:
			p.big = false
			if l.sent != nil {
				l.sent(p)
			}
		}
	}
	l.out = l.next
	l.next++
	if l.room != nil {
		close(l.room)
		l.room = nil
	}
	return b
}

// kick sees to it that what waits is written, and gives the lock back. One goroutine writes at a
// time: whoever comes first tries once without waiting, for all that came meanwhile too; what is
// left then is another goroutine's.
func (l *link) kick() {
	if l.busy || l.err != nil {
		l.mu.Unlock()
		return
	}
	l.busy = true
	if l.crowd > 1 {
		l.mu.Unlock()
		runtime.Gosched()
		l.mu.Lock()
	}
	b := l.take()
	if b == nil {
		l.busy = false
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	if l.raw == nil {
		go l.flush(b, 0)
		return
	}
	l.tried = b.b
	l.writes.Add(1)
	err := l.raw.Write(l.try)
	l.tried = nil
	if err != nil {
		l.done, l.failed = 0, err
	}
	if l.failed != nil {
		l.lost(l.done, l.failed)
		return
	}
	n := l.done
	if n == len(b.b) {
		l.mu.Lock()
		if l.small == nil && len(l.big) == 0 {
			l.busy = false
			l.mu.Unlock()
			b.put()
			return
		}
		l.mu.Unlock()
	}
	go l.flush(b, n)
}

func (l *link) flush(b *buf, n int) {
	for b != nil {
		if n < len(b.b) {
			l.writes.Add(1)
			if k, err := l.c.Write(b.b[n:]); err != nil {
				l.lost(n+k, err)
				return
			}
		}
		b.put()
		l.mu.Lock()
		b, n = l.take(), 0
		l.busy = b != nil
		l.mu.Unlock()
	}
}

func (l *link) lost(n int, err error) {
	if n == 0 {
		l.mu.Lock()
		l.out--
		l.mu.Unlock()
	}
	l.fail(err, false)
}

// fail closes the connection once; abrupt drops what the system still holds for it.
func (l *link) fail(err error, abrupt bool) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return
	}
	l.err = err
	l.big, l.bulk = nil, 0
	if l.room != nil {
		close(l.room)
		l.room = nil
	}
	l.mu.Unlock()
	if t, ok := l.c.(*net.TCPConn); ok && abrupt {
		_ = t.SetLinger(0)
	}
	_ = l.c.Close()
	l.gone(err)
}
