package sim

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/simclient"
)

// ScriptedClient is a client that does what a script says, on one connection to a named machine.
// What it receives goes to the checker.
type ScriptedClient struct {
	Name, Machine string

	clients *LineClients
	session *lineSession
	// mu guards responses, sessions, cursors and ended.
	mu        sync.Mutex
	responses []TimedResponse
	sessions  map[string]*deliverycheck.Session
	// cursors holds the cursor that each topic was resumed from.
	cursors map[string]string
	ended   bool
	notify  chan struct{}
}

// TimedResponse is a response, and when the connection accepted its last byte.
type TimedResponse struct {
	session.Response
	WrittenAt time.Time
}

const scriptedTimeout = 3 * time.Second

// ConnectScripted connects and attaches a scripted client. It returns nil where no node answers.
func (g *LineClients) ConnectScripted(machine, name string) *ScriptedClient {
	client := &ScriptedClient{Name: name, Machine: machine, clients: g, sessions: map[string]*deliverycheck.Session{},
		cursors: map[string]string{}, notify: make(chan struct{}, 1)}
	client.session = g.connect(g.world.Machines[machine], true, client.receive, client.onBroken)
	if client.session == nil {
		return nil
	}
	client.session.Do(session.Request{Verb: session.Attach, Client: name})
	if a, ok := client.Wait(0, scriptedTimeout, func(a session.Response) bool {
		return a.Type == session.Attached || a.InReplyTo == session.Attach
	}); !ok || a.Type != session.Attached {
		client.session.End()
		return nil
	}
	g.wg.Go(client.heartbeat)
	return client
}

func (h *ScriptedClient) heartbeat() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for !h.Ended() {
		select {
		case <-t.C:
			h.session.Do(session.Request{Verb: session.Heartbeat})
		case <-h.clients.world.ctx.Done():
			h.session.End()
			return
		}
	}
}

func (h *ScriptedClient) onBroken() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	signal(h.notify)
}

// Ended reports whether the connection broke or was closed.
func (h *ScriptedClient) Ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// End closes the connection and ends all subscriptions.
func (h *ScriptedClient) End() {
	h.mu.Lock()
	for _, s := range h.sessions {
		s.Ended(time.Now())
	}
	h.mu.Unlock()
	h.onBroken()
	h.session.End()
}

// Disconnect drops the connection. The subscriptions may be resumed.
func (h *ScriptedClient) Disconnect() {
	h.onBroken()
	h.session.End()
}

// Pause stops the client from reading for a while.
func (h *ScriptedClient) Pause(d time.Duration) { h.session.Pause(d) }

func (h *ScriptedClient) receive(response session.Response, writtenAt time.Time) {
	h.mu.Lock()
	if h.ended {
		h.mu.Unlock()
		return
	}
	h.responses = append(h.responses, TimedResponse{response, writtenAt})
	checkerSession := h.sessions[response.Topic]
	h.mu.Unlock()
	now, checker := time.Now(), h.clients.Checker
	switch response.Type {
	case session.Subscribed:
		checkerSession.Joined(now)
	case session.Message:
		checkerSession.Got(deliverycheck.Message{Topic: response.Topic, From: response.From, CallSeq: response.CallSeq},
			string(response.Body),
			deliverycheck.Place{Partition: response.Partition, Offset: response.Offset}, writtenAt)
	case session.Accepted:
		checker.Accepted(deliverycheck.Message{Topic: response.Topic, From: h.Name, CallSeq: response.CallSeq}, now)
	case session.Withdrawn:
		checker.Shown(h.Name, response.Topic, response.Key, now)
	case session.Rejected:
		if response.InReplyTo == session.Send && simclient.Promises[apierror.From(response.Err).Code] {
			checker.Rejected(deliverycheck.Message{Topic: response.Topic, From: h.Name, CallSeq: response.CallSeq})
		}
	}
	signal(h.notify)
}

// ResponseCount returns how many responses the client has received.
func (h *ScriptedClient) ResponseCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.responses)
}

// Responses returns the responses that the client has received.
func (h *ScriptedClient) Responses() []TimedResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.responses[:len(h.responses):len(h.responses)]
}

// Wait waits for a matching response from an index on.
func (h *ScriptedClient) Wait(from int, limit time.Duration, ok func(session.Response) bool) (TimedResponse, bool) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		h.mu.Lock()
		for ; from < len(h.responses); from++ {
			if ok(h.responses[from].Response) {
				s := h.responses[from]
				h.mu.Unlock()
				return s, true
			}
		}
		ended := h.ended
		h.mu.Unlock()
		if ended {
			return TimedResponse{}, false
		}
		select {
		case <-h.notify:
		case <-end.C:
			return TimedResponse{}, false
		}
	}
}

