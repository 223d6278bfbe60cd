// Command replay records messages and plays them back against a fleet.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/replay"
	"postjunction/internal/replay/recording"
	"postjunction/internal/testing/transport"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "replay: %v\n", err)
		os.Exit(1)
	}
}

// options are the values of the flags.
type options struct {
	addr, topics, client string
	length               time.Duration
	speed                float64
}

var verbs = map[string]func(ctx context.Context, opts options, file string) error{
	"record": record,
	"play":   play,
	"check":  check,
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || verbs[args[0]] == nil {
		return apierror.New(
			apierror.Usage, "usage: replay record|play|check [flags] FILE; replay play -h lists the flags",
		)
	}
	var opts options
	flags := flag.NewFlagSet("replay "+args[0], flag.ContinueOnError)
	flags.StringVar(&opts.addr, "at", "127.0.0.1:7400", "`address` of any node")
	flags.StringVar(&opts.topics, "topics", "", "`topics` to record, with commas between")
	flags.StringVar(&opts.client, "visitor", "recorder", "`name` to attach under for recording")
	flags.DurationVar(&opts.length, "length", time.Minute, "`time` to record")
	flags.Float64Var(&opts.speed, "speed", 1, "`times` as fast as recorded")
	if err := flags.Parse(args[1:]); err != nil {
		return apierror.Wrap(apierror.Usage, err, "replay")
	}
	if flags.NArg() != 1 {
		return apierror.New(apierror.Usage, "one file is needed; flags go first")
	}
	if opts.speed <= 0 {
		return apierror.New(apierror.Usage, "speed must be above 0, is %g", opts.speed)
	}
	return verbs[args[0]](ctx, opts, flags.Arg(0))
}

func nodeAt(addr string) transport.Transport {
	pool := &http.Transport{MaxIdleConnsPerHost: 64}
	return &transport.HTTP{Base: "http://" + addr, Client: &http.Client{Transport: pool}}
}

func record(ctx context.Context, opts options, file string) error {
	if opts.topics == "" {
		return apierror.New(apierror.Usage, "topics are needed")
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "recording %s", file)
	}
	messages, err := replay.Record(
		ctx, nodeAt(opts.addr), opts.client, strings.Split(opts.topics, ","), opts.length, out,
	)
	if err == nil {
		err = apierror.Wrap(apierror.Usage, out.Close(), "recording %s", file)
	}
	fmt.Printf("recorded %d messages\n", messages)
	return err
}

func readRecording(file string) (recording.Header, []recording.Message, error) {
	in, err := os.Open(file)
	if err != nil {
		return recording.Header{}, nil, apierror.Wrap(apierror.Usage, err, "recording %s", file)
	}
	defer func() { _ = in.Close() }()
	return recording.Read(in)
}

func check(_ context.Context, _ options, file string) error {
	header, messages, err := readRecording(file)
	if err == nil {
		fmt.Printf("%d messages on %d topics\n", len(messages), len(header.Topics))
	}
	return err
}

func play(ctx context.Context, opts options, file string) error {
	header, messages, err := readRecording(file)
	if err != nil {
		return err
	}
	report, err := replay.Play(ctx, nodeAt(opts.addr), header, messages, opts.speed)
	fmt.Printf("sent %d received %d\n", report.Sent, report.Received)
	return err
}
