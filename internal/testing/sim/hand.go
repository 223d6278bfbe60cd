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

// Hand is a visitor that does what a script says, on one connection to a named machine; what it sees goes into the guests' book.
type Hand struct {
	Name, At string

	g     *Guests
	line  *lineSession
	mu    sync.Mutex
	seen  []Seen
	stays map[string]*deliverycheck.Session
	// cursor is what a topic was resumed with.
	cursor map[string]string
	ended  bool
	bell   chan struct{}
}

// Seen is an answer, and when the connection took its last byte.
type Seen struct {
	session.Response
	Shown time.Time
}

const handLimit = 3 * time.Second

// Hand lets a scripted visitor in, nil where nobody answers.
func (g *Guests) Hand(at, name string) *Hand {
	h := &Hand{Name: name, At: at, g: g, stays: map[string]*deliverycheck.Session{}, cursor: map[string]string{}, bell: make(chan struct{}, 1)}
	h.line = g.connect(g.w.Machines[at], true, h.hear, h.lose)
	if h.line == nil {
		return nil
	}
	h.line.Do(session.Request{Verb: session.Attach, Client: name})
	if a, ok := h.Wait(0, handLimit, func(a session.Response) bool { return a.Type == session.Attached || a.InReplyTo == session.Attach }); !ok || a.Type != session.Attached {
		h.line.End()
		return nil
	}
	g.wg.Go(h.heartbeat)
	return h
}

func (h *Hand) heartbeat() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for !h.Ended() {
		select {
		case <-t.C:
			h.line.Do(session.Request{Verb: session.Heartbeat})
		case <-h.g.w.ctx.Done():
			h.line.End()
			return
		}
	}
}

func (h *Hand) lose() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	ring(h.bell)
}

// Ended tells whether the connection broke or was closed.
func (h *Hand) Ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// End goes.
func (h *Hand) End() {
	h.mu.Lock()
	for _, s := range h.stays {
		s.Ended(time.Now())
	}
	h.mu.Unlock()
	h.lose()
	h.line.End()
}

// Break loses the connection; the subscriptions may be resumed.
func (h *Hand) Break() {
	h.lose()
	h.line.End()
}

// Still has the hand not read for a while.
func (h *Hand) Still(d time.Duration) { h.line.Still(d) }

func (h *Hand) hear(a session.Response, shown time.Time) {
	h.mu.Lock()
	if h.ended {
		h.mu.Unlock()
		return
	}
	h.seen = append(h.seen, Seen{a, shown})
	s := h.stays[a.Topic]
	h.mu.Unlock()
	now, b := time.Now(), h.g.Book
	switch a.Type {
	case session.Subscribed:
		s.Joined(now)
	case session.Message:
		s.Got(deliverycheck.Message{Topic: a.Topic, From: a.From, Call: a.CallSeq}, string(a.Body), deliverycheck.Place{Partition: a.Partition, Offset: a.Offset}, shown)
	case session.Accepted:
		b.Taken(deliverycheck.Message{Topic: a.Topic, From: h.Name, Call: a.CallSeq}, now)
	case session.Withdrawn:
		b.Told(h.Name, a.Topic, a.Key, now)
	case session.Rejected:
		if a.InReplyTo == session.Send && simclient.Promises[apierror.From(a.Err).Code] {
			b.Turned(deliverycheck.Message{Topic: a.Topic, From: h.Name, Call: a.CallSeq})
		}
	}
	ring(h.bell)
}

// Mark tells how much the hand has heard.
func (h *Hand) Mark() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen)
}

// All gives what it has heard.
func (h *Hand) All() []Seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[:len(h.seen):len(h.seen)]
}

// Wait waits for an answer behind a mark.
func (h *Hand) Wait(from int, limit time.Duration, ok func(session.Response) bool) (Seen, bool) {
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
			return Seen{}, false
		}
		select {
		case <-h.bell:
		case <-end.C:
			return Seen{}, false
		}
	}
}

