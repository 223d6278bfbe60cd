package session

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// clerk stands in for the ledger.
type clerk struct {
	keys   error
	decide func(q *leader.Message) (*leader.Decision, error)
	ask    func(n int) (*leader.PendingReaders, error)
	mu     sync.Mutex
	asked  int
	offers []*leader.Message
}

func (c *clerk) SubmitAsync(_ context.Context, _ int, q *leader.Message, _ time.Time, done func(*leader.Decision, error)) {
	c.mu.Lock()
	c.offers = append(c.offers, q)
	c.mu.Unlock()
	done(c.decide(q))
}

func (*clerk) Subscribers(context.Context, int, string) (int, error) { return 0, nil }

func (c *clerk) CheckKeysSupported() error { return c.keys }

func (c *clerk) PendingReaders(ctx context.Context, _ int, _ uint64, hold time.Duration) (*leader.PendingReaders, error) {
	c.mu.Lock()
	c.asked++
	n := c.asked
	c.mu.Unlock()
	u, err := c.ask(n)
	if err != nil || len(u.Nodes) > 0 {
		_ = wait(ctx, hold)
	}
	return u, err
}

func taken(q *leader.Message) (*leader.Decision, error) {
	return &leader.Decision{Offset: q.CallSeq, AlreadyWithdrawn: q.CallSeq == 8}, nil
}

func none(int) (*leader.PendingReaders, error) { return &leader.PendingReaders{}, nil }

// told gives what a visitor was told, with the time it took.
func (h *hall) told(v *Session) func() []string {
	begun := time.Now()
	var mu sync.Mutex
	var l []string
	v.out = func(a Response) {
		mu.Lock()
		defer mu.Unlock()
		s := fmt.Sprintf("%d: %s %s", time.Since(begun).Milliseconds(), a.Type, a.Topic)
		if a.CallSeq > 0 {
			s += fmt.Sprintf(" %d", a.CallSeq)
		}
		if a.Key != "" {
			s += " " + a.Key
		}
		if a.AlreadyWithdrawn {
			s += " already"
		}
		if len(a.GivenUp) > 0 {
			s += " without " + strings.Join(a.GivenUp, ",")
		}
		if a.Err != nil {
			p := apierror.From(a.Err)
			s += fmt.Sprintf(" %s %s (%s)", a.InReplyTo, p.Code, p.Message)
		}
		l = append(l, s)
	}
	return func() []string {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return l
	}
}

func TestWithdrawalsAreAnswered(t *testing.T) {
	ask := Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 7}
	cases := map[string]struct {
		c    *clerk
		do   Request
		want []string
	}{
		"nobody reads": {&clerk{decide: taken, ask: none}, ask, []string{"0: forgotten kept/a 7 k"}},
		"again":        {&clerk{decide: taken, ask: none}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 8}, []string{"0: forgotten kept/a 8 k already"}},
		"later": {&clerk{decide: taken, ask: func(n int) (*leader.PendingReaders, error) {
			if n == 1 {
				return &leader.PendingReaders{Nodes: []string{"a2"}}, nil
			}
			return &leader.PendingReaders{GivenUp: []string{"a3"}}, nil
		}}, ask, []string{"1025: forgotten kept/a 7 k without a3"}},
		"never": {
			&clerk{decide: taken, ask: func(int) (*leader.PendingReaders, error) {
				return &leader.PendingReaders{Nodes: []string{"a2", "a4"}, GivenUp: []string{"a3"}}, nil
			}}, ask,
			[]string{"1200: turned kept/a 7 k without a3 withdraw withdrawal_open (what stood under k was withdrawn; a2, a4 did not say that it is forgotten)"},
		},
		"no answer": {
			&clerk{decide: taken, ask: func(int) (*leader.PendingReaders, error) {
				return nil, apierror.New(apierror.NoPartitionLeader, "gone")
			}}, ask,
			[]string{"1200: turned kept/a 7 k withdraw withdrawal_open (what stood under k was withdrawn; who has forgotten it could not be learnt)"},
		},
		"not taken": {
			&clerk{decide: func(*leader.Message) (*leader.Decision, error) {
				return nil, apierror.New(apierror.KeyUnknown, "nothing there")
			}}, ask,
			[]string{"0: turned kept/a 7 withdraw key_unknown (nothing there)"},
		},
		"an older build": {
			&clerk{keys: apierror.New(apierror.NotReady, "a2 knows no keys")}, ask,
			[]string{"0: turned kept/a 7 withdraw not_ready (a2 knows no keys)"},
		},
		"a send to an older build": {
			&clerk{keys: apierror.New(apierror.NotReady, "a2 knows no keys")}, Request{Verb: Send, Topic: "kept/a", CallSeq: 7, Key: "k"},
			[]string{"0: turned kept/a 7 send not_ready (a2 knows no keys)"},
		},
		"a send without a key to an older build": {
			&clerk{keys: apierror.New(apierror.NotReady, "a2 knows no keys"), decide: taken}, Request{Verb: Send, Topic: "kept/a", CallSeq: 7}, []string{"0: taken kept/a 7"},
		},
		"a key with a space": {
			&clerk{}, Request{Verb: Send, Topic: "kept/a", CallSeq: 7, Key: "k k"},
			[]string{"0: turned kept/a 7 send malformed (a key must be 1 to 128 printable bytes without spaces)"},
		},
		"a long key": {
			&clerk{}, Request{Verb: Withdraw, Topic: "kept/a", CallSeq: 7, Key: strings.Repeat("k", 129)},
			[]string{"0: turned kept/a 7 withdraw malformed (a key must be 1 to 128 printable bytes without spaces)"},
		},
		"no key": {
			&clerk{}, Request{Verb: Withdraw, Topic: "kept/a", CallSeq: 7},
			[]string{"0: turned kept/a 7 withdraw malformed (a key must be 1 to 128 printable bytes without spaces)"},
		},
		"no number": {
			&clerk{}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k"}, []string{"0: turned kept/a withdraw malformed (call_seq must be above 0)"},
		},
		"a sender without a number": {
			&clerk{}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 7, WithdrawSender: "w"},
			[]string{"0: turned kept/a 7 withdraw malformed (a sender (of) and its highest number (upto, above 0) go together)"},
		},
		"a number without a sender": {
			&clerk{}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 7, WithdrawUpTo: 3},
			[]string{"0: turned kept/a 7 withdraw malformed (a sender (of) and its highest number (upto, above 0) go together)"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			enter(t, func(t *testing.T, h *hall, v *Session) {
				h.Ledger = c.c
				told := h.told(v)
				v.Do(c.do)
				time.Sleep(2 * settings.DefaultTiming.CallTimeout())
				assert.DeepEqual(t, told(), c.want)
			})
		})
	}
}

