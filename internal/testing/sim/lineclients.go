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

// LineClients are the simulated clients of a world that use line sessions.
type LineClients struct {
	world   *World
	Checker *deliverycheck.Checker
	Load    Load
	// Calm is set once the fleet has been without faults for a while.
	Calm atomic.Bool
	// NoPauses keeps every client reading without pauses.
	NoPauses bool
	// AnyCursorAge lets late clients resume from cursors of any age.
	AnyCursorAge bool
	// mu guards NoPauses, sessions, sessionCount and savedCursors.
	mu           sync.Mutex
	sessions     map[*lineSession]bool
	sessionCount int
	savedCursors []simclient.Topic
	clients      []*simclient.Client
	sendCtx      context.Context
	stopSending  context.CancelFunc
	wg           sync.WaitGroup
}

// lineSession is a client's end of a connection to a machine, with the data in flight on it.
type lineSession struct {
	clients    *LineClients
	machine    *Machine
	run        int
	conn       *socket
	onResponse func(session.Response, time.Time)
	onBroken   func()
	once       sync.Once
	closed     chan struct{}
	// mu guards outgoing and pausedUntil.
	mu            sync.Mutex
	outgoing      []byte
	outgoingReady chan struct{}
	// number orders the sessions, so that a random choice depends on the seed alone. A scripted
	// session pauses only when its script says so.
	number   int
	scripted bool
	// pausedUntil is the time until which the client does not read.
	pausedUntil time.Time
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Do sends a request.
func (s *lineSession) Do(request session.Request) {
	encoded, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.outgoing = append(append(s.outgoing, encoded...), '\n')
	s.mu.Unlock()
	signal(s.outgoingReady)
}

// End closes the connection from the client's side.
func (s *lineSession) End() { s.disconnect() }

func (s *lineSession) disconnect() {
	s.once.Do(func() {
		close(s.closed)
		s.clients.mu.Lock()
		delete(s.clients.sessions, s)
		s.clients.mu.Unlock()
	})
}

// Pause stops the client from reading for a while.
func (s *lineSession) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

func (s *lineSession) pauseLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.pausedUntil)
}

func (s *lineSession) isConnected() bool {
	s.machine.waitWhileFrozen()
	_, run := s.machine.node()
	return run == s.run
}

func (s *lineSession) waitLatency() {
	d := s.clients.world.Site.Latency / 2
	s.machine.mu.Lock()
	d += s.machine.sendDelay
	s.machine.mu.Unlock()
	time.Sleep(d)
}

// sendLoop passes what the client sends to the server after the link's latency.
func (s *lineSession) sendLoop() {
	for {
		select {
		case <-s.outgoingReady:
		case <-s.closed:
			s.waitLatency()
			if s.isConnected() {
				s.conn.closeFromClient()
			}
			return
		}
		s.waitLatency()
		if !s.isConnected() {
			return
		}
		s.mu.Lock()
		data := s.outgoing
		s.outgoing = nil
		s.mu.Unlock()
		s.conn.deliver(data)
	}
}

// receiveLoop passes each response to the client after the link's latency. It waits while the
// client's reading is paused.
func (s *lineSession) receiveLoop() {
	var buffer []byte
	for {
		select {
		case <-s.conn.outputReady:
		case <-s.closed:
			return
		}
		for d := s.pauseLeft(); d > 0; d = s.pauseLeft() {
			select {
			case <-time.After(d):
			case <-s.closed:
				return
			}
		}
		s.waitLatency()
		if !s.isConnected() {
			return
		}
		chunks, more := s.conn.drain()
		for _, chunk := range chunks {
			buffer = append(buffer, chunk.data...)
			for i := bytes.IndexByte(buffer, '\n'); i >= 0; i = bytes.IndexByte(buffer, '\n') {
				select {
				case <-s.closed:
					return
				default:
				}
				s.onResponse(parseResponse(buffer[:i]), chunk.writtenAt)
				buffer = buffer[i+1:]
			}
		}
		if !more {
			s.onBroken()
			s.disconnect()
			return
		}
	}
}

