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
		n := 0
		b := newBench(func(
			b *bench, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			time.Sleep(3 * time.Millisecond)
			b.mu.Lock()
			n++
			code := n
			b.mu.Unlock()
			switch code % 7 {
			case 2:
				return lost()
			case 4:
				b.take(&SubmitManyRequest{Messages: request.Messages[:(len(request.Messages)+1)/2]})
				return lost()
			case 6:
				return nil, apierror.New(apierror.NotReady, "taking over")
			}
			return b.take(request), nil
		})
		b.owned("s1")
		for c := range uint64(600) {
			b.offer(c+1, 10*time.Second)
			if c%5 == 0 {
				wait(2 * time.Millisecond)
			}
		}
		wait(20 * time.Second)
		assert.Equal(t, len(b.results), 600)
		assert.Equal(t, len(b.again), 0, "told twice, or of another's place: %v", b.again)
		for c := range uint64(600) {
			assert.Equal(t, b.kind(c+1), apierror.Code("taken"), "call %d", c+1)
		}
		assert.Assert(t, slices.IsSorted(b.got) && len(b.got) == 600)
		assert.Equal(t, b.most, 1, "batches of one node and partition under way")
		assert.Assert(t, n < 200, "%d batches", n)
	})
}

// What was surely never taken is told so, and nothing else is.
func TestSubmitAsync_GivesUpWithATruePromise(t *testing.T) {
	cases := map[string]struct {
		owner string
		path  func(b *bench, n int, ctx context.Context, request *SubmitManyRequest) (*SubmitManyResponse, error)
		kind  apierror.Code
		last  time.Duration
	}{
		"no owner":         {"", nil, apierror.NoPartitionLeader, 300 * time.Millisecond},
		"the owner's gone": {"s9", nil, apierror.NoPartitionLeader, 300 * time.Millisecond},
		"each call lost": {
			"s1",
			func(*bench, int, context.Context, *SubmitManyRequest) (*SubmitManyResponse, error) { return lost() },
			apierror.OutcomeUnknown, 500 * time.Millisecond,
		},
		"taking over, at length": {"s1", func(
			*bench, int, context.Context, *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			return nil, apierror.New(apierror.NotReady, "x")
		}, apierror.OutcomeUnknown, 2 * time.Second},
		"taking over here, at length": {"a1", nil, apierror.NoPartitionLeader, 2 * time.Second},
		"nobody listens":              {"s0", nil, apierror.NoPartitionLeader, 500 * time.Millisecond},
		"one call lost, then taking over": {"s1", func(
			_ *bench, n int, _ context.Context, _ *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if n == 1 {
				return lost()
			}
			return nil, apierror.New(apierror.NotReady, "x")
		}, apierror.OutcomeUnknown, 2 * time.Second},
		"one call lost, then no room": {"s1", func(
			_ *bench, n int, _ context.Context, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if n == 1 {
				return lost()
			}
			return &SubmitManyResponse{Outcomes: []leader.Outcome{{Err: apierror.New(apierror.Overloaded, "x")}}}, nil
		}, apierror.OutcomeUnknown, 500 * time.Millisecond},
		"one call lost, then passed": {"s1", func(
			_ *bench, n int, _ context.Context, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if n == 1 {
				return lost()
			}
			return &SubmitManyResponse{Outcomes: []leader.Outcome{{Err: apierror.New(apierror.CallPassed, "x")}}}, nil
		}, apierror.CallPassed, 500 * time.Millisecond},
		"no room": {"s1", func(*bench, int, context.Context, *SubmitManyRequest) (*SubmitManyResponse, error) {
			return &SubmitManyResponse{Outcomes: []leader.Outcome{{Err: apierror.New(apierror.Overloaded, "x")}}}, nil
		}, apierror.OutcomeUnknown, time.Millisecond},
		"the owner hangs": {"s1", func(
			_ *bench, _ int, ctx context.Context, _ *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			<-ctx.Done()
			return lost()
		}, apierror.OutcomeUnknown, 1500 * time.Millisecond},
	}
	for n, c := range cases {
		t.Run(n, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				code := 0
				b := newBench(func(
					b *bench, ctx context.Context, _ string, request *SubmitManyRequest,
				) (*SubmitManyResponse, error) {
					code++
					return c.path(b, code, ctx, request)
				})
				b.owned(c.owner)
				begun := time.Now()
				b.offer(1, 5*time.Second)
				wait(6 * time.Second)
				assert.Equal(t, b.kind(1), c.kind, "%v", b.results[1])
				assert.Assert(t, b.times[1].Sub(begun) <= c.last, "told after %s", b.times[1].Sub(begun))
			})
		})
	}
}

