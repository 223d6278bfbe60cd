// Package transport is how stand-in callers reach a node: over HTTP, or straight into a simulated one.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/httpapi"
	"postjunction/internal/rawjson"
)

// Transport is one node as callers see it.
type Transport interface {
	Attach(ctx context.Context, name string) (client.Attachment, error)
	Send(ctx context.Context, token, topic string, call uint64, body []byte) (client.Receipt, error)
	Follow(ctx context.Context, token string, topics []string, cursor string, f func(client.Event) error) error
	Put(ctx context.Context, doc []byte) (uint64, error)
	Get(ctx context.Context) (uint64, error)
	Shows(ctx context.Context) (seq uint64, ready bool, err error)
}

// HTTP reaches a node by its callers' address.
type HTTP struct {
	Base   string
	Client *http.Client
}

func (p *HTTP) call(ctx context.Context, method, path, token string, doc []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, p.Base+path, bytes.NewReader(doc))
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "%s", path)
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	a, err := p.Client.Do(r)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "%s", path)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "%s", path)
	}
	if a.StatusCode != http.StatusOK {
		return failed(a.StatusCode, b)
	}
	return apierror.Wrap(apierror.Malformed, json.Unmarshal(b, out), "%s", path)
}

func failed(code int, b []byte) error {
	p := &apierror.Error{}
	if json.Unmarshal(b, p) != nil || !apierror.IsKnown(p.Code) {
		return apierror.New(apierror.Internal, "status %d without a problem: %.80s", code, b)
	}
	return p
}

func must(v any) []byte {
	b, _ := rawjson.Marshal(v)
	return b
}

// Attach attaches.
func (p *HTTP) Attach(ctx context.Context, name string) (a client.Attachment, err error) {
	return a, p.call(ctx, http.MethodPost, "/v1/attach", "", must(map[string]string{"visitor": name}), &a)
}

// Send sends.
func (p *HTTP) Send(ctx context.Context, token, topic string, call uint64, body []byte) (r client.Receipt, err error) {
	return r, p.call(ctx, http.MethodPost, "/v1/send", token, must(map[string]any{"topic": topic, "call_seq": call, "body": json.RawMessage(body)}), &r)
}

// Put puts a description.
func (p *HTTP) Put(ctx context.Context, doc []byte) (uint64, error) {
	var a struct {
		Sequence uint64 `json:"sequence"`
	}
	err := p.call(ctx, http.MethodPut, "/v1/description", "", doc, &a)
	return a.Sequence, err
}

// Get reads the description's sequence back.
func (p *HTTP) Get(ctx context.Context) (uint64, error) {
	var a struct {
		Sequence uint64 `json:"sequence"`
	}
	err := p.call(ctx, http.MethodGet, "/v1/description", "", nil, &a)
	return a.Sequence, err
}

// Shows gives the description that the node shows, and whether it serves.
func (p *HTTP) Shows(ctx context.Context) (uint64, bool, error) {
	var a struct {
		Description uint64 `json:"description"`
		Licensed    bool   `json:"licensed"`
	}
	err := p.call(ctx, http.MethodGet, "/v1/status", "", nil, &a)
	return a.Description, a.Licensed, err
}

const lineMost = 4 << 20

// Follow reads a stream until it ends.
func (p *HTTP) Follow(ctx context.Context, token string, topics []string, cursor string, f func(client.Event) error) error {
	q := url.Values{"topic": topics}
	if cursor != "" {
		q.Set("cursor", cursor)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Base+"/v1/stream?"+q.Encode(), nil)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "stream")
	}
	r.Header.Set("Authorization", "Bearer "+token)
	a, err := p.Client.Do(r)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "stream")
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(a.Body)
		return failed(a.StatusCode, b)
	}
	sc := bufio.NewScanner(a.Body)
	sc.Buffer(nil, lineMost)
	for sc.Scan() {
		var l client.Event
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return apierror.Wrap(apierror.Malformed, err, "stream line")
		}
		if err := f(l); err != nil {
			return err
		}
	}
	return apierror.Wrap(apierror.Unreachable, sc.Err(), "stream")
}

// Direct reaches the services of a node in this process. Gate holds calls while the machine is frozen.
type Direct struct {
	Node func() *Services
	Gate func()
}

// Services are what a node offers.
type Services struct {
	Clients *client.Service
	API     *httpapi.API
	// Gone is closed when the process ends, as its connections would be.
	Gone chan struct{}
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
	case <-n.Gone:
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
	a, err := p.do(ctx, &client.Request{Verb: client.VerbSend, Token: token, Topics: []string{topic}, CallSeq: call, Body: body})
	x, _ := a.(client.Receipt)
	return x, err
}

// Follow follows.
func (p *Direct) Follow(ctx context.Context, token string, topics []string, cursor string, f func(client.Event) error) error {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	lines := make(chan client.Event)
	done := make(chan error, 1)
	go func() {
		_, err := p.do(cx, &client.Request{Verb: client.VerbFollow, Token: token, Topics: topics, Cursor: cursor, Emit: func(b []byte) error {
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
	_ = json.Unmarshal(must(a), &x)
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
func (p *Direct) Shows(ctx context.Context) (uint64, bool, error) {
	n := p.Node()
	if n == nil {
		return 0, false, apierror.New(apierror.Unreachable, "the node is down")
	}
	ready := n.API.Ready() == nil
	return n.API.Operators.Store.Configuration().Sequence, ready, nil
}
