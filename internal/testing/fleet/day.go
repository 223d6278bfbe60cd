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

// Day is a run of fixed length of a fleet under load and faults. Interval is the pause after a
// fault. With Pairs, two faults are applied at a time. Next, if set, is the program that the fault
// "upgrade" restarts machines with.
type Day struct {
	Load     sim.Load
	Seed     uint64
	Length   time.Duration
	Faults   []string
	Interval time.Duration
	Next     string
	Pairs    bool
	Out      io.Writer
	// Stalled is how long the host that the day ran on was stalled, as measured by a probe beside
	// the fleet.
	Stalled time.Duration
}

// FullLoad is the load of both deployments: about 600 connections, 600 topics with stored messages
// at 200 messages a second, 30 live topics at 20 a second, and five senders of urgent messages.
var FullLoad = sim.Load{HTTPClients: 600, Topics: 600, LiveTopics: 30, UrgentSenders: 5, SendInterval: 3 * time.Second}

func (d *Day) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

// callers are the simulated clients and the zone of each, which may change.
type callers struct {
	// mu guards clients and zones.
	mu      sync.Mutex
	clients []*httpclient.Client
	zones   []string
}

func (c *callers) zoneOf(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones[i]
}

// dayRun is a day in progress.
type dayRun struct {
	*Day
	fleet   *Fleet
	history *history.History
	// sequence is that of the first configuration.
	sequence uint64
	// sendCtx ends when clients are to send no new messages.
	sendCtx   context.Context
	stopSends context.CancelFunc
	workers   sync.WaitGroup
	// endProbe ends the probe of the host, which then sends the time of all stalls to stalled.
	endProbe context.CancelFunc
	stalled  chan time.Duration
}

// add adds a client in the zone of one of the machines, in turn, and returns its index.
func (c *callers) add(client *httpclient.Client, machines []*Process) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.clients)
	c.clients = append(c.clients, client)
	c.zones = append(c.zones, machines[i%len(machines)].Opts.Zone)
	return i
}

// Run runs the day on a started fleet and reports.
func (d *Day) Run(ctx context.Context, fleet *Fleet) (history.Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var watch sync.WaitGroup
	watch.Go(func() { fleet.Watch(ctx) })
	defer watch.Wait()
	defer stop()
	run, err := d.open(ctx, fleet)
	if err != nil {
		return history.Report{}, err
	}
	defer run.workers.Wait()
	defer stop()
	run.workers.Go(func() { d.operate(run.sendCtx, fleet, run.history, run.sequence) })
	for i := range d.Load.FloodTopics {
		run.workers.Go(func() { d.flood(run.sendCtx, fleet, i) })
	}
	rng := rand.New(rand.NewPCG(d.Seed, 3))
	end := time.Now().Add(d.Length)
	wait(ctx, min(warmUp, d.Length/2))
	for time.Now().Before(end) && ctx.Err() == nil && len(d.Faults) > 0 {
		run.runFaults(ctx, rng)
		wait(ctx, d.Interval)
	}
	wait(ctx, time.Until(end))
	wait(ctx, settings.DefaultTiming.Recovery)
	return run.close(ctx), nil
}

const (
	// warmUp is how long a day runs before its first fault.
	warmUp = 10 * time.Second
	// startTimeout is the time within which all machines of a fleet must be ready.
	startTimeout = 30 * time.Second
)

// awaitReady waits until all machines are ready.
func (d *Day) awaitReady(ctx context.Context, fleet *Fleet) error {
	for begun := time.Now(); !fleet.AllReady(); wait(ctx, 100*time.Millisecond) {
		if time.Since(begun) > startTimeout || ctx.Err() != nil {
			return apierror.New(apierror.Internal, "the fleet was not ready in %s: %s", startTimeout, fleet.unready())
		}
	}
	d.logf("all %d machines are ready", len(fleet.Processes))
	return nil
}

