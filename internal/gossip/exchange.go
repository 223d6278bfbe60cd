package gossip

import (
	"context"
	"net/http"

	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// ExchangeRequest offers a digest, and an update to peers that are known to lack it. With a Hash of
// the state, the digest leaves the records out.
type ExchangeRequest struct {
	Digest Digest `json:"digest,omitzero"`
	Update Update `json:"news,omitzero"`
	Hash   uint64 `json:"h,omitempty"`
}

// ExchangeResponse returns the receiver's digest and what the sender lacks, or only that both have
// the Same.
type ExchangeResponse struct {
	Digest Digest `json:"digest,omitzero"`
	Update Update `json:"news,omitzero"`
	Same   bool   `json:"s,omitempty"`
}

// Exchange is the gossip call.
var Exchange = wire.NewProcedure[ExchangeRequest, ExchangeResponse]("Gossip", "Exchange", wire.Monotonic,
	"updates are numbered, and only higher numbers are accepted")

// Serve adds the gossip call to mux.
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

// exchange compares digests with a peer and has each send what the other lacks.
func (g *Gossiper) exchange(ctx context.Context, peer membership.Info) {
	ctx, cancel := context.WithTimeout(ctx, g.Timing.CallTimeout())
	defer cancel()
	request := &ExchangeRequest{Digest: g.digest(), Hash: g.Store.Hash()}
	request.Digest.Records = nil
	maySend := g.beginFetch()
	request.Digest.ConfigurationPending = !maySend
	defer g.endFetch(maySend)
	response, err := Exchange.Call(ctx, g.Net, g.Self, peer.PeerAddr, request)
	if err != nil {
		return
	}
	differed := !response.Same && g.reconcile(ctx, peer, response, !maySend)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges++
	if differed {
		g.repairs++
		g.identicalInARow = 0
	} else {
		g.identicalInARow++
	}
}

// reconcile takes in a response that shows a difference, and sends and fetches the rest by a second
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

// push sends an update to a peer, without asking for any configuration. It isn't sent again when it
// is lost: exchanges repair that.
func (g *Gossiper) push(ctx context.Context, peer membership.Info, update Update) {
	ctx, cancel := context.WithTimeout(ctx, g.Timing.CallTimeout())
	defer cancel()
	digest := g.digest()
	digest.Configuration, digest.ConfigurationPending = 0, true
	request := &ExchangeRequest{Digest: digest, Update: g.forPeer(update, !hasDisk(peer))}
	_, _ = Exchange.Call(ctx, g.Net, g.Self, peer.PeerAddr, request)
}

// forPeer returns an update as one peer is to have it: records without their history where it omits
// that. A node without a disk sends records to such peers only, since those that write records need
// them complete.
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

// responseDigest returns this node's digest for a peer that sent its own. A configuration that one
// peer was let send counts as known towards the others for a heartbeat, so that it doesn't come
// complete from all of them at once.
func (g *Gossiper) responseDigest(theirs Digest) Digest {
	digest := g.digest()
	if theirs.Configuration <= digest.Configuration {
		return digest
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if theirs.Configuration <= g.expectedConfiguration && now.Before(g.expectedUntil) {
		digest.Configuration = theirs.Configuration
		return digest
	}
	g.expectedConfiguration, g.expectedUntil = theirs.Configuration, now.Add(g.Timing.HeartbeatInterval())
	return digest
}

// beginFetch reports whether a configuration may come with an exchange: on a node that has none
// yet, with one exchange at a time, as it comes complete. endFetch ends what it allowed.
func (g *Gossiper) beginFetch() bool {
	hasNone := g.Store.Configuration().Sequence == 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if hasNone && g.fetching {
		return false
	}
	g.fetching = true
	return true
}

// endFetch ends an exchange; allowed is what beginFetch reported for it.
func (g *Gossiper) endFetch(allowed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if allowed {
		g.fetching = false
	}
}
