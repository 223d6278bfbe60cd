// Package wire carries calls between nodes: connect-go with plain structs as CBOR.
package wire

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"strconv"
	"sync"

	"connectrpc.com/connect"

	"postjunction/internal/apierror"
)

// FormatVersion is the number of the wire format; a node turns away what is newer.
const FormatVersion = 2

const (
	sequenceHeader = "Postjunction-Wire"
	fromHeader     = "Postjunction-From"
)

// Network gives the means to reach a peer's address.
type Network interface {
	connect.HTTPClient
}

// Envelope is the envelope of every answer.
type Envelope[T any] struct {
	Body    *T              `json:"b,omitempty"`
	Problem *apierror.Error `json:"p,omitempty"`
}

// Procedure names a call and its types.
type Procedure[Q, A any] struct {
	Path   string
	client sync.Map
}

// Idempotency says why a call may be made again when the outcome of the first one is not known.
// There is no kind for calls that may not: a new call has to be one of these.
type Idempotency string

// The kinds of Repeat.
const (
	// ReadOnly is of calls that change nothing.
	ReadOnly Idempotency = "reads"
	// Monotonic is of calls whose task has an epoch, a number or a place that only rises: done again,
	// or late, it changes nothing that is newer.
	Monotonic Idempotency = "ordered"
	// Deduplicated is of calls whose task has a name or number of its own that the receiver remembers,
	// so that it is done once.
	Deduplicated Idempotency = "numbered"
)

// NewProcedure makes a procedure. It may be repeated for the given kind of reason; how says what that rests on.
func NewProcedure[Q, A any](part, verb string, repeat Idempotency, how string) *Procedure[Q, A] {
	p := &Procedure[Q, A]{Path: "/postjunction." + part + "/" + verb}
	shapes = append(shapes, ProcedureInfo{Path: p.Path, Request: reflect.TypeFor[Q](),
		Response: reflect.TypeFor[A](), Idempotency: repeat, Reason: how})
	return p
}

// ProcedureInfo is a procedure's path and types, and why it may be repeated.
type ProcedureInfo struct {
	Path              string
	Request, Response reflect.Type
	Idempotency       Idempotency
	Reason            string
}

var shapes []ProcedureInfo

// Procedures gives all procedures that this program names; procedures are named while packages start.
func Procedures() []ProcedureInfo { return shapes }

type key struct {
	net  Network
	addr string
}

// Call calls a peer. A failure of the path between is Unreachable: the outcome is not known.
func (p *Procedure[Q, A]) Call(ctx context.Context, n Network, from, addr string, q *Q) (*A, error) {
	k := key{n, addr}
	v, ok := p.client.Load(k)
	if !ok {
		v, _ = p.client.LoadOrStore(k, connect.NewClient[Q, Envelope[A]](n, "http://"+addr+p.Path,
			connect.WithCodec(codec{}), connect.WithAcceptCompression("gzip", nil, nil)))
	}
	r := connect.NewRequest(q)
	r.Header().Set(sequenceHeader, strconv.Itoa(FormatVersion))
	r.Header().Set(fromHeader, from)
	a, err := v.(*connect.Client[Q, Envelope[A]]).CallUnary(ctx, r)
	if err != nil {
		return nil, apierror.Wrap(apierror.Unreachable, err, "%s at %s", p.Path, addr)
	}
	if a.Msg.Problem != nil {
		return nil, a.Msg.Problem.WithRetryAfter(ms(a.Msg.Problem.RetryAfterMS))
	}
	if a.Msg.Body == nil {
		return nil, apierror.New(apierror.Unreachable, "%s at %s gave an empty answer", p.Path, addr)
	}
	return a.Msg.Body, nil
}

// Handle serves a procedure.
func (p *Procedure[Q, A]) Handle(m *http.ServeMux, f func(context.Context, *Q) (*A, error)) {
	m.Handle(p.Path, connect.NewUnaryHandler(p.Path,
		func(ctx context.Context, r *connect.Request[Q]) (*connect.Response[Envelope[A]], error) {
			if n, err := strconv.Atoi(r.Header().Get(sequenceHeader)); err != nil || n > FormatVersion {
				return connect.NewResponse(&Envelope[A]{Problem: apierror.New(apierror.WireNewer,
					"wire sequence %q, this build knows %d", r.Header().Get(sequenceHeader), FormatVersion)}), nil
			}
			a, err := f(ctx, r.Msg)
			if err != nil {
				q := apierror.From(err)
				if q.Code == apierror.Internal && (errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)) {
					q = apierror.New(apierror.Unreachable, "the call ended before its answer")
				}
				return connect.NewResponse(&Envelope[A]{Problem: q}), nil
			}
			return connect.NewResponse(&Envelope[A]{Body: a}), nil
		}, connect.WithCodec(codec{}), connect.WithCompression("gzip", nil, nil)))
}
