package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
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
	// Still is how long the machine that the day ran on stood still by itself, as far as a probe beside the fleet saw it.
	Still time.Duration
}

// FullLoad is that of both deployments: about 600 connections, 600 kept topics at 200 messages a second,
// 30 live topics at 20 a second, and five leads with stop-line calls.
var FullLoad = sim.Load{Callers: 600, Topics: 600, LiveTopics: 30, Leads: 5, Every: 3 * time.Second}

func (d *Day) say(f string, a ...any) {
	_, _ = fmt.Fprintf(d.Out, time.Now().Format("15:04:05.000 ")+f+"\n", a...)
}

// callers hold each caller's zone, which may change.
type callers struct {
	mu   sync.Mutex
	cs   []*httpclient.Caller
	zone []string
}

func (c *callers) at(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zone[i]
}

type fault func(ctx context.Context, d *Day, f *Fleet, p *Process, rng *rand.Rand) error

func down(rng *rand.Rand) time.Duration { return time.Duration(2+rng.IntN(12)) * time.Second }

func wait(ctx context.Context, t time.Duration) { _ = clock.Real{}.Sleep(ctx, t) }

var faults = map[string]fault{
	"kill": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		p.Kill()
		wait(ctx, down(rng))
		return p.Start()
	},
	"stop": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		if t := p.Signal(syscall.SIGTERM, true); t > 6*time.Second {
			return apierror.New(apierror.Internal, "%s took %s to stop", p.Name, t)
		}
		wait(ctx, down(rng))
		return p.Start()
	},
	"freeze": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		p.Signal(syscall.SIGSTOP, false)
		wait(ctx, down(rng))
		p.Signal(syscall.SIGCONT, false)
		return nil
	},
	"wipe": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		p.Kill()
		if p.Opts.Disk != settings.DiskNone {
			if err := p.Wipe(); err != nil {
				return apierror.Wrap(apierror.Internal, err, "wipe %s", p.Name)
			}
		}
		wait(ctx, down(rng))
		return p.Start()
	},
}

func (f *Fleet) choose(rng *rand.Rand, n int, ok func(*Process) bool) []*Process {
	var ps []*Process
	for _, p := range f.Processes {
		if ok(p) {
			ps = append(ps, p)
		}
	}
	rng.Shuffle(len(ps), func(a, b int) { ps[a], ps[b] = ps[b], ps[a] })
	return ps[:min(n, len(ps))]
}

func killAll(ctx context.Context, ps []*Process, pause time.Duration) error {
	var wg sync.WaitGroup
	for _, p := range ps {
		wg.Go(p.Kill)
	}
	wg.Wait()
	wait(ctx, pause)
	for _, p := range ps {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	slowSteps = 100
	slowStep  = 50 * time.Millisecond
)

func init() {
	faults["many"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, f.choose(rng, 3+rng.IntN(3), func(*Process) bool { return true }), down(rng)/2)
	}
	faults["reset"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, f.choose(rng, len(f.Processes), func(p *Process) bool { return p.Opts.Disk == settings.DiskNone }), time.Second)
	}
	faults["fleet"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, f.Processes, time.Second)
	}
	faults["slow"] = func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		for range slowSteps {
			p.Signal(syscall.SIGSTOP, false)
			wait(ctx, slowStep)
			p.Signal(syscall.SIGCONT, false)
			wait(ctx, slowStep)
		}
		return nil
	}
	faults["settings"] = func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		o := p.Opts
		o.Backlog = 256 + rng.IntN(512)
		if rng.IntN(2) == 0 {
			o.Zone = "elsewhere"
		}
		if err := p.Write(o); err != nil {
			return err
		}
		wait(ctx, 3*time.Second)
		return p.Write(p.Opts)
	}
	faults["upgrade"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		for _, p := range f.choose(rng, len(f.Processes), func(*Process) bool { return true }) {
			if t := p.Signal(syscall.SIGTERM, true); t > 6*time.Second {
				return apierror.New(apierror.Internal, "%s took %s to stop", p.Name, t)
			}
			if d.Next != "" {
				p.bin = d.Next
			}
			if err := p.Start(); err != nil {
				return err
			}
			wait(ctx, 3*time.Second)
		}
		return nil
	}
}

