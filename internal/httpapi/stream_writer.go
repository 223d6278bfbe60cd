package httpapi

import (
	"net/http"
	"sync/atomic"
	"time"

	"postjunction/internal/apierror"
)

// streamWriter writes the lines of a stream. Once it is aborted nothing more is written, and a
// write in flight ends.
type streamWriter struct {
	response     http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	started      bool
	aborted      atomic.Bool
}

func (p *streamWriter) emit(b []byte) error {
	if !p.started {
		p.started = true
		p.response.Header().Set("Content-Type", "application/x-ndjson")
		p.response.Header().Set("Cache-Control", "no-store")
		p.response.WriteHeader(http.StatusOK)
	}
	_ = p.controller.SetWriteDeadline(time.Now().Add(p.writeTimeout))
	if p.aborted.Load() {
		p.abort()
		return apierror.New(apierror.SlowReader, "the stream was cut off")
	}
	if _, err := p.response.Write(b); err != nil {
		return apierror.Wrap(apierror.SlowReader, err, "write a line")
	}
	return apierror.Wrap(apierror.SlowReader, p.controller.Flush(), "flush a line")
}

func (p *streamWriter) abort() {
	p.aborted.Store(true)
	_ = p.controller.SetWriteDeadline(time.Unix(1, 0))
}
