package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/clock"
	"postjunction/internal/rawjson"
	"postjunction/internal/settings"
)

func sessionFlags(flags *flag.FlagSet, opts *options) {
	flags.IntVar(&opts.count, "answers", 0, "`number` of answers to stop after, 0 for none")
}

// runSession attaches, sends the requests that it reads and prints the responses. It continues
// after the end of the input, until the node ends the connection or enough responses were printed.
func runSession(ctx context.Context, streams Streams, opts *options, args []string) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", opts.addr)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "node at %s", opts.addr)
	}
	defer func() { _ = conn.Close() }()
	requests := &requestWriter{conn: conn}
	if err := requests.write(map[string]any{"verb": session.Attach, "visitor": args[0]}); err != nil {
		return err
	}
	go requests.sendHeartbeats(ctx)
	go requests.copyLines(streams.In)
	return printResponses(bufio.NewReader(conn), streams.Out, opts.count)
}

// printResponses prints up to count responses, or all of them if count is 0. Responses to
// heartbeats are left out.
func printResponses(r *bufio.Reader, out io.Writer, count int) error {
	for printed := 0; count == 0 || printed < count; {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return apierror.Wrap(apierror.Unreachable, err, "the connection broke")
		}
		var response struct {
			Type session.ResponseType `json:"what"`
		}
		if json.Unmarshal(line, &response) == nil && response.Type == session.Alive {
			continue
		}
		printed++
		if _, err := out.Write(line); err != nil {
			return apierror.Wrap(apierror.Usage, err, "write a line")
		}
	}
	return nil
}

// requestWriter writes whole lines to a connection, from several goroutines.
type requestWriter struct {
	// mu guards writes to conn, so that lines don't mix. It is held while a write blocks.
	mu   sync.Mutex
	conn net.Conn
}

func (w *requestWriter) writeLine(line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.conn.Write(append(line, '\n'))
	return apierror.Wrap(apierror.Unreachable, err, "the connection broke")
}

func (w *requestWriter) write(request map[string]any) error {
	line, err := rawjson.Marshal(request)
	if err != nil {
		return apierror.Wrap(apierror.Malformed, err, "the request is not a JSON value")
	}
	return w.writeLine(line)
}

// copyLines writes the lines of in to the connection until in ends or a write fails.
func (w *requestWriter) copyLines(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if w.writeLine(lines.Bytes()) != nil {
			return
		}
	}
}

func (w *requestWriter) sendHeartbeats(ctx context.Context) {
	for (clock.Real{}).Sleep(ctx, time.Duration(settings.Default().Keepalive)) == nil {
		if w.write(map[string]any{"verb": session.Heartbeat}) != nil {
			return
		}
	}
}
