package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

const testPartition = 3

// fixture is a router with fake leaders behind a network that may lose calls and responses.
type fixture struct {
	*Router
	mu           sync.Mutex
	respond      func(ctx context.Context, node string, request *SubmitManyRequest) (*SubmitManyResponse, error)
	accepted     []uint64
	inFlight     int
	maxInFlight  int
	results      map[uint64]error
	answeredAt   map[uint64]time.Time
	wrongAnswers []uint64
	version      uint64
}

// Do delivers a call to the fake leader.
func (f *fixture) Do(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "s0" {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "connection refused")
	}
	mux := http.NewServeMux()
	SubmitMany.Handle(mux, func(_ context.Context, request *SubmitManyRequest) (*SubmitManyResponse, error) {
		f.mu.Lock()
		f.inFlight++
		f.maxInFlight = max(f.maxInFlight, f.inFlight)
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.inFlight--
			f.mu.Unlock()
		}()
		return f.respond(r.Context(), r.URL.Host, request)
	})
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, r)
	response := recorder.Result()
	if err := r.Context().Err(); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer")
	}
	return response, nil
}

type notReadyLeaders struct{}

func (notReadyLeaders) Leader(int) (*leader.Leader, error) {
	return nil, apierror.New(apierror.NotReady, "taking over")
}

// lostCall returns the error of a call that was lost on the network.
func lostCall() (*SubmitManyResponse, error) { return nil, apierror.New(apierror.Unreachable, "lost") }

func (f *fixture) setLeader(leader string) {
	f.version++
	f.Store.Apply(gossip.Update{
		Records: []assignment.Record{{Partition: testPartition, Leader: leader, Epoch: f.version, Version: f.version}},
	})
}

func newFixture(respond func(f *fixture, ctx context.Context, node string, request *SubmitManyRequest) (
	*SubmitManyResponse, error,
)) *fixture {
	f := &fixture{results: map[uint64]error{}, answeredAt: map[uint64]time.Time{}}
	f.respond = func(ctx context.Context, node string, request *SubmitManyRequest) (*SubmitManyResponse, error) {
		return respond(f, ctx, node, request)
	}
	view := membership.NewView()
	view.Set([]membership.Info{
		{Name: "s1", PeerAddr: "s1"}, {Name: "s2", PeerAddr: "s2"}, {Name: "s0", PeerAddr: "s0"},
	})
	f.Router = &Router{
		Self: "a1", Net: f, Clock: clock.Real{}, Timing: settings.DefaultTiming,
		Store: gossip.NewStore(func(update gossip.Update) { f.ApplyRecords(update.Records) }), View: view,
		Leaders: notReadyLeaders{}, Backlog: func() int { return 1000 },
	}
	return f
}

func (f *fixture) submitCall(callSeq uint64, timeout time.Duration) {
	f.SubmitAsync(context.Background(), testPartition, &leader.Message{
		Client: "v", Topic: "t", CallSeq: callSeq, Body: []byte("1"),
	}, time.Now().Add(timeout), func(decision *leader.Decision, err error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if _, ok := f.results[callSeq]; ok {
			f.wrongAnswers = append(f.wrongAnswers, callSeq)
		}
		f.results[callSeq], f.answeredAt[callSeq] = err, time.Now()
		if err == nil && decision.Offset != callSeq {
			f.wrongAnswers = append(f.wrongAnswers, callSeq)
		}
	})
}

func (f *fixture) outcome(call uint64) apierror.Code {
	f.mu.Lock()
	defer f.mu.Unlock()
	err, ok := f.results[call]
	switch {
	case !ok:
		return "no answer"
	case err == nil:
		return "accepted"
	}
	return apierror.From(err).Code
}

// decide decides messages as a leader does: it accepts a number above the last one.
func (f *fixture) decide(request *SubmitManyRequest) *SubmitManyResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	response := &SubmitManyResponse{}
	for _, message := range request.Messages {
		outcome := leader.Outcome{Decision: &leader.Decision{Offset: message.CallSeq}}
		switch {
		case slices.Contains(f.accepted, message.CallSeq):
			outcome.Decision.Duplicate = true
		case len(f.accepted) > 0 && message.CallSeq < f.accepted[len(f.accepted)-1]:
			outcome = leader.Outcome{Err: apierror.New(apierror.CallPassed, "%d", message.CallSeq)}
		default:
			f.accepted = append(f.accepted, message.CallSeq)
		}
		response.Outcomes = append(response.Outcomes, outcome)
	}
	return response
}

// advance lets time pass in a synctest bubble.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// bubble runs a test in a synctest bubble.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		synctest.Wait()
	})
}