// Subscribe subscribes to a topic, from a cursor if there is one, and reports whether that was
// accepted.
func (h *ScriptedClient) Subscribe(topic, cursor string) (TimedResponse, bool) {
	h.mu.Lock()
	if h.sessions[topic] == nil {
		h.sessions[topic] = h.clients.Checker.Open(h.Name, topic, strings.HasPrefix(topic, "kept/"))
	}
	n := len(h.responses)
	h.mu.Unlock()
	h.session.Do(session.Request{Verb: session.Subscribe, Topic: topic, Cursor: cursor})
	s, ok := h.Wait(n, scriptedTimeout, func(a session.Response) bool {
		return a.Topic == topic && (a.Type == session.Subscribed || a.InReplyTo == session.Subscribe)
	})
	return s, ok && s.Type == session.Subscribed
}

// Resume continues the subscription of an ended client of the same name, and its session in the
// checker.
func (h *ScriptedClient) Resume(previous *ScriptedClient, topic string) (TimedResponse, bool) {
	previous.mu.Lock()
	cursor := previous.cursors[topic]
	for _, s := range previous.responses {
		if s.Topic == topic && s.Cursor != "" {
			cursor = s.Cursor
		}
	}
	checkerSession, responses := previous.sessions[topic], previous.responses
	previous.mu.Unlock()
	h.mu.Lock()
	h.responses = append(responses[:len(responses):len(responses)], h.responses...)
	h.sessions[topic], h.cursors[topic] = checkerSession, cursor
	h.mu.Unlock()
	return h.Subscribe(topic, cursor)
}

// Body returns the body that the client sends under a call number.
func (h *ScriptedClient) Body(call uint64) string {
	return fmt.Sprintf("%s %d %s", h.Name, call, strings.Repeat("x", scriptedBodyBytes))
}

const scriptedBodyBytes = 300

// SendAsync sends without waiting.
func (h *ScriptedClient) SendAsync(topic, key string, call uint64) {
	h.clients.Checker.Try(deliverycheck.Message{Topic: topic, From: h.Name, CallSeq: call}, key, h.Body(call), time.Now())
	h.session.Do(session.Request{Verb: session.Send, Topic: topic, Key: key, CallSeq: call, Body: []byte(h.Body(call))})
}

// Send sends and returns the response.
func (h *ScriptedClient) Send(topic, key string, call uint64) (TimedResponse, bool) {
	n := h.ResponseCount()
	h.SendAsync(topic, key, call)
	return h.Wait(n, scriptedTimeout, func(a session.Response) bool {
		return a.Topic == topic && a.CallSeq == call && (a.Type == session.Accepted || a.InReplyTo == session.Send)
	})
}

// SendAccepted sends until the message is accepted or rejected for good, and reports which.
func (h *ScriptedClient) SendAccepted(topic, key string, call uint64) bool {
	for range 20 {
		s, ok := h.Send(topic, key, call)
		if ok && s.Type == session.Accepted {
			return true
		}
		if ok && simclient.Promises[apierror.From(s.Err).Code] {
			return false
		}
		time.Sleep(h.clients.world.Site.Timing.MaxBackoff())
	}
	return false
}

// Withdraw requests a withdrawal once and records the response.
func (h *ScriptedClient) Withdraw(withdrawal deliverycheck.Withdrawal) (TimedResponse, bool) {
	withdrawal.By = h.Name
	attempt := h.clients.Checker.Withdraw(withdrawal, time.Now())
	n := h.ResponseCount()
	h.session.Do(session.Request{Verb: session.Withdraw, Topic: withdrawal.Topic, Key: withdrawal.Key,
		CallSeq: withdrawal.Call, WithdrawSender: withdrawal.Of, WithdrawUpTo: withdrawal.Upto})
	response, ok := h.Wait(n, scriptedTimeout, func(a session.Response) bool {
		return a.Topic == withdrawal.Topic && a.CallSeq == withdrawal.Call &&
			(a.Type == session.WithdrawalComplete || a.InReplyTo == session.Withdraw)
	})
	switch {
	case !ok:
	case response.Type == session.WithdrawalComplete:
		attempt.Forgotten(deliverycheck.Place{Partition: response.Partition, Offset: response.Offset}, response.WrittenAt)
	case apierror.HasCode(response.Err, apierror.WithdrawalOpen):
		attempt.Stands(time.Now())
	case simclient.Voids[apierror.From(response.Err).Code]:
		attempt.Void()
	}
	return response, ok
}
