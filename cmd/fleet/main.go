// Command fleet runs a deployment as real processes on loopback, to try postjunction out and to
// test it under faults.
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

var verbs = map[string]func(ctx context.Context, deployment *fleet.Fleet, day *fleet.Day) error{
	"up":  up,
	"run": runDay,
}

// options are the flags that are not part of the run itself.
type options struct {
	bin, dir, site, faults string
	basePort, backlog      int
	direct                 bool
}

func run(args []string) error {
	if len(args) > 0 && args[0] == "soak" {
		return runSoak(args[1:])
	}
	if len(args) == 0 || verbs[args[0]] == nil {
		return apierror.New(apierror.Usage, "usage: fleet up|run|soak [flags]; fleet up -h lists the flags")
	}
	opts, day, err := parseFlags(args)
	if err != nil {
		return err
	}
	site, ok := fleet.Sites[opts.site]
	if !ok {
		return apierror.New(apierror.Usage, "there is no site %q; there are small, armor and traductores", opts.site)
	}
	if day.Faults, err = parseFaults(opts.faults); err != nil {
		return err
	}
	if err := checkDay(day); err != nil {
		return err
	}
	if err := opts.prepare(); err != nil {
		return err
	}
	deployment, err := fleet.New(opts.bin, opts.dir, site, opts.basePort, opts.direct, func(node *settings.Options) {
		if opts.backlog > 0 {
			node.Backlog = opts.backlog
		}
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := deployment.Start(); err != nil {
		return err
	}
	defer deployment.Stop()
	fmt.Printf("%d machines, files under %s\n", len(deployment.Processes), opts.dir)
	for _, process := range deployment.Processes {
		fmt.Printf("  %-4s %-4s %-8s clients %s\n",
			process.Name, process.Opts.Zone, process.Opts.Disk, process.Opts.Listen)
	}
	return verbs[args[0]](ctx, deployment, day)
}

func parseFlags(args []string) (*options, *fleet.Day, error) {
	opts, day := &options{}, &fleet.Day{Out: os.Stdout, Load: fleet.FullLoad}
	flags := flag.NewFlagSet("fleet "+args[0], flag.ContinueOnError)
	flags.StringVar(&opts.bin, "bin", "", "postjunction `program`; without it one is built")
	flags.StringVar(&opts.dir, "dir", "", "`folder` for settings, data and logs; without it a new one")
	flags.StringVar(&opts.site, "site", "small", "`site`: small, armor or traductores")
	flags.IntVar(&opts.basePort, "base", 7400, "first `port` for clients, less one; 0 for free ones")
	flags.BoolVar(&opts.direct, "direct", false,
		"no relay between the machines: no delays, cuts or losses, and settings that builds before the relay can read")
	flags.BoolVar(&day.Pairs, "pairs", false, "two faults at a time")
	flags.Uint64Var(&day.Seed, "seed", 1, "`seed` of clients and faults")
	flags.DurationVar(&day.Length, "length", 2*time.Minute, "`time` under load")
	flags.DurationVar(&day.Interval, "interval", 15*time.Second, "`time` between faults")
	flags.StringVar(&day.Next, "next", "",
		"`program` of another build, with which the fault upgrade restarts machines")
	flags.IntVar(&opts.backlog, "backlog", 0, "`tasks` that may wait in a lane of a node, 0 for the default")
	flags.StringVar(&opts.faults, "faults", "kill",
		"`faults`, with commas between: "+strings.Join(fleet.FaultNames(), ", ")+"; empty for none")
	load := &day.Load
	flags.IntVar(&load.FloodTopics, "flood", 0, "`number` of routine senders that send as fast as they can")
	flags.IntVar(&load.HTTPClients, "callers", load.HTTPClients, "`number` of clients")
	flags.IntVar(&load.Topics, "topics", load.Topics, "`number` of topics whose messages are stored")
	flags.IntVar(&load.LiveTopics, "live", load.LiveTopics, "`number` of live topics")
	flags.DurationVar(&load.SendInterval, "every", load.SendInterval, "`time` between a client's messages")
	if err := flags.Parse(args[1:]); err != nil {
		return nil, nil, apierror.Wrap(apierror.Usage, err, "fleet")
	}
	return opts, day, nil
}

func parseFaults(list string) ([]string, error) {
	var names []string
	for _, name := range strings.Split(list, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(fleet.FaultNames(), name) {
			return nil, apierror.New(apierror.Usage,
				"there is no fault %q; there are %s", name, strings.Join(fleet.FaultNames(), ", "))
		}
		names = append(names, name)
	}
	return names, nil
}

func checkDay(day *fleet.Day) error {
	load := day.Load
	if day.Length < time.Second || day.Interval < 100*time.Millisecond || load.SendInterval < time.Millisecond ||
		load.HTTPClients < 1 || load.Topics < 1 || load.LiveTopics < 0 || load.FloodTopics < 0 {
		return apierror.New(apierror.Usage,
			"length is at least 1s, interval 100ms, every 1ms, callers and topics 1, live and flood 0")
	}
	return nil
}

// prepare makes the folder, and builds the program if none is named.
func (o *options) prepare() error {
	if o.dir == "" {
		dir, err := os.MkdirTemp("", "postjunction-")
		if err != nil {
			return apierror.Wrap(apierror.Usage, err, "folder")
		}
		o.dir = dir
	}
	absDir, err := filepath.Abs(o.dir)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "folder %s", o.dir)
	}
	o.dir = absDir
	if err := os.MkdirAll(o.dir, 0o750); err != nil {
		return apierror.Wrap(apierror.Usage, err, "folder %s", o.dir)
	}
	if o.bin != "" {
		return nil
	}
	o.bin = filepath.Join(o.dir, "postjunction")
	if out, err := exec.Command("go", "build", "-o", o.bin, "./cmd/postjunction").CombinedOutput(); err != nil {
		return apierror.Wrap(apierror.Usage, err, "build: %s", out)
	}
	return nil
}

