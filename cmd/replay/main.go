// Command replay records a day's messages and plays them back against a fleet.
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

type flags struct {
	at, topics, visitor string
	length              time.Duration
	speed               float64
}

var verbs = map[string]func(ctx context.Context, f flags, file string) error{"record": record, "play": play, "check": check}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || verbs[args[0]] == nil {
		return apierror.New(apierror.Usage, "usage: replay record|play|check [flags] FILE; replay play -h lists the flags")
	}
	var f flags
	fs := flag.NewFlagSet("replay "+args[0], flag.ContinueOnError)
	fs.StringVar(&f.at, "at", "127.0.0.1:7400", "`address` of any node")
	fs.StringVar(&f.topics, "topics", "", "`topics` to record, with commas between")
	fs.StringVar(&f.visitor, "visitor", "recorder", "`name` to attach under for recording")
	fs.DurationVar(&f.length, "length", time.Minute, "`time` to record")
	fs.Float64Var(&f.speed, "speed", 1, "`times` as fast as recorded")
	if err := fs.Parse(args[1:]); err != nil {
		return apierror.Wrap(apierror.Usage, err, "replay")
	}
	if fs.NArg() != 1 {
		return apierror.New(apierror.Usage, "one file is needed; flags go first")
	}
	if f.speed <= 0 {
		return apierror.New(apierror.Usage, "speed must be above 0, is %g", f.speed)
	}
	return verbs[args[0]](ctx, f, fs.Arg(0))
}

func node(f flags) transport.Transport {
	return &transport.HTTP{Base: "http://" + f.at, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func record(ctx context.Context, f flags, file string) error {
	if f.topics == "" {
		return apierror.New(apierror.Usage, "topics are needed")
	}
	o, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "recording %s", file)
	}
	n, err := replay.Record(ctx, node(f), f.visitor, strings.Split(f.topics, ","), f.length, o)
	if err == nil {
		err = apierror.Wrap(apierror.Usage, o.Close(), "recording %s", file)
	}
	fmt.Printf("recorded %d messages\n", n)
	return err
}

func read(file string) (recording.Header, []recording.Message, error) {
	o, err := os.Open(file)
	if err != nil {
		return recording.Header{}, nil, apierror.Wrap(apierror.Usage, err, "recording %s", file)
	}
	defer func() { _ = o.Close() }()
	return recording.Read(o)
}

func check(_ context.Context, _ flags, file string) error {
	h, ms, err := read(file)
	if err == nil {
		fmt.Printf("%d messages on %d topics\n", len(ms), len(h.Topics))
	}
	return err
}

func play(ctx context.Context, f flags, file string) error {
	h, ms, err := read(file)
	if err != nil {
		return err
	}
	r, err := replay.Play(ctx, node(f), h, ms, f.speed)
	fmt.Printf("sent %d received %d\n", r.Sent, r.Received)
	return err
}
