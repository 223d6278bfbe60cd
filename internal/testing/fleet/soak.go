package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/orders"
	"postjunction/internal/testing/sim"
)

// Soak is a run of a fleet under faults that come in several series beside one another, the first
// ones while the fleet starts, and under configuration changes. Its clients use their connections
// until the processes are gone.
type Soak struct {
	Seed   uint64
	Length time.Duration
	Load   sim.Load
	// Clients is how many clients there are on line sessions, beside the load's callers.
	Clients int
	// Series is how many series of faults go on beside one another.
	Series int
	Out    io.Writer

	day     *Day
	run     *dayRun
	history *orders.History
	// disks is held for reading while a fault lasts, and for writing while a lost disk is repaired.
	disks sync.RWMutex

	// mu guards struck, how often each fault came.
	mu     sync.Mutex
	struck map[string]int
}

// SoakReport is what a soak came to.
type SoakReport struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	Sent      int
	Accepted  int
	Unknown   int
	Received  int
	Sessions  deliverycheck.Tally
	Orders    map[string]int
	Faults    map[string]int
	Longest   time.Duration
	// Stalled is how long the machine under the fleet stood still by itself.
	Stalled    time.Duration
	Violations []string
}

// Verdict is the report in one line.
func (r *SoakReport) Verdict() string {
	word := "held"
	if len(r.Violations) > 0 {
		word = "BROKEN"
	}
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	return fmt.Sprintf(
		"soak seed %d: %s, %d violations; %d processes, %s, %d faults, %d orders acknowledged; callers sent %d "+
			"accepted %d, sessions sent %d accepted %d received %d; longest wait %s, machine stalled %s",
		r.Seed, word, len(r.Violations), r.Processes, r.Length, faults, r.Orders[acknowledged], r.Sent, r.Accepted,
		r.Sessions.Sent, r.Sessions.Accepted, r.Sessions.Got, r.Longest.Round(time.Millisecond),
		r.Stalled.Round(time.Millisecond))
}

// The kinds of faults that a soak draws from, each as often as its machines are to meet it. Losses
// of disks are drawn apart, as no more may be lost at once than the fleet bears.
var soakFaults = []string{
	"kill", "kill", "terminate", "terminate", "freeze", "slow", "hangup", "settings", "many", "stores", "access", "roll",
	"cut", "oneway", "connections", "loss", "move",
}

const (
	// earlyFaults is how many machines meet a fault while the fleet starts.
	earlyFaults = 2
	// earlyWindow is in which time after the start these begin.
	earlyWindow = time.Second
	// maxSoakGap is the longest pause between two faults of a series.
	maxSoakGap = 4 * time.Second
	// wipeInterval is the mean time between two losses of disks.
	wipeInterval = 15 * time.Second
	// repairTime is how long a machine that lost its disk may take to hold its replicas again, with
	// nothing else going wrong.
	repairTime = 8 * time.Second
	// orderInterval is the mean time between two orders of one operator.
	orderInterval = 2 * time.Second
	soakOperators = 2
)

// Run starts the fleet, lives through the soak and judges it. The fleet is left running.
func (s *Soak) Run(ctx context.Context, f *Fleet) (*SoakReport, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.struck = map[string]int{}
	s.day = &Day{Load: s.Load, Seed: s.Seed, Length: s.Length, Out: s.Out}
	var watch sync.WaitGroup
	watch.Go(func() { f.Watch(ctx) })
	defer watch.Wait()
	defer stop()
	if err := s.begin(ctx, f); err != nil {
		return nil, err
	}
	run, err := s.day.open(ctx, f)
	if err != nil {
		return nil, err
	}
	s.run = run
	defer run.workers.Wait()
	defer stop()
	clients := f.StartSessions(ctx, s.Clients, s.Load, s.Seed)
	opened := time.Now()
	s.history = orders.New(opened)
	first := orders.Order{Sequence: run.sequence, ID: "first"}
	s.history.Tried(first, orders.Acknowledged, opened, opened)
	for i := range soakOperators {
		run.workers.Go(func() { s.operate(run.sends, f, i) })
	}
	s.strike(ctx, f)
	wait(ctx, settings.DefaultTiming.Recovery)
	run.quiet()
	tally, violations := clients.Stop(settings.DefaultTiming.Recovery)
	report := s.report(run.close(ctx), tally, violations)
	report.Processes = len(f.Processes)
	report.checkProcesses(f)
	return report, nil
}

