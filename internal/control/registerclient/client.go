// Package registerclient hands control calls over to a control node.
package registerclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"slices"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/register"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Client reaches the holders of control keys from any node.
type Client struct {
	self   string
	net    wire.Network
	bounds settings.Timing
	view   func() []membership.Info
	local  *register.Proposer
	mu     sync.Mutex
	good   string
}

// New makes a client; local is the node's own holder, nil without a control disk.
func New(self string, n wire.Network, b settings.Timing, view func() []membership.Info, local *register.Proposer) *Client {
	return &Client{self: self, net: n, bounds: b, view: view, local: local}
}

func (c *Client) nodes() []membership.Info {
	is := membership.Filter(c.view(), func(i membership.Info) bool {
		return i.Disk == settings.DiskControl && i.Stage == membership.Serving && i.Name != c.self
	})
	c.mu.Lock()
	good := c.good
	c.mu.Unlock()
	if k := slices.IndexFunc(is, func(i membership.Info) bool { return i.Name == good }); k > 0 {
		is = append(slices.Clone(is[k:]), is[:k]...)
	}
	return is
}

const openMost = 3

type answer[A any] struct {
	a    A
	err  error
	from string
}

// race asks control nodes until one says yes or see ends it: the next one at once after a problem, and also when the last one asked is
// silent for a while. see hears each problem, and how many other calls are open.
func race[A any](ctx context.Context, c *Client, f func(ctx context.Context, addr string) (A, error), see func(err error, open int) bool) (a A, ok bool) {
	ns := c.nodes()
	cx, stop := context.WithCancel(ctx)
	defer stop()
	ch := make(chan answer[A], len(ns))
	next, open := 0, 0
	ask := func() {
		if next == len(ns) || open == openMost {
			return
		}
		i := ns[next]
		next++
		open++
		go func() {
			cx, stop := context.WithTimeout(cx, c.bounds.CallTimeout())
			defer stop()
			a, err := f(cx, i.PeerAddr)
			ch <- answer[A]{a, err, i.Name}
		}()
	}
	ask()
	for open > 0 {
		hx, halt := context.WithTimeout(cx, c.bounds.HedgeDelay())
		select {
		case g := <-ch:
			halt()
			open--
			if g.err == nil {
				c.mu.Lock()
				c.good = g.from
				c.mu.Unlock()
				return g.a, true
			}
			if see(g.err, open) {
				return a, false
			}
			ask()
		case <-hx.Done():
			halt()
			if ctx.Err() != nil {
				see(apierror.WithCause(apierror.Unreachable, ctx.Err(), "no control node answered in time"), open)
				return a, false
			}
			ask()
		}
	}
	return a, false
}

// ForwardOnce has one control node do what a node without a control disk would else do itself. sent tells that it may have heard of it.
func ForwardOnce[Q, A any](ctx context.Context, c *Client, p *wire.Procedure[Q, A], q *Q) (sent bool, err error) {
	ns := c.nodes()
	if c.local != nil || len(ns) == 0 {
		return false, apierror.New(apierror.Unreachable, "no control node to hand it to")
	}
	cx, stop := context.WithTimeout(ctx, c.bounds.CallTimeout())
	defer stop()
	_, err = p.Call(cx, c.net, c.self, ns[mrand.IntN(len(ns))].PeerAddr, q)
	return true, err
}

// NewChangeID makes a fresh name for a change.
func NewChangeID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Read gives a key's current value.
func (c *Client) Read(ctx context.Context, key string) (acceptor.Value, error) {
	err := error(apierror.New(apierror.NotBootstrapped, "no control node is known"))
	if c.local != nil {
		var v *acceptor.Value
		if v, err = c.local.Read(ctx, &register.ReadRequest{Key: key}); err == nil {
			return *v, nil
		}
	}
	v, ok := race(ctx, c, func(ctx context.Context, addr string) (*acceptor.Value, error) {
		return register.Read.Call(ctx, c.net, c.self, addr, &register.ReadRequest{Key: key})
	}, func(e error, _ int) bool {
		err = e
		return ctx.Err() != nil
	})
	if ok {
		return *v, nil
	}
	return acceptor.Value{}, err
}

var settled = map[apierror.Code]bool{apierror.StaleBase: true}

// Change writes a key on its base. After an unclear answer the same change is asked of the next
// control node, which knows it by name; a stale base after an unclear answer stays unclear.
func (c *Client) Change(ctx context.Context, key string, base uint64, by string, body []byte) (acceptor.Value, error) {
	return c.Write(ctx, &register.ChangeRequest{Key: key, BaseVersion: base, ChangeID: by, Body: body})
}

// Write makes a change as Change does.
func (c *Client) Write(ctx context.Context, q *register.ChangeRequest) (acceptor.Value, error) {
	err := error(apierror.New(apierror.NotBootstrapped, "no control node is known"))
	doubt := false
	see := func(e error, open int) bool {
		err = e
		p := apierror.From(e)
		doubt = doubt || open > 0
		if settled[p.Code] {
			if doubt {
				err = apierror.New(apierror.NoMajority, "%s changed after an unclear answer", q.Key)
			}
			return true
		}
		doubt = doubt || p.Code == apierror.NoMajority || p.Code == apierror.Unreachable
		return ctx.Err() != nil
	}
	if c.local != nil {
		v, e := c.local.Change(ctx, q)
		if e == nil {
			return *v, nil
		}
		if see(e, 0) {
			return acceptor.Value{}, err
		}
	}
	v, ok := race(ctx, c, func(ctx context.Context, addr string) (*acceptor.Value, error) {
		return register.Change.Call(ctx, c.net, c.self, addr, q)
	}, see)
	if ok {
		return *v, nil
	}
	if doubt && !apierror.HasCode(err, apierror.NoMajority) {
		err = apierror.Wrap(apierror.NoMajority, apierror.New(apierror.NoMajority, "%v", err), "the outcome of writing %s is not known", q.Key)
	}
	return acceptor.Value{}, err
}