func up(ctx context.Context, _ *fleet.Fleet, _ *fleet.Day) error {
	<-ctx.Done()
	return nil
}

// maxShownViolations is how many violations are printed.
const maxShownViolations = 20

func runDay(ctx context.Context, deployment *fleet.Fleet, day *fleet.Day) error {
	report, err := day.Run(ctx, deployment)
	if err != nil {
		return err
	}
	printReport(report, deployment)
	fmt.Printf("violations %d\n", len(report.Violations))
	for i, violation := range report.Violations {
		if i < maxShownViolations {
			fmt.Printf("  %s: %s\n", violation.Rule, violation.Message)
		}
	}
	if len(report.Violations) > 0 {
		return apierror.New(apierror.Internal, "%d violations of the invariants", len(report.Violations))
	}
	return nil
}

func printReport(report history.Report, deployment *fleet.Fleet) {
	spans := func(name string, s history.Spans) {
		fmt.Printf("%-22s count %d p50 %s p95 %s p99 %s max %s\n", name, s.Count, s.P50, s.P95, s.P99, s.Max)
	}
	fmt.Printf("sent %d accepted %d unknown %d received %d subscribers %d configurations %d\n",
		report.Sent, report.Accepted, report.Unknown, report.Receipts, report.Subscribers, report.Configurations)
	spans("send to receive", report.Spread)
	spans("send to accepted, urgent", report.Urgent)
	spans("send to accepted, routine", report.Routine)
	for name, waits := range report.Waits {
		spans(name, waits)
	}
	for name, waits := range report.Retried {
		spans("acknowledged "+name, waits)
	}
	fmt.Printf("longest wait %s (%s at %s), undisturbed %s\n",
		report.Longest.Total, report.Longest.Kind, report.Longest.Place, report.LongestUndisturbed.Undisturbed)
	fmt.Printf("faults %v\n", report.Faults)
	pieces, held, late := deployment.Relay.Counts()
	fmt.Printf("between machines: %d pieces one way, %d held by a cut, %d late\n", pieces, held, late)
	if totals, err := fleet.Totals(deployment); err == nil {
		fmt.Println(totals)
	}
}
