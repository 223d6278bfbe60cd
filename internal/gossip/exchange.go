package gossip

import (
	"context"
	"net/http"

	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// ExchangeRequest sends a digest, and an update to peers that are known to lack it. If it has a
// Hash of the state, the digest omits the records.
type ExchangeRequest struct {
	Digest Digest `json:"digest,omitzero"`
	Update Update `json:"news,omitzero"`
	Hash   uint64 `json:"h,omitempty"`
}

// ExchangeResponse returns the receiver's digest and the update that the sender lacks. Same reports
// instead that both have the same state.
type ExchangeResponse struct {
	Digest Digest `json:"digest,omitzero"`
	Update Update `json:"news,omitzero"`
	Same   bool   `json:"s,omitempty"`
}

// Exchange is the procedure of gossip.
var Exchange = wire.NewProcedure[ExchangeRequest, ExchangeResponse]("Gossip", "Exchange", wire.Monotonic,
	"updates are numbered, and only higher numbers are accepted")

// Serve registers the procedure with mux.
func (g *Gossiper) Serve(mux *http.ServeMux) { Exchange.Handle(mux, g.serveExchange) }

func (g *Gossiper) serveExchange(_ context.Context, request *ExchangeRequest) (*ExchangeResponse, error) {
	g.Store.Apply(request.Update)
	update := g.Store.Since(request.Digest)
	if request.Hash != 0 {
		if request.Hash == g.Store.Hash() {
			return &ExchangeResponse{Same: true}, nil
		}
		update.Records = nil
	}
	return &ExchangeResponse{
		Digest: g.responseDigest(request.Digest),
		Update: g.forPeer(update, request.Digest.OmitHistory),
	}, nil
}

// exchange compares digests with a peer. Each side sends what the other lacks.
func (g *Gossiper) exchange(ctx context.Context, peer membership.Info) {
	ctx, cancel := context.WithTimeout(ctx, g.Timing.CallTimeout())
	defer cancel()
	request := &ExchangeRequest{Digest: g.digest(), Hash: g.Store.Hash()}
	request.Digest.Records = nil
	mayFetch := g.beginFetch()
	request.Digest.ConfigurationPending = !mayFetch
	defer g.endFetch(mayFetch)
	response, err := Exchange.Call(ctx, g.Net, g.Self, peer.PeerAddr, request)
	if err != nil {
		return
	}
	differed := !response.Same && g.reconcile(ctx, peer, response, !mayFetch)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges++
	if differed {
		g.repairs++
		g.consecutiveIdentical = 0
	} else {
		g.consecutiveIdentical++
	}
}

// reconcile applies a response that shows a difference, and sends and fetches the rest by a second
// call. It reports whether either side had something new for the other.
func (g *Gossiper) reconcile(
	ctx context.Context, peer membership.Info, response *ExchangeResponse, configurationPending bool,
) bool {
	differed := !g.Store.Apply(response.Update).Empty()
	update := g.forPeer(g.Store.Since(response.Digest), peer.Disk == settings.DiskNone)
	if update.Empty() && !g.Store.lacksRecordsOf(response.Digest) {
		return differed
	}
	digest := g.digest()
	digest.ConfigurationPending = configurationPending
	request := &ExchangeRequest{Digest: digest, Update: update}
	if response, err := Exchange.Call(ctx, g.Net, g.Self, peer.PeerAddr, request); err == nil {
		g.Store.Apply(response.Update)
	}
	return true
}

// push sends an update to a peer, without requesting a configuration. A lost update isn't sent
// again, since exchanges repair that.
func (g *Gossiper) push(ctx context.Context, peer membership.Info, update Update) {
	ctx, cancel := context.WithTimeout(ctx, g.Timing.CallTimeout())
	defer cancel()
	digest := g.digest()
	digest.Configuration, digest.ConfigurationPending = 0, true
	request := &ExchangeRequest{Digest: digest, Update: g.forPeer(update, !hasDisk(peer))}
	_, _ = Exchange.Call(ctx, g.Net, g.Self, peer.PeerAddr, request)
}

// forPeer returns an update as it is sent to a peer: with records without their history if
// omitHistory is set. A node without a disk sends records to such peers only, since nodes that
// write records need them complete.
func (g *Gossiper) forPeer(update Update, omitHistory bool) Update {
	if omitHistory {
		return update.withoutHistory()
	}
	if !g.Disk {
		update.Records = nil
	}
	return update
}

func (g *Gossiper) digest() Digest {
	digest := g.Store.Digest()
	digest.OmitHistory = !g.Disk
	return digest
}

// responseDigest returns this node's digest in response to a peer's digest. After one peer was
// allowed to send a configuration, it counts as known towards the others for a heartbeat interval,
// so that they don't all send it complete at once.
func (g *Gossiper) responseDigest(peerDigest Digest) Digest {
	digest := g.digest()
	if peerDigest.Configuration <= digest.Configuration {
		return digest
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if peerDigest.Configuration <= g.expectedConfiguration && now.Before(g.expectedUntil) {
		digest.Configuration = peerDigest.Configuration
		return digest
	}
	g.expectedConfiguration, g.expectedUntil = peerDigest.Configuration, now.Add(g.Timing.HeartbeatInterval())
	return digest
}

// beginFetch reports whether an exchange may fetch a configuration. On a node that has none yet,
// one exchange at a time may, since the configuration is sent complete. endFetch must follow.
func (g *Gossiper) beginFetch() bool {
	hasNone := g.Store.Configuration().Sequence == 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if hasNone && g.isFetching {
		return false
	}
	g.isFetching = true
	return true
}

// endFetch ends an exchange. allowed is the result of beginFetch for it.
func (g *Gossiper) endFetch(allowed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if allowed {
		g.isFetching = false
	}
}
