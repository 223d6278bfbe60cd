// Package failuredetector has machines that share partitions look after one another, so that a loss is noticed by those who take over.
package failuredetector

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// PingRequest asks for a sign of life.
type PingRequest struct{}

// PingResponse is one: the run of the process.
type PingResponse struct {
	BootID string `json:"b"`
}

// QueryRequest asks a peer what it knows of a machine that is not heard.
type QueryRequest struct {
	Node string `json:"n"`
}

// QueryResponse says whether the machine was heard lately.
type QueryResponse struct {
	Heard bool `json:"h"`
}

// The calls of machines that look after one another.
var (
	Ping  = wire.NewProcedure[PingRequest, PingResponse]("Watch", "Beat", wire.ReadOnly, "tells that the process lives")
	Query = wire.NewProcedure[QueryRequest, QueryResponse]("Watch", "Heard", wire.ReadOnly, "tells whom the receiver has heard")
)

// Why a machine counts as gone.
const (
	Refused = "its port turns calls away"
	Silent  = "nothing is heard from it"
)

const (
	wardsMost  = 16
	flightMost = 4
	refusals   = 2
	lately     = 3
	fade       = 8
)

type ward struct {
	missed  int
	refused int
	flight  int
	asking  bool
	took    time.Duration
	since   time.Time
	why     string
}

// Detector is one machine's; it looks after the owners of the partitions that it holds copies of.
type Detector struct {
	Self   string
	BootID string
	Clock  clock.Clock
	Timing settings.Timing
	Net    wire.Network
	Store  *gossip.Store
	Addr   func(node string) (string, bool)
	// OnFailure hears each beat of a machine that is gone, since when and why.
	OnFailure func(ctx context.Context, node string, since time.Time, why string)

	mu    sync.Mutex
	wards map[string]*ward
	rings map[string][]string
}

// Run looks after the others until ctx ends. Silence is counted in own beats, so that own pauses don't count.
func (w *Detector) Run(ctx context.Context) {
	var known <-chan struct{}
	for at := w.Clock.Now(); w.Clock.Sleep(ctx, w.Timing.PingInterval()) == nil; {
		now := w.Clock.Now()
		paused := now.Sub(at) > 2*w.Timing.PingInterval()
		at = now
		select {
		case <-known:
			known = nil
		default:
		}
		if known == nil {
			known = w.Store.Changed()
			w.learn()
		}
		w.round(ctx, paused)
	}
}

