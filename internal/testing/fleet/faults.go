package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/settings"
)

type fault func(ctx context.Context, d *Day, f *Fleet, p *Process, rng *rand.Rand) error

func downtime(rng *rand.Rand) time.Duration { return time.Duration(2+rng.IntN(12)) * time.Second }

func wait(ctx context.Context, t time.Duration) { _ = clock.Real{}.Sleep(ctx, t) }

var faults = map[string]fault{
	"kill": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		p.Kill()
		wait(ctx, downtime(rng))
		return p.Start()
	},
	"stop": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		if t := p.Signal(syscall.SIGTERM, true); t > 6*time.Second {
			return apierror.New(apierror.Internal, "%s took %s to stop", p.Name, t)
		}
		wait(ctx, downtime(rng))
		return p.Start()
	},
	"freeze": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		p.Signal(syscall.SIGSTOP, false)
		wait(ctx, downtime(rng))
		p.Signal(syscall.SIGCONT, false)
		return nil
	},
	"wipe": func(ctx context.Context, d *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		if p.Opts.Disk == settings.DiskNone {
			p.Kill()
		} else if err := p.LoseDisk(); err != nil {
			return err
		}
		wait(ctx, downtime(rng))
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
		return killAll(ctx, f.choose(rng, 3+rng.IntN(3), func(*Process) bool { return true }), downtime(rng)/2)
	}
	faults["reset"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, f.choose(rng, len(f.Processes), func(p *Process) bool {
			return p.Opts.Disk == settings.DiskNone
		}), time.Second)
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
