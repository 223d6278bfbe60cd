// Package reachability finds out whether a node still reaches the partition leaders, and which
// peers do when it doesn't, so that its clients can be redirected to those.
//
// As long as heartbeats are answered a Monitor makes no calls. When one is late, it calls the
// leaders and asks peers at once; only when no leader answers and still no heartbeat was heard are
// the clients redirected, and only to peers that reach the leaders themselves. So clients aren't
// redirected in vain when it is the leaders that are gone.
//
// Run is the loop. It owns whether clients are redirected, blocks on its calls for a few hedge
// delays at most, and calls OnRedirect itself. A Monitor has no lock.
package reachability

import (
	"context"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Monitor watches over one node's way to the leaders. All exported fields are set before use.
type Monitor struct {
	Self   string
	Clock  clock.Clock
	Timing settings.Timing
	Net    wire.Network
	// LastHeard returns when a heartbeat was last answered, the zero time when none ever was.
	LastHeard func() time.Time
	// UsualLatency returns how long a heartbeat takes that is answered, and whether this node has
	// been here for long enough to know.
	UsualLatency func() (time.Duration, bool)
	// LeaderAddrs returns the addresses of the other nodes that lead partitions at present.
	LeaderAddrs func() []string
	// Peers returns the nodes that could take over this node's clients, in groups, the nearest
	// first.
	Peers func() [][]membership.Info
	// CheckServing returns an error where this node itself could not take over clients.
	CheckServing func() error
	// OnRedirect is called with the peers that are to take over this node's clients, and with none
	// once this node reaches the leaders again.
	OnRedirect func(to []membership.Info)
}

const (
	// A heartbeat is late after 3/2 of its interval.
	lateNumerator   = 3
	lateDenominator = 2
	// slackFactor times the usual latency is what a slow node or link is given more, since slow
	// isn't unreachable.
	slackFactor = 4
)

// Run watches the way to the leaders until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	isRedirected := false
	for pause := m.Timing.PingInterval(); m.Clock.Sleep(ctx, pause) == nil; {
		pause = m.Timing.PingInterval()
		isReached, peers := true, []membership.Info(nil)
		if m.isHeartbeatLate() {
			isReached, peers = m.check(ctx, !isRedirected)
			if isReached {
				pause = m.Timing.HeartbeatInterval()
			}
		}
		switch {
		case ctx.Err() != nil:
			return
		case isReached && isRedirected:
			isRedirected = false
			m.OnRedirect(nil)
		case !isReached && len(peers) > 0:
			isRedirected = true
			m.OnRedirect(peers)
		}
	}
}

// check reports whether some leader is reached or a heartbeat was answered meanwhile. If not, it
// returns the peers that reach the leaders, where askPeers is set.
func (m *Monitor) check(ctx context.Context, askPeers bool) (isReached bool, peers []membership.Info) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan []membership.Info, 1)
	go func() {
		if !askPeers {
			found <- nil
			return
		}
		found <- m.reachablePeers(ctx)
	}()
	if answered, all := m.callLeaders(ctx, enoughForSelf); answered > 0 || all == 0 {
		return true, nil
	}
	peers = <-found
	return !m.isHeartbeatLate(), peers
}

// isHeartbeatLate reports whether no heartbeat was answered for longer than is usual here. It is
// false on a node that doesn't know what is usual.
func (m *Monitor) isHeartbeatLate() bool {
	_, isKnown := m.UsualLatency()
	last := m.LastHeard()
	if !isKnown || last.IsZero() {
		return false
	}
	limit := m.Timing.HeartbeatInterval()*lateNumerator/lateDenominator + m.slack()
	return m.Clock.Now().Sub(last) > limit
}

func (m *Monitor) slack() time.Duration {
	latency, _ := m.UsualLatency()
	return slackFactor * latency
}
