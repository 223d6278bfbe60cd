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

const part = 3

// bench is a router with stand-in leaders behind a network that may lose calls and answers.
type bench struct {
	*Router
	mu      sync.Mutex
	path    func(ctx context.Context, to string, request *SubmitManyRequest) (*SubmitManyResponse, error)
	got     []uint64
	under   int
	most    int
	results map[uint64]error
	times   map[uint64]time.Time
	again   []uint64
	writes  uint64
}

// Do carries a call to the stand-in.
func (b *bench) Do(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "s0" {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "nobody listens")
	}
	m := http.NewServeMux()
	SubmitMany.Handle(m, func(_ context.Context, request *SubmitManyRequest) (*SubmitManyResponse, error) {
		b.mu.Lock()
		b.under++
		b.most = max(b.most, b.under)
		b.mu.Unlock()
		defer func() {
			b.mu.Lock()
			b.under--
			b.mu.Unlock()
		}()
		return b.path(r.Context(), r.URL.Host, request)
	})
	rec := httptest.NewRecorder()
	m.ServeHTTP(rec, r)
	response := rec.Result()
	if err := r.Context().Err(); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer")
	}
	return response, nil
}

type unready struct{}

func (unready) Leader(int) (*leader.Leader, error) {
	return nil, apierror.New(apierror.NotReady, "taking over")
}

// lost makes a call fail on its way, as seen by the caller.
func lost() (*SubmitManyResponse, error) { return nil, apierror.New(apierror.Unreachable, "lost") }

func (b *bench) owned(who string) {
	b.writes++
	b.Store.Apply(gossip.Update{
		Records: []assignment.Record{{Partition: part, Leader: who, Epoch: b.writes, Version: b.writes}},
	})
}

func newBench(path func(b *bench, ctx context.Context, to string, request *SubmitManyRequest) (
	*SubmitManyResponse, error,
)) *bench {
	b := &bench{results: map[uint64]error{}, times: map[uint64]time.Time{}}
	b.path = func(ctx context.Context, to string, request *SubmitManyRequest) (*SubmitManyResponse, error) {
		return path(b, ctx, to, request)
	}
	v := membership.NewView()
	v.Set([]membership.Info{{Name: "s1", PeerAddr: "s1"}, {Name: "s2", PeerAddr: "s2"}, {Name: "s0", PeerAddr: "s0"}})
	b.Router = &Router{
		Self: "a1", Net: b, Clock: clock.Real{}, Timing: settings.DefaultTiming,
		Store: gossip.NewStore(func(n gossip.Update) { b.ApplyRecords(n.Records) }), View: v,
		Leaders: unready{}, Backlog: func() int { return 1000 },
	}
	return b
}

func (b *bench) offer(call uint64, until time.Duration) {
	b.SubmitAsync(context.Background(), part, &leader.Message{
		Client: "v", Topic: "t", CallSeq: call, Body: []byte("1"),
	}, time.Now().Add(until), func(d *leader.Decision, err error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if _, ok := b.results[call]; ok {
			b.again = append(b.again, call)
		}
		b.results[call], b.times[call] = err, time.Now()
		if err == nil && d.Offset != call {
			b.again = append(b.again, call)
		}
	})
}

func (b *bench) kind(call uint64) apierror.Code {
	b.mu.Lock()
	defer b.mu.Unlock()
	err, ok := b.results[call]
	switch {
	case !ok:
		return "not told"
	case err == nil:
		return "taken"
	}
	return apierror.From(err).Code
}

// take decides as an owner does: a number above the last is taken.
func (b *bench) take(request *SubmitManyRequest) *SubmitManyResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	response := &SubmitManyResponse{}
	for _, t := range request.Messages {
		v := leader.Outcome{Decision: &leader.Decision{Offset: t.CallSeq}}
		switch {
		case slices.Contains(b.got, t.CallSeq):
			v.Decision.Duplicate = true
		case len(b.got) > 0 && t.CallSeq < b.got[len(b.got)-1]:
			v = leader.Outcome{Err: apierror.New(apierror.CallPassed, "%d", t.CallSeq)}
		default:
			b.got = append(b.got, t.CallSeq)
		}
		response.Outcomes = append(response.Outcomes, v)
	}
	return response
}

func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t)
		synctest.Wait()
	})
}
