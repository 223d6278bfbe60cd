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

var boolToInt = map[bool]int{true: 1}

// waitAndUndo waits and then calls the functions that end a fault.
func waitAndUndo(ctx context.Context, delay time.Duration, undo ...func()) {
	wait(ctx, delay)
	for _, restore := range undo {
		restore()
	}
}

// limitFiles limits the size of a process's files to 1 byte, so that every further write fails as
// on a full disk, or lifts the limit.
func (p *Process) limitFiles(limit bool) error {
	p.mu.Lock()
	command := p.cmd
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	maxBytes := uint64(math.MaxUint64)
	if limit {
		maxBytes = 1
	}
	return apierror.Wrap(apierror.Internal, unix.Prlimit(command.Process.Pid, unix.RLIMIT_FSIZE,
		&unix.Rlimit{Cur: maxBytes, Max: math.MaxUint64}, nil), "limit the file size of %s", p.Name)
}

// askControl sends an operator's request to one control node after the other until one accepts or
// rejects it.
func (f *Fleet) askControl(ctx context.Context, method, path, doc string) (string, error) {
	for _, process := range f.Processes {
		if !strings.HasPrefix(process.Name, "c") {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, settings.DefaultTiming.Recovery)
		request, err := http.NewRequestWithContext(requestCtx, method, process.transport.Base+path,
			strings.NewReader(doc))
		if err == nil {
			var response *http.Response
			if response, err = process.transport.Client.Do(request); err == nil {
				body, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				cancel()
				if response.StatusCode < http.StatusBadRequest {
					return string(body), nil
				}
				if response.StatusCode < http.StatusInternalServerError {
					return "", parseError(body)
				}
				continue
			}
		}
		cancel()
	}
	return "", apierror.New(apierror.Unreachable, "no control node answered %s", path)
}

func init() {
	faults["cut"] = func(ctx context.Context, _ *Day, fleet *Fleet, process *Process, rng *rand.Rand) error {
		waitAndUndo(ctx, downtime(rng), fleet.Relay.Cut(process.Name, wildcard), fleet.Relay.Cut(wildcard, process.Name))
		return nil
	}
	faults["oneway"] = func(ctx context.Context, _ *Day, fleet *Fleet, process *Process, rng *rand.Rand) error {
		undo := []func(){fleet.Relay.Cut(wildcard, process.Name)}
		if rng.IntN(2) == 0 {
			undo[0]()
			undo = undo[:0]
			for _, other := range fleet.choose(rng, 3, func(*Process) bool { return true }) {
				undo = append(undo, fleet.Relay.Cut(process.Name, other.Name))
			}
		}
		waitAndUndo(ctx, downtime(rng), undo...)
		return nil
	}
	faults["zone"] = func(ctx context.Context, _ *Day, fleet *Fleet, process *Process, rng *rand.Rand) error {
		var undo []func()
		insiders, outsiders := fleet.Relay.Zone(process.Opts.Zone)
		for _, inside := range insiders {
			for _, outside := range outsiders {
				undo = append(undo, fleet.Relay.Cut(inside, outside), fleet.Relay.Cut(outside, inside))
			}
		}
		waitAndUndo(ctx, downtime(rng), undo...)
		return nil
	}
	faults["loss"] = func(ctx context.Context, _ *Day, fleet *Fleet, _ *Process, rng *rand.Rand) error {
		waitAndUndo(ctx, downtime(rng), fleet.Relay.Lose(0.05+0.1*rng.Float64()))
		return nil
	}
	faults["connections"] = func(ctx context.Context, day *Day, fleet *Fleet, _ *Process, _ *rand.Rand) error {
		count := fleet.Relay.Reset(0.8)
		fleet.callers.move(0.8)
		day.logf("%d connections between machines and those of most clients were reset", count)
		return nil
	}
	faults["move"] = func(ctx context.Context, _ *Day, fleet *Fleet, process *Process, _ *rand.Rand) error {
		fleet.callers.moveToZone(0.2, process.Opts.Zone)
		return nil
	}
	faults["arrive"] = func(ctx context.Context, day *Day, fleet *Fleet, process *Process, rng *rand.Rand) error {
		load := day.Load
		load.HTTPClients = max(1, load.HTTPClients/6)
		fleet.addCallers(load, rng.Uint64(), fmt.Sprintf("late%d-", rng.IntN(1e9)))
		return nil
	}
	faults["full"] = func(ctx context.Context, _ *Day, fleet *Fleet, process *Process, rng *rand.Rand) error {
		if process.Opts.Disk == settings.DiskNone {
			process = fleet.choose(rng, 1,
				func(candidate *Process) bool { return candidate.Opts.Disk != settings.DiskNone })[0]
		}
		if err := process.limitFiles(true); err != nil {
			return err
		}
		wait(ctx, downtime(rng))
		return process.limitFiles(false)
	}
	faults["drain"] = func(ctx context.Context, day *Day, fleet *Fleet, _ *Process, rng *rand.Rand) error {
		process := fleet.choose(rng, 1, func(candidate *Process) bool { return candidate.Opts.HasStorageDisk() })[0]
		answer, err := fleet.askControl(ctx, http.MethodPost, "/v1/drain", `{"node":"`+process.Name+`"}`)
		if err != nil {
			day.logf("decommissioning of %s was rejected: %v", process.Name, err)
			return nil
		}
		done := false
		for start := time.Now(); time.Since(start) < time.Minute && !done && ctx.Err() == nil; wait(ctx, time.Second) {
			answer, err = fleet.askControl(ctx, http.MethodGet, "/v1/drain", "")
			done = err == nil && drained(answer, process.Name)
		}
		day.logf("decommissioning of %s done %v: %.120s", process.Name, done, answer)
		if !done {
			return nil
		}
		process.Signal(syscall.SIGTERM, true)
		wait(ctx, downtime(rng))
		if rng.IntN(2) == 0 {
			if err := process.Wipe(); err != nil {
				return apierror.Wrap(apierror.Internal, err, "wipe %s", process.Name)
			}
		}
		return process.Start()
	}
}

func parseError(b []byte) error {
	problem := &apierror.Error{}
	if json.Unmarshal(b, problem) != nil {
		return apierror.New(apierror.Malformed, "%.80s", b)
	}
	return problem
}

// drained reports whether an answer says that the decommissioning of a node is done.
func drained(answer, node string) bool {
	var response struct{ Drains []decommission.Order }
	if json.Unmarshal([]byte(answer), &response) != nil {
		return false
	}
	for _, order := range response.Drains {
		if order.Node == node {
			return order.Done
		}
	}
	return false
}

// move has a share of the clients reconnect.
func (c *callers) move(share float64) {
	c.mu.Lock()
	clients := c.clients
	c.mu.Unlock()
	for _, client := range clients {
		if rand.Float64() < share {
			client.Move()
		}
	}
}

// moveToZone moves a share of the clients to a zone and has them reconnect.
func (c *callers) moveToZone(share float64, zone string) {
	c.mu.Lock()
	clients := c.clients
	var moved []int
	for i := range clients {
		if rand.Float64() < share {
			c.zones[i] = zone
			moved = append(moved, i)
		}
	}
	c.mu.Unlock()
	for _, i := range moved {
		clients[i].Move()
	}
}
