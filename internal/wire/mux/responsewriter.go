package mux

import (
	"net/http"
	"sync"
)

// responseWriter buffers a response in memory.
type responseWriter struct {
	header     http.Header
	status     int
	body       []byte
	headBuffer [256]byte
}

// Header returns the headers of the response.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status, once.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write appends to the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, b...)
	return len(b), nil
}

var writerPool = sync.Pool{New: func() any { return &responseWriter{header: http.Header{}} }}