// FaultNames lists the faults that processes can show.
func FaultNames() []string {
	var s []string
	for n := range faults {
		s = append(s, n)
	}
	slices.Sort(s)
	return s
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
	d.say("all %d machines are ready", len(f.Processes))
	seq, err := d.begin(ctx, f)
	if err != nil {
		return history.Report{}, err
	}
	h.Accept(0, seq, string(d.Load.Describe(0)), time.Now())
	wait(ctx, spread)
	h.Bound = settings.DefaultTiming.Recovery
	for _, p := range f.Processes {
		wg.Go(func() { watchDescription(ctx, p, h, spread) })
	}
	sends, quiet := context.WithCancel(ctx)
	defer quiet()
	f.callers = &callers{}
	f.arrive = func(l sim.Load, seed uint64, prefix string) {
		for _, c := range sim.Plan(l, seed, spread) {
			f.callers.mu.Lock()
			i := len(f.callers.cs)
			f.callers.cs = append(f.callers.cs, c)
			f.callers.zone = append(f.callers.zone, f.Processes[i%len(f.Processes)].Opts.Zone)
			f.callers.mu.Unlock()
			c.Name = prefix + c.Name
			c.Clock, c.History = clock.Real{}, h
			c.Ports = func() []transport.Transport { return f.Ports(f.callers.at(i)) }
			wg.Go(func() { c.Run(ctx, sends) })
		}
	}
	f.arrive(d.Load, d.Seed, "")
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
				if !f.hit(p.Name) {
					return
				}
				defer f.free(p.Name)
				d.say("%s %s", n, p.Name)
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
	d.Still = <-still
	r := h.Check(cut, time.Now())
	return r, nil
}

// begin puts the first description; where its outcome is not known, the very same one again tells.
func (d *Day) begin(ctx context.Context, f *Fleet) (uint64, error) {
	end := time.Now().Add(settings.DefaultTiming.Recovery)
	for {
		seq, err := f.Processes[0].Port().Put(ctx, d.Load.Describe(0))
		if err == nil || time.Now().After(end) || !apierror.HasCode(err, apierror.OutcomeUnknown) {
			return seq, err
		}
	}
}

const (
	probePace  = 100 * time.Millisecond
	probeBytes = 4096
)

// probe looks whether the machine that all of this runs on goes on: it writes and syncs beside the fleet's disks, and sleeps. What takes as long as
// a machine may be silent before it counts as lost is something that went wrong, and its end another. It gives the sum.
func (d *Day) probe(ctx context.Context, f *Fleet, h *history.History) (sum time.Duration) {
	look := func(what string, usual time.Duration, do func()) {
		t := time.Now()
		do()
		e := time.Now()
		if late := e.Sub(t) - usual; late >= settings.DefaultTiming.FailureTimeout() {
			d.say("%s of the machine under the fleet stood still for %s until now", what, late)
			h.Disturb("stood still: "+what, t)
			h.Disturb("end of stood still: "+what, e)
			sum += late
		}
	}
	o, err := os.Create(filepath.Join(f.Processes[0].dir, "probe"))
	if err != nil {
		d.say("no probe: %v", err)
		return 0
	}
	defer func() { _ = o.Close() }()
	b := make([]byte, probeBytes)
	for ctx.Err() == nil {
		look("the disk", 0, func() {
			_, _ = o.WriteAt(b, 0)
			_ = o.Sync()
		})
		look("the processor", probePace, func() { wait(ctx, probePace) })
	}
	return sum
}

func (d *Day) operate(ctx context.Context, f *Fleet, h *history.History, seq uint64) {
	rng := rand.New(rand.NewPCG(d.Seed, 4))
	for {
		wait(ctx, 7*time.Second)
		if ctx.Err() != nil {
			return
		}
		ps := f.Ports("")
		cx, stop := context.WithTimeout(ctx, settings.DefaultTiming.Recovery)
		asked := time.Now()
		cur, err := ps[rng.IntN(len(ps))].Get(cx)
		if err == nil {
			h.ReadBack(cur, asked)
			doc := d.Load.Numbered(cur, cur+1+rng.Uint64N(9), "")
			n, e := ps[rng.IntN(len(ps))].Put(cx, doc)
			if e == nil {
				h.Accept(cur, n, string(doc), time.Now())
			} else if apierror.HasCode(e, apierror.ConfigurationInvalid) {
				h.Violate(history.Invalid, "a sound description was turned away: %v", e)
			}
		}
		stop()
	}
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

func watchDescription(ctx context.Context, p *Process, h *history.History, bound time.Duration) {
	for ctx.Err() == nil {
		cx, stop := context.WithTimeout(ctx, time.Second)
		asked := time.Now()
		p.mu.Lock()
		run := fmt.Sprintf("%s#%p", p.Name, p.cmd)
		p.mu.Unlock()
		seq, ok, err := p.Port().Shows(cx)
		stop()
		if err == nil && ok {
			h.Show(run, seq, asked, bound)
		}
		wait(ctx, 500*time.Millisecond)
	}
}
