// Package failuredetector has the stores that share partitions watch one another, so that the loss
// of a leader is noticed by those that take over from it.
//
// A Detector pings the leaders of the partitions that its node holds replicas of. A leader counts
// as failed at once when its port refuses calls, and after a number of unanswered pings when no
// other replica hears it either: a broken link between two nodes is no failure. It counts as alive
// again with the first answer. Silence is counted in pings of this node, not in time, so that a
// pause of this process is no silence of others.
//
// Run is the loop; it never blocks on a call. Each ping and each query of the peers runs in a
// goroutine that ends with its time-out, and OnFailure runs in one of its own. The lock is held
// over memory only.
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

// Why a node counts as failed. These texts stand in partition records, so they are as in older
// builds.
const (
	Refused = "its port turns calls away"
	Silent  = "nothing is heard from it"
)

const (
	// maxTargets is how many leaders one node watches.
	maxTargets = 16
	// maxPingsInFlight is how many pings to one target wait for an answer.
	maxPingsInFlight = 4
	// maxRefusals is how many refusals make a target count as failed.
	maxRefusals = 2
	// maxRecentMisses is how many unanswered pings a target that was heard lately may have.
	maxRecentMisses = 3
	// latencyDecayDivisor is the part of the longest latency that each answer takes off.
	latencyDecayDivisor = 8
)

// Detector watches the leaders of the partitions that one node holds replicas of. All exported
// fields are set before Run.
type Detector struct {
	Self   string
	BootID string
	Clock  clock.Clock
	Timing settings.Timing
	Net    wire.Network
	Store  *gossip.Store
	// Addr finds the address of a node.
	Addr func(node string) (string, bool)
	// OnFailure is called at each ping interval while a node counts as failed, with since when and
	// why.
	OnFailure func(ctx context.Context, node string, since time.Time, why string)

	// mu guards targets, what they point to, and peers.
	mu      sync.Mutex
	targets map[string]*target
	// peers has, by target, the other nodes that hold replicas of its partitions.
	peers map[string][]string
}

// target is a leader that is watched.
type target struct {
	// missed counts the ping intervals since the last answer, refused the refusals since then.
	missed        int
	refused       int
	pingsInFlight int
	// isQuerying says that the peers are being asked whether they hear it.
	isQuerying bool
	// latency is the longest of the last answers, which fades.
	latency time.Duration
	// failure is why it counts as failed, "" while it doesn't, and failedSince since when.
	failure     string
	failedSince time.Time
}

// Run watches the leaders until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	var changed <-chan struct{}
	for last := d.Clock.Now(); d.Clock.Sleep(ctx, d.Timing.PingInterval()) == nil; {
		now := d.Clock.Now()
		wasPaused := now.Sub(last) > 2*d.Timing.PingInterval()
		last = now
		select {
		case <-changed:
			changed = nil
		default:
		}
		if changed == nil {
			changed = d.Store.Changed()
			d.updateTargets()
		}
		d.round(ctx, wasPaused)
	}
}

// updateTargets sets whom to watch by the newest records. A target that stays keeps its state.
func (d *Detector) updateTargets() {
	peers := d.peersByLeader()
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.targets
	d.targets = map[string]*target{}
	for leader := range peers {
		d.targets[leader] = before[leader]
		if d.targets[leader] == nil {
			d.targets[leader] = &target{}
		}
	}
	d.peers = peers
}

// peersByLeader returns the leaders to watch, each with the other nodes that hold replicas of those
// of its partitions that this node holds one of.
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

// round pings every target, and acts on those that have failed or that miss too many pings. After a
// pause of this process no ping counts as missed.
func (d *Detector) round(ctx context.Context, wasPaused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node, watched := range d.targets {
		addr, ok := d.Addr(node)
		if !ok {
			continue
		}
		if !wasPaused {
			watched.missed++
		}
		if watched.pingsInFlight < maxPingsInFlight {
			watched.pingsInFlight++
			go d.ping(ctx, node, watched, addr)
		}
		switch {
		case watched.failure != "":
			go d.OnFailure(ctx, node, watched.failedSince, watched.failure)
		case watched.missed > d.maxMissed(watched) && !watched.isQuerying:
			watched.isQuerying = true
			go d.queryPeers(ctx, node, watched, d.peers[node])
		}
	}
}

// maxMissed returns how many pings may go unanswered: more where answers took long lately, since
// what is slow or lossy is not gone.
func (d *Detector) maxMissed(watched *target) int {
	interval := d.Timing.PingInterval()
	silence := min(d.Timing.FailureTimeout()+2*watched.latency, d.Timing.SessionTimeout()/2)
	return int((silence + interval/2) / interval)
}

// markFailed has a target count as failed, unless it does or is no longer watched. The caller holds
// mu.
func (d *Detector) markFailed(ctx context.Context, node string, watched *target, why string) {
	if watched.failure != "" || d.targets[node] != watched {
		return
	}
	watched.failure, watched.failedSince = why, d.Clock.Now()
	go d.OnFailure(ctx, node, watched.failedSince, why)
}

// Heard reports whether a node that is watched here was heard lately. It returns NotReady for a
// node that isn't watched.
func (d *Detector) Heard(node string) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	watched := d.targets[node]
	if watched == nil {
		return false, apierror.New(apierror.NotReady, "%s does not watch %s", d.Self, node)
	}
	return watched.failure == "" && watched.missed <= maxRecentMisses && watched.refused == 0, nil
}

// Failed reports whether a node that is watched here counts as failed.
func (d *Detector) Failed(node string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	watched := d.targets[node]
	return watched != nil && watched.failure != ""
}
