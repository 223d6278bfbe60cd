// Package scale measures what a fleet costs by its size: real nodes, some of them hollow, that is many of one role in one process. For tests only.
package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/options"
	"postjunction/internal/problem"
	"postjunction/internal/proof/fleet"
)

// Plan is one run.
type Plan struct {
	// Nodes, Stores and Control are access, storage and control nodes with a process each; Hollow are more access nodes, in one process.
	Nodes, Stores, Control, Hollow int
	Zones, Shards                  int
	// Length is how long an idle fleet is measured, after a rest; Load is how many messages a second are sent meanwhile.
	Length, Rest time.Duration
	Load         int
	// Visits is how many line sessions follow a topic each, spread over the access nodes.
	Visits int
	// Kill kills a store in the end.
	Kill bool
	// Dir is for the disks; Bin is this program, run as a group's process; without it all groups share the caller's process.
	Dir, Bin string
	Errs     io.Writer
}

const (
	longest     = 10 * time.Minute
	nodesMost   = 400
	processMost = 120
	pollShare   = 20
	urgentShare = 4
	urgentMost  = 640
	shardsMost  = 2560
	visitsMost  = 8000
)

// Check gives what is wrong with a plan.
func (p Plan) Check() error {
	if p.Control < 1 || p.Stores < 3 || p.Nodes < 1 || p.Hollow < 0 || p.Zones < 1 {
		return problem.New(problem.Usage, "there must be a zone, a control node, three stores and a node")
	}
	if n := p.Nodes + p.Stores + p.Control; n > processMost || n+p.Hollow > nodesMost {
		return problem.New(problem.Usage, "%d processes and %d nodes; the most are %d and %d", n, n+p.Hollow, processMost, nodesMost)
	}
	if p.Shards < 2 || p.Shards > shardsMost || p.Length < 0 || p.Length+p.Rest > longest/2 || p.Load < 0 || p.Visits < 0 || p.Visits > visitsMost {
		return problem.New(problem.Usage, "shards are 2 to %d, length and rest at most %s, the load at least 0, the visits at most %d", shardsMost, longest/2, visitsMost)
	}
	return nil
}

// Use is what a node of a role used a second, and holds.
type Use struct {
	Role  string
	Nodes int
	// Processor is in thousandths of a core; Wakes, System, Read and Written are a second, Heap and Resident in MB; all of them a node.
	Processor, Wakes, System, Read, Written, Heap, Resident, Goroutines float64
	// Asked and Served are calls and bytes a second and node by procedure.
	Asked, Served map[string]Rate
}

// Rate is how often a procedure was called, and the bytes of its bodies, a second and node.
type Rate struct{ Calls, Out, In float64 }

// Result is what a run found.
type Result struct {
	// Founding is from the start to all nodes serving and all shards open, Spread from a description's putting to its showing at all nodes,
	// Reopen from a store's kill to all shards open.
	Founding, Spread, Reopen time.Duration
	// Again is how often the description had to be put again.
	Again                  int
	Sent, Taken, Delivered uint64
	Uses                   []Use
}

type holder interface {
	look() (Look, error)
	sample() (Sample, error)
	end()
}

type part struct {
	role  string
	nodes int
	h     holder
}

type local struct{ g *Group }

func (l local) look() (Look, error)     { return l.g.Look() }
func (l local) sample() (Sample, error) { return l.g.Sample() }
func (l local) end()                    { l.g.Close() }