func (c *LineClients) endpoint(m *Machine) simclient.Endpoint {
	return simclient.Endpoint{Address: m.Opts.ClientListen,
		Connect: func(onResponse func(session.Response, time.Time), onBroken func()) simclient.Connection {
			if s := c.connect(m, false, onResponse, onBroken); s != nil {
				return s
			}
			return nil
		}}
}

// connect opens a connection to a machine. It returns nil if no process accepts it. A scripted
// session is marked before it is added to the sessions, so that pauseOne never chooses it.
func (c *LineClients) connect(m *Machine, scripted bool, onResponse func(session.Response, time.Time),
	onBroken func()) *lineSession {
	services := m.services()
	lines, run := m.currentLineServer()
	if lines == nil || services == nil {
		return nil
	}
	conn := lines.listener.dial(newSocket(m, run))
	if conn == nil {
		return nil
	}
	s := &lineSession{clients: c, machine: m, run: run, conn: conn, onResponse: onResponse, onBroken: onBroken,
		closed: make(chan struct{}), outgoingReady: make(chan struct{}, 1), scripted: scripted}
	c.mu.Lock()
	c.sessionCount++
	s.number = c.sessionCount
	c.sessions[s] = true
	c.mu.Unlock()
	go s.sendLoop()
	go s.receiveLoop()
	go func() {
		select {
		case <-services.Ended:
			onBroken()
			s.disconnect()
		case <-s.closed:
		}
	}()
	return s
}

