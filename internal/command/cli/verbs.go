package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"postjunction/internal/apierror"
	"postjunction/internal/usage"
)

// Verbs contains the verbs by name. It doesn't contain those that need no call to a node, such as
// serve.
var Verbs = map[string]Verb{
	"put": {
		Help: "put a whole description, read from a file or - for standard input",
		Args: "FILE", run: putConfiguration,
	},
	"get":      {Help: "read the current description back", run: get("/v1/description")},
	"status":   {Help: "show the fleet as one node knows it", run: get("/v1/status")},
	"counters": {Help: "show one node's counters", run: get("/v1/counters")},
	"usage": {
		Help:  "export the use of all topics as csv, parquet, or the csv's schema",
		flags: usageFlags, run: exportUsage,
	},
	"drains": {Help: "list machines that are being or were emptied", run: get("/v1/drain")},
	"drain":  {Help: "ask for a machine to be emptied", Args: "NODE", run: decommission},
	"partition": {
		Help:  "show a partition's owner, copies and history",
		flags: partitionFlags, run: showPartition,
	},
	"why": {
		Help: "explain what became of a call, and why nodes turned it away",
		Args: "VISITOR", flags: explainFlags, run: explainCall,
	},
	"attach": {Help: "attach under a lasting name and print the token", Args: "VISITOR", run: attach},
	"send":   {Help: "send a numbered message; BODY is JSON", Args: "BODY", flags: sendFlags, run: send},
	"withdraw": {
		Help:  "withdraw what stands under a key, and wait until every node has forgotten it",
		flags: withdrawFlags, run: withdraw,
	},
	"follow": {Help: "print a stream of topics", flags: followFlags, run: follow},
	"ack":    {Help: "leave a cursor to resume from", Args: "CURSOR", flags: tokenFlag, run: acknowledge},
	"count":  {Help: "count the others that listen to a topic", flags: countFlags, run: countSubscribers},
	"visit": {
		Help: "attach by a line session, send the tasks read as JSON lines and print the answers",
		Args: "VISITOR", flags: sessionFlags, run: runSession,
	},
}

// get returns a verb that prints the response of a path.
func get(path string) func(context.Context, Streams, *options, []string) error {
	return func(ctx context.Context, streams Streams, opts *options, _ []string) error {
		return call(ctx, streams, opts, http.MethodGet, path, nil)
	}
}

func putConfiguration(ctx context.Context, streams Streams, opts *options, args []string) error {
	var document []byte
	var err error
	if args[0] == "-" {
		document, err = io.ReadAll(streams.In)
	} else {
		document, err = os.ReadFile(args[0])
	}
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "description %s", args[0])
	}
	return call(ctx, streams, opts, http.MethodPut, "/v1/description", document)
}

func usageFlags(flags *flag.FlagSet, opts *options) {
	flags.StringVar(&opts.format, "format", "csv", "`format`: csv, parquet or schema")
}

func exportUsage(ctx context.Context, streams Streams, opts *options, _ []string) error {
	var response struct {
		Usage []usage.Row `json:"usage"`
	}
	if opts.format != "schema" {
		var body bytes.Buffer
		if err := call(ctx, Streams{Out: &body}, opts, http.MethodGet, "/v1/usage", nil); err != nil {
			return err
		}
		if err := json.Unmarshal(body.Bytes(), &response); err != nil {
			return apierror.Wrap(apierror.Malformed, err, "usage")
		}
	}
	return usage.Write(streams.Out, opts.format, response.Usage)
}

func decommission(ctx context.Context, streams Streams, opts *options, args []string) error {
	return post(ctx, streams, opts, "/v1/drain", map[string]any{"node": args[0]})
}

func partitionFlags(flags *flag.FlagSet, opts *options) {
	flags.StringVar(&opts.partition, "n", "", "`number` of the partition")
	flags.StringVar(&opts.topic, "topic", "", "a `topic` of the partition, instead of its number")
}

func showPartition(ctx context.Context, streams Streams, opts *options, _ []string) error {
	query := url.Values{}
	if opts.partition != "" {
		query.Set("n", opts.partition)
	}
	if opts.topic != "" {
		query.Set("topic", opts.topic)
	}
	return call(ctx, streams, opts, http.MethodGet, "/v1/partition?"+query.Encode(), nil)
}

func explainFlags(flags *flag.FlagSet, opts *options) {
	topicFlag(flags, opts)
	flags.Uint64Var(&opts.callSeq, "call-seq", 0, "`number` of the message, from 1")
}

func explainCall(ctx context.Context, streams Streams, opts *options, args []string) error {
	query := url.Values{
		"visitor":  {args[0]},
		"topic":    {opts.topic},
		"call_seq": {strconv.FormatUint(opts.callSeq, 10)},
	}
	return call(ctx, streams, opts, http.MethodGet, "/v1/why?"+query.Encode(), nil)
}

func attach(ctx context.Context, streams Streams, opts *options, args []string) error {
	return post(ctx, streams, opts, "/v1/attach", map[string]any{"visitor": args[0]})
}

func sendFlags(flags *flag.FlagSet, opts *options) {
	tokenFlag(flags, opts)
	topicFlag(flags, opts)
	flags.Uint64Var(&opts.callSeq, "call-seq", 0, "`number` of the message, from 1, above those before it")
	flags.StringVar(&opts.key, "key", "", "`key` that the message stands under, to be withdrawn by")
}

func send(ctx context.Context, streams Streams, opts *options, args []string) error {
	message := map[string]any{"topic": opts.topic, "call_seq": opts.callSeq, "body": json.RawMessage(args[0])}
	if opts.key != "" {
		message["key"] = opts.key
	}
	return post(ctx, streams, opts, "/v1/send", message)
}

func withdrawFlags(flags *flag.FlagSet, opts *options) {
	tokenFlag(flags, opts)
	topicFlag(flags, opts)
	flags.StringVar(&opts.key, "key", "", "`key` of the messages")
	flags.Uint64Var(&opts.callSeq, "call-seq", 0,
		"`number` of the withdrawal, counted with the messages; the same one again asks how it stands")
	flags.StringVar(&opts.sender, "of", "", "`sender` whose messages may still be under way")
	flags.Uint64Var(&opts.maxCallSeq, "upto", 0,
		"highest `number` of that sender which is not to be taken any more")
}

func withdraw(ctx context.Context, streams Streams, opts *options, _ []string) error {
	withdrawal := map[string]any{"topic": opts.topic, "key": opts.key, "call_seq": opts.callSeq}
	if opts.sender != "" {
		withdrawal["of"] = opts.sender
	}
	if opts.maxCallSeq != 0 {
		withdrawal["upto"] = opts.maxCallSeq
	}
	return post(ctx, streams, opts, "/v1/withdraw", withdrawal)
}

func acknowledge(ctx context.Context, streams Streams, opts *options, args []string) error {
	return post(ctx, streams, opts, "/v1/ack", map[string]any{"cursor": args[0]})
}

func countFlags(flags *flag.FlagSet, opts *options) {
	tokenFlag(flags, opts)
	flags.StringVar(&opts.topic, "topic", "", "`topic`")
}

func countSubscribers(ctx context.Context, streams Streams, opts *options, _ []string) error {
	query := url.Values{"topic": {opts.topic}}
	return call(ctx, streams, opts, http.MethodGet, "/v1/count?"+query.Encode(), nil)
}
