package bootstrap

import (
	"context"
	"net/http"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// GrantRequest asks a seed for the grant to bootstrap a fleet with one control disk, where no seed
// has such a disk.
type GrantRequest struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Grant is the call that asks for it.
var Grant = wire.NewProcedure[GrantRequest, acceptor.Empty]("Founding", "Leave", wire.Deduplicated,
	"a seed grants to one disk while its process lives, and to the same one again")

// Granter is a seed's side of Grant. It grants to one disk at most in the life of the process. Only
// a process of the first start grants at all, so a restarted seed that forgot whom it granted to
// never grants to another.
type Granter struct {
	options settings.Options
	// voterSet returns the sequence of the voter set known here, 0 when none is.
	voterSet func() uint64

	// mu guards granted, which is the zero value until something was granted.
	mu      sync.Mutex
	granted GrantRequest
}

// NewGranter returns the granter of one seed; voterSet returns the sequence of the voter set known
// there, 0 when none is.
func NewGranter(options settings.Options, voterSet func() uint64) *Granter {
	return &Granter{options: options, voterSet: voterSet}
}

// Grant grants to the first disk that asks. It returns StaleVoterSet when the fleet is bootstrapped
// already, and NotBootstrapped when another disk has the grant or this node may not give any.
func (g *Granter) Grant(_ context.Context, request *GrantRequest) (*acceptor.Empty, error) {
	if sequence := g.voterSet(); sequence > 0 {
		return nil, apierror.New(apierror.StaleVoterSet, "the fleet is under voter set %d already", sequence).
			WithCurrent(sequence)
	}
	if g.options.BootstrapBy != settings.BootstrapSeeds || g.options.HasControlDisk() {
		return nil, apierror.New(apierror.NotBootstrapped, "%s may not grant a bootstrap", g.options.Name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.granted.Node == "" {
		g.granted = *request
	}
	if g.granted != *request {
		return nil, apierror.New(apierror.NotBootstrapped, "%s bootstraps the fleet", g.granted.Node)
	}
	return &acceptor.Empty{}, nil
}

// Serve adds the call to mux.
func (g *Granter) Serve(mux *http.ServeMux) { Grant.Handle(mux, g.Grant) }
