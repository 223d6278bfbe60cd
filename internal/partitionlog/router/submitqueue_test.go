package router

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
)

func TestSubmitAsync_ReachesTheLeaderInOrder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		attempts := 0
		f := newFixture(func(
			f *fixture, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			time.Sleep(3 * time.Millisecond)
			f.mu.Lock()
			attempts++
			attempt := attempts
			f.mu.Unlock()
			switch attempt % 7 {
			case 2:
				return lostCall()
			case 4:
				f.decide(&SubmitManyRequest{Messages: request.Messages[:(len(request.Messages)+1)/2]})
				return lostCall()
			case 6:
				return nil, apierror.New(apierror.NotReady, "taking over")
			}
			return f.decide(request), nil
		})
		f.setLeader("s1")
		for i := range uint64(600) {
			f.submitCall(i+1, 10*time.Second)
			if i%5 == 0 {
				advance(2 * time.Millisecond)
			}
		}
		advance(20 * time.Second)
		assert.Equal(t, len(f.results), 600)
		assert.Equal(t, len(f.wrongAnswers), 0, "answered twice, or with another offset: %v", f.wrongAnswers)
		for i := range uint64(600) {
			assert.Equal(t, f.outcome(i+1), apierror.Code("accepted"), "call %d", i+1)
		}
		assert.Assert(t, slices.IsSorted(f.accepted) && len(f.accepted) == 600)
		assert.Equal(t, f.maxInFlight, 1, "batches of one node and partition in flight")
		assert.Assert(t, attempts < 200, "%d batches", attempts)
	})
}

// A message that is given up is reported as not accepted only where no attempt can have been
// decided. Otherwise its outcome is unknown.
func TestSubmitAsync_ReportsTheTrueOutcomeWhenItGivesUp(t *testing.T) {
	cases := map[string]struct {
		leader  string
		respond func(
			f *fixture, attempt int, ctx context.Context, request *SubmitManyRequest,
		) (*SubmitManyResponse, error)
		wantCode apierror.Code
		within   time.Duration
	}{
		"no leader":               {"", nil, apierror.NoPartitionLeader, 300 * time.Millisecond},
		"the leader is no member": {"s9", nil, apierror.NoPartitionLeader, 300 * time.Millisecond},
		"each call lost": {
			"s1",
			func(*fixture, int, context.Context, *SubmitManyRequest) (*SubmitManyResponse, error) {
				return lostCall()
			},
			apierror.OutcomeUnknown, 500 * time.Millisecond,
		},
		"a long takeover": {"s1", func(
			*fixture, int, context.Context, *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			return nil, apierror.New(apierror.NotReady, "x")
		}, apierror.OutcomeUnknown, 2 * time.Second},
		"a long takeover on this node": {"a1", nil, apierror.NoPartitionLeader, 2 * time.Second},
		"connection refused":           {"s0", nil, apierror.NoPartitionLeader, 500 * time.Millisecond},
		"one call lost, then taking over": {"s1", func(
			_ *fixture, attempt int, _ context.Context, _ *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if attempt == 1 {
				return lostCall()
			}
			return nil, apierror.New(apierror.NotReady, "x")
		}, apierror.OutcomeUnknown, 2 * time.Second},
		"one call lost, then overloaded": {"s1", func(
			_ *fixture, attempt int, _ context.Context, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if attempt == 1 {
				return lostCall()
			}
			return &SubmitManyResponse{Outcomes: []leader.Outcome{{Err: apierror.New(apierror.Overloaded, "x")}}}, nil
		}, apierror.OutcomeUnknown, 500 * time.Millisecond},
		"one call lost, then passed": {"s1", func(
			_ *fixture, attempt int, _ context.Context, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if attempt == 1 {
				return lostCall()
			}
			return &SubmitManyResponse{Outcomes: []leader.Outcome{{Err: apierror.New(apierror.CallPassed, "x")}}}, nil
		}, apierror.CallPassed, 500 * time.Millisecond},
		"overloaded": {"s1", func(*fixture, int, context.Context, *SubmitManyRequest) (*SubmitManyResponse, error) {
			return &SubmitManyResponse{Outcomes: []leader.Outcome{{Err: apierror.New(apierror.Overloaded, "x")}}}, nil
		}, apierror.OutcomeUnknown, time.Millisecond},
		"the leader hangs": {"s1", func(
			_ *fixture, _ int, ctx context.Context, _ *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			<-ctx.Done()
			return lostCall()
		}, apierror.OutcomeUnknown, 1500 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				attempt := 0
				f := newFixture(func(
					f *fixture, ctx context.Context, _ string, request *SubmitManyRequest,
				) (*SubmitManyResponse, error) {
					attempt++
					return test.respond(f, attempt, ctx, request)
				})
				f.setLeader(test.leader)
				start := time.Now()
				f.submitCall(1, 5*time.Second)
				advance(6 * time.Second)
				assert.Equal(t, f.outcome(1), test.wantCode, "%v", f.results[1])
				assert.Assert(
					t, f.answeredAt[1].Sub(start) <= test.within, "answered after %s", f.answeredAt[1].Sub(start),
				)
			})
		})
	}
}

