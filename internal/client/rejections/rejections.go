// Package rejections remembers, within bounds, which calls a node turned away and why.
package rejections

import (
	"context"
	"net/http"
	"sync"
	"time"

	"postjunction/internal/wire"
)

// Rejection is one call that was turned away.
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

// Ring keeps the newest values up to a number.
type Ring[T any] struct {
	mu   sync.Mutex
	vs   []T
	next int
	most int
}

// NewRing makes a ring of a size.
func NewRing[T any](most int) *Ring[T] { return &Ring[T]{most: most} }

// Add puts a value in, over the oldest when there is no room.
func (r *Ring[T]) Add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.vs) < r.most {
		r.vs = append(r.vs, v)
		return
	}
	r.vs[r.next] = v
	r.next = (r.next + 1) % r.most
}

// Filter gives the values that f wants, oldest first.
func (r *Ring[T]) Filter(f func(T) bool) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var vs []T
	for i := range r.vs {
		if v := r.vs[(r.next+i)%len(r.vs)]; f(v) {
			vs = append(vs, v)
		}
	}
	return vs
}

// Request asks a node what it turned away; an empty topic and a zero call stand for any.
type Request struct {
	Client  string `json:"v"`
	Topic   string `json:"t,omitempty"`
	CallSeq uint64 `json:"c,omitempty"`
}

// Response gives the notes.
type Response struct {
	Rejections []Rejection `json:"n,omitempty"`
}

// List is the call that asks.
var List = wire.NewProcedure[Request, Response]("Visitor", "Turned", wire.ReadOnly, "notes of rejected calls")

// Recorder is one node's.
type Recorder struct{ *Ring[Rejection] }

const (
	notesMost  = 4096
	answerMost = 64
)

// New makes an empty memory.
func New() Recorder { return Recorder{NewRing[Rejection](notesMost)} }

// Find gives the newest notes that fit a task.
func (m Recorder) Find(q Request) []Rejection {
	ns := m.Filter(func(n Rejection) bool {
		return n.Client == q.Client && (q.Topic == "" || n.Topic == q.Topic) && (q.CallSeq == 0 || n.CallSeq == q.CallSeq)
	})
	return ns[max(0, len(ns)-answerMost):]
}

// Serve adds the call.
func (m Recorder) Serve(x *http.ServeMux) {
	List.Handle(x, func(_ context.Context, q *Request) (*Response, error) { return &Response{Rejections: m.Find(*q)}, nil })
}