type remote struct {
	c   *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

func ask[T any](r *remote, word string) (v T, err error) {
	if _, err = io.WriteString(r.in, word+"\n"); err != nil {
		return v, problem.Wrap(problem.Unreachable, err, "process %d", r.c.Process.Pid)
	}
	b, err := r.out.ReadBytes('\n')
	if err != nil {
		return v, problem.Wrap(problem.Unreachable, err, "process %d", r.c.Process.Pid)
	}
	return v, problem.Wrap(problem.Malformed, json.Unmarshal(b, &v), "process %d", r.c.Process.Pid)
}

func (r *remote) look() (Look, error)     { return ask[Look](r, "look") }
func (r *remote) sample() (Sample, error) { return ask[Sample](r, "sample") }

func (r *remote) end() {
	_ = r.c.Process.Kill()
	_ = r.c.Wait()
}

func (p Plan) hold(ctx context.Context, os []options.Options) (holder, error) {
	if p.Bin == "" {
		g, err := Open(ctx, os, p.Errs)
		return local{g}, err
	}
	c := exec.CommandContext(ctx, p.Bin, "hold")
	c.Stderr = p.Errs
	in, err := c.StdinPipe()
	if err != nil {
		return nil, problem.Wrap(problem.Internal, err, "start %s", p.Bin)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, problem.Wrap(problem.Internal, err, "start %s", p.Bin)
	}
	if err := c.Start(); err != nil {
		return nil, problem.Wrap(problem.Usage, err, "start %s", p.Bin)
	}
	r := &remote{c, in, bufio.NewReader(out)}
	b, _ := json.Marshal(os)
	_, err = in.Write(append(b, '\n'))
	return r, problem.Wrap(problem.Internal, err, "start %s", p.Bin)
}

var roles = map[string]string{options.DiskNone: "access", options.DiskControl: "control", options.DiskStorage: "store"}

// Run runs a plan; all that it started is ended when it returns.
func Run(ctx context.Context, p Plan) (r Result, err error) {
	if err := p.Check(); err != nil {
		return r, err
	}
	ctx, stop := context.WithTimeout(ctx, longest)
	defer stop()
	urgent := min(max(1, p.Shards/urgentShare), urgentMost)
	f, err := fleet.New("", p.Dir, fleet.Site{Zones: p.Zones, Control: p.Control, Access: p.Nodes + p.Hollow, Stores: p.Stores}, 0, true, func(o *options.Options) {
		o.Routine, o.Urgent, o.Level = p.Shards-urgent, urgent, "error"
	})
	if err != nil {
		return r, err
	}
	x := &run{Plan: p, clk: clock.Real{}, f: f, bounds: options.DefaultBounds}
	defer x.end()
	begun := x.clk.Now()
	if err := x.start(ctx); err != nil {
		return r, err
	}
	if err := x.until(ctx, func(l Look) bool { return l.Ready == l.Nodes && len(l.Open) == p.Shards }); err != nil {
		return r, problem.Because(problem.NotFounded, err, "founding")
	}
	r.Founding = x.clk.Now().Sub(begun)
	if r.Spread, err = x.put(ctx); err != nil {
		return r, err
	}
	r.Again = x.again
	if err := x.visit(ctx, &x.delivered); err != nil {
		return r, err
	}
	if p.Length > 0 {
		_ = x.clk.Sleep(ctx, p.Rest)
		if err := x.measure(ctx, &r); err != nil {
			return r, err
		}
	}
	if p.Kill {
		r.Reopen, err = x.kill(ctx)
	}
	return r, err
}

type run struct {
	Plan
	clk    clock.Clock
	f      *fleet.Fleet
	bounds options.Bounds
	parts  []part
	again  int
	// delivered counts the messages that visits got.
	delivered atomic.Uint64
}

func (x *run) start(ctx context.Context) error {
	add := func(role string, os []options.Options) error {
		h, err := x.hold(ctx, os)
		if err == nil {
			x.parts = append(x.parts, part{role, len(os), h})
		}
		return err
	}
	var hollow []options.Options
	k := 0
	for _, q := range x.f.Processes {
		if q.Opts.Disk == options.DiskNone {
			if k++; k > x.Nodes {
				hollow = append(hollow, q.Opts)
				continue
			}
		}
		if err := add(roles[q.Opts.Disk], []options.Options{q.Opts}); err != nil {
			return err
		}
	}
	if len(hollow) == 0 {
		return nil
	}
	return add("hollow", hollow)
}

func (x *run) end() {
	var wg sync.WaitGroup
	for _, q := range x.parts {
		wg.Go(q.h.end)
	}
	wg.Wait()
}

// look adds up what all groups show.
func (x *run) look() (Look, error) {
	ls := make([]Look, len(x.parts))
	es := make([]error, len(x.parts))
	var wg sync.WaitGroup
	for i, q := range x.parts {
		wg.Go(func() { ls[i], es[i] = q.h.look() })
	}
	wg.Wait()
	a := Look{Oldest: ^uint64(0)}
	open := map[int]bool{}
	for i, l := range ls {
		if es[i] != nil {
			return a, es[i]
		}
		a.Ready, a.Nodes, a.Oldest = a.Ready+l.Ready, a.Nodes+l.Nodes, min(a.Oldest, l.Oldest)
		a.Visits = append(a.Visits, l.Visits...)
		for _, p := range l.Open {
			open[p] = true
		}
	}
	for p := range open {
		a.Open = append(a.Open, p)
	}
	return a, nil
}

func (x *run) until(ctx context.Context, ok func(Look) bool) error {
	for {
		l, err := x.look()
		if err != nil || ok(l) {
			return err
		}
		if err := x.clk.Sleep(ctx, x.bounds.Pulse()/pollShare); err != nil {
			return problem.Because(problem.Unreachable, err, "%d of %d nodes serve, the oldest description is %d, %d shards are open", l.Ready, l.Nodes, l.Oldest, len(l.Open))
		}
	}
}

const topics = 64

func document() []byte {
	var ts []string
	for i := range topics {
		ts = append(ts, "t"+strconv.Itoa(i))
	}
	b, _ := json.Marshal(map[string]any{"base": 0, "spaces": []any{map[string]any{"name": "load", "kind": "kept", "topics": ts}}})
	return b
}

func (x *run) put(ctx context.Context) (time.Duration, error) {
	begun := x.clk.Now()
	n, err := x.f.Get("a1").Port().Put(ctx, document())
	for ; problem.Has(err, problem.Unreachable) && x.clk.Now().Sub(begun) < x.bounds.Recovery; n, err = x.f.Get("a1").Port().Put(ctx, document()) {
		x.again++
	}
	if err != nil {
		return 0, err
	}
	err = x.until(ctx, func(l Look) bool { return l.Oldest >= n })
	return x.clk.Now().Sub(begun), err
}

func (x *run) samples() ([]Sample, error) {
	ss := make([]Sample, len(x.parts))
	es := make([]error, len(x.parts))
	var wg sync.WaitGroup
	for i, q := range x.parts {
		wg.Go(func() { ss[i], es[i] = q.h.sample() })
	}
	wg.Wait()
	for _, err := range es {
		if err != nil {
			return nil, err
		}
	}
	return ss, nil
}

func (x *run) measure(ctx context.Context, r *Result) error {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	var sent, taken atomic.Uint64
	var wg sync.WaitGroup
	for i := range x.Load {
		wg.Go(func() { x.send(cx, i, &sent, &taken) })
	}
	a, err := x.samples()
	if err != nil {
		return err
	}
	begun, was := x.clk.Now(), x.delivered.Load()
	if err := x.clk.Sleep(ctx, x.Length); err != nil {
		return problem.Because(problem.Stopped, err, "measuring")
	}
	b, err := x.samples()
	if err != nil {
		return err
	}
	s := x.clk.Now().Sub(begun).Seconds()
	r.Delivered = x.delivered.Load() - was
	stop()
	wg.Wait()
	r.Sent, r.Taken = sent.Load(), taken.Load()
	for _, role := range []string{"access", "hollow", "control", "store"} {
		u := Use{Role: role, Asked: map[string]Rate{}, Served: map[string]Rate{}}
		for i, q := range x.parts {
			if q.role == role {
				u.add(a[i], b[i], s, q.nodes)
			}
		}
		if u.Nodes > 0 {
			u.each(1 / float64(u.Nodes))
			r.Uses = append(r.Uses, u)
		}
	}
	return nil
}

const million = 1e6

func (u *Use) add(a, b Sample, s float64, nodes int) {
	rate := func(a, b uint64) float64 { return float64(b-a) / s }
	u.Nodes += nodes
	u.Processor += (b.Processor - a.Processor).Seconds() / s * 1000
	u.Wakes += rate(a.Wakes, b.Wakes)
	u.System += rate(a.System, b.System)
	u.Read += rate(a.Read, b.Read)
	u.Written += rate(a.Written, b.Written)
	u.Heap += float64(b.Heap) / million
	u.Resident += float64(b.Resident) / million
	u.Goroutines += float64(b.Goroutines)
	calls := func(m map[string]Rate, a, b map[string]Calls) {
		for k, v := range b {
			m[k] = Rate{m[k].Calls + rate(a[k].Calls, v.Calls), m[k].Out + rate(a[k].Out, v.Out), m[k].In + rate(a[k].In, v.In)}
		}
	}
	calls(u.Asked, a.Asked, b.Asked)
	calls(u.Served, a.Served, b.Served)
}

func (u *Use) each(f float64) {
	for _, x := range []*float64{&u.Processor, &u.Wakes, &u.System, &u.Read, &u.Written, &u.Heap, &u.Resident, &u.Goroutines} {
		*x *= f
	}
	for _, m := range []map[string]Rate{u.Asked, u.Served} {
		for k, v := range m {
			m[k] = Rate{v.Calls * f, v.Out * f, v.In * f}
		}
	}
}

// send sends a message a second to a topic of its own.
func (x *run) send(ctx context.Context, i int, sent, taken *atomic.Uint64) {
	p := x.f.Get("a" + strconv.Itoa(i%x.Nodes+1)).Port()
	a, err := p.Attach(ctx, "v"+strconv.Itoa(i))
	for ; err != nil; a, err = p.Attach(ctx, "v"+strconv.Itoa(i)) {
		if x.clk.Sleep(ctx, x.bounds.Retry()) != nil {
			return
		}
	}
	for c := uint64(1); x.clk.Sleep(ctx, time.Second) == nil; c++ {
		sent.Add(1)
		if _, err := p.Send(ctx, a.Token, "load/t"+strconv.Itoa(i%topics), c, []byte(`{"n":1}`)); err == nil {
			taken.Add(1)
		}
	}
}

// kill ends the process of the last store.
func (x *run) kill(ctx context.Context) (time.Duration, error) {
	for i := len(x.parts) - 1; i >= 0; i-- {
		if q := x.parts[i]; q.role == "store" {
			begun := x.clk.Now()
			q.h.end()
			x.parts = append(x.parts[:i:i], x.parts[i+1:]...)
			err := x.until(ctx, func(l Look) bool { return len(l.Open) == x.Shards })
			return x.clk.Now().Sub(begun), err
		}
	}
	return 0, nil
}

// Head is the first line of the figures.
const Head = "access,hollow,control,stores,shards,load,visits,try,role,what,value"

// Lines gives the figures of a run.
func (r Result) Lines(p Plan, try int) []string {
	var ls []string
	add := func(role, what string, v float64) {
		ls = append(ls, fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d,%s,%s,%.3f", p.Nodes, p.Hollow, p.Control, p.Stores, p.Shards, p.Load, p.Visits, try, role, what, v))
	}
	add("fleet", "founding_ms", float64(r.Founding.Milliseconds()))
	add("fleet", "spread_ms", float64(r.Spread.Milliseconds()))
	add("fleet", "put_again", float64(r.Again))
	if p.Kill {
		add("fleet", "reopen_ms", float64(r.Reopen.Milliseconds()))
	}
	if p.Load > 0 {
		add("fleet", "sent", float64(r.Sent))
		add("fleet", "taken", float64(r.Taken))
		add("fleet", "delivered", float64(r.Delivered))
	}
	for _, u := range r.Uses {
		add(u.Role, "processor_permille", u.Processor)
		add(u.Role, "wakes_s", u.Wakes)
		add(u.Role, "system_s", u.System)
		add(u.Role, "read_bytes_s", u.Read)
		add(u.Role, "written_bytes_s", u.Written)
		add(u.Role, "heap_mb", u.Heap)
		add(u.Role, "resident_mb", u.Resident)
		add(u.Role, "goroutines", u.Goroutines)
		for side, m := range map[string]map[string]Rate{"asked": u.Asked, "served": u.Served} {
			for k, v := range m {
				what := side + " " + filepath.Base(filepath.Dir(k)) + "/" + filepath.Base(k)
				add(u.Role, what+" calls_s", v.Calls)
				add(u.Role, what+" bytes_s", v.Out+v.In)
				add(u.Role, what+" out_s", v.Out)
				add(u.Role, what+" in_s", v.In)
			}
		}
	}
	return ls
}

// String writes a short table.
func (r Result) String() string {
	s := fmt.Sprintf("founding %s spread %s reopen %s sent %d taken %d delivered %d\n%-8s %5s %9s %8s %8s %9s %9s %8s %9s %6s\n", r.Founding, r.Spread, r.Reopen, r.Sent, r.Taken, r.Delivered,
		"role", "nodes", "core/1000", "wakes/s", "calls/s", "read B/s", "written", "heap MB", "resident", "gor.")
	for _, u := range r.Uses {
		s += fmt.Sprintf("%-8s %5d %9.2f %8.1f %8.1f %9.0f %9.0f %8.2f %9.1f %6.0f\n", u.Role, u.Nodes, u.Processor, u.Wakes, u.System, u.Read, u.Written, u.Heap, u.Resident, u.Goroutines)
	}
	return s
}

// Self is the path of this program.
func Self() (string, error) {
	p, err := os.Executable()
	return p, problem.Wrap(problem.Internal, err, "path of this program")
}
