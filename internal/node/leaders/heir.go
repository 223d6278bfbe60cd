package leaders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/placement/assignment"
)

const claimsMost = 32

// heirs keeps which partitions this machine is claiming at present.
type heirs struct {
	mu  sync.Mutex
	now map[int]bool
}

func (h *heirs) begin(p int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now[p] || len(h.now) >= claimsMost {
		return false
	}
	if h.now == nil {
		h.now = map[int]bool{}
	}
	h.now[p] = true
	return true
}

func (h *heirs) end(p int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.now, p)
}

// FailOver claims the partitions of a machine that is gone, each at its turn: the first heir at once, each further one a pause later. The
// record says who is which; of two that claim, one wins.
func (k *Manager) FailOver(ctx context.Context, node string, since time.Time, why string) {
	k.mu.Lock()
	closed := k.closed
	k.mu.Unlock()
	if closed {
		return
	}
	for p := range k.Store.VoterSet().Layout.PartitionCount() {
		r := k.Store.Record(p)
		if r.Leader != node || !k.named(r) {
			continue
		}
		turn := time.Duration(r.Successors(k.CheckServing).Rank(k.Self)) * k.Timing.ClaimJitter()
		if turn < 0 || k.Clock.Now().Sub(since) < turn || !k.heirs.begin(p) {
			continue
		}
		go func() {
			defer k.heirs.end(p)
			k.inherit(ctx, r, why)
		}()
	}
}

func (k *Manager) inherit(ctx context.Context, r assignment.Record, why string) {
	cx, stop := context.WithTimeout(ctx, k.Timing.CallTimeout())
	defer stop()
	n := r.Next(k.Self, r.Replicas, "the owner is gone: "+why, k.Clock.Now())
	v, err := k.Client.Change(cx, assignment.Key(r.Partition), r.Version, registerclient.NewChangeID(), n.Marshal())
	if err == nil {
		n.Version = v.Version
		k.Log.Log(event.Inherited, "partition", r.Partition, "epoch", n.Epoch, "from", r.Leader, "reason", why)
		k.Broadcast(ctx, n)
		return
	}
	if !apierror.HasCode(err, apierror.StaleBase) {
		k.Log.Log(event.PlacementFailed, "partition", r.Partition, "problem", err)
		_ = k.Clock.Sleep(ctx, clock.Jitter(k.Timing.PingInterval(), 1, rand.Float64()))
	}
	_, _ = k.read(cx, r.Partition)
}
