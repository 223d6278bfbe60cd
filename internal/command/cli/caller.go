// Package cli holds the operator and caller verbs of the command line.
package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/rawjson"
	"postjunction/internal/usage"
)

// Streams are the command's input and outputs.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

type want struct {
	at, token, topic, cursor, n, format, key, of string
	call, upto                                   uint64
	lines                                        int
}

// Verb is one word of the command line.
type Verb struct {
	Help string
	Args string
	run  func(ctx context.Context, s Streams, w *want, args []string) error
	set  func(fs *flag.FlagSet, w *want)
}

func tokenFlag(fs *flag.FlagSet, w *want) {
	fs.StringVar(&w.token, "token", os.Getenv("POSTJUNCTION_TOKEN"), "`token` that attach gave, or POSTJUNCTION_TOKEN")
}

func simple(method, path string) func(context.Context, Streams, *want, []string) error {
	return func(ctx context.Context, s Streams, w *want, _ []string) error {
		return call(ctx, s, w, method, path, nil)
	}
}

// Verbs lists the verbs besides serve.
var Verbs = map[string]Verb{
	"put": {Help: "put a whole description, read from a file or - for standard input", Args: "FILE", run: func(ctx context.Context, s Streams, w *want, a []string) error {
		var b []byte
		var err error
		if a[0] == "-" {
			b, err = io.ReadAll(s.In)
		} else {
			b, err = os.ReadFile(a[0])
		}
		if err != nil {
			return apierror.Wrap(apierror.Usage, err, "description %s", a[0])
		}
		return call(ctx, s, w, http.MethodPut, "/v1/description", b)
	}},
	"get":      {Help: "read the current description back", run: simple(http.MethodGet, "/v1/description")},
	"status":   {Help: "show the fleet as one node knows it", run: simple(http.MethodGet, "/v1/status")},
	"counters": {Help: "show one node's counters", run: simple(http.MethodGet, "/v1/counters")},
	"usage": {Help: "export the use of all topics as csv, parquet, or the csv's schema", set: func(fs *flag.FlagSet, w *want) {
		fs.StringVar(&w.format, "format", "csv", "`format`: csv, parquet or schema")
	}, run: export},
	"drains": {Help: "list machines that are being or were emptied", run: simple(http.MethodGet, "/v1/drain")},
	"drain": {Help: "ask for a machine to be emptied", Args: "NODE", run: func(ctx context.Context, s Streams, w *want, a []string) error {
		return post(ctx, s, w, "/v1/drain", map[string]any{"node": a[0]})
	}},
	"partition": {Help: "show a partition's owner, copies and history", set: func(fs *flag.FlagSet, w *want) {
		fs.StringVar(&w.n, "n", "", "`number` of the partition")
		fs.StringVar(&w.topic, "topic", "", "a `topic` of the partition, instead of its number")
	}, run: func(ctx context.Context, s Streams, w *want, _ []string) error {
		q := url.Values{}
		if w.n != "" {
			q.Set("n", w.n)
		}
		if w.topic != "" {
			q.Set("topic", w.topic)
		}
		return call(ctx, s, w, http.MethodGet, "/v1/partition?"+q.Encode(), nil)
	}},
	"why": {Help: "explain what became of a call, and why nodes turned it away", Args: "VISITOR", set: func(fs *flag.FlagSet, w *want) {
		fs.StringVar(&w.topic, "topic", "", "`topic`, written space/topic")
		fs.Uint64Var(&w.call, "call-seq", 0, "`number` of the message, from 1")
	}, run: func(ctx context.Context, s Streams, w *want, a []string) error {
		return call(ctx, s, w, http.MethodGet, "/v1/why?"+url.Values{"visitor": {a[0]}, "topic": {w.topic}, "call_seq": {strconv.FormatUint(w.call, 10)}}.Encode(), nil)
	}},
	"attach": {Help: "attach under a lasting name and print the token", Args: "VISITOR", run: func(ctx context.Context, s Streams, w *want, a []string) error {
		return post(ctx, s, w, "/v1/attach", map[string]any{"visitor": a[0]})
	}},
	"send": {Help: "send a numbered message; BODY is JSON", Args: "BODY", set: func(fs *flag.FlagSet, w *want) {
		tokenFlag(fs, w)
		fs.StringVar(&w.topic, "topic", "", "`topic`, written space/topic")
		fs.Uint64Var(&w.call, "call-seq", 0, "`number` of the message, from 1, above those before it")
		fs.StringVar(&w.key, "key", "", "`key` that the message stands under, to be withdrawn by")
	}, run: func(ctx context.Context, s Streams, w *want, a []string) error {
		m := map[string]any{"topic": w.topic, "call_seq": w.call, "body": json.RawMessage(a[0])}
		if w.key != "" {
			m["key"] = w.key
		}
		return post(ctx, s, w, "/v1/send", m)
	}},
	"withdraw": {Help: "withdraw what stands under a key, and wait until every node has forgotten it", set: func(fs *flag.FlagSet, w *want) {
		tokenFlag(fs, w)
		fs.StringVar(&w.topic, "topic", "", "`topic`, written space/topic")
		fs.StringVar(&w.key, "key", "", "`key` of the messages")
		fs.Uint64Var(&w.call, "call-seq", 0, "`number` of the withdrawal, counted with the messages; the same one again asks how it stands")
		fs.StringVar(&w.of, "of", "", "`sender` whose messages may still be under way")
		fs.Uint64Var(&w.upto, "upto", 0, "highest `number` of that sender which is not to be taken any more")
	}, run: func(ctx context.Context, s Streams, w *want, _ []string) error {
		m := map[string]any{"topic": w.topic, "key": w.key, "call_seq": w.call}
		if w.of != "" {
			m["of"] = w.of
		}
		if w.upto != 0 {
			m["upto"] = w.upto
		}
		return post(ctx, s, w, "/v1/withdraw", m)
	}},
	"follow": {Help: "print a stream of topics", set: func(fs *flag.FlagSet, w *want) {
		tokenFlag(fs, w)
		fs.StringVar(&w.topic, "topic", "", "`topics`, with commas between")
		fs.StringVar(&w.cursor, "cursor", "", "`cursor` to resume from")
		fs.IntVar(&w.lines, "messages", 0, "`number` of messages to stop after, 0 for none")
	}, run: follow},
	"ack": {Help: "leave a cursor to resume from", Args: "CURSOR", set: tokenFlag, run: func(ctx context.Context, s Streams, w *want, a []string) error {
		return post(ctx, s, w, "/v1/ack", map[string]any{"cursor": a[0]})
	}},
	"count": {Help: "count the others that listen to a topic", set: func(fs *flag.FlagSet, w *want) {
		tokenFlag(fs, w)
		fs.StringVar(&w.topic, "topic", "", "`topic`")
	}, run: func(ctx context.Context, s Streams, w *want, _ []string) error {
		return call(ctx, s, w, http.MethodGet, "/v1/count?"+url.Values{"topic": {w.topic}}.Encode(), nil)
	}},
}

