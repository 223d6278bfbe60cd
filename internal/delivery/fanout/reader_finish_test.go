package fanout

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

// A node that received nothing with a key, and lost no response, sends no report after its last
// topic was unsubscribed.
func TestWithoutKeys_NoFinishReport(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onPolls(pollAnswer(tick, message(5, "")))
		var first recorder
		subscription := first.subscribe(script.hub, "a", nil)
		advance(2 * tick)
		script.hub.Unsubscribe(subscription)
		advance(time.Minute)
		assert.DeepEqual(t, script.takeLog(), []string{
			"follow boot full=true topics=1 tombstones=true", "poll boot 4 tombstones=true",
			"poll boot 5 tombstones=true", "follow boot full=false topics=1 tombstones=true",
		})
	})
}

// A node reports that it is finished once its buffers hold nothing with a key, and repeats the
// report until the leader answers. A later subscription continues under another boot ID.
func TestReader_ReportsFinished(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		timing := settings.DefaultTiming
		script.blocked = true
		script.onPolls(pollAnswer(tick, message(5, "k")))
		var first, second recorder
		subscription := first.subscribe(script.hub, "a", nil)
		advance(2 * tick)
		script.takeLog()
		script.hub.Unsubscribe(subscription)
		lossesLeft := 2
		script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if request.Finished && lossesLeft > 0 {
				lossesLeft--
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 30, BacklogEnd: 30}, 0
		})
		advance(timing.Spread + tick)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{"follow boot full=false topics=1 tombstones=true", "release 0 close=false"},
		)
		advance(timing.LongPoll())
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{"release 0 close=true", "finished boot full=true topics=0 tombstones=true"},
		)
		advance(time.Minute)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{
				"finished boot full=true topics=0 tombstones=true",
				"finished boot full=true topics=0 tombstones=true",
			},
		)
		second.subscribe(script.hub, "a", nil)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{"follow boot+1 full=true topics=1 tombstones=true", "poll boot+1 30 tombstones=true"},
		)
		assert.DeepEqual(t, second.opened, []uint64{30})
	})
}

// A node that the leader counts as a reader reports that it is finished, even if it received
// nothing with a key.
func TestReaderWithoutKeys_ReportsFinished(t *testing.T) {
	for name, byFollow := range map[string]bool{"by follow": true, "by poll": false} {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(t *testing.T, script *scriptedLeaders) {
				script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
					return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4, IsReader: byFollow}, 0
				})
				if !byFollow {
					script.onPolls(func(request *leader.PollRequest) (*leader.PollResponse, time.Duration) {
						return &leader.PollResponse{Epoch: 1, To: request.From, IsReader: true}, tick
					})
				}
				var first recorder
				subscription := first.subscribe(script.hub, "a", nil)
				advance(2 * tick)
				script.hub.Unsubscribe(subscription)
				advance(time.Minute)
				assert.Assert(t, slices.ContainsFunc(script.takeLog(), func(line string) bool {
					return strings.HasPrefix(line, "finished boot ")
				}))
			})
		})
	}
}

// A topic that is subscribed to before the buffers are released is read from the old offset, so
// that no withdrawal is skipped. A subscription that starts while the leader does not answer the
// report is not delayed by that.
func TestSubscribe_BeforeReaderIsFinished(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		timing := settings.DefaultTiming
		script.blocked = true
		script.onPolls(pollAnswer(tick, message(5, "k")))
		var first, second, third recorder
		subscription := first.subscribe(script.hub, "a", nil)
		advance(2 * tick)
		script.hub.Unsubscribe(subscription)
		advance(timing.Spread + timing.LongPoll()/2)
		script.takeLog()
		script.onFollow(followAnswer(30))
		subscription = second.subscribe(script.hub, "a", nil)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{"follow boot full=false topics=1 tombstones=true", "poll boot 5 tombstones=true"},
		)
		script.hub.Unsubscribe(subscription)
		script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if request.Finished {
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 40, BacklogEnd: 40}, 0
		})
		advance(timing.Spread + timing.LongPoll() + tick)
		lines := script.takeLog()
		assert.Assert(t, slices.Contains(lines, "finished boot full=true topics=0 tombstones=true"), "%v", lines)
		third.subscribe(script.hub, "a", nil)
		synctest.Wait()
		assert.DeepEqual(t, third.opened, []uint64{40})
	})
}

// A subscription that starts while the buffers are being released receives nothing until that is
// finished, since its messages would be dropped too. It then continues under another boot ID or
// from the old offset.
func TestSubscribe_WhileBuffersAreReleased(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.releaseTime = longTick
		script.onPolls(pollAnswer(tick, message(5, "k")))
		var first, second recorder
		subscription := first.subscribe(script.hub, "a", nil)
		advance(2 * tick)
		script.hub.Unsubscribe(subscription)
		advance(settings.DefaultTiming.Spread + longTick/2)
		script.takeLog()
		second.subscribe(script.hub, "a", offsetPointer(5))
		advance(longTick)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{
				"release 0 close=false", "follow boot full=false topics=1 tombstones=true",
				"poll boot 5 tombstones=true",
			},
		)
	})
}

// A node that was sent something with a key counts as a reader, even if the response came too late
// to be used.
func TestIsReader_ByLatePollResponse(t *testing.T) {
	answers := map[string]func(*leader.PollRequest) (*leader.PollResponse, time.Duration){
		"late": pollAnswer(longTick, message(5, "k")),
		"lost": func(*leader.PollRequest) (*leader.PollResponse, time.Duration) { return nil, longTick },
	}
	for name, poll := range answers {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(t *testing.T, script *scriptedLeaders) {
				script.onPolls(poll)
				var first recorder
				subscription := first.subscribe(script.hub, "a", nil)
				advance(tick)
				script.hub.Unsubscribe(subscription)
				advance(2 * settings.DefaultTiming.Spread)
				lines := script.takeLog()
				assert.Assert(
					t, slices.Contains(lines, "finished boot full=true topics=0 tombstones=true"), "%v",
					lines,
				)
				assert.Equal(t, len(first.received), 0)
			})
		})
	}
}

// A Follow without a response may have made the node a reader.
func TestIsReader_ByLostFollow(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		lossesLeft := 1
		script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if lossesLeft--; lossesLeft >= 0 {
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4}, 0
		})
		var first recorder
		subscription := first.subscribe(script.hub, "a", nil)
		advance(tick)
		script.hub.Unsubscribe(subscription)
		advance(2 * settings.DefaultTiming.Spread)
		lines := script.takeLog()
		assert.Assert(t, slices.Contains(lines, "finished boot full=true topics=0 tombstones=true"), "%v", lines)
	})
}
