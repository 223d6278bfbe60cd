// Package reachability finds out whether a node still reaches the machines that decide, and which peers do when it does not.
package reachability

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/membership/failuredetector"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// ProbeRequest asks a peer whether it reaches the machines that decide.
type ProbeRequest struct{}

// ProbeResponse says so.
type ProbeResponse struct {
	Reachable bool `json:"w"`
}

// Probe is the call.
var Probe = wire.NewProcedure[ProbeRequest, ProbeResponse]("Touch", "Reach", wire.ReadOnly, "the receiver looks whom it reaches")

const (
	doubtOf   = 3
	doubtIn   = 2
	askedMost = 8
	slackOf   = 4
	// half and some are the shares of the machines that decide that a peer must reach to be well, and a node to keep its visitors.
	half = 2
	some = 1 << 10
)

// Monitor is one node's.
type Monitor struct {
	Self   string
	Clock  clock.Clock
	Timing settings.Timing
	Net    wire.Network
	// LastHeard tells when the fleet was last heard in the ordinary way, the zero time when it never was.
	LastHeard func() time.Time
	// UsualLatency tells how long a heartbeat that is answered takes, and whether this node has been here long enough to know.
	UsualLatency func() (time.Duration, bool)
	// LeaderAddrs gives the addresses of the other machines that decide at present.
	LeaderAddrs func() []string
	// Peers gives the nodes that could take this node's visitors, in groups, the nearest first.
	Peers func() [][]membership.Info
	// CheckServing tells whether this node itself could take visitors.
	CheckServing func() error
	// OnRedirect hears which peers take this node's visitors, and nothing once this node reaches those who decide again.
	OnRedirect func(to []membership.Info)
}

// Run looks after the way to those who decide until ctx ends. As long as heartbeats are heard it costs nothing; when one is late, the machines that decide
// are called and peers asked at once, and when none of the former answers, peers that reach them take the visitors.
func (t *Monitor) Run(ctx context.Context) {
	away := false
	for pause := t.Timing.PingInterval(); t.Clock.Sleep(ctx, pause) == nil; {
		pause = t.Timing.PingInterval()
		reached, to := true, []membership.Info(nil)
		if t.doubtful() {
			if reached, to = t.look(ctx, !away); reached {
				pause = t.Timing.HeartbeatInterval()
			}
		}
		switch {
		case ctx.Err() != nil:
			return
		case reached && away:
			away = false
			t.OnRedirect(nil)
		case !reached && len(to) > 0:
			away = true
			t.OnRedirect(to)
		}
	}
}

// look tells whether some machine that decides is reached or a heartbeat was heard meanwhile, and if not, which peers reach them, if that is asked for.
func (t *Monitor) look(ctx context.Context, ask bool) (bool, []membership.Info) {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	c := make(chan []membership.Info, 1)
	go func() {
		var to []membership.Info
		if ask {
			to = t.well(cx)
		}
		c <- to
	}()
	if n, all := t.reached(cx, some); n > 0 || all == 0 {
		return true, nil
	}
	to := <-c
	return !t.doubtful(), to
}

// slack is what a slow machine or link is given more, since slow is not away.
func (t *Monitor) slack() time.Duration {
	d, _ := t.UsualLatency()
	return slackOf * d
}

func (t *Monitor) doubtful() bool {
	_, ok := t.UsualLatency()
	at := t.LastHeard()
	return ok && !at.IsZero() && t.Clock.Now().Sub(at) > t.Timing.HeartbeatInterval()*doubtOf/doubtIn+t.slack()
}

// reached calls the machines that decide, and tells how many of how many answered, as soon as a share of them did.
func (t *Monitor) reached(ctx context.Context, share int) (n, all int) {
	cx, stop := context.WithTimeout(ctx, t.Timing.HedgeDelay()+t.slack())
	defer stop()
	as := t.LeaderAddrs()
	most := max(1, (len(as)+share-1)/share)
	got := quorum.Successes(quorum.Gather(cx, as, func(ctx context.Context, a string) (*failuredetector.PingResponse, error) {
		return failuredetector.Ping.Call(ctx, t.Net, t.Self, a, &failuredetector.PingRequest{})
	}, func(as []quorum.Result[string, *failuredetector.PingResponse]) bool {
		return len(quorum.Successes(as)) >= most
	}))
	return len(got), len(as)
}

// well gives the peers of the nearest group in which some say that they reach those who decide: those who say so soon after the first.
func (t *Monitor) well(ctx context.Context) []membership.Info {
	for _, g := range t.Peers() {
		rand.Shuffle(len(g), func(i, k int) { g[i], g[k] = g[k], g[i] })
		g = g[:min(len(g), askedMost)]
		cx, stop := context.WithTimeout(ctx, 2*t.Timing.HedgeDelay())
		as := quorum.Successes(quorum.Gather(cx, g, func(ctx context.Context, i membership.Info) (*ProbeResponse, error) {
			a, err := Probe.Call(ctx, t.Net, t.Self, i.PeerAddr, &ProbeRequest{})
			if err == nil && a.Reachable {
				go func() {
					_ = t.Clock.Sleep(cx, t.Timing.InitialBackoff())
					stop()
				}()
			}
			return a, err
		}, nil))
		stop()
		var to []membership.Info
		for _, a := range as {
			if a.Value.Reachable {
				to = append(to, a.Target)
			}
		}
		if len(to) > 0 {
			return to
		}
	}
	return nil
}

func (t *Monitor) reach(ctx context.Context, _ *ProbeRequest) (*ProbeResponse, error) {
	if err := t.CheckServing(); err != nil {
		return nil, err
	}
	n, all := t.reached(ctx, half)
	return &ProbeResponse{Reachable: half*n >= all}, nil
}

// Serve adds the call.
func (t *Monitor) Serve(m *http.ServeMux) { Probe.Handle(m, t.reach) }
