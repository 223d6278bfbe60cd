// Package transport is how stand-in callers reach a node: over HTTP, or straight into a simulated
// one.
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
	"postjunction/internal/rawjson"
)

// Transport is one node as callers see it.
type Transport interface {
	Attach(ctx context.Context, name string) (client.Attachment, error)
	Send(ctx context.Context, token, topic string, call uint64, body []byte) (client.Receipt, error)
	Follow(ctx context.Context, token string, topics []string, cursor string, f func(client.Event) error) error
	Put(ctx context.Context, doc []byte) (uint64, error)
	Get(ctx context.Context) (uint64, error)
	ShownConfiguration(ctx context.Context) (seq uint64, ready bool, err error)
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

func marshal(v any) []byte {
	b, _ := rawjson.Marshal(v)
	return b
}

// Attach attaches.
func (p *HTTP) Attach(ctx context.Context, name string) (a client.Attachment, err error) {
	return a, p.call(ctx, http.MethodPost, "/v1/attach", "", marshal(map[string]string{"visitor": name}), &a)
}

// Send sends.
func (p *HTTP) Send(ctx context.Context, token, topic string, call uint64, body []byte) (r client.Receipt, err error) {
	return r, p.call(ctx, http.MethodPost, "/v1/send", token,
		marshal(map[string]any{"topic": topic, "call_seq": call, "body": json.RawMessage(body)}), &r)
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
func (p *HTTP) ShownConfiguration(ctx context.Context) (uint64, bool, error) {
	var a struct {
		Description uint64 `json:"description"`
		Leased      bool   `json:"licensed"`
	}
	err := p.call(ctx, http.MethodGet, "/v1/status", "", nil, &a)
	return a.Description, a.Leased, err
}

const maxLineBytes = 4 << 20

// Follow reads a stream until it ends.
func (p *HTTP) Follow(ctx context.Context, token string, topics []string, cursor string,
	f func(client.Event) error) error {
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
	sc.Buffer(nil, maxLineBytes)
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
