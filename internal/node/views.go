package node

import (
	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/quorumread"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/placement/controller"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Info returns this node's own member information, which is sent to the other nodes.
func (n *Node) Info() membership.Info {
	n.mu.Lock()
	opts, stage, diskHealth := n.opts, n.stage, n.diskHealth
	n.mu.Unlock()
	info := membership.Info{
		Name:             opts.Name,
		Zone:             opts.Zone,
		ListenAddr:       opts.Listen,
		PeerAddr:         opts.DialAddress(),
		ClientAddr:       opts.ClientListen,
		Disk:             opts.Disk,
		BootID:           n.bootID,
		Stage:            stage,
		DiskHealth:       diskHealth,
		Configuration:    n.Store.Configuration().Sequence,
		BuildVersion:     BuildVersion,
		WireVersion:      wire.FormatVersion,
		SupportsTwoHomes: true,
		SupportsKeys:     true,
		MilliCores:       opts.ClientCapacity(),
		VoterSet:         n.Store.VoterSet().Sequence,
	}
	if n.leaseManager != nil {
		info.Isolated = !n.leaseManager.LeaseConfirmed()
	}
	if n.leaseManager != nil && opts.Disk != settings.DiskNone {
		info.LatencyMicros = n.leaseManager.ReportedLatency().Microseconds()
	}
	if n.identity != nil {
		info.Incarnation = n.identity.Get().Incarnation
	}
	if n.acceptor != nil && opts.HasControlDisk() {
		info.VoterSet = n.acceptor.VoterSet().Sequence
	}
	if n.leaders != nil {
		info.Partitions, info.Loads = n.leaders.Count(), n.leaders.Loads()
	}
	return info
}

// VoterSet returns the newest voter set known here.
func (n *Node) VoterSet() voters.Set { return n.Store.VoterSet() }

// Live returns the peer address of a control node, and whether it is a member that serves and
// answers calls.
func (n *Node) Live(node string) (string, bool) {
	if n.memberTable == nil {
		info, ok := n.View.Get(node)
		return info.PeerAddr, ok
	}
	for _, info := range n.memberTable.Live() {
		if info.Name == node {
			return info.PeerAddr, info.Stage == membership.Serving && !n.leaseServer.Failed(info.PeerAddr)
		}
	}
	return "", false
}

// Ready returns why new clients should not connect to this node, nil if they should.
func (n *Node) Ready() error {
	select {
	case <-n.draining:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
	}
	if err := n.Sessions.CheckServing(); err != nil {
		return err
	}
	return n.leaseManager.CheckLease()
}

// IsPlacementController reports whether this node believes that it leads the placement controller's
// key.
func (n *Node) IsPlacementController() bool { return n.LeadsKey(controller.Key) }

// LeadsKey reports whether this node believes that it leads a control key.
func (n *Node) LeadsKey(key string) bool { return n.proposer != nil && n.proposer.Leads(key) }

// membersWithSelf returns the members as a control node knows them, with its own current
// information.
func (n *Node) membersWithSelf() []membership.Info {
	infos := n.memberTable.Live()
	for i := range infos {
		if infos[i].Name == n.opts.Name {
			infos[i] = n.Info()
		}
	}
	return infos
}

func (n *Node) members() []membership.Info {
	if n.memberTable != nil {
		return n.memberTable.Live()
	}
	return n.View.All()
}

func (n *Node) peerAddr(node string) (string, bool) {
	info, ok := n.View.Get(node)
	return info.PeerAddr, ok
}

func (n *Node) lastKnownAddr(node string) (string, bool) {
	info, ok := n.View.LastKnown(node)
	return info.PeerAddr, ok
}

var successorRanks = map[string]int{settings.DiskStorage: 0, settings.DiskControl: 1}

// rankSuccessor ranks a replica as the next leader of a partition whose leader failed. The rank 0
// is the best, and a rank below 0 means that the replica can't lead.
func (n *Node) rankSuccessor(r assignment.Replica) int {
	info, ok := n.View.LastKnown(r.Node)
	if r.Node == n.options().Name {
		info, ok = n.Info(), true
	}
	if !ok || info.Incarnation != r.Incarnation {
		return -1
	}
	if info.DiskHealth != "" || info.Stage != membership.Serving || info.Isolated || n.detector.Failed(r.Node) {
		return -1
	}
	return successorRanks[info.Disk]
}

// leaderAddrs returns the addresses of the other nodes that lead partitions according to the
// assignment records that this node knows.
func (n *Node) leaderAddrs() []string {
	self := n.options().Name
	seen := map[string]bool{}
	var addrs []string
	for partition := range n.Store.VoterSet().Layout.PartitionCount() {
		leader := n.Store.Record(partition).Leader
		if leader == "" || leader == self || seen[leader] {
			continue
		}
		seen[leader] = true
		if addr, ok := n.lastKnownAddr(leader); ok {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// redirectTargets returns the other nodes that accept clients: first those of this node's zone,
// then the others.
func (n *Node) redirectTargets() [][]membership.Info {
	opts := n.options()
	var sameZone, otherZones []membership.Info
	for _, info := range n.View.All() {
		if info.ClientAddr == "" || info.Name == opts.Name || info.Stage != membership.Serving || info.Isolated {
			continue
		}
		if info.Zone == opts.Zone {
			sameZone = append(sameZone, info)
		} else {
			otherZones = append(otherZones, info)
		}
	}
	return [][]membership.Info{sameZone, otherZones}
}

// onRegisterChange passes a value that this node committed on to the store, if it is an assignment
// record or a configuration.
func (n *Node) onRegisterChange(key string, value acceptor.Value) {
	if partition, ok := assignment.Partition(key); ok && len(value.Body) > 0 {
		if record, err := assignment.Parse(value.Body, value.Version); err == nil {
			record.Partition = partition
			n.Store.Apply(gossip.Update{Records: []assignment.Record{record}})
		}
	}
	if key == quorumread.ConfigurationKey {
		if config, err := quorumread.Parse(value); err == nil && config.Sequence > 0 {
			n.Store.Apply(gossip.Update{Configuration: &config})
		}
	}
}

// onUpdate is called by the store with each update that changed it.
func (n *Node) onUpdate(update gossip.Update) {
	if n.router != nil {
		n.router.ApplyRecords(update.Records)
	}
	if config := update.Configuration; config != nil {
		n.log.Log(event.ConfigurationUpdated, "sequence", config.Sequence, "spaces", len(config.Spaces))
	}
	if set := update.VoterSet; set != nil {
		n.log.Log(event.VoterSetActivated,
			"sequence", set.Sequence, "fleet", set.Fleet, "voters", len(set.Voters))
	}
}