// checkProcesses notes processes that have ended by themselves, or said that they failed.
func (r *SoakReport) checkProcesses(f *Fleet) {
	for _, p := range f.Processes {
		if !p.Running() {
			r.Violations = append(r.Violations, "process: "+p.Name+" ended by itself")
		}
		for _, failure := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(p.logContents(), []byte(failure)) {
				r.Violations = append(r.Violations, "process: "+p.Name+" logged "+failure)
			}
		}
	}
}

// begin starts the fleet, and has machines meet their first faults while it starts.
func (s *Soak) begin(ctx context.Context, f *Fleet) error {
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	if err := f.Start(); err != nil {
		return err
	}
	var early sync.WaitGroup
	errs := make([]error, earlyFaults)
	for i, p := range f.choose(rng, earlyFaults, func(*Process) bool { return true }) {
		name := []string{"kill", "stop", "hangup", "freeze"}[rng.IntN(4)]
		at, down := time.Duration(rng.Int64N(int64(earlyWindow))), time.Duration(rng.Int64N(int64(earlyWindow)))
		early.Go(func() {
			wait(ctx, at)
			s.day.logf("%s %s while the fleet starts", name, p.Name)
			s.note(name)
			errs[i] = strikeEarly(ctx, name, p, down)
		})
	}
	early.Wait()
	return errorsJoined(errs)
}

func strikeEarly(ctx context.Context, name string, p *Process, down time.Duration) error {
	switch name {
	case "hangup":
		p.Signal(syscall.SIGHUP, false)
	case "freeze":
		p.Signal(syscall.SIGSTOP, false)
		wait(ctx, down)
		p.Signal(syscall.SIGCONT, false)
		return nil
	case "stop":
		p.Terminate(gracePeriod)
	default:
		p.Kill()
	}
	wait(ctx, down)
	return p.Start()
}

