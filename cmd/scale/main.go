// Command scale measures what a fleet on loopback costs by its size.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"postjunction/internal/problem"
	"postjunction/internal/proof/scale"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "scale: %v\n", err)
		os.Exit(1)
	}
}

var verbs = map[string]func(ctx context.Context, args []string) error{
	"run":    measure,
	"slopes": slopes,
	"hold":   func(ctx context.Context, _ []string) error { return scale.Hold(ctx, os.Stdin, os.Stdout, os.Stderr) },
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || verbs[args[0]] == nil {
		return problem.New(problem.Usage, "usage: scale run [flags]; scale slopes FILE; scale run -h lists the flags")
	}
	return verbs[args[0]](ctx, args[1:])
}

func measure(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("scale run", flag.ContinueOnError)
	p := scale.Plan{Errs: os.Stderr}
	fs.IntVar(&p.Nodes, "nodes", 4, "`number` of access nodes with a process each")
	fs.IntVar(&p.Hollow, "hollow", 0, "`number` of access nodes that share one process")
	fs.IntVar(&p.Stores, "stores", 3, "`number` of storage nodes")
	fs.IntVar(&p.Control, "control", 3, "`number` of control nodes")
	fs.IntVar(&p.Zones, "zones", 3, "`number` of zones")
	fs.IntVar(&p.Shards, "shards", 16, "`number` of shards")
	fs.DurationVar(&p.Length, "length", 10*time.Second, "`time` that is measured")
	fs.DurationVar(&p.Rest, "rest", 3*time.Second, "`time` between the description's putting and the measuring")
	fs.IntVar(&p.Load, "load", 0, "messages a second, a `number`")
	fs.IntVar(&p.Visits, "visits", 0, "`number` of visits that follow a topic each")
	fs.BoolVar(&p.Kill, "kill", true, "kill a store in the end")
	out := fs.String("csv", "", "`file` that the figures are added to; without it they are not written")
	try := fs.Int("try", 1, "`number` of this repetition")
	if err := fs.Parse(args); err != nil {
		return problem.Wrap(problem.Usage, err, "scale")
	}
	var err error
	if p.Bin, err = scale.Self(); err != nil {
		return err
	}
	if p.Dir, err = os.MkdirTemp("", "postjunction-scale-"); err != nil {
		return problem.Wrap(problem.Usage, err, "folder")
	}
	defer func() { _ = os.RemoveAll(p.Dir) }()
	r, err := scale.Run(ctx, p)
	if err != nil {
		return err
	}
	fmt.Print(r)
	if *out == "" {
		return nil
	}
	return scale.Append(*out, r.Lines(p, *try))
}

func slopes(_ context.Context, args []string) error {
	if len(args) != 1 {
		return problem.New(problem.Usage, "usage: scale slopes FILE")
	}
	return scale.Slopes(args[0], os.Stdout)
}
