package httpapi

import (
	"net/http"
	"sync/atomic"
	"time"

	"postjunction/internal/apierror"
)

// paper takes the lines of a stream. Once it is cut nothing goes to the visitor any more, and a write under way ends.
type paper struct {
	w     http.ResponseWriter
	c     *http.ResponseController
	most  time.Duration
	begun bool
	gone  atomic.Bool
}

func (p *paper) emit(b []byte) error {
	if !p.begun {
		p.begun = true
		p.w.Header().Set("Content-Type", "application/x-ndjson")
		p.w.Header().Set("Cache-Control", "no-store")
		p.w.WriteHeader(http.StatusOK)
	}
	_ = p.c.SetWriteDeadline(time.Now().Add(p.most))
	if p.gone.Load() {
		p.cut()
		return apierror.New(apierror.SlowReader, "the stream was cut off")
	}
	if _, err := p.w.Write(b); err != nil {
		return apierror.Wrap(apierror.SlowReader, err, "write a line")
	}
	return apierror.Wrap(apierror.SlowReader, p.c.Flush(), "flush a line")
}

func (p *paper) cut() {
	p.gone.Store(true)
	_ = p.c.SetWriteDeadline(time.Unix(1, 0))
}
