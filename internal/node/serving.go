package node

import (
	"context"
	"net/http"

	"postjunction/internal/client/rejections"
	"postjunction/internal/httpapi"
	"postjunction/internal/membership"
)

// PeerHandler returns the handler of calls from other nodes.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	membership.Identify.Handle(mux, n.leaseManager.Identify)
	n.gossiper.Serve(mux)
	n.router.Serve(mux)
	n.presence.Serve(mux)
	n.rejections.Serve(mux)
	n.granter.Serve(mux)
	n.reachability.Serve(mux)
	if n.leaseServer != nil {
		n.leaseServer.Serve(mux)
		n.proposer.Serve(mux)
		n.acceptor.Serve(mux)
		n.Operators.Serve(mux)
	}
	if n.replica != nil {
		n.replica.Serve(mux)
		n.detector.Serve(mux)
	}
	return mux
}

// API returns the HTTP API for clients and operators.
func (n *Node) API() *httpapi.API {
	return &httpapi.API{Clients: n.Clients, Operators: n.Operators, Timing: n.timing(), Ready: n.Ready}
}

// rejectionsOf returns the rejected calls that a node remembers and the request matches. The node
// may be this one or a peer.
func (n *Node) rejectionsOf(
	ctx context.Context, info membership.Info, request rejections.Request,
) ([]rejections.Rejection, error) {
	if info.Name == n.opts.Name {
		return n.rejections.Find(request), nil
	}
	response, err := rejections.List.Call(ctx, n.env.Net, n.opts.Name, info.PeerAddr, &request)
	if err != nil {
		return nil, err
	}
	return response.Rejections, nil
}

// counters returns this node's counters, by part.
func (n *Node) counters() map[string]any {
	admitted, shed := n.admission.Counts()
	streams, lines := n.Clients.Streams()
	exchanges, repaired := n.gossiper.Counts()
	counters := map[string]any{
		"streams": streams, "stream_lines": lines, "admitted": admitted, "shed": shed,
		"gossip_exchanges": exchanges, "gossip_mended": repaired, "owners": n.leaders.Views(),
	}
	if n.journal != nil {
		counters["journal"] = n.journal.Counters()
		counters["epochs_turned_away"] = n.replica.Rejected()
	}
	if n.proposer != nil {
		claims, writes := n.proposer.Counts()
		counters["key_claims"], counters["key_writes"] = claims, writes
	}
	return counters
}
