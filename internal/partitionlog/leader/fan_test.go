package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
)

func following(t *testing.T, script func(t *testing.T, o *Leader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := New(Options{Clock: clock.Real{}, Timing: settings.DefaultTiming}, assignment.Record{Epoch: 1, Replicas: []assignment.Replica{{Node: "s1"}}}, false)
		o.stage = StageOpen
		o.tracks[log.KindLedger] = newTrack(log.KindLedger, log.New())
		o.st = state.New()
		script(t, o)
	})
}

func (o *Leader) polling(ctx context.Context, seq uint64) chan error {
	c := make(chan error, 1)
	go func() {
		_, err := o.Poll(ctx, &PollRequest{Node: "a1", BootID: "b", Sequence: seq, Hold: o.d.Timing.Spread})
		c <- err
	}()
	synctest.Wait()
	return c
}

// A poll that broke off is heard of late, when the node polls again already: its listeners go on counting.
func TestBrokenPollDoesNotEndTheOneAfterIt(t *testing.T) {
	following(t, func(t *testing.T, o *Leader) {
		_, err := o.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", Sequence: 1, Full: true, Topics: map[string]int{"t": 3}})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		first := o.polling(ctx, 1)
		second := o.polling(t.Context(), 1)
		stop()
		assert.Assert(t, <-first != nil)
		time.Sleep(time.Second)
		n, err := o.Subscribers("t")
		assert.NilError(t, err)
		assert.Equal(t, n, 3)
		assert.NilError(t, <-second)
		ctx, stop = context.WithCancel(t.Context())
		third := o.polling(ctx, 1)
		stop()
		assert.Assert(t, <-third != nil)
		time.Sleep(time.Second)
		n, err = o.Subscribers("t")
		assert.NilError(t, err)
		assert.Equal(t, n, 0, "those of a node whose only poll broke off count no longer")
	})
}

// What was missed comes in parts: one message while someone waits for its place, as much as a slow link carries otherwise.
func TestABriefAnswerHoldsOneMessage(t *testing.T) {
	following(t, func(t *testing.T, o *Leader) {
		k := o.tracks[log.KindLedger]
		for range 4 {
			k.push(log.Entry{Type: log.TypeMessage, Topic: "t", Body: make([]byte, 600)}, 1)
			k.push(log.Entry{Type: log.TypeMessage, Topic: "other"}, 1)
		}
		k.line.Append(time.Now(), k.pending...)
		k.pending, k.durable, k.commit = nil, k.last.Offset, k.last.Offset
		a, err := o.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", Sequence: 1, Full: true, FirstOnly: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 1}})
		assert.NilError(t, err)
		assert.Equal(t, len(a.Backlog), 1)
		assert.Equal(t, a.Backlog[0].Offset, uint64(3))
		assert.Assert(t, a.BacklogEnd >= 3 && a.BacklogEnd < 5, "the next one is at 5, told up to %d", a.BacklogEnd)
		a, err = o.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, After: map[string]uint64{"t": a.BacklogEnd}})
		assert.NilError(t, err)
		assert.Equal(t, len(a.Backlog), 2)
		assert.Equal(t, a.BacklogEnd, a.CommittedEnd)
	})
}
