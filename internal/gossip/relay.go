package gossip

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"postjunction/internal/assignment"
	"postjunction/internal/membership"
)

const (
	// relaysPerNode is how many nodes with a disk relay to each node without one.
	relaysPerNode = 2
	// maxBroadcastPeers is how many peers are sent written records in addition to those that the
	// records name.
	maxBroadcastPeers = 16
	// Written records are collected into one broadcast for the heartbeat interval divided by
	// broadcastPauseDivisor.
	broadcastPauseDivisor = 150
)

// relay sends the new updates of ownership, on a node with a disk, to the nodes without one that it
// serves. After this node's start all updates are new to it, so it exchanges with them first to
// find out what they lack.
func (g *Gossiper) relay(ctx context.Context) {
	updates := g.Store.ownershipUpdateCount()
	if !g.Disk || updates == g.relayedUpdates {
		return
	}
	lastRelayed := g.relayedDigest
	g.relayedUpdates, g.relayedDigest = updates, g.Store.Digest()
	lastRelayed.ConfigurationPending = true
	update := g.Store.Since(lastRelayed)
	for _, peer := range g.relayTargets() {
		if lastRelayed.VoterSet == 0 {
			go g.exchange(ctx, peer)
			continue
		}
		go g.push(ctx, peer, update)
	}
}

// relayTargets returns the nodes without a disk that this node relays to.
func (g *Gossiper) relayTargets() []membership.Info {
	members := g.View()
	relays := membership.Filter(members, hasDisk)
	isSelf := func(node membership.Info) bool { return node.Name == g.Self }
	if !slices.ContainsFunc(relays, isSelf) {
		relays = append(relays, membership.Info{Name: g.Self})
	}
	return membership.Filter(members, func(node membership.Info) bool {
		return !hasDisk(node) && !isSelf(node) && isRelayFor(g.Self, relays, node.Name)
	})
}

// isRelayFor reports whether self is among the few relays that serve a node: those with the highest
// weights for it, which all nodes compute identically from the names (rendezvous hashing).
func isRelayFor(self string, relays []membership.Info, node string) bool {
	ownWeight, higherCount := rendezvousWeight(self, node), 0
	for _, relay := range relays {
		weight := rendezvousWeight(relay.Name, node)
		if weight > ownWeight || weight == ownWeight && relay.Name < self {
			higherCount++
		}
	}
	return higherCount < relaysPerNode
}

func rendezvousWeight(relay, node string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(relay + " " + node))
	weight := sum.Sum64()
	weight ^= weight >> 32
	weight *= 0x9e3779b97f4a7c15
	return weight ^ weight>>32
}

// Broadcast applies records that were written on this node and sends them at once to the nodes that
// they name, and to a few others with a disk that relay them. It doesn't wait for the calls.
func (g *Gossiper) Broadcast(ctx context.Context, records ...assignment.Record) {
	g.Store.Apply(Update{Records: records})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, records...)
	if g.isBroadcasting {
		return
	}
	g.isBroadcasting = true
	go func() {
		_ = g.Clock.Sleep(ctx, g.Timing.HeartbeatInterval()/broadcastPauseDivisor)
		g.mu.Lock()
		records := g.pending
		g.pending, g.isBroadcasting = nil, false
		g.mu.Unlock()
		g.pushRecords(ctx, records)
	}()
}

// pushRecords sends records to all nodes that they name, and to a few others with a disk.
func (g *Gossiper) pushRecords(ctx context.Context, records []assignment.Record) {
	namedNodes := map[string]bool{}
	for _, record := range records {
		for _, node := range record.Nodes() {
			namedNodes[node] = true
		}
	}
	peers := membership.Filter(g.View(), func(node membership.Info) bool {
		return node.Name != g.Self && hasDisk(node)
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	unnamedLeft := maxBroadcastPeers
	for _, peer := range peers {
		if !namedNodes[peer.Name] {
			unnamedLeft--
			if unnamedLeft < 0 {
				continue
			}
		}
		go g.push(ctx, peer, Update{Records: records})
	}
}