// A message is answered exactly at its deadline. One in flight may have been accepted. One that
// waits behind it was never sent.
func TestSubmitAsync_AnsweredAtItsDeadline(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(func(
			f *fixture, ctx context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-ctx.Done():
				return lostCall()
			}
			return f.decide(request), nil
		})
		f.setLeader("s1")
		start := time.Now()
		f.submitCall(1, 700*time.Millisecond)
		synctest.Wait()
		f.submitCall(2, 500*time.Millisecond)
		f.submitCall(3, 300*time.Millisecond)
		f.submitCall(4, 3*time.Second)
		advance(5 * time.Second)
		elapsed := func(call uint64) time.Duration { return f.answeredAt[call].Sub(start) }
		assert.Equal(t, f.outcome(1), apierror.OutcomeUnknown)
		assert.Equal(t, elapsed(1), 700*time.Millisecond)
		assert.Equal(t, f.outcome(2), apierror.NoPartitionLeader)
		assert.Equal(t, elapsed(2), 500*time.Millisecond)
		assert.Equal(t, f.outcome(3), apierror.NoPartitionLeader)
		assert.Equal(t, elapsed(3), 300*time.Millisecond)
		assert.Equal(t, f.outcome(4), apierror.Code("accepted"))
		assert.DeepEqual(t, f.accepted, []uint64{1, 4})
		assert.Equal(t, len(f.wrongAnswers), 0)
	})
}

// A message beyond the backlog is rejected at once and never reaches a leader.
func TestSubmitAsync_PastTheBacklogIsNeverForwarded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(func(
			f *fixture, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			time.Sleep(time.Second)
			return f.decide(request), nil
		})
		f.Backlog = func() int { return 3 }
		f.setLeader("s1")
		for i := range uint64(5) {
			f.submitCall(i+1, 5*time.Second)
			if i == 0 {
				synctest.Wait()
			}
		}
		assert.Equal(t, f.outcome(4), apierror.Overloaded, "answered before SubmitAsync returns")
		assert.Equal(t, f.outcome(5), apierror.Overloaded)
		advance(5 * time.Second)
		assert.DeepEqual(t, f.accepted, []uint64{1, 2, 3})
		f.submitCall(6, 5*time.Second)
		advance(2 * time.Second)
		assert.Equal(t, f.outcome(6), apierror.Code("accepted"), "the queue starts again after it ended")
	})
}

// The decided messages of a batch are answered. The others are retried before all later messages.
func TestSubmitAsync_DecidedMessagesAreAnsweredBesideOthers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		attempts := 0
		var batches [][]uint64
		f := newFixture(func(
			f *fixture, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			attempts++
			var calls []uint64
			for _, message := range request.Messages {
				calls = append(calls, message.CallSeq)
			}
			batches = append(batches, calls)
			time.Sleep(10 * time.Millisecond)
			if attempts != 2 {
				return f.decide(request), nil
			}
			response := f.decide(&SubmitManyRequest{Messages: request.Messages[:1]})
			for range request.Messages[1:] {
				response.Outcomes = append(response.Outcomes, leader.Outcome{
					Err: apierror.New(apierror.OutcomeUnknown, "lost the partition"),
				})
			}
			return response, nil
		})
		f.setLeader("s1")
		for i := range uint64(4) {
			f.submitCall(i+1, 5*time.Second)
			if i == 0 {
				synctest.Wait()
			}
		}
		advance(15 * time.Millisecond)
		f.submitCall(5, 5*time.Second)
		advance(10 * time.Millisecond)
		assert.Equal(t, f.outcome(2), apierror.Code("accepted"))
		assert.Equal(t, f.outcome(3), apierror.Code("no answer"))
		advance(time.Second)
		assert.Equal(t, fmt.Sprint(batches), "[[1] [2 3 4] [3 4 5]]")
		assert.DeepEqual(t, f.accepted, []uint64{1, 2, 3, 4, 5})
	})
}

// A call that hangs at a former leader is canceled once a newer record names another leader, which
// is called at once.
func TestSubmitAsync_FollowsTheRecordAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(func(
			f *fixture, ctx context.Context, node string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if node == "s1" {
				<-ctx.Done()
				return lostCall()
			}
			return f.decide(request), nil
		})
		f.setLeader("s1")
		start := time.Now()
		f.submitCall(1, 5*time.Second)
		advance(100 * time.Millisecond)
		f.submitCall(2, 5*time.Second)
		f.setLeader("s2")
		advance(time.Second)
		assert.Equal(t, f.answeredAt[1].Sub(start), 100*time.Millisecond)
		assert.Equal(t, f.outcome(1), apierror.Code("accepted"))
		assert.DeepEqual(t, f.accepted, []uint64{1, 2})
	})
}
