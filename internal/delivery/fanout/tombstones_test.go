package fanout

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

const (
	tick     = 10 * time.Millisecond
	longTick = 200 * time.Millisecond
)

// A withdrawal drops the messages that it covers from the queue of a subscription that has not
// caught up yet. Later messages under its key, and messages under other keys, are delivered.
func TestWithdrawal_DropsQueuedMessages(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onPolls(
			pollAnswer(longTick, message(5, "k"), message(6, ""), message(7, "j")),
			pollAnswer(tick, withdrawal(8, "k"), message(9, "k")),
		)
		var first, second recorder
		first.subscribe(script.hub, "a", nil)
		synctest.Wait()
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4}, longTick + 5*tick
		})
		second.subscribe(script.hub, "a", offsetPointer(4))
		advance(time.Second)
		assert.DeepEqual(t, first.received, []uint64{5, 6, 7, 8, 9})
		assert.DeepEqual(t, second.received, []uint64{6, 7, 8, 9})
	})
}

// A response to Follow that is older than a tombstone polled meanwhile delivers no withdrawn
// message. Withdrawals in it are delivered at their offsets.
func TestFollowResponseOlderThanTombstone(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onPolls(pollAnswer(longTick, withdrawal(9, "k"), message(10, "k")))
		var first, second, third recorder
		first.subscribe(script.hub, "a", nil)
		synctest.Wait()
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{
				Epoch:        1,
				CommittedEnd: 8,
				BacklogEnd:   8,
				Backlog:      []log.Entry{message(5, "k"), withdrawal(6, "i"), message(7, "j"), message(8, "k")},
			}, longTick + 5*tick
		})
		second.subscribe(script.hub, "a", offsetPointer(3))
		advance(time.Second)
		assert.DeepEqual(t, second.received, []uint64{6, 7, 9, 10})
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{
				Epoch:        1,
				CommittedEnd: 10,
				BacklogEnd:   10,
				Backlog:      []log.Entry{message(8, "k")},
			}, 0
		})
		third.subscribe(script.hub, "a", offsetPointer(3))
		advance(time.Second)
		assert.Assert(
			t, slices.Equal(third.received, []uint64{8}),
			"a tombstone is stored only while an older response may arrive",
		)
		script.hub.feed(0).mu.Lock()
		defer script.hub.feed(0).mu.Unlock()
		assert.Equal(t, len(script.hub.feed(0).tombstones), 0)
	})
}

// Once a leader of a newer epoch has answered, the response of a superseded leader is ignored,
// since it may lack tombstones.
func TestFollow_IgnoresSupersededLeader(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 2, CommittedEnd: 9, BacklogEnd: 9}, 0
		})
		var first, second recorder
		first.subscribe(script.hub, "b", nil)
		advance(tick)
		responseCount := 0
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if responseCount++; responseCount == 1 {
				return &leader.FollowResponse{
					Epoch:        1,
					CommittedEnd: 6,
					BacklogEnd:   6,
					Backlog:      []log.Entry{message(5, "k")},
				}, 0
			}
			return &leader.FollowResponse{
				Epoch:        2,
				CommittedEnd: 9,
				BacklogEnd:   9,
				Backlog:      []log.Entry{message(7, "j")},
			}, 0
		})
		second.subscribe(script.hub, "a", offsetPointer(3))
		advance(time.Second)
		assert.DeepEqual(t, second.received, []uint64{7})
	})
}

// The response to a poll that was in flight when the last topic was unsubscribed delivers nothing
// to later subscriptions.
func TestPoll_FromBeforeLastUnsubscribeIsIgnored(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onPolls(pollAnswer(longTick, message(5, "k")), pollAnswer(tick, withdrawal(9, "k"), message(10, "k")))
		var first, second recorder
		subscription := first.subscribe(script.hub, "a", nil)
		synctest.Wait()
		script.hub.Unsubscribe(subscription)
		script.onFollow(followAnswer(8))
		second.subscribe(script.hub, "a", offsetPointer(3))
		advance(time.Second)
		assert.DeepEqual(t, second.received, []uint64{9, 10})
		assert.Equal(t, len(first.received), 0)
	})
}

// Buffers drop withdrawn messages before the leader is polled past the withdrawal.
func TestBuffersDropWithdrawnBeforeNextPoll(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onPolls(pollAnswer(tick, message(5, "k"), withdrawal(6, "k")))
		var first recorder
		first.subscribe(script.hub, "a", nil)
		advance(2 * tick)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{
				"follow boot full=true topics=1 tombstones=true", "poll boot 4 tombstones=true",
				"withdraw 0 4:true 5:true 6:false j:false", "poll boot 6 tombstones=true",
			},
		)
	})
}

// A node that the leader gave up as a reader breaks its open subscriptions, releases its buffers,
// and continues under another boot ID. A subscription that is not open yet is served.
func TestReaderThatWasGivenUpIsReset(t *testing.T) {
	cases := map[string]func(script *scriptedLeaders){
		"by follow": func(script *scriptedLeaders) {
			script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
				if request.BootID == "boot" {
					return &leader.FollowResponse{Epoch: 1, MustReset: true}, longTick / 4
				}
				return &leader.FollowResponse{
					Epoch:        1,
					CommittedEnd: 20,
					BacklogEnd:   20,
					Backlog:      []log.Entry{message(15, "k")},
				}, 0
			})
		},
		"by poll": func(script *scriptedLeaders) {
			script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
				if request.BootID == "boot" {
					return &leader.FollowResponse{
						Epoch:        1,
						CommittedEnd: 8,
						BacklogEnd:   8,
						Backlog:      []log.Entry{message(5, "k")},
					}, longTick / 2
				}
				return &leader.FollowResponse{
					Epoch:        1,
					CommittedEnd: 20,
					BacklogEnd:   20,
					Backlog:      []log.Entry{message(15, "k")},
				}, 0
			})
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(t *testing.T, script *scriptedLeaders) {
				wait := longTick + longTick/4
				if name == "by follow" {
					wait = time.Second
				}
				script.onPolls(pollAnswer(longTick, message(5, "k")), func(*leader.PollRequest) (
					*leader.PollResponse, time.Duration,
				) {
					return &leader.PollResponse{Epoch: 1, MustReset: true}, wait - longTick
				})
				var first, second recorder
				broken := 0
				subscription := script.hub.NewSubscription(0, "a")
				subscription.OnOpen = func(uint64, error) {}
				subscription.OnEntry = func(entry log.Entry) { first.received = append(first.received, entry.Offset) }
				subscription.OnBroken = func() { broken++ }
				script.hub.Subscribe(subscription)
				advance(longTick + tick)
				assert.DeepEqual(t, first.received, []uint64{5})
				script.takeLog()
				prepare(script)
				second.subscribe(script.hub, "a", offsetPointer(4))
				advance(2 * time.Second)
				assert.Equal(t, broken, 1)
				assert.DeepEqual(t, first.received, []uint64{5})
				assert.DeepEqual(t, second.received, []uint64{15})
				lines := script.takeLog()
				assert.DeepEqual(t, lines[:4], []string{
					"follow boot full=false topics=1 tombstones=true", "release 0 close=true",
					"follow boot+1 full=true topics=1 tombstones=true", "poll boot+1 20 tombstones=true",
				})
			})
		})
	}
}
