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
	ticks = 2 // in a silence
)

// Network reaches peers over one connection each, opened at the first call and kept while it is used.
type Network struct {
	o       Options
	peers   sync.Map
	waiting atomic.Int64
	wmu     sync.Mutex
	armed   bool
	watch   *time.Timer
	begun   time.Time

	mu    sync.Mutex
	links map[*client]struct{}
	idle  *time.Timer
}

// New makes a network without connections.
func New(o Options) *Network {
	n := &Network{o: o, begun: time.Now(), links: map[*client]struct{}{}}
	n.watch = time.AfterFunc(o.KeepaliveAfter, n.tick)
	n.watch.Stop()
	n.idle = time.AfterFunc(o.Idle, n.sweep)
	n.idle.Stop()
	return n
}

// Close closes all connections; calls under way fail.
func (n *Network) Close() {
	for _, c := range n.all() {
		c.fail(errClosed, false)
	}
}

func (n *Network) all() []*client {
	n.mu.Lock()
	defer n.mu.Unlock()
	cs := make([]*client, 0, len(n.links))
	for c := range n.links {
		cs = append(cs, c)
	}
	return cs
}

func (n *Network) add(c *client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[c] = struct{}{}; len(n.links) == 1 {
		n.idle.Reset(n.o.Idle)
	}
}

func (n *Network) drop(c *client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if delete(n.links, c); len(n.links) == 0 {
		n.idle.Stop()
	}
}

// wait counts calls that wait; the watch goes while there are any.
func (n *Network) wait(d int64) {
	if k := n.waiting.Add(d); k == 0 || k == d {
		n.arm(false)
	}
}

func (n *Network) arm(fired bool) {
	n.wmu.Lock()
	defer n.wmu.Unlock()
	if fired {
		n.armed = false
	}
	want := n.waiting.Load() > 0
	switch {
	case want && !n.armed:
		n.watch.Reset(n.o.KeepaliveAfter / ticks)
	case !want && n.armed:
		n.watch.Stop()
	}
	n.armed = want
}

// tick asks peers that owe answers for a sign of life, and gives those up that gave none.
func (n *Network) tick() {
	for _, c := range n.all() {
		c.tick()
	}
	n.arm(true)
}

// sweep closes connections that were not used since the last sweep.
func (n *Network) sweep() {
	for _, c := range n.all() {
		c.mu.Lock()
		done := !c.used && len(c.calls) == 0 && !c.busy
		c.used = false
		c.mu.Unlock()
		if done {
			c.fail(errClosed, false)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.links) > 0 {
		n.idle.Reset(n.o.Idle)
	}
}

type peer struct {
	n    *Network
	addr string
	mu   sync.Mutex
	c    *client
	d    *dialling
}

// dialShares make the times of the attempts of a dial: short ones first, since a machine that was
// just switched on hears nothing of what was sent before, and this machine's own repeats come late.
var dialShares = []time.Duration{10, 10, 10, 10, 10, 2, 1}

type dialling struct {
	done chan struct{}
	c    *client
	err  error
}

func (n *Network) peer(addr string) *peer {
	if p, ok := n.peers.Load(addr); ok {
		return p.(*peer)
	}
	p, _ := n.peers.LoadOrStore(addr, &peer{n: n, addr: addr})
	return p.(*peer)
}

// get gives the connection to a peer and opens it if there is none; those who come meanwhile wait for the same one.
func (p *peer) get(ctx context.Context, from string) (*client, error) {
	p.mu.Lock()
	if c := p.c; c != nil {
		p.mu.Unlock()
		if c.fresh() {
			return c, nil
		}
		p.mu.Lock()
		if p.c == c {
			p.c = nil
		}
	}
	if c := p.c; c != nil {
		p.mu.Unlock()
		return c, nil
	}
	d := p.d
	if d == nil {
		d = &dialling{done: make(chan struct{})}
		p.d = d
		go p.dial(d, from)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.c, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) dial(d *dialling, from string) {
	o := p.n.o
	nd := net.Dialer{KeepAlive: -1, Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) { tune(fd, o.Timeouts) })
	}}
	var nc net.Conn
	var err error
	for _, share := range dialShares {
		nd.Timeout = o.Dial / share
		nc, err = nd.Dial("tcp", p.addr)
		if t, ok := err.(net.Error); !ok || !t.Timeout() {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.d = nil
	if err != nil {
		d.err = apierror.WithCause(apierror.Unreachable, err, "no connection to %s", p.addr)
	} else {
		d.c = newClient(p, nc, from)
		p.c = d.c
	}
	close(d.done)
}

// call is a task that waits for its answer.
type call struct {
	parcel
	done   chan struct{}
	answer *head
	got    []byte
	err    error
	heads  [512]byte
}

var calls = sync.Pool{New: func() any { return &call{done: make(chan struct{}, 1)} }}

// client is this side's end of a connection that it opened.
type client struct {
	link
	n     *Network
	p     *peer
	calls map[uint64]*call
	last  uint64
	used  bool
	owed  bool
	quiet int
	heard atomic.Bool
	when  atomic.Int64
}

func newClient(p *peer, nc net.Conn, from string) *client {
	c := &client{n: p.n, p: p, calls: map[uint64]*call{}}
	c.init(nc, c.over)
	b := c.begin()
	b.b = AppendPreface(b.b, from)
	c.when.Store(int64(time.Since(p.n.begun)))
	p.n.add(c)
	go c.read()
	return c
}

// fresh tells whether a connection can take a call. One that was quiet for a while is looked at: a peer may have gone
// and come back while this process had no turn to notice.
func (c *client) fresh() bool {
	c.mu.Lock()
	ok, look := c.err == nil, len(c.calls) == 0 && !c.busy
	c.mu.Unlock()
	if !ok || !look || time.Since(c.n.begun)-time.Duration(c.when.Load()) < c.n.o.CheckAfter || c.raw == nil {
		return ok
	}
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		k, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = k > 0 || err == unix.EAGAIN || err == unix.EINTR
	})
	if !ok {
		c.fail(io.EOF, false)
	}
	return ok
}