// open waits for the fleet, submits the first configuration and starts the clients. Everything that
// it starts ends with ctx.
func (d *Day) open(ctx context.Context, fleet *Fleet) (*dayRun, error) {
	if err := d.awaitReady(ctx, fleet); err != nil {
		return nil, err
	}
	sequence, err := d.putFirstConfiguration(ctx, fleet)
	if err != nil {
		return nil, err
	}
	spread := settings.DefaultTiming.Spread
	run := &dayRun{Day: d, fleet: fleet, history: history.New(), sequence: sequence,
		stalled: make(chan time.Duration, 1)}
	run.history.AcceptConfiguration(0, sequence, string(d.Load.Configuration(0)), time.Now())
	wait(ctx, spread)
	run.history.Bound = settings.DefaultTiming.Recovery
	for _, process := range fleet.Processes {
		run.workers.Go(func() { watchConfiguration(ctx, process, run.history, spread) })
	}
	run.sendCtx, run.stopSends = context.WithCancel(ctx)
	fleet.callers = &callers{}
	fleet.addCallers = func(load sim.Load, seed uint64, prefix string) { run.addCallers(ctx, load, seed, prefix) }
	fleet.addCallers(d.Load, d.Seed, "")
	probing, endProbe := context.WithCancel(ctx)
	run.endProbe = endProbe
	go func() { run.stalled <- d.probe(probing, fleet, run.history) }()
	return run, nil
}

// addCallers starts the clients of a load, each in the zone of a machine.
func (r *dayRun) addCallers(ctx context.Context, load sim.Load, seed uint64, prefix string) {
	fleet := r.fleet
	for _, client := range sim.PlanHTTPClients(load, seed, settings.DefaultTiming.Spread) {
		i := fleet.callers.add(client, fleet.Processes)
		client.Name = prefix + client.Name
		client.Clock, client.History = clock.Real{}, r.history
		client.Transports = func() []transport.Transport { return fleet.Transports(fleet.callers.zoneOf(i)) }
		r.workers.Go(func() { client.Run(ctx, r.sendCtx) })
	}
}

// runFaults applies one fault, or two if Pairs is set, and waits for their end.
func (r *dayRun) runFaults(ctx context.Context, rng *rand.Rand) {
	var running sync.WaitGroup
	for i := range 1 + boolToInt[r.Pairs] {
		process := r.fleet.Processes[rng.IntN(len(r.fleet.Processes))]
		name := r.Faults[rng.IntN(len(r.Faults))]
		faultRand := rand.New(rand.NewPCG(rng.Uint64(), 5))
		running.Go(func() {
			wait(ctx, time.Duration(i*faultRand.IntN(3000))*time.Millisecond)
			r.applyFault(ctx, name, process, faultRand)
		})
	}
	running.Wait()
}

// applyFault applies a fault to a machine, unless the machine has another one.
func (r *dayRun) applyFault(ctx context.Context, name string, process *Process, rng *rand.Rand) {
	if !r.fleet.reserve(process.Name) {
		return
	}
	defer r.fleet.release(process.Name)
	r.logf("%s %s", name, process.Name)
	r.history.AddFault(name, time.Now())
	if err := faults[name](ctx, r.Day, r.fleet, process, rng); err != nil {
		r.history.Violate(history.Recovery, "%v", err)
	}
	r.history.AddFault("end of "+name, time.Now())
}

// close stops the sending of new messages, waits until clients have caught up, and checks the day.
func (r *dayRun) close(ctx context.Context) history.Report {
	r.stopSends()
	cut := time.Now()
	wait(ctx, settings.DefaultTiming.Recovery)
	r.endProbe()
	r.Stalled = <-r.stalled
	return r.history.Check(cut, time.Now())
}

// flood sends on routine topics as fast as answers arrive, and backs off as rejections advise.
func (d *Day) flood(ctx context.Context, fleet *Fleet, i int) {
	name, topic := fmt.Sprintf("flood%d", i), fmt.Sprintf("flood/f%d", i%d.Load.FloodTopics)
	for call, token := uint64(1), ""; ctx.Err() == nil; {
		transports := fleet.Transports("")
		transport := transports[i%len(transports)]
		var err error
		if token == "" {
			attachment, attachErr := transport.Attach(ctx, name)
			token, err = attachment.Token, attachErr
		} else if _, err = transport.Send(ctx, token, topic, call, []byte(`"flood"`)); err == nil {
			call++
		}
		if err != nil {
			wait(ctx, time.Duration(max(50, apierror.From(err).RetryAfterMS))*time.Millisecond)
		}
	}
}
