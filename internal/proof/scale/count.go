package scale

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"postjunction/internal/wire"
)

// Calls are the calls of one procedure and the bytes of their bodies.
type Calls struct {
	Calls uint64 `json:"calls"`
	Out   uint64 `json:"out"`
	In    uint64 `json:"in"`
}

type tally struct{ calls, out, in atomic.Uint64 }

type counter struct{ m sync.Map }

func (c *counter) of(path string) *tally {
	v, ok := c.m.Load(path)
	if !ok {
		v, _ = c.m.LoadOrStore(path, &tally{})
	}
	return v.(*tally)
}

func (c *counter) read() map[string]Calls {
	m := map[string]Calls{}
	c.m.Range(func(k, v any) bool {
		t := v.(*tally)
		m[k.(string)] = Calls{Calls: t.calls.Load(), Out: t.out.Load(), In: t.in.Load()}
		return true
	})
	return m
}

type countedBody struct {
	io.ReadCloser
	n *atomic.Uint64
}

// Read reads and counts.
func (b countedBody) Read(p []byte) (int, error) {
	k, err := b.ReadCloser.Read(p)
	b.n.Add(uint64(k))
	return k, err
}

type countedNetwork struct {
	wire.Network
	c *counter
}

// Do asks and counts.
func (n *countedNetwork) Do(r *http.Request) (*http.Response, error) {
	t := n.c.of(r.URL.Path)
	t.calls.Add(1)
	switch {
	case r.ContentLength > 0:
		t.out.Add(uint64(r.ContentLength))
	case r.Body != nil && r.ContentLength < 0:
		r.Body = countedBody{r.Body, &t.out}
	}
	a, err := n.Network.Do(r)
	if err == nil {
		a.Body = countedBody{a.Body, &t.in}
	}
	return a, err
}

type countedWriter struct {
	http.ResponseWriter
	n *atomic.Uint64
}

// Write writes and counts.
func (w countedWriter) Write(p []byte) (int, error) {
	k, err := w.ResponseWriter.Write(p)
	w.n.Add(uint64(k))
	return k, err
}

func countedHandler(c *counter, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := c.of(r.URL.Path)
		t.calls.Add(1)
		r.Body = countedBody{r.Body, &t.in}
		h.ServeHTTP(countedWriter{w, &t.out}, r)
	})
}
