// Package apierror holds the typed failures of the project and the helper that wraps and names them.
package apierror

import (
	"errors"
	"fmt"
	"time"
)

// Code names a failure. Kinds are stable: visitors and operators may match on them.
type Code string

// Fault is one finding inside a document, with the place it was found at.
type Fault struct {
	Path    string `json:"place"`
	Message string `json:"say"`
}

// Error is the one error struct of the project.
type Error struct {
	Code         Code          `json:"code"`
	Message      string        `json:"say"`
	Faults       []Fault       `json:"faults,omitempty"`
	Current      *uint64       `json:"current,omitempty"`
	RetryAfter   time.Duration `json:"-"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Cause        error         `json:"-"`
}

// Error gives the kind, the sentence and the cause.
func (p *Error) Error() string {
	s := string(p.Code)
	if p.Message != "" {
		s += ": " + p.Message
	}
	if p.Cause != nil {
		s += ": " + p.Cause.Error()
	}
	return s
}

// Unwrap gives the cause.
func (p *Error) Unwrap() error { return p.Cause }

// Is makes errors.Is match on the kind.
func (p *Error) Is(t error) bool {
	q, ok := t.(*Error)
	return ok && q.Code == p.Code
}

// Status gives the HTTP status of the problem's kind.
func (p *Error) Status() int { return catalogue[p.Code].status }

// Advice gives the sentence that tells a visitor what to do.
func (p *Error) Advice() string { return catalogue[p.Code].advice }

// New makes a problem of a kind; the detail says what was seen.
func New(k Code, f string, a ...any) *Error {
	p := &Error{Code: k, Message: fmt.Sprintf(f, a...)}
	if r := catalogue[k].retry; r > 0 {
		p = p.WithRetryAfter(r)
	}
	return p
}

// Wrap names an error from below. A problem inside keeps its kind; nil stays nil.
func Wrap(k Code, err error, f string, a ...any) error {
	if err == nil {
		return nil
	}
	p := New(k, f, a...)
	p.Cause = err
	var in *Error
	if errors.As(err, &in) {
		p.Code, p.Faults, p.Current, p.RetryAfter, p.RetryAfterMS = in.Code, in.Faults, in.Current, in.RetryAfter, in.RetryAfterMS
	}
	return p
}

// WithCause makes a problem of a kind with a cause that may be nil; unlike Wrap it never gives nil.
func WithCause(k Code, err error, f string, a ...any) *Error {
	p := New(k, f, a...)
	p.Cause = err
	return p
}

// WithRetryAfter sets when the visitor is to come back.
func (p *Error) WithRetryAfter(d time.Duration) *Error {
	p.RetryAfter, p.RetryAfterMS = d, d.Milliseconds()
	return p
}

// WithCurrent sets the sequence that is current where the problem arose.
func (p *Error) WithCurrent(n uint64) *Error {
	p.Current = &n
	return p
}

// WithFaults sets the faults.
func (p *Error) WithFaults(f []Fault) *Error {
	p.Faults = f
	return p
}

// From gives the problem inside an error, or an Internal one around it.
func From(err error) *Error {
	var p *Error
	if errors.As(err, &p) {
		return p
	}
	return &Error{Code: Internal, Message: "a failure without a name", Cause: err}
}

// HasCode tells whether an error is of a kind.
func HasCode(err error, k Code) bool {
	var p *Error
	return errors.As(err, &p) && p.Code == k
}

// IsKnown tells whether a kind stands in the catalogue.
func IsKnown(k Code) bool {
	_, ok := catalogue[k]
	return ok
}

// Codes gives each kind with its status and advice, for the docs.
func Codes() map[Code]string {
	m := make(map[Code]string, len(catalogue))
	for k, s := range catalogue {
		m[k] = fmt.Sprintf("%d %s", s.status, s.advice)
	}
	return m
}
