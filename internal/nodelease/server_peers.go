package nodelease

import (
	"context"
	"slices"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
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

// Run exchanges sessions with the other control nodes at every heartbeat interval, and at once when
// a session changes, until ctx ends. Exchanges in flight then end by their own time-outs.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.needsDiscovery() {
			go s.discoverPeers(ctx)
		}
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

// needsDiscovery reports whether this control node has to find others through its seeds.
func (s *Server) needsDiscovery() bool {
	if s.Store.VoterSet().Sequence == 0 {
		return true
	}
	return !slices.ContainsFunc(s.Table.Live(), func(info membership.Info) bool {
		return info.Disk == settings.DiskControl && info.Name != s.Self
	})
}

// discoverPeers asks all seeds at once for their Info and for the nodes that they know.
func (s *Server) discoverPeers(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer cancel()
	self := s.Info()
	results := quorum.Gather(callCtx, otherAddresses(s.Seeds, self.PeerAddr),
		func(ctx context.Context, seed string) (*membership.IdentifyResponse, error) {
			return membership.Identify.Call(ctx, s.Net, s.Self, seed, &membership.IdentifyRequest{From: &self})
		}, nil)
	discovered := map[string]string{}
	for _, result := range quorum.Successes(results) {
		for _, info := range append(result.Value.Known, result.Value.Info) {
			if info.Disk == settings.DiskControl {
				discovered[info.Name] = info.PeerAddr
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveredPeers = discovered
}

// peerAddresses returns the addresses of all other control nodes that are known from any source.
func (s *Server) peerAddresses() []string {
	var addresses []string
	s.mu.Lock()
	for _, address := range s.discoveredPeers {
		addresses = append(addresses, address)
	}
	s.mu.Unlock()
	for _, voter := range s.Store.VoterSet().Voters {
		addresses = append(addresses, voter.Addr)
	}
	for _, info := range s.Table.Live() {
		if info.Disk == settings.DiskControl {
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
