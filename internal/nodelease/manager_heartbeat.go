package nodelease

import (
	"context"
	"slices"

	"postjunction/internal/gossip"
	"postjunction/internal/membership"
)

// heartbeat sends a heartbeat, applies the response and renews the lease by it. Without a voter set
// there is nothing to confirm yet, and no lease.
func (m *Manager) heartbeat(ctx context.Context, control membership.Info) error {
	sentAt := m.Clock.Now()
	response, err := m.exchange(ctx, control)
	answeredAt := m.Clock.Now()
	m.mu.Lock()
	m.attemptLatencies.add(answeredAt.Sub(sentAt))
	if err == nil {
		m.lastHeardAt = answeredAt
		m.answeredLatencies.add(answeredAt.Sub(sentAt))
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.Store.Apply(gossip.Update{VoterSet: response.VoterSet, Configuration: response.Configuration,
		Changes: response.Changes})
	m.updateMembers(response)
	if m.Store.VoterSet().Sequence == 0 {
		return nil
	}
	return m.renewLease(control, sentAt, response)
}

// exchange sends the complete Info of this node, or a reference to it if it has not changed. It
// repeats the call if the control node lacks the Info that the reference names, or if this node
// lacks the version that the change of the members builds on.
func (m *Manager) exchange(ctx context.Context, control membership.Info) (*HeartbeatResponse, error) {
	if m.exchangePeer != control.Name {
		m.exchangePeer, m.members = control.Name, membership.ListReplica{}
		m.sentInfo, m.sentInfoNumber = membership.Info{}, 0
	}
	for {
		info, version := m.Info(), m.members.Version()
		request := &HeartbeatRequest{Info: info, KnownVersion: &version, AcceptsChanges: m.Store.AcceptsChanges()}
		if m.sentInfoNumber != 0 && info.EquivalentTo(m.sentInfo) {
			request.Info = membership.Info{}
			request.InfoReference = &InfoReference{Name: info.Name, BootID: info.BootID, InfoNumber: m.sentInfoNumber}
		}
		response, err := m.send(ctx, control, request)
		if err != nil {
			return nil, err
		}
		if request.InfoReference != nil && response.InfoNumber == 0 {
			m.sentInfoNumber = 0
			continue
		}
		if request.InfoReference == nil {
			m.sentInfo, m.sentInfoNumber = info, response.InfoNumber
		}
		if response.Change != nil && !m.members.Apply(*response.Change) {
			m.members = membership.ListReplica{}
			continue
		}
		return response, nil
	}
}

// send makes the call, without the network if the session is with this node itself.
func (m *Manager) send(
	ctx context.Context, control membership.Info, request *HeartbeatRequest,
) (*HeartbeatResponse, error) {
	if m.Local != nil && control.Name == m.Settings.Name {
		return m.Local.Heartbeat(ctx, request)
	}
	callCtx, cancel := context.WithTimeout(ctx, m.Settings.Timing().SessionTimeout()/3)
	defer cancel()
	return Heartbeat.Call(callCtx, m.Net, m.Settings.Name, control.PeerAddr, request)
}

// updateMembers applies the members of a response, if they have changed. A control node that
// started recently, or that no majority answers, may leave out members that are live: sessions of
// an isolated control node move to others. The members of such a response are only added, and none
// is removed.
func (m *Manager) updateMembers(response *HeartbeatResponse) {
	uncertain := response.WarmingUp || response.Isolated || !response.Confirmed
	members := response.Members
	if response.Change != nil {
		if response.Change.Empty() && uncertain == m.membersUncertain && response.WarmingUp == m.controlWarmingUp {
			return
		}
		members = m.members.All()
	}
	m.AddressBook.Observe(members)
	m.membersUncertain = uncertain
	m.mu.Lock()
	m.controlWarmingUp = response.WarmingUp
	m.mu.Unlock()
	if uncertain {
		m.View.Add(members)
	} else {
		m.View.Set(members)
	}
	controlNodes := membership.Filter(members, isControlNode)
	if len(controlNodes) > 0 {
		m.knownControlNodes = slices.Clone(controlNodes)
	}
}
