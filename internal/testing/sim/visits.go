package sim

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"postjunction/internal/client/session"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/simclient"
)

// Guests are the visitors of a world on line sessions.
type Guests struct {
	w    *World
	Book *deliverycheck.Checker
	Load Load
	Calm atomic.Bool
	// Rested has no visitor stop reading for a while.
	Rested bool
	// Ever has late visitors take cursors of any age.
	Ever    bool
	mu      sync.Mutex
	lines   map[*lineSession]bool
	entered int
	saved   []simclient.Topic
	guests  []*simclient.Client
	sending context.Context
	quiet   context.CancelFunc
	wg      sync.WaitGroup
}

// lineSession is a visitor's end of a connection to a machine, with what is under way on it.
type lineSession struct {
	g    *Guests
	m    *Machine
	run  int
	c    *socket
	hear func(session.Response, time.Time)
	over func()
	once sync.Once
	dead chan struct{}
	mu   sync.Mutex
	in   []byte
	more chan struct{}
	// n counts sessions, so that one can be drawn; a scripted one rests only as it is told.
	n        int
	scripted bool
	// still is until when the visitor does not read.
	still time.Time
}

func ring(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Do sends a task.
func (s *lineSession) Do(t session.Request) {
	b, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.in = append(append(s.in, b...), '\n')
	s.mu.Unlock()
	ring(s.more)
}

// End closes the connection from the visitor's side.
func (s *lineSession) End() { s.cut() }

func (s *lineSession) cut() {
	s.once.Do(func() {
		close(s.dead)
		s.g.mu.Lock()
		delete(s.g.lines, s)
		s.g.mu.Unlock()
	})
}

// Still has the visitor not read for a while.
func (s *lineSession) Still(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.still = time.Now().Add(d)
}

func (s *lineSession) rests() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.still)
}

func (s *lineSession) here() bool {
	s.m.gate()
	_, run := s.m.node()
	return run == s.run
}

func (s *lineSession) way() {
	d := s.g.w.Site.Latency / 2
	s.m.mu.Lock()
	d += s.m.slow
	s.m.mu.Unlock()
	time.Sleep(d)
}

// ask carries what the visitor says.
func (s *lineSession) ask() {
	for {
		select {
		case <-s.more:
		case <-s.dead:
			s.way()
			if s.here() {
				s.c.hang()
			}
			return
		}
		s.way()
		if !s.here() {
			return
		}
		s.mu.Lock()
		b := s.in
		s.in = nil
		s.mu.Unlock()
		s.c.say(b)
	}
}

// listen carries what the visitor is told.
func (s *lineSession) listen() {
	var part []byte
	for {
		select {
		case <-s.c.come:
		case <-s.dead:
			return
		}
		for d := s.rests(); d > 0; d = s.rests() {
			select {
			case <-time.After(d):
			case <-s.dead:
				return
			}
		}
		s.way()
		if !s.here() {
			return
		}
		ps, more := s.c.take()
		for _, p := range ps {
			part = append(part, p.b...)
			for i := bytes.IndexByte(part, '\n'); i >= 0; i = bytes.IndexByte(part, '\n') {
				select {
				case <-s.dead:
					return
				default:
				}
				s.hear(unworded(part[:i]), p.at)
				part = part[i+1:]
			}
		}
		if !more {
			s.over()
			s.cut()
			return
		}
	}
}

func (g *Guests) door(m *Machine) simclient.Endpoint {
	return simclient.Endpoint{Address: m.Opts.ClientListen, Connect: func(hear func(session.Response, time.Time), broken func()) simclient.Line {
		if s := g.connect(m, false, hear, broken); s != nil {
			return s
		}
		return nil
	}}
}

// connect opens a connection to a machine, nil where nobody takes it. A scripted one is never drawn to rest, from its first moment on.
func (g *Guests) connect(m *Machine, scripted bool, hear func(session.Response, time.Time), broken func()) *lineSession {
	sv := m.services()
	p, run := m.visits()
	if p == nil || sv == nil {
		return nil
	}
	c := p.l.dial(newSocket(m, run))
	if c == nil {
		return nil
	}
	s := &lineSession{g: g, m: m, run: run, c: c, hear: hear, over: broken, dead: make(chan struct{}), more: make(chan struct{}, 1), scripted: scripted}
	g.mu.Lock()
	g.entered++
	s.n = g.entered
	g.lines[s] = true
	g.mu.Unlock()
	go s.ask()
	go s.listen()
	go func() {
		select {
		case <-sv.Gone:
			broken()
			s.cut()
		case <-s.dead:
		}
	}()
	return s
}