func (c *client) tick() {
	c.mu.Lock()
	was := c.owed
	if c.owed = len(c.calls) > 0; c.heard.Swap(false) || !c.owed || !was {
		c.quiet = 0
		c.mu.Unlock()
		return
	}
	c.quiet++
	switch {
	case c.quiet == ticks:
		c.say(kindHeartbeat, 0, "")
		c.kick()
	case c.quiet >= 2*ticks:
		c.mu.Unlock()
		c.fail(apierror.New(apierror.Unreachable, "%s gives no sign of life", c.p.addr), true)
	default:
		c.mu.Unlock()
	}
}

// over ends all calls of a connection that is gone.
func (c *client) over(err error) {
	c.n.drop(c)
	c.p.mu.Lock()
	if c.p.c == c {
		c.p.c = nil
	}
	c.p.mu.Unlock()
	c.mu.Lock()
	m := c.calls
	c.calls = map[uint64]*call{}
	for _, x := range m {
		x.err = apierror.WithCause(apierror.Unreachable, err, "the connection to %s broke", c.p.addr)
		if x.batch > c.out {
			x.err = errUnsent
		}
	}
	c.mu.Unlock()
	for _, x := range m {
		x.done <- struct{}{}
	}
}

func (c *client) read() {
	r := bufio.NewReaderSize(c.c, readBuffer)
	var f frame
	var hs heads
	for {
		err := f.read(r)
		if err == nil {
			c.heard.Store(true)
			c.when.Store(int64(time.Since(c.n.begun)))
			err = c.hear(&f, &hs)
		}
		if err != nil {
			c.fail(err, false)
			return
		}
	}
}

func (c *client) hear(f *frame, hs *heads) error {
	switch f.kind {
	case kindHead:
		return hs.name(f)
	case kindOpen:
		o, b, err := f.opening()
		if err != nil {
			return err
		}
		h, err := hs.of(o)
		if err != nil {
			return err
		}
		return c.answered(f, h, b, o.room())
	case kindData:
		return c.answered(f, nil, f.body, 0)
	case kindAbort:
		c.mu.Lock()
		x := c.calls[f.id]
		c.end(x)
		c.mu.Unlock()
		if x != nil {
			x.err = apierror.New(apierror.Unreachable, "%s gave no answer: %s", c.p.addr, f.body)
			x.done <- struct{}{}
		}
		return nil
	case kindEcho:
		return nil
	}
	return broken("a frame of kind %d from the side that answers", f.kind)
}

func (c *client) answered(f *frame, h *head, b []byte, room int) error {
	c.mu.Lock()
	x := c.calls[f.id]
	if x == nil {
		c.mu.Unlock()
		return nil
	}
	if h != nil {
		x.answer = h
	}
	switch {
	case x.answer == nil:
		c.mu.Unlock()
		return broken("an answer without its head")
	case len(x.got)+len(b) > mostBody:
		c.mu.Unlock()
		return broken("an answer of more than %d bytes", mostBody)
	case x.got == nil && !f.more:
		x.got = f.kept(b)
	case x.got == nil:
		x.got = append(make([]byte, 0, room), b...)
	default:
		x.got = append(x.got, b...)
	}
	if f.more {
		c.mu.Unlock()
		return nil
	}
	c.end(x)
	c.mu.Unlock()
	x.done <- struct{}{}
	return nil
}

