// Package node puts the parts of one process together; which parts run follows from its settings.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/client/admission"
	"postjunction/internal/client/rejections"
	"postjunction/internal/client/session"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/bootstrap"
	"postjunction/internal/control/quorumread"
	"postjunction/internal/control/reconfig"
	"postjunction/internal/control/reconfigurer"
	"postjunction/internal/control/register"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/control/repair"
	"postjunction/internal/control/voters"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/disk/identity"
	"postjunction/internal/disk/journal"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/httpapi"
	"postjunction/internal/membership"
	"postjunction/internal/membership/failuredetector"
	"postjunction/internal/membership/reachability"
	"postjunction/internal/node/leaders"
	"postjunction/internal/nodelease"
	"postjunction/internal/operator"
	"postjunction/internal/partitionlog/idle"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/placement/controller"
	"postjunction/internal/presence"
	"postjunction/internal/recordtype"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// BuildVersion is the name of the build, set at link time.
var BuildVersion = "dev"

// Environment is what a node stands on: time, network and disk.
type Environment struct {
	Clock clock.Clock
	Net   wire.Network
	Disk  journal.Log
	// OnDecision, if any, hears every verdict of the owners that run here; only proof uses it.
	OnDecision leader.DecisionObserver
}

// Node is one process of the fleet.
type Node struct {
	w    Environment
	log  *event.Logger
	boot string

	mu      sync.Mutex
	opts    settings.Options
	stage   string
	fitness string

	journal *journal.Journal
	id      *identity.Part
	voter   *acceptor.Acceptor
	replica *replica.Replica

	Store        *gossip.Store
	View         *membership.View
	keeper       *nodelease.Manager
	host         *nodelease.Server
	table        *membership.Table
	gossip       *gossip.Gossiper
	holder       *register.Proposer
	confirm      *quorumread.Confirmer
	client       *registerclient.Client
	owners       *leaders.Manager
	desk         *router.Router
	presence     *presence.Presence
	gates        *admission.Limiter
	turned       rejections.Recorder
	founder      *bootstrap.Bootstrapper
	leaves       *bootstrap.Granter
	reconfigurer *reconfigurer.Reconfigurer
	duty         *controller.Controller
	watch        *failuredetector.Detector
	touch        *reachability.Monitor

	// Clients and Operators are the services behind the door.
	Clients   *client.Service
	Operators *operator.Service
	// Sessions takes visits on line sessions.
	Sessions *session.Registry
	hub      *fanout.Hub

	leaving chan struct{}
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// Start opens the disk and runs all parts until Stop or Kill.
func Start(ctx context.Context, o settings.Options, w Environment, l *event.Logger) (*Node, error) {
	var b [8]byte
	_, _ = rand.Read(b[:])
	n := &Node{w: w, log: l, opts: o, boot: hex.EncodeToString(b[:]), stage: membership.Serving, leaving: make(chan struct{}), View: membership.NewView()}
	n.Store = gossip.NewStore(n.heard)
	ctx, n.stop = context.WithCancel(ctx)
	if o.Disk != settings.DiskNone {
		if err := n.open(ctx); err != nil {
			n.Kill()
			return nil, err
		}
	}
	n.build(ctx)
	n.run(ctx)
	l.Log(event.Started, "name", o.Name, "zone", o.Zone, "disk", o.Disk, "build", BuildVersion, "boot", n.boot)
	return n, nil
}

func (n *Node) open(ctx context.Context) error {
	n.id = &identity.Part{}
	n.voter, n.replica = acceptor.New(), replica.New(n.w.Clock)
	parts := map[uint16]journal.Part{recordtype.Identity: n.id, recordtype.Slot: n.voter, recordtype.Roster: n.voter}
	for _, k := range replica.RecordTypes() {
		parts[k] = n.replica
	}
	j, r, err := journal.Open(n.w.Disk, n.w.Clock, parts, []journal.Part{n.id, n.voter, n.replica})
	if err != nil {
		return err
	}
	j.SetCapacity(int64(n.opts.DiskMB)<<20, n.bounds().ReconcileInterval())
	n.journal = j
	n.log.Log(event.DiskOpened, "records", r.Records)
	if r.Torn > 0 {
		n.log.Log(event.DiskTorn, "records", r.Torn)
	}
	if r.Damaged {
		n.log.Log(event.DiskDamaged, "problem", r.Cause)
	}
	if err := n.id.Check(n.opts.Name); err != nil {
		return err
	}
	n.goes(func() { j.Run(ctx) })
	fresh, err := n.id.Claim(ctx, j, n.opts.Name)
	if err != nil {
		return err
	}
	inc := n.id.Get().Incarnation
	if fresh {
		n.log.Log(event.DiskNew, "incarnation", inc)
	}
	n.replica.Start(inc, j)
	n.voter.Start(inc, j, n.agree, func(r voters.Set) { n.Store.Apply(gossip.Update{VoterSet: &r}) })
	return nil
}

func (n *Node) agree(r voters.Set) error {
	cx, stop := context.WithTimeout(context.Background(), n.bounds().CallTimeout())
	defer stop()
	return n.founder.Agree(cx, r)
}

func (n *Node) goes(f func()) { n.wg.Go(f) }

func (n *Node) bounds() settings.Timing { return n.options().Timing() }

func (n *Node) options() settings.Options {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opts
}

// Info is what the node says of itself.
func (n *Node) Info() membership.Info {
	n.mu.Lock()
	o, st, fit := n.opts, n.stage, n.fitness
	n.mu.Unlock()
	i := membership.Info{Name: o.Name, Zone: o.Zone, ListenAddr: o.Listen, PeerAddr: o.DialAddress(), ClientAddr: o.ClientListen, Disk: o.Disk, BootID: n.boot, Stage: st, DiskHealth: fit, Configuration: n.Store.Configuration().Sequence, BuildVersion: BuildVersion, WireVersion: wire.FormatVersion, SupportsTwoHomes: true, SupportsKeys: true, MilliCores: o.ClientCapacity(), VoterSet: n.Store.VoterSet().Sequence}
	if n.keeper != nil {
		i.Deaf = !n.keeper.LeaseConfirmed()
	}
	if n.keeper != nil && o.Disk != settings.DiskNone {
		i.LatencyMicros = n.keeper.ReportedLatency().Microseconds()
	}
	if n.id != nil {
		i.Incarnation = n.id.Get().Incarnation
	}
	if n.voter != nil && o.HasControlDisk() {
		i.VoterSet = n.voter.VoterSet().Sequence
	}
	if n.owners != nil {
		i.Partitions, i.Loads = n.owners.Count(), n.owners.Loads()
	}
	return i
}

// VoterSet gives the newest roster known here.
func (n *Node) VoterSet() voters.Set { return n.Store.VoterSet() }

// Live finds a control node that has a session.
func (n *Node) Live(node string) (string, bool) {
	if n.table != nil {
		for _, i := range n.table.Live() {
			if i.Name == node {
				return i.PeerAddr, i.Stage == membership.Serving && !n.host.Failed(i.PeerAddr)
			}
		}
		return "", false
	}
	i, ok := n.View.Get(node)
	return i.PeerAddr, ok
}

// controls gives the members as a control node knows them, itself as it is now.
func (n *Node) controls() []membership.Info {
	is := n.table.Live()
	for k := range is {
		if is[k].Name == n.opts.Name {
			is[k] = n.Info()
		}
	}
	return is
}

func (n *Node) addr(node string) (string, bool) {
	i, ok := n.View.Get(node)
	return i.PeerAddr, ok
}

func (n *Node) reach(node string) (string, bool) {
	i, ok := n.View.LastKnown(node)
	return i.PeerAddr, ok
}

var ranks = map[string]int{settings.DiskStorage: 0, settings.DiskControl: 1}

// able ranks a disk as the next owner of a partition whose owner is gone.
func (n *Node) able(p assignment.Replica) int {
	i, ok := n.View.LastKnown(p.Node)
	if p.Node == n.options().Name {
		i, ok = n.Info(), true
	}
	if !ok || i.Incarnation != p.Incarnation || i.DiskHealth != "" || i.Stage != membership.Serving || i.Deaf || n.watch.Failed(p.Node) {
		return -1
	}
	return ranks[i.Disk]
}

func (n *Node) members() []membership.Info {
	if n.table != nil {
		return n.table.Live()
	}
	return n.View.All()
}

func (n *Node) told(k string, v acceptor.Value) {
	if p, ok := assignment.Partition(k); ok && len(v.Body) > 0 {
		if r, err := assignment.Parse(v.Body, v.Version); err == nil {
			r.Partition = p
			n.Store.Apply(gossip.Update{Records: []assignment.Record{r}})
		}
	}
	if k == quorumread.ConfigurationKey {
		if d, err := quorumread.Parse(v); err == nil && d.Sequence > 0 {
			n.Store.Apply(gossip.Update{Configuration: &d})
		}
	}
}

func (n *Node) heard(x gossip.Update) {
	if n.desk != nil {
		n.desk.ApplyRecords(x.Records)
	}
	if x.Configuration != nil {
		n.log.Log(event.ConfigurationUpdated, "sequence", x.Configuration.Sequence, "spaces", len(x.Configuration.Spaces))
	}
	if x.VoterSet != nil {
		n.log.Log(event.VoterSetActivated, "sequence", x.VoterSet.Sequence, "fleet", x.VoterSet.Fleet, "seats", len(x.VoterSet.Voters))
	}
}

func (n *Node) build(ctx context.Context) {
	o, b := n.opts, n.opts.Timing()
	self, net, clk := o.Name, n.w.Net, n.w.Clock
	if o.HasControlDisk() {
		n.table = membership.NewTable(clk, b)
		n.holder = register.New(register.Options{
			Self: self, Network: net, Clock: clk, Timing: b, Peers: n, OnCommit: n.told,
		})
		mender := &repair.Repairer{Self: self, Net: net, Timing: b}
		n.confirm = &quorumread.Confirmer{Self: self, Net: net, Clock: clk, Timing: b, Store: n.Store, Proposer: n.holder, Repairer: mender}
		n.host = &nodelease.Server{Self: self, Seeds: o.Seeds, Clock: clk, Timing: b, Net: net, Table: n.table, Store: n.Store, Info: n.Info, LatestConfirmation: n.confirm.Latest}
		n.founder = bootstrap.New(o, net, n.Info)
		n.reconfigurer = &reconfigurer.Reconfigurer{Self: self, Clock: clk, Timing: b, Store: n.Store, Bootstrapper: n.founder, Executor: reconfig.New(self, net, b), Repairer: mender, Live: n.controls, Changed: n.table.Changed, Sealed: n.voter.Sealed, Sealing: n.voter.Sealing, Log: n.log}
		if r := n.voter.VoterSet(); r.Sequence > 0 {
			n.Store.Apply(gossip.Update{VoterSet: &r})
		}
	}
	n.leaves = bootstrap.NewGranter(o, func() uint64 { return n.Store.VoterSet().Sequence })
	n.client = registerclient.New(self, net, b, n.members, n.holder)
	n.keeper = &nodelease.Manager{Settings: o, Clock: clk, Net: net, Store: n.Store, View: n.View, Info: n.Info, Local: n.host, Log: n.log}
	n.gossip = &gossip.Gossiper{Self: self, Net: net, Clock: clk, Timing: b, Store: n.Store, View: n.View.All, Control: o.HasControlDisk(), Disk: o.Disk != settings.DiskNone}
	if o.HasControlDisk() {
		n.duty = &controller.Controller{Self: self, Clock: clk, Timing: b, Proposer: n.holder, Client: n.client, Store: n.Store, Live: n.table.Live, Broadcast: n.gossip.Broadcast, Changed: n.table.Changed, Log: n.log}
	}
	n.owners = &leaders.Manager{Self: self, Clock: clk, Timing: b, Store: n.Store, Client: n.client, Replica: n.replica, Log: n.log, CheckServing: n.able, Broadcast: n.gossip.Broadcast}
	n.watch = &failuredetector.Detector{Self: self, BootID: n.boot, Clock: clk, Timing: b, Net: net, Store: n.Store, Addr: n.reach, OnFailure: n.owners.FailOver}
	n.owners.LeaderOptions = leader.Options{
		Self: self, Net: net, Clock: clk, Timing: b, Replica: n.replica, Idle: idle.New(ctx, self, net, clk, b), Addr: n.addr, CheckLease: n.keeper.CheckLease,
		ChangelogInterval: func() time.Duration { return n.options().ChangelogInterval() },
		Backlog:           func() int { return n.options().Backlog },
		MaxTombstones:     func() int { return n.options().MaxTombstones },
		LeaseExtension:    time.Duration(o.LeaseExtension),
		LongestRetention: func() time.Duration {
			if x := n.Store.Index(); x.Sequence > 0 {
				return x.Longest
			}
			return b.MaxRetention()
		},
		OnRecovered: n.owners.OnRecovered, OnPromote: n.owners.Promote, Observer: (*ownerLog)(n), OnDecision: n.w.OnDecision,
	}
	n.desk = &router.Router{Self: self, Net: net, Clock: clk, Timing: b, Store: n.Store, View: n.View, Leaders: n.owners, Backlog: func() int { return n.options().Backlog }, CompressStreams: o.CompressStreams()}
	n.presence = presence.New(self, net, b, n.View)
	n.gates = admission.New(o.Backlog)
	n.turned = rejections.New()
	n.Clients = &client.Service{
		Clock: clk, Timing: b, BodyLimit: o.BodyLimit, Store: n.Store, Router: n.desk, Presence: n.presence, Limiter: n.gates,
		Feeds: stream.New(ctx, self, n.boot, n.desk, clk, b), CheckLease: n.keeper.CheckLease, Draining: n.leaving,
		OnResult: func(t *client.Request, err error) {
			n.log.Log(event.CallRejected, "verb", t.Verb, "visitor", t.Client, "problem", err)
			p, topic := apierror.From(err), ""
			if len(t.Topics) > 0 {
				topic = t.Topics[0]
			}
			n.turned.Add(rejections.Rejection{At: clk.Now().UTC(), Node: self, Verb: t.Verb, Client: t.Client, Topic: topic, CallSeq: t.CallSeq, Code: string(p.Code), Message: p.Message})
		},
	}
	n.hub = fanout.New(ctx, self, n.boot, n.desk, n.Store, clk, b)
	n.Sessions = (&session.Registry{
		Self: self, Clock: clk, Timing: b, Store: n.Store, Hub: n.hub, Ledger: n.desk, CheckLease: n.keeper.CheckLease,
		Draining: n.leaving, Members: n.View.All, Info: n.Info, BodyLimit: o.BodyLimit,
	}).Start(ctx)
	n.touch = &reachability.Monitor{
		Self: self, Clock: clk, Timing: b, Net: net, LastHeard: n.keeper.LastHeard, UsualLatency: n.keeper.UsualLatency, LeaderAddrs: n.deciders, Peers: n.nearest, CheckServing: n.Ready,
		OnRedirect: func(to []membership.Info) {
			if len(to) > 0 {
				n.log.Log(event.ClientsRedirected, "visitors", n.Sessions.Count(), "fellows", len(to))
			} else {
				n.log.Log(event.ClientsStay)
			}
			n.Sessions.Redirect(to)
		},
	}
	n.Operators = &operator.Service{Clock: n.w.Clock, Timing: b, Net: n.w.Net, Client: n.client, Store: n.Store, View: n.View, Info: n.Info, CheckLease: n.keeper.CheckLease, ControlNode: n.keeper.ControlNode, Leaders: n.owners.Views, TopicUsage: n.desk.Usage, Tombstones: n.desk.Tombstones, CountersByPart: n.tallies, Trace: n.desk.Trace, Rejections: n.askTurned, Log: n.log}
}

// deciders gives the addresses of the other machines that records name as owners.
func (n *Node) deciders() []string {
	self := n.options().Name
	by := map[string]bool{}
	var as []string
	for p := range n.Store.VoterSet().Layout.PartitionCount() {
		o := n.Store.Record(p).Leader
		if o == "" || o == self || by[o] {
			continue
		}
		by[o] = true
		if a, ok := n.reach(o); ok {
			as = append(as, a)
		}
	}
	return as
}

// nearest gives the other nodes that take visitors: those of this node's zone, then the rest.
func (n *Node) nearest() [][]membership.Info {
	me := n.options()
	gs := make([][]membership.Info, 2)
	for _, i := range n.View.All() {
		if i.ClientAddr == "" || i.Name == me.Name || i.Stage != membership.Serving || i.Deaf {
			continue
		}
		k := 1
		if i.Zone == me.Zone {
			k = 0
		}
		gs[k] = append(gs[k], i)
	}
	return gs
}

func (n *Node) askTurned(ctx context.Context, i membership.Info, q rejections.Request) ([]rejections.Rejection, error) {
	if i.Name == n.opts.Name {
		return n.turned.Find(q), nil
	}
	a, err := rejections.List.Call(ctx, n.w.Net, n.opts.Name, i.PeerAddr, &q)
	if err != nil {
		return nil, err
	}
	return a.Rejections, nil
}

func (n *Node) run(ctx context.Context) {
	n.goes(func() { n.keeper.Run(ctx) })
	n.goes(func() { n.gossip.Run(ctx) })
	n.goes(func() { n.hub.Run(ctx) })
	n.goes(func() { n.Sessions.Run(ctx) })
	if n.opts.ClientListen != "" {
		n.goes(func() { n.touch.Run(ctx) })
	}
	if n.opts.HasControlDisk() {
		n.goes(func() { n.host.Run(ctx) })
		n.goes(func() { n.confirm.Run(ctx) })
		n.goes(func() { n.reconfigurer.Run(ctx) })
		n.goes(func() { n.duty.Run(ctx) })
	}
	if n.replica != nil {
		n.goes(func() { n.owners.Run(ctx) })
		n.goes(func() { n.watch.Run(ctx) })
		n.goes(func() { n.disk(ctx) })
	}
}

func (n *Node) setFitness(s string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.fitness
	n.fitness = s
	return was != s
}

func (n *Node) disk(ctx context.Context) {
	b := n.bounds()
	swept, dropped := n.w.Clock.Now(), n.w.Clock.Now()
	for n.w.Clock.Sleep(ctx, b.ReconcileInterval()) == nil {
		if f := n.Store.VoterSet().Fleet; f != "" {
			if err := n.id.Join(ctx, n.journal, f); apierror.HasCode(err, apierror.DiskForeign) {
				if n.setFitness(string(apierror.DiskForeign)) {
					n.log.Log(event.DiskFailed, "problem", err)
				}
				continue
			}
		}
		if n.w.Clock.Now().Sub(dropped) > b.SweepInterval() {
			dropped = n.w.Clock.Now()
			n.owners.Orphans(ctx)
		}
		err := n.journal.Failure()
		if err != nil {
			err = n.journal.Probe(ctx, b.CallTimeout())
		}
		if err != nil && ctx.Err() == nil {
			if n.setFitness(string(apierror.From(err).Code)) {
				n.log.Log(event.DiskFailed, "problem", err)
			}
			continue
		}
		if n.setFitness("") {
			n.log.Log(event.DiskHealed)
		}
		if n.w.Clock.Now().Sub(swept) > b.SweepInterval() {
			swept = n.w.Clock.Now()
			n.scrub(ctx)
		}
	}
}

func (n *Node) scrub(ctx context.Context) {
	k, bad, err := n.journal.Scrub(ctx)
	if bad > 0 {
		n.log.Log(event.ScrubBad, "records", k, "damaged", bad, "problem", err)
	} else {
		n.log.Log(event.RepairSwept, "records", k)
	}
}

// Peers gives the handler of the other nodes' calls.
func (n *Node) Peers() http.Handler {
	m := http.NewServeMux()
	membership.Identify.Handle(m, n.keeper.Identify)
	n.gossip.Serve(m)
	n.desk.Serve(m)
	n.presence.Serve(m)
	n.turned.Serve(m)
	n.leaves.Serve(m)
	n.touch.Serve(m)
	if n.host != nil {
		n.host.Serve(m)
		n.holder.Serve(m)
		n.voter.Serve(m)
		n.Operators.Serve(m)
	}
	if n.replica != nil {
		n.replica.Serve(m)
		n.watch.Serve(m)
	}
	return m
}

// Door gives the side towards callers and operators.
func (n *Node) Door() *httpapi.API {
	return &httpapi.API{Clients: n.Clients, Operators: n.Operators, Timing: n.bounds(), Ready: n.Ready}
}

// Ready tells whether new callers should come here.
func (n *Node) Ready() error {
	select {
	case <-n.leaving:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
	}
	if err := n.Sessions.CheckServing(); err != nil {
		return err
	}
	return n.keeper.CheckLease()
}

// HoldsDuty tells whether this node has the placement duty as far as it knows.
func (n *Node) HoldsDuty() bool { return n.Holds(controller.Key) }

// Holds tells whether this node holds a control key as far as it knows.
func (n *Node) Holds(key string) bool { return n.holder != nil && n.holder.Leads(key) }

// Stop leaves in good order: unready at once, duties handed over, streams ended with a hint.
func (n *Node) Stop() {
	b := n.bounds()
	n.log.Log(event.Stopping)
	n.mu.Lock()
	if n.stage == membership.Draining {
		n.mu.Unlock()
		return
	}
	n.stage = membership.Draining
	n.mu.Unlock()
	close(n.leaving)
	ctx, stop := context.WithTimeout(context.Background(), b.ShutdownTimeout()*3/4)
	defer stop()
	able := func(p assignment.Replica) bool {
		i, ok := n.View.Get(p.Node)
		return ok && i.Incarnation == p.Incarnation && i.DiskHealth == "" && i.Stage == membership.Serving
	}
	k := 0
	if n.replica != nil {
		k = n.owners.TransferLeadership(ctx, able, b.TransferTimeout())
	}
	h := 0
	if n.holder != nil {
		var to []string
		for _, i := range membership.Filter(n.table.Live(), func(i membership.Info) bool {
			return i.Disk == settings.DiskControl && i.Name != n.opts.Name && i.Stage == membership.Serving
		}) {
			to = append(to, i.Name)
		}
		h = n.holder.TransferLeadership(ctx, to)
	}
	cx, rest := context.WithTimeout(ctx, b.TransferTimeout())
	defer rest()
	n.Clients.Feeds.WaitFinished(cx)
	n.log.Log(event.LeadershipTransferred, "partitions", k, "keys", h)
	n.Kill()
	n.log.Log(event.StoppedClean)
}

// Kill ends all parts at once.
func (n *Node) Kill() {
	n.stop()
	n.wg.Wait()
}

// Apply takes changed settings, or turns all of them away.
func (n *Node) Apply(o settings.Options) error {
	cur := n.options()
	for _, f := range settings.Changed(cur, o) {
		if _, ok := settings.Reloadable[f]; !ok {
			return apierror.New(apierror.SettingsInvalid, "field %q can't change under a running node", f)
		}
	}
	n.mu.Lock()
	for _, f := range settings.Reloadable {
		f(&n.opts, o)
	}
	n.mu.Unlock()
	n.log.Level(o.LogLevel)
	n.gates.Resize(o.Backlog)
	return nil
}

type ownerLog Node

// DiskFailed logs a failed write of an owner.
func (l *ownerLog) DiskFailed(p int, err error) {
	l.log.Log(event.LeaderDiskFailed, "partition", p, "problem", err)
}

// LeadershipLost logs the end of an ownership.
func (l *ownerLog) LeadershipLost(p int, e uint64, err error) {
	l.log.Log(event.LeaderLost, "partition", p, "epoch", e, "problem", err)
}

// Opened logs a finished take-over.
func (l *ownerLog) Opened(p int, e uint64, h leader.Recovery) {
	l.log.Log(event.LeaderOpen, "partition", p, "epoch", e, "tails", h.Tails, "directory", h.Directory, "replayed", h.Replayed, "fetched", h.Fetched, "reprocessed", h.Reprocessed, "keys", h.Keys, "took", h.Duration.String())
}

// StepFailed logs a step that is tried again.
func (l *ownerLog) StepFailed(p int, e uint64, step string, err error) {
	l.log.Log(event.LeaderStepFailed, "partition", p, "epoch", e, "step", step, "problem", err)
}

var readers = map[bool]event.Event{false: event.ReaderNoted, true: event.ReaderGivenUp}

// ReaderChanged logs that a node reads what has keys, or was given up as one that does.
func (l *ownerLog) ReaderChanged(p int, e uint64, node, boot string, givenUp bool) {
	l.log.Log(readers[givenUp], "partition", p, "epoch", e, "node", node, "boot", boot)
}

// TombstonesFull logs that no more withdrawals are taken.
func (l *ownerLog) TombstonesFull(p int, e uint64, marks int) {
	l.log.Log(event.TombstonesFull, "partition", p, "epoch", e, "marks", marks)
}

func (n *Node) tallies() map[string]any {
	taken, shed := n.gates.Counts()
	streams, lines := n.Clients.Streams()
	sent, mended := n.gossip.Counts()
	m := map[string]any{
		"streams": streams, "stream_lines": lines, "admitted": taken, "shed": shed,
		"gossip_exchanges": sent, "gossip_mended": mended, "owners": n.owners.Views(),
	}
	if n.journal != nil {
		m["journal"] = n.journal.Counters()
		m["epochs_turned_away"] = n.replica.Rejected()
	}
	if n.holder != nil {
		c, a := n.holder.Counts()
		m["key_claims"], m["key_writes"] = c, a
	}
	return m
}
