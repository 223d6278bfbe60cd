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

// Identify returns the Info of this node and of the nodes that it knows, including the control
// nodes that identified themselves recently. Those are recorded only while this node has no working
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
// there is none to avoid, it returns this node. After a session that worked (hadSession) it chooses
// among the members known from that session. Otherwise, or if there is none among them, it also
// queries the seeds. If that yields none, it chooses among the control nodes that identified
// themselves to this node. If there is none to avoid, it prefers nodes in this node's zone. An error
// has the code Unreachable.
func (m *Manager) chooseControlNode(ctx context.Context, avoid string, hadSession bool) (membership.Info, error) {
	if m.Local != nil && avoid == "" {
		return m.Info(), nil
	}
	var candidates []membership.Info
	if hadSession {
		candidates = m.eligible(slices.Concat(m.View.All(), m.knownControlNodes), avoid)
	}
	answered := 0
	if len(candidates) == 0 {
		var found []membership.Info
		found, answered = m.querySeeds(ctx, avoid)
		candidates = m.eligible(slices.Concat(found, m.View.All(), m.knownControlNodes), avoid)
	}
	if len(candidates) == 0 {
		candidates = m.eligible(m.identifiedNodes(), avoid)
	}
	if len(candidates) == 0 {
		return membership.Info{}, apierror.New(apierror.Unreachable,
			"no control node was found: %d of %d seeds answered, and none knows a control node that serves",
			answered, len(m.Settings.Seeds))
	}
	sameZone := membership.Filter(candidates, func(info membership.Info) bool { return info.Zone == m.Settings.Zone })
	if len(sameZone) > 0 && avoid == "" {
		candidates = sameZone
	}
	return candidates[rand.IntN(len(candidates))], nil
}

// querySeeds asks all seeds at once which nodes they know. It returns when the first answer names
// an eligible control node. answered counts the seeds that answered by then.
func (m *Manager) querySeeds(ctx context.Context, avoid string) (known []membership.Info, answered int) {
	callCtx, cancel := context.WithTimeout(ctx, m.Settings.Timing().CallTimeout()/2)
	defer cancel()
	quorum.Gather(callCtx, otherAddresses(m.Settings.Seeds, m.Settings.DialAddress()),
		func(ctx context.Context, seed string) (*membership.IdentifyResponse, error) {
			return membership.Identify.Call(ctx, m.Net, m.Settings.Name, seed, &membership.IdentifyRequest{})
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
		return info.Disk == settings.DiskControl && info.Stage == membership.Serving &&
			info.Name != avoid && info.Name != m.Settings.Name
	})
}
