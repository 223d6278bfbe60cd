package fleet

import (
	"context"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// The faults that a soak has beside those of a day: they may meet a machine that another fault has
// frozen or ended.

const (
	// gracePeriod is how long a process has to end after SIGTERM.
	gracePeriod = 6 * time.Second
	// herdDowntime is how long machines that are killed together stay away.
	herdDowntime = 500 * time.Millisecond
	// maxRollGap is the longest pause between two machines of a rolling restart.
	maxRollGap = 2 * time.Second
)

func init() {
	faults["terminate"] = func(ctx context.Context, _ *Day, _ *Fleet, p *Process, rng *rand.Rand) error {
		p.Terminate(gracePeriod)
		wait(ctx, downtime(rng))
		return p.Start()
	}
	faults["hangup"] = hangup
	faults["stores"] = func(ctx context.Context, _ *Day, f *Fleet, _ *Process, _ *rand.Rand) error {
		return killAll(ctx, f.named("s"), herdDowntime)
	}
	faults["access"] = func(ctx context.Context, _ *Day, f *Fleet, _ *Process, _ *rand.Rand) error {
		return killAll(ctx, f.named("a"), herdDowntime)
	}
	faults["roll"] = roll
}

// hangup sends SIGHUP. A process that has only just begun may end of it, as it does not handle
// signals yet; it is started again.
func hangup(ctx context.Context, _ *Day, _ *Fleet, p *Process, _ *rand.Rand) error {
	p.Signal(syscall.SIGHUP, false)
	wait(ctx, time.Second)
	return p.Start()
}

// roll restarts the machines of a kind one after the other.
func roll(ctx context.Context, _ *Day, f *Fleet, p *Process, rng *rand.Rand) error {
	for _, q := range f.named(p.Name[:1]) {
		q.Terminate(gracePeriod)
		if err := q.Start(); err != nil {
			return err
		}
		wait(ctx, time.Duration(rng.Int64N(int64(maxRollGap))))
	}
	return nil
}

// named returns the machines whose names begin with the letter of a kind.
func (f *Fleet) named(kind string) []*Process {
	var processes []*Process
	for _, p := range f.Processes {
		if strings.HasPrefix(p.Name, kind) {
			processes = append(processes, p)
		}
	}
	return processes
}
