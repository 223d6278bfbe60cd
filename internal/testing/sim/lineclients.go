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

// LineClients are the visitors of a world on line sessions.
type LineClients struct {
	world   *World
	Checker *deliverycheck.Checker
	Load    Load
	Calm    atomic.Bool
	// Rested has no visitor stop reading for a while.
	Rested bool
	// Ever has late visitors take cursors of any age.
	Ever    bool
	mu      sync.Mutex
	lines   map[*lineSession]bool
	entered int
	saved   []simclient.Topic
	clients []*simclient.Client
	sending context.Context
	quiet   context.CancelFunc
	wg      sync.WaitGroup
}

// lineSession is a visitor's end of a connection to a machine, with what is under way on it.
type lineSession struct {
	clients *LineClients
	m       *Machine
	run     int
	c       *socket
	receive func(session.Response, time.Time)
	over    func()
	once    sync.Once
	dead    chan struct{}
	mu      sync.Mutex
	in      []byte
	more    chan struct{}
	// n counts sessions, so that one can be drawn; a scripted one rests only as it is told.
	n        int
	scripted bool
	// pausedUntil is until when the visitor does not read.
	pausedUntil time.Time
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
		s.clients.mu.Lock()
		delete(s.clients.lines, s)
		s.clients.mu.Unlock()
	})
}

// Pause has the visitor not read for a while.
func (s *lineSession) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

func (s *lineSession) pausesFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.pausedUntil)
}

func (s *lineSession) isConnected() bool {
	s.m.gate()
	_, run := s.m.node()
	return run == s.run
}

