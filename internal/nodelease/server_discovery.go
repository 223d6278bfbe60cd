package nodelease

import (
	"context"
	"slices"

	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// silenceDivisor determines after which silence a node may have restarted and forgotten the control
// nodes: a session time-out divided by it.
const silenceDivisor = 2

// contactNodes sends this control node's Info to the nodes of contactAddresses. It does not wait for
// the answers.
func (s *Server) contactNodes(ctx context.Context) {
	isDiscovering := s.needsDiscovery()
	for _, address := range s.contactAddresses(isDiscovering) {
		if s.beginContact(address) {
			go s.contact(ctx, address, isDiscovering)
		}
	}
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

// contactAddresses returns the addresses to contact: all seeds while this control node has to find
// others, and else those seeds that it has not heard of for a while. Such a seed may have restarted
// without a disk. It knows no control node then, and nobody but a control node can tell it.
func (s *Server) contactAddresses(isDiscovering bool) []string {
	addresses := s.Seeds
	if !isDiscovering {
		addresses = s.silentAddresses(addresses)
	}
	return otherAddresses(addresses, s.Info().PeerAddr)
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

// contact sends this control node's Info to the node at an address. If isDiscovering is set, it
// records the control nodes that the node knows.
func (s *Server) contact(ctx context.Context, address string, isDiscovering bool) {
	defer s.endContact(address)
	callCtx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer cancel()
	self := s.Info()
	response, err := membership.Identify.Call(callCtx, s.Net, s.Self, address, &membership.IdentifyRequest{From: &self})
	if err == nil && isDiscovering {
		s.recordDiscovered(append(response.Known, response.Info))
	}
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
		if info.Disk == settings.DiskControl {
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
