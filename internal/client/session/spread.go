package session

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// scarce is how many thousandths of a core are next to none: a node with fewer keeps only its share of the visitors that come to it.
const scarce = 100

// spread sends visitors from nodes with next to no processor to those of their zone with plenty, so that each node has visits by what it can do.
type spread struct {
	mu   sync.Mutex
	from time.Time
	keep float64
	to   []room
}

// room is a node with more processor than the mean, and how far it goes through the surplus of all such nodes, from 0 to 1.
type room struct {
	address string
	upto    float64
}

// plan finds which part of its newcomers a node keeps, and who takes the others. Each of n nodes that serve is sent as many.
func plan(me membership.Info, all []membership.Info) (keep float64, to []room) {
	if me.MilliCores == 0 || me.MilliCores >= scarce {
		return 1, nil
	}
	in := membership.Filter(all, func(i membership.Info) bool {
		return i.Zone == me.Zone && i.ClientAddr != "" && i.MilliCores > 0 && (i.Name == me.Name || i.Stage == membership.Serving && !i.Deaf)
	})
	sum := 0
	for _, i := range in {
		sum += free(i)
	}
	mean, surplus := float64(sum)/float64(max(len(in), 1)), 0.0
	for _, i := range in {
		if x := float64(free(i)) - mean; x > 0 && i.MilliCores >= scarce && i.Name != me.Name {
			surplus += x
			to = append(to, room{i.ClientAddr, surplus})
		}
	}
	if len(to) == 0 {
		return 1, nil
	}
	for i := range to {
		to[i].upto /= surplus
	}
	return min(float64(free(me))/mean, 1), to
}

// free is what a node has of a processor for visitors: a control node keeps half for what the whole fleet waits for.
func free(i membership.Info) int {
	if i.Disk == settings.DiskControl {
		return max(i.MilliCores/controlShare, 1)
	}
	return i.MilliCores
}

const controlShare = 2

// elsewhere gives the address where a newcomer is better off, or none. Among nodes with plenty it is drawn anew for one that comes back, since the
// node it was sent to may be gone without its peers having noticed yet.
func (h *Registry) elsewhere() string {
	if a := h.away(); a != "" {
		return a
	}
	h.spread.mu.Lock()
	defer h.spread.mu.Unlock()
	s, now := &h.spread, h.Clock.Now()
	if s.from.IsZero() || now.Sub(s.from) >= h.Timing.HeartbeatInterval() {
		s.from = now
		s.keep, s.to = plan(h.Info(), h.Members())
	}
	if len(s.to) == 0 {
		return ""
	}
	x := rand.Float64()
	if x < s.keep {
		return ""
	}
	x = (x - s.keep) / (1 - s.keep)
	for _, r := range s.to {
		if x < r.upto {
			return r.address
		}
	}
	return s.to[len(s.to)-1].address
}

// deal gives nodes in turn, each as often as its processor is of all theirs. One that doesn't say what it has counts like the least.
func deal(to []membership.Info) func() membership.Info {
	least := math.MaxInt
	for _, i := range to {
		if i.MilliCores > 0 {
			least = min(least, free(i))
		}
	}
	had, sum := make([]float64, len(to)), 0.0
	part := func(i membership.Info) float64 {
		if i.MilliCores == 0 {
			return 1
		}
		return float64(free(i)) / float64(least)
	}
	for _, i := range to {
		sum += part(i)
	}
	for k := range had {
		had[k] = rand.Float64() * part(to[k]) / sum
	}
	return func() membership.Info {
		best := 0
		for k, i := range to {
			if had[k] += part(i) / sum; had[k] > had[best] {
				best = k
			}
		}
		had[best]--
		return to[best]
	}
}
