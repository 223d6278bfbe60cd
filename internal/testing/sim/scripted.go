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

// ScriptedClient is a visitor that does what a script says, on one connection to a named machine;
// what it sees goes to the checker.
type ScriptedClient struct {
	Name, At string

	clients  *LineClients
	line     *lineSession
	mu       sync.Mutex
	seen     []TimedResponse
	sessions map[string]*deliverycheck.Subscription
	// cursor is what a topic was resumed with.
	cursor map[string]string
	ended  bool
	notify chan struct{}
}

// TimedResponse is an answer, and when the connection took its last byte.
type TimedResponse struct {
	session.Response
	Shown time.Time
}

const scriptedTimeout = 3 * time.Second

// Scripted lets a scripted visitor in, nil where nobody answers.
func (g *LineClients) Scripted(at, name string) *ScriptedClient {
	h := &ScriptedClient{Name: name, At: at, clients: g, sessions: map[string]*deliverycheck.Subscription{},
		cursor: map[string]string{}, notify: make(chan struct{}, 1)}
	h.line = g.connect(g.world.Machines[at], true, h.receive, h.onBroken)
	if h.line == nil {
		return nil
	}
	h.line.Do(session.Request{Verb: session.Attach, Client: name})
	if a, ok := h.Wait(0, scriptedTimeout, func(a session.Response) bool {
		return a.Type == session.Attached || a.InReplyTo == session.Attach
	}); !ok || a.Type != session.Attached {
		h.line.End()
		return nil
	}
	g.wg.Go(h.heartbeat)
	return h
}

func (h *ScriptedClient) heartbeat() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for !h.Ended() {
		select {
		case <-t.C:
			h.line.Do(session.Request{Verb: session.Heartbeat})
		case <-h.clients.world.ctx.Done():
			h.line.End()
			return
		}
	}
}

func (h *ScriptedClient) onBroken() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	ring(h.notify)
}

// Ended tells whether the connection broke or was closed.
func (h *ScriptedClient) Ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// End goes.
func (h *ScriptedClient) End() {
	h.mu.Lock()
	for _, s := range h.sessions {
		s.Ended(time.Now())
	}
	h.mu.Unlock()
	h.onBroken()
	h.line.End()
}

// Break loses the connection; the subscriptions may be resumed.
func (h *ScriptedClient) Break() {
	h.onBroken()
	h.line.End()
}

// Pause has the hand not read for a while.
func (h *ScriptedClient) Pause(d time.Duration) { h.line.Pause(d) }

func (h *ScriptedClient) receive(a session.Response, shown time.Time) {
	h.mu.Lock()
	if h.ended {
		h.mu.Unlock()
		return
	}
	h.seen = append(h.seen, TimedResponse{a, shown})
	s := h.sessions[a.Topic]
	h.mu.Unlock()
	now, b := time.Now(), h.clients.Checker
	switch a.Type {
	case session.Subscribed:
		s.Joined(now)
	case session.Message:
		s.Received(deliverycheck.Message{Topic: a.Topic, From: a.From, CallSeq: a.CallSeq}, string(a.Body),
			deliverycheck.Position{Partition: a.Partition, Offset: a.Offset}, shown)
	case session.Accepted:
		b.Accepted(deliverycheck.Message{Topic: a.Topic, From: h.Name, CallSeq: a.CallSeq}, now)
	case session.Withdrawn:
		b.WithdrawalReceived(h.Name, a.Topic, a.Key, now)
	case session.Rejected:
		if a.InReplyTo == session.Send && simclient.FinalRejections[apierror.From(a.Err).Code] {
			b.Rejected(deliverycheck.Message{Topic: a.Topic, From: h.Name, CallSeq: a.CallSeq})
		}
	}
	ring(h.notify)
}

// ResponseCount tells how much the hand has heard.
func (h *ScriptedClient) ResponseCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen)
}

// All gives what it has heard.
func (h *ScriptedClient) All() []TimedResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[:len(h.seen):len(h.seen)]
}

// Wait waits for an answer behind a mark.
func (h *ScriptedClient) Wait(from int, limit time.Duration, ok func(session.Response) bool) (TimedResponse, bool) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		h.mu.Lock()
		for ; from < len(h.seen); from++ {
			if ok(h.seen[from].Response) {
				s := h.seen[from]
				h.mu.Unlock()
				return s, true
			}
		}
		gone := h.ended
		h.mu.Unlock()
		if gone {
			return TimedResponse{}, false
		}
		select {
		case <-h.notify:
		case <-end.C:
			return TimedResponse{}, false
		}
	}
}

