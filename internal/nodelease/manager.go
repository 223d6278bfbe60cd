package nodelease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// maxMissedHeartbeats is how many heartbeats in a row may fail before the session moves to another
// control node.
const maxMissedHeartbeats = 2

// Manager is a node's side of its session.
type Manager struct {
	Settings settings.Options
	Clock    clock.Clock
	Net      wire.Network
	Store    *gossip.Store
	View     *membership.View
	Info     func() membership.Info
	// Local is the Server on this node, nil on a node that is no control node.
	Local *Server
	Log   *event.Logger

	// mu guards the fields below, up to the next blank line.
	mu sync.Mutex
	// controlNode is the control node that the session is with.
	controlNode membership.Info
	leaseUntil  time.Time
	// lastHeardAt is when a control node last answered a heartbeat.
	lastHeardAt time.Time
	// leaseLogged reports whether the lease was there when its state was last logged.
	leaseLogged bool
	// identified are the nodes that asked this one who it is, by name.
	identified        map[string]nodeInfo
	attemptLatencies  latencyWindow
	answeredLatencies latencyWindow
	// configurationBehind reports that a configuration newer than this node's was confirmed.
	configurationBehind bool
	// controlWarmingUp is what the control node last reported of itself.
	controlWarmingUp bool

	// Only the goroutine of Run uses the fields below.

	// knownControlNodes are the control nodes that were last among the members.
	knownControlNodes []membership.Info
	// exchangeWith is the control node that the next three fields are about: the members that it
	// sent, and the Info that it has of this node, with the number that it gave it, 0 for none.
	exchangeWith   string
	members        membership.ListReplica
	sentInfo       membership.Info
	sentInfoNumber uint64
	// membersUncertain reports that members which the control node left out may be there.
	membersUncertain bool
}

// Run keeps the session until ctx ends. It blocks.
func (m *Manager) Run(ctx context.Context) {
	avoid, missed, worked, startedAt := "", 0, false, m.Clock.Now()
	var control membership.Info
	for ctx.Err() == nil {
		if control.Name == "" {
			var err error
			if control, err = m.chooseControlNode(ctx, avoid, worked); err != nil {
				control, avoid, worked = membership.Info{}, "", false
				m.logLeaseChange()
				_ = m.Clock.Sleep(ctx, clock.Jitter(m.heartbeatPause(startedAt), 1, rand.Float64()))
				continue
			}
			worked = false
			m.Log.Log(event.Joined, "control", control.Name)
			m.setControlNode(control)
		}
		err := m.heartbeat(ctx, control)
		pause := m.heartbeatPause(startedAt)
		switch {
		case apierror.HasCode(err, apierror.NotReady):
		case err != nil:
			missed++
			if apierror.HasCode(err, apierror.Unreachable) {
				pause = m.Settings.Timing().RefusalRetryDelay()
			}
		default:
			missed, worked = 0, true
		}
		m.logLeaseChange()
		if missed >= maxMissedHeartbeats {
			m.Log.Log(event.SessionMoved, "control", control.Name)
			avoid, missed, control = control.Name, 0, membership.Info{}
			continue
		}
		_ = m.Clock.Sleep(ctx, pause)
	}
}

// heartbeatPause returns the pause before the next heartbeat: a short one while the first lease is
// to come, for no longer than a session, and a while longer under a control node that is warming
// up.
func (m *Manager) heartbeatPause(startedAt time.Time) time.Duration {
	timing := m.Settings.Timing()
	m.mu.Lock()
	defer m.mu.Unlock()
	age := m.Clock.Now().Sub(startedAt)
	awaitsLease := m.leaseUntil.IsZero() && age < timing.SessionTimeout()
	awaitsMembers := m.controlWarmingUp && age < timing.SessionTimeout()/2
	if awaitsLease || awaitsMembers {
		return clock.Jitter(timing.EagerHeartbeatInterval(), 1, rand.Float64())
	}
	return timing.HeartbeatInterval()
}

// ControlNode returns the name of the control node that the session is with, "" before there is
// one.
func (m *Manager) ControlNode() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controlNode.Name
}

func (m *Manager) setControlNode(control membership.Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.controlNode = control
}

// LastHeard returns when this node last heard from the fleet: an answer to a heartbeat, or, on a
// control node whose session is with itself, answers of a majority of voters.
func (m *Manager) LastHeard() time.Time {
	m.mu.Lock()
	local, heardAt := m.Local != nil && m.controlNode.Name == m.Settings.Name, m.lastHeardAt
	m.mu.Unlock()
	if local {
		return m.Local.LatestConfirmation().At
	}
	return heardAt
}
