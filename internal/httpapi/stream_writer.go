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

func (s *streamWriter) emit(line []byte) error {
	if !s.started {
		s.started = true
		s.response.Header().Set("Content-Type", "application/x-ndjson")
		s.response.Header().Set("Cache-Control", "no-store")
		s.response.WriteHeader(http.StatusOK)
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if s.aborted.Load() {
		s.abort()
		return apierror.New(apierror.SlowReader, "the stream was aborted")
	}
	if _, err := s.response.Write(line); err != nil {
		return apierror.Wrap(apierror.SlowReader, err, "write a line")
	}
	return apierror.Wrap(apierror.SlowReader, s.controller.Flush(), "flush a line")
}

func (s *streamWriter) abort() {
	s.aborted.Store(true)
	_ = s.controller.SetWriteDeadline(time.Unix(1, 0))
}
