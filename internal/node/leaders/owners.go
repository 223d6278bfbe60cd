// Package leaders runs the owners that the ownership records name this node for.
package leaders

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// Manager starts and ends owners as the records change.
type Manager struct {
	Self          string
	Clock         clock.Clock
	Timing        settings.Timing
	Store         *gossip.Store
	Client        *registerclient.Client
	Replica       *replica.Replica
	LeaderOptions leader.Options
	Log           *event.Logger
	// CheckServing ranks a disk as the next owner by what is known of its machine: 0 first, below 0 for one that can't be.
	CheckServing func(assignment.Replica) int
	heirs        heirs
	// Broadcast has records that were written here known at once.
	Broadcast func(context.Context, ...assignment.Record)
	mu        sync.Mutex
	m         map[int]*leader.Leader
	closed    bool
	epochs    map[int]uint64
	loads     map[int]sample
}

// Leader finds the owner of a partition that runs here.
func (k *Manager) Leader(p int) (*leader.Leader, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.m[p]; ok {
		return o, nil
	}
	return nil, apierror.New(apierror.NotPartitionLeader, "%s does not decide for partition %d", k.Self, p)
}

// Views gives the figures of all owners.
func (k *Manager) Views() []leader.View {
	vs := []leader.View{}
	for _, o := range k.all() {
		vs = append(vs, o.View())
	}
	return vs
}

// Count is how many owners run here.
func (k *Manager) Count() int { return len(k.all()) }

func (k *Manager) all() []*leader.Leader {
	k.mu.Lock()
	defer k.mu.Unlock()
	os := make([]*leader.Leader, 0, len(k.m))
	for _, p := range slices.Sorted(maps.Keys(k.m)) {
		os = append(os, k.m[p])
	}
	return os
}

// Run follows the records until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	go k.recall(ctx)
	for ctx.Err() == nil {
		ch := k.Store.Changed()
		k.look(ctx)
		cx, stop := context.WithCancel(ctx)
		due := make(chan struct{})
		go func() {
			_ = k.Clock.Sleep(cx, k.Timing.ReconcileInterval())
			close(due)
		}()
		select {
		case <-ch:
		case <-due:
		}
		stop()
	}
}

// recall reads the records of what this disk holds, all at once, since after a restart of all nodes nobody else may know them.
func (k *Manager) recall(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range k.Replica.Partitions() {
		wg.Go(func() {
			for try := 0; ctx.Err() == nil && k.Store.Record(p).Epoch == 0; try++ {
				if k.Store.VoterSet().Sequence > 0 {
					cx, stop := context.WithTimeout(ctx, k.Timing.CallTimeout())
					_, err := k.read(cx, p)
					stop()
					if err == nil {
						return
					}
				}
				_ = k.Clock.Sleep(ctx, k.Timing.Backoff(try))
			}
		})
	}
	wg.Wait()
}

func (k *Manager) look(ctx context.Context) {
	l := k.Store.VoterSet().Layout
	for p := range l.PartitionCount() {
		r := k.Store.Record(p)
		if r.Epoch == 0 {
			continue
		}
		k.mu.Lock()
		if k.m == nil {
			k.m, k.epochs = map[int]*leader.Leader{}, map[int]uint64{}
		}
		o := k.m[p]
		switch {
		case o != nil && o.Record.Epoch == r.Epoch:
			k.mu.Unlock()
			o.Update(ctx, r)
			continue
		case r.Leader == k.Self && r.Epoch > k.epochs[p] && !k.closed:
			k.epochs[p] = r.Epoch
			if k.Replica.Sealed(p) >= r.Epoch && k.named(r) {
				delete(k.m, p)
				k.mu.Unlock()
				if o != nil {
					o.Resign(apierror.New(apierror.StaleEpoch, "epoch %d came", r.Epoch))
				}
				go k.revive(ctx, p)
				continue
			}
			n := leader.New(k.LeaderOptions, r, partition.Urgent(p, l))
			k.m[p] = n
			k.mu.Unlock()
			if o != nil {
				o.Resign(apierror.New(apierror.StaleEpoch, "epoch %d came", r.Epoch))
			}
			k.Log.Log(event.LeaderRecovering, "partition", p, "epoch", r.Epoch)
			go k.serve(ctx, n)
		default:
			if o != nil && r.Epoch > o.Record.Epoch {
				delete(k.m, p)
			}
			k.mu.Unlock()
			if o != nil && r.Epoch > o.Record.Epoch {
				o.Resign(apierror.New(apierror.StaleEpoch, "%s decides under epoch %d", r.Leader, r.Epoch))
			}
		}
	}
}

func (k *Manager) serve(ctx context.Context, o *leader.Leader) {
	o.Run(ctx)
	k.mu.Lock()
	alone := k.m[o.Record.Partition] == o && !k.closed
	if alone {
		delete(k.m, o.Record.Partition)
	}
	k.mu.Unlock()
	if alone && k.Clock.Sleep(ctx, k.Timing.MaxBackoff()) == nil {
		k.revive(ctx, o.Record.Partition)
	}
}

// revive asks for a new epoch of a partition that the record names this node for, under one that this disk used before.
func (k *Manager) revive(ctx context.Context, p int) {
	for try := 0; !k.reread(ctx, p); try++ {
		if k.Clock.Sleep(ctx, k.Timing.Backoff(try)) != nil {
			return
		}
	}
}

