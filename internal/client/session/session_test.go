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
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// fakeLeaders stands in for the leader of the only partition. A nil response is never returned.
type fakeLeaders struct {
	mu       sync.Mutex
	onFollow func(request *leader.FollowRequest) *leader.FollowResponse
	onPoll   func(request *leader.PollRequest) *leader.PollResponse
	requests []*leader.FollowRequest
}

// Follow returns what onFollow does.
func (leaders *fakeLeaders) Follow(
	ctx context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	leaders.mu.Lock()
	leaders.requests = append(leaders.requests, request)
	onFollow := leaders.onFollow
	leaders.mu.Unlock()
	if response := onFollow(request); response != nil {
		return response, nil
	}
	return nil, failAfter(ctx, settings.DefaultTiming.MaxBackoff())
}

// Poll returns what onPoll does, after a pause.
func (leaders *fakeLeaders) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	leaders.mu.Lock()
	onPoll := leaders.onPoll
	leaders.mu.Unlock()
	if onPoll != nil {
		if response := onPoll(request); response != nil {
			_ = failAfter(ctx, time.Millisecond)
			return response, nil
		}
	}
	return nil, failAfter(ctx, settings.DefaultTiming.Spread)
}

func failAfter(ctx context.Context, duration time.Duration) error {
	_ = clock.Real{}.Sleep(ctx, duration)
	return apierror.New(apierror.Unreachable, "no answer")
}

type fixture struct {
	*Registry
	leaders   *fakeLeaders
	store     *gossip.Store
	sequence  uint64
	mu        sync.Mutex
	responses []string
}

func (fixture *fixture) configure(spaces ...configuration.Space) {
	fixture.sequence++
	fixture.store.Apply(
		gossip.Update{
			Configuration: &configuration.Config{
				Sequence: fixture.sequence,
				Base:     fixture.sequence - 1,
				Spaces:   spaces,
			},
		},
	)
	synctest.Wait()
}

func (fixture *fixture) record(response Response) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	line := string(response.Type)
	switch response.Type {
	case Message:
		line += fmt.Sprintf(" %s %s/%d", response.Topic, response.From, response.CallSeq)
	case Rejected:
		line += fmt.Sprintf(" %s %s %s", response.InReplyTo, response.Topic, apierror.From(response.Err).Code)
	case Moved:
		line += " " + response.Address
	case Subscribed, Unsubscribed:
		line += " " + response.Topic
	}
	fixture.responses = append(fixture.responses, line)
}

// takeResponses returns what was sent since the last call.
func (fixture *fixture) takeResponses() []string {
	synctest.Wait()
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	recorded := fixture.responses
	fixture.responses = nil
	return recorded
}

var (
	retainedSpace = configuration.Space{Name: "kept", Kind: configuration.KindRetained, Topics: []string{"a", "b"}}
	otherSpace    = configuration.Space{Name: "other", Kind: configuration.KindRetained, Topics: []string{"a"}}
	liveSpace     = configuration.Space{Name: "live", Kind: configuration.KindLive, Topics: []string{"a"}}
)

const selfAddress = "127.0.0.1:1"

func withSession(t *testing.T, test func(t *testing.T, fixture *fixture, session *Session)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := gossip.NewStore(nil)
		store.Apply(
			gossip.Update{
				VoterSet: &voters.Set{Sequence: 1, Fleet: "fleet00", Layout: voters.Layout{RoutinePartitions: 1}},
				Records:  []assignment.Record{{Leader: "s1", Epoch: 1, Version: 1}},
			},
		)
		fixture := &fixture{leaders: &fakeLeaders{onFollow: func(*leader.FollowRequest) *leader.FollowResponse {
			return nil
		}}, store: store}
		hub := fanout.New(ctx, "a1", "boot", fixture.leaders, store, clock.Real{}, settings.DefaultTiming)
		fixture.Registry = (&Registry{
			Self: "a1", Clock: clock.Real{}, Timing: settings.DefaultTiming, Store: store, Hub: hub,
			CheckLease: func() error { return nil }, Draining: make(chan struct{}),
			Members: func() []membership.Info {
				return nil
			}, Info: func() membership.Info {
				return membership.Info{Name: "a1", ClientAddr: selfAddress}
			}, BodyLimit: 1 << 10,
		}).Start(ctx)
		go fixture.Run(ctx)
		go hub.Run(ctx)
		fixture.configure(retainedSpace, liveSpace)
		session := fixture.NewSession(fixture.record)
		session.Do(Request{Verb: Attach, Client: "v"})
		assert.DeepEqual(t, fixture.takeResponses(), []string{"attached"})
		test(t, fixture, session)
		stop()
		time.Sleep(time.Minute)
	})
}

