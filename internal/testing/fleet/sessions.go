package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/settings"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/sim"
	"postjunction/internal/testing/simclient"
)

// Sessions are simulated clients on client sessions of a fleet. They send under keys and withdraw.
type Sessions struct {
	Checker   *deliverycheck.Checker
	fleet     *Fleet
	ctx       context.Context
	sendCtx   context.Context
	stop      context.CancelFunc
	stopSends context.CancelFunc
	wg        sync.WaitGroup
}

// maxReadDelay is how long bytes may take from the node's socket to the simulated client, which
// can't see when the socket accepted them.
const maxReadDelay = 500 * time.Millisecond

// lineRequest is a request of the line protocol.
type lineRequest struct {
	Verb           session.Verb `json:"verb"`
	Client         string       `json:"visitor,omitempty"`
	Topic          string       `json:"topic,omitempty"`
	Cursor         string       `json:"cursor,omitempty"`
	CallSeq        uint64       `json:"call_seq,omitempty"`
	Body           *string      `json:"body,omitempty"`
	Key            string       `json:"key,omitempty"`
	WithdrawSender string       `json:"of,omitempty"`
	WithdrawUpTo   uint64       `json:"upto,omitempty"`
}

// lineResponse is a response of the line protocol.
type lineResponse struct {
	Type      session.ResponseType `json:"what"`
	InReplyTo session.Verb         `json:"re"`
	Topic     string               `json:"topic"`
	From      string               `json:"from"`
	CallSeq   uint64               `json:"call_seq"`
	Cursor    string               `json:"cursor"`
	Key       string               `json:"key"`
	Count     int                  `json:"count"`
	Body      string               `json:"body"`
	Address   string               `json:"address"`
	Code      apierror.Code        `json:"code"`
	Message   string               `json:"say"`
}

func (r lineResponse) response() session.Response {
	response := session.Response{Type: r.Type, InReplyTo: r.InReplyTo, Topic: r.Topic, From: r.From, CallSeq: r.CallSeq,
		Cursor: r.Cursor, Key: r.Key, Count: r.Count, Body: []byte(r.Body), Address: r.Address}
	if r.Code != "" {
		response.Err = &apierror.Error{Code: r.Code, Message: r.Message}
	}
	return response
}

// connection is a connection to a node. Requests are buffered until they are written.
type connection struct {
	socket net.Conn
	// mu guards output.
	mu          sync.Mutex
	output      []byte
	outputReady chan struct{}
	ended       chan struct{}
	once        sync.Once
}

// Do sends a request.
func (c *connection) Do(request session.Request) {
	encoded := lineRequest{Verb: request.Verb, Client: request.Client, Topic: request.Topic, Cursor: request.Cursor,
		CallSeq: request.CallSeq, Key: request.Key, WithdrawSender: request.WithdrawSender,
		WithdrawUpTo: request.WithdrawUpTo}
	if request.Verb == session.Send {
		body := string(request.Body)
		encoded.Body = &body
	}
	b, err := json.Marshal(encoded)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.output = append(append(c.output, b...), '\n')
	c.mu.Unlock()
	select {
	case c.outputReady <- struct{}{}:
	default:
	}
}

// End closes the connection.
func (c *connection) End() {
	c.once.Do(func() {
		close(c.ended)
		_ = c.socket.Close()
	})
}

func (c *connection) write() {
	for {
		select {
		case <-c.outputReady:
		case <-c.ended:
			return
		}
		c.mu.Lock()
		b := c.output
		c.output = nil
		c.mu.Unlock()
		if _, err := c.socket.Write(b); err != nil {
			return
		}
	}
}

func (c *connection) read(onResponse func(session.Response, time.Time), onBroken func()) {
	defer c.End()
	defer onBroken()
	reader := bufio.NewReader(c.socket)
	for {
		b, err := reader.ReadBytes('\n')
		now := time.Now()
		if err != nil {
			return
		}
		var response lineResponse
		if err := json.Unmarshal(b, &response); err != nil {
			onResponse(session.Response{Type: session.ResponseType(fmt.Sprintf("%.200s: %v", b, err))}, now)
			return
		}
		if response.Type == session.Message {
			now = now.Add(-maxReadDelay)
		}
		onResponse(response.response(), now)
	}
}

