package failuredetector

import (
	"context"
	"net/http"

	"postjunction/internal/wire"
)

// PingRequest asks whether a process is alive.
type PingRequest struct{}

// PingResponse identifies the run of the process.
type PingResponse struct {
	BootID string `json:"b"`
}

// QueryRequest asks a peer what it knows of a node that doesn't answer.
type QueryRequest struct {
	Node string `json:"n"`
}

// QueryResponse reports whether the node answered the peer recently.
type QueryResponse struct {
	Heard bool `json:"h"`
}

// Ping checks that a process is alive. Query asks a peer about a third node.
var (
	Ping = wire.NewProcedure[PingRequest, PingResponse]("Watch", "Beat", wire.ReadOnly,
		"tells that the process lives")
	Query = wire.NewProcedure[QueryRequest, QueryResponse]("Watch", "Heard", wire.ReadOnly,
		"tells whom the receiver has heard")
)

// Serve registers the procedures with mux.
func (d *Detector) Serve(mux *http.ServeMux) {
	Ping.Handle(mux, func(context.Context, *PingRequest) (*PingResponse, error) {
		return &PingResponse{BootID: d.BootID}, nil
	})
	Query.Handle(mux, func(_ context.Context, request *QueryRequest) (*QueryResponse, error) {
		heard, err := d.Heard(request.Node)
		return &QueryResponse{Heard: heard}, err
	})
}
