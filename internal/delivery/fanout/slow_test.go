package fanout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// thin is an owner behind a link that takes longer for an answer with messages than a new subscription waits.
type thin struct {
	takes time.Duration
	back  []log.Entry
}

func (s *thin) Follow(ctx context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	if err := (clock.Real{}).Sleep(ctx, s.takes); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	last := s.back[len(s.back)-1].Offset
	a := &leader.FollowResponse{Epoch: 1, CommittedEnd: last, BacklogEnd: last}
	for _, e := range s.back {
		if at, ok := q.After[e.Topic]; ok && e.Offset > at {
			a.Backlog = append(a.Backlog, e)
		}
	}
	return a, nil
}

func (s *thin) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	_ = clock.Real{}.Sleep(ctx, q.Hold)
	return &leader.PollResponse{Epoch: 1, To: q.From}, nil
}

func TestMissedMessagesComeOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		s := &thin{takes: 3 * b.MaxBackoff(), back: []log.Entry{{Offset: 4, Type: log.TypeMessage, Topic: "a"}, {Offset: 7, Type: log.TypeMessage, Topic: "a"}}}
		h := New(ctx, "a1", "boot", s, gossip.NewStore(nil), clock.Real{}, b)
		x := h.NewSubscription(0, "a")
		at := uint64(3)
		x.After = &at
		var opened, got []uint64
		x.OnOpen = func(at uint64, err error) {
			assert.NilError(t, err)
			opened = append(opened, at)
		}
		x.OnEntry = func(e log.Entry) { got = append(got, e.Offset) }
		h.Subscribe(x)
		time.Sleep(b.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, opened, []uint64{3})
		time.Sleep(2 * b.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, got, []uint64{4, 7})
		h.Unsubscribe(x)
		stop()
		synctest.Wait()
	})
}
