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

// GrantRequest asks a seed for the grant to bootstrap a fleet with one control disk, if no seed has
// such a disk.
type GrantRequest struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Grant is the procedure for a GrantRequest.
var Grant = wire.NewProcedure[GrantRequest, acceptor.Empty]("Founding", "Leave", wire.Deduplicated,
	"a seed grants to one disk while its process lives, and to the same one again")

// Granter serves Grant on a seed. It grants to at most one disk in the lifetime of the process.
// Only the process of the first start grants at all. So a restarted seed, which has lost its grant,
// never grants to another disk.
type Granter struct {
	options settings.Options
	// voterSet returns the sequence of the voter set known on this node, 0 if none is.
	voterSet func() uint64

	// mu guards granted, which is the zero value before the first grant.
	mu      sync.Mutex
	granted GrantRequest
}

// NewGranter returns the granter of one seed. voterSet returns the sequence of the voter set known
// on that node, 0 if none is.
func NewGranter(options settings.Options, voterSet func() uint64) *Granter {
	return &Granter{options: options, voterSet: voterSet}
}

// Grant grants to the first disk that asks, and to the same disk again. It returns StaleVoterSet if
// the fleet is bootstrapped already, and NotBootstrapped if another disk has the grant or this node
// may not grant.
func (g *Granter) Grant(_ context.Context, request *GrantRequest) (*acceptor.Empty, error) {
	if sequence := g.voterSet(); sequence > 0 {
		return nil, apierror.New(apierror.StaleVoterSet, "the fleet is already under voter set %d", sequence).
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

// Serve registers the procedure on mux.
func (g *Granter) Serve(mux *http.ServeMux) { Grant.Handle(mux, g.Grant) }
