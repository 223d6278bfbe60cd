// Package cli implements the verbs of the command line with which clients and operators call a
// node.
//
// Each verb makes one call of the HTTP API, or one session of the line protocol, and has no state.
// A rejected call is returned as the node's error, whose code determines the exit code.
package cli

import (
	"context"
	"flag"
	"io"
	"os"

	"postjunction/internal/apierror"
)

// Streams are the command's standard input, output and error.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Verb is a subcommand of the command line.
type Verb struct {
	Help string
	// Args names the argument that the verb requires, empty for none.
	Args string
	run  func(ctx context.Context, streams Streams, opts *options, args []string) error
	// flags, if any, adds the verb's own flags.
	flags func(flags *flag.FlagSet, opts *options)
}

// options are the values of the flags of all verbs.
type options struct {
	addr, token, topic, cursor, partition, format, key, sender string
	callSeq, maxCallSeq                                        uint64
	// count is the number of messages or responses after which a verb ends, 0 for no limit.
	count int
}

// Run runs a verb of Verbs. It returns Usage for wrong flags and arguments, Unreachable for a node
// that doesn't answer, and the node's error for a rejected call.
func Run(ctx context.Context, name string, args []string, streams Streams) error {
	verb, opts := Verbs[name], &options{}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	flags.StringVar(&opts.addr, "at", "127.0.0.1:7400", "`address` of any node")
	if verb.flags != nil {
		verb.flags(flags, opts)
	}
	if err := flags.Parse(args); err != nil {
		return apierror.Wrap(apierror.Usage, err, "%s", name)
	}
	needed := 0
	if verb.Args != "" {
		needed = 1
	}
	if flags.NArg() != needed {
		return apierror.New(apierror.Usage, "%s takes %d arguments (%s), was given %d; flags go first",
			name, needed, verb.Args, flags.NArg())
	}
	return verb.run(ctx, streams, opts, flags.Args())
}

func tokenFlag(flags *flag.FlagSet, opts *options) {
	flags.StringVar(&opts.token, "token", os.Getenv("POSTJUNCTION_TOKEN"),
		"`token` that attach gave, or POSTJUNCTION_TOKEN")
}

func topicFlag(flags *flag.FlagSet, opts *options) {
	flags.StringVar(&opts.topic, "topic", "", "`topic`, written space/topic")
}
