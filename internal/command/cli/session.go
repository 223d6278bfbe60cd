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

// runSession attaches, sends the requests that it reads and prints the responses. It goes on after
// the input's end, until the node ends the connection or enough responses came.
func runSession(ctx context.Context, streams Streams, opts *options, args []string) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", opts.at)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "node at %s", opts.at)
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

// printResponses prints responses other than those to heartbeats, up to count of them, 0 for no
// end.
func printResponses(r *bufio.Reader, out io.Writer, count int) error {
	for printed := 0; count == 0 || printed < count; {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return apierror.Wrap(apierror.Unreachable, err, "the connection broke off")
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
	// mu keeps lines apart; a write waits for the connection under it.
	mu   sync.Mutex
	conn net.Conn
}

func (w *requestWriter) writeLine(line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.conn.Write(append(line, '\n'))
	return apierror.Wrap(apierror.Unreachable, err, "the connection broke off")
}

func (w *requestWriter) write(request map[string]any) error {
	line, err := rawjson.Marshal(request)
	if err != nil {
		return apierror.Wrap(apierror.Malformed, err, "the task is no JSON value")
	}
	return w.writeLine(line)
}

// copyLines writes the lines of in until its end or a failed write.
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
