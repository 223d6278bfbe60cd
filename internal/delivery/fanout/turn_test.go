package fanout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// usher is an owner that answers only those who tell the turn it gave last.
type usher struct {
	mu     sync.Mutex
	turn   uint64
	asked  int
	polled []uint64
	deaf   bool
}

func (u *usher) Follow(_ context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	time.Sleep(time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked++
	return &leader.FollowResponse{Epoch: 1, UnknownFollower: u.deaf || q.ReaderToken != u.turn, ReaderToken: u.turn}, nil
}

func (u *usher) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	u.mu.Lock()
	u.polled = append(u.polled, q.ReaderToken)
	t, late := u.turn, q.ReaderToken != u.turn
	u.mu.Unlock()
	if !late {
		_ = clock.Real{}.Sleep(ctx, q.Hold)
	}
	return &leader.PollResponse{Epoch: 1, To: q.From, ReaderToken: t}, nil
}

func (u *usher) set(turn uint64, deaf bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turn, u.deaf = turn, deaf
}

func (u *usher) saw() (int, []uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a, p := u.asked, u.polled
	u.asked, u.polled = 0, nil
	return a, p
}

// An owner's turn is told with what is asked next, at once; an owner that goes on answering as if nothing was told is not asked without a pause.
func TestTheTurnIsToldWithWhatIsAskedNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		u := &usher{turn: 7}
		h := New(ctx, "a1", "boot", u, gossip.NewStore(nil), clock.Real{}, b)
		x := h.NewSubscription(0, "a")
		x.OnOpen = func(uint64, error) {}
		h.Subscribe(x)
		time.Sleep(b.MaxBackoff())
		synctest.Wait()
		asked, polled := u.saw()
		assert.Equal(t, asked, 2, "once to hear the turn, once to tell it")
		assert.DeepEqual(t, polled, []uint64{7})

		u.set(9, false)
		time.Sleep(b.Spread)
		synctest.Wait()
		_, polled = u.saw()
		assert.DeepEqual(t, polled, []uint64{7, 9})

		u.set(9, true)
		y := h.NewSubscription(0, "b")
		y.OnOpen = func(uint64, error) {}
		h.Subscribe(y)
		time.Sleep(b.CallTimeout())
		synctest.Wait()
		asked, _ = u.saw()
		assert.Assert(t, asked > 2 && asked < 20, "asked %d times in %s", asked, b.CallTimeout())
		h.Unsubscribe(x)
		h.Unsubscribe(y)
		stop()
		synctest.Wait()
	})
}