// What is offered names the key, the sender and its number; nothing that follows waits for a withdrawal.
func TestWithdrawalsHoldNothingBack(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		c := &clerk{decide: taken, ask: func(n int) (*leader.PendingReaders, error) {
			if n < 2 {
				return &leader.PendingReaders{Nodes: []string{"a2"}}, nil
			}
			return none(n)
		}}
		h.Ledger = c
		told := h.told(v)
		v.Do(Request{Verb: Withdraw, Topic: "live/a", Key: "k", CallSeq: 7, WithdrawSender: "w", WithdrawUpTo: 3})
		v.Do(Request{Verb: Send, Topic: "live/a", Key: "k", CallSeq: 8, Body: []byte("x")})
		v.Do(Request{Verb: Heartbeat})
		assert.DeepEqual(t, told(), []string{"0: taken live/a 8", "0: alive "})
		time.Sleep(settings.DefaultTiming.CallTimeout())
		assert.DeepEqual(t, told()[2:], []string{"1025: forgotten live/a 7 k"})
		seq := h.Store.Index().Sequence
		assert.DeepEqual(t, c.offers, []*leader.Message{
			{Client: "v", Topic: "live/a", CallSeq: 7, Live: true, Configuration: seq, Key: "k", Withdraw: true, WithdrawSender: "w", WithdrawUpTo: 3},
			{Client: "v", Topic: "live/a", CallSeq: 8, Live: true, Configuration: seq, Key: "k", Body: []byte("x")},
		})
	})
}

// shelf is where a visit's answers wait.
type shelf struct {
	mu  sync.Mutex
	log []string
}

func (s *shelf) note(say string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(say, a...))
}

func (s *shelf) said() []string {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log
	s.log = nil
	return l
}

func (s *shelf) Withdraw(p int, covered fanout.WithdrawnFunc) {
	s.note("withdraw %d %t %t", p, covered("kept/a", "k", 20), covered("kept/a", "k", 21))
}

func (s *shelf) Drop(topic string) { s.note("drop %s", topic) }

func (s *shelf) Release(p int, cut bool) bool {
	s.note("release %d cut=%t", p, cut)
	return true
}

// Followers learn of a withdrawal, and so does whatever keeps answers, also of those who left the topic or ended their visits.
func TestWithdrawalsReachAllThatWaits(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		h.src.follow = at(20, nil)
		told := h.told(v)
		v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		left, over := &shelf{}, &shelf{}
		w, x := h.NewSession(func(Response) {}), h.NewSession(func(Response) {})
		w.AttachBuffer(left)
		free := x.AttachBuffer(over)
		for _, v := range []*Session{w, x} {
			v.Do(Request{Verb: Attach, Client: "w"})
			v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		}
		time.Sleep(100 * time.Millisecond)
		w.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		w.Do(Request{Verb: Unsubscribe, Topic: "kept/b"})
		x.End()
		assert.DeepEqual(t, left.said(), []string{"drop kept/a"})
		assert.DeepEqual(t, over.said(), []string{"drop kept/a"})
		next := uint64(20)
		h.src.mu.Lock()
		h.src.poll = func(*leader.PollRequest) *leader.PollResponse {
			if next++; next > 22 {
				return nil
			}
			return &leader.PollResponse{Epoch: 1, To: next, Entries: []log.Entry{{Type: log.TypeWithdrawal, Topic: "kept/a", Key: "k", Client: "c", CallSeq: next, Offset: next}}}
		}
		h.src.mu.Unlock()
		time.Sleep(settings.DefaultTiming.Spread)
		assert.DeepEqual(t, left.said(), []string{"withdraw 0 true false", "withdraw 0 true true"})
		assert.DeepEqual(t, over.said(), []string{"withdraw 0 true false", "withdraw 0 true true"})
		free()
		v.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		time.Sleep(2 * settings.DefaultTiming.Spread)
		assert.DeepEqual(t, left.said(), []string{"release 0 cut=false"})
		assert.Equal(t, len(over.said()), 0)
		l := told()
		for i, s := range l {
			_, l[i], _ = strings.Cut(s, ": ")
		}
		assert.DeepEqual(t, l, []string{"joined kept/a", "withdrawn kept/a 21 k", "withdrawn kept/a 22 k", "left kept/a"})
	})
}