// reread looks whether the record still names this node, though nobody decides here, and asks for a new epoch then. It tells whether it
// came to an end: until the record was read, nobody else would notice.
func (k *Manager) reread(ctx context.Context, p int) bool {
	cx, stop := context.WithTimeout(ctx, k.Timing.TakeoverTimeout())
	defer stop()
	r, err := k.read(cx, p)
	if err != nil {
		return false
	}
	if r.Leader != k.Self || k.Store.Record(p).Epoch > r.Epoch || !k.named(r) || !k.spent(p, r.Epoch) {
		return true
	}
	return k.Renew(cx, r)
}

func (k *Manager) named(r assignment.Record) bool {
	p, ok := r.Replica(k.Self)
	return ok && p.Incarnation == k.Replica.Incarnation()
}

func (k *Manager) spent(p int, epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.m[p] == nil && k.epochs[p] >= epoch
}

func (k *Manager) read(ctx context.Context, p int) (assignment.Record, error) {
	v, err := k.Client.Read(ctx, assignment.Key(p))
	if err != nil {
		return assignment.Record{}, err
	}
	r, err := assignment.Parse(v.Body, v.Version)
	if err != nil {
		return r, apierror.Wrap(apierror.Internal, err, "read the record of partition %d", p)
	}
	k.Store.Apply(gossip.Update{Records: []assignment.Record{r}})
	return r, nil
}

// Change rewrites a partition's record while it is still at the given epoch.
func (k *Manager) Change(ctx context.Context, p int, epoch uint64, f func(assignment.Record) (assignment.Record, bool)) bool {
	for try := 0; ctx.Err() == nil; try++ {
		r, err := k.read(ctx, p)
		if err == nil {
			n, ok := f(r)
			if r.Epoch != epoch || !ok {
				return false
			}
			v, e := k.Client.Change(ctx, assignment.Key(p), r.Version, registerclient.NewChangeID(), n.Marshal())
			if e == nil {
				n.Version = v.Version
				k.Broadcast(ctx, n)
				return true
			}
		}
		_ = k.Clock.Sleep(ctx, k.Timing.Backoff(try))
	}
	return false
}

// OnRecovered records that a take-over is finished, so that replicas may change.
func (k *Manager) OnRecovered(ctx context.Context, r assignment.Record) {
	k.Change(ctx, r.Partition, r.Epoch, func(x assignment.Record) (assignment.Record, bool) {
		x.Recovered = true
		return x, true
	})
}

// Renew asks for a new epoch, and tells whether it got one, since this disk used the record's in an earlier run.
func (k *Manager) Renew(ctx context.Context, r assignment.Record) bool {
	k.Log.Log(event.LeaderRenewed, "partition", r.Partition, "epoch", r.Epoch)
	return k.Change(ctx, r.Partition, r.Epoch, func(x assignment.Record) (assignment.Record, bool) {
		return x.Next(k.Self, x.Replicas, "the owner came back on its machine", k.Clock.Now()), x.Leader == k.Self
	})
}

// Promote makes the learner, which has caught up, a replica: in the place of its machine's lost disk if the record names one, otherwise as one more.
func (k *Manager) Promote(ctx context.Context, r assignment.Record, l assignment.Replica) {
	k.Change(ctx, r.Partition, r.Epoch, func(x assignment.Record) (assignment.Record, bool) {
		ok := x.Learner != nil && *x.Learner == l && x.Leader == k.Self && x.Recovered
		return x.Next(k.Self, x.WithReplica(l), l.Node+" has caught up and holds a copy", k.Clock.Now()), ok
	})
}

// TransferLeadership gives every owned partition to another replica, state flushed first.
func (k *Manager) TransferLeadership(ctx context.Context, able func(assignment.Replica) bool, limit time.Duration) int {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	n := 0
	for _, o := range k.all() {
		wg.Go(func() {
			o.Flush(ctx, limit/2)
			o.Close()
			if k.Change(ctx, o.Record.Partition, o.Record.Epoch, func(x assignment.Record) (assignment.Record, bool) {
				for i := range x.Replicas {
					p := x.Replicas[(i+o.Record.Partition)%len(x.Replicas)]
					if p.Node != k.Self && able(p) {
						return x.Next(p.Node, x.Replicas, k.Self+" stops and named its successor", k.Clock.Now()), x.Leader == k.Self
					}
				}
				return x, false
			}) {
				mu.Lock()
				n++
				mu.Unlock()
			}
			o.Resign(apierror.New(apierror.ShuttingDown, "this node is stopping"))
		})
	}
	wg.Wait()
	return n
}

// Orphans drops partitions that a settled record at a higher epoch places elsewhere. The records that name this node, as far as it has heard, are not read
// for that: news of one that no longer does come by themselves, and gaps are mended.
func (k *Manager) Orphans(ctx context.Context) {
	for _, p := range k.Replica.Partitions() {
		if k.Store.Record(p).Holds(k.Self) {
			continue
		}
		r, err := k.read(ctx, p)
		if err != nil || !r.Recovered || r.Holds(k.Self) {
			continue
		}
		if _, err := k.Replica.Drop(ctx, &replica.DropRequest{Target: replica.Target{Partition: p, Incarnation: k.Replica.Incarnation(), Epoch: r.Epoch}}); err == nil {
			k.Log.Log(event.OrphanPartition, "partition", p, "epoch", r.Epoch)
		}
	}
}
