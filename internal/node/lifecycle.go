package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// Start opens the disk, if the settings name one, and runs all parts until Stop or Kill. If the
// disk can't be opened or belongs to another node, it returns that error and nothing runs.
func Start(ctx context.Context, opts settings.Options, env Environment, log *event.Logger) (*Node, error) {
	n := &Node{
		env:         env,
		log:         log,
		opts:        opts,
		bootID:      newBootID(),
		stage:       membership.Serving,
		draining:    make(chan struct{}),
		View:        membership.NewView(),
		addressBook: &membership.AddressBook{},
	}
	n.Store = gossip.NewStore(n.onUpdate)
	ctx, n.cancel = context.WithCancel(ctx)
	if opts.Disk != settings.DiskNone {
		if err := n.openDisk(ctx); err != nil {
			n.Kill()
			return nil, err
		}
	}
	n.build(ctx)
	n.startParts(ctx)
	log.Log(event.Started,
		"name", opts.Name, "zone", opts.Zone, "disk", opts.Disk, "build", BuildVersion, "boot", n.bootID)
	return n, nil
}

func newBootID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (n *Node) startParts(ctx context.Context) {
	n.wg.Go(func() { n.leaseManager.Run(ctx) })
	n.wg.Go(func() { n.gossiper.Run(ctx) })
	n.wg.Go(func() { n.hub.Run(ctx) })
	n.wg.Go(func() { n.Sessions.Run(ctx) })
	if n.opts.ClientListen != "" {
		n.wg.Go(func() { n.reachability.Run(ctx) })
	}
	if n.opts.HasControlDisk() {
		n.wg.Go(func() { n.leaseServer.Run(ctx) })
		n.wg.Go(func() { n.confirmer.Run(ctx) })
		n.wg.Go(func() { n.reconfigurer.Run(ctx) })
		n.wg.Go(func() { n.controller.Run(ctx) })
	}
	if n.replica != nil {
		n.wg.Go(func() { n.leaders.Run(ctx) })
		n.wg.Go(func() { n.detector.Run(ctx) })
		n.wg.Go(func() { n.superviseDisk(ctx) })
	}
}

// Stop shuts the node down gracefully within the shutdown timeout. The node becomes unready at
// once, leadership of partitions and control keys is transferred, and streams end with a hint which
// node to use instead. A second call does nothing.
func (n *Node) Stop() {
	timing := n.timing()
	n.log.Log(event.Stopping)
	if !n.beginDraining() {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), timing.ShutdownTimeout()*3/4)
	defer stop()
	partitions, keys := 0, 0
	if n.replica != nil {
		partitions = n.leaders.TransferLeadership(ctx, n.canSucceed, timing.TransferTimeout())
	}
	if n.proposer != nil {
		keys = n.proposer.TransferLeadership(ctx, n.proposerSuccessors())
	}
	streamsCtx, stopWaiting := context.WithTimeout(ctx, timing.TransferTimeout())
	defer stopWaiting()
	n.Clients.Feeds.WaitFinished(streamsCtx)
	n.log.Log(event.LeadershipTransferred, "partitions", partitions, "keys", keys)
	n.Kill()
	n.log.Log(event.StoppedClean)
}

// beginDraining makes the node unready. It reports false if the node was draining already.
func (n *Node) beginDraining() bool {
	n.mu.Lock()
	if n.stage == membership.Draining {
		n.mu.Unlock()
		return false
	}
	n.stage = membership.Draining
	n.mu.Unlock()
	close(n.draining)
	return true
}

// canSucceed reports whether a stopping node may transfer leadership to a replica.
func (n *Node) canSucceed(r assignment.Replica) bool {
	info, ok := n.View.Get(r.Node)
	return ok && info.Incarnation == r.Incarnation && info.DiskHealth == "" && info.Stage == membership.Serving
}

// proposerSuccessors lists the other control nodes that serve, which may take over control keys.
func (n *Node) proposerSuccessors() []string {
	var names []string
	for _, info := range n.memberTable.Live() {
		if info.Disk == settings.DiskControl && info.Name != n.opts.Name && info.Stage == membership.Serving {
			names = append(names, info.Name)
		}
	}
	return names
}

// Kill ends all parts immediately and waits for their goroutines.
func (n *Node) Kill() {
	n.cancel()
	n.wg.Wait()
}

// Apply applies changed settings. If one of them can't change while the node runs, it returns
// SettingsInvalid and applies none.
func (n *Node) Apply(opts settings.Options) error {
	for _, field := range settings.Changed(n.options(), opts) {
		if _, ok := settings.Reloadable[field]; !ok {
			return apierror.New(apierror.SettingsInvalid, "field %q can't change while the node runs", field)
		}
	}
	n.mu.Lock()
	for _, reload := range settings.Reloadable {
		reload(&n.opts, opts)
	}
	n.mu.Unlock()
	n.log.Level(opts.LogLevel)
	n.admission.Resize(opts.Backlog)
	return nil
}
