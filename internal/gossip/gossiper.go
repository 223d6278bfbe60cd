// Package gossip distributes the voter set, the configuration and the partition records to all
// nodes: nodes send updates to a few peers and repair gaps by comparing digests.
//
// Every part has a version number, and a Store accepts only higher numbers, so updates may be late,
// duplicated or reordered. Updates of ownership (voter set and records) can't wait and are pushed:
// by the node that wrote a record (Broadcast), and by nodes with a disk to those without one
// (relay). A configuration is sent by the control nodes, and to all others with their heartbeats.
// What is lost on any of these paths is repaired by exchanges. Each node makes one of them from
// time to time, and several after an update.
//
// Store has a lock of its own, held for memory operations only. Gossiper.Run is the loop. It never
// blocks on a call: exchanges and pushes run in goroutines that end with the call time-out. Records
// without their history must never be sent to a node that writes records (forPeer).
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

// Gossiper distributes the updates of one node's store. All exported fields are set before use.
type Gossiper struct {
	Self   string
	Net    wire.Network
	Clock  clock.Clock
	Timing settings.Timing
	Store  *Store
	// View returns the members of the fleet.
	View func() []membership.Info
	// Control reports that the node is a control node, from which others get configurations.
	Control bool
	// Disk reports that the node has a disk of any kind: it relays updates of ownership to some of
	// the nodes that have none. A node without a disk writes no records, and has them without their
	// history.
	Disk bool

	// Only Run uses these fields. relayedDigest is the digest of Store, and relayedUpdates its count
	// of ownership updates, at the last relay. seenUpdates is the count at the last call of
	// ownershipChanged. roundsLeft is the number of rounds left. includeDiskless reports whether
	// rounds include nodes without a disk.
	relayedDigest   Digest
	relayedUpdates  uint64
	seenUpdates     uint64
	roundsLeft      int
	includeDiskless bool

	// mu guards all fields below.
	mu sync.Mutex
	// isFetching is set while an exchange that may fetch a configuration is in flight.
	isFetching bool
	// expectedConfiguration is the configuration that a peer was allowed to send. It counts as
	// known until expectedUntil.
	expectedConfiguration uint64
	expectedUntil         time.Time
	// consecutiveIdentical counts the latest exchanges that found nothing new.
	consecutiveIdentical int
	// pending are the records of the next broadcast. isBroadcasting is set while one is scheduled.
	pending        []assignment.Record
	isBroadcasting bool
	// exchanges counts the finished exchanges, repairs those that found a difference.
	exchanges uint64
	repairs   uint64
}

const (
	// peersPerRound is how many peers one round exchanges with.
	peersPerRound = 2
	// maxRounds limits the rounds after an update. They end early after maxIdentical consecutive
	// exchanges that find nothing new.
	maxRounds    = 12
	maxIdentical = 6
	// The pause between rounds is the heartbeat interval divided by roundPauseDivisor.
	roundPauseDivisor = 10 * peersPerRound
)

// Counts returns the number of finished exchanges, and of those that repaired a gap.
func (g *Gossiper) Counts() (exchanges, repairs uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exchanges, g.repairs
}

// Run exchanges with a few peers at once after an update, and again until several consecutive
// exchanges found nothing new. Otherwise it exchanges with one peer from time to time. It returns
// when ctx ends.
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

// randomPeers returns up to count other members. Unless includeDiskless is set, all of them have a
// disk.
func (g *Gossiper) randomPeers(count int, includeDiskless bool) []membership.Info {
	peers := membership.Filter(g.View(), func(node membership.Info) bool {
		return node.Name != g.Self && (includeDiskless || hasDisk(node))
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// waitForRound waits for an update or until the next regular exchange is due. It returns how many
// peers to exchange with, and whether nodes without a disk are included.
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

// ownershipChanged reports whether ownership was updated since the last call. Such an update can't
// wait for the next heartbeat. A configuration is passed on at once by control nodes only. All
// others get it with their heartbeats, each at its own time, which saves a small machine two dozen
// exchanges at once.
func (g *Gossiper) ownershipChanged() bool {
	previous := g.seenUpdates
	g.seenUpdates = g.Store.ownershipUpdateCount()
	return g.seenUpdates != previous
}

// beginRounds begins rounds after an update. They include nodes without a disk if includeDiskless
// is set, or if rounds that include them are still running. It reports whether they are included.
func (g *Gossiper) beginRounds(includeDiskless bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isRunning := g.roundsLeft > 0 && g.consecutiveIdentical < maxIdentical
	g.includeDiskless = includeDiskless || g.includeDiskless && isRunning
	g.roundsLeft, g.consecutiveIdentical = maxRounds, 0
	return g.includeDiskless
}

// roundsOver counts a round and reports whether that was the last one.
func (g *Gossiper) roundsOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roundsLeft--
	return g.roundsLeft < 0 || g.consecutiveIdentical >= maxIdentical
}

func hasDisk(node membership.Info) bool { return node.Disk != "" && node.Disk != settings.DiskNone }
