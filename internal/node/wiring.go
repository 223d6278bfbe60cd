package node

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/client/admission"
	"postjunction/internal/client/rejections"
	"postjunction/internal/client/session"
	"postjunction/internal/control/bootstrap"
	"postjunction/internal/control/quorumread"
	"postjunction/internal/control/reconfig"
	"postjunction/internal/control/reconfigurer"
	"postjunction/internal/control/register"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/control/repair"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/event"
	"postjunction/internal/failuredetector"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/node/leaders"
	"postjunction/internal/nodelease"
	"postjunction/internal/operator"
	"postjunction/internal/partitionlog/idle"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/placement/controller"
	"postjunction/internal/presence"
	"postjunction/internal/reachability"
	"postjunction/internal/settings"
)

// build constructs the parts, each after the parts that it depends on. None runs before startParts.
func (n *Node) build(ctx context.Context) {
	if n.opts.HasControlDisk() {
		n.buildControl()
	}
	n.buildCluster()
	if n.opts.HasControlDisk() {
		n.buildPlacement()
	}
	n.buildLeaders(ctx)
	n.buildClients(ctx)
	n.buildReachability()
	n.buildOperators()
}

// buildControl constructs the parts of a control node: member table, registers, leases and voter
// set reconfiguration.
func (n *Node) buildControl() {
	opts, timing := n.opts, n.opts.Timing()
	self, net, clk := opts.Name, n.env.Net, n.env.Clock
	n.memberTable = membership.NewTable(clk, timing)
	n.proposer = register.New(register.Options{
		Self: self, Network: net, Clock: clk, Timing: timing, Peers: n, OnCommit: n.onRegisterChange,
	})
	repairer := &repair.Repairer{Self: self, Net: net, Timing: timing}
	n.confirmer = &quorumread.Confirmer{
		Self: self, Net: net, Clock: clk, Timing: timing,
		Store: n.Store, Proposer: n.proposer, Repairer: repairer,
	}
	n.leaseServer = &nodelease.Server{
		Self: self, Net: net, Clock: clk, Timing: timing,
		Seeds: opts.Seeds, AddressBook: n.addressBook, Table: n.memberTable, Store: n.Store,
		Info: n.Info, LatestConfirmation: n.confirmer.Latest,
	}
	n.bootstrapper = bootstrap.New(opts, net, n.Info)
	n.reconfigurer = &reconfigurer.Reconfigurer{
		Self: self, Clock: clk, Timing: timing, Log: n.log,
		Store: n.Store, Bootstrapper: n.bootstrapper, Executor: reconfig.New(self, net, timing), Repairer: repairer,
		Live: n.membersWithSelf, Changed: n.memberTable.Changed,
		Sealed: n.acceptor.Sealed, Sealing: n.acceptor.Sealing,
	}
	if set := n.acceptor.VoterSet(); set.Sequence > 0 {
		n.Store.Apply(gossip.Update{VoterSet: &set})
	}
}

// buildCluster constructs the parts by which every node participates in the cluster: lease, gossip
// and register client.
func (n *Node) buildCluster() {
	opts, timing := n.opts, n.opts.Timing()
	self, net, clk := opts.Name, n.env.Net, n.env.Clock
	n.granter = bootstrap.NewGranter(opts, func() uint64 { return n.Store.VoterSet().Sequence })
	n.registers = registerclient.New(self, net, timing, n.members, n.proposer)
	n.leaseManager = &nodelease.Manager{
		Settings: opts, Net: net, Clock: clk, Log: n.log,
		Store: n.Store, View: n.View, AddressBook: n.addressBook, Info: n.Info, Local: n.leaseServer,
	}
	n.gossiper = &gossip.Gossiper{
		Self: self, Net: net, Clock: clk, Timing: timing, Store: n.Store, View: n.View.All,
		Control: opts.HasControlDisk(), Disk: opts.Disk != settings.DiskNone,
	}
}

func (n *Node) buildPlacement() {
	n.controller = &controller.Controller{
		Self: n.opts.Name, Clock: n.env.Clock, Timing: n.opts.Timing(), Log: n.log,
		Proposer: n.proposer, Client: n.registers, Store: n.Store,
		Live: n.memberTable.Live, Changed: n.memberTable.Changed, Broadcast: n.gossiper.Broadcast,
	}
}

