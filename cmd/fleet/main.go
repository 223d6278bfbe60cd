// Command fleet runs deployments as real processes on loopback: for trying postjunction out, and for proof under failure.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/fleet"
	"postjunction/internal/testing/history"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "fleet: %v\n", err)
		os.Exit(1)
	}
}

var verbs = map[string]func(ctx context.Context, f *fleet.Fleet, d *fleet.Day) error{
	"up":  up,
	"run": day,
}

func run(args []string) error {
	if len(args) == 0 || verbs[args[0]] == nil {
		return apierror.New(apierror.Usage, "usage: fleet up|run [flags]; fleet up -h lists the flags")
	}
	fs := flag.NewFlagSet("fleet "+args[0], flag.ContinueOnError)
	bin := fs.String("bin", "", "postjunction `program`; without it one is built")
	dir := fs.String("dir", "", "`folder` for settings, data and logs; without it a new one")
	site := fs.String("site", "small", "`site`: small, armor or traductores")
	base := fs.Int("base", 7400, "first callers' `port` less one; 0 for free ones")
	direct := fs.Bool("direct", false, "no relay between the machines: no delays, cuts or losses, and settings that builds before the relay can read")
	d := &fleet.Day{Out: os.Stdout}
	fs.BoolVar(&d.Pairs, "pairs", false, "two faults at a time")
	fs.Uint64Var(&d.Seed, "seed", 1, "`seed` of callers and faults")
	fs.DurationVar(&d.Length, "length", 2*time.Minute, "`time` under load")
	fs.DurationVar(&d.Interval, "interval", 15*time.Second, "`time` between faults")
	fs.StringVar(&d.Next, "next", "", "`program` of another build, that the fault upgrade restarts machines with")
	fs.IntVar(&d.Load.Flood, "flood", 0, "`number` of routine senders that send as fast as they can")
	backlog := fs.Int("backlog", 0, "`tasks` that may wait in a lane of a node, 0 for the default")
	list := fs.String("faults", "kill", "`faults`, with commas between: "+strings.Join(fleet.FaultNames(), ", ")+"; empty for none")
	d.Load = fleet.FullLoad
	fs.IntVar(&d.Load.Callers, "callers", d.Load.Callers, "`number` of callers")
	fs.IntVar(&d.Load.Topics, "topics", d.Load.Topics, "`number` of kept topics")
	fs.IntVar(&d.Load.LiveTopics, "live", d.Load.LiveTopics, "`number` of live topics")
	fs.DurationVar(&d.Load.Every, "every", d.Load.Every, "`time` between a caller's messages")
	if err := fs.Parse(args[1:]); err != nil {
		return apierror.Wrap(apierror.Usage, err, "fleet")
	}
	s, ok := fleet.Sites[*site]
	if !ok {
		return apierror.New(apierror.Usage, "there is no site %q; there are small, armor and traductores", *site)
	}
	for _, n := range strings.Split(*list, ",") {
		if n != "" && !slices.Contains(fleet.FaultNames(), n) {
			return apierror.New(apierror.Usage, "there is no fault %q; there are %s", n, strings.Join(fleet.FaultNames(), ", "))
		}
		if n != "" {
			d.Faults = append(d.Faults, n)
		}
	}
	if d.Length < time.Second || d.Interval < 100*time.Millisecond || d.Load.Callers < 1 || d.Load.Topics < 1 || d.Load.LiveTopics < 0 || d.Load.Flood < 0 || d.Load.Every < time.Millisecond {
		return apierror.New(apierror.Usage, "length is at least 1s, interval 100ms, every 1ms, callers and topics 1, live and flood 0")
	}
	if *dir == "" {
		t, err := os.MkdirTemp("", "postjunction-")
		if err != nil {
			return apierror.Wrap(apierror.Usage, err, "folder")
		}
		*dir = t
	}
	full, err := filepath.Abs(*dir)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "folder %s", *dir)
	}
	if err := os.MkdirAll(full, 0o750); err != nil {
		return apierror.Wrap(apierror.Usage, err, "folder %s", full)
	}
	if *bin == "" {
		*bin = filepath.Join(full, "postjunction")
		if out, err := exec.Command("go", "build", "-o", *bin, "./cmd/postjunction").CombinedOutput(); err != nil {
			return apierror.Wrap(apierror.Usage, err, "build: %s", out)
		}
	}
	f, err := fleet.New(*bin, full, s, *base, *direct, func(o *settings.Options) {
		if *backlog > 0 {
			o.Backlog = *backlog
		}
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := f.Start(); err != nil {
		return err
	}
	defer f.Stop()
	fmt.Printf("%d machines, files under %s\n", len(f.Processes), full)
	for _, p := range f.Processes {
		fmt.Printf("  %-4s %-4s %-8s callers %s\n", p.Name, p.Opts.Zone, p.Opts.Disk, p.Opts.Listen)
	}
	return verbs[args[0]](ctx, f, d)
}

func up(ctx context.Context, _ *fleet.Fleet, _ *fleet.Day) error {
	<-ctx.Done()
	return nil
}

const shown = 20

func day(ctx context.Context, f *fleet.Fleet, d *fleet.Day) error {
	r, err := d.Run(ctx, f)
	if err != nil {
		return err
	}
	spans := func(n string, s history.Spans) {
		fmt.Printf("%-22s count %d p50 %s p95 %s p99 %s max %s\n", n, s.Count, s.P50, s.P95, s.P99, s.Max)
	}
	fmt.Printf("sent %d taken %d unknown %d receipts %d subscribers %d descriptions %d\n", r.Sent, r.Taken, r.Unknown, r.Receipts, r.Subscribers, r.Descriptions)
	spans("send to receive", r.Spread)
	spans("send to taken, urgent", r.Urgent)
	spans("send to taken, routine", r.Routine)
	for k, s := range r.Waits {
		spans(k, s)
	}
	for k, s := range r.Told {
		spans("told "+k, s)
	}
	fmt.Printf("longest wait %s (%s at %s), undisturbed %s\n", r.Longest.Whole, r.Longest.Kind, r.Longest.Place, r.LongestUndisturbed.Undisturbed)
	fmt.Printf("faults %v\n", r.Covered)
	pieces, cut, lost := f.Relay.Counts()
	fmt.Printf("between machines: %d pieces one way, %d held by a cut, %d late\n", pieces, cut, lost)
	t, err := fleet.Totals(f)
	if err == nil {
		fmt.Println(t)
	}
	fmt.Printf("violations %d\n", len(r.Violations))
	for i, v := range r.Violations {
		if i < shown {
			fmt.Printf("  %s: %s\n", v.Line, v.Message)
		}
	}
	if len(r.Violations) > 0 {
		return apierror.New(apierror.Internal, "%d violations of the never-list", len(r.Violations))
	}
	return nil
}
