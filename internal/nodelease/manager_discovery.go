package nodelease

import (
	"context"
	"math/rand/v2"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
)

// maxOtherQueries is how many addresses that are not control nodes' are queried at once.
const maxOtherQueries = 3

// controlSearch describes how the search for a control node stands.
type controlSearch struct {
	// avoid is the control node of the session that was lost, "" for none.
	avoid string
	// hadSession reports that this session worked.
	hadSession bool
	// failedSessions counts the control nodes since then that answered no heartbeat.
	failedSessions int
}

// membersOutdated reports whether the members of the last session are of no use any more.
func (s controlSearch) membersOutdated() bool { return s.failedSessions >= maxFailedSessions }

// Identify returns the Info of this node and of the nodes that it knows, including the control nodes
// that identified themselves recently. Those are recorded only while this node has no working
// session: a node that has one knows the control nodes of its fleet from it.
func (m *Manager) Identify(
	_ context.Context, request *membership.IdentifyRequest,
) (*membership.IdentifyResponse, error) {
	if request.From != nil && !m.hasWorkingSession() {
		m.recordIdentified(*request.From)
	}
	response := &membership.IdentifyResponse{Info: m.Info(), Known: slices.Clone(m.View.All())}
	for _, info := range m.identifiedNodes() {
		if _, ok := m.View.Get(info.Name); !ok {
			response.Known = append(response.Known, info)
		}
	}
	return response, nil
}

// hasWorkingSession reports whether this node knows a voter set and had an answer from the fleet
// within a session time-out.
func (m *Manager) hasWorkingSession() bool {
	return m.Store.VoterSet().Sequence > 0 && m.Clock.Now().Sub(m.LastHeard()) < m.Settings.Timing().SessionTimeout()
}

func (m *Manager) recordIdentified(info membership.Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.identified == nil {
		m.identified = map[string]nodeInfo{}
	}
	m.identified[info.Name] = nodeInfo{info: info, receivedAt: m.Clock.Now()}
}

// identifiedNodes returns the nodes that identified themselves within a session time-out, and drops
// the others.
func (m *Manager) identifiedNodes() []membership.Info {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var nodes []membership.Info
	for name, node := range m.identified {
		if now.Sub(node.receivedAt) > m.Settings.Timing().SessionTimeout() {
			delete(m.identified, name)
			continue
		}
		nodes = append(nodes, node.info)
	}
	return nodes
}

// chooseControlNode returns a control node for the next session. If this node is a control node and
// there is none to avoid, it returns this node. After a session that worked it chooses among the
// members known from that session, and else among those that findControlNodes returns. If there is
// none to avoid, it prefers nodes in this node's zone. An error has the code Unreachable.
func (m *Manager) chooseControlNode(ctx context.Context, search controlSearch) (membership.Info, error) {
	if m.Local != nil && search.avoid == "" {
		return m.Info(), nil
	}
	var candidates []membership.Info
	if search.hadSession {
		candidates = m.eligible(m.knownMembers(), search.avoid)
	}
	if len(candidates) == 0 {
		var err error
		if candidates, err = m.findControlNodes(ctx, search); err != nil {
			return membership.Info{}, err
		}
	}
	sameZone := membership.Filter(candidates, func(info membership.Info) bool { return info.Zone == m.Settings.Zone })
	if len(sameZone) > 0 && search.avoid == "" {
		candidates = sameZone
	}
	return candidates[rand.IntN(len(candidates))], nil
}

// findControlNodes returns the control nodes that the seeds know, and the known ones unless they are
// outdated. If there are none, it returns those that identified themselves to this node, and then
// those that the nodes of the address book know. An error has the code Unreachable.
func (m *Manager) findControlNodes(ctx context.Context, search controlSearch) ([]membership.Info, error) {
	found, answered := m.queryNodes(ctx, m.Settings.Seeds, search.avoid)
	if !search.membersOutdated() {
		found = slices.Concat(found, m.knownMembers())
	}
	if candidates := m.eligible(found, search.avoid); len(candidates) > 0 {
		return candidates, nil
	}
	if candidates := m.eligible(m.identifiedNodes(), search.avoid); len(candidates) > 0 {
		return candidates, nil
	}
	found, _ = m.queryNodes(ctx, m.AddressBook.Sample(maxOtherQueries), search.avoid)
	if candidates := m.eligible(found, search.avoid); len(candidates) > 0 {
		return candidates, nil
	}
	return nil, apierror.New(apierror.Unreachable,
		"no control node was found: %d of %d seeds answered, and none knows a control node that serves",
		answered, len(m.Settings.Seeds))
}

// knownMembers returns the members, and the control nodes of the last list of members that had some.
func (m *Manager) knownMembers() []membership.Info {
	return slices.Concat(m.View.All(), m.knownControlNodes)
}

// queryNodes asks the nodes at some addresses at once which nodes they know. It returns when the
// first answer names an eligible control node. answered counts the nodes that answered by then.
func (m *Manager) queryNodes(
	ctx context.Context, addresses []string, avoid string,
) (known []membership.Info, answered int) {
	callCtx, cancel := context.WithTimeout(ctx, m.Settings.Timing().CallTimeout()/2)
	defer cancel()
	quorum.Gather(callCtx, otherAddresses(addresses, m.Settings.DialAddress()),
		func(ctx context.Context, address string) (*membership.IdentifyResponse, error) {
			return membership.Identify.Call(ctx, m.Net, m.Settings.Name, address, &membership.IdentifyRequest{})
		},
		func(results []quorum.Result[string, *membership.IdentifyResponse]) bool {
			if latest := results[len(results)-1]; latest.Err == nil {
				answered++
				known = append(append(known, latest.Value.Info), latest.Value.Known...)
			}
			return len(m.eligible(known, avoid)) > 0
		})
	return known, answered
}

// eligible returns the serving control nodes among some nodes, without this node and the one to
// avoid.
func (m *Manager) eligible(nodes []membership.Info, avoid string) []membership.Info {
	return membership.Filter(nodes, func(info membership.Info) bool {
		return isControlNode(info) && info.Stage == membership.Serving &&
			info.Name != avoid && info.Name != m.Settings.Name
	})
}

func isControlNode(info membership.Info) bool { return info.Disk == settings.DiskControl }