// Run runs a verb.
func Run(ctx context.Context, name string, args []string, s Streams) error {
	v := Verbs[name]
	w := &want{}
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.Err)
	fs.StringVar(&w.at, "at", "127.0.0.1:7400", "`address` of any node")
	if v.set != nil {
		v.set(fs, w)
	}
	if err := fs.Parse(args); err != nil {
		return apierror.Wrap(apierror.Usage, err, "%s", name)
	}
	n := 0
	if v.Args != "" {
		n = 1
	}
	if fs.NArg() != n {
		return apierror.New(apierror.Usage, "%s takes %d arguments (%s), was given %d; flags go first", name, n, v.Args, fs.NArg())
	}
	return v.run(ctx, s, w, fs.Args())
}

func post(ctx context.Context, s Streams, w *want, path string, doc any) error {
	b, err := rawjson.Marshal(doc)
	if err != nil {
		return apierror.Wrap(apierror.Malformed, err, "the body is no JSON value")
	}
	return call(ctx, s, w, http.MethodPost, path, b)
}

func open(ctx context.Context, w *want, method, path string, b []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.at+path, bytes.NewReader(b))
	if err != nil {
		return nil, apierror.Wrap(apierror.Usage, err, "address %s", w.at)
	}
	if w.token != "" {
		r.Header.Set("Authorization", "Bearer "+w.token)
	}
	a, err := http.DefaultClient.Do(r)
	return a, apierror.Wrap(apierror.Unreachable, err, "node at %s", w.at)
}

func turned(a *http.Response, b []byte) error {
	var p struct {
		Code   apierror.Code    `json:"code"`
		Say    string           `json:"say"`
		Advice string           `json:"advice"`
		Faults []apierror.Fault `json:"faults"`
		Retry  int64            `json:"retry_after_ms"`
	}
	if json.Unmarshal(b, &p) != nil || p.Code == "" {
		return apierror.New(apierror.Internal, "the node answered %s", a.Status)
	}
	s := p.Say
	for _, f := range p.Faults {
		s += "\n  " + f.Path + ": " + f.Message
	}
	q := apierror.New(p.Code, "%s\n%s", s, p.Advice)
	q.RetryAfterMS = p.Retry
	return q
}

func call(ctx context.Context, s Streams, w *want, method, path string, b []byte) error {
	a, err := open(ctx, w, method, path, b)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(a.Body)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "the answer broke off")
	}
	if a.StatusCode != http.StatusOK {
		return turned(a, got)
	}
	var out bytes.Buffer
	if json.Indent(&out, bytes.TrimSpace(got), "", "  ") != nil {
		out.Reset()
		out.Write(got)
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(s.Out)
	return apierror.Wrap(apierror.Usage, err, "write the answer")
}

func export(ctx context.Context, s Streams, w *want, _ []string) error {
	var a struct {
		Usage []usage.Row `json:"usage"`
	}
	if w.format != "schema" {
		var b bytes.Buffer
		if err := call(ctx, Streams{Out: &b}, w, http.MethodGet, "/v1/usage", nil); err != nil {
			return err
		}
		if err := json.Unmarshal(b.Bytes(), &a); err != nil {
			return apierror.Wrap(apierror.Malformed, err, "usage")
		}
	}
	return usage.Write(s.Out, w.format, a.Usage)
}

func follow(ctx context.Context, s Streams, w *want, _ []string) error {
	q := url.Values{"topic": strings.Split(w.topic, ",")}
	if w.cursor != "" {
		q.Set("cursor", w.cursor)
	}
	a, err := open(ctx, w, http.MethodGet, "/v1/stream?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(a.Body)
		return turned(a, b)
	}
	sc := bufio.NewScanner(a.Body)
	sc.Buffer(nil, 4<<20)
	for n := 0; sc.Scan(); {
		if _, err := s.Out.Write(append(sc.Bytes(), '\n')); err != nil {
			return apierror.Wrap(apierror.Usage, err, "write a line")
		}
		var l struct {
			Topic     string `json:"topic"`
			Withdrawn string `json:"withdrawn"`
		}
		if json.Unmarshal(sc.Bytes(), &l) == nil && l.Topic != "" && l.Withdrawn == "" {
			n++
		}
		if w.lines > 0 && n >= w.lines {
			return nil
		}
	}
	return apierror.Wrap(apierror.Unreachable, sc.Err(), "the stream broke off")
}