// end takes a call out; the lock is held.
func (c *client) end(x *call) {
	if x != nil {
		c.forget(&x.parcel)
		delete(c.calls, x.id)
		c.crowd = len(c.calls)
	}
}

func (c *client) do(ctx context.Context, x *call) error {
	c.mu.Lock()
	c.last++
	x.id, x.at, x.big, x.dropped, x.answer, x.got, x.err = c.last, 0, false, false, nil, nil, nil
	if err := c.queue(&x.parcel); err != nil {
		c.mu.Unlock()
		return err
	}
	c.calls[x.id], c.used = x, true
	c.crowd = len(c.calls)
	c.kick()
	c.n.wait(1)
	defer c.n.wait(-1)
	select {
	case <-x.done:
		return x.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	if c.calls[x.id] != x {
		c.mu.Unlock()
		<-x.done
		return x.err
	}
	sent := x.batch != math.MaxUint64
	c.end(x)
	if sent {
		c.say(kindCancel, x.id, "")
		c.kick()
	} else {
		c.mu.Unlock()
	}
	return ctx.Err()
}

// Do carries a task to the peer whose address the URL has, and its answer back. Failures are of
// kind Unreachable or those of the context.
func (n *Network) Do(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	x := calls.Get().(*call)
	defer func() {
		x.answer, x.got, x.head = nil, nil, nil
		if cap(x.body) > bufferMost {
			x.body = nil
		}
		calls.Put(x)
	}()
	if err := x.load(r, n.o.Headers); err != nil {
		return nil, err
	}
	from := r.Header.Get(n.o.FromHeader)
	p := n.peer(r.URL.Host)
	for again := false; ; again = true {
		c, err := p.get(ctx, from)
		if err == nil {
			err = c.do(ctx, x)
		}
		switch {
		case err == errUnsent && !again:
			continue
		case err != nil:
			return nil, err
		}
		return x.response(r)
	}
}

// load puts a request into a call: its path and headers, the time it may take, its body.
func (x *call) load(r *http.Request, names []string) error {
	x.kind, x.wait = kindOpen, 0
	x.head = appendPiece(x.heads[:0], r.URL.Path)
	x.head = appendHeaders(x.head, r.Header, names)
	if len(x.head) > mostHead {
		return apierror.New(apierror.Oversize, "headers of %d bytes", len(x.head))
	}
	if t := r.Header[timeout]; len(t) == 1 {
		x.wait, _ = strconv.ParseUint(t[0], 10, 63)
	}
	x.body = x.body[:0]
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	defer func() { _ = r.Body.Close() }()
	if r.ContentLength > mostBody {
		return apierror.New(apierror.Oversize, "a task of %d bytes", r.ContentLength)
	}
	if n := int(r.ContentLength); n > 0 {
		if cap(x.body) < n {
			x.body = make([]byte, n)
		}
		x.body = x.body[:n]
		_, err := io.ReadFull(r.Body, x.body)
		return apierror.Wrap(apierror.Internal, err, "the body of a task")
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
	if x.body = b; len(b) > mostBody {
		return apierror.New(apierror.Oversize, "a task of more than %d bytes", mostBody)
	}
	return apierror.Wrap(apierror.Internal, err, "the body of a task")
}

func appendHeaders(b []byte, h http.Header, names []string) []byte {
	for _, n := range names {
		if v := h[n]; len(v) == 1 {
			b = appendPiece(appendPiece(b, n), v[0])
		}
	}
	return b
}

func (h *head) header(room int) http.Header {
	m := make(http.Header, len(h.pairs)/2+room)
	for i := 0; i < len(h.pairs); i += 2 {
		m[h.pairs[i]] = h.pairs[i+1 : i+2 : i+2]
	}
	return m
}

type body struct{ bytes.Reader }

// Close does nothing.
func (*body) Close() error { return nil }

func (x *call) response(r *http.Request) (*http.Response, error) {
	st, err := strconv.Atoi(x.answer.first)
	if err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "an answer of status %q", x.answer.first)
	}
	b := &body{}
	b.Reset(x.got)
	return &http.Response{
		Status: x.answer.first, StatusCode: st, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.answer.header(0), Body: b, ContentLength: int64(len(x.got)), Request: r,
	}, nil
}
