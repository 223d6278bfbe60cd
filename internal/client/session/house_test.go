package session

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/control/voters"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// source stands in for the owner of the only partition. A nil answer is never given.
type source struct {
	mu     sync.Mutex
	follow func(q *leader.FollowRequest) *leader.FollowResponse
	poll   func(q *leader.PollRequest) *leader.PollResponse
	wants  []*leader.FollowRequest
}

// Follow answers as the test says.
func (s *source) Follow(ctx context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	s.mu.Lock()
	s.wants = append(s.wants, q)
	f := s.follow
	s.mu.Unlock()
	if a := f(q); a != nil {
		return a, nil
	}
	return nil, wait(ctx, settings.DefaultTiming.MaxBackoff())
}

// Poll answers as the test says, at most once in a while.
func (s *source) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	s.mu.Lock()
	f := s.poll
	s.mu.Unlock()
	if f != nil {
		if a := f(q); a != nil {
			_ = wait(ctx, time.Millisecond)
			return a, nil
		}
	}
	return nil, wait(ctx, settings.DefaultTiming.Spread)
}

func wait(ctx context.Context, d time.Duration) error {
	_ = clock.Real{}.Sleep(ctx, d)
	return apierror.New(apierror.Unreachable, "no answer")
}

type hall struct {
	*Registry
	src   *source
	board *gossip.Store
	seq   uint64
	mu    sync.Mutex
	heard []string
}

func (h *hall) describe(spaces ...configuration.Space) {
	h.seq++
	h.board.Apply(gossip.Update{Configuration: &configuration.Config{Sequence: h.seq, Base: h.seq - 1, Spaces: spaces}})
	synctest.Wait()
}

func (h *hall) hear(a Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := string(a.Type)
	switch a.Type {
	case Message:
		s += fmt.Sprintf(" %s %s/%d", a.Topic, a.From, a.CallSeq)
	case Rejected:
		s += fmt.Sprintf(" %s %s %s", a.InReplyTo, a.Topic, apierror.From(a.Err).Code)
	case Moved:
		s += " " + a.Address
	case Subscribed, Unsubscribed:
		s += " " + a.Topic
	}
	h.heard = append(h.heard, s)
}

// said gives what was told since the last call.
func (h *hall) said() []string {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.heard
	h.heard = nil
	return s
}

var (
	kept  = configuration.Space{Name: "kept", Kind: configuration.KindRetained, Topics: []string{"a", "b"}}
	other = configuration.Space{Name: "other", Kind: configuration.KindRetained, Topics: []string{"a"}}
	live  = configuration.Space{Name: "live", Kind: configuration.KindLive, Topics: []string{"a"}}
)

const here = "127.0.0.1:1"

func enter(t *testing.T, script func(t *testing.T, h *hall, v *Session)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		b := gossip.NewStore(nil)
		b.Apply(gossip.Update{VoterSet: &voters.Set{Sequence: 1, Fleet: "fleet00", Layout: voters.Layout{RoutinePartitions: 1}}, Records: []assignment.Record{{Leader: "s1", Epoch: 1, Version: 1}}})
		h := &hall{src: &source{follow: func(*leader.FollowRequest) *leader.FollowResponse { return nil }}, board: b}
		hub := fanout.New(ctx, "a1", "boot", h.src, b, clock.Real{}, settings.DefaultTiming)
		h.Registry = (&Registry{
			Self: "a1", Clock: clock.Real{}, Timing: settings.DefaultTiming, Store: b, Hub: hub, CheckLease: func() error { return nil }, Draining: make(chan struct{}),
			Members: func() []membership.Info { return nil }, Info: func() membership.Info { return membership.Info{Name: "a1", ClientAddr: here} }, BodyLimit: 1 << 10,
		}).Start(ctx)
		go h.Run(ctx)
		go hub.Run(ctx)
		h.describe(kept, live)
		v := h.NewSession(h.hear)
		v.Do(Request{Verb: Attach, Client: "v"})
		assert.DeepEqual(t, h.said(), []string{"attached"})
		script(t, h, v)
		stop()
		time.Sleep(time.Minute)
	})
}

func at(tail uint64, gone map[string]uint64) func(q *leader.FollowRequest) *leader.FollowResponse {
	return func(*leader.FollowRequest) *leader.FollowResponse {
		return &leader.FollowResponse{Epoch: 1, CommittedEnd: tail, BacklogEnd: tail, Trimmed: gone}
	}
}

func cursor(o uint64) string { return Cursor{0, o}.Encode("fleet00") }

// A visitor that joins waits for an answer, whatever becomes of the topic meanwhile.
func TestEveryJoinIsAnswered(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		h.describe(other)
		assert.DeepEqual(t, h.said(), []string{"turned join kept/a unknown_space"})
	})
	enter(t, func(t *testing.T, h *hall, v *Session) {
		v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		v.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		assert.DeepEqual(t, h.said(), []string{"turned join kept/a overloaded", "left kept/a"})
		v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, h.said(), []string{"turned join kept/a overloaded", "turned join kept/a no_owner"})
		v.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		assert.DeepEqual(t, h.said(), []string{"left kept/a"})
		v.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		v.End()
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(h.said()), 0)
	})
}