// A message whose time is over is told so on the instant: one that is under way may have been
// taken, one that waits behind was never sent.
func TestSubmitAsync_AnsweredAtItsDeadline(t *testing.T) {
	bubble(t, func(t *testing.T) {
		b := newBench(func(
			b *bench, ctx context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-ctx.Done():
				return lost()
			}
			return b.take(request), nil
		})
		b.owned("s1")
		begun := time.Now()
		b.offer(1, 700*time.Millisecond)
		synctest.Wait()
		b.offer(2, 500*time.Millisecond)
		b.offer(3, 300*time.Millisecond)
		b.offer(4, 3*time.Second)
		wait(5 * time.Second)
		at := func(c uint64) time.Duration { return b.times[c].Sub(begun) }
		assert.Equal(t, b.kind(1), apierror.OutcomeUnknown)
		assert.Equal(t, at(1), 700*time.Millisecond)
		assert.Equal(t, b.kind(2), apierror.NoPartitionLeader)
		assert.Equal(t, at(2), 500*time.Millisecond)
		assert.Equal(t, b.kind(3), apierror.NoPartitionLeader)
		assert.Equal(t, at(3), 300*time.Millisecond)
		assert.Equal(t, b.kind(4), apierror.Code("taken"))
		assert.DeepEqual(t, b.got, []uint64{1, 4})
		assert.Equal(t, len(b.again), 0)
	})
}

// Past the backlog a message is turned away at once, and never reaches an owner.
func TestSubmitAsync_PastTheBacklogIsNeverForwarded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		b := newBench(func(
			b *bench, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			time.Sleep(time.Second)
			return b.take(request), nil
		})
		b.Backlog = func() int { return 3 }
		b.owned("s1")
		for c := range uint64(5) {
			b.offer(c+1, 5*time.Second)
			if c == 0 {
				synctest.Wait()
			}
		}
		assert.Equal(t, b.kind(4), apierror.Overloaded, "told before Offer returns")
		assert.Equal(t, b.kind(5), apierror.Overloaded)
		wait(5 * time.Second)
		assert.DeepEqual(t, b.got, []uint64{1, 2, 3})
		b.offer(6, 5*time.Second)
		wait(2 * time.Second)
		assert.Equal(t, b.kind(6), apierror.Code("taken"), "the lane takes up again after it ended")
	})
}

// Of a batch, what is decided is told; the rest is tried again, before all that came later.
func TestSubmitAsync_DecidedMessagesAreAnsweredBesideOthers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := 0
		var seen [][]uint64
		b := newBench(func(
			b *bench, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			n++
			var cs []uint64
			for _, x := range request.Messages {
				cs = append(cs, x.CallSeq)
			}
			seen = append(seen, cs)
			time.Sleep(10 * time.Millisecond)
			if n != 2 {
				return b.take(request), nil
			}
			response := b.take(&SubmitManyRequest{Messages: request.Messages[:1]})
			for range request.Messages[1:] {
				response.Outcomes = append(response.Outcomes, leader.Outcome{
					Err: apierror.New(apierror.OutcomeUnknown, "lost the partition"),
				})
			}
			return response, nil
		})
		b.owned("s1")
		for c := range uint64(4) {
			b.offer(c+1, 5*time.Second)
			if c == 0 {
				synctest.Wait()
			}
		}
		wait(15 * time.Millisecond)
		b.offer(5, 5*time.Second)
		wait(10 * time.Millisecond)
		assert.Equal(t, b.kind(2), apierror.Code("taken"))
		assert.Equal(t, b.kind(3), apierror.Code("not told"))
		wait(time.Second)
		assert.Equal(t, fmt.Sprint(seen), "[[1] [2 3 4] [3 4 5]]")
		assert.DeepEqual(t, b.got, []uint64{1, 2, 3, 4, 5})
	})
}

// A call that hangs at an owner that is one no more is left at the news of another, which is asked at once.
func TestSubmitAsync_FollowsTheRecordAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		b := newBench(func(
			b *bench, ctx context.Context, to string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if to == "s1" {
				<-ctx.Done()
				return lost()
			}
			return b.take(request), nil
		})
		b.owned("s1")
		begun := time.Now()
		b.offer(1, 5*time.Second)
		wait(100 * time.Millisecond)
		b.offer(2, 5*time.Second)
		b.owned("s2")
		wait(time.Second)
		assert.Equal(t, b.times[1].Sub(begun), 100*time.Millisecond)
		assert.Equal(t, b.kind(1), apierror.Code("taken"))
		assert.DeepEqual(t, b.got, []uint64{1, 2})
	})
}
