package session

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

const (
	// scarceMilliCores is the limit of processor below which a node serves only a fraction of the
	// clients that connect to it.
	scarceMilliCores = 100
	// controlNodeDivisor divides the processor of a control node. The quotient is for clients. The
	// rest is for work that the whole fleet waits for.
	controlNodeDivisor = 2
)

// balance sends new clients from nodes with scarce processor to nodes of their zone with plenty, so
// that each node has sessions in proportion to its processor.
type balance struct {
	// mu guards the fields below.
	mu           sync.Mutex
	computedAt   time.Time
	keepFraction float64
	targets      []target
}

// target is a node with more processor than the mean. The range of 0 to 1 is divided among the
// targets by their surplus. A target's part of it ends at upperBound.
type target struct {
	address    string
	upperBound float64
}

// computeBalance returns the fraction of its new clients that a node serves itself, and the nodes
// that the other clients are redirected to. It assumes that the nodes of a zone get equally many
// new clients.
func computeBalance(self membership.Info, members []membership.Info) (keepFraction float64, targets []target) {
	if self.MilliCores == 0 || self.MilliCores >= scarceMilliCores {
		return 1, nil
	}
	zone := membership.Filter(members, func(member membership.Info) bool {
		return member.Zone == self.Zone && member.ClientAddr != "" && member.MilliCores > 0 &&
			(member.Name == self.Name || member.Stage == membership.Serving && !member.Isolated)
	})
	totalMilliCores := 0
	for _, member := range zone {
		totalMilliCores += clientMilliCores(member)
	}
	mean, surplus := float64(totalMilliCores)/float64(max(len(zone), 1)), 0.0
	for _, member := range zone {
		excess := float64(clientMilliCores(member)) - mean
		if excess > 0 && member.MilliCores >= scarceMilliCores && member.Name != self.Name {
			surplus += excess
			targets = append(targets, target{member.ClientAddr, surplus})
		}
	}
	if len(targets) == 0 {
		return 1, nil
	}
	for i := range targets {
		targets[i].upperBound /= surplus
	}
	return min(float64(clientMilliCores(self))/mean, 1), targets
}

// clientMilliCores returns what a node has of its processor for clients, in thousandths of a core.
func clientMilliCores(member membership.Info) int {
	if member.Disk == settings.DiskControl {
		return max(member.MilliCores/controlNodeDivisor, 1)
	}
	return member.MilliCores
}

// drawTarget returns the address of the node that a new client is redirected to, or "" if it is
// served here. draw is from 0 to 1.
func drawTarget(keepFraction float64, targets []target, draw float64) string {
	if draw < keepFraction {
		return ""
	}
	draw = (draw - keepFraction) / (1 - keepFraction)
	for _, target := range targets {
		if draw < target.upperBound {
			return target.address
		}
	}
	return targets[len(targets)-1].address
}

// weightedRoundRobin returns a function that returns nodes in turn, each in proportion to its
// processor. A node whose processor is unknown counts like the smallest.
func weightedRoundRobin(nodes []membership.Info) func() membership.Info {
	smallest := math.MaxInt
	for _, node := range nodes {
		if node.MilliCores > 0 {
			smallest = min(smallest, clientMilliCores(node))
		}
	}
	weights, totalWeight := make([]float64, len(nodes)), 0.0
	for i, node := range nodes {
		weights[i] = 1
		if node.MilliCores > 0 {
			weights[i] = float64(clientMilliCores(node)) / float64(smallest)
		}
		totalWeight += weights[i]
	}
	credits := make([]float64, len(nodes))
	for i := range credits {
		credits[i] = rand.Float64() * weights[i] / totalWeight
	}
	return func() membership.Info {
		chosen := 0
		for i := range nodes {
			if credits[i] += weights[i] / totalWeight; credits[i] > credits[chosen] {
				chosen = i
			}
		}
		credits[chosen]--
		return nodes[chosen]
	}
}