// Only the cursors that lack something are too old, however old another's is.
func TestCursorsOfOneTopicExpireApart(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		h.src.follow = func(q *leader.FollowRequest) *leader.FollowResponse {
			time.Sleep(settings.DefaultTiming.MaxBackoff() / 4)
			return at(40, map[string]uint64{"kept/a": 15})(q)
		}
		w := h.NewSession(h.hear)
		w.Do(Request{Verb: Attach, Client: "w"})
		x := h.NewSession(h.hear)
		x.Do(Request{Verb: Attach, Client: "x"})
		x.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		h.said()
		v.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursor(10)})
		w.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursor(20)})
		time.Sleep(300 * time.Millisecond)
		s := h.said()
		slices.Sort(s)
		assert.DeepEqual(t, s, []string{"joined kept/a", "joined kept/b", "turned join kept/a cursor_expired"})
	})
}

// A subscription that was opened at its cursor before the owner was heard, and that lacks what is no longer held, is not taken up with a gap:
// the visitor is sent away to come back with its cursors.
func TestOpenedSubscriptionWithAGapIsBroken(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		v.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursor(10)})
		v.Do(Request{Verb: Subscribe, Topic: "kept/b", Cursor: cursor(10)})
		time.Sleep(900 * time.Millisecond)
		s := h.said()
		slices.Sort(s)
		assert.DeepEqual(t, s, []string{"joined kept/a", "joined kept/b"})
		h.src.mu.Lock()
		h.src.follow = at(40, map[string]uint64{"kept/a": 15, "kept/b": 12})
		h.src.mu.Unlock()
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.said(), []string{"moved " + here})
	})
}

// A node that was away from an owner for longer than messages are held does not pass over those that are gone. Live messages may be passed over.
func TestGapInWhatANodeFollowsBreaksItsSubscriptions(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		h.src.follow = at(20, nil)
		w := h.NewSession(h.hear)
		w.Do(Request{Verb: Attach, Client: "w"})
		v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		v.Do(Request{Verb: Subscribe, Topic: "live/a"})
		w.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		w.Do(Request{Verb: Subscribe, Topic: "live/a"})
		time.Sleep(100 * time.Millisecond)
		h.said()
		given := false
		entry := func(topic string, o uint64) log.Entry {
			return log.Entry{Type: log.TypeMessage, Topic: topic, Client: "x", CallSeq: o, Offset: o}
		}
		h.src.mu.Lock()
		h.src.poll = func(q *leader.PollRequest) *leader.PollResponse {
			if given {
				return nil
			}
			given = true
			return &leader.PollResponse{Epoch: 1, Base: 40, To: 44, Trimmed: map[string]uint64{"kept/a": 30, "live/a": 35}, Entries: []log.Entry{entry("kept/a", 41), entry("kept/b", 42), entry("live/a", 43)}}
		}
		h.src.mu.Unlock()
		time.Sleep(4 * time.Second)
		s := h.said()
		slices.Sort(s)
		assert.DeepEqual(t, s, []string{"message kept/b x/42", "message live/a x/43", "message live/a x/43", "moved " + here})
		v.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		assert.DeepEqual(t, h.said(), []string{"left kept/a"})
	})
}

// Topics are left while the description changes under them.
func TestLeavingWhileSpacesChange(t *testing.T) {
	enter(t, func(_ *testing.T, h *hall, v *Session) {
		h.src.follow = at(1, nil)
		for i := range 400 {
			v.Do(Request{Verb: Subscribe, Topic: "kept/a"})
			v.Do(Request{Verb: Subscribe, Topic: "kept/b"})
			h.seq++
			sp := []configuration.Space{kept, other}[i%2]
			go h.board.Apply(gossip.Update{Configuration: &configuration.Config{Sequence: h.seq, Base: h.seq - 1, Spaces: []configuration.Space{sp, kept}[i%2 : 2]}})
			v.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
			v.Do(Request{Verb: Unsubscribe, Topic: "kept/b"})
		}
		synctest.Wait()
	})
}

// What a returning visitor missed comes in several parts, while newer messages come already: all are given, in order.
func TestMissedMessagesComeInPartsBeforeNewerOnes(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		entry := func(o uint64) log.Entry {
			return log.Entry{Type: log.TypeMessage, Topic: "kept/a", Client: "x", CallSeq: o, Offset: o}
		}
		polled := uint64(40)
		h.src.follow = func(q *leader.FollowRequest) *leader.FollowResponse {
			a := &leader.FollowResponse{Epoch: 1, CommittedEnd: 40, BacklogEnd: 40}
			if from, ok := q.After["kept/a"]; ok {
				_ = clock.Real{}.Sleep(t.Context(), 10*time.Millisecond)
				a.BacklogEnd = min(from+10, 40)
				for o := from + 1; o <= a.BacklogEnd; o++ {
					a.Backlog = append(a.Backlog, entry(o))
				}
			}
			return a
		}
		h.src.poll = func(*leader.PollRequest) *leader.PollResponse {
			if polled >= 60 {
				return nil
			}
			polled++
			return &leader.PollResponse{Epoch: 1, To: polled, Entries: []log.Entry{entry(polled)}}
		}
		w := h.NewSession(func(Response) {})
		w.Do(Request{Verb: Attach, Client: "w"})
		w.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		v.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursor(5)})
		time.Sleep(time.Second)
		want := []string{"joined kept/a"}
		for o := 6; o <= 60; o++ {
			want = append(want, fmt.Sprintf("message kept/a x/%d", o))
		}
		assert.DeepEqual(t, h.said(), want)
	})
}
