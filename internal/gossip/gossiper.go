// Package gossip spreads the voter set, the configuration and the partition records to all nodes:
// nodes pass updates on to a few peers and repair gaps by comparing digests.
//
// Every part is numbered, and a Store accepts only higher numbers, so updates may come late, twice
// or in any order. Updates of ownership (voter set and records) can't wait and are pushed: by the
// node that wrote a record (Broadcast), and by nodes with a disk to those without one (relay). A
// configuration spreads from the control nodes, and to all others with their heartbeats. What is
// lost on any of these ways is repaired by exchanges, of which each node makes one now and then and
// several after an update.
//
// Store has a lock of its own, held over memory only. Gossiper.Run is the loop; it never blocks on
// a call: exchanges and pushes run in goroutines that end with the call time-out. Records without
// their history must never reach a node that writes records (forPeer).
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Gossiper spreads the updates of one node's store. All exported fields are set before use.
type Gossiper struct {
	Self   string
	Net    wire.Network
	Clock  clock.Clock
	Timing settings.Timing
	Store  *Store
	// View returns the members of the fleet.
	View func() []membership.Info
	// Control says that the node is a control node, from which others have their updates.
	Control bool
	// Disk says that the node has a disk of any kind: it relays updates of ownership to some of the
	// nodes that have none. A node without a disk writes no records, and has them without their
	// history.
	Disk bool

	// These belong to Run: what Store held, and its count of ownership updates, at the last relay;
	// the count at the last look of ownershipChanged; the rounds left; and whether rounds go to
	// nodes without a disk too.
	relayed         Digest
	relayedUpdates  uint64
	seenUpdates     uint64
	roundsLeft      int
	includeDiskless bool

	// mu guards all below.
	mu sync.Mutex
	// fetching says that an exchange is under way with which a configuration may come.
	fetching bool
	// expectedConfiguration is the configuration that a peer was let send, which counts as known
	// until expectedUntil.
	expectedConfiguration uint64
	expectedUntil         time.Time
	// identicalInARow counts the last exchanges that found nothing new.
	identicalInARow int
	// pending are records that the next broadcast sends, which is under way if broadcasting.
	pending      []assignment.Record
	broadcasting bool
	// exchanges counts the exchanges made, repairs those that found a difference.
	exchanges uint64
	repairs   uint64
}

const (
	// peersPerRound is how many peers one round exchanges with.
	peersPerRound = 2
	// maxRounds is how many rounds there are at most after an update, and maxIdentical how many
	// exchanges in a row that find nothing new end them early.
	maxRounds    = 12
	maxIdentical = 6
	// roundPauseDivisor of the heartbeat interval is the pause between rounds.
	roundPauseDivisor = 10 * peersPerRound
)

// Counts returns the number of exchanges made, and of those that repaired a gap.
func (g *Gossiper) Counts() (exchanges, repairs uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exchanges, g.repairs
}

// Run exchanges with a few peers at once after an update, and again until several exchanges in a
// row found nothing new; else with one peer now and then. It returns when ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.Store.Changed()
		peerCount, includeDiskless := peersPerRound, g.includeDiskless
		switch {
		case g.Disk && g.ownershipChanged():
			includeDiskless = g.beginRounds(false)
		case g.roundsOver():
			peerCount, includeDiskless = g.waitForRound(ctx, changed)
		}
		g.relay(ctx)
		for _, peer := range g.randomPeers(peerCount, includeDiskless) {
			go g.exchange(ctx, peer)
		}
		if err := g.Clock.Sleep(ctx, g.Timing.HeartbeatInterval()/roundPauseDivisor); err != nil {
			return
		}
	}
}

// randomPeers returns up to count other members, only such with a disk unless includeDiskless.
func (g *Gossiper) randomPeers(count int, includeDiskless bool) []membership.Info {
	peers := membership.Filter(g.View(), func(node membership.Info) bool {
		return node.Name != g.Self && (includeDiskless || hasDisk(node))
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// waitForRound waits for an update or until it is time to ask someone. It returns how many peers to
// exchange with, and whether nodes without a disk are among them.
func (g *Gossiper) waitForRound(ctx context.Context, changed <-chan struct{}) (peerCount int, includeDiskless bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	due := make(chan struct{})
	go func() {
		_ = g.Clock.Sleep(ctx, clock.Jitter(g.Timing.LongPoll(), 1, rand.Float64()))
		close(due)
	}()
	select {
	case <-due:
		return 1, true
	case <-changed:
	}
	switch ownership := g.ownershipChanged(); {
	case ownership && g.Disk:
		return peersPerRound, g.beginRounds(false)
	case !ownership && g.Control:
		return peersPerRound, g.beginRounds(true)
	}
	return 0, false
}

// ownershipChanged reports whether ownership was updated since the last call. That can't wait for
// the next heartbeat. A configuration is passed on at once by control nodes only; all others get it
// with their heartbeats, each in its own time, which spares a small machine two dozen exchanges at
// once.
func (g *Gossiper) ownershipChanged() bool {
	before := g.seenUpdates
	g.seenUpdates = g.Store.ownershipUpdateCount()
	return g.seenUpdates != before
}

// beginRounds begins rounds after an update, with nodes without a disk too if includeDiskless or if
// rounds with them are still going on. It reports whether these are included.
func (g *Gossiper) beginRounds(includeDiskless bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isGoingOn := g.roundsLeft > 0 && g.identicalInARow < maxIdentical
	g.includeDiskless = includeDiskless || g.includeDiskless && isGoingOn
	g.roundsLeft, g.identicalInARow = maxRounds, 0
	return g.includeDiskless
}

// roundsOver counts a round and reports whether that was the last one.
func (g *Gossiper) roundsOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roundsLeft--
	return g.roundsLeft < 0 || g.identicalInARow >= maxIdentical
}

func hasDisk(node membership.Info) bool { return node.Disk != "" && node.Disk != settings.DiskNone }
