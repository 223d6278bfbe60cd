// Package apierror holds the typed failures of the project and the helper that wraps and names them.
package apierror

import (
	"errors"
	"fmt"
	"time"
)

// Kind names a failure. Kinds are stable: visitors and operators may match on them.
type Kind string

// Fault is one finding inside a document, with the place it was found at.
type Fault struct {
	Place string `json:"place"`
	Say   string `json:"say"`
}

// Problem is the one error struct of the project.
type Problem struct {
	Kind    Kind          `json:"code"`
	Say     string        `json:"say"`
	Faults  []Fault       `json:"faults,omitempty"`
	Current *uint64       `json:"current,omitempty"`
	Retry   time.Duration `json:"-"`
	RetryMS int64         `json:"retry_after_ms,omitempty"`
	Cause   error         `json:"-"`
}

// Error gives the kind, the sentence and the cause.
func (p *Problem) Error() string {
	s := string(p.Kind)
	if p.Say != "" {
		s += ": " + p.Say
	}
	if p.Cause != nil {
		s += ": " + p.Cause.Error()
	}
	return s
}

// Unwrap gives the cause.
func (p *Problem) Unwrap() error { return p.Cause }

// Is makes errors.Is match on the kind.
func (p *Problem) Is(t error) bool {
	q, ok := t.(*Problem)
	return ok && q.Kind == p.Kind
}

// Status gives the HTTP status of the problem's kind.
func (p *Problem) Status() int { return catalogue[p.Kind].status }

// Advice gives the sentence that tells a visitor what to do.
func (p *Problem) Advice() string { return catalogue[p.Kind].advice }

// New makes a problem of a kind; the detail says what was seen.
func New(k Kind, f string, a ...any) *Problem {
	p := &Problem{Kind: k, Say: fmt.Sprintf(f, a...)}
	if r := catalogue[k].retry; r > 0 {
		p = p.After(r)
	}
	return p
}

// Wrap names an error from below. A problem inside keeps its kind; nil stays nil.
func Wrap(k Kind, err error, f string, a ...any) error {
	if err == nil {
		return nil
	}
	p := New(k, f, a...)
	p.Cause = err
	var in *Problem
	if errors.As(err, &in) {
		p.Kind, p.Faults, p.Current, p.Retry, p.RetryMS = in.Kind, in.Faults, in.Current, in.Retry, in.RetryMS
	}
	return p
}

// Because makes a problem of a kind with a cause that may be nil; unlike Wrap it never gives nil.
func Because(k Kind, err error, f string, a ...any) *Problem {
	p := New(k, f, a...)
	p.Cause = err
	return p
}

// After sets when the visitor is to come back.
func (p *Problem) After(d time.Duration) *Problem {
	p.Retry, p.RetryMS = d, d.Milliseconds()
	return p
}

// At sets the sequence that is current where the problem arose.
func (p *Problem) At(n uint64) *Problem {
	p.Current = &n
	return p
}

// With sets the faults.
func (p *Problem) With(f []Fault) *Problem {
	p.Faults = f
	return p
}

// Of gives the problem inside an error, or an Internal one around it.
func Of(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Kind: Internal, Say: "a failure without a name", Cause: err}
}

// Has tells whether an error is of a kind.
func Has(err error, k Kind) bool {
	var p *Problem
	return errors.As(err, &p) && p.Kind == k
}

// Known tells whether a kind stands in the catalogue.
func Known(k Kind) bool {
	_, ok := catalogue[k]
	return ok
}

// Kinds gives each kind with its status and advice, for the docs.
func Kinds() map[Kind]string {
	m := make(map[Kind]string, len(catalogue))
	for k, s := range catalogue {
		m[k] = fmt.Sprintf("%d %s", s.status, s.advice)
	}
	return m
}
