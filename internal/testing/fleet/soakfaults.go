package fleet

import (
	"context"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// The faults that a soak has beside those of a day. They may be applied to a machine that another
// fault has frozen or ended.

const (
	// gracePeriod is how long a process has to end after SIGTERM.
	gracePeriod = 6 * time.Second
	// herdDowntime is how long machines that are killed together stay down.
	herdDowntime = 500 * time.Millisecond
	// maxRollGap is the longest pause between two machines of a rolling restart.
	maxRollGap = 2 * time.Second
)

func init() {
	faults["terminate"] = func(ctx context.Context, _ *Day, _ *Fleet, process *Process, rng *rand.Rand) error {
		process.Terminate(gracePeriod)
		wait(ctx, downtime(rng))
		return process.Start()
	}
	faults["hangup"] = hangup
	faults["stores"] = func(ctx context.Context, _ *Day, fleet *Fleet, _ *Process, _ *rand.Rand) error {
		return killAll(ctx, fleet.named("s"), herdDowntime)
	}
	faults["access"] = func(ctx context.Context, _ *Day, fleet *Fleet, _ *Process, _ *rand.Rand) error {
		return killAll(ctx, fleet.named("a"), herdDowntime)
	}
	faults["roll"] = roll
}

// hangup sends SIGHUP. A process that has just started may be ended by it, because it does not
// handle signals yet. It is started again.
func hangup(ctx context.Context, _ *Day, _ *Fleet, process *Process, _ *rand.Rand) error {
	process.Signal(syscall.SIGHUP, false)
	wait(ctx, time.Second)
	return process.Start()
}

// roll restarts the machines of a kind one after the other.
func roll(ctx context.Context, _ *Day, fleet *Fleet, process *Process, rng *rand.Rand) error {
	for _, machine := range fleet.named(process.Name[:1]) {
		machine.Terminate(gracePeriod)
		if err := machine.Start(); err != nil {
			return err
		}
		wait(ctx, time.Duration(rng.Int64N(int64(maxRollGap))))
	}
	return nil
}

// named returns the machines whose names begin with the letter of a kind.
func (f *Fleet) named(kind string) []*Process {
	var processes []*Process
	for _, process := range f.Processes {
		if strings.HasPrefix(process.Name, kind) {
			processes = append(processes, process)
		}
	}
	return processes
}
