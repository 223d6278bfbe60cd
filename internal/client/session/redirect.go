package session

import (
	"math/rand/v2"

	"postjunction/internal/apierror"
	"postjunction/internal/membership"
)

// Redirect redirects all clients, and those that attach later, to other nodes until it is called
// with none.
func (r *Registry) Redirect(nodes []membership.Info) {
	r.mu.Lock()
	r.nextTarget = nil
	if len(nodes) > 0 {
		r.nextTarget = weightedRoundRobin(nodes)
	}
	r.mu.Unlock()
	r.redirectTo(nodes)
}

// CheckServing returns an error while clients are redirected to other nodes.
func (r *Registry) CheckServing() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextTarget != nil {
		return apierror.New(apierror.NotReady, "this node does not reach a quorum, other nodes do")
	}
	return nil
}

// redirectToServing redirects all clients to the serving nodes of this node's zone, or of any zone
// when it has none.
func (r *Registry) redirectToServing() {
	self := r.Info()
	serving := membership.Filter(r.Members(), func(member membership.Info) bool {
		return member.ClientAddr != "" && member.Name != self.Name && member.Stage == membership.Serving &&
			!member.Isolated
	})
	sameZone := membership.Filter(serving, func(member membership.Info) bool { return member.Zone == self.Zone })
	if len(sameZone) > 0 {
		r.redirectTo(sameZone)
		return
	}
	r.redirectTo(serving)
}

// redirectTo asks all clients to move to other nodes, spread over them by their processor.
func (r *Registry) redirectTo(nodes []membership.Info) {
	if len(nodes) == 0 {
		return
	}
	next := weightedRoundRobin(nodes)
	for _, session := range r.allSessions() {
		session.sink(Response{Type: Moved, Address: next().ClientAddr})
	}
}

// redirectAddress returns the address of the node that a new client is redirected to, or "" if it
// is served here. Among nodes with plenty of processor it is drawn anew for a client that
// reconnects, since the node that the client was sent to may have failed without its peers having
// noticed yet.
func (r *Registry) redirectAddress() string {
	if address := r.nextTargetAddress(); address != "" {
		return address
	}
	b, now := &r.balance, r.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.computedAt.IsZero() || now.Sub(b.computedAt) >= r.Timing.HeartbeatInterval() {
		b.computedAt = now
		b.keepFraction, b.targets = computeBalance(r.Info(), r.Members())
	}
	if len(b.targets) == 0 {
		return ""
	}
	return drawTarget(b.keepFraction, b.targets, rand.Float64())
}

func (r *Registry) nextTargetAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextTarget == nil {
		return ""
	}
	return r.nextTarget().ClientAddr
}
