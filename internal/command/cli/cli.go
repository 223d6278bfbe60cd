// Package cli holds the verbs of the command line by which clients and operators call a node.
//
// Each verb is one call of the HTTP API, or one session of the line protocol, and keeps no state. A
// rejected call is returned as the node's error, so that the exit code follows from its code.
package cli

import (
	"context"
	"flag"
	"io"
	"os"

	"postjunction/internal/apierror"
)

// Streams are the command's input and outputs.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Verb is one word of the command line.
type Verb struct {
	Help string
	// Args names the argument that the verb needs, empty for none.
	Args string
	run  func(ctx context.Context, streams Streams, opts *options, args []string) error
	// flags, if any, adds the verb's own flags.
	flags func(flags *flag.FlagSet, opts *options)
}

// options are the values of all verbs' flags.
type options struct {
	at, token, topic, cursor, partition, format, key, sender string
	callSeq, maxCallSeq                                      uint64
	// count is how many lines are read, 0 for no end.
	count int
}

// Run runs a verb of Verbs. It returns Usage for faulty flags and arguments, Unreachable for a node
// that doesn't answer, and the error of a node that rejects the call.
func Run(ctx context.Context, name string, args []string, streams Streams) error {
	verb, opts := Verbs[name], &options{}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	flags.StringVar(&opts.at, "at", "127.0.0.1:7400", "`address` of any node")
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
