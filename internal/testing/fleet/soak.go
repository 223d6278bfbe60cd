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

// Soak is a run of a fleet under several concurrent series of faults, the first ones while the
// fleet starts, and under configuration changes. Its clients use their connections until the
// processes end.
type Soak struct {
	Seed   uint64
	Length time.Duration
	Load   sim.Load
	// Clients is how many clients use client sessions, beside the HTTP clients of the load.
	Clients int
	// Series is how many series of faults run concurrently.
	Series int
	Out    io.Writer

	day     *Day
	run     *dayRun
	history *orders.History
	// disks is held for reading while a fault lasts, and for writing while a lost disk is repaired.
	disks sync.RWMutex

	// mu guards faultCounts, which counts how often each fault was applied.
	mu          sync.Mutex
	faultCounts map[string]int
}

// SoakReport is the result of a soak.
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
	// Longest is the longest wait of an HTTP client.
	Longest time.Duration
	// Stalled is how long the host was stalled.
	Stalled    time.Duration
	Violations []string
}

// Verdict returns the report in one line.
func (r *SoakReport) Verdict() string {
	verdict := "held"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	faults := 0
	for _, count := range r.Faults {
		faults += count
	}
	return fmt.Sprintf(
		"soak seed %d: %s, %d violations; %d processes, %s, %d faults, %d orders acknowledged; callers sent %d "+
			"accepted %d, sessions sent %d accepted %d received %d; longest wait %s, machine stalled %s",
		r.Seed, verdict, len(r.Violations), r.Processes, r.Length, faults, r.Orders[acknowledged], r.Sent, r.Accepted,
		r.Sessions.Sent, r.Sessions.Accepted, r.Sessions.Got, r.Longest.Round(time.Millisecond),
		r.Stalled.Round(time.Millisecond))
}

// soakFaults are the faults that a soak draws from. A fault that is listed twice is drawn twice as
// often. Losses of disks are drawn separately, because no more may be lost at once than the fleet
// tolerates.
var soakFaults = []string{
	"kill", "kill", "terminate", "terminate", "freeze", "slow", "hangup", "settings", "many", "stores", "access",
	"roll", "cut", "oneway", "connections", "loss", "move",
}

const (
	// earlyFaults is how many machines have a fault while the fleet starts.
	earlyFaults = 2
	// earlyWindow is the time after the start in which these faults begin.
	earlyWindow = time.Second
	// maxSoakGap is the longest pause between two faults of a series.
	maxSoakGap = 4 * time.Second
	// wipeInterval is the mean pause before the next loss of a disk.
	wipeInterval = 15 * time.Second
	// repairTime is how long a machine that lost its disk may take to restore its replicas, without
	// another fault.
	repairTime = 8 * time.Second
	// orderInterval is the mean time between two orders of one operator.
	orderInterval = 2 * time.Second
	soakOperators = 2
)

// Run starts the fleet, runs the soak and checks it. The fleet is left running.
func (s *Soak) Run(ctx context.Context, fleet *Fleet) (*SoakReport, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.faultCounts = map[string]int{}
	s.day = &Day{Load: s.Load, Seed: s.Seed, Length: s.Length, Out: s.Out}
	var watch sync.WaitGroup
	watch.Go(func() { fleet.Watch(ctx) })
	defer watch.Wait()
	defer stop()
	if err := s.begin(ctx, fleet); err != nil {
		return nil, err
	}
	run, err := s.day.open(ctx, fleet)
	if err != nil {
		return nil, err
	}
	s.run = run
	defer run.workers.Wait()
	defer stop()
	clients := fleet.StartSessions(ctx, s.Clients, s.Load, s.Seed)
	start := time.Now()
	s.history = orders.New(start)
	first := orders.Order{Sequence: run.sequence, ID: "first"}
	s.history.Tried(first, orders.Acknowledged, start, start)
	for i := range soakOperators {
		run.workers.Go(func() { s.operate(run.sendCtx, fleet, i) })
	}
	s.runFaults(ctx, fleet)
	wait(ctx, settings.DefaultTiming.Recovery)
	run.stopSends()
	tally, violations := clients.Stop(settings.DefaultTiming.Recovery)
	report := s.report(run.close(ctx), tally, violations)
	report.Processes = len(fleet.Processes)
	report.checkProcesses(fleet)
	return report, nil
}

