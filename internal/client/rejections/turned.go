// Package rejections remembers, within bounds, which calls a node turned away and why.
package rejections

import (
	"context"
	"net/http"
	"sync"
	"time"

	"postjunction/internal/wire"
)

// Note is one call that was turned away.
type Note struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Verb    string    `json:"verb"`
	Visitor string    `json:"visitor,omitempty"`
	Topic   string    `json:"topic,omitempty"`
	Call    uint64    `json:"call_seq,omitempty"`
	Code    string    `json:"code"`
	Say     string    `json:"say"`
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

// Where gives the values that f wants, oldest first.
func (r *Ring[T]) Where(f func(T) bool) []T {
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

// Task asks a node what it turned away; an empty topic and a zero call stand for any.
type Task struct {
	Visitor string `json:"v"`
	Topic   string `json:"t,omitempty"`
	Call    uint64 `json:"c,omitempty"`
}

// Answer gives the notes.
type Answer struct {
	Notes []Note `json:"n,omitempty"`
}

// Turned is the call that asks.
var Turned = wire.NewProcedure[Task, Answer]("Visitor", "Turned", wire.ReadOnly, "notes of rejected calls")

// Memory is one node's.
type Memory struct{ *Ring[Note] }

const (
	notesMost  = 4096
	answerMost = 64
)

// New makes an empty memory.
func New() Memory { return Memory{NewRing[Note](notesMost)} }

// Find gives the newest notes that fit a task.
func (m Memory) Find(q Task) []Note {
	ns := m.Where(func(n Note) bool {
		return n.Visitor == q.Visitor && (q.Topic == "" || n.Topic == q.Topic) && (q.Call == 0 || n.Call == q.Call)
	})
	return ns[max(0, len(ns)-answerMost):]
}

// Serve adds the call.
func (m Memory) Serve(x *http.ServeMux) {
	Turned.Handle(x, func(_ context.Context, q *Task) (*Answer, error) { return &Answer{Notes: m.Find(*q)}, nil })
}
