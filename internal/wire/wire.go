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

// Envelope wraps every response. It has the body, or else the error of the call.
type Envelope[T any] struct {
	Body    *T              `json:"b,omitempty"`
	Problem *apierror.Error `json:"p,omitempty"`
}

// Procedure is a remote procedure with its path and types.
type Procedure[Req, Res any] struct {
	Path    string
	clients sync.Map
}

// Idempotency says why a call may be retried when its outcome is unknown. There is no kind for
// calls that must not be retried: a new procedure has to be of one of these kinds.
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
func NewProcedure[Req, Res any](part, verb string, idempotency Idempotency, reason string) *Procedure[Req, Res] {
	procedure := &Procedure[Req, Res]{Path: "/postjunction." + part + "/" + verb}
	procedures = append(procedures, ProcedureInfo{Path: procedure.Path, Request: reflect.TypeFor[Req](),
		Response: reflect.TypeFor[Res](), Idempotency: idempotency, Reason: reason})
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
func (p *Procedure[Req, Res]) Call(
	ctx context.Context, network Network, from, addr string, request *Req,
) (*Res, error) {
	key := clientKey{network, addr}
	client, ok := p.clients.Load(key)
	if !ok {
		client, _ = p.clients.LoadOrStore(key, connect.NewClient[Req, Envelope[Res]](network, "http://"+addr+p.Path,
			connect.WithCodec(codec{}), connect.WithAcceptCompression("gzip", nil, nil)))
	}
	connectRequest := connect.NewRequest(request)
	connectRequest.Header().Set(versionHeader, strconv.Itoa(FormatVersion))
	connectRequest.Header().Set(fromHeader, from)
	response, err := client.(*connect.Client[Req, Envelope[Res]]).CallUnary(ctx, connectRequest)
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
func (p *Procedure[Req, Res]) Handle(mux *http.ServeMux, handler func(context.Context, *Req) (*Res, error)) {
	mux.Handle(p.Path, connect.NewUnaryHandler(p.Path,
		func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Envelope[Res]], error) {
			if version, err := strconv.Atoi(request.Header().Get(versionHeader)); err != nil ||
				version > FormatVersion {
				return connect.NewResponse(&Envelope[Res]{Problem: apierror.New(
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
				return connect.NewResponse(&Envelope[Res]{Problem: problem}), nil
			}
			return connect.NewResponse(&Envelope[Res]{Body: response}), nil
		}, connect.WithCodec(codec{}), connect.WithCompression("gzip", nil, nil)))
}
