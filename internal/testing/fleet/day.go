package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/httpclient"
	"postjunction/internal/testing/sim"
	"postjunction/internal/testing/transport"
)

// Day is a run of a fleet under load and faults.
type Day struct {
	Load     sim.Load
	Seed     uint64
	Length   time.Duration
	Faults   []string
	Interval time.Duration
	Next     string
	Pairs    bool
	Out      io.Writer
	// Stalled is how long the machine that the day ran on stood still by itself, as far as a probe
	// beside the fleet saw it.
	Stalled time.Duration
}

// FullLoad is that of both deployments: about 600 connections, 600 kept topics at 200 messages a
// second, 30 live topics at 20 a second, and five leads with stop-line calls.
var FullLoad = sim.Load{Callers: 600, Topics: 600, LiveTopics: 30, Leads: 5, Every: 3 * time.Second}

func (d *Day) logf(f string, a ...any) {
	_, _ = fmt.Fprintf(d.Out, time.Now().Format("15:04:05.000 ")+f+"\n", a...)
}

// callers hold each caller's zone, which may change.
type callers struct {
	mu      sync.Mutex
	clients []*httpclient.Caller
	zone    []string
}

func (c *callers) at(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zone[i]
}

// Run lives through the day and reports.
func (d *Day) Run(ctx context.Context, f *Fleet) (history.Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	h := history.New()
	spread := settings.DefaultTiming.Spread
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { f.Watch(ctx) })
	for t := time.Now(); !f.AllReady(); wait(ctx, 100*time.Millisecond) {
		if time.Since(t) > 30*time.Second || ctx.Err() != nil {
			return history.Report{}, apierror.New(apierror.Internal, "the fleet was not ready in 30 s: %s", f.unready())
		}
	}
	d.logf("all %d machines are ready", len(f.Processes))
	seq, err := d.begin(ctx, f)
	if err != nil {
		return history.Report{}, err
	}
	h.AcceptConfiguration(0, seq, string(d.Load.Describe(0)), time.Now())
	wait(ctx, spread)
	h.Bound = settings.DefaultTiming.Recovery
	for _, p := range f.Processes {
		wg.Go(func() { watchDescription(ctx, p, h, spread) })
	}
	sends, quiet := context.WithCancel(ctx)
	defer quiet()
	f.callers = &callers{}
	f.addCallers = func(l sim.Load, seed uint64, prefix string) {
		for _, c := range sim.Plan(l, seed, spread) {
			f.callers.mu.Lock()
			i := len(f.callers.clients)
			f.callers.clients = append(f.callers.clients, c)
			f.callers.zone = append(f.callers.zone, f.Processes[i%len(f.Processes)].Opts.Zone)
			f.callers.mu.Unlock()
			c.Name = prefix + c.Name
			c.Clock, c.History = clock.Real{}, h
			c.Ports = func() []transport.Transport { return f.Ports(f.callers.at(i)) }
			wg.Go(func() { c.Run(ctx, sends) })
		}
	}
	f.addCallers(d.Load, d.Seed, "")
	wg.Go(func() { d.operate(sends, f, h, seq) })
	still := make(chan time.Duration, 1)
	watching, watched := context.WithCancel(ctx)
	defer watched()
	go func() { still <- d.probe(watching, f, h) }()
	for i := range d.Load.Flood {
		wg.Go(func() { d.flood(sends, f, i) })
	}
	rng := rand.New(rand.NewPCG(d.Seed, 3))
	end := time.Now().Add(d.Length)
	wait(ctx, min(10*time.Second, d.Length/2))
	for time.Now().Before(end) && ctx.Err() == nil && len(d.Faults) > 0 {
		var two sync.WaitGroup
		for k := range 1 + bit[d.Pairs] {
			p := f.Processes[rng.IntN(len(f.Processes))]
			n := d.Faults[rng.IntN(len(d.Faults))]
			r := rand.New(rand.NewPCG(rng.Uint64(), 5))
			two.Go(func() {
				wait(ctx, time.Duration(k*r.IntN(3000))*time.Millisecond)
				if !f.reserve(p.Name) {
					return
				}
				defer f.release(p.Name)
				d.logf("%s %s", n, p.Name)
				h.Disturb(n, time.Now())
				if err := faults[n](ctx, d, f, p, r); err != nil {
					h.Violate(history.Recovery, "%v", err)
				}
				h.Disturb("end of "+n, time.Now())
			})
		}
		two.Wait()
		wait(ctx, d.Interval)
	}
	wait(ctx, time.Until(end))
	wait(ctx, settings.DefaultTiming.Recovery)
	quiet()
	cut := time.Now()
	wait(ctx, settings.DefaultTiming.Recovery)
	watched()
	d.Stalled = <-still
	r := h.Check(cut, time.Now())
	return r, nil
}

// flood sends on routine topics as fast as answers come, and comes back when told to.
func (d *Day) flood(ctx context.Context, f *Fleet, i int) {
	name, topic := fmt.Sprintf("flood%d", i), fmt.Sprintf("flood/f%d", i%d.Load.Flood)
	for c, tok := uint64(1), ""; ctx.Err() == nil; {
		ps := f.Ports("")
		p := ps[i%len(ps)]
		var err error
		if tok == "" {
			a, e := p.Attach(ctx, name)
			tok, err = a.Token, e
		} else if _, err = p.Send(ctx, tok, topic, c, []byte(`"flood"`)); err == nil {
			c++
		}
		if err != nil {
			wait(ctx, time.Duration(max(50, apierror.From(err).RetryAfterMS))*time.Millisecond)
		}
	}
}
