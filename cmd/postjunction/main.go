// Command postjunction is the one program of the fleet: serve, and the verbs of operators and callers.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"

	"postjunction/internal/apierror"
	"postjunction/internal/command/cli"
	"postjunction/internal/command/serve"
	"postjunction/internal/node"
	"postjunction/platform"
)

func main() {
	s := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	err := run(os.Args[1:], s)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintf(os.Stderr, "postjunction: %v\n", err)
	if apierror.HasCode(err, apierror.Usage) || apierror.HasCode(err, apierror.SettingsInvalid) {
		os.Exit(2)
	}
	os.Exit(1)
}

var own = map[string]func(args []string, s cli.Streams) error{
	"platform": func(_ []string, s cli.Streams) error { return platform.Run(s.Err) },
	"serve":    func(a []string, s cli.Streams) error { return serve.Run(a, s.Err) },
	"check":    check,
	"version":  func(_ []string, s cli.Streams) error { _, err := fmt.Fprintln(s.Out, node.BuildVersion); return err },
	"help":     func(_ []string, s cli.Streams) error { usage(s.Out); return nil },
}

func check(a []string, s cli.Streams) error {
	_, _, err := serve.ReadSettings(a, s.Err)
	if err == nil {
		_, err = fmt.Fprintln(s.Out, "the settings are sound")
	}
	return err
}

func run(args []string, s cli.Streams) error {
	if len(args) == 0 {
		usage(s.Err)
		return apierror.New(apierror.Usage, "a verb is needed")
	}
	if f, ok := own[args[0]]; ok {
		return f(args[1:], s)
	}
	if _, ok := cli.Verbs[args[0]]; !ok {
		usage(s.Err)
		return apierror.New(apierror.Usage, "there is no verb %q", args[0])
	}
	return cli.Run(context.Background(), args[0], args[1:], s)
}

func usage(w io.Writer) {
	_, _ = fmt.Fprint(
		w,
		"usage: postjunction VERB [flags] [argument]\n\n  serve      run a node\n  platform   run a node by the platform's settings file\n  check      check settings without running\n  version    print the build\n  help       print this\n",
	)
	var ns []string
	for n := range cli.Verbs {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	for _, n := range ns {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", n, cli.Verbs[n].Help)
	}
	_, _ = fmt.Fprint(w, "\nEach verb lists its flags with -h.\n")
}
