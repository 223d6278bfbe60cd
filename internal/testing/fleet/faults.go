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

// fault applies a fault and returns when it has ended. A fault of one machine affects process.
type fault func(ctx context.Context, day *Day, fleet *Fleet, process *Process, rng *rand.Rand) error

func downtime(rng *rand.Rand) time.Duration { return time.Duration(2+rng.IntN(12)) * time.Second }

func wait(ctx context.Context, delay time.Duration) { _ = clock.Real{}.Sleep(ctx, delay) }

var faults = map[string]fault{
	"kill": func(ctx context.Context, day *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		process.Kill()
		wait(ctx, downtime(rng))
		return process.Start()
	},
	"stop": func(ctx context.Context, day *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		if elapsed := process.Signal(syscall.SIGTERM, true); elapsed > 6*time.Second {
			return apierror.New(apierror.Internal, "%s took %s to stop", process.Name, elapsed)
		}
		wait(ctx, downtime(rng))
		return process.Start()
	},
	"freeze": func(ctx context.Context, day *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		process.Signal(syscall.SIGSTOP, false)
		wait(ctx, downtime(rng))
		process.Signal(syscall.SIGCONT, false)
		return nil
	},
	"wipe": func(ctx context.Context, day *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		if process.Opts.Disk == settings.DiskNone {
			process.Kill()
		} else if err := process.LoseDisk(); err != nil {
			return err
		}
		wait(ctx, downtime(rng))
		return process.Start()
	},
}

// choose returns up to count of the eligible machines at random.
func (f *Fleet) choose(rng *rand.Rand, count int, eligible func(*Process) bool) []*Process {
	var chosen []*Process
	for _, process := range f.Processes {
		if eligible(process) {
			chosen = append(chosen, process)
		}
	}
	rng.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	return chosen[:min(count, len(chosen))]
}

func killAll(ctx context.Context, processes []*Process, pause time.Duration) error {
	var wg sync.WaitGroup
	for _, process := range processes {
		wg.Go(process.Kill)
	}
	wg.Wait()
	wait(ctx, pause)
	for _, process := range processes {
		if err := process.Start(); err != nil {
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
	faults["many"] = func(ctx context.Context, day *Day, fleet *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, fleet.choose(rng, 3+rng.IntN(3), func(*Process) bool { return true }), downtime(rng)/2)
	}
	faults["reset"] = func(ctx context.Context, day *Day, fleet *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, fleet.choose(rng, len(fleet.Processes), func(process *Process) bool {
			return process.Opts.Disk == settings.DiskNone
		}), time.Second)
	}
	faults["fleet"] = func(ctx context.Context, day *Day, fleet *Fleet, _ *Process, rng *rand.Rand) error {
		return killAll(ctx, fleet.Processes, time.Second)
	}
	faults["slow"] = func(ctx context.Context, day *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		for range slowSteps {
			process.Signal(syscall.SIGSTOP, false)
			wait(ctx, slowStep)
			process.Signal(syscall.SIGCONT, false)
			wait(ctx, slowStep)
		}
		return nil
	}
	faults["settings"] = func(ctx context.Context, day *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		options := process.Opts
		options.Backlog = 256 + rng.IntN(512)
		if rng.IntN(2) == 0 {
			options.Zone = "elsewhere"
		}
		if err := process.Write(options); err != nil {
			return err
		}
		wait(ctx, 3*time.Second)
		return process.Write(process.Opts)
	}
	faults["upgrade"] = func(ctx context.Context, day *Day, fleet *Fleet, _ *Process, rng *rand.Rand) error {
		for _, process := range fleet.choose(rng, len(fleet.Processes), func(*Process) bool { return true }) {
			if elapsed := process.Signal(syscall.SIGTERM, true); elapsed > 6*time.Second {
				return apierror.New(apierror.Internal, "%s took %s to stop", process.Name, elapsed)
			}
			if day.Next != "" {
				process.bin = day.Next
			}
			if err := process.Start(); err != nil {
				return err
			}
			wait(ctx, 3*time.Second)
		}
		return nil
	}
}

// FaultNames lists the faults that can be applied to processes.
func FaultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
