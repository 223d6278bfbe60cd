package register

import (
	"context"
	"net/http"

	"postjunction/internal/control/acceptor"
)

// Serve registers the proposer's procedures on mux.
func (p *Proposer) Serve(mux *http.ServeMux) {
	Change.Handle(mux, p.Change)
	Read.Handle(mux, p.Read)
	Leader.Handle(mux, p.serveLeader)
	TakeOver.Handle(mux, p.serveTakeOver)
}

func (p *Proposer) serveLeader(_ context.Context, request *LeaderRequest) (*LeaderResponse, error) {
	return &LeaderResponse{Leads: p.Leads(request.Key), Hint: p.state(request.Key).leaderHint}, nil
}

func (p *Proposer) serveTakeOver(ctx context.Context, request *TakeOverRequest) (*acceptor.Empty, error) {
	p.forgetLeader(request.Key)
	return &acceptor.Empty{}, p.lockAndAcquire(ctx, request.Key, false)
}