// checkProcesses adds a violation for each process that ended by itself or logged a failure.
func (r *SoakReport) checkProcesses(fleet *Fleet) {
	for _, process := range fleet.Processes {
		if !process.Running() {
			r.Violations = append(r.Violations, "process: "+process.Name+" ended by itself")
		}
		for _, failure := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(process.logContents(), []byte(failure)) {
				r.Violations = append(r.Violations, "process: "+process.Name+" logged "+failure)
			}
		}
	}
}

// begin starts the fleet and applies the first faults while it starts.
func (s *Soak) begin(ctx context.Context, fleet *Fleet) error {
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	if err := fleet.Start(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	errs := make([]error, earlyFaults)
	for i, process := range fleet.choose(rng, earlyFaults, func(*Process) bool { return true }) {
		name := []string{"kill", "stop", "hangup", "freeze"}[rng.IntN(4)]
		startDelay, pause := time.Duration(rng.Int64N(int64(earlyWindow))), time.Duration(rng.Int64N(int64(earlyWindow)))
		wg.Go(func() {
			wait(ctx, startDelay)
			s.day.logf("%s %s while the fleet starts", name, process.Name)
			s.countFault(name)
			errs[i] = applyEarlyFault(ctx, name, process, pause)
		})
	}
	wg.Wait()
	return firstError(errs)
}

func applyEarlyFault(ctx context.Context, name string, process *Process, down time.Duration) error {
	switch name {
	case "hangup":
		process.Signal(syscall.SIGHUP, false)
	case "freeze":
		process.Signal(syscall.SIGSTOP, false)
		wait(ctx, down)
		process.Signal(syscall.SIGCONT, false)
		return nil
	case "stop":
		process.Terminate(gracePeriod)
	default:
		process.Kill()
	}
	wait(ctx, down)
	return process.Start()
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// countFault records that a fault was applied.
func (s *Soak) countFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCounts[name]++
}

// runFaults runs the series of faults and the losses of disks until the soak's time is over, and
// waits until they have ended.
func (s *Soak) runFaults(ctx context.Context, fleet *Fleet) {
	faultCtx, stopFaults := context.WithTimeout(ctx, s.Length)
	defer stopFaults()
	var wg sync.WaitGroup
	for i := range s.Series {
		wg.Go(func() { s.series(ctx, faultCtx, fleet, rand.New(rand.NewPCG(s.Seed, uint64(20+i)))) })
	}
	wg.Go(func() { s.loseDisks(ctx, faultCtx, fleet, rand.New(rand.NewPCG(s.Seed, 12))) })
	wg.Wait()
}

// series applies one fault after the other until faultCtx ends. A fault that has begun goes on to
// its end, which ctx bounds.
func (s *Soak) series(ctx, faultCtx context.Context, fleet *Fleet, rng *rand.Rand) {
	for wait(faultCtx, time.Duration(rng.Int64N(int64(maxSoakGap)))); faultCtx.Err() == nil; {
		name := soakFaults[rng.IntN(len(soakFaults))]
		process := fleet.Processes[rng.IntN(len(fleet.Processes))]
		s.disks.RLock()
		s.countFault(name)
		s.run.applyFault(ctx, name, process, rng)
		s.disks.RUnlock()
		wait(faultCtx, time.Duration(rng.Int64N(int64(maxSoakGap))))
	}
}

// loseDisks makes one machine after the other lose its disk, beside other faults. The next disk is
// lost only after the fleet had time, without other faults, to repair the one before.
func (s *Soak) loseDisks(ctx, faultCtx context.Context, fleet *Fleet, rng *rand.Rand) {
	hasDisk := func(process *Process) bool { return process.Opts.Disk != settings.DiskNone }
	for wait(faultCtx, time.Duration(rng.Int64N(int64(2*wipeInterval)))); faultCtx.Err() == nil; {
		process := fleet.choose(rng, 1, hasDisk)[0]
		s.disks.RLock()
		s.countFault("wipe")
		s.run.applyFault(ctx, "wipe", process, rng)
		s.disks.RUnlock()
		s.disks.Lock()
		wait(ctx, repairTime)
		s.disks.Unlock()
		wait(faultCtx, time.Duration(rng.Int64N(int64(2*wipeInterval))))
	}
}

// report combines the results of all checkers.
func (s *Soak) report(
	dayReport history.Report, tally deliverycheck.Tally, violations []deliverycheck.Violation,
) *SoakReport {
	r := &SoakReport{
		Seed: s.Seed, Length: s.Length, Sent: dayReport.Sent, Accepted: dayReport.Accepted, Unknown: dayReport.Unknown,
		Received: dayReport.Receipts, Sessions: tally, Faults: maps.Clone(s.faultCounts), Orders: s.countOrders(),
		Longest: dayReport.Longest.Total, Stalled: s.day.Stalled,
	}
	for _, violation := range dayReport.Violations {
		r.Violations = append(r.Violations, violation.Rule+": "+violation.Message)
	}
	for _, violation := range violations {
		r.Violations = append(r.Violations, violation.Rule+": "+violation.Message)
	}
	if !s.history.Linearizable() {
		r.Violations = append(r.Violations, "orders: no order of the operators' changes explains their answers")
	}
	slices.Sort(r.Violations)
	return r
}

// acknowledged is the key of a report's accepted orders.
const acknowledged = "acknowledged"

func (s *Soak) countOrders() map[string]int {
	count := s.history.Count()
	return map[string]int{
		acknowledged: count[orders.Acknowledged], "refused": count[orders.Refused], "unclear": count[orders.Unclear],
	}
}

// maxOrderTries bounds how often an operator submits one order.
const maxOrderTries = 8

// operate submits one order after the other, each based on the version that is read back. An order
// is retried through another machine until its answer is definite.
func (s *Soak) operate(ctx context.Context, fleet *Fleet, operator int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(50+operator)))
	for number := 0; ctx.Err() == nil; number++ {
		wait(ctx, time.Duration(rng.Int64N(int64(2*orderInterval))))
		transports := fleet.Transports("")
		requestedAt := time.Now()
		readCtx, stop := context.WithTimeout(ctx, time.Second)
		base, err := transports[rng.IntN(len(transports))].Get(readCtx)
		stop()
		if err != nil {
			continue
		}
		s.run.history.ReadConfiguration(base, requestedAt)
		id := fmt.Sprintf("operator %d order %d", operator, number)
		s.order(ctx, fleet, rng, orders.Order{Base: base, Sequence: base + 1 + rng.Uint64N(3), ID: id})
	}
}

