package nodelease

import (
	"context"
	"net/http"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Confirmation is a control node's knowledge of the current configuration.
type Confirmation struct {
	// OK reports whether a majority confirmed, when asked at At, that the configuration numbered
	// Sequence is current.
	OK       bool
	Sequence uint64
	At       time.Time
	// Isolated reports that no majority has answered for a while.
	Isolated bool
}

// Server is a control node's side of sessions.
type Server struct {
	Self               string
	Seeds              []string
	AddressBook        *membership.AddressBook
	Clock              clock.Clock
	Timing             settings.Timing
	Net                wire.Network
	Table              *membership.Table
	Store              *gossip.Store
	Info               func() membership.Info
	LatestConfirmation func() Confirmation

	// mu guards the fields below, but for the last one. The lists in transfer have locks of their own.
	mu sync.Mutex
	// ownSessions are the sessions with this control node, by node.
	ownSessions map[string]nodeInfo
	// discoveredPeers are the control nodes that were found through the seeds, by name.
	discoveredPeers map[string]nodeInfo
	// contacting are the addresses that a call of contact to is in flight.
	contacting map[string]bool
	// nextContact is the number of former members that were contacted so far.
	nextContact    int
	sessionChanged chan struct{}
	// unansweredPeers are the control nodes, by address, that have not answered since an exchange
	// with them began.
	unansweredPeers map[string]unansweredPeer
	// startedAt is when the first heartbeat arrived.
	startedAt      time.Time
	lastInfoNumber uint64
	transfer       transferState

	// undiscoveredSince is since when this control node has known no other one and no voter set, the
	// zero time while it does. Only the goroutine of Run uses it.
	undiscoveredSince time.Time
}

// nodeInfo is the Info that a node sent, when it arrived, and the number that it was assigned.
type nodeInfo struct {
	info       membership.Info
	receivedAt time.Time
	number     uint64
}

// Serve registers the procedures for nodes and for other control nodes with mux.
func (s *Server) Serve(mux *http.ServeMux) {
	Heartbeat.Handle(mux, s.Heartbeat)
	membership.Sessions.Handle(mux, s.handleSessions)
}

// Heartbeat renews the session of the node that sent the request. An InfoReference that this
// control node doesn't know gets an empty response, which requests the complete Info. It never
// blocks on the network, and returns no error.
func (s *Server) Heartbeat(_ context.Context, request *HeartbeatRequest) (*HeartbeatResponse, error) {
	session, changed, ok := s.renewSession(request)
	if !ok {
		return &HeartbeatResponse{}, nil
	}
	if changed {
		select {
		case s.sessionChangeSignal() <- struct{}{}:
		default:
		}
	}
	s.Table.Observe(session.info, 0)
	response := &HeartbeatResponse{WarmingUp: s.isWarmingUp(session.receivedAt)}
	if request.KnownVersion != nil {
		change := s.currentMembers().Since(*request.KnownVersion)
		response.Change, response.InfoNumber = &change, session.number
	} else {
		response.Members = s.Table.Live()
	}
	confirmation := s.LatestConfirmation()
	response.Isolated = confirmation.Isolated
	if confirmation.OK {
		response.Confirmed, response.Sequence = true, confirmation.Sequence
		response.Age = s.Clock.Now().Sub(confirmation.At)
	}
	if voterSet := s.Store.VoterSet(); voterSet.Sequence > session.info.VoterSet {
		response.VoterSet = &voterSet
	}
	known := session.info.Configuration
	response.Configuration, response.Changes = s.Store.ConfigurationSince(known, request.AcceptsChanges)
	return response, nil
}

// renewSession records a heartbeat as of now. changed reports whether the other control nodes
// should be informed at once. ok is false if the request refers to an Info that this control node
// doesn't have.
func (s *Server) renewSession(request *HeartbeatRequest) (session nodeInfo, changed, ok bool) {
	now, name := s.Clock.Now(), request.Info.Name
	if request.InfoReference != nil {
		name = request.InfoReference.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownSessions == nil {
		s.ownSessions, s.startedAt = map[string]nodeInfo{}, now
	}
	previous, known := s.ownSessions[name]
	session = nodeInfo{request.Info, now, previous.number}
	if reference := request.InfoReference; reference != nil {
		if !known || previous.info.BootID != reference.BootID || previous.number != reference.InfoNumber {
			return nodeInfo{}, false, false
		}
		session.info = previous.info
	} else {
		s.lastInfoNumber++
		session.number = s.lastInfoNumber
	}
	s.ownSessions[name] = session
	return session, !known || previous.info.DiffersMaterially(session.info), true
}

// isWarmingUp reports whether the first heartbeat arrived less than a session time-out before now.
// Nodes may then be live that this control node does not know of yet.
func (s *Server) isWarmingUp(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.startedAt) < s.Timing.SessionTimeout()
}

// sessionChangeSignal returns the channel that makes Run exchange sessions at once.
func (s *Server) sessionChangeSignal() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessionChanged == nil {
		s.sessionChanged = make(chan struct{}, 1)
	}
	return s.sessionChanged
}

// currentSessions returns the sessions with this control node, and drops those that timed out.
func (s *Server) currentSessions() []membership.Session {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var sessions []membership.Session
	for name, session := range s.ownSessions {
		age := now.Sub(session.receivedAt)
		if age > s.Timing.SessionTimeout() {
			delete(s.ownSessions, name)
			continue
		}
		sessions = append(sessions, membership.Session{Info: session.info, Age: age})
	}
	return sessions
}
