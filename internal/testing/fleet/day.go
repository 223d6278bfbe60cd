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
var FullLoad = sim.Load{HTTPClients: 600, Topics: 600, LiveTopics: 30, UrgentSenders: 5, SendInterval: 3 * time.Second}

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

// dayRun is a day that is under way.
type dayRun struct {
	*Day
	fleet   *Fleet
	history *history.History
	// sequence is that of the first description.
	sequence uint64
	// sends ends when callers send no new messages any more.
	sends   context.Context
	quiet   context.CancelFunc
	workers sync.WaitGroup
	// endProbe ends the probe of the machine, which then says in stalled how long that stood still.
	endProbe context.CancelFunc
	stalled  chan time.Duration
}

// add adds a caller in the zone of one of the machines, in turn, and returns its index.
func (c *callers) add(caller *httpclient.Caller, machines []*Process) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.clients)
	c.clients = append(c.clients, caller)
	c.zone = append(c.zone, machines[i%len(machines)].Opts.Zone)
	return i
}

// Run lives through the day and reports.
func (d *Day) Run(ctx context.Context, f *Fleet) (history.Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var watch sync.WaitGroup
	watch.Go(func() { f.Watch(ctx) })
	defer watch.Wait()
	defer stop()
	r, err := d.open(ctx, f)
	if err != nil {
		return history.Report{}, err
	}
	defer r.workers.Wait()
	defer stop()
	r.workers.Go(func() { d.operate(r.sends, f, r.history, r.sequence) })
	for i := range d.Load.FloodTopics {
		r.workers.Go(func() { d.flood(r.sends, f, i) })
	}
	rng := rand.New(rand.NewPCG(d.Seed, 3))
	end := time.Now().Add(d.Length)
	wait(ctx, min(warmUp, d.Length/2))
	for time.Now().Before(end) && ctx.Err() == nil && len(d.Faults) > 0 {
		r.strike(ctx, rng)
		wait(ctx, d.Interval)
	}
	wait(ctx, time.Until(end))
	wait(ctx, settings.DefaultTiming.Recovery)
	return r.close(ctx), nil
}

const (
	// warmUp is how long a day goes on before its first fault.
	warmUp = 10 * time.Second
	// startTimeout is in which time all machines of a fleet must be ready.
	startTimeout = 30 * time.Second
)

// awaitReady waits until all machines are ready.
func (d *Day) awaitReady(ctx context.Context, f *Fleet) error {
	for begun := time.Now(); !f.AllReady(); wait(ctx, 100*time.Millisecond) {
		if time.Since(begun) > startTimeout || ctx.Err() != nil {
			return apierror.New(apierror.Internal, "the fleet was not ready in %s: %s", startTimeout, f.unready())
		}
	}
	d.logf("all %d machines are ready", len(f.Processes))
	return nil
}

// open waits for the fleet, puts the first description and starts the callers. What it starts ends
// with ctx.
func (d *Day) open(ctx context.Context, f *Fleet) (*dayRun, error) {
	if err := d.awaitReady(ctx, f); err != nil {
		return nil, err
	}
	sequence, err := d.begin(ctx, f)
	if err != nil {
		return nil, err
	}
	spread := settings.DefaultTiming.Spread
	r := &dayRun{Day: d, fleet: f, history: history.New(), sequence: sequence, stalled: make(chan time.Duration, 1)}
	r.history.AcceptConfiguration(0, sequence, string(d.Load.Configuration(0)), time.Now())
	wait(ctx, spread)
	r.history.Bound = settings.DefaultTiming.Recovery
	for _, p := range f.Processes {
		r.workers.Go(func() { watchDescription(ctx, p, r.history, spread) })
	}
	r.sends, r.quiet = context.WithCancel(ctx)
	f.callers = &callers{}
	f.addCallers = func(l sim.Load, seed uint64, prefix string) { r.addCallers(ctx, l, seed, prefix) }
	f.addCallers(d.Load, d.Seed, "")
	probing, endProbe := context.WithCancel(ctx)
	r.endProbe = endProbe
	go func() { r.stalled <- d.probe(probing, f, r.history) }()
	return r, nil
}

// addCallers starts the callers of a load, each in the zone of a machine.
func (r *dayRun) addCallers(ctx context.Context, l sim.Load, seed uint64, prefix string) {
	f := r.fleet
	for _, c := range sim.PlanHTTPClients(l, seed, settings.DefaultTiming.Spread) {
		i := f.callers.add(c, f.Processes)
		c.Name = prefix + c.Name
		c.Clock, c.History = clock.Real{}, r.history
		c.Ports = func() []transport.Transport { return f.Ports(f.callers.at(i)) }
		r.workers.Go(func() { c.Run(ctx, r.sends) })
	}
}

// strike has one fault happen, or two, and waits for their end.
func (r *dayRun) strike(ctx context.Context, rng *rand.Rand) {
	var under sync.WaitGroup
	for k := range 1 + bit[r.Pairs] {
		p := r.fleet.Processes[rng.IntN(len(r.fleet.Processes))]
		name := r.Faults[rng.IntN(len(r.Faults))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 5))
		under.Go(func() {
			wait(ctx, time.Duration(k*own.IntN(3000))*time.Millisecond)
			r.inflict(ctx, name, p, own)
		})
	}
	under.Wait()
}

// inflict has a fault happen to a machine, unless that has another one.
func (r *dayRun) inflict(ctx context.Context, name string, p *Process, rng *rand.Rand) {
	if !r.fleet.reserve(p.Name) {
		return
	}
	defer r.fleet.release(p.Name)
	r.logf("%s %s", name, p.Name)
	r.history.Disturb(name, time.Now())
	if err := faults[name](ctx, r.Day, r.fleet, p, rng); err != nil {
		r.history.Violate(history.Recovery, "%v", err)
	}
	r.history.Disturb("end of "+name, time.Now())
}

// close has the callers send nothing new, waits until they have caught up and judges the day.
func (r *dayRun) close(ctx context.Context) history.Report {
	r.quiet()
	cut := time.Now()
	wait(ctx, settings.DefaultTiming.Recovery)
	r.endProbe()
	r.Stalled = <-r.stalled
	return r.history.Check(cut, time.Now())
}

// flood sends on routine topics as fast as answers come, and comes back when told to.
func (d *Day) flood(ctx context.Context, f *Fleet, i int) {
	name, topic := fmt.Sprintf("flood%d", i), fmt.Sprintf("flood/f%d", i%d.Load.FloodTopics)
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