// Follow joins a topic, from a cursor if there is one, and tells whether it was taken up.
func (h *Hand) Follow(topic, cursor string) (Seen, bool) {
	h.mu.Lock()
	if h.stays[topic] == nil {
		h.stays[topic] = h.g.Book.Open(h.Name, topic, strings.HasPrefix(topic, "kept/"))
	}
	n := len(h.seen)
	h.mu.Unlock()
	h.line.Do(session.Request{Verb: session.Subscribe, Topic: topic, Cursor: cursor})
	s, ok := h.Wait(n, handLimit, func(a session.Response) bool {
		return a.Topic == topic && (a.Type == session.Subscribed || a.InReplyTo == session.Subscribe)
	})
	return s, ok && s.Type == session.Subscribed
}

// Resume goes on where another hand of the same name has ended, on the stay of that.
func (h *Hand) Resume(was *Hand, topic string) (Seen, bool) {
	was.mu.Lock()
	cursor := was.cursor[topic]
	for _, s := range was.seen {
		if s.Topic == topic && s.Cursor != "" {
			cursor = s.Cursor
		}
	}
	stay, seen := was.stays[topic], was.seen
	was.mu.Unlock()
	h.mu.Lock()
	h.seen = append(seen[:len(seen):len(seen)], h.seen...)
	h.stays[topic], h.cursor[topic] = stay, cursor
	h.mu.Unlock()
	return h.Follow(topic, cursor)
}

// Body is what a hand sends under a number.
func (h *Hand) Body(call uint64) string {
	return fmt.Sprintf("%s %d %s", h.Name, call, strings.Repeat("x", handBody))
}

const handBody = 300

// Post sends without waiting.
func (h *Hand) Post(topic, key string, call uint64) {
	h.g.Book.Try(deliverycheck.Message{Topic: topic, From: h.Name, Call: call}, key, h.Body(call), time.Now())
	h.line.Do(session.Request{Verb: session.Send, Topic: topic, Key: key, CallSeq: call, Body: []byte(h.Body(call))})
}

// Send sends and gives the answer.
func (h *Hand) Send(topic, key string, call uint64) (Seen, bool) {
	n := h.Mark()
	h.Post(topic, key, call)
	return h.Wait(n, handLimit, func(a session.Response) bool {
		return a.Topic == topic && a.CallSeq == call && (a.Type == session.Accepted || a.InReplyTo == session.Send)
	})
}

// Sent sends until the message is taken or never will be, and tells whether it was.
func (h *Hand) Sent(topic, key string, call uint64) bool {
	for range 20 {
		s, ok := h.Send(topic, key, call)
		if ok && s.Type == session.Accepted {
			return true
		}
		if ok && simclient.Promises[apierror.From(s.Err).Code] {
			return false
		}
		time.Sleep(h.g.w.Site.Bounds.MaxBackoff())
	}
	return false
}

// Withdraw asks for a withdrawal once and notes the answer.
func (h *Hand) Withdraw(w deliverycheck.Withdrawal) (Seen, bool) {
	w.By = h.Name
	x := h.g.Book.Withdraw(w, time.Now())
	n := h.Mark()
	h.line.Do(session.Request{Verb: session.Withdraw, Topic: w.Topic, Key: w.Key, CallSeq: w.Call, WithdrawSender: w.Of, WithdrawUpTo: w.Upto})
	s, ok := h.Wait(n, handLimit, func(a session.Response) bool {
		return a.Topic == w.Topic && a.CallSeq == w.Call && (a.Type == session.WithdrawalComplete || a.InReplyTo == session.Withdraw)
	})
	switch {
	case !ok:
	case s.Type == session.WithdrawalComplete:
		x.Forgotten(deliverycheck.Place{Partition: s.Partition, Offset: s.Offset}, s.Shown)
	case apierror.HasCode(s.Err, apierror.WithdrawalOpen):
		x.Stands(time.Now())
	case simclient.Voids[apierror.From(s.Err).Code]:
		x.Void()
	}
	return s, ok
}
