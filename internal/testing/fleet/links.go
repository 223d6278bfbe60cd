package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"postjunction/internal/apierror"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
)

var bit = map[bool]int{true: 1}

func after(ctx context.Context, t time.Duration, undo ...func()) {
	wait(ctx, t)
	for _, f := range undo {
		f()
	}
}

// full makes a process's files as large as they may be: every further write fails as on a full
// disk.
func (p *Process) full(on bool) error {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	if c == nil {
		return nil
	}
	most := uint64(math.MaxUint64)
	if on {
		most = 1
	}
	return apierror.Wrap(apierror.Internal, unix.Prlimit(c.Process.Pid, unix.RLIMIT_FSIZE,
		&unix.Rlimit{Cur: most, Max: math.MaxUint64}, nil), "limit the files of %s", p.Name)
}

func (f *Fleet) ask(ctx context.Context, method, path, doc string) (string, error) {
	for _, p := range f.Processes {
		if !strings.HasPrefix(p.Name, "c") {
			continue
		}
		cx, stop := context.WithTimeout(ctx, settings.DefaultTiming.Recovery)
		r, err := http.NewRequestWithContext(cx, method, p.port.Base+path, strings.NewReader(doc))
		if err == nil {
			var a *http.Response
			if a, err = p.port.Client.Do(r); err == nil {
				b, _ := io.ReadAll(a.Body)
				_ = a.Body.Close()
				stop()
				if a.StatusCode < http.StatusBadRequest {
					return string(b), nil
				}
				if a.StatusCode < http.StatusInternalServerError {
					return "", failed(b)
				}
				continue
			}
		}
		stop()
	}
	return "", apierror.New(apierror.Unreachable, "no control node answered %s", path)
}

func init() {
	faults["cut"] = func(ctx context.Context, _ *Day, f *Fleet, p *Process, rng *rand.Rand) error {
		after(ctx, downtime(rng), f.Relay.Cut(p.Name, all), f.Relay.Cut(all, p.Name))
		return nil
	}
	faults["oneway"] = func(ctx context.Context, _ *Day, f *Fleet, p *Process, rng *rand.Rand) error {
		undo := []func(){f.Relay.Cut(all, p.Name)}
		if rng.IntN(2) == 0 {
			undo[0]()
			undo = undo[:0]
			for _, q := range f.choose(rng, 3, func(*Process) bool { return true }) {
				undo = append(undo, f.Relay.Cut(p.Name, q.Name))
			}
		}
		after(ctx, downtime(rng), undo...)
		return nil
	}
	faults["zone"] = func(ctx context.Context, _ *Day, f *Fleet, p *Process, rng *rand.Rand) error {
		var undo []func()
		in, out := f.Relay.Zone(p.Opts.Zone)
		for _, a := range in {
			for _, b := range out {
				undo = append(undo, f.Relay.Cut(a, b), f.Relay.Cut(b, a))
			}
		}
		after(ctx, downtime(rng), undo...)
		return nil
	}
	faults["loss"] = func(ctx context.Context, _ *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		after(ctx, downtime(rng), f.Relay.Lose(0.05+0.1*rng.Float64()))
		return nil
	}
	faults["connections"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, _ *rand.Rand) error {
		n := f.Relay.Reset(0.8)
		f.callers.move(0.8)
		d.logf("%d connections between machines and most callers' were reset", n)
		return nil
	}
	faults["move"] = func(ctx context.Context, _ *Day, f *Fleet, p *Process, _ *rand.Rand) error {
		f.callers.to(0.2, p.Opts.Zone)
		return nil
	}
	faults["arrive"] = func(ctx context.Context, d *Day, f *Fleet, p *Process, rng *rand.Rand) error {
		l := d.Load
		l.HTTPClients = max(1, l.HTTPClients/6)
		f.addCallers(l, rng.Uint64(), fmt.Sprintf("late%d-", rng.IntN(1e9)))
		return nil
	}
	faults["full"] = func(ctx context.Context, _ *Day, f *Fleet, p *Process, rng *rand.Rand) error {
		if p.Opts.Disk == settings.DiskNone {
			p = f.choose(rng, 1, func(q *Process) bool { return q.Opts.Disk != settings.DiskNone })[0]
		}
		if err := p.full(true); err != nil {
			return err
		}
		wait(ctx, downtime(rng))
		return p.full(false)
	}
	faults["drain"] = func(ctx context.Context, d *Day, f *Fleet, _ *Process, rng *rand.Rand) error {
		p := f.choose(rng, 1, func(q *Process) bool { return q.Opts.HasStorageDisk() })[0]
		a, err := f.ask(ctx, http.MethodPost, "/v1/drain", `{"node":"`+p.Name+`"}`)
		if err != nil {
			d.logf("emptying of %s was not asked for: %v", p.Name, err)
			return nil
		}
		done := false
		for t := time.Now(); time.Since(t) < time.Minute && !done && ctx.Err() == nil; wait(ctx, time.Second) {
			a, err = f.ask(ctx, http.MethodGet, "/v1/drain", "")
			done = err == nil && drained(a, p.Name)
		}
		d.logf("emptying of %s done %v: %.120s", p.Name, done, a)
		if !done {
			return nil
		}
		p.Signal(syscall.SIGTERM, true)
		wait(ctx, downtime(rng))
		if rng.IntN(2) == 0 {
			if err := p.Wipe(); err != nil {
				return apierror.Wrap(apierror.Internal, err, "wipe %s", p.Name)
			}
		}
		return p.Start()
	}
}

func failed(b []byte) error {
	p := &apierror.Error{}
	if json.Unmarshal(b, p) != nil {
		return apierror.New(apierror.Malformed, "%.80s", b)
	}
	return p
}

func drained(answer, node string) bool {
	var a struct{ Drains []decommission.Order }
	if json.Unmarshal([]byte(answer), &a) != nil {
		return false
	}
	for _, x := range a.Drains {
		if x.Node == node {
			return x.Done
		}
	}
	return false
}

func (c *callers) move(share float64) {
	c.mu.Lock()
	cs := c.clients
	c.mu.Unlock()
	for _, x := range cs {
		if rand.Float64() < share {
			x.Move()
		}
	}
}

func (c *callers) to(share float64, zone string) {
	c.mu.Lock()
	cs := c.clients
	var moved []int
	for i := range cs {
		if rand.Float64() < share {
			c.zone[i] = zone
			moved = append(moved, i)
		}
	}
	c.mu.Unlock()
	for _, i := range moved {
		cs[i].Move()
	}
}
