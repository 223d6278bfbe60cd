package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"

	"postjunction/internal/problem"
)

const (
	fromHeader = "Postjunction-From"
	retransmit = 200 * time.Millisecond
	all        = "*"
)

// Relay stands between the processes of a fleet: it makes zones stand apart and links go wrong, without touching a process.
type Relay struct {
	apart time.Duration
	mu    sync.Mutex
	zones map[string]string
	cuts  map[[2]string]bool
	loss  float64
	conns map[string]map[net.Conn]bool
	stops []func()
	moved map[string]uint64
}

func newRelay(apart time.Duration) *Relay {
	return &Relay{apart: apart, zones: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[string]map[net.Conn]bool{}, moved: map[string]uint64{}}
}

// serve opens the address under which the others reach a machine.
func (r *Relay) serve(name, zone, to string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", problem.Wrap(problem.Internal, err, "relay to %s", name)
	}
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	p.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.ModifyResponse = func(a *http.Response) error {
		return r.way(a.Request.Context(), name, a.Request.Header.Get(fromHeader))
	}
	r.mu.Lock()
	r.zones[name], r.conns[name] = zone, map[net.Conn]bool{}
	r.mu.Unlock()
	s := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if r.way(q.Context(), q.Header.Get(fromHeader), name) != nil {
				panic(http.ErrAbortHandler)
			}
			p.ServeHTTP(w, q)
		}),
		ConnState: func(c net.Conn, st http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if st == http.StateNew {
				r.conns[name][c] = true
			}
			if st == http.StateClosed || st == http.StateHijacked {
				delete(r.conns[name], c)
			}
		},
	}
	go func() { _ = s.Serve(l) }()
	r.mu.Lock()
	r.stops = append(r.stops, func() { _ = s.Close() })
	r.mu.Unlock()
	return l.Addr().String(), nil
}

func (r *Relay) close() {
	r.mu.Lock()
	ss := r.stops
	r.mu.Unlock()
	for _, f := range ss {
		f()
	}
}

func (r *Relay) delay(from, to string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved["calls"]++
	if r.cuts[[2]string{from, to}] || r.cuts[[2]string{from, all}] || r.cuts[[2]string{all, to}] {
		r.moved["cut"]++
		return 0, true
	}
	d := time.Duration(0)
	if r.zones[from] != r.zones[to] {
		d = r.apart / 2
	}
	for k := retransmit; rand.Float64() < r.loss; k *= 2 {
		r.moved["lost"]++
		d += k
	}
	return d, false
}

// way is one direction of a link: it takes its time, or never ends when the link is cut.
func (r *Relay) way(ctx context.Context, from, to string) error {
	d, cut := r.delay(from, to)
	if cut {
		<-ctx.Done()
		return problem.Because(problem.Unreachable, ctx.Err(), "from %s to %s", from, to)
	}
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return problem.Because(problem.Unreachable, ctx.Err(), "from %s to %s", from, to)
	}
}

// Cut stops what goes from one machine to another; the function mends it. A star stands for all.
func (r *Relay) Cut(from, to string) func() {
	k := [2]string{from, to}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[k] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cuts, k)
	}
}

// Lose makes all links lose a share of what they carry; what is lost comes late.
func (r *Relay) Lose(share float64) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.loss = 0
	}
}

// Reset breaks a share of all connections between machines at once, and leaves the processes alone.
func (r *Relay) Reset(share float64) int {
	r.mu.Lock()
	var cs []net.Conn
	for _, m := range r.conns {
		for c := range m {
			if rand.Float64() < share {
				cs = append(cs, c)
			}
		}
	}
	r.mu.Unlock()
	for _, c := range cs {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return len(cs)
}

// Zone lists the machines of a zone, and the others.
func (r *Relay) Zone(z string) (in, out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, x := range r.zones {
		if x == z {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

// Counts gives how many calls the relay carried, cut and delayed.
func (r *Relay) Counts() (calls, cut, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved["calls"], r.moved["cut"], r.moved["lost"]
}
