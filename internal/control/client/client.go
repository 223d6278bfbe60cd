// Package client hands control calls over to a control node.
package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"postjunction/internal/control/holder"
	"postjunction/internal/control/voter"
	"postjunction/internal/member"
	"postjunction/internal/options"
	"postjunction/internal/problem"
	"postjunction/internal/wire"
)

// Client reaches the holders of control keys from any node.
type Client struct {
	self   string
	net    wire.Network
	bounds options.Bounds
	view   func() []member.Info
	local  *holder.Holder
}

// New makes a client; local is the node's own holder, nil without a control disk.
func New(self string, n wire.Network, b options.Bounds, view func() []member.Info, local *holder.Holder) *Client {
	return &Client{self: self, net: n, bounds: b, view: view, local: local}
}

func (c *Client) nodes() []member.Info {
	return member.Pick(c.view(), func(i member.Info) bool {
		return i.Disk == options.DiskControl && i.Stage == member.Serving && i.Name != c.self
	})
}

// Name makes a fresh name for a change.
func Name() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Read gives a key's current value.
func (c *Client) Read(ctx context.Context, key string) (voter.Value, error) {
	err := error(problem.New(problem.NotFounded, "no control node is known"))
	if c.local != nil {
		var v *voter.Value
		if v, err = c.local.Read(ctx, &holder.ReadTask{Key: key}); err == nil {
			return *v, nil
		}
	}
	for _, i := range c.nodes() {
		cx, stop := context.WithTimeout(ctx, c.bounds.Call())
		v, e := holder.Read.Call(cx, c.net, c.self, i.Fellows, &holder.ReadTask{Key: key})
		stop()
		if err = e; err == nil {
			return *v, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return voter.Value{}, err
}

var settled = map[problem.Kind]bool{problem.StaleBase: true}

// Change writes a key on its base. After an unclear answer the same change is asked of the next
// control node, which knows it by name; a stale base after an unclear answer stays unclear.
func (c *Client) Change(ctx context.Context, key string, base uint64, by string, body []byte) (voter.Value, error) {
	q := &holder.ChangeTask{Key: key, Base: base, By: by, Body: body}
	err := error(problem.New(problem.NotFounded, "no control node is known"))
	doubt := false
	see := func(e error) bool {
		err = e
		p := problem.Of(e)
		if settled[p.Kind] {
			if doubt {
				err = problem.New(problem.NoMajority, "%s changed after an unclear answer", key)
			}
			return true
		}
		doubt = doubt || p.Kind == problem.NoMajority || p.Kind == problem.Unreachable
		return ctx.Err() != nil
	}
	if c.local != nil {
		v, e := c.local.Change(ctx, q)
		if e == nil {
			return *v, nil
		}
		if see(e) {
			return voter.Value{}, err
		}
	}
	for _, i := range c.nodes() {
		cx, stop := context.WithTimeout(ctx, c.bounds.Call())
		v, e := holder.Change.Call(cx, c.net, c.self, i.Fellows, q)
		stop()
		if e == nil {
			return *v, nil
		}
		if see(e) {
			break
		}
	}
	if doubt && !problem.Has(err, problem.NoMajority) {
		err = problem.Wrap(problem.NoMajority, problem.New(problem.NoMajority, "%v", err), "the outcome of writing %s is not known", key)
	}
	return voter.Value{}, err
}