func answerAt(offset uint64, trimmed map[string]uint64) func(request *leader.FollowRequest) *leader.FollowResponse {
	return func(*leader.FollowRequest) *leader.FollowResponse {
		return &leader.FollowResponse{Epoch: 1, CommittedEnd: offset, BacklogEnd: offset, Trimmed: trimmed}
	}
}

func cursorAt(offset uint64) string { return Cursor{0, offset}.Encode("fleet00") }

// Each Subscribe gets a response, whatever happens to the topic meanwhile.
func TestSubscribe_IsAlwaysAnswered(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		fixture.configure(otherSpace)
		assert.DeepEqual(t, fixture.takeResponses(), []string{"turned join kept/a unknown_space"})
	})
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		session.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		assert.DeepEqual(t, fixture.takeResponses(), []string{"turned join kept/a overloaded", "left kept/a"})
		session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		time.Sleep(2 * time.Second)
		assert.DeepEqual(
			t, fixture.takeResponses(),
			[]string{"turned join kept/a overloaded", "turned join kept/a no_owner"},
		)
		session.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		assert.DeepEqual(t, fixture.takeResponses(), []string{"left kept/a"})
		session.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		session.End()
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(fixture.takeResponses()), 0)
	})
}

// Only cursors after which messages of their topic were trimmed have expired, however old the
// cursors of other topics are.
func TestCursorsOfOneTopicExpireSeparately(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		fixture.leaders.onFollow = func(request *leader.FollowRequest) *leader.FollowResponse {
			time.Sleep(settings.DefaultTiming.MaxBackoff() / 4)
			return answerAt(40, map[string]uint64{"kept/a": 15})(request)
		}
		second := fixture.NewSession(fixture.record)
		second.Do(Request{Verb: Attach, Client: "w"})
		third := fixture.NewSession(fixture.record)
		third.Do(Request{Verb: Attach, Client: "x"})
		third.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		fixture.takeResponses()
		session.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursorAt(10)})
		second.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursorAt(20)})
		time.Sleep(300 * time.Millisecond)
		responses := fixture.takeResponses()
		slices.Sort(responses)
		assert.DeepEqual(t, responses, []string{"joined kept/a", "joined kept/b", "turned join kept/a cursor_expired"})
	})
}

// A subscription that was opened at its cursor before the leader answered doesn't continue with a
// gap if messages after the cursor are already trimmed: the client is asked to reconnect with its
// cursors.
func TestOpenedSubscriptionWithAGapIsBroken(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		session.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursorAt(10)})
		session.Do(Request{Verb: Subscribe, Topic: "kept/b", Cursor: cursorAt(10)})
		time.Sleep(900 * time.Millisecond)
		responses := fixture.takeResponses()
		slices.Sort(responses)
		assert.DeepEqual(t, responses, []string{"joined kept/a", "joined kept/b"})
		fixture.leaders.mu.Lock()
		fixture.leaders.onFollow = answerAt(40, map[string]uint64{"kept/a": 15, "kept/b": 12})
		fixture.leaders.mu.Unlock()
		time.Sleep(time.Second)
		assert.DeepEqual(t, fixture.takeResponses(), []string{"moved " + selfAddress})
	})
}

