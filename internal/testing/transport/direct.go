package transport

import (
	"context"
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/httpapi"
)

// Direct reaches the services of a node in this process. Gate holds calls while the machine is
// frozen.
type Direct struct {
	Node func() *Services
	Gate func()
}

// Services are what a node offers.
type Services struct {
	Clients *client.Service
	API     *httpapi.API
	// Gone is closed when the process ends, as its connections would be.
	Ended chan struct{}
}

func (p *Direct) run(ctx context.Context, f func(n *Services) (any, error)) (any, error) {
	n := p.Node()
	if n == nil {
		return nil, apierror.New(apierror.Unreachable, "the node is down")
	}
	type ans struct {
		a   any
		err error
	}
	c := make(chan ans, 1)
	go func() {
		p.Gate()
		a, err := f(n)
		p.Gate()
		c <- ans{a, err}
	}()
	select {
	case x := <-c:
		if p.Node() != n {
			return nil, apierror.New(apierror.Unreachable, "the node went down")
		}
		return x.a, x.err
	case <-n.Ended:
		return nil, apierror.New(apierror.Unreachable, "the connection was reset")
	case <-ctx.Done():
		return nil, apierror.New(apierror.Unreachable, "no answer in time")
	}
}

func (p *Direct) do(ctx context.Context, t *client.Request) (any, error) {
	return p.run(ctx, func(n *Services) (any, error) { return n.Clients.Do(ctx, t) })
}

// Attach attaches.
func (p *Direct) Attach(ctx context.Context, name string) (client.Attachment, error) {
	a, err := p.do(ctx, &client.Request{Verb: client.VerbAttach, Client: name})
	x, _ := a.(client.Attachment)
	return x, err
}

// Send sends.
func (p *Direct) Send(ctx context.Context, token, topic string, call uint64, body []byte) (client.Receipt, error) {
	a, err := p.do(ctx, &client.Request{Verb: client.VerbSend, Token: token, Topics: []string{topic},
		CallSeq: call, Body: body})
	x, _ := a.(client.Receipt)
	return x, err
}

// Follow follows.
func (p *Direct) Follow(ctx context.Context, token string, topics []string, cursor string,
	f func(client.Event) error) error {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	lines := make(chan client.Event)
	done := make(chan error, 1)
	go func() {
		_, err := p.do(cx, &client.Request{Verb: client.VerbFollow, Token: token, Topics: topics, Cursor: cursor,
			Emit: func(b []byte) error {
				var l client.Event
				if err := json.Unmarshal(b, &l); err != nil {
					return apierror.Wrap(apierror.Malformed, err, "stream line")
				}
				select {
				case lines <- l:
					return nil
				case <-cx.Done():
					return apierror.New(apierror.Unreachable, "the reader is gone")
				}
			}})
		done <- err
	}()
	for {
		select {
		case l := <-lines:
			if err := f(l); err != nil {
				return err
			}
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Direct) sequence(ctx context.Context, f func(n *Services) (any, error)) (uint64, error) {
	a, err := p.run(ctx, f)
	var x struct {
		Sequence uint64 `json:"sequence"`
	}
	_ = json.Unmarshal(marshal(a), &x)
	return x.Sequence, err
}

// Put puts a description.
func (p *Direct) Put(ctx context.Context, doc []byte) (uint64, error) {
	return p.sequence(ctx, func(n *Services) (any, error) { return n.API.Operators.Put(ctx, doc) })
}

// Get reads the description's sequence back.
func (p *Direct) Get(ctx context.Context) (uint64, error) {
	return p.sequence(ctx, func(n *Services) (any, error) { return n.API.Operators.ReadConfiguration(ctx) })
}

// Shows gives the description that the node shows, and whether it serves.
func (p *Direct) ShownConfiguration(ctx context.Context) (uint64, bool, error) {
	n := p.Node()
	if n == nil {
		return 0, false, apierror.New(apierror.Unreachable, "the node is down")
	}
	ready := n.API.Ready() == nil
	return n.API.Operators.Store.Configuration().Sequence, ready, nil
}
