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

// BeatRequest asks for a sign of life.
type BeatRequest struct{}

// BeatResponse is one: the run of the process.
type BeatResponse struct {
	Boot string `json:"b"`
}

// HeardRequest asks a peer what it knows of a machine that is not heard.
type HeardRequest struct {
	Node string `json:"n"`
}

// HeardResponse says whether the machine was heard lately.
type HeardResponse struct {
	Heard bool `json:"h"`
}

// The calls of machines that look after one another.
var (
	Beat  = wire.NewProcedure[BeatRequest, BeatResponse]("Watch", "Beat", wire.ReadOnly, "tells that the process lives")
	Heard = wire.NewProcedure[HeardRequest, HeardResponse]("Watch", "Heard", wire.ReadOnly, "tells whom the receiver has heard")
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

// Watch is one machine's; it looks after the owners of the partitions that it holds copies of.
type Watch struct {
	Self   string
	Boot   string
	Clock  clock.Clock
	Bounds settings.Timing
	Net    wire.Network
	Board  *gossip.Board
	Addr   func(node string) (string, bool)
	// Gone hears each beat of a machine that is gone, since when and why.
	Gone func(ctx context.Context, node string, since time.Time, why string)

	mu    sync.Mutex
	wards map[string]*ward
	rings map[string][]string
}

// Run looks after the others until ctx ends. Silence is counted in own beats, so that own pauses don't count.
func (w *Watch) Run(ctx context.Context) {
	var known <-chan struct{}
	for at := w.Clock.Now(); w.Clock.Sleep(ctx, w.Bounds.PingInterval()) == nil; {
		now := w.Clock.Now()
		paused := now.Sub(at) > 2*w.Bounds.PingInterval()
		at = now
		select {
		case <-known:
			known = nil
		default:
		}
		if known == nil {
			known = w.Board.Changed()
			w.learn()
		}
		w.round(ctx, paused)
	}
}

func (w *Watch) learn() {
	rings := map[string][]string{}
	for p := range w.Board.Roster().Layout.PartitionCount() {
		r := w.Board.Record(p)
		if _, ok := r.Place(w.Self); !ok || r.Owner == "" || r.Owner == w.Self {
			continue
		}
		if _, ok := rings[r.Owner]; !ok && len(rings) >= wardsMost {
			continue
		}
		rings[r.Owner] = append(rings[r.Owner], others(r, w.Self)...)
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
	return slices.DeleteFunc(r.Nodes(), func(n string) bool { return n == self || n == r.Owner })
}

// most is how many beats may go unanswered: more where answers took long lately, since what is slow or lossy is not gone.
func (w *Watch) most(x *ward) int {
	s := min(w.Bounds.FailureTimeout()+2*x.took, w.Bounds.SessionTimeout()/2)
	return int((s + w.Bounds.PingInterval()/2) / w.Bounds.PingInterval())
}

func (w *Watch) round(ctx context.Context, paused bool) {
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
			go w.Gone(ctx, n, x.since, x.why)
		case x.missed > w.most(x) && !x.asking:
			x.asking = true
			go w.doubt(ctx, n, x, w.rings[n])
		}
	}
}

func (w *Watch) beat(ctx context.Context, n string, x *ward, addr string) {
	for again := false; ; again = true {
		cx, stop := context.WithTimeout(ctx, w.Bounds.FailureTimeout())
		at := w.Clock.Now()
		_, err := Beat.Call(cx, w.Net, w.Self, addr, &BeatRequest{})
		stop()
		if !w.judge(ctx, n, x, w.Clock.Now().Sub(at), err, again) || w.Clock.Sleep(ctx, w.Bounds.RefusalRetryDelay()) != nil {
			return
		}
	}
}

// judge takes in how a beat went, and tells whether to try once more at once.
func (w *Watch) judge(ctx context.Context, n string, x *ward, took time.Duration, err error, again bool) bool {
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

func (w *Watch) lost(ctx context.Context, n string, x *ward, why string) {
	if x.why != "" || w.wards[n] != x {
		return
	}
	x.why, x.since = why, w.Clock.Now()
	go w.Gone(ctx, n, x.since, why)
}

// doubt asks the others that hold copies whether they hear a machine that is not heard here: a broken link between two is no loss.
func (w *Watch) doubt(ctx context.Context, n string, x *ward, ring []string) {
	cx, stop := context.WithTimeout(ctx, w.Bounds.HedgeDelay())
	defer stop()
	as := quorum.Gather(cx, ring, func(ctx context.Context, f string) (bool, error) {
		a, ok := w.Addr(f)
		if !ok {
			return false, apierror.New(apierror.Unreachable, "%s is not known", f)
		}
		h, err := Heard.Call(ctx, w.Net, w.Self, a, &HeardRequest{Node: n})
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

// Hears tells whether a machine that is looked after here was heard lately.
func (w *Watch) Hears(n string) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.wards[n]
	if x == nil {
		return false, apierror.New(apierror.NotReady, "%s does not look after %s", w.Self, n)
	}
	return x.why == "" && x.missed <= lately && x.refused == 0, nil
}

// Lost tells whether a machine that is looked after here counts as gone.
func (w *Watch) Lost(n string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.wards[n]
	return x != nil && x.why != ""
}

// Serve adds the calls.
func (w *Watch) Serve(m *http.ServeMux) {
	Beat.Handle(m, func(context.Context, *BeatRequest) (*BeatResponse, error) { return &BeatResponse{Boot: w.Boot}, nil })
	Heard.Handle(m, func(_ context.Context, q *HeardRequest) (*HeardResponse, error) {
		h, err := w.Hears(q.Node)
		return &HeardResponse{Heard: h}, err
	})
}