func (s *Sessions) endpoints() (endpoints []simclient.Endpoint) {
	for _, process := range s.fleet.Processes {
		if process.Opts.ClientListen == "" || !s.fleet.isReady(process.Name) {
			continue
		}
		endpoints = append(endpoints, s.endpoint(process))
	}
	if len(endpoints) > 0 {
		return endpoints
	}
	for _, process := range s.fleet.Processes {
		if process.Opts.ClientListen != "" {
			endpoints = append(endpoints, s.endpoint(process))
		}
	}
	return endpoints
}

func (s *Sessions) endpoint(process *Process) simclient.Endpoint {
	return simclient.Endpoint{Address: process.Opts.ClientListen,
		Connect: func(onResponse func(session.Response, time.Time), onBroken func()) simclient.Connection {
			socket, err := (&net.Dialer{Timeout: time.Second}).DialContext(s.ctx, "tcp", process.Opts.ClientListen)
			if err != nil {
				return nil
			}
			connection := &connection{socket: socket, outputReady: make(chan struct{}, 1), ended: make(chan struct{})}
			s.wg.Go(connection.write)
			s.wg.Go(func() { connection.read(onResponse, onBroken) })
			context.AfterFunc(s.ctx, connection.End)
			return connection
		}}
}

// ignoresMovesOneIn is how many clients there are for each that uses its connection until it ends.
const ignoresMovesOneIn = 2

// StartSessions starts count clients, which follow and send on topics of a load until Stop. If the
// load has topics for sessions alone, these are used. One of two clients ignores advice to move.
func (f *Fleet) StartSessions(ctx context.Context, count int, load sim.Load, seed uint64) *Sessions {
	timing := settings.DefaultTiming
	sessions := &Sessions{Checker: deliverycheck.New(timing.Keeping, 3*timing.Spread), fleet: f}
	sessions.ctx, sessions.stop = context.WithCancel(ctx)
	sessions.sendCtx, sessions.stopSends = context.WithCancel(sessions.ctx)
	topic, topics := "kept/t%d", load.Topics
	if load.SessionTopics > 0 {
		topic, topics = "kept/v%d", load.SessionTopics
	}
	for i := range count {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		client := &simclient.Client{Name: fmt.Sprintf("g%d", i), Habits: sim.Habits(), Rand: rng,
			Endpoints: sessions.endpoints, Checker: sessions.Checker, Calm: func() bool { return false }}
		client.Habits.WithdrawInterval = 3 * time.Second
		client.Habits.IgnoresMoves = i%ignoresMovesOneIn == 0
		for _, topicIndex := range rng.Perm(topics)[:min(topics, 3+rng.IntN(3))] {
			client.Follow = append(client.Follow, simclient.Topic{Name: fmt.Sprintf(topic, topicIndex), Retained: true})
		}
		for k := range 2 {
			client.SendTopics = append(client.SendTopics, simclient.SendTopic{Topic: fmt.Sprintf(topic, (i+7*k)%topics),
				Window: 1 + 3*(i%2), Interval: load.SendInterval / time.Duration(1+3*(i%2))})
		}
		sessions.wg.Go(func() { client.Run(sessions.ctx, sessions.sendCtx) })
	}
	return sessions
}

// Stop stops the senders, waits until clients have caught up, disconnects them, and checks what
// they received.
func (s *Sessions) Stop(wait time.Duration) (deliverycheck.Tally, []deliverycheck.Violation) {
	cut := time.Now()
	s.stopSends()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
	s.stop()
	s.wg.Wait()
	return s.Checker.Judge(cut)
}

func (f *Fleet) isReady(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready[name]
}
