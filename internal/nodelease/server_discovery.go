package nodelease

import (
	"context"
	"slices"
	"time"

	"postjunction/internal/membership"
)

// silenceDivisor determines after which silence a node may have restarted and forgotten the control
// nodes: a session time-out divided by it.
const silenceDivisor = 2

// formerMembersPerRound is how many former members are contacted in a heartbeat interval.
const formerMembersPerRound = 4

// contactNodes sends this control node's Info to nodes that may know no control node: seeds and
// former members. It does not wait for the answers. It records the control nodes that seeds and
// control nodes name while it has to find others.
func (s *Server) contactNodes(ctx context.Context) {
	isDiscovering := s.needsDiscovery()
	for _, address := range s.discoveryAddresses(isDiscovering, s.seedsFailed()) {
		s.startContact(ctx, address, isDiscovering)
	}
	for _, address := range s.nextFormerMembers() {
		s.startContact(ctx, address, false)
	}
}

// needsDiscovery reports whether this control node has to find others through its seeds.
func (s *Server) needsDiscovery() bool {
	if s.Store.VoterSet().Sequence == 0 {
		return true
	}
	return !slices.ContainsFunc(s.Table.Live(), func(info membership.Info) bool {
		return isControlNode(info) && info.Name != s.Self
	})
}

// seedsFailed reports whether this control node has known no voter set, and found no control node
// through its seeds, for longer than a session time-out. Only the goroutine of Run calls it.
func (s *Server) seedsFailed() bool {
	now := s.Clock.Now()
	if s.Store.VoterSet().Sequence > 0 || len(s.discoveredAddresses()) > 0 {
		s.undiscoveredSince = time.Time{}
		return false
	}
	if s.undiscoveredSince.IsZero() {
		s.undiscoveredSince = now
	}
	return now.Sub(s.undiscoveredSince) > s.Timing.SessionTimeout()
}

// discoveryAddresses returns the seeds while this control node has to find others, and also the
// control nodes of the address book if the seeds failed. Otherwise it returns those seeds that it has
// not heard of for a while. Such a seed may have restarted without a disk. It knows no control node
// then, and nobody but a control node can tell it.
func (s *Server) discoveryAddresses(isDiscovering, seedsFailed bool) []string {
	addresses := s.Seeds
	switch {
	case isDiscovering && seedsFailed:
		addresses = slices.Concat(s.Seeds, s.AddressBook.Control())
	case !isDiscovering:
		addresses = s.silentAddresses(s.Seeds)
	}
	return otherAddresses(addresses, s.Info().PeerAddr)
}

// nextFormerMembers returns the next few addresses of the address book at which no node has renewed
// its session lately. Over some rounds it returns all of them. Before a voter set is known it returns
// none.
func (s *Server) nextFormerMembers() []string {
	if s.Store.VoterSet().Sequence == 0 {
		return nil
	}
	silent := otherAddresses(s.silentAddresses(s.AddressBook.All()), s.Info().PeerAddr)
	count := min(len(silent), formerMembersPerRound)
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []string
	for range count {
		next = append(next, silent[s.nextContact%len(silent)])
		s.nextContact++
	}
	return next
}

// silentAddresses returns those of the addresses at which no node has renewed its session lately.
func (s *Server) silentAddresses(addresses []string) []string {
	heard := map[string]bool{}
	for _, session := range s.Table.Sessions() {
		if session.Age < s.Timing.SessionTimeout()/silenceDivisor {
			heard[session.Info.PeerAddr] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return heard[address] })
}

// startContact sends this control node's Info to the node at an address, unless an earlier call to
// it is in flight. If recordAnswer is set, it records the control nodes that the node knows.
func (s *Server) startContact(ctx context.Context, address string, recordAnswer bool) {
	if !s.beginContact(address) {
		return
	}
	go func() {
		defer s.endContact(address)
		callCtx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
		defer cancel()
		self := s.Info()
		request := &membership.IdentifyRequest{From: &self}
		response, err := membership.Identify.Call(callCtx, s.Net, s.Self, address, request)
		if err == nil && recordAnswer {
			s.recordDiscovered(append(response.Known, response.Info))
		}
	}()
}

// beginContact reports whether the node at an address may be contacted: not while an earlier call to
// it is in flight.
func (s *Server) beginContact(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contacting == nil {
		s.contacting = map[string]bool{}
	}
	if s.contacting[address] {
		return false
	}
	s.contacting[address] = true
	return true
}

func (s *Server) endContact(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.contacting, address)
}

// recordDiscovered records the control nodes among some nodes.
func (s *Server) recordDiscovered(nodes []membership.Info) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discoveredPeers == nil {
		s.discoveredPeers = map[string]nodeInfo{}
	}
	for _, info := range nodes {
		if isControlNode(info) {
			s.discoveredPeers[info.Name] = nodeInfo{info: info, receivedAt: now}
		}
	}
}

// discoveredAddresses returns the addresses of the control nodes that were discovered within a
// session time-out, and drops the others.
func (s *Server) discoveredAddresses() []string {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for name, peer := range s.discoveredPeers {
		if now.Sub(peer.receivedAt) > s.Timing.SessionTimeout() {
			delete(s.discoveredPeers, name)
			continue
		}
		addresses = append(addresses, peer.info.PeerAddr)
	}
	return addresses
}
