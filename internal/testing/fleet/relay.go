package fleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/wire/mux"
)

const (
	retransmitDelay = 200 * time.Millisecond
	wildcard        = "*"
	chunkBytes      = 32 << 10
	maxChunks       = 64
)

// Relay carries the connections between the processes of a fleet. It adds the delay between zones
// and the faults of links without touching a process.
type Relay struct {
	roundTrip time.Duration
	// mu guards the fields below but ctx and stop.
	mu          sync.Mutex
	zones       map[string]string
	cuts        map[[2]string]bool
	loss        float64
	connections map[string]map[net.Conn]bool
	healed      chan struct{}
	listeners   []net.Listener
	ctx         context.Context
	stop        func()
	counts      map[string]uint64
}

func newRelay(roundTrip time.Duration) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{ctx: ctx, stop: stop, healed: make(chan struct{}), roundTrip: roundTrip, zones: map[string]string{},
		cuts: map[[2]string]bool{}, connections: map[string]map[net.Conn]bool{}, counts: map[string]uint64{}}
}

// serve listens on the address at which the other machines reach a machine, and returns it.
func (r *Relay) serve(name, zone, address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", apierror.Wrap(apierror.Internal, err, "relay to %s", name)
	}
	r.mu.Lock()
	r.zones[name], r.connections[name] = zone, map[net.Conn]bool{}
	r.listeners = append(r.listeners, listener)
	r.mu.Unlock()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go r.relayConnection(name, address, connection)
		}
	}()
	return listener.Addr().String(), nil
}

func (r *Relay) close() {
	r.stop()
	r.mu.Lock()
	listeners := r.listeners
	r.mu.Unlock()
	for _, listener := range listeners {
		_ = listener.Close()
	}
	r.Reset(1)
}

func (r *Relay) track(name string, connection net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.connections[name][connection] = true
		return
	}
	delete(r.connections[name], connection)
}

// relayConnection relays a connection to a machine. Its preface names the machine that opened it.
func (r *Relay) relayConnection(name, address string, incoming net.Conn) {
	r.track(name, incoming, true)
	defer r.track(name, incoming, false)
	buffered := bufio.NewReader(incoming)
	from, err := mux.Preface(buffered)
	if err != nil || r.awaitLink(from, name) != nil {
		closeConnection(incoming, true)
		return
	}
	outgoing, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		closeConnection(incoming, true)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		r.copyDelayed(io.MultiReader(bytes.NewReader(mux.AppendPreface(nil, from)), buffered), outgoing, from, name)
	})
	wg.Go(func() { r.copyDelayed(outgoing, incoming, name, from) })
	wg.Wait()
}

func closeConnection(connection net.Conn, abrupt bool) {
	if tcp, ok := connection.(*net.TCPConn); ok && abrupt {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// delay returns how long a chunk takes from one machine to another.
func (r *Relay) delay(from, to string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["pieces"]++
	delay := time.Duration(0)
	if r.zones[from] != r.zones[to] {
		delay = r.roundTrip / 2
	}
	for retransmission := retransmitDelay; rand.Float64() < r.loss; retransmission *= 2 {
		r.counts["lost"]++
		delay += retransmission
	}
	return delay
}

// awaitLink waits until the link is not cut.
func (r *Relay) awaitLink(from, to string) error {
	for first := true; ; first = false {
		r.mu.Lock()
		cut, healed := r.cuts[[2]string{from, to}] || r.cuts[[2]string{from, wildcard}] || r.cuts[[2]string{wildcard, to}],
			r.healed
		if cut && first {
			r.counts["cut"]++
		}
		r.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-healed:
		case <-r.ctx.Done():
			return apierror.WithCause(apierror.Stopped, r.ctx.Err(), "from %s to %s", from, to)
		}
	}
}

type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies one direction of a connection. Chunks are delayed, stay in order, and wait
// while the link is cut. When reading from the source fails, chunks in flight are lost and the
// target is reset.
func (r *Relay) copyDelayed(source io.Reader, target net.Conn, from, to string) {
	chunks := make(chan chunk, maxChunks)
	broken := make(chan struct{})
	go func() {
		defer close(chunks)
		b := make([]byte, chunkBytes)
		last := time.Time{}
		for {
			count, err := source.Read(b)
			if due := time.Now().Add(r.delay(from, to)); due.After(last) {
				last = due
			}
			if count > 0 {
				chunks <- chunk{bytes.Clone(b[:count]), last}
			}
			if err == io.EOF {
				return
			}
			if err != nil {
				close(broken)
				return
			}
		}
	}()
	failed := false
	for chunk := range chunks {
		if failed {
			continue
		}
		timer := time.NewTimer(time.Until(chunk.due))
		select {
		case <-timer.C:
		case <-broken:
			failed = true
		}
		timer.Stop()
		if failed = failed || r.awaitLink(from, to) != nil; failed {
			continue
		}
		select {
		case <-broken:
			failed = true
			continue
		default:
		}
		_, err := target.Write(chunk.data)
		failed = err != nil
	}
	_ = r.awaitLink(from, to)
	select {
	case <-broken:
		failed = true
	default:
	}
	closeConnection(target, failed)
}

// Cut blocks the link from one machine to another. The returned function restores it. "*" means all
// machines.
func (r *Relay) Cut(from, to string) func() {
	link := [2]string{from, to}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[link] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cuts, link)
		close(r.healed)
		r.healed = make(chan struct{})
	}
}

// Lose makes all links lose a share of their chunks, which then arrive late, as retransmitted ones
// do. The returned function ends the loss.
func (r *Relay) Lose(share float64) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.loss = 0
	}
}

// Reset resets a share of all connections between machines at once and returns their number.
func (r *Relay) Reset(share float64) int {
	r.mu.Lock()
	var connections []net.Conn
	for _, open := range r.connections {
		for connection := range open {
			if rand.Float64() < share {
				connections = append(connections, connection)
				delete(open, connection)
			}
		}
	}
	r.mu.Unlock()
	for _, connection := range connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
	return len(connections)
}

// Zone lists the machines of a zone, and the others.
func (r *Relay) Zone(zone string) (inside, outside []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, nodeZone := range r.zones {
		if nodeZone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	return inside, outside
}

// Counts returns how many chunks the relay carried, held for a cut and delayed for a loss.
func (r *Relay) Counts() (chunks, cut, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts["pieces"], r.counts["cut"], r.counts["lost"]
}
