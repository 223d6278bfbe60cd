package failuredetector

import (
	"context"
	"net/http"

	"postjunction/internal/wire"
)

// PingRequest asks for a sign of life.
type PingRequest struct{}

// PingResponse is one: the run of the process.
type PingResponse struct {
	BootID string `json:"b"`
}

// QueryRequest asks a peer what it knows of a node that doesn't answer.
type QueryRequest struct {
	Node string `json:"n"`
}

// QueryResponse says whether the node was heard lately.
type QueryResponse struct {
	Heard bool `json:"h"`
}

// The calls between nodes that watch one another.
var (
	Ping = wire.NewProcedure[PingRequest, PingResponse]("Watch", "Beat", wire.ReadOnly,
		"tells that the process lives")
	Query = wire.NewProcedure[QueryRequest, QueryResponse]("Watch", "Heard", wire.ReadOnly,
		"tells whom the receiver has heard")
)

// Serve adds the calls to mux.
func (d *Detector) Serve(mux *http.ServeMux) {
	Ping.Handle(mux, func(context.Context, *PingRequest) (*PingResponse, error) {
		return &PingResponse{BootID: d.BootID}, nil
	})
	Query.Handle(mux, func(_ context.Context, request *QueryRequest) (*QueryResponse, error) {
		heard, err := d.Heard(request.Node)
		return &QueryResponse{Heard: heard}, err
	})
}
