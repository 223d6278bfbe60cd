// Package reachability checks whether a node reaches the partition leaders. If it doesn't, the
// package finds peers that do, so that the node's clients can be redirected to them.
//
// As long as heartbeats are answered, a Monitor makes no calls. When a heartbeat is late, it calls
// the leaders and asks peers at once. The clients are redirected only if no leader answers and no
// heartbeat was answered meanwhile, and only to peers that reach the leaders themselves. So clients
// aren't redirected in vain when the leaders have failed.
//
// Run is the loop. It owns the state of whether clients are redirected, blocks on its calls for a
// few hedge delays at most, and calls OnRedirect itself. A Monitor has no lock.
package reachability

import (
	"context"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Monitor checks one node's connection to the leaders. All exported fields are set before use.
type Monitor struct {
	Self   string
	Clock  clock.Clock
	Timing settings.Timing
	Net    wire.Network
	// LastHeard returns when a heartbeat was last answered, or the zero time if none ever was.
	LastHeard func() time.Time
	// UsualLatency returns the usual duration of an answered heartbeat, and false until this node
	// has measured enough of them.
	UsualLatency func() (time.Duration, bool)
	// LeaderAddrs returns the addresses of the other nodes that currently lead partitions.
	LeaderAddrs func() []string
	// Peers returns the nodes that could accept this node's clients, in groups, the nearest first.
	Peers func() [][]membership.Info
	// CheckServing returns an error if this node itself can't accept clients of others.
	CheckServing func() error
	// OnRedirect is called with the peers to redirect this node's clients to, and with none once
	// this node reaches the leaders again.
	OnRedirect func(to []membership.Info)
}

const (
	// A heartbeat is late after 3/2 of its interval.
	lateNumerator   = 3
	lateDenominator = 2
	// slackFactor times the usual latency is added to the limits of a slow node or link, since slow
	// isn't unreachable.
	slackFactor = 4
)

// Run checks the connection to the leaders until ctx ends.
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

// check reports whether some leader answers or a heartbeat was answered meanwhile. If not, and if
// askPeers is set, it returns the peers that reach the leaders.
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
	if answered, called := m.callLeaders(ctx, selfAnswerDivisor); answered > 0 || called == 0 {
		return true, nil
	}
	peers = <-found
	return !m.isHeartbeatLate(), peers
}

// isHeartbeatLate reports whether no heartbeat was answered for longer than is usual on this node.
// It is false until the node knows what is usual.
func (m *Monitor) isHeartbeatLate() bool {
	_, isKnown := m.UsualLatency()
	lastHeard := m.LastHeard()
	if !isKnown || lastHeard.IsZero() {
		return false
	}
	limit := m.Timing.HeartbeatInterval()*lateNumerator/lateDenominator + m.slack()
	return m.Clock.Now().Sub(lastHeard) > limit
}

func (m *Monitor) slack() time.Duration {
	latency, _ := m.UsualLatency()
	return slackFactor * latency
}
