// Package rejections records the newest calls that a node rejected, and why. A Recorder is shared
// by all goroutines of the node and never blocks.
package rejections

import (
	"context"
	"net/http"
	"sync"
	"time"

	"postjunction/internal/wire"
)

// Rejection is one call that was rejected.
type Rejection struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Verb    string    `json:"verb"`
	Client  string    `json:"visitor,omitempty"`
	Topic   string    `json:"topic,omitempty"`
	CallSeq uint64    `json:"call_seq,omitempty"`
	Code    string    `json:"code"`
	Message string    `json:"say"`
}

// Ring retains the newest values, up to a limit.
type Ring[T any] struct {
	// mu guards the fields below. Once the ring is full, next is the index of the oldest value.
	mu     sync.Mutex
	values []T
	next   int
	limit  int
}

// NewRing returns a ring for up to limit values.
func NewRing[T any](limit int) *Ring[T] { return &Ring[T]{limit: limit} }

// Add adds a value; it replaces the oldest one when the ring is full.
func (r *Ring[T]) Add(value T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.values) < r.limit {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % r.limit
}

// Filter returns the values for which matches returns true, oldest first.
func (r *Ring[T]) Filter(matches func(T) bool) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []T
	for i := range r.values {
		if value := r.values[(r.next+i)%len(r.values)]; matches(value) {
			found = append(found, value)
		}
	}
	return found
}

// Request asks a node for the rejected calls of a client; an empty topic and a zero CallSeq match
// any.
type Request struct {
	Client  string `json:"v"`
	Topic   string `json:"t,omitempty"`
	CallSeq uint64 `json:"c,omitempty"`
}

// Response has the newest rejections, oldest first.
type Response struct {
	Rejections []Rejection `json:"n,omitempty"`
}

// List is the procedure by which a node reads the rejections of another.
var List = wire.NewProcedure[Request, Response]("Visitor", "Turned", wire.ReadOnly, "notes of rejected calls")

// Recorder has the rejections of one node.
type Recorder struct{ *Ring[Rejection] }

const (
	maxRejections = 4096
	maxListed     = 64
)

// New returns an empty recorder.
func New() Recorder { return Recorder{NewRing[Rejection](maxRejections)} }

// Find returns the newest rejections that a request matches, oldest first.
func (r Recorder) Find(request Request) []Rejection {
	found := r.Filter(func(rejection Rejection) bool {
		return rejection.Client == request.Client &&
			(request.Topic == "" || rejection.Topic == request.Topic) &&
			(request.CallSeq == 0 || rejection.CallSeq == request.CallSeq)
	})
	return found[max(0, len(found)-maxListed):]
}

// Serve registers the procedure.
func (r Recorder) Serve(mux *http.ServeMux) {
	List.Handle(mux, func(_ context.Context, request *Request) (*Response, error) {
		return &Response{Rejections: r.Find(*request)}, nil
	})
}
