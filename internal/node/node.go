// Package node wires the parts of one process together, starts them and ends them. The settings
// determine which parts run. Every node serves clients' calls and gossips updates. A node with a
// control disk is a control node and a possible voter as well. A node with a storage disk stores
// replicas of partitions and may lead them.
//
// Invariants: a part that persists state is opened before any part that may use it. Once draining
// has begun the node never becomes ready again. All goroutines of the node end before Kill returns;
// a part's own goroutines may not.
//
// State: each part owns its own state. The node owns the current settings, its stage and the health
// of its disk, all under one lock that is never held during I/O.
//
// Start blocks only while the disk is opened, Stop while leadership is transferred, within the
// shutdown timeout. The parts run in goroutines of the node (startParts) until its context ends.
package node

import (
	"context"
	"sync"

	"postjunction/internal/client"
	"postjunction/internal/client/admission"
	"postjunction/internal/client/rejections"
	"postjunction/internal/client/session"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/bootstrap"
	"postjunction/internal/control/quorumread"
	"postjunction/internal/control/reconfigurer"
	"postjunction/internal/control/register"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/disk/identity"
	"postjunction/internal/disk/journal"
	"postjunction/internal/event"
	"postjunction/internal/failuredetector"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/node/leaders"
	"postjunction/internal/nodelease"
	"postjunction/internal/operator"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/placement/controller"
	"postjunction/internal/presence"
	"postjunction/internal/reachability"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// BuildVersion is the name of the build, set at link time.
var BuildVersion = "dev"

// Environment is what a node depends on outside of its process: time, network and disk.
type Environment struct {
	Clock clock.Clock
	Net   wire.Network
	// Disk is the log that the journal writes to, nil for a node without a disk.
	Disk journal.Log
	// OnDecision, if set, observes every decision of the partition leaders that run here; only
	// tests use it.
	OnDecision leader.DecisionObserver
}

// Node is one process of the fleet.
type Node struct {
	env    Environment
	log    *event.Logger
	bootID string

	// mu guards opts, stage and diskHealth.
	mu    sync.Mutex
	opts  settings.Options
	stage string
	// diskHealth is the code of the disk's failure, empty while the disk accepts writes.
	diskHealth string

	// The parts that persist state are nil on a node without a disk.
	journal  *journal.Journal
	identity *identity.Part
	acceptor *acceptor.Acceptor
	replica  *replica.Replica
	// addressBook is in memory only on a node without a disk.
	addressBook *membership.AddressBook

	// Store contains the cluster's state as this node knows it: configuration, voter set and
	// partition assignments.
	Store *gossip.Store
	// View lists the members as this node knows them.
	View         *membership.View
	gossiper     *gossip.Gossiper
	leaseManager *nodelease.Manager
	granter      *bootstrap.Granter
	registers    *registerclient.Client

	// The parts of a control node are nil on all others.
	memberTable  *membership.Table
	leaseServer  *nodelease.Server
	proposer     *register.Proposer
	confirmer    *quorumread.Confirmer
	bootstrapper *bootstrap.Bootstrapper
	reconfigurer *reconfigurer.Reconfigurer
	controller   *controller.Controller

	leaders  *leaders.Manager
	detector *failuredetector.Detector
	router   *router.Router

	// Clients serves the calls of clients.
	Clients *client.Service
	// Operators serves the calls of operators.
	Operators *operator.Service
	// Sessions serves clients that are connected by the line protocol.
	Sessions     *session.Registry
	hub          *fanout.Hub
	presence     *presence.Presence
	admission    *admission.Limiter
	rejections   rejections.Recorder
	reachability *reachability.Monitor

	// draining is closed when a graceful shutdown begins.
	draining chan struct{}
	// cancel ends the context of all parts.
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (n *Node) timing() settings.Timing { return n.options().Timing() }

func (n *Node) options() settings.Options {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opts
}
