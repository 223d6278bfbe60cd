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
	retransmit = 200 * time.Millisecond
	all        = "*"
	pieceBytes = 32 << 10
	maxPieces  = 64
)

// Relay stands between the processes of a fleet: it makes zones stand apart and links go wrong,
// without touching a process.
type Relay struct {
	roundTrip time.Duration
	mu        sync.Mutex
	zones     map[string]string
	cuts      map[[2]string]bool
	loss      float64
	conns     map[string]map[net.Conn]bool
	healed    chan struct{}
	listeners []net.Listener
	ctx       context.Context
	stop      func()
	moved     map[string]uint64
}

func newRelay(apart time.Duration) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{ctx: ctx, stop: stop, healed: make(chan struct{}), roundTrip: apart, zones: map[string]string{},
		cuts: map[[2]string]bool{}, conns: map[string]map[net.Conn]bool{}, moved: map[string]uint64{}}
}

// serve opens the address under which the others reach a machine.
func (r *Relay) serve(name, zone, to string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", apierror.Wrap(apierror.Internal, err, "relay to %s", name)
	}
	r.mu.Lock()
	r.zones[name], r.conns[name] = zone, map[net.Conn]bool{}
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.carry(name, to, c)
		}
	}()
	return l.Addr().String(), nil
}

func (r *Relay) close() {
	r.stop()
	r.mu.Lock()
	ls := r.listeners
	r.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	r.Reset(1)
}

func (r *Relay) track(name string, c net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[name][c] = true
		return
	}
	delete(r.conns[name], c)
}

// carry carries a connection to a machine; who opened it stands at its beginning.
func (r *Relay) carry(name, to string, a net.Conn) {
	r.track(name, a, true)
	defer r.track(name, a, false)
	in := bufio.NewReader(a)
	from, err := mux.Preface(in)
	if err != nil || r.open(from, name) != nil {
		end(a, true)
		return
	}
	b, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		end(a, true)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.way(io.MultiReader(bytes.NewReader(mux.AppendPreface(nil, from)), in), b, from, name) })
	wg.Go(func() { r.way(b, a, name, from) })
	wg.Wait()
}

func end(c net.Conn, abrupt bool) {
	if t, ok := c.(*net.TCPConn); ok && abrupt {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// delay tells how long a piece takes from one machine to another.
func (r *Relay) delay(from, to string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved["pieces"]++
	d := time.Duration(0)
	if r.zones[from] != r.zones[to] {
		d = r.roundTrip / 2
	}
	for k := retransmit; rand.Float64() < r.loss; k *= 2 {
		r.moved["lost"]++
		d += k
	}
	return d
}

// open waits until the link is not cut.
func (r *Relay) open(from, to string) error {
	for first := true; ; first = false {
		r.mu.Lock()
		cut, c := r.cuts[[2]string{from, to}] || r.cuts[[2]string{from, all}] || r.cuts[[2]string{all, to}], r.healed
		if cut && first {
			r.moved["cut"]++
		}
		r.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-c:
		case <-r.ctx.Done():
			return apierror.WithCause(apierror.Stopped, r.ctx.Err(), "from %s to %s", from, to)
		}
	}
}

type piece struct {
	b   []byte
	due time.Time
}

// way is one direction of a connection: pieces take their time, keep their order, and stand still
// while the link is cut. When one side breaks off, what is still under way is lost.
func (r *Relay) way(in io.Reader, out net.Conn, from, to string) {
	c := make(chan piece, maxPieces)
	broke := make(chan struct{})
	go func() {
		defer close(c)
		b := make([]byte, pieceBytes)
		last := time.Time{}
		for {
			n, err := in.Read(b)
			if due := time.Now().Add(r.delay(from, to)); due.After(last) {
				last = due
			}
			if n > 0 {
				c <- piece{bytes.Clone(b[:n]), last}
			}
			if err == io.EOF {
				return
			}
			if err != nil {
				close(broke)
				return
			}
		}
	}()
	dead := false
	for p := range c {
		if dead {
			continue
		}
		t := time.NewTimer(time.Until(p.due))
		select {
		case <-t.C:
		case <-broke:
			dead = true
		}
		t.Stop()
		if dead = dead || r.open(from, to) != nil; dead {
			continue
		}
		select {
		case <-broke:
			dead = true
			continue
		default:
		}
		_, err := out.Write(p.b)
		dead = err != nil
	}
	_ = r.open(from, to)
	select {
	case <-broke:
		dead = true
	default:
	}
	end(out, dead)
}

// Cut stops what goes from one machine to another; the function mends it. A star stands for all.
func (r *Relay) Cut(from, to string) func() {
	k := [2]string{from, to}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[k] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cuts, k)
		close(r.healed)
		r.healed = make(chan struct{})
	}
}

// Lose makes all links lose a share of what they carry; what is lost comes late.
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

// Reset breaks a share of all connections between machines at once, and leaves the processes alone.
func (r *Relay) Reset(share float64) int {
	r.mu.Lock()
	var cs []net.Conn
	for _, m := range r.conns {
		for c := range m {
			if rand.Float64() < share {
				cs = append(cs, c)
				delete(m, c)
			}
		}
	}
	r.mu.Unlock()
	for _, c := range cs {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return len(cs)
}

// Zone lists the machines of a zone, and the others.
func (r *Relay) Zone(z string) (in, out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, x := range r.zones {
		if x == z {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

// Counts gives how many pieces the relay carried, held for a cut and delayed for a loss.
func (r *Relay) Counts() (pieces, cut, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved["pieces"], r.moved["cut"], r.moved["lost"]
}