// Follow joins a topic, from a cursor if there is one, and tells whether it was taken up.
func (h *ScriptedClient) Follow(topic, cursor string) (TimedResponse, bool) {
	h.mu.Lock()
	if h.sessions[topic] == nil {
		h.sessions[topic] = h.clients.Checker.Subscribe(h.Name, topic, strings.HasPrefix(topic, "kept/"))
	}
	n := len(h.seen)
	h.mu.Unlock()
	h.line.Do(session.Request{Verb: session.Subscribe, Topic: topic, Cursor: cursor})
	s, ok := h.Wait(n, scriptedTimeout, func(a session.Response) bool {
		return a.Topic == topic && (a.Type == session.Subscribed || a.InReplyTo == session.Subscribe)
	})
	return s, ok && s.Type == session.Subscribed
}

// Resume goes on where another hand of the same name has ended, on the stay of that.
func (h *ScriptedClient) Resume(was *ScriptedClient, topic string) (TimedResponse, bool) {
	was.mu.Lock()
	cursor := was.cursor[topic]
	for _, s := range was.seen {
		if s.Topic == topic && s.Cursor != "" {
			cursor = s.Cursor
		}
	}
	stay, seen := was.sessions[topic], was.seen
	was.mu.Unlock()
	h.mu.Lock()
	h.seen = append(seen[:len(seen):len(seen)], h.seen...)
	h.sessions[topic], h.cursor[topic] = stay, cursor
	h.mu.Unlock()
	return h.Follow(topic, cursor)
}

// Body is what a hand sends under a number.
func (h *ScriptedClient) Body(call uint64) string {
	return fmt.Sprintf("%s %d %s", h.Name, call, strings.Repeat("x", scriptedBodyBytes))
}

const scriptedBodyBytes = 300

// SendAsync sends without waiting.
func (h *ScriptedClient) SendAsync(topic, key string, call uint64) {
	h.clients.Checker.Try(deliverycheck.Message{Topic: topic, From: h.Name, CallSeq: call}, key, h.Body(call), time.Now())
	h.line.Do(session.Request{Verb: session.Send, Topic: topic, Key: key, CallSeq: call, Body: []byte(h.Body(call))})
}

// Send sends and gives the answer.
func (h *ScriptedClient) Send(topic, key string, call uint64) (TimedResponse, bool) {
	n := h.ResponseCount()
	h.SendAsync(topic, key, call)
	return h.Wait(n, scriptedTimeout, func(a session.Response) bool {
		return a.Topic == topic && a.CallSeq == call && (a.Type == session.Accepted || a.InReplyTo == session.Send)
	})
}

// SendAccepted sends until the message is taken or never will be, and tells whether it was.
func (h *ScriptedClient) SendAccepted(topic, key string, call uint64) bool {
	for range 20 {
		s, ok := h.Send(topic, key, call)
		if ok && s.Type == session.Accepted {
			return true
		}
		if ok && simclient.FinalRejections[apierror.From(s.Err).Code] {
			return false
		}
		time.Sleep(h.clients.world.Site.Timing.MaxBackoff())
	}
	return false
}

// Withdraw asks for a withdrawal once and notes the answer.
func (h *ScriptedClient) Withdraw(w deliverycheck.Withdrawal) (TimedResponse, bool) {
	w.Client = h.Name
	x := h.clients.Checker.Withdraw(w, time.Now())
	n := h.ResponseCount()
	h.line.Do(session.Request{Verb: session.Withdraw, Topic: w.Topic, Key: w.Key, CallSeq: w.Call,
		WithdrawSender: w.Sender, WithdrawUpTo: w.UpTo})
	s, ok := h.Wait(n, scriptedTimeout, func(a session.Response) bool {
		return a.Topic == w.Topic && a.CallSeq == w.Call &&
			(a.Type == session.WithdrawalComplete || a.InReplyTo == session.Withdraw)
	})
	switch {
	case !ok:
	case s.Type == session.WithdrawalComplete:
		x.Completed(deliverycheck.Position{Partition: s.Partition, Offset: s.Offset}, s.Shown)
	case apierror.HasCode(s.Err, apierror.WithdrawalOpen):
		x.Recorded(time.Now())
	case simclient.FinalWithdrawalRejections[apierror.From(s.Err).Code]:
		x.Void()
	}
	return s, ok
}
