package nodelease

import (
	"context"
	"slices"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/wire"
)

// maxSilentHeartbeats is how many heartbeat intervals another control node may fail to answer.
const maxSilentHeartbeats = 2

// unansweredPeer is another control node that has not answered since a time. refused is set if it
// refused the connection twice, so that no process listens there.
type unansweredPeer struct {
	since   time.Time
	refused bool
}

// Run exchanges sessions with the other control nodes and contacts nodes that may know no control
// node, at every heartbeat interval, and at once when a session changes, until ctx ends. Calls in
// flight then end by their own time-outs.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.contactNodes(ctx)
		for _, address := range s.peerAddresses() {
			s.recordPeerCall(address)
			go s.exchangeSessions(ctx, address)
		}
		clock.Wait(ctx, s.Clock, s.Timing.HeartbeatInterval(), s.sessionChangeSignal(), nil)
	}
}

// Failed reports whether the control node at an address does not answer or refuses calls. This is
// known long before its session times out.
func (s *Server) Failed(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok := s.unansweredPeers[address]
	if !ok {
		return false
	}
	return peer.refused || s.Clock.Now().Sub(peer.since) > maxSilentHeartbeats*s.Timing.HeartbeatInterval()
}

// peerAddresses returns the addresses of all other control nodes that are known from any source.
func (s *Server) peerAddresses() []string {
	addresses := s.discoveredAddresses()
	for _, voter := range s.Store.VoterSet().Voters {
		addresses = append(addresses, voter.Addr)
	}
	for _, info := range s.Table.Live() {
		if isControlNode(info) {
			addresses = append(addresses, info.PeerAddr)
		}
	}
	return otherAddresses(addresses, s.Info().PeerAddr)
}

// otherAddresses returns the addresses sorted, without duplicates and without self.
func otherAddresses(addresses []string, self string) []string {
	others := slices.Clone(addresses)
	slices.Sort(others)
	return slices.DeleteFunc(slices.Compact(others), func(address string) bool { return address == self })
}

// exchangeSessions exchanges sessions with the control node at an address. It calls a second time
// if the first call was refused, or if either side could not apply the other's change.
func (s *Server) exchangeSessions(ctx context.Context, address string) {
	for retried := false; ; retried = true {
		request := s.sessionsRequest(address)
		callCtx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
		response, err := membership.Sessions.Call(callCtx, s.Net, s.Self, address, request)
		cancel()
		refused := wire.RefusedOrReset(err)
		switch {
		case err == nil:
			s.recordPeerAnswer(address)
			s.observeSessions(response.Sessions)
			applied := s.applyPeerUpdate(response.From, response.Update)
			if s.recordPeerVersion(address, request, response) && applied || retried {
				return
			}
		case retried && refused:
			s.recordPeerRefusal(address)
			return
		case retried || !refused:
			return
		case s.Clock.Sleep(ctx, s.Timing.RefusalRetryDelay()) != nil:
			return
		}
	}
}

func (s *Server) recordPeerCall(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredPeers == nil {
		s.unansweredPeers = map[string]unansweredPeer{}
	}
	if _, ok := s.unansweredPeers[address]; !ok {
		s.unansweredPeers[address] = unansweredPeer{since: s.Clock.Now()}
	}
}

func (s *Server) recordPeerAnswer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unansweredPeers, address)
}

func (s *Server) recordPeerRefusal(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredPeers[address] = unansweredPeer{since: s.Clock.Now(), refused: true}
}

// observeSessions records the sessions of another control node in the table of members.
func (s *Server) observeSessions(sessions []membership.Session) {
	for _, session := range sessions {
		s.Table.Observe(session.Info, session.Age)
	}
}