// Doors gives the access machines that the platform passes visitors to: those that are ready, all when none is.
func (g *Guests) Doors() []simclient.Endpoint {
	var ready, all []simclient.Endpoint
	for _, n := range g.w.Names {
		m := g.w.Machines[n]
		if m.Opts.ClientListen == "" {
			continue
		}
		m.mu.Lock()
		s, froz := m.ports, m.frozen != nil
		m.mu.Unlock()
		all = append(all, g.door(m))
		if s != nil && !froz && s.API.Ready() == nil {
			ready = append(ready, g.door(m))
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}

// Reset breaks a share of all visitors' connections.
func (g *Guests) Reset(share float64) {
	g.w.note("visits reset")
	for _, x := range g.guests {
		if g.w.float() < share {
			x.Move()
		}
	}
}

// Habits are those of the platform's clients.
func Habits() simclient.Habits {
	return simclient.Habits{
		Keepalive: 2 * time.Second, Answer: 1500 * time.Millisecond, Longest: 2 * time.Second, Deadline: 6 * time.Second,
		Change: 20 * time.Second, Away: 30 * time.Second, Count: 10 * time.Second, Absence: 10 * time.Second,
		Keyed: 0.2, Keys: 2, Withdraw: 10 * time.Second, Forget: 20 * time.Second,
	}
}

// Guests lets n visitors in, who follow some of the load's topics each and send on two.
func (w *World) Guests(n int, l Load) *Guests {
	g := &Guests{w: w, Book: deliverycheck.New(w.Site.Bounds.Keeping, 3*w.Site.Bounds.Spread), Load: l, lines: map[*lineSession]bool{}}
	g.sending, g.quiet = context.WithCancel(w.ctx)
	g.Rested = l.Rested
	g.wg.Go(g.rest)
	for i := range n {
		r := rand.New(rand.NewPCG(w.Seed, uint64(i)+1000))
		x := &simclient.Client{Name: fmt.Sprintf("g%d", i), Habits: Habits(), Rand: r}
		if l.Habits != nil {
			l.Habits(&x.Habits)
		}
		for _, k := range r.Perm(l.Topics)[:min(l.Topics, 4+r.IntN(4))] {
			x.Follow = append(x.Follow, simclient.Topic{Name: fmt.Sprintf("kept/t%d", k), Kept: true})
		}
		if l.LiveTopics > 0 && i%2 == 0 {
			t := fmt.Sprintf("live/l%d", r.IntN(l.LiveTopics))
			x.Follow = append(x.Follow, simclient.Topic{Name: t})
			x.Lanes = append(x.Lanes, simclient.Lane{Topic: t, Width: 1, Every: 2 * l.Every})
		}
		for k := range 2 {
			width := 1
			if i%4 == 0 && k == 0 {
				width = 8
			}
			x.Lanes = append(x.Lanes, simclient.Lane{Topic: fmt.Sprintf("kept/t%d", (i+k*7)%max(1, l.Topics)), Width: width, Every: l.Every / time.Duration(width)})
		}
		x.Saved = func(t simclient.Topic) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.saved = append(g.saved, t)
		}
		g.enter(x)
	}
	return g
}

const (
	restEvery = 500 * time.Millisecond
	restMost  = 4 * time.Second
)

// rest has one visitor after the other not read for a while, so that bytes wait for them.
func (g *Guests) rest() {
	r := rand.New(rand.NewPCG(g.w.Seed, 31))
	for (clock.Real{}).Sleep(g.sending, restEvery) == nil && !g.rested() {
		g.draw(r)
	}
}

func (g *Guests) rested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Rested
}

func (g *Guests) draw(r *rand.Rand) {
	g.mu.Lock()
	var ss []*lineSession
	for s := range g.lines {
		if !s.scripted {
			ss = append(ss, s)
		}
	}
	g.mu.Unlock()
	slices.SortFunc(ss, func(a, b *lineSession) int { return cmp.Compare(a.n, b.n) })
	if len(ss) > 0 {
		ss[r.IntN(len(ss))].Still(time.Duration(r.Int64N(int64(restMost))))
	}
}

func (g *Guests) enter(x *simclient.Client) {
	x.Endpoints, x.Checker, x.Calm = g.Doors, g.Book, g.Calm.Load
	g.guests = append(g.guests, x)
	g.wg.Go(func() { x.Run(g.w.ctx, g.sending) })
}

// Late lets visitors in who take up cursors given to others since a moment.
func (g *Guests) Late(n int, since time.Time) {
	g.mu.Lock()
	var ts []simclient.Topic
	for _, t := range g.saved {
		if g.Ever || t.Given.After(since) {
			ts = append(ts, t)
		}
	}
	g.mu.Unlock()
	h := Habits()
	h.Change, h.Away, h.Count = 0, 0, 0
	for i := range n {
		x := &simclient.Client{Name: fmt.Sprintf("late%d", i), Habits: h, Rand: rand.New(rand.NewPCG(g.w.Seed, uint64(i)+5000))}
		seen := map[string]bool{}
		for range 5 {
			if len(ts) == 0 {
				break
			}
			if t := ts[x.Rand.IntN(len(ts))]; !seen[t.Name] {
				seen[t.Name] = true
				x.Follow = append(x.Follow, t)
			}
		}
		if len(x.Follow) > 0 {
			g.enter(x)
		}
	}
}

// Meddler draws what happens to each message of the exchange by which nodes follow topics.
func Meddler(seed uint64, share float64) func(Point) Meddle {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 77))
	return func(p Point) Meddle {
		if p.Path != router.Follow.Path && p.Path != router.Poll.Path {
			return Meddle{}
		}
		mu.Lock()
		defer mu.Unlock()
		if r.Float64() > share {
			return Meddle{}
		}
		switch r.IntN(3) {
		case 0:
			return Meddle{Lose: true}
		case 1:
			return Meddle{Again: time.Duration(1 + r.IntN(int(6*time.Second)))}
		default:
			return Meddle{Late: time.Duration(r.IntN(int(time.Second)))}
		}
	}
}
