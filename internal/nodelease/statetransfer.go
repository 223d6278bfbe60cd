package nodelease

import (
	"context"
	"time"

	"postjunction/internal/membership"
)

const (
	// memberChecksPerHeartbeat is how often in a heartbeat interval the table of members is checked
	// for members that timed out.
	memberChecksPerHeartbeat = 10
	// The age of a session is sent separately if it exceeds the heartbeat interval by more than the
	// interval divided by lateDivisor.
	lateDivisor = 3
)

// transferState is what a control node sent and received as changes. Server.mu guards it, except
// for the contents of the versioned lists, which have locks of their own.
type transferState struct {
	// members are all live members. ownSessions are the nodes with a session here.
	members     membership.VersionedList
	ownSessions membership.VersionedList
	// tableChanged is closed when the table of members changes after checkedAt.
	tableChanged <-chan struct{}
	checkedAt    time.Time
	// confirmedSequence is the sequence number of the configuration confirmed last. It has been
	// confirmed since confirmedAt.
	confirmedSequence uint64
	confirmedAt       time.Time
	// requiredSequence is the sequence number of the configuration that every node must have.
	requiredSequence uint64
	// peerVersions are the versions of this node's sessions that other control nodes have, by
	// address.
	peerVersions map[string]membership.Version
	// peerNames are the names of other control nodes, by address.
	peerNames map[string]string
	// received are the sessions of other control nodes, by name.
	received map[string]*membership.ListReplica
}

// currentMembers returns the list of live members. It is updated when the table of members has
// changed, and a few times in a heartbeat interval to remove members that timed out.
func (s *Server) currentMembers() *membership.VersionedList {
	if s.membersAreFresh() {
		return &s.transfer.members
	}
	infos := s.Table.Live()
	required := s.requiredConfiguration()
	for i, info := range infos {
		infos[i] = info.Stable()
		infos[i].ConfigurationStale = info.Configuration < required
	}
	s.transfer.members.Set(infos)
	return &s.transfer.members
}

// membersAreFresh reports whether the list of members is up to date. If not, it records the time of
// the check, and the caller updates the list.
func (s *Server) membersAreFresh() bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transfer.tableChanged != nil &&
		now.Sub(s.transfer.checkedAt) < s.Timing.HeartbeatInterval()/memberChecksPerHeartbeat {
		select {
		case <-s.transfer.tableChanged:
		default:
			return true
		}
	}
	s.transfer.tableChanged, s.transfer.checkedAt = s.Table.Changed(), now
	return false
}

// requiredConfiguration returns the sequence number of the configuration that every node must have
// by now: the one confirmed here once it has been confirmed for the duration of a lease, and until
// then the one required before it.
func (s *Server) requiredConfiguration() uint64 {
	confirmation := s.LatestConfirmation()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := &s.transfer
	if confirmation.OK && confirmation.Sequence != state.confirmedSequence {
		state.confirmedSequence, state.confirmedAt = confirmation.Sequence, confirmation.At
	}
	if s.Clock.Now().Sub(state.confirmedAt) >= s.Timing.LeaseDuration() {
		state.requiredSequence = state.confirmedSequence
	}
	return state.requiredSequence
}

// handleSessions returns this control node's sessions to another one. An older build, which sends
// no version, receives all of them. Any other receives the change from the version that it has.
func (s *Server) handleSessions(
	_ context.Context, request *membership.SessionsRequest,
) (*membership.SessionsResponse, error) {
	s.observeSessions(request.Sessions)
	if request.KnownVersion == nil {
		return &membership.SessionsResponse{Sessions: s.currentSessions()}, nil
	}
	s.applyPeerUpdate(request.From, request.Update)
	update, received := s.sessionUpdate(*request.KnownVersion), s.receivedVersion(request.From)
	return &membership.SessionsResponse{From: s.Self, Update: &update, KnownVersion: &received}, nil
}

// sessionsRequest returns the request of an exchange. It has all sessions for a control node that
// has sent no version so far, and otherwise the change from the version that it has.
func (s *Server) sessionsRequest(address string) *membership.SessionsRequest {
	s.mu.Lock()
	known, ok := s.transfer.peerVersions[address]
	name := s.transfer.peerNames[address]
	s.mu.Unlock()
	received := s.receivedVersion(name)
	request := &membership.SessionsRequest{From: s.Self, KnownVersion: &received}
	if !ok {
		request.Sessions = s.currentSessions()
		return request
	}
	update := s.sessionUpdate(known)
	request.Update = &update
	return request
}

// sessionUpdate returns the sessions with this control node as a change from a version. The highest
// age applies to all sessions whose heartbeats came in time. The ages of the others are listed.
func (s *Server) sessionUpdate(known membership.Version) membership.SessionUpdate {
	var infos []membership.Info
	var update membership.SessionUpdate
	for _, session := range s.currentSessions() {
		infos = append(infos, session.Info)
		if session.Age > s.Timing.HeartbeatInterval()+s.Timing.HeartbeatInterval()/lateDivisor {
			if update.Late == nil {
				update.Late = map[string]time.Duration{}
			}
			update.Late[session.Info.Name] = session.Age
			continue
		}
		update.Age = max(update.Age, session.Age)
	}
	s.transfer.ownSessions.Set(infos)
	update.Change = s.transfer.ownSessions.Since(known)
	return update
}

// receivedVersion returns the version of another control node's sessions that this one has.
func (s *Server) receivedVersion(name string) membership.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replica := s.transfer.received[name]; replica != nil {
		return replica.Version()
	}
	return membership.Version{}
}

// applyPeerUpdate applies an update of another control node's sessions. It returns false if the
// update builds on a version that this node doesn't have, so that a complete one has to be
// requested.
func (s *Server) applyPeerUpdate(name string, update *membership.SessionUpdate) bool {
	if update == nil {
		return true
	}
	infos, ok := s.applyPeerChange(name, update.Change)
	for _, info := range infos {
		age, late := update.Late[info.Name]
		if !late {
			age = update.Age
		}
		s.Table.Observe(info, age)
	}
	return ok
}

// applyPeerChange applies a change and returns all sessions of the other control node.
func (s *Server) applyPeerChange(name string, change membership.Change) ([]membership.Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transfer.received == nil {
		s.transfer.received = map[string]*membership.ListReplica{}
	}
	replica := s.transfer.received[name]
	if replica == nil {
		replica = &membership.ListReplica{}
		s.transfer.received[name] = replica
	}
	if !replica.Apply(change) {
		return nil, false
	}
	return replica.All(), true
}

// recordPeerVersion records which version of this node's sessions the control node at an address
// has after an exchange. It returns false if that node could not apply the change that it was sent.
func (s *Server) recordPeerVersion(
	address string, request *membership.SessionsRequest, response *membership.SessionsResponse,
) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := &s.transfer
	if state.peerVersions == nil {
		state.peerVersions, state.peerNames = map[string]membership.Version{}, map[string]string{}
	}
	if response.KnownVersion == nil {
		delete(state.peerVersions, address)
		return true
	}
	state.peerVersions[address], state.peerNames[address] = *response.KnownVersion, response.From
	return request.Update == nil || response.KnownVersion.List == request.Update.Change.Version.List
}
