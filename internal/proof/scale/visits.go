package scale

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"postjunction/internal/problem"
)

// visit opens the visits, each following one topic, and counts what they get until ctx ends.
func (x *run) visit(ctx context.Context, got *atomic.Uint64) error {
	if x.Visits == 0 {
		return nil
	}
	l, err := x.look()
	if err != nil {
		return err
	}
	for i := range x.Visits {
		at := l.Visits[i%len(l.Visits)]
		c, err := (&net.Dialer{Timeout: x.bounds.Call()}).DialContext(ctx, "tcp", at)
		if err != nil {
			return problem.Wrap(problem.Unreachable, err, "visit at %s", at)
		}
		context.AfterFunc(ctx, func() { _ = c.Close() })
		if _, err := fmt.Fprintf(c, "{\"verb\":\"attach\",\"visitor\":\"w%d\"}\n{\"verb\":\"join\",\"topic\":\"load/t%d\"}\n", i, i/len(l.Visits)%topics); err != nil {
			return problem.Wrap(problem.Unreachable, err, "visit at %s", at)
		}
		r := bufio.NewReaderSize(c, lineBytes)
		_ = c.SetReadDeadline(time.Now().Add(x.bounds.Recovery))
		for _, what := range []string{`"attached"`, `"joined"`} {
			b, err := r.ReadBytes('\n')
			if err != nil || !bytes.Contains(b, []byte(what)) {
				return problem.Because(problem.Unreachable, err, "visit at %s was told %q, not %s", at, b, what)
			}
		}
		_ = c.SetReadDeadline(time.Time{})
		go func() {
			for {
				b, err := r.ReadSlice('\n')
				if err != nil {
					return
				}
				if bytes.HasPrefix(b, []byte(`{"what":"message"`)) {
					got.Add(1)
				}
			}
		}()
	}
	return nil
}

const lineBytes = 1 << 10
