package sim

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
)

var errGone = apierror.New(apierror.Stopped, "the process is gone")

type served struct {
	m   *Machine
	run int
	h   http.Handler
}

func (w *World) serve(addr string, m *Machine, run int, h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addrs[addr] = served{m, run, h}
}

func (w *World) at(addr string) (served, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.addrs[addr]
	return s, ok
}

func (w *World) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}] || w.cuts[[2]string{a, "*"}] || w.cuts[[2]string{"*", b}]
}

type endpoint struct {
	w   *World
	m   *Machine
	run int
}

const retransmit = 200 * time.Millisecond

// draw gives the next number of a link, which depends only on the seed, the link and how much it
// has carried.
func (w *World) draw(from, to *Machine) float64 {
	k := [2]string{from.Opts.Name, to.Opts.Name}
	w.mu.Lock()
	w.hops[k]++
	n := w.hops[k]
	w.mu.Unlock()
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s %s %d", w.Seed, k[0], k[1], n)
	return rand.New(rand.NewPCG(h.Sum64(), n)).Float64()
}

func (e *endpoint) hop(ctx context.Context, from, to *Machine) error {
	w := e.w
	if w.isCut(from.Opts.Name, to.Opts.Name) && from != to {
		<-ctx.Done()
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "cut off")
	}
	d := w.Site.Latency/2 + time.Duration(w.draw(from, to)*float64(w.Site.Latency)/4)
	from.mu.Lock()
	d += from.slow
	from.mu.Unlock()
	w.mu.Lock()
	loss := w.loss
	w.mu.Unlock()
	for k := retransmit; w.draw(from, to) < loss; k *= 2 {
		d += k
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "in flight")
	}
}

// waitInSilence waits as a call to a machine without power does: nothing is heard until the machine
// is back and resets the connection.
func waitInSilence(ctx context.Context, broken <-chan struct{}, m *Machine) error {
	select {
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "nothing is heard from %s", m.Opts.Name)
	case <-broken:
		return apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "the connections of %s were reset", m.Opts.Name)
	}
}

func (e *endpoint) alive() bool {
	_, run := e.m.node()
	return run == e.run
}

// Do carries a call to another machine and its answer back.
func (e *endpoint) Do(r *http.Request) (*http.Response, error) {
	e.m.gate()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	e.w.countRequest(r.URL.Path, len(b))
	asked := time.Now()
	s, ok := e.w.at(r.URL.Host)
	if !ok || !e.alive() {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "nobody listens at %s", r.URL.Host)
	}
	ctx := r.Context()
	at := Point{From: e.m.Opts.Name, To: s.m.Opts.Name, Path: r.URL.Path, Stage: Asking, Body: b}
	e.w.waitWhilePaused(ctx, at)
	again := e.w.applyCallFault(ctx, at)
	e.w.countParticipants(at)
	if err := e.hop(ctx, e.m, s.m); err != nil {
		return nil, err
	}
	broken := s.m.reset()
	if s.m.isSilent() {
		return nil, waitInSilence(ctx, broken, s.m)
	}
	if _, run := s.m.node(); run != s.run {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "connection refused by %s", s.m.Opts.Name)
	}
	type ans struct {
		r   *http.Response
		err error
	}
	c := make(chan ans, 1)
	serve := func(ctx context.Context) *httptest.ResponseRecorder {
		q, _ := http.NewRequestWithContext(ctx, r.Method, r.URL.String(), bytes.NewReader(b))
		q.Header = r.Header.Clone()
		q.ContentLength = int64(len(b))
		rec := httptest.NewRecorder()
		s.h.ServeHTTP(rec, q)
		return rec
	}
	if again > 0 {
		go e.again(s, again, serve)
	}
	go func() {
		s.m.gate()
		rec := serve(ctx)
		s.m.gate()
		if _, run := s.m.node(); run != s.run {
			if s.m.isSilent() {
				c <- ans{nil, waitInSilence(ctx, broken, s.m)}
				return
			}
			c <- ans{nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "connection reset by %s", s.m.Opts.Name)}
			return
		}
		at.Stage = Answering
		e.w.waitWhilePaused(ctx, at)
		e.w.applyCallFault(ctx, at)
		err := e.hop(ctx, s.m, e.m)
		e.w.countResponse(r.URL.Path, rec.Body.Len())
		c <- ans{rec.Result(), err}
	}()
	select {
	case <-e.m.reset():
		return nil, apierror.New(apierror.Unreachable, "the connections of %s were reset", e.m.Opts.Name)
	case <-broken:
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "the connections of %s were reset",
			s.m.Opts.Name)
	case a := <-c:
		e.m.gate()
		if !e.alive() {
			return nil, errGone
		}
		if a.err == nil {
			e.w.recordPromise(r.URL.Path, b, a.r, asked)
		}
		return a.r, a.err
	case <-ctx.Done():
		e.m.gate()
		return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer from %s", s.m.Opts.Name)
	}
}

// again delivers a call a second time, late; nobody hears its answer.
func (e *endpoint) again(s served, late time.Duration, serve func(context.Context) *httptest.ResponseRecorder) {
	if (clock.Real{}).Sleep(e.w.ctx, late) != nil {
		return
	}
	s.m.gate()
	if _, run := s.m.node(); run != s.run {
		return
	}
	cx, stop := context.WithTimeout(e.w.ctx, e.w.Site.Timing.Recovery)
	defer stop()
	serve(cx)
}