func (s *Soak) order(ctx context.Context, fleet *Fleet, rng *rand.Rand, order orders.Order) {
	document := s.Load.NumberedConfiguration(order.Base, order.Sequence, order.ID)
	for range maxOrderTries {
		transports := fleet.Transports("")
		begun := time.Now()
		callCtx, stop := context.WithTimeout(ctx, time.Second)
		sequence, err := transports[rng.IntN(len(transports))].Put(callCtx, document)
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
			s.run.history.Violate(history.Invalid, "a valid configuration was rejected: %v", err)
			return
		}
		s.history.Tried(order, orders.Unclear, begun, ended)
		wait(ctx, time.Duration(rng.Int64N(int64(time.Second/2))))
	}
}

// SoakSite returns a deployment of about the given number of processes, with at least four storage
// nodes.
func SoakSite(processes int) Site {
	const minStores, control, minAccess = 4, 3, 2
	stores := max(minStores, processes/6)
	return Site{
		Zones: 3, Control: control, Stores: stores, Access: max(minAccess, processes-control-stores),
		RoundTrip: 500 * time.Microsecond,
	}
}

// ListenForClients makes the access nodes of a fleet listen for client sessions. It is an edit for
// New.
func ListenForClients(options *settings.Options) error {
	if options.Disk != settings.DiskNone {
		return nil
	}
	address, err := freePort()
	options.ClientListen = address
	return err
}