// A node that did not reach a leader for longer than the retention time does not skip the messages
// that were trimmed meanwhile. Live messages may be skipped.
func TestGapInWhatANodeFollowsBreaksItsSubscriptions(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		fixture.leaders.onFollow = answerAt(20, nil)
		second := fixture.NewSession(fixture.record)
		second.Do(Request{Verb: Attach, Client: "w"})
		session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		session.Do(Request{Verb: Subscribe, Topic: "live/a"})
		second.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		second.Do(Request{Verb: Subscribe, Topic: "live/a"})
		time.Sleep(100 * time.Millisecond)
		fixture.takeResponses()
		hasPolled := false
		entry := func(topic string, offset uint64) log.Entry {
			return log.Entry{Type: log.TypeMessage, Topic: topic, Client: "x", CallSeq: offset, Offset: offset}
		}
		fixture.leaders.mu.Lock()
		fixture.leaders.onPoll = func(request *leader.PollRequest) *leader.PollResponse {
			if hasPolled {
				return nil
			}
			hasPolled = true
			return &leader.PollResponse{
				Epoch:   1,
				Base:    40,
				To:      44,
				Trimmed: map[string]uint64{"kept/a": 30, "live/a": 35},
				Entries: []log.Entry{entry("kept/a", 41), entry("kept/b", 42), entry("live/a", 43)},
			}
		}
		fixture.leaders.mu.Unlock()
		time.Sleep(4 * time.Second)
		responses := fixture.takeResponses()
		slices.Sort(responses)
		assert.DeepEqual(
			t, responses,
			[]string{"message kept/b x/42", "message live/a x/43", "message live/a x/43", "moved " + selfAddress},
		)
		session.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		assert.DeepEqual(t, fixture.takeResponses(), []string{"left kept/a"})
	})
}

// Topics are unsubscribed while the configuration changes.
func TestUnsubscribeWhileSpacesChange(t *testing.T) {
	withSession(t, func(_ *testing.T, fixture *fixture, session *Session) {
		fixture.leaders.onFollow = answerAt(1, nil)
		for i := range 400 {
			session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
			session.Do(Request{Verb: Subscribe, Topic: "kept/b"})
			fixture.sequence++
			space := []configuration.Space{retainedSpace, otherSpace}[i%2]
			go fixture.store.Apply(
				gossip.Update{
					Configuration: &configuration.Config{
						Sequence: fixture.sequence,
						Base:     fixture.sequence - 1,
						Spaces:   []configuration.Space{space, retainedSpace}[i%2 : 2],
					},
				},
			)
			session.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
			session.Do(Request{Verb: Unsubscribe, Topic: "kept/b"})
		}
		synctest.Wait()
	})
}

// The backlog of a client that reconnects arrives in several parts, while newer messages arrive
// already. All are delivered, in order.
func TestBacklogInPartsIsDeliveredBeforeNewerMessages(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		entry := func(offset uint64) log.Entry {
			return log.Entry{Type: log.TypeMessage, Topic: "kept/a", Client: "x", CallSeq: offset, Offset: offset}
		}
		polled := uint64(40)
		fixture.leaders.onFollow = func(request *leader.FollowRequest) *leader.FollowResponse {
			response := &leader.FollowResponse{Epoch: 1, CommittedEnd: 40, BacklogEnd: 40}
			if from, ok := request.After["kept/a"]; ok {
				_ = clock.Real{}.Sleep(t.Context(), 10*time.Millisecond)
				response.BacklogEnd = min(from+10, 40)
				for offset := from + 1; offset <= response.BacklogEnd; offset++ {
					response.Backlog = append(response.Backlog, entry(offset))
				}
			}
			return response
		}
		fixture.leaders.onPoll = func(*leader.PollRequest) *leader.PollResponse {
			if polled >= 60 {
				return nil
			}
			polled++
			return &leader.PollResponse{Epoch: 1, To: polled, Entries: []log.Entry{entry(polled)}}
		}
		second := fixture.NewSession(func(Response) {})
		second.Do(Request{Verb: Attach, Client: "w"})
		second.Do(Request{Verb: Subscribe, Topic: "kept/b"})
		session.Do(Request{Verb: Subscribe, Topic: "kept/a", Cursor: cursorAt(5)})
		time.Sleep(time.Second)
		want := []string{"joined kept/a"}
		for offset := 6; offset <= 60; offset++ {
			want = append(want, fmt.Sprintf("message kept/a x/%d", offset))
		}
		assert.DeepEqual(t, fixture.takeResponses(), want)
	})
}
