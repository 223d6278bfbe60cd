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
	network, addr := New(patientOptions), unresponsivePeer(t)
	defer network.Close()
	results := make(chan error)
	for range 5 {
		go func() {
			_, err := post(context.Background(), network, addr, "/x", nil)
			results <- err
		}()
	}
	waitUntil(func() bool { return network.hasPending(5) })
	for range 2 * keepaliveTicks {
		network.tick()
	}
	assert.Assert(t, network.hasPending(5))
	network.tick()
	for range 5 {
		err := <-results
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	}
}

func TestSlowResponse_OfALivingPeerIsAwaited(t *testing.T) {
	entered, release := make(chan bool), make(chan bool)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- true
		<-release
		echo(w, r)
	})
	results := make(chan error)
	go func() {
		_, err := f.post("/x", nil)
		results <- err
	}()
	<-entered
	c := f.network.allConnections()[0]
	heartbeats := 0
	for range 20 {
		f.network.tick()
		c.mu.Lock()
		silentTicks := c.silentTicks
		c.mu.Unlock()
		if silentTicks == keepaliveTicks {
			heartbeats++
			waitUntil(c.received.Load)
		}
	}
	assert.Assert(t, heartbeats >= 4, "%d heartbeats were due", heartbeats)
	release <- true
	assert.NilError(t, <-results)
}

func TestPeerThatDoesNotRead_IsBounded(t *testing.T) {
	network, addr := New(patientOptions), unresponsivePeer(t)
	defer network.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rejected := make(chan error)
	body := make([]byte, 1<<20)
	started := 0
	for ; ; started++ {
		assert.Assert(t, started < 3*maxLongQueueBytes>>20, "the queue is not bounded")
		go func() {
			if _, err := post(ctx, network, addr, "/x", body); err != nil && ctx.Err() == nil {
				rejected <- err
			}
		}()
		if waitUntil(func() bool {
			return network.hasPending(started+1) || len(network.allConnections()) > 0 && network.queueIsFull()
		}); !network.hasPending(started + 1) {
			break
		}
	}
	err := <-rejected
	assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
	assert.Assert(t, started >= maxLongQueueBytes>>20, "only %d calls were queued", started)
	_, err = post(canceledContext(), network, addr, "/small", nil)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestAnswersForAPeerThatDoesNotReadAreBounded(t *testing.T) {
	var handled atomic.Int64
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = w.Write(make([]byte, 1<<20))
	})
	conn, err := net.Dial("tcp", f.addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	requests := AppendPreface(nil, "x")
	head := appendPrefixed(nil, "/x")
	requests = append(appendFrameHeader(requests, kindHead, 1, len(head)), head...)
	const callCount = 64
	for i := range callCount {
		requests = append(appendFrameHeader(requests, kindOpen, uint64(i+1), 2), 1, 0)
	}
	_, err = conn.Write(requests)
	assert.NilError(t, err)
	waitUntil(func() bool { return handled.Load() == callCount })
	f.server.mu.Lock()
	for conn := range f.server.connections {
		conn.mu.Lock()
		assert.Check(t, conn.longQueueBytes <= maxLongQueueBytes)
		conn.mu.Unlock()
	}
	f.server.mu.Unlock()
	r := bufio.NewReader(conn)
	var received frame
	for ends := 0; ends < callCount; {
		assert.NilError(t, received.read(r))
		if (received.kind == kindOpen || received.kind == kindData) && !received.more {
			ends++
		}
	}
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	f := newFixture(t, echo)
	for range 3 {
		_, err := f.post("/x", nil)
		assert.NilError(t, err)
		f.network.closeIdle()
		assert.Equal(t, len(f.network.allConnections()), 1)
		waitUntil(func() bool {
			f.network.closeIdle()
			return len(f.network.allConnections()) == 0
		})
	}
}
