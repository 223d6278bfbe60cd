package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/fleet"
	"postjunction/internal/testing/sim"
)

// soakOptions are the flags of a soak test.
type soakOptions struct {
	options
	processes int
	soak      fleet.Soak
}

func parseSoakFlags(args []string) (*soakOptions, error) {
	opts := &soakOptions{soak: fleet.Soak{
		Out: os.Stdout, Load: sim.Load{
			HTTPClients: 40, Topics: 30, SessionTopics: 30, LiveTopics: 4, UrgentSenders: 2, SendInterval: time.Second,
		},
	}}
	flags := flag.NewFlagSet("fleet soak", flag.ContinueOnError)
	flags.StringVar(&opts.bin, "bin", "", "postjunction `program`; without it one is built")
	flags.StringVar(&opts.dir, "dir", "",
		"`folder` for settings, data and logs; without it a new one, which is deleted unless an invariant was violated")
	flags.Uint64Var(&opts.soak.Seed, "seed", 1, "`seed` of clients and faults")
	flags.DurationVar(&opts.soak.Length, "for", time.Minute, "`time` in which faults begin")
	flags.IntVar(&opts.processes, "nodes", 9, "`number` of processes, 9 at least")
	flags.IntVar(&opts.soak.Clients, "clients", 32, "`number` of clients that use the line protocol")
	flags.IntVar(&opts.soak.Load.HTTPClients, "callers", opts.soak.Load.HTTPClients,
		"`number` of clients that use HTTP")
	flags.IntVar(&opts.soak.Series, "series", 3, "`number` of concurrent series of faults")
	if err := flags.Parse(args); err != nil {
		return nil, apierror.Wrap(apierror.Usage, err, "fleet soak")
	}
	soak := &opts.soak
	if opts.processes < 9 || soak.Length < time.Second || soak.Clients < 1 ||
		soak.Load.HTTPClients < 1 || soak.Series < 1 {
		return nil, apierror.New(apierror.Usage,
			"nodes is at least 9, for 1s, clients, callers and series 1")
	}
	return opts, nil
}

// runSoak runs a soak test, prints its verdict and writes its report. It fails if an invariant was
// violated.
func runSoak(args []string) error {
	opts, err := parseSoakFlags(args)
	if err != nil {
		return err
	}
	keepFiles := opts.dir != ""
	if err := opts.prepare(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := opts.run(ctx)
	if err != nil {
		return apierror.Wrap(apierror.Internal, err, "soak seed %d, files under %s", opts.soak.Seed, opts.dir)
	}
	fmt.Println(report.Verdict())
	for i, violation := range report.Violations {
		if i < maxShownViolations {
			fmt.Println("  " + violation)
		}
	}
	if len(report.Violations) > 0 {
		return apierror.New(apierror.Internal, "%d violations, files under %s", len(report.Violations), opts.dir)
	}
	if !keepFiles {
		return os.RemoveAll(opts.dir)
	}
	return nil
}

func (opts *soakOptions) run(ctx context.Context) (*fleet.SoakReport, error) {
	var editErr error
	edit := func(node *settings.Options) {
		if err := fleet.ListenForClients(node); err != nil {
			editErr = err
		}
	}
	deployment, err := fleet.New(opts.bin, opts.dir, fleet.SoakSite(opts.processes), 0, false, edit)
	if err != nil || editErr != nil {
		return nil, errors.Join(err, editErr)
	}
	defer deployment.Stop()
	report, err := opts.soak.Run(ctx, deployment)
	if err != nil {
		return nil, err
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return nil, err
	}
	return report, os.WriteFile(filepath.Join(opts.dir, "report.json"), append(encoded, '\n'), 0o640)
}