// Endpoints returns the access machines that the platform routes clients to: those that are ready,
// or all when none is.
func (c *LineClients) Endpoints() []simclient.Endpoint {
	var ready, all []simclient.Endpoint
	for _, n := range c.world.Names {
		m := c.world.Machines[n]
		if m.Opts.ClientListen == "" {
			continue
		}
		m.mu.Lock()
		services, frozen := m.serving, m.frozen != nil
		m.mu.Unlock()
		all = append(all, c.endpoint(m))
		if services != nil && !frozen && services.API.Ready() == nil {
			ready = append(ready, c.endpoint(m))
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}

// Reset moves a share of all clients to new connections.
func (c *LineClients) Reset(share float64) {
	c.world.recordDisturbance("visits reset")
	for _, client := range c.clients {
		if c.world.randomFloat() < share {
			client.Move()
		}
	}
}

// Habits returns the timing of the platform's clients.
func Habits() simclient.Habits {
	return simclient.Habits{
		Keepalive: 2 * time.Second, ResponseTimeout: 1500 * time.Millisecond, SubscribeTimeout: 2 * time.Second,
		Deadline:       6 * time.Second,
		ChangeInterval: 20 * time.Second, AwayInterval: 30 * time.Second, CountInterval: 10 * time.Second,
		MaxAbsence:    10 * time.Second,
		KeyedFraction: 0.2, Keys: 2, WithdrawInterval: 10 * time.Second, WithdrawTimeout: 20 * time.Second,
	}
}

// StartLineClients starts a number of clients. Each subscribes to some of the load's topics and
// sends on two.
func (w *World) StartLineClients(count int, load Load) *LineClients {
	clients := &LineClients{world: w,
		Checker: deliverycheck.New(w.Site.Timing.Keeping, 3*w.Site.Timing.Spread), Load: load,
		sessions: map[*lineSession]bool{}}
	clients.sendCtx, clients.stopSending = context.WithCancel(w.ctx)
	clients.NoPauses = load.NoPauses
	clients.wg.Go(clients.pauseClients)
	for i := range count {
		r := rand.New(rand.NewPCG(w.Seed, uint64(i)+1000))
		client := &simclient.Client{Name: fmt.Sprintf("g%d", i), Habits: Habits(), Rand: r}
		if load.Habits != nil {
			load.Habits(&client.Habits)
		}
		for _, topicIndex := range r.Perm(load.Topics)[:min(load.Topics, 4+r.IntN(4))] {
			client.Follow = append(client.Follow, simclient.Topic{Name: fmt.Sprintf("kept/t%d", topicIndex), Retained: true})
		}
		if load.LiveTopics > 0 && i%2 == 0 {
			topic := fmt.Sprintf("live/l%d", r.IntN(load.LiveTopics))
			client.Follow = append(client.Follow, simclient.Topic{Name: topic})
			client.SendTopics = append(client.SendTopics, simclient.SendTopic{Topic: topic, Window: 1, Interval: 2 * load.SendInterval})
		}
		for index := range 2 {
			window := 1
			if i%4 == 0 && index == 0 {
				window = 8
			}
			client.SendTopics = append(client.SendTopics, simclient.SendTopic{Topic: fmt.Sprintf("kept/t%d", (i+index*7)%max(1, load.Topics)),
				Window: window, Interval: load.SendInterval / time.Duration(window)})
		}
		client.Saved = func(topic simclient.Topic) {
			clients.mu.Lock()
			defer clients.mu.Unlock()
			clients.savedCursors = append(clients.savedCursors, topic)
		}
		clients.startClient(client)
	}
	return clients
}

const (
	pauseInterval = 500 * time.Millisecond
	maxPause      = 4 * time.Second
)

// pauseClients pauses the reading of one client after another, so that bytes queue up for them.
func (c *LineClients) pauseClients() {
	r := rand.New(rand.NewPCG(c.world.Seed, 31))
	for (clock.Real{}).Sleep(c.sendCtx, pauseInterval) == nil && !c.pausesDisabled() {
		c.pauseOne(r)
	}
}

func (c *LineClients) pausesDisabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.NoPauses
}

func (c *LineClients) pauseOne(r *rand.Rand) {
	c.mu.Lock()
	var sessions []*lineSession
	for s := range c.sessions {
		if !s.scripted {
			sessions = append(sessions, s)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(sessions, func(a, b *lineSession) int { return cmp.Compare(a.number, b.number) })
	if len(sessions) > 0 {
		sessions[r.IntN(len(sessions))].Pause(time.Duration(r.Int64N(int64(maxPause))))
	}
}

func (c *LineClients) startClient(client *simclient.Client) {
	client.Endpoints, client.Checker, client.Calm = c.Endpoints, c.Checker, c.Calm.Load
	c.clients = append(c.clients, client)
	c.wg.Go(func() { client.Run(c.world.ctx, c.sendCtx) })
}

// StartLate starts clients that resume from cursors that other clients were given after a time.
func (c *LineClients) StartLate(count int, since time.Time) {
	c.mu.Lock()
	var cursors []simclient.Topic
	for _, topic := range c.savedCursors {
		if c.AnyCursorAge || topic.GivenAt.After(since) {
			cursors = append(cursors, topic)
		}
	}
	c.mu.Unlock()
	habits := Habits()
	habits.ChangeInterval, habits.AwayInterval, habits.CountInterval = 0, 0, 0
	for i := range count {
		client := &simclient.Client{Name: fmt.Sprintf("late%d", i), Habits: habits,
			Rand: rand.New(rand.NewPCG(c.world.Seed, uint64(i)+5000))}
		seen := map[string]bool{}
		for range 5 {
			if len(cursors) == 0 {
				break
			}
			if topic := cursors[client.Rand.IntN(len(cursors))]; !seen[topic.Name] {
				seen[topic.Name] = true
				client.Follow = append(client.Follow, topic)
			}
		}
		if len(client.Follow) > 0 {
			c.startClient(client)
		}
	}
}

// RandomCallFaults returns a function that draws faults from a seed for a share of the calls by
// which nodes follow topics.
func RandomCallFaults(seed uint64, share float64) func(CallPoint) CallFault {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 77))
	return func(p CallPoint) CallFault {
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
