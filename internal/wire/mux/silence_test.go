package mux

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

func TestSilentPeer_IsGivenUp(t *testing.T) {
	n, addr := New(patient), mute(t)
	defer n.Close()
	res := make(chan error)
	for range 5 {
		go func() {
			_, err := ask(context.Background(), n, addr, "/x", nil)
			res <- err
		}()
	}
	until(func() bool { return n.under(5) })
	for range 2 * ticks {
		n.tick()
	}
	assert.Assert(t, n.under(5))
	n.tick()
	for range 5 {
		err := <-res
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	}
}

func TestSlowResponse_OfALivingPeerIsAwaited(t *testing.T) {
	in, out := make(chan bool), make(chan bool)
	f := stand(t, func(w http.ResponseWriter, r *http.Request) {
		in <- true
		<-out
		echo(w, r)
	})
	res := make(chan error)
	go func() {
		_, err := f.ask("/x", nil)
		res <- err
	}()
	<-in
	c := f.n.all()[0]
	asked := 0
	for range 20 {
		f.n.tick()
		c.mu.Lock()
		q := c.quiet
		c.mu.Unlock()
		if q == ticks {
			asked++
			until(c.heard.Load)
		}
	}
	assert.Assert(t, asked >= 4, "asked for a sign of life %d times", asked)
	out <- true
	assert.NilError(t, <-res)
}

func TestPeerThatDoesNotRead_IsBounded(t *testing.T) {
	n, addr := New(patient), mute(t)
	defer n.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	full := make(chan error)
	big := make([]byte, 1<<20)
	started := 0
	for ; ; started++ {
		assert.Assert(t, started < 3*mostBulk>>20, "nothing bounds what waits")
		go func() {
			if _, err := ask(ctx, n, addr, "/x", big); err != nil && ctx.Err() == nil {
				full <- err
			}
		}()
		if until(func() bool { return n.under(started+1) || len(n.all()) > 0 && n.stuck() }); !n.under(started + 1) {
			break
		}
	}
	err := <-full
	assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	assert.Assert(t, started >= mostBulk>>20, "only %d went", started)
	_, err = ask(canceled(), n, addr, "/small", nil)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestAnswersForAFellowThatDoesNotReadAreBounded(t *testing.T) {
	var held atomic.Int64
	f := stand(t, func(w http.ResponseWriter, _ *http.Request) {
		held.Add(1)
		_, _ = w.Write(make([]byte, 1<<20))
	})
	c, err := net.Dial("tcp", f.addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	b := AppendPreface(nil, "x")
	h := appendPiece(nil, "/x")
	b = append(start(b, kindHead, 1, len(h)), h...)
	const asked = 64
	for k := range asked {
		b = append(start(b, kindOpen, uint64(k+1), 2), 1, 0)
	}
	_, err = c.Write(b)
	assert.NilError(t, err)
	until(func() bool { return held.Load() == asked })
	f.s.mu.Lock()
	for s := range f.s.m {
		s.mu.Lock()
		assert.Check(t, s.bulk <= mostBulk)
		s.mu.Unlock()
	}
	f.s.mu.Unlock()
	r := bufio.NewReader(c)
	var x frame
	for ends := 0; ends < asked; {
		assert.NilError(t, x.read(r))
		if (x.kind == kindOpen || x.kind == kindData) && !x.more {
			ends++
		}
	}
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	f := stand(t, echo)
	for range 3 {
		_, err := f.ask("/x", nil)
		assert.NilError(t, err)
		f.n.sweep()
		assert.Equal(t, len(f.n.all()), 1)
		until(func() bool {
			f.n.sweep()
			return len(f.n.all()) == 0
		})
	}
}
