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

// soakOptions are the flags of a soak.
type soakOptions struct {
	options
	processes int
	soak      fleet.Soak
}

func parseSoakFlags(args []string) (*soakOptions, error) {
	o := &soakOptions{soak: fleet.Soak{
		Out: os.Stdout, Load: sim.Load{
			HTTPClients: 40, Topics: 30, SessionTopics: 30, LiveTopics: 4, UrgentSenders: 2, SendInterval: time.Second,
		},
	}}
	flags := flag.NewFlagSet("fleet soak", flag.ContinueOnError)
	flags.StringVar(&o.bin, "bin", "", "postjunction `program`; without it one is built")
	flags.StringVar(&o.dir, "dir", "",
		"`folder` for settings, data and logs, kept; without it a new one, kept only if a rule is broken")
	flags.Uint64Var(&o.soak.Seed, "seed", 1, "`seed` of clients and faults")
	flags.DurationVar(&o.soak.Length, "for", time.Minute, "`time` in which faults begin")
	flags.IntVar(&o.processes, "nodes", 9, "`number` of processes, 9 at least")
	flags.IntVar(&o.soak.Clients, "clients", 32, "`number` of clients on line sessions")
	flags.IntVar(&o.soak.Load.HTTPClients, "callers", o.soak.Load.HTTPClients, "`number` of callers over HTTP")
	flags.IntVar(&o.soak.Series, "series", 3, "`number` of series of faults beside one another")
	if err := flags.Parse(args); err != nil {
		return nil, apierror.Wrap(apierror.Usage, err, "fleet soak")
	}
	soak := &o.soak
	if o.processes < 9 || soak.Length < time.Second || soak.Clients < 1 ||
		soak.Load.HTTPClients < 1 || soak.Series < 1 {
		return nil, apierror.New(apierror.Usage,
			"nodes is at least 9, for 1s, clients, callers and series 1")
	}
	return o, nil
}

// runSoak runs a soak, prints its verdict and writes its report; it fails if a rule was broken.
func runSoak(args []string) error {
	o, err := parseSoakFlags(args)
	if err != nil {
		return err
	}
	keep := o.dir != ""
	if err := o.prepare(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := o.run(ctx)
	if err != nil {
		return apierror.Wrap(apierror.Internal, err, "soak seed %d, files under %s", o.soak.Seed, o.dir)
	}
	fmt.Println(report.Verdict())
	for i, violation := range report.Violations {
		if i < maxShownViolations {
			fmt.Println("  " + violation)
		}
	}
	if len(report.Violations) > 0 {
		return apierror.New(apierror.Internal, "%d violations, files under %s", len(report.Violations), o.dir)
	}
	if !keep {
		return os.RemoveAll(o.dir)
	}
	return nil
}

func (o *soakOptions) run(ctx context.Context) (*fleet.SoakReport, error) {
	var editErr error
	edit := func(node *settings.Options) {
		if err := fleet.ListenForClients(node); err != nil {
			editErr = err
		}
	}
	deployment, err := fleet.New(o.bin, o.dir, fleet.SoakSite(o.processes), 0, false, edit)
	if err != nil || editErr != nil {
		return nil, errors.Join(err, editErr)
	}
	defer deployment.Stop()
	report, err := o.soak.Run(ctx, deployment)
	if err != nil {
		return nil, err
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return nil, err
	}
	return report, os.WriteFile(filepath.Join(o.dir, "report.json"), append(encoded, '\n'), 0o640)
}