func errorsJoined(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// note counts a fault.
func (s *Soak) note(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.struck[name]++
}

// strike has the series of faults and the losses of disks go on until the soak's time is over, and
// waits for their ends.
func (s *Soak) strike(ctx context.Context, f *Fleet) {
	faulting, end := context.WithTimeout(ctx, s.Length)
	defer end()
	var series sync.WaitGroup
	for i := range s.Series {
		series.Go(func() { s.series(ctx, faulting, f, rand.New(rand.NewPCG(s.Seed, uint64(20+i)))) })
	}
	series.Go(func() { s.loseDisks(ctx, faulting, f, rand.New(rand.NewPCG(s.Seed, 12))) })
	series.Wait()
}

// series has one fault after the other happen until faulting ends. What has begun goes on to its
// end, which ctx bounds.
func (s *Soak) series(ctx, faulting context.Context, f *Fleet, rng *rand.Rand) {
	for wait(faulting, time.Duration(rng.Int64N(int64(maxSoakGap)))); faulting.Err() == nil; {
		name := soakFaults[rng.IntN(len(soakFaults))]
		p := f.Processes[rng.IntN(len(f.Processes))]
		s.disks.RLock()
		s.note(name)
		s.run.inflict(ctx, name, p, rng)
		s.disks.RUnlock()
		wait(faulting, time.Duration(rng.Int64N(int64(maxSoakGap))))
	}
}

// loseDisks has one machine after the other lose its disk, beside other faults. The next one goes
// only once the fleet had time, with nothing else going wrong, to repair the one before.
func (s *Soak) loseDisks(ctx, faulting context.Context, f *Fleet, rng *rand.Rand) {
	hasDisk := func(p *Process) bool { return p.Opts.Disk != settings.DiskNone }
	for wait(faulting, time.Duration(rng.Int64N(int64(2*wipeInterval)))); faulting.Err() == nil; {
		p := f.choose(rng, 1, hasDisk)[0]
		s.disks.RLock()
		s.note("wipe")
		s.run.inflict(ctx, "wipe", p, rng)
		s.disks.RUnlock()
		s.disks.Lock()
		wait(ctx, repairTime)
		s.disks.Unlock()
		wait(faulting, time.Duration(rng.Int64N(int64(2*wipeInterval))))
	}
}

// report puts together what the judges found.
func (s *Soak) report(
	callers history.Report, tally deliverycheck.Tally, violations []deliverycheck.Violation,
) *SoakReport {
	r := &SoakReport{
		Seed: s.Seed, Length: s.Length, Sent: callers.Sent, Accepted: callers.Accepted, Unknown: callers.Unknown,
		Received: callers.Receipts, Sessions: tally, Faults: maps.Clone(s.struck), Orders: s.countOrders(),
		Longest: callers.Longest.Total, Stalled: s.day.Stalled,
	}
	for _, v := range callers.Violations {
		r.Violations = append(r.Violations, v.Line+": "+v.Message)
	}
	for _, v := range violations {
		r.Violations = append(r.Violations, v.Rule+": "+v.Message)
	}
	if !s.history.Linearizable() {
		r.Violations = append(r.Violations, "orders: no order of the operators' changes explains their answers")
	}
	slices.Sort(r.Violations)
	return r
}

// acknowledged is the outcome of a report's orders that were taken.
const acknowledged = "acknowledged"

func (s *Soak) countOrders() map[string]int {
	count := s.history.Count()
	return map[string]int{
		acknowledged: count[orders.Acknowledged], "refused": count[orders.Refused], "unclear": count[orders.Unclear],
	}
}

// maxOrderTries bounds how often an operator sends one order.
const maxOrderTries = 8

// operate sends one order after the other, on the version that is read back, each again to another
// machine until its answer is clear.
func (s *Soak) operate(ctx context.Context, f *Fleet, operator int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(50+operator)))
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, time.Duration(rng.Int64N(int64(2*orderInterval))))
		ports := f.Ports("")
		asked := time.Now()
		readCtx, stop := context.WithTimeout(ctx, time.Second)
		base, err := ports[rng.IntN(len(ports))].Get(readCtx)
		stop()
		if err != nil {
			continue
		}
		s.run.history.ReadBack(base, asked)
		id := fmt.Sprintf("operator %d order %d", operator, n)
		s.order(ctx, f, rng, orders.Order{Base: base, Sequence: base + 1 + rng.Uint64N(3), ID: id})
	}
}

func (s *Soak) order(ctx context.Context, f *Fleet, rng *rand.Rand, order orders.Order) {
	document := s.Load.NumberedConfiguration(order.Base, order.Sequence, order.ID)
	for range maxOrderTries {
		ports := f.Ports("")
		begun := time.Now()
		callCtx, stop := context.WithTimeout(ctx, time.Second)
		sequence, err := ports[rng.IntN(len(ports))].Put(callCtx, document)
		stop()
		ended := time.Now()
		switch {
		case err == nil:
			s.history.Tried(order, orders.Acknowledged, begun, ended)
			s.run.history.AcceptConfiguration(order.Base, sequence, string(document), ended)
			return
		case apierror.HasCode(err, apierror.ConfigurationConflict):
			s.history.Tried(order, orders.Refused, begun, ended)
			return
		case apierror.HasCode(err, apierror.ConfigurationInvalid):
			s.run.history.Violate(history.Invalid, "a sound configuration was rejected: %v", err)
			return
		}
		s.history.Tried(order, orders.Unclear, begun, ended)
		wait(ctx, time.Duration(rng.Int64N(int64(time.Second/2))))
	}
}

// SoakSite returns a deployment of about so many processes, four storage nodes at the least.
func SoakSite(processes int) Site {
	const minStores, control, minAccess = 4, 3, 2
	stores := max(minStores, processes/6)
	return Site{
		Zones: 3, Control: control, Stores: stores, Access: max(minAccess, processes-control-stores),
		RoundTrip: 500 * time.Microsecond,
	}
}

// ListenForClients has the access nodes of a fleet listen for line sessions. It is an edit for New.
func ListenForClients(o *settings.Options) error {
	if o.Disk != settings.DiskNone {
		return nil
	}
	address, err := freePort()
	o.ClientListen = address
	return err
}