// buildLeaders constructs the manager of partition leaders, and the failure detector that triggers
// its failovers.
func (n *Node) buildLeaders(ctx context.Context) {
	opts, timing := n.opts, n.opts.Timing()
	self, net, clk := opts.Name, n.env.Net, n.env.Clock
	n.leaders = &leaders.Manager{
		Self: self, Clock: clk, Timing: timing, Log: n.log,
		Store: n.Store, Client: n.registers, Replica: n.replica,
		RankSuccessor: n.rankSuccessor, Broadcast: n.gossiper.Broadcast,
	}
	n.detector = &failuredetector.Detector{
		Self: self, BootID: n.bootID, Net: net, Clock: clk, Timing: timing,
		Store: n.Store, Addr: n.lastKnownAddr, OnFailure: n.leaders.FailOver,
	}
	n.leaders.LeaderOptions = leader.Options{
		Self: self, Net: net, Clock: clk, Timing: timing,
		Replica: n.replica, Idle: idle.New(ctx, self, net, clk, timing),
		Addr: n.peerAddr, CheckLease: n.leaseManager.CheckLease,
		ChangelogInterval: func() time.Duration { return n.options().ChangelogInterval() },
		Backlog:           func() int { return n.options().Backlog },
		MaxTombstones:     func() int { return n.options().MaxTombstones },
		LeaseExtension:    time.Duration(opts.LeaseExtension),
		LongestRetention: func() time.Duration {
			if index := n.Store.Index(); index.Sequence > 0 {
				return index.LongestRetention
			}
			return timing.MaxRetention()
		},
		OnRecovered: n.leaders.OnRecovered, OnPromote: n.leaders.Promote,
		Observer: leaderLog{n.log}, OnDecision: n.env.OnDecision,
	}
}

// buildClients constructs the router of calls and the services for clients.
func (n *Node) buildClients(ctx context.Context) {
	opts, timing := n.opts, n.opts.Timing()
	self, net, clk := opts.Name, n.env.Net, n.env.Clock
	n.router = &router.Router{
		Self: self, Net: net, Clock: clk, Timing: timing, Store: n.Store, View: n.View, Leaders: n.leaders,
		Backlog:         func() int { return n.options().Backlog },
		CompressStreams: opts.CompressStreams(),
	}
	n.presence = presence.New(self, net, timing, n.View)
	n.admission = admission.New(opts.Backlog)
	n.rejections = rejections.New()
	n.Clients = &client.Service{
		Clock: clk, Timing: timing, BodyLimit: opts.BodyLimit,
		Store: n.Store, Router: n.router, Presence: n.presence, Limiter: n.admission,
		Feeds:      stream.New(ctx, self, n.bootID, n.router, clk, timing),
		CheckLease: n.leaseManager.CheckLease, Draining: n.draining, OnError: n.recordRejection,
	}
	n.hub = fanout.New(ctx, self, n.bootID, n.router, n.Store, clk, timing)
	n.Sessions = (&session.Registry{
		Self: self, Clock: clk, Timing: timing, BodyLimit: opts.BodyLimit,
		Store: n.Store, Hub: n.hub, PartitionLog: n.router,
		CheckLease: n.leaseManager.CheckLease, Draining: n.draining, Members: n.View.All, Info: n.Info,
	}).Start(ctx)
}

// recordRejection logs a client's rejected call and records it for operators that ask for the
// reason.
func (n *Node) recordRejection(request *client.Request, err error) {
	n.log.Log(event.CallRejected, "verb", request.Verb, "client", request.Client, "problem", err)
	problem, topic := apierror.From(err), ""
	if len(request.Topics) > 0 {
		topic = request.Topics[0]
	}
	n.rejections.Add(rejections.Rejection{
		At: n.env.Clock.Now().UTC(), Node: n.opts.Name, Verb: request.Verb, Client: request.Client,
		Topic: topic, CallSeq: request.CallSeq, Code: string(problem.Code), Message: problem.Message,
	})
}

// buildReachability constructs the monitor that redirects clients if this node can't reach the
// partition leaders.
func (n *Node) buildReachability() {
	n.reachability = &reachability.Monitor{
		Self: n.opts.Name, Net: n.env.Net, Clock: n.env.Clock, Timing: n.opts.Timing(),
		LastHeard: n.leaseManager.LastHeard, UsualLatency: n.leaseManager.UsualLatency,
		LeaderAddrs: n.leaderAddrs, Peers: n.redirectTargets, CheckServing: n.Ready,
		OnRedirect: n.redirectClients,
	}
}

// redirectClients redirects clients on line connections to other nodes. It doesn't redirect them if
// there are no targets.
func (n *Node) redirectClients(targets []membership.Info) {
	if len(targets) > 0 {
		n.log.Log(event.ClientsRedirected, "clients", n.Sessions.Count(), "peers", len(targets))
	} else {
		n.log.Log(event.RedirectEnded)
	}
	n.Sessions.Redirect(targets)
}

func (n *Node) buildOperators() {
	n.Operators = &operator.Service{
		Net: n.env.Net, Clock: n.env.Clock, Timing: n.opts.Timing(), Log: n.log,
		Client: n.registers, Store: n.Store, View: n.View, Info: n.Info,
		CheckLease: n.leaseManager.CheckLease, ControlNode: n.leaseManager.ControlNode,
		Leaders: n.leaders.Views, CountersByPart: n.counters,
		TopicUsage: n.router.Usage, Tombstones: n.router.Tombstones, Trace: n.router.Trace,
		Rejections: n.rejectionsOf,
	}
}
