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

var errProcessEnded = apierror.New(apierror.Stopped, "the process has ended")

type listener struct {
	machine *Machine
	run     int
	handler http.Handler
}

func (w *World) registerListener(addr string, m *Machine, run int, h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listeners[addr] = listener{m, run, h}
}

func (w *World) listenerAt(addr string) (listener, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.listeners[addr]
	return l, ok
}

func (w *World) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}] || w.cuts[[2]string{from, "*"}] || w.cuts[[2]string{"*", to}]
}

type endpoint struct {
	world   *World
	machine *Machine
	run     int
}

const retransmitTimeout = 200 * time.Millisecond

// linkRandom returns the next random number of a link. It depends only on the seed, the link and
// how many numbers the link has drawn before.
func (w *World) linkRandom(from, to *Machine) float64 {
	link := [2]string{from.Opts.Name, to.Opts.Name}
	w.mu.Lock()
	w.linkDraws[link]++
	n := w.linkDraws[link]
	w.mu.Unlock()
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s %s %d", w.Seed, link[0], link[1], n)
	return rand.New(rand.NewPCG(h.Sum64(), n)).Float64()
}

func (e *endpoint) transmit(ctx context.Context, from, to *Machine) error {
	w := e.world
	if w.isCut(from.Opts.Name, to.Opts.Name) && from != to {
		<-ctx.Done()
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "cut off")
	}
	delay := w.Site.Latency/2 + time.Duration(w.linkRandom(from, to)*float64(w.Site.Latency)/4)
	from.mu.Lock()
	delay += from.sendDelay
	from.mu.Unlock()
	w.mu.Lock()
	loss := w.lossRate
	w.mu.Unlock()
	for timeout := retransmitTimeout; w.linkRandom(from, to) < loss; timeout *= 2 {
		delay += timeout
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "in flight")
	}
}

// waitForReset waits as a call to a machine without power does: nothing arrives until the machine
// is back and resets the connection.
func waitForReset(ctx context.Context, reset <-chan struct{}, m *Machine) error {
	select {
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer from %s, which has no power", m.Opts.Name)
	case <-reset:
		return apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "the connections of %s were reset", m.Opts.Name)
	}
}

func (e *endpoint) isAlive() bool {
	_, run := e.machine.node()
	return run == e.run
}

// Do sends a call to another machine and returns its response.
func (e *endpoint) Do(r *http.Request) (*http.Response, error) {
	e.machine.waitWhileFrozen()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	e.world.countRequest(r.URL.Path, len(body))
	sentAt := time.Now()
	target, ok := e.world.listenerAt(r.URL.Host)
	if !ok || !e.isAlive() {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "no process listens at %s", r.URL.Host)
	}
	ctx := r.Context()
	point := CallPoint{From: e.machine.Opts.Name, To: target.machine.Opts.Name, Path: r.URL.Path, Stage: RequestStage,
		Body: body}
	e.world.waitWhilePaused(ctx, point)
	duplicateDelay := e.world.applyCallFault(ctx, point)
	e.world.countParticipants(point)
	if err := e.transmit(ctx, e.machine, target.machine); err != nil {
		return nil, err
	}
	targetReset := target.machine.resetSignal()
	if target.machine.isUnpowered() {
		return nil, waitForReset(ctx, targetReset, target.machine)
	}
	if _, run := target.machine.node(); run != target.run {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "connection refused by %s",
			target.machine.Opts.Name)
	}
	type outcome struct {
		response *http.Response
		err      error
	}
	outcomes := make(chan outcome, 1)
	serve := func(ctx context.Context) *httptest.ResponseRecorder {
		request, _ := http.NewRequestWithContext(ctx, r.Method, r.URL.String(), bytes.NewReader(body))
		request.Header = r.Header.Clone()
		request.ContentLength = int64(len(body))
		rec := httptest.NewRecorder()
		target.handler.ServeHTTP(rec, request)
		return rec
	}
	if duplicateDelay > 0 {
		go e.sendDuplicate(target, duplicateDelay, serve)
	}
	go func() {
		target.machine.waitWhileFrozen()
		rec := serve(ctx)
		target.machine.waitWhileFrozen()
		if _, run := target.machine.node(); run != target.run {
			if target.machine.isUnpowered() {
				outcomes <- outcome{nil, waitForReset(ctx, targetReset, target.machine)}
				return
			}
			outcomes <- outcome{nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "connection reset by %s",
				target.machine.Opts.Name)}
			return
		}
		point.Stage = ResponseStage
		e.world.waitWhilePaused(ctx, point)
		e.world.applyCallFault(ctx, point)
		err := e.transmit(ctx, target.machine, e.machine)
		e.world.countResponse(r.URL.Path, rec.Body.Len())
		outcomes <- outcome{rec.Result(), err}
	}()
	select {
	case <-e.machine.resetSignal():
		return nil, apierror.New(apierror.Unreachable, "the connections of %s were reset", e.machine.Opts.Name)
	case <-targetReset:
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "the connections of %s were reset",
			target.machine.Opts.Name)
	case result := <-outcomes:
		e.machine.waitWhileFrozen()
		if !e.isAlive() {
			return nil, errProcessEnded
		}
		if result.err == nil {
			e.world.recordPromise(r.URL.Path, body, result.response, sentAt)
		}
		return result.response, result.err
	case <-ctx.Done():
		e.machine.waitWhileFrozen()
		return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer from %s", target.machine.Opts.Name)
	}
}

// sendDuplicate delivers a call a second time after a delay. Its response is dropped.
func (e *endpoint) sendDuplicate(target listener, delay time.Duration,
	serve func(context.Context) *httptest.ResponseRecorder) {
	if (clock.Real{}).Sleep(e.world.ctx, delay) != nil {
		return
	}
	target.machine.waitWhileFrozen()
	if _, run := target.machine.node(); run != target.run {
		return
	}
	callCtx, stop := context.WithTimeout(e.world.ctx, e.world.Site.Timing.Recovery)
	defer stop()
	serve(callCtx)
}
