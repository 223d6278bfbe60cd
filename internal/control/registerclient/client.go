// Package registerclient reads and changes control keys from any node. It uses the node's own
// proposer if there is one. If there is none, or if it fails, the control nodes are called until
// one answers.
//
// Invariant: a change that may have been made is never reported as rejected. Its ChangeID lets
// every control node recognize it, so that it may be sent to several. A stale base after a call
// whose outcome is unknown is an unknown outcome itself (NoMajority).
//
// The only state of a Client is which control node last answered. Calls run in the goroutine of the
// caller and block until its context ends at most. The goroutines of hedged calls end with the
// call.
package registerclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"slices"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/register"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Client calls the leaders of control keys from any node.
type Client struct {
	self    string
	network wire.Network
	timing  settings.Timing
	members func() []membership.Info
	local   *register.Proposer

	// mu guards lastResponder, the control node that last answered without an error.
	mu            sync.Mutex
	lastResponder string
}

// New returns a client. members returns the known nodes. local is the node's own proposer, nil on a
// node without a control disk.
func New(
	self string,
	network wire.Network,
	timing settings.Timing,
	members func() []membership.Info,
	local *register.Proposer,
) *Client {
	return &Client{self: self, network: network, timing: timing, members: members, local: local}
}

// controlNodes returns the other control nodes that serve, starting with the one that last
// answered.
func (c *Client) controlNodes() []membership.Info {
	nodes := membership.Filter(c.members(), func(node membership.Info) bool {
		return node.Disk == settings.DiskControl && node.Stage == membership.Serving && node.Name != c.self
	})
	c.mu.Lock()
	lastResponder := c.lastResponder
	c.mu.Unlock()
	first := slices.IndexFunc(nodes, func(node membership.Info) bool { return node.Name == lastResponder })
	if first > 0 {
		nodes = append(slices.Clone(nodes[first:]), nodes[:first]...)
	}
	return nodes
}

func (c *Client) setLastResponder(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponder = node
}

// ForwardOnce sends a request to one control node, chosen at random, from a node without a control
// disk. sent reports whether that control node may have received it.
func ForwardOnce[Request, Response any](
	ctx context.Context, c *Client, procedure *wire.Procedure[Request, Response], request *Request,
) (sent bool, err error) {
	nodes := c.controlNodes()
	if c.local != nil || len(nodes) == 0 {
		return false, apierror.New(apierror.Unreachable, "no control node to forward the request to")
	}
	ctx, stop := context.WithTimeout(ctx, c.timing.CallTimeout())
	defer stop()
	_, err = procedure.Call(ctx, c.network, c.self, nodes[mathrand.IntN(len(nodes))].PeerAddr, request)
	return true, err
}

// NewChangeID returns a random ID for a change.
func NewChangeID() string {
	var id [12]byte
	_, _ = rand.Read(id[:]) // crypto/rand never fails
	return hex.EncodeToString(id[:])
}

func errNoControlNode() error {
	return apierror.New(apierror.NotBootstrapped, "no control node is known")
}

// Read returns the current value of a key.
func (c *Client) Read(ctx context.Context, key string) (acceptor.Value, error) {
	lastErr := errNoControlNode()
	if c.local != nil {
		value, err := c.local.Read(ctx, &register.ReadRequest{Key: key})
		if err == nil {
			return *value, nil
		}
		lastErr = err
	}
	read := func(ctx context.Context, addr string) (*acceptor.Value, error) {
		return register.Read.Call(ctx, c.network, c.self, addr, &register.ReadRequest{Key: key})
	}
	value, ok := hedge(ctx, c, read, func(err error, _ int) bool {
		lastErr = err
		return ctx.Err() != nil
	})
	if !ok {
		return acceptor.Value{}, lastErr
	}
	return *value, nil
}

// Change writes a key whose version is base. It can be retried with the same changeID. Errors are
// those of Write.
func (c *Client) Change(
	ctx context.Context, key string, base uint64, changeID string, body []byte,
) (acceptor.Value, error) {
	return c.Write(ctx, &register.ChangeRequest{Key: key, BaseVersion: base, ChangeID: changeID, Body: body})
}

// Write makes a change and returns the written value. It returns StaleBase if the change was
// certainly not made, and NoMajority if its outcome is unknown.
func (c *Client) Write(ctx context.Context, request *register.ChangeRequest) (acceptor.Value, error) {
	outcome := writeOutcome{key: request.Key, err: errNoControlNode()}
	if c.local != nil {
		value, err := c.local.Change(ctx, request)
		if err == nil {
			return *value, nil
		}
		if outcome.addError(err, 0) || ctx.Err() != nil {
			return acceptor.Value{}, outcome.err
		}
	}
	change := func(ctx context.Context, addr string) (*acceptor.Value, error) {
		return register.Change.Call(ctx, c.network, c.self, addr, request)
	}
	value, ok := hedge(ctx, c, change, func(err error, pending int) bool {
		return outcome.addError(err, pending) || ctx.Err() != nil
	})
	if ok {
		return *value, nil
	}
	return acceptor.Value{}, outcome.final()
}

// writeOutcome is what is known about a change after the errors so far.
type writeOutcome struct {
	key string
	err error
	// uncertain says that a call may have made the change.
	uncertain bool
}

// addError records the error of a call while other calls were pending. It reports whether the error
// is final, so that no further call is of use.
func (o *writeOutcome) addError(err error, pending int) (isFinal bool) {
	o.err = err
	o.uncertain = o.uncertain || pending > 0
	switch apierror.From(err).Code {
	case apierror.StaleBase:
		if o.uncertain {
			o.err = apierror.New(apierror.NoMajority, "%s changed after a call whose outcome is unknown", o.key)
		}
		return true
	case apierror.NoMajority, apierror.Unreachable:
		o.uncertain = true
	}
	return false
}

// final returns the error of a change that no node has confirmed.
func (o *writeOutcome) final() error {
	if !o.uncertain || apierror.HasCode(o.err, apierror.NoMajority) {
		return o.err
	}
	cause := apierror.New(apierror.NoMajority, "%v", o.err)
	return apierror.Wrap(apierror.NoMajority, cause, "the outcome of writing %s is unknown", o.key)
}