func (s *lineSession) way() {
	d := s.clients.world.Site.Latency / 2
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
			if s.isConnected() {
				s.c.hang()
			}
			return
		}
		s.way()
		if !s.isConnected() {
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
		for d := s.pausesFor(); d > 0; d = s.pausesFor() {
			select {
			case <-time.After(d):
			case <-s.dead:
				return
			}
		}
		s.way()
		if !s.isConnected() {
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
				s.receive(parseResponse(part[:i]), p.at)
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

func (g *LineClients) endpoint(m *Machine) simclient.Endpoint {
	return simclient.Endpoint{Address: m.Opts.ClientListen,
		Connect: func(hear func(session.Response, time.Time), broken func()) simclient.Connection {
			if s := g.connect(m, false, hear, broken); s != nil {
				return s
			}
			return nil
		}}
}

// connect opens a connection to a machine, nil where nobody takes it. A scripted one is never drawn
// to rest, from its first moment on.
func (g *LineClients) connect(m *Machine, scripted bool, hear func(session.Response, time.Time),
	broken func()) *lineSession {
	sv := m.services()
	p, run := m.lines()
	if p == nil || sv == nil {
		return nil
	}
	c := p.l.dial(newSocket(m, run))
	if c == nil {
		return nil
	}
	s := &lineSession{clients: g, m: m, run: run, c: c, receive: hear, over: broken, dead: make(chan struct{}),
		more: make(chan struct{}, 1), scripted: scripted}
	g.mu.Lock()
	g.entered++
	s.n = g.entered
	g.lines[s] = true
	g.mu.Unlock()
	go s.ask()
	go s.listen()
	go func() {
		select {
		case <-sv.Ended:
			broken()
			s.cut()
		case <-s.dead:
		}
	}()
	return s
}

// Endpoints gives the access machines that the platform passes visitors to: those that are ready,
// all when none is.
func (g *LineClients) Endpoints() []simclient.Endpoint {
	var ready, all []simclient.Endpoint
	for _, n := range g.world.Names {
		m := g.world.Machines[n]
		if m.Opts.ClientListen == "" {
			continue
		}
		m.mu.Lock()
		s, froz := m.ports, m.frozen != nil
		m.mu.Unlock()
		all = append(all, g.endpoint(m))
		if s != nil && !froz && s.API.Ready() == nil {
			ready = append(ready, g.endpoint(m))
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}

// Reset breaks a share of all visitors' connections.
func (g *LineClients) Reset(share float64) {
	g.world.note("visits reset")
	for _, x := range g.clients {
		if g.world.float() < share {
			x.Move()
		}
	}
}

// Habits are those of the platform's clients.
func Habits() simclient.Habits {
	return simclient.Habits{
		Keepalive: 2 * time.Second, ResponseTimeout: 1500 * time.Millisecond, SubscribeTimeout: 2 * time.Second,
		Deadline:       6 * time.Second,
		ChangeInterval: 20 * time.Second, AwayInterval: 30 * time.Second, CountInterval: 10 * time.Second,
		MaxAbsence:    10 * time.Second,
		KeyedFraction: 0.2, Keys: 2, WithdrawInterval: 10 * time.Second, WithdrawTimeout: 20 * time.Second,
	}
}

// StartLineClients lets n visitors in, who follow some of the load's topics each and send on two.
func (w *World) StartLineClients(n int, l Load) *LineClients {
	g := &LineClients{world: w, Checker: deliverycheck.New(w.Site.Timing.Keeping, 3*w.Site.Timing.Spread), Load: l,
		lines: map[*lineSession]bool{}}
	g.sending, g.quiet = context.WithCancel(w.ctx)
	g.Rested = l.Rested
	g.wg.Go(g.pause)
	for i := range n {
		r := rand.New(rand.NewPCG(w.Seed, uint64(i)+1000))
		x := &simclient.Client{Name: fmt.Sprintf("g%d", i), Habits: Habits(), Rand: r}
		if l.Habits != nil {
			l.Habits(&x.Habits)
		}
		for _, k := range r.Perm(l.Topics)[:min(l.Topics, 4+r.IntN(4))] {
			x.Follow = append(x.Follow, simclient.Topic{Name: fmt.Sprintf("kept/t%d", k), Retained: true})
		}
		if l.LiveTopics > 0 && i%2 == 0 {
			t := fmt.Sprintf("live/l%d", r.IntN(l.LiveTopics))
			x.Follow = append(x.Follow, simclient.Topic{Name: t})
			x.SendTopics = append(x.SendTopics, simclient.SendTopic{Topic: t, Window: 1, Interval: 2 * l.Every})
		}
		for k := range 2 {
			width := 1
			if i%4 == 0 && k == 0 {
				width = 8
			}
			x.SendTopics = append(x.SendTopics, simclient.SendTopic{Topic: fmt.Sprintf("kept/t%d", (i+k*7)%max(1, l.Topics)),
				Window: width, Interval: l.Every / time.Duration(width)})
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
	pauseInterval = 500 * time.Millisecond
	maxPause      = 4 * time.Second
)

// pause has one visitor after the other not read for a while, so that bytes wait for them.
func (g *LineClients) pause() {
	r := rand.New(rand.NewPCG(g.world.Seed, 31))
	for (clock.Real{}).Sleep(g.sending, pauseInterval) == nil && !g.isPaused() {
		g.draw(r)
	}
}

func (g *LineClients) isPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Rested
}

func (g *LineClients) draw(r *rand.Rand) {
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
		ss[r.IntN(len(ss))].Pause(time.Duration(r.Int64N(int64(maxPause))))
	}
}

func (g *LineClients) enter(x *simclient.Client) {
	x.Endpoints, x.Checker, x.Calm = g.Endpoints, g.Checker, g.Calm.Load
	g.clients = append(g.clients, x)
	g.wg.Go(func() { x.Run(g.world.ctx, g.sending) })
}

// Late lets visitors in who take up cursors given to others since a moment.
func (g *LineClients) Late(n int, since time.Time) {
	g.mu.Lock()
	var ts []simclient.Topic
	for _, t := range g.saved {
		if g.Ever || t.Given.After(since) {
			ts = append(ts, t)
		}
	}
	g.mu.Unlock()
	h := Habits()
	h.ChangeInterval, h.AwayInterval, h.CountInterval = 0, 0, 0
	for i := range n {
		x := &simclient.Client{Name: fmt.Sprintf("late%d", i), Habits: h,
			Rand: rand.New(rand.NewPCG(g.world.Seed, uint64(i)+5000))}
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

// RandomCallFaults draws what happens to each message of the exchange by which nodes follow topics.
func RandomCallFaults(seed uint64, share float64) func(Point) CallFault {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 77))
	return func(p Point) CallFault {
		if p.Path != router.Follow.Path && p.Path != router.Poll.Path {
			return CallFault{}
		}
		mu.Lock()
		defer mu.Unlock()
		if r.Float64() > share {
			return CallFault{}
		}
		switch r.IntN(3) {
		case 0:
			return CallFault{Lose: true}
		case 1:
			return CallFault{Duplicate: time.Duration(1 + r.IntN(int(6*time.Second)))}
		default:
			return CallFault{Delay: time.Duration(r.IntN(int(time.Second)))}
		}
	}
}
