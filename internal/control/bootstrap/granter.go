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

// GrantRequest asks a seed for leave to found a fleet of one control disk, where no seed has such a disk.
type GrantRequest struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Grant is the call for it.
var Grant = wire.NewProcedure[GrantRequest, acceptor.Empty]("Founding", "Leave", wire.Deduplicated, "a seed gives leave to one disk for its life, and to the same one again")

// Granter gives leave to one disk at most in the life of the process. Only a process of the first start gives any, so a
// restarted seed that forgot whom it gave leave to never gives it to another.
type Granter struct {
	opts   settings.Options
	roster func() uint64
	mu     sync.Mutex
	given  GrantRequest
}

// NewGranter makes the seeds' side; roster gives the sequence of the roster known here.
func NewGranter(o settings.Options, roster func() uint64) *Granter {
	return &Granter{opts: o, roster: roster}
}

// Grant gives leave to the first that asks.
func (l *Granter) Grant(_ context.Context, q *GrantRequest) (*acceptor.Empty, error) {
	if r := l.roster(); r > 0 {
		return nil, apierror.New(apierror.StaleVoterSet, "the fleet is under roster %d already", r).WithCurrent(r)
	}
	if l.opts.BootstrapBy != settings.BootstrapSeeds || l.opts.HasControlDisk() {
		return nil, apierror.New(apierror.NotBootstrapped, "%s gives no leave to found", l.opts.Name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.given.Node == "" {
		l.given = *q
	}
	if l.given != *q {
		return nil, apierror.New(apierror.NotBootstrapped, "%s founds the fleet", l.given.Node)
	}
	return &acceptor.Empty{}, nil
}

// Serve adds the call.
func (l *Granter) Serve(m *http.ServeMux) { Grant.Handle(m, l.Grant) }
