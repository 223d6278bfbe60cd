package fanout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

// tokenLeader accepts only nodes that send the reader token that it assigned last.
type tokenLeader struct {
	mu         sync.Mutex
	token      uint64
	follows    int
	pollTokens []uint64
	rejects    bool
}

func (l *tokenLeader) Follow(
	_ context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follows++
	return &leader.FollowResponse{
		Epoch:           1,
		UnknownFollower: l.rejects || request.ReaderToken != l.token,
		ReaderToken:     l.token,
	}, nil
}

func (l *tokenLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	l.mu.Lock()
	l.pollTokens = append(l.pollTokens, request.ReaderToken)
	token, isStale := l.token, request.ReaderToken != l.token
	l.mu.Unlock()
	if !isStale {
		_ = clock.Real{}.Sleep(ctx, request.MaxWait)
	}
	return &leader.PollResponse{Epoch: 1, To: request.From, ReaderToken: token}, nil
}

func (l *tokenLeader) configure(token uint64, rejects bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.rejects = token, rejects
}

func (l *tokenLeader) takeCounts() (int, []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	follows, pollTokens := l.follows, l.pollTokens
	l.follows, l.pollTokens = 0, nil
	return follows, pollTokens
}

// A reader token is sent at once with the next call. A leader that rejects it nevertheless is
// called again only after a backoff.
func TestReaderTokenIsSentWithNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		tokens := &tokenLeader{token: 7}
		hub := New(ctx, "a1", "boot", tokens, gossip.NewStore(nil), clock.Real{}, timing)
		first := hub.NewSubscription(0, "a")
		first.OnOpen = func(uint64, error) {}
		hub.Subscribe(first)
		time.Sleep(timing.MaxBackoff())
		synctest.Wait()
		follows, pollTokens := tokens.takeCounts()
		assert.Equal(t, follows, 2, "once to get the token, once to send it")
		assert.DeepEqual(t, pollTokens, []uint64{7})

		tokens.configure(9, false)
		time.Sleep(timing.Spread)
		synctest.Wait()
		_, pollTokens = tokens.takeCounts()
		assert.DeepEqual(t, pollTokens, []uint64{7, 9})

		tokens.configure(9, true)
		second := hub.NewSubscription(0, "b")
		second.OnOpen = func(uint64, error) {}
		hub.Subscribe(second)
		time.Sleep(timing.CallTimeout())
		synctest.Wait()
		follows, _ = tokens.takeCounts()
		assert.Assert(t, follows > 2 && follows < 20, "called %d times in %s", follows, timing.CallTimeout())
		hub.Unsubscribe(first)
		hub.Unsubscribe(second)
		stop()
		synctest.Wait()
	})
}
