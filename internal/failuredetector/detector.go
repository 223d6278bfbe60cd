// Package failuredetector makes the storage nodes that share partitions monitor one another, so
// that the nodes that would take over from a leader notice its failure.
//
// A Detector pings the leaders of the partitions that its node has replicas of. A leader counts as
// failed at once when its port refuses calls. It also counts as failed after a number of unanswered
// pings, if no other replica gets answers from it either: a broken link between two nodes is no
// failure. It counts as alive again with the first answer. Silence is counted in pings of this
// node, not in time, so that a pause of this process does not count as silence of others.
//
// Run is the loop. It never blocks on a call. Each ping and each query of the peers runs in a
// goroutine that ends with its time-out, and OnFailure runs in a goroutine of its own. The lock is
// held for memory operations only.
package failuredetector

import (
	"context"
	"slices"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Refused and Silent are the reasons why a node counts as failed. They are written to partition
// records, so the texts are those of older builds.
const (
	Refused = "its port turns calls away"
	Silent  = "nothing is heard from it"
)

const (
	// maxTargets is how many leaders one node monitors.
	maxTargets = 16
	// maxPingsInFlight limits the unanswered pings in flight to one target.
	maxPingsInFlight = 4
	// maxRefusals is how many refusals make a target count as failed.
	maxRefusals = 2
	// maxRecentMisses is how many unanswered pings a target may have that counts as heard recently.
	maxRecentMisses = 3
	// latencyDecayDivisor is the divisor of the part of the highest latency that each answer
	// subtracts.
	latencyDecayDivisor = 8
)

// Detector monitors the leaders of the partitions that one node has replicas of. All exported
// fields are set before Run.
type Detector struct {
	Self   string
	BootID string
	Clock  clock.Clock
	Timing settings.Timing
	Net    wire.Network
	Store  *gossip.Store
	// Addr returns the address of a node.
	Addr func(node string) (string, bool)
	// OnFailure is called at each ping interval while a node counts as failed, with the time at
	// which it was marked as failed and the reason.
	OnFailure func(ctx context.Context, node string, since time.Time, reason string)

	// mu guards targets, the values that they point to, and peers.
	mu      sync.Mutex
	targets map[string]*target
	// peers has, by target, the other nodes with replicas of its partitions.
	peers map[string][]string
}

// target is a leader that is monitored.
type target struct {
	// missed counts the ping intervals since the last answer, refused the refusals since then.
	missed        int
	refused       int
	pingsInFlight int
	// isQuerying is set while the peers are asked whether the target answers them.
	isQuerying bool
	// latency is the highest latency of recent answers. It decays with each answer.
	latency time.Duration
	// failure is the reason why the target counts as failed, "" while it doesn't. failedSince is
	// when it was marked as failed.
	failure     string
	failedSince time.Time
}

// Run monitors the leaders until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	var changed <-chan struct{}
	for lastTick := d.Clock.Now(); d.Clock.Sleep(ctx, d.Timing.PingInterval()) == nil; {
		now := d.Clock.Now()
		wasPaused := now.Sub(lastTick) > 2*d.Timing.PingInterval()
		lastTick = now
		select {
		case <-changed:
			changed = nil
		default:
		}
		if changed == nil {
			changed = d.Store.Changed()
			d.updateTargets()
		}
		d.pingTargets(ctx, wasPaused)
	}
}

// updateTargets sets the targets by the newest records. A target that remains keeps its state.
func (d *Detector) updateTargets() {
	peers := d.peersByLeader()
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.targets
	d.targets = map[string]*target{}
	for leader := range peers {
		d.targets[leader] = previous[leader]
		if d.targets[leader] == nil {
			d.targets[leader] = &target{}
		}
	}
	d.peers = peers
}

// peersByLeader returns the leaders to monitor. Each has the other nodes with replicas of those of
// its partitions that this node has a replica of.
func (d *Detector) peersByLeader() map[string][]string {
	peers := map[string][]string{}
	for partition := range d.Store.VoterSet().Layout.PartitionCount() {
		record := d.Store.Record(partition)
		if _, ok := record.Replica(d.Self); !ok || record.Leader == "" || record.Leader == d.Self {
			continue
		}
		if _, ok := peers[record.Leader]; !ok && len(peers) >= maxTargets {
			continue
		}
		peers[record.Leader] = append(peers[record.Leader], otherReplicas(record, d.Self)...)
	}
	for leader, nodes := range peers {
		slices.Sort(nodes)
		peers[leader] = slices.Compact(nodes)
	}
	return peers
}

func otherReplicas(record assignment.Record, self string) []string {
	return slices.DeleteFunc(record.Nodes(), func(node string) bool {
		return node == self || node == record.Leader
	})
}

// pingTargets pings every target, and acts on those that have failed or that miss too many pings.
// After a pause of this process no ping counts as missed.
func (d *Detector) pingTargets(ctx context.Context, wasPaused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node, target := range d.targets {
		addr, ok := d.Addr(node)
		if !ok {
			continue
		}
		if !wasPaused {
			target.missed++
		}
		if target.pingsInFlight < maxPingsInFlight {
			target.pingsInFlight++
			go d.ping(ctx, node, target, addr)
		}
		switch {
		case target.failure != "":
			go d.OnFailure(ctx, node, target.failedSince, target.failure)
		case target.missed > d.maxMissed(target) && !target.isQuerying:
			target.isQuerying = true
			go d.queryPeers(ctx, node, target, d.peers[node])
		}
	}
}

// maxMissed returns how many pings may be unanswered. It is higher if recent answers took long,
// since a slow or lossy connection is not a failure.
func (d *Detector) maxMissed(target *target) int {
	interval := d.Timing.PingInterval()
	maxSilence := min(d.Timing.FailureTimeout()+2*target.latency, d.Timing.SessionTimeout()/2)
	return int((maxSilence + interval/2) / interval)
}

// markFailed marks a target as failed, unless it already is or is no longer monitored. The caller
// holds mu.
func (d *Detector) markFailed(ctx context.Context, node string, target *target, reason string) {
	if target.failure != "" || d.targets[node] != target {
		return
	}
	target.failure, target.failedSince = reason, d.Clock.Now()
	go d.OnFailure(ctx, node, target.failedSince, reason)
}

// Heard reports whether a node that is monitored here answered recently. It returns NotReady for a
// node that isn't monitored.
func (d *Detector) Heard(node string) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	target := d.targets[node]
	if target == nil {
		return false, apierror.New(apierror.NotReady, "%s does not monitor %s", d.Self, node)
	}
	return target.failure == "" && target.missed <= maxRecentMisses && target.refused == 0, nil
}

// Failed reports whether a node that is monitored here counts as failed.
func (d *Detector) Failed(node string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	target := d.targets[node]
	return target != nil && target.failure != ""
}
