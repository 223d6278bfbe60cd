package fanout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// slowLeader is a leader behind a slow link. A response with messages takes longer than a new
// subscription waits.
type slowLeader struct {
	delay   time.Duration
	backlog []log.Entry
}

func (l *slowLeader) Follow(
	ctx context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	if err := (clock.Real{}).Sleep(ctx, l.delay); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	last := l.backlog[len(l.backlog)-1].Offset
	response := &leader.FollowResponse{Epoch: 1, CommittedEnd: last, BacklogEnd: last}
	for _, entry := range l.backlog {
		if offset, ok := request.After[entry.Topic]; ok && entry.Offset > offset {
			response.Backlog = append(response.Backlog, entry)
		}
	}
	return response, nil
}

func (l *slowLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	_ = clock.Real{}.Sleep(ctx, request.MaxWait)
	return &leader.PollResponse{Epoch: 1, To: request.From}, nil
}

func TestBacklogOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		ctx, stop := context.WithCancel(t.Context())
		slow := &slowLeader{
			delay: 3 * timing.MaxBackoff(),
			backlog: []log.Entry{
				{Offset: 4, Type: log.TypeMessage, Topic: "a"},
				{Offset: 7, Type: log.TypeMessage, Topic: "a"},
			},
		}
		hub := New(ctx, "a1", "boot", slow, gossip.NewStore(nil), clock.Real{}, timing)
		first := hub.NewSubscription(0, "a")
		offset := uint64(3)
		first.After = &offset
		var opened, received []uint64
		first.OnOpen = func(offset uint64, err error) {
			assert.NilError(t, err)
			opened = append(opened, offset)
		}
		first.OnEntry = func(entry log.Entry) { received = append(received, entry.Offset) }
		hub.Subscribe(first)
		time.Sleep(timing.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, opened, []uint64{3})
		time.Sleep(2 * timing.CallTimeout())
		synctest.Wait()
		assert.DeepEqual(t, received, []uint64{4, 7})
		hub.Unsubscribe(first)
		stop()
		synctest.Wait()
	})
}
