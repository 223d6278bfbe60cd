package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
)

func withSingleReplica(t *testing.T, run func(t *testing.T, leader *Leader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		leader := New(
			Options{Clock: clock.Real{}, Timing: settings.DefaultTiming},
			assignment.Record{Epoch: 1, Replicas: []assignment.Replica{{Node: "s1"}}}, false,
		)
		leader.stage = StageOpen
		leader.logs[log.KindInput] = newLogProgress(log.KindInput, log.New())
		leader.state = state.New()
		run(t, leader)
	})
}

func (l *Leader) startPoll(ctx context.Context, sequence uint64) chan error {
	result := make(chan error, 1)
	go func() {
		_, err := l.Poll(ctx, &PollRequest{Node: "a1", BootID: "b", Sequence: sequence, MaxWait: l.options.Timing.Spread})
		result <- err
	}()
	synctest.Wait()
	return result
}

// A node may poll again before the leader notices that its previous poll was canceled. The end of
// the canceled poll must not expire that node's subscribers.
func TestPoll_BrokenOffDoesNotEndTheNextOne(t *testing.T) {
	withSingleReplica(t, func(t *testing.T, leader *Leader) {
		_, err := leader.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", Sequence: 1, Full: true, Topics: map[string]int{"t": 3},
		})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		first := leader.startPoll(ctx, 1)
		second := leader.startPoll(t.Context(), 1)
		stop()
		assert.Assert(t, <-first != nil)
		time.Sleep(time.Second)
		subscribers, err := leader.Subscribers("t")
		assert.NilError(t, err)
		assert.Equal(t, subscribers, 3)
		assert.NilError(t, <-second)
		ctx, stop = context.WithCancel(t.Context())
		third := leader.startPoll(ctx, 1)
		stop()
		assert.Assert(t, <-third != nil)
		time.Sleep(time.Second)
		subscribers, err = leader.Subscribers("t")
		assert.NilError(t, err)
		assert.Equal(t, subscribers, 0, "subscribers of a node whose only poll was canceled")
	})
}

// A backlog is returned in parts: one message with FirstOnly, otherwise a little more than
// maxFollowBytes, which a slow link still carries.
func TestFollow_FirstOnlyReturnsOneMessage(t *testing.T) {
	withSingleReplica(t, func(t *testing.T, leader *Leader) {
		partitionLog := leader.logs[log.KindInput]
		for range 4 {
			partitionLog.appendEntry(log.Entry{Type: log.TypeMessage, Topic: "t", Body: make([]byte, 600)}, 1)
			partitionLog.appendEntry(log.Entry{Type: log.TypeMessage, Topic: "other"}, 1)
		}
		partitionLog.log.Append(time.Now(), partitionLog.pending...)
		partitionLog.pending, partitionLog.durable, partitionLog.commit = nil,
			partitionLog.last.Offset, partitionLog.last.Offset
		response, err := leader.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", Sequence: 1, Full: true, FirstOnly: true, Topics: map[string]int{"t": 1},
			After: map[string]uint64{"t": 1},
		})
		assert.NilError(t, err)
		assert.Equal(t, len(response.Backlog), 1)
		assert.Equal(t, response.Backlog[0].Offset, uint64(3))
		assert.Assert(
			t, response.BacklogEnd >= 3 && response.BacklogEnd < 5, "the next one is at 5, the backlog ends at %d",
			response.BacklogEnd,
		)
		response, err = leader.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2,
			After: map[string]uint64{"t": response.BacklogEnd},
		})
		assert.NilError(t, err)
		assert.Equal(t, len(response.Backlog), 2)
		assert.Equal(t, response.BacklogEnd, response.CommittedEnd)
	})
}
