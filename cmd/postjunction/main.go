// Command postjunction runs a node of the fleet (serve), and the verbs for operators and clients.
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
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	err := run(os.Args[1:], streams)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintf(os.Stderr, "postjunction: %v\n", err)
	if apierror.HasCode(err, apierror.Usage) || apierror.HasCode(err, apierror.SettingsInvalid) {
		os.Exit(2)
	}
	os.Exit(1)
}

var localVerbs = map[string]func(args []string, streams cli.Streams) error{
	"platform": func(_ []string, streams cli.Streams) error { return platform.Run(streams.Err) },
	"serve":    func(args []string, streams cli.Streams) error { return serve.Run(args, streams.Err) },
	"check":    check,
	"version": func(_ []string, streams cli.Streams) error {
		_, err := fmt.Fprintln(streams.Out, node.BuildVersion)
		return err
	},
	"help": func(_ []string, streams cli.Streams) error { usage(streams.Out); return nil },
}

func check(args []string, streams cli.Streams) error {
	_, _, err := serve.ReadSettings(args, streams.Err)
	if err == nil {
		_, err = fmt.Fprintln(streams.Out, "the settings are sound")
	}
	return err
}

func run(args []string, streams cli.Streams) error {
	if len(args) == 0 {
		usage(streams.Err)
		return apierror.New(apierror.Usage, "a verb is needed")
	}
	if runLocal, ok := localVerbs[args[0]]; ok {
		return runLocal(args[1:], streams)
	}
	if _, ok := cli.Verbs[args[0]]; !ok {
		usage(streams.Err)
		return apierror.New(apierror.Usage, "there is no verb %q", args[0])
	}
	return cli.Run(context.Background(), args[0], args[1:], streams)
}

func usage(w io.Writer) {
	_, _ = fmt.Fprint(
		w,
		"usage: postjunction VERB [flags] [argument]\n\n  serve      run a node\n  platform   run a node by the platform's settings file\n  check      check settings without running\n  version    print the build\n  help       print this\n",
	)
	var names []string
	for name := range cli.Verbs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", name, cli.Verbs[name].Help)
	}
	_, _ = fmt.Fprint(w, "\nEach verb lists its flags with -h.\n")
}
