package reachability

import (
	"context"
	"math/rand/v2"
	"net/http"

	"postjunction/internal/failuredetector"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/wire"
)

// ProbeRequest asks a peer whether it reaches the leaders.
type ProbeRequest struct{}

// ProbeResponse reports whether the receiver reaches the leaders.
type ProbeResponse struct {
	Reachable bool `json:"w"`
}

// Probe asks a peer whether it reaches the leaders.
var Probe = wire.NewProcedure[ProbeRequest, ProbeResponse]("Touch", "Reach", wire.ReadOnly,
	"the receiver looks whom it reaches")

const (
	// maxPeersAsked is how many peers of a group are asked.
	maxPeersAsked = 8
	// A node keeps its clients if one in selfAnswerDivisor of the leaders answers, which is a
	// single one. A peer may be sent clients if one in peerAnswerDivisor answers it, which is half
	// of them.
	selfAnswerDivisor = 1 << 10
	peerAnswerDivisor = 2
)

// Serve registers the procedure with mux.
func (m *Monitor) Serve(mux *http.ServeMux) { Probe.Handle(mux, m.serveProbe) }

func (m *Monitor) serveProbe(ctx context.Context, _ *ProbeRequest) (*ProbeResponse, error) {
	if err := m.CheckServing(); err != nil {
		return nil, err
	}
	answered, called := m.callLeaders(ctx, peerAnswerDivisor)
	return &ProbeResponse{Reachable: peerAnswerDivisor*answered >= called}, nil
}

// callLeaders calls all leaders at once. It returns the number that answered and the number called,
// as soon as one in divisor of them has answered.
func (m *Monitor) callLeaders(ctx context.Context, divisor int) (answered, called int) {
	ctx, cancel := context.WithTimeout(ctx, m.Timing.HedgeDelay()+m.slack())
	defer cancel()
	addrs := m.LeaderAddrs()
	required := max(1, (len(addrs)+divisor-1)/divisor)
	ping := func(ctx context.Context, addr string) (*failuredetector.PingResponse, error) {
		return failuredetector.Ping.Call(ctx, m.Net, m.Self, addr, &failuredetector.PingRequest{})
	}
	isEnough := func(results []quorum.Result[string, *failuredetector.PingResponse]) bool {
		return len(quorum.Successes(results)) >= required
	}
	return len(quorum.Successes(quorum.Gather(ctx, addrs, ping, isEnough))), len(addrs)
}

// reachablePeers returns the peers that reach the leaders, from the nearest group that has some. It
// returns those that answer soon after the first.
func (m *Monitor) reachablePeers(ctx context.Context) []membership.Info {
	for _, group := range m.Peers() {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		if reachable := m.probe(ctx, group[:min(len(group), maxPeersAsked)]); len(reachable) > 0 {
			return reachable
		}
	}
	return nil
}

// probe asks these peers at once, and returns those that report that they reach the leaders.
func (m *Monitor) probe(ctx context.Context, peers []membership.Info) []membership.Info {
	callCtx, cancel := context.WithTimeout(ctx, 2*m.Timing.HedgeDelay())
	defer cancel()
	results := quorum.Gather(callCtx, peers, func(ctx context.Context, peer membership.Info) (*ProbeResponse, error) {
		response, err := Probe.Call(ctx, m.Net, m.Self, peer.PeerAddr, &ProbeRequest{})
		if err == nil && response.Reachable {
			go func() {
				_ = m.Clock.Sleep(callCtx, m.Timing.InitialBackoff())
				cancel()
			}()
		}
		return response, err
	}, nil)
	var reachable []membership.Info
	for _, result := range quorum.Successes(results) {
		if result.Value.Reachable {
			reachable = append(reachable, result.Target)
		}
	}
	return reachable
}
