// Package apierror holds the typed errors of the project: their codes with status, advice and retry
// time, and the functions that make, wrap and find them. It has no state.
package apierror

import (
	"errors"
	"fmt"
	"time"
)

// Code names a kind of error. Codes are stable: clients and operators may match on them.
type Code string

// Fault is one fault of a document, with its path there.
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

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	text := string(e.Code)
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, nil for none.
func (e *Error) Unwrap() error { return e.Cause }

// Is makes errors.Is match on the code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// Status returns the HTTP status of the error's code.
func (e *Error) Status() int { return catalogue[e.Code].status }

// Advice returns the sentence that says what a client should do.
func (e *Error) Advice() string { return catalogue[e.Code].advice }

// New makes an error with a code; the message says what was seen.
func New(code Code, format string, args ...any) *Error {
	e := &Error{Code: code, Message: fmt.Sprintf(format, args...)}
	if retry := catalogue[code].retry; retry > 0 {
		e = e.WithRetryAfter(retry)
	}
	return e
}

// Wrap wraps an error under a code. An Error inside keeps its own code, faults, current and retry
// time; nil stays nil.
func Wrap(code Code, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	e := New(code, format, args...)
	e.Cause = err
	var inner *Error
	if errors.As(err, &inner) {
		e.Code, e.Faults, e.Current = inner.Code, inner.Faults, inner.Current
		e.RetryAfter, e.RetryAfterMS = inner.RetryAfter, inner.RetryAfterMS
	}
	return e
}

// WithCause makes an error with a code and a cause that may be nil; unlike Wrap it never returns
// nil.
func WithCause(code Code, err error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = err
	return e
}

// WithRetryAfter sets, in place, after which time the client is to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter, e.RetryAfterMS = d, d.Milliseconds()
	return e
}

// WithCurrent sets, in place, the sequence that is current where the error arose.
func (e *Error) WithCurrent(n uint64) *Error {
	e.Current = &n
	return e
}

// WithFaults sets, in place, the faults.
func (e *Error) WithFaults(f []Fault) *Error {
	e.Faults = f
	return e
}

// From returns the Error inside an error, or an Internal one around it.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Code: Internal, Message: "a failure without a name", Cause: err}
}

// HasCode reports whether an error has an Error with a code inside.
func HasCode(err error, code Code) bool {
	var found *Error
	return errors.As(err, &found) && found.Code == code
}

// IsKnown reports whether a code is in the catalogue.
func IsKnown(code Code) bool {
	_, ok := catalogue[code]
	return ok
}

// Codes returns the status and advice of each code, for the docs.
func Codes() map[Code]string {
	described := make(map[Code]string, len(catalogue))
	for code, spec := range catalogue {
		described[code] = fmt.Sprintf("%d %s", spec.status, spec.advice)
	}
	return described
}
