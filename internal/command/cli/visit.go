package cli

import (
	"bufio"
	"context"
	"encoding/json"
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

func init() {
	Verbs["visit"] = Verb{Help: "attach by a line session, send the tasks read as JSON lines and print the answers", Args: "VISITOR", set: func(fs *flag.FlagSet, w *want) {
		fs.IntVar(&w.lines, "answers", 0, "`number` of answers to stop after, 0 for none")
	}, run: visiting}
}

type desk struct {
	mu sync.Mutex
	c  net.Conn
}

func (d *desk) say(b []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.c.Write(append(b, '\n'))
	return apierror.Wrap(apierror.Unreachable, err, "the connection broke off")
}

func (d *desk) task(m map[string]any) error {
	b, err := rawjson.Marshal(m)
	if err != nil {
		return apierror.Wrap(apierror.Malformed, err, "the task is no JSON value")
	}
	return d.say(b)
}

// visiting goes on after the input's end, until the node ends the connection or enough answers came.
func visiting(ctx context.Context, s Streams, w *want, a []string) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.at)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "node at %s", w.at)
	}
	defer func() { _ = c.Close() }()
	d := &desk{c: c}
	if err := d.task(map[string]any{"verb": session.Attach, "visitor": a[0]}); err != nil {
		return err
	}
	go heartbeats(ctx, d)
	go func() {
		for in := bufio.NewScanner(s.In); in.Scan(); {
			if d.say(in.Bytes()) != nil {
				return
			}
		}
	}()
	r := bufio.NewReader(c)
	for n := 0; w.lines == 0 || n < w.lines; {
		b, err := r.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return apierror.Wrap(apierror.Unreachable, err, "the connection broke off")
		}
		var l struct {
			What session.ResponseType `json:"what"`
		}
		if json.Unmarshal(b, &l) == nil && l.What == session.Alive {
			continue
		}
		n++
		if _, err := s.Out.Write(b); err != nil {
			return apierror.Wrap(apierror.Usage, err, "write a line")
		}
	}
	return nil
}

func heartbeats(ctx context.Context, d *desk) {
	for (clock.Real{}).Sleep(ctx, time.Duration(settings.Default().Keepalive)) == nil {
		if d.task(map[string]any{"verb": session.Heartbeat}) != nil {
			return
		}
	}
}