func (w *Detector) learn() {
	rings := map[string][]string{}
	for p := range w.Store.VoterSet().Layout.PartitionCount() {
		r := w.Store.Record(p)
		if _, ok := r.Replica(w.Self); !ok || r.Leader == "" || r.Leader == w.Self {
			continue
		}
		if _, ok := rings[r.Leader]; !ok && len(rings) >= wardsMost {
			continue
		}
		rings[r.Leader] = append(rings[r.Leader], others(r, w.Self)...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	was := w.wards
	w.wards = map[string]*ward{}
	for n, ring := range rings {
		slices.Sort(ring)
		rings[n] = slices.Compact(ring)
		if w.wards[n] = was[n]; w.wards[n] == nil {
			w.wards[n] = &ward{}
		}
	}
	w.rings = rings
}

func others(r assignment.Record, self string) []string {
	return slices.DeleteFunc(r.Nodes(), func(n string) bool { return n == self || n == r.Leader })
}

// most is how many beats may go unanswered: more where answers took long lately, since what is slow or lossy is not gone.
func (w *Detector) most(x *ward) int {
	s := min(w.Timing.FailureTimeout()+2*x.took, w.Timing.SessionTimeout()/2)
	return int((s + w.Timing.PingInterval()/2) / w.Timing.PingInterval())
}

func (w *Detector) round(ctx context.Context, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, x := range w.wards {
		addr, ok := w.Addr(n)
		if !ok {
			continue
		}
		if !paused {
			x.missed++
		}
		if x.flight < flightMost {
			x.flight++
			go w.beat(ctx, n, x, addr)
		}
		switch {
		case x.why != "":
			go w.OnFailure(ctx, n, x.since, x.why)
		case x.missed > w.most(x) && !x.asking:
			x.asking = true
			go w.doubt(ctx, n, x, w.rings[n])
		}
	}
}

func (w *Detector) beat(ctx context.Context, n string, x *ward, addr string) {
	for again := false; ; again = true {
		cx, stop := context.WithTimeout(ctx, w.Timing.FailureTimeout())
		at := w.Clock.Now()
		_, err := Ping.Call(cx, w.Net, w.Self, addr, &PingRequest{})
		stop()
		if !w.judge(ctx, n, x, w.Clock.Now().Sub(at), err, again) || w.Clock.Sleep(ctx, w.Timing.RefusalRetryDelay()) != nil {
			return
		}
	}
}

// judge takes in how a beat went, and tells whether to try once more at once.
func (w *Detector) judge(ctx context.Context, n string, x *ward, took time.Duration, err error, again bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if away := wire.TurnedAway(err); err != nil && away && ctx.Err() == nil {
		if again || x.refused == 0 {
			x.refused++
		}
		if x.refused >= refusals {
			w.lost(ctx, n, x, Refused)
		} else if !again {
			return true
		}
	}
	x.flight--
	if wire.Spoke(err) {
		x.missed, x.refused, x.why = 0, 0, ""
		x.took = max(took, x.took-x.took/fade)
	}
	return false
}

func (w *Detector) lost(ctx context.Context, n string, x *ward, why string) {
	if x.why != "" || w.wards[n] != x {
		return
	}
	x.why, x.since = why, w.Clock.Now()
	go w.OnFailure(ctx, n, x.since, why)
}

// doubt asks the others that hold copies whether they hear a machine that is not heard here: a broken link between two is no loss.
func (w *Detector) doubt(ctx context.Context, n string, x *ward, ring []string) {
	cx, stop := context.WithTimeout(ctx, w.Timing.HedgeDelay())
	defer stop()
	as := quorum.Gather(cx, ring, func(ctx context.Context, f string) (bool, error) {
		a, ok := w.Addr(f)
		if !ok {
			return false, apierror.New(apierror.Unreachable, "%s is not known", f)
		}
		h, err := Query.Call(ctx, w.Net, w.Self, a, &QueryRequest{Node: n})
		return err == nil && h.Heard, err
	}, func(as []quorum.Result[string, bool]) bool { return heard(as) })
	w.mu.Lock()
	defer w.mu.Unlock()
	x.asking = false
	if !heard(as) && len(quorum.Successes(as)) > 0 && x.missed > 0 {
		w.lost(ctx, n, x, Silent)
	}
}

func heard(as []quorum.Result[string, bool]) bool {
	return slices.ContainsFunc(quorum.Successes(as), func(a quorum.Result[string, bool]) bool { return a.Value })
}

// Heard tells whether a machine that is looked after here was heard lately.
func (w *Detector) Heard(n string) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.wards[n]
	if x == nil {
		return false, apierror.New(apierror.NotReady, "%s does not look after %s", w.Self, n)
	}
	return x.why == "" && x.missed <= lately && x.refused == 0, nil
}

// Failed tells whether a machine that is looked after here counts as gone.
func (w *Detector) Failed(n string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.wards[n]
	return x != nil && x.why != ""
}

// Serve adds the calls.
func (w *Detector) Serve(m *http.ServeMux) {
	Ping.Handle(m, func(context.Context, *PingRequest) (*PingResponse, error) {
		return &PingResponse{BootID: w.BootID}, nil
	})
	Query.Handle(m, func(_ context.Context, q *QueryRequest) (*QueryResponse, error) {
		h, err := w.Heard(q.Node)
		return &QueryResponse{Heard: h}, err
	})
}
