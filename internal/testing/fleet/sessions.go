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

// Sessions are visitors on line sessions of a fleet, who carry keys and withdraw.
type Sessions struct {
	Checker *deliverycheck.Checker
	fleet   *Fleet
	ctx     context.Context
	sends   context.Context
	stop    context.CancelFunc
	quiet   context.CancelFunc
	wg      sync.WaitGroup
}

// unread is how long bytes may lie between the node's socket and the visitor here, who can't see
// when the socket took them.
const unread = 500 * time.Millisecond

// lineRequest is a task and told an answer as they stand on a line.
type lineRequest struct {
	Verb   session.Verb `json:"verb"`
	Client string       `json:"visitor,omitempty"`
	Topic  string       `json:"topic,omitempty"`
	Cursor string       `json:"cursor,omitempty"`
	Call   uint64       `json:"call_seq,omitempty"`
	Body   *string      `json:"body,omitempty"`
	Key    string       `json:"key,omitempty"`
	Of     string       `json:"of,omitempty"`
	Upto   uint64       `json:"upto,omitempty"`
}

type lineResponse struct {
	What    session.ResponseType `json:"what"`
	Re      session.Verb         `json:"re"`
	Topic   string               `json:"topic"`
	From    string               `json:"from"`
	Call    uint64               `json:"call_seq"`
	Cursor  string               `json:"cursor"`
	Key     string               `json:"key"`
	Count   int                  `json:"count"`
	Body    string               `json:"body"`
	Address string               `json:"address"`
	Code    apierror.Code        `json:"code"`
	Say     string               `json:"say"`
}

func (a lineResponse) answer() session.Response {
	x := session.Response{Type: a.What, InReplyTo: a.Re, Topic: a.Topic, From: a.From, CallSeq: a.Call,
		Cursor: a.Cursor, Key: a.Key, Count: a.Count, Body: []byte(a.Body), Address: a.Address}
	if a.Code != "" {
		x.Err = &apierror.Error{Code: a.Code, Message: a.Say}
	}
	return x
}

// lineConn is a connection to a node. Tasks wait until they are written.
type lineConn struct {
	c     net.Conn
	mu    sync.Mutex
	out   []byte
	more  chan struct{}
	ended chan struct{}
	once  sync.Once
}

// Do sends a task.
func (l *lineConn) Do(t session.Request) {
	q := lineRequest{Verb: t.Verb, Client: t.Client, Topic: t.Topic, Cursor: t.Cursor, Call: t.CallSeq, Key: t.Key,
		Of: t.WithdrawSender, Upto: t.WithdrawUpTo}
	if t.Verb == session.Send {
		s := string(t.Body)
		q.Body = &s
	}
	b, err := json.Marshal(q)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.out = append(append(l.out, b...), '\n')
	l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
}

// End closes the connection.
func (l *lineConn) End() {
	l.once.Do(func() {
		close(l.ended)
		_ = l.c.Close()
	})
}

func (l *lineConn) write() {
	for {
		select {
		case <-l.more:
		case <-l.ended:
			return
		}
		l.mu.Lock()
		b := l.out
		l.out = nil
		l.mu.Unlock()
		if _, err := l.c.Write(b); err != nil {
			return
		}
	}
}

func (l *lineConn) read(hear func(session.Response, time.Time), broken func()) {
	defer l.End()
	defer broken()
	r := bufio.NewReader(l.c)
	for {
		b, err := r.ReadBytes('\n')
		now := time.Now()
		if err != nil {
			return
		}
		var a lineResponse
		if err := json.Unmarshal(b, &a); err != nil {
			hear(session.Response{Type: session.ResponseType(fmt.Sprintf("%.200s: %v", b, err))}, now)
			return
		}
		if a.What == session.Message {
			now = now.Add(-unread)
		}
		hear(a.answer(), now)
	}
}

func (v *Sessions) endpoints() (ds []simclient.Endpoint) {
	for _, p := range v.fleet.Processes {
		if p.Opts.ClientListen == "" || !v.fleet.isReady(p.Name) {
			continue
		}
		ds = append(ds, v.endpoint(p))
	}
	if len(ds) > 0 {
		return ds
	}
	for _, p := range v.fleet.Processes {
		if p.Opts.ClientListen != "" {
			ds = append(ds, v.endpoint(p))
		}
	}
	return ds
}

func (v *Sessions) endpoint(p *Process) simclient.Endpoint {
	return simclient.Endpoint{Address: p.Opts.ClientListen,
		Connect: func(hear func(session.Response, time.Time), broken func()) simclient.Line {
			c, err := (&net.Dialer{Timeout: time.Second}).DialContext(v.ctx, "tcp", p.Opts.ClientListen)
			if err != nil {
				return nil
			}
			l := &lineConn{c: c, more: make(chan struct{}, 1), ended: make(chan struct{})}
			v.wg.Go(l.write)
			v.wg.Go(func() { l.read(hear, broken) })
			context.AfterFunc(v.ctx, l.End)
			return l
		}}
}

// stayingOneIn is which share of clients keeps using a connection until its process is gone.
const stayingOneIn = 2

// StartSessions lets n clients in, who follow and send on topics of a load until Stop: those of
// sessions alone, if it has some. One of two stays on its connection when it is told to move.
func (f *Fleet) StartSessions(ctx context.Context, n int, l sim.Load, seed uint64) *Sessions {
	b := settings.DefaultTiming
	v := &Sessions{Checker: deliverycheck.New(b.Keeping, 3*b.Spread), fleet: f}
	v.ctx, v.stop = context.WithCancel(ctx)
	v.sends, v.quiet = context.WithCancel(v.ctx)
	topic, topics := "kept/t%d", l.Topics
	if l.SessionTopics > 0 {
		topic, topics = "kept/v%d", l.SessionTopics
	}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		x := &simclient.Client{Name: fmt.Sprintf("g%d", i), Habits: sim.Habits(), Rand: r, Endpoints: v.endpoints,
			Checker: v.Checker, Calm: func() bool { return false }}
		x.Habits.WithdrawInterval = 3 * time.Second
		x.Habits.Stays = i%stayingOneIn == 0
		for _, k := range r.Perm(topics)[:min(topics, 3+r.IntN(3))] {
			x.Follow = append(x.Follow, simclient.Topic{Name: fmt.Sprintf(topic, k), Kept: true})
		}
		for k := range 2 {
			x.Lanes = append(x.Lanes, simclient.Lane{Topic: fmt.Sprintf(topic, (i+7*k)%topics),
				Window: 1 + 3*(i%2), Interval: l.SendInterval / time.Duration(1+3*(i%2))})
		}
		v.wg.Go(func() { x.Run(v.ctx, v.sends) })
	}
	return v
}

// Stop stops the senders, waits until visitors have caught up, has them leave, and judges what they
// saw.
func (v *Sessions) Stop(wait time.Duration) (deliverycheck.Tally, []deliverycheck.Violation) {
	cut := time.Now()
	v.quiet()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.ctx.Done():
	}
	v.stop()
	v.wg.Wait()
	return v.Checker.Judge(cut)
}

func (f *Fleet) isReady(n string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready[n]
}
