package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"postjunction/internal/clock"
	"postjunction/internal/disk/walog"
	"postjunction/internal/door"
	"postjunction/internal/door/lines"
	"postjunction/internal/door/lines/plain"
	"postjunction/internal/event"
	"postjunction/internal/ledger/owner"
	"postjunction/internal/node"
	"postjunction/internal/options"
	"postjunction/internal/problem"
	"postjunction/internal/visitor/visit"
	"postjunction/internal/wire"
)

// Group is nodes of the real code that share one process, each with its own listeners, connections and disk.
type Group struct {
	asked, served counter
	nodes         []*node.Node
	visits        []string
	ends          []func()
}

type server interface {
	Serve(l net.Listener) error
	Close() error
}

// Open starts the nodes; what they log at the level error goes to errs.
func Open(ctx context.Context, os []options.Options, errs io.Writer) (*Group, error) {
	g := &Group{}
	log := hclog.New(&hclog.LoggerOptions{Name: "scale", Level: hclog.Error, Output: errs})
	for _, o := range os {
		if err := g.add(ctx, o, event.NewLogger(log.With("node", o.Name))); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

func (g *Group) add(ctx context.Context, o options.Options, log *event.Logger) error {
	net := wire.Real(o.Bounds())
	g.ends = append(g.ends, net.Close)
	w := node.World{Clock: clock.Real{}, Net: &countedNetwork{net, &g.asked}}
	if o.Disk != options.DiskNone {
		d, err := walog.Open(o.Data)
		if err != nil {
			return err
		}
		g.ends = append(g.ends, func() { _ = d.Close() })
		w.Disk = d
	}
	n, err := node.Start(ctx, o, w, log)
	if err != nil {
		return err
	}
	g.nodes = append(g.nodes, n)
	g.ends = append(g.ends, n.Kill)
	if _, err := g.serve(wire.Server(countedHandler(&g.served, n.Fellows()), o.Bounds()), o.Fellows); err != nil {
		return err
	}
	if _, err := g.serve(door.Server(n.Door().Handler(), o.Bounds()), o.Listen); err != nil || o.Disk != options.DiskNone {
		return err
	}
	at, err := g.serve(lines.New(lines.Settings{
		Host: house{n.House}, Codec: plain.Codec{}, Clock: clock.Real{}, Keepalive: longest, Retry: o.Bounds().Retry(), Body: func() int { return o.Body },
	}), "127.0.0.1:0")
	g.visits = append(g.visits, at)
	return err
}

type house struct{ *visit.House }

// Enter begins a visit.
func (h house) Enter(out visit.Out) lines.Guest { return h.House.Enter(out) }

func (g *Group) serve(s server, addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", problem.Wrap(problem.Usage, err, "listen at %s", addr)
	}
	g.ends = append(g.ends, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends the nodes.
func (g *Group) Close() {
	for i := len(g.ends) - 1; i >= 0; i-- {
		g.ends[i]()
	}
	g.ends = nil
}

// Look is what the nodes of a group show.
type Look struct {
	// Ready counts the nodes that serve.
	Ready, Nodes int
	// Oldest is the oldest description that one of them shows.
	Oldest uint64
	// Open lists the shards that are open here.
	Open []int
	// Visits are the addresses where visits are taken.
	Visits []string
}

// Look looks at the nodes.
func (g *Group) Look() (Look, error) {
	l := Look{Nodes: len(g.nodes), Visits: g.visits, Oldest: ^uint64(0)}
	for _, n := range g.nodes {
		if n.Ready() == nil {
			l.Ready++
		}
		l.Oldest = min(l.Oldest, n.Board.Description().Sequence)
		for _, v := range n.Operators.Owners() {
			if v.Stage == owner.Open {
				l.Open = append(l.Open, v.Partition)
			}
		}
	}
	return l, nil
}

// Sample is what a group used since its start, and what it holds now.
type Sample struct {
	// Processor is user and system time together.
	Processor time.Duration
	// Wakes counts the times that a thread waited; System the reads and writes; Read and Written their bytes, disks and sockets together.
	Wakes, System, Read, Written uint64
	// Heap is what is live after a collection, Resident what the system gave, both in bytes.
	Heap, Resident uint64
	Goroutines     int
	Asked, Served  map[string]Calls
}

// Sample reads the counters of the process.
func (g *Group) Sample() (Sample, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return Sample{}, problem.Wrap(problem.Internal, err, "usage of the process")
	}
	s := Sample{Processor: time.Duration(u.Utime.Nano() + u.Stime.Nano()), Wakes: uint64(u.Nvcsw), Goroutines: runtime.NumGoroutine(), Asked: g.asked.read(), Served: g.served.read()}
	io, err := figures("/proc/self/io")
	if err != nil {
		return s, err
	}
	s.System, s.Read, s.Written = io["syscr:"]+io["syscw:"], io["rchar:"], io["wchar:"]
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return s, problem.Wrap(problem.Internal, err, "memory of the process")
	}
	var all, in uint64
	if _, err := fmt.Sscan(string(b), &all, &in); err != nil {
		return s, problem.Wrap(problem.Internal, err, "memory of the process")
	}
	s.Resident = in * uint64(os.Getpagesize())
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	s.Heap = m.HeapAlloc
	return s, nil
}

func figures(file string) (map[string]uint64, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, problem.Wrap(problem.Internal, err, "%s", file)
	}
	m := map[string]uint64{}
	for _, l := range strings.Split(string(b), "\n") {
		var k string
		var n uint64
		if _, err := fmt.Sscan(l, &k, &n); err == nil {
			m[k] = n
		}
	}
	return m, nil
}

var asks = map[string]func(g *Group) (any, error){
	"look":   func(g *Group) (any, error) { return g.Look() },
	"sample": func(g *Group) (any, error) { return g.Sample() },
}

// Hold is a process of a group: it reads the settings of its nodes from the first line, answers each word on a line of its own with a line,
// and ends with its input, or after the limit.
func Hold(ctx context.Context, in io.Reader, out, errs io.Writer) error {
	r := bufio.NewReader(in)
	var os []options.Options
	b, err := r.ReadBytes('\n')
	if err != nil {
		return problem.Wrap(problem.Usage, err, "settings of the nodes")
	}
	if err := json.Unmarshal(b, &os); err != nil {
		return problem.Wrap(problem.Usage, err, "settings of the nodes")
	}
	ctx, stop := context.WithTimeout(ctx, longest)
	defer stop()
	g, err := Open(ctx, os, errs)
	if err != nil {
		return err
	}
	defer g.Close()
	time.AfterFunc(longest, func() { end(0) })
	for {
		w, err := r.ReadString('\n')
		if err != nil {
			return nil
		}
		f := asks[strings.TrimSpace(w)]
		if f == nil {
			return problem.New(problem.Usage, "there is no word %q", w)
		}
		a, err := f(g)
		if err != nil {
			return err
		}
		b, _ := json.Marshal(a)
		if _, err := out.Write(append(b, '\n')); err != nil {
			return problem.Wrap(problem.Internal, err, "answer")
		}
	}
}

var end = os.Exit
