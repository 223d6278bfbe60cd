// Package wire is the RPC layer between nodes: connect-go with plain structs, encoded as CBOR.
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

// FormatVersion is the version of the wire format. A node rejects calls of newer versions.
const FormatVersion = 2

const (
	versionHeader = "Postjunction-Wire"
	fromHeader    = "Postjunction-From"
)

// Network sends requests to the addresses of peers.
type Network interface {
	connect.HTTPClient
}

// Envelope is the envelope of every response: a body, or the error of the call.
type Envelope[T any] struct {
	Body    *T              `json:"b,omitempty"`
	Problem *apierror.Error `json:"p,omitempty"`
}

// Procedure is a remote procedure with its path and types.
type Procedure[Q, A any] struct {
	Path    string
	clients sync.Map
}

// Idempotency says why a call may be retried when its outcome is unknown. There is no kind for
// calls that may not: a new procedure has to be one of these.
type Idempotency string

// The kinds of Idempotency.
const (
	// ReadOnly is for calls that change nothing.
	ReadOnly Idempotency = "reads"
	// Monotonic is for calls whose request has an epoch, a number or a position that only rises. A
	// repeated or late one changes nothing that is newer.
	Monotonic Idempotency = "ordered"
	// Deduplicated is for calls whose request has a unique name or number that the receiver
	// remembers, so that it is applied once.
	Deduplicated Idempotency = "numbered"
)

// NewProcedure registers and returns a procedure. idempotency says why its calls may be retried,
// and reason says what ensures that.
func NewProcedure[Q, A any](part, verb string, idempotency Idempotency, reason string) *Procedure[Q, A] {
	procedure := &Procedure[Q, A]{Path: "/postjunction." + part + "/" + verb}
	procedures = append(procedures, ProcedureInfo{Path: procedure.Path, Request: reflect.TypeFor[Q](),
		Response: reflect.TypeFor[A](), Idempotency: idempotency, Reason: reason})
	return procedure
}

// ProcedureInfo is the path and types of a procedure, and why its calls may be retried.
type ProcedureInfo struct {
	Path              string
	Request, Response reflect.Type
	Idempotency       Idempotency
	Reason            string
}

var procedures []ProcedureInfo

// Procedures returns all procedures of this program. Packages register them at initialization.
func Procedures() []ProcedureInfo { return procedures }

type clientKey struct {
	network Network
	addr    string
}

// Call calls the procedure at a peer. A failure of the transport is Unreachable: the outcome of the
// call is unknown.
func (p *Procedure[Q, A]) Call(ctx context.Context, network Network, from, addr string, request *Q) (*A, error) {
	key := clientKey{network, addr}
	client, ok := p.clients.Load(key)
	if !ok {
		client, _ = p.clients.LoadOrStore(key, connect.NewClient[Q, Envelope[A]](network, "http://"+addr+p.Path,
			connect.WithCodec(codec{}), connect.WithAcceptCompression("gzip", nil, nil)))
	}
	connectRequest := connect.NewRequest(request)
	connectRequest.Header().Set(versionHeader, strconv.Itoa(FormatVersion))
	connectRequest.Header().Set(fromHeader, from)
	response, err := client.(*connect.Client[Q, Envelope[A]]).CallUnary(ctx, connectRequest)
	if err != nil {
		return nil, apierror.Wrap(apierror.Unreachable, err, "%s at %s", p.Path, addr)
	}
	if response.Msg.Problem != nil {
		return nil, response.Msg.Problem.WithRetryAfter(milliseconds(response.Msg.Problem.RetryAfterMS))
	}
	if response.Msg.Body == nil {
		return nil, apierror.New(apierror.Unreachable, "%s at %s returned an empty response", p.Path, addr)
	}
	return response.Msg.Body, nil
}

// Handle registers the handler of the procedure's calls on mux.
func (p *Procedure[Q, A]) Handle(mux *http.ServeMux, handler func(context.Context, *Q) (*A, error)) {
	mux.Handle(p.Path, connect.NewUnaryHandler(p.Path,
		func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[Envelope[A]], error) {
			if version, err := strconv.Atoi(request.Header().Get(versionHeader)); err != nil ||
				version > FormatVersion {
				return connect.NewResponse(&Envelope[A]{Problem: apierror.New(
					apierror.WireNewer, "wire sequence %q, this build knows %d",
					request.Header().Get(versionHeader), FormatVersion,
				)}), nil
			}
			response, err := handler(ctx, request.Msg)
			if err != nil {
				problem := apierror.From(err)
				if problem.Code == apierror.Internal &&
					(errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)) {
					problem = apierror.New(apierror.Unreachable, "the call ended before its response")
				}
				return connect.NewResponse(&Envelope[A]{Problem: problem}), nil
			}
			return connect.NewResponse(&Envelope[A]{Body: response}), nil
		}, connect.WithCodec(codec{}), connect.WithCompression("gzip", nil, nil)))
}
