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
	// AddressBook has the addresses to query if the seeds know no control node. The members of this
	// node's sessions are added to it.
	AddressBook *membership.AddressBook
	Info        func() membership.Info
	// Local is the Server on this node, nil if this node is not a control node.
	Local *Server
	Log   *event.Logger

	// mu guards controlNode, leaseUntil, lastHeardAt, leaseLogged, identified, attemptLatencies,
	// answeredLatencies, configurationBehind and controlWarmingUp.
	mu sync.Mutex
	// controlNode is the control node that the session is with.
	controlNode membership.Info
	leaseUntil  time.Time
	// lastHeardAt is when a control node last answered a heartbeat.
	lastHeardAt time.Time
	// leaseLogged is the state of the lease that was logged last.
	leaseLogged bool
	// identified are the nodes that sent this one an IdentifyRequest, by name.
	identified        map[string]nodeInfo
	attemptLatencies  latencyWindow
	answeredLatencies latencyWindow
	// configurationBehind is set when a configuration newer than this node's was confirmed.
	configurationBehind bool
	// controlWarmingUp is what the control node last reported about itself.
	controlWarmingUp bool

	// Only the goroutine of Run uses the fields below.

	// knownControlNodes are the control nodes of the last list of members that had some.
	knownControlNodes []membership.Info
	// exchangePeer is the control node that the next three fields refer to: the members that it
	// sent, the Info that it has of this node, and the number that it assigned to that Info, 0 for
	// none.
	exchangePeer   string
	members        membership.ListReplica
	sentInfo       membership.Info
	sentInfoNumber uint64
	// membersUncertain is set when the control node may have left out members that are live.
	membersUncertain bool
	// searchFailedSince is when the present search for a control node failed first, the zero time
	// before that. searchFailureLogged is set once that was logged.
	searchFailedSince   time.Time
	searchFailureLogged bool
}

// maxFailedSessions is how many control nodes in a row may answer no heartbeat before the known
// members count as outdated.
const maxFailedSessions = 2

// Run maintains the session until ctx ends. It blocks.
func (m *Manager) Run(ctx context.Context) {
	missed, startedAt := 0, m.Clock.Now()
	var search controlSearch
	var control membership.Info
	for ctx.Err() == nil {
		if control.Name == "" {
			var err error
			if control, err = m.chooseControlNode(ctx, search); err != nil {
				control, search.avoid, search.hadSession = membership.Info{}, "", false
				m.logSearchFailure(err)
				m.logLeaseChange()
				_ = m.Clock.Sleep(ctx, clock.Jitter(m.heartbeatPause(startedAt), 1, rand.Float64()))
				continue
			}
			search.hadSession, m.searchFailedSince, m.searchFailureLogged = false, time.Time{}, false
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
			missed, search = 0, controlSearch{hadSession: true}
		}
		m.logLeaseChange()
		if missed >= maxMissedHeartbeats {
			m.Log.Log(event.SessionMoved, "control", control.Name)
			search.avoid, missed, control = control.Name, 0, membership.Info{}
			if !search.hadSession {
				search.failedSessions++
			}
			continue
		}
		_ = m.Clock.Sleep(ctx, pause)
	}
}

// logSearchFailure logs that no control node was found, once for each search that takes longer than
// a session time-out. A node that has had no session yet reports a delayed start.
func (m *Manager) logSearchFailure(err error) {
	now := m.Clock.Now()
	if m.searchFailedSince.IsZero() {
		m.searchFailedSince = now
	}
	if m.searchFailureLogged || now.Sub(m.searchFailedSince) < m.Settings.Timing().SessionTimeout() {
		return
	}
	m.searchFailureLogged = true
	if m.ControlNode() == "" {
		m.Log.Log(event.StartDelayed, "problem", err)
		return
	}
	m.Log.Log(event.SessionMoved, "problem", err)
}

// heartbeatPause returns the pause before the next heartbeat. It is short until the first lease is
// granted, for no longer than a session time-out. It is also short under a control node that is
// warming up, for no longer than half of that.
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

// ControlNode returns the name of the control node of the current session, or "" before the first.
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

// LastHeard returns when this node last had an answer from the fleet: to a heartbeat, or, on a
// control node whose session is with itself, from a majority of voters.
func (m *Manager) LastHeard() time.Time {
	m.mu.Lock()
	isLocal, heardAt := m.Local != nil && m.controlNode.Name == m.Settings.Name, m.lastHeardAt
	m.mu.Unlock()
	if isLocal {
		return m.Local.LatestConfirmation().At
	}
	return heardAt
}
