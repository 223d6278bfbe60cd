package fanout

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
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

// scriptedLeaders is a leader that answers as a test says, and a buffer; it records the order of
// all calls.
type scriptedLeaders struct {
	mu          sync.Mutex
	follow      func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration)
	polls       []func(request *leader.PollRequest) (*leader.PollResponse, time.Duration)
	log         []string
	blocked     bool
	releaseTime time.Duration
	hub         *Hub
}

func (s *scriptedLeaders) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// takeLog returns what was recorded since the last call.
func (s *scriptedLeaders) takeLog() []string {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.log
	s.log = nil
	return lines
}

func (s *scriptedLeaders) Follow(
	ctx context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	kind := "follow"
	if request.Finished {
		kind = "finished"
	}
	s.record(
		"%s %s full=%t topics=%d tombstones=%t", kind, request.BootID, request.Full, len(request.Topics),
		request.TracksTombstones,
	)
	s.mu.Lock()
	response, delay := s.follow(request)
	s.mu.Unlock()
	if err := (clock.Real{}).Sleep(ctx, delay); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	return response, nil
}

func (s *scriptedLeaders) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	s.record("poll %s %d tombstones=%t", request.BootID, request.From, request.TracksTombstones)
	s.mu.Lock()
	response, delay := &leader.PollResponse{Epoch: 1, To: request.From}, request.Hold
	if len(s.polls) > 0 {
		response, delay = s.polls[0](request)
		s.polls = s.polls[1:]
	}
	s.mu.Unlock()
	if err := (clock.Real{}).Sleep(ctx, delay); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	if response == nil {
		return nil, apierror.New(apierror.Unreachable, "the answer was lost")
	}
	return response, nil
}

func (s *scriptedLeaders) Withdraw(partition int, covered WithdrawnFunc) {
	s.record(
		"withdraw %d 4:%t 5:%t 6:%t j:%t", partition, covered("a", "k", 4), covered("a", "k", 5),
		covered("a", "k", 6), covered("a", "j", 5),
	)
}

func (s *scriptedLeaders) Release(partition int, cut bool) bool {
	time.Sleep(s.releaseTime)
	s.record("release %d cut=%t", partition, cut)
	s.mu.Lock()
	defer s.mu.Unlock()
	return cut || !s.blocked
}

// pollAnswer answers a poll with entries after a delay.
func pollAnswer(
	delay time.Duration, entries ...log.Entry,
) func(*leader.PollRequest) (*leader.PollResponse, time.Duration) {
	return func(*leader.PollRequest) (*leader.PollResponse, time.Duration) {
		return &leader.PollResponse{Epoch: 1, To: entries[len(entries)-1].Offset, Entries: entries}, delay
	}
}

func followAnswer(offset uint64) func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
	return func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
		return &leader.FollowResponse{Epoch: 1, CommittedEnd: offset, BacklogEnd: offset}, 0
	}
}

func message(offset uint64, key string) log.Entry {
	return log.Entry{Offset: offset, Type: log.TypeMessage, Topic: "a", Key: key}
}

func withdrawal(offset uint64, key string) log.Entry {
	return log.Entry{Offset: offset, Type: log.TypeWithdrawal, Topic: "a", Key: key}
}

func withScript(t *testing.T, test func(t *testing.T, script *scriptedLeaders)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		script := &scriptedLeaders{follow: followAnswer(4)}
		script.hub = New(ctx, "a1", "boot", script, gossip.NewStore(nil), clock.Real{}, settings.DefaultTiming)
		script.hub.AddBuffer(script)
		test(t, script)
		stop()
		time.Sleep(time.Minute)
	})
}

func (s *scriptedLeaders) onFollow(answer func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow = answer
}

func (s *scriptedLeaders) onPolls(answers ...func(*leader.PollRequest) (*leader.PollResponse, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls = append(s.polls, answers...)
}

// advance lets time pass, and what is due then be done.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func offsetPointer(offset uint64) *uint64 { return &offset }

const (
	tick     = 10 * time.Millisecond
	longTick = 200 * time.Millisecond
)

// What a withdrawal covers is dropped from the entries that are queued until a subscription has
// caught up; what was sent again under the key, or under another, stays.
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
		assert.DeepEqual(t, first.got, []uint64{5, 6, 7, 8, 9})
		assert.DeepEqual(t, second.got, []uint64{6, 7, 8, 9})
	})
}

// A response to Follow that is older than a tombstone which was polled meanwhile brings nothing
// back. Withdrawals in it are delivered at their offsets.
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
		assert.DeepEqual(t, second.got, []uint64{6, 7, 9, 10})
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
			t, slices.Equal(third.got, []uint64{8}),
			"a tombstone is kept only while an older response may come",
		)
		script.hub.feed(0).mu.Lock()
		defer script.hub.feed(0).mu.Unlock()
		assert.Equal(t, len(script.hub.feed(0).tombstones), 0)
	})
}

// Once a newer leader has answered, one that it superseded, and that lacks its tombstones, is not
// believed.
func TestFollow_IgnoresSupersededLeader(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 2, CommittedEnd: 9, BacklogEnd: 9}, 0
		})
		var first, second recorder
		first.subscribe(script.hub, "b", nil)
		advance(tick)
		old := 0
		script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if old++; old == 1 {
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
		assert.DeepEqual(t, second.got, []uint64{7})
	})
}

// A poll that was under way when the last topic was unsubscribed brings nothing to later
// subscriptions.
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
		assert.DeepEqual(t, second.got, []uint64{9, 10})
		assert.Equal(t, len(first.got), 0)
	})
}

// Buffers drop what is withdrawn before the leader is polled past the withdrawal.
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

// A node that was given up as a reader breaks its open subscriptions, has its buffers released, and
// continues under another boot ID. A subscription that is not open yet is served.
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
				subscription.OnEntry = func(entry log.Entry) { first.got = append(first.got, entry.Offset) }
				subscription.OnBroken = func() { broken++ }
				script.hub.Subscribe(subscription)
				advance(longTick + tick)
				assert.DeepEqual(t, first.got, []uint64{5})
				script.takeLog()
				prepare(script)
				second.subscribe(script.hub, "a", offsetPointer(4))
				advance(2 * time.Second)
				assert.Equal(t, broken, 1)
				assert.DeepEqual(t, first.got, []uint64{5})
				assert.DeepEqual(t, second.got, []uint64{15})
				lines := script.takeLog()
				assert.DeepEqual(t, lines[:4], []string{
					"follow boot full=false topics=1 tombstones=true", "release 0 cut=true",
					"follow boot+1 full=true topics=1 tombstones=true", "poll boot+1 20 tombstones=true",
				})
			})
		})
	}
}

// A node that got nothing with a key, and missed no response, reports nothing when it has no topic
// any more.
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

// The leader is told that this node is finished once its buffers hold nothing with a key, again
// until it answers. A later subscription continues under another boot ID.
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
		lost := 2
		script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if request.Finished && lost > 0 {
				lost--
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 30, BacklogEnd: 30}, 0
		})
		advance(timing.Spread + tick)
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{"follow boot full=false topics=1 tombstones=true", "release 0 cut=false"},
		)
		advance(timing.LongPoll())
		assert.DeepEqual(
			t, script.takeLog(),
			[]string{"release 0 cut=true", "finished boot full=true topics=0 tombstones=true"},
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

// A node that the leader counts as a reader reports that it is finished, though it got nothing with
// a key.
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
// that no withdrawal is skipped; one that is subscribed to while the leader does not answer is not
// delayed by that.
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

// A subscription that begins while the buffers are being released gets nothing before that is over,
// as it would be dropped too. Then it continues under another boot ID or from the old offset.
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
				"release 0 cut=false", "follow boot full=false topics=1 tombstones=true",
				"poll boot 5 tombstones=true",
			},
		)
	})
}

// A node that the leader sent something with a key counts as a reader, also where that came too
// late to be used.
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
				assert.Equal(t, len(first.got), 0)
			})
		})
	}
}

// A Follow that got no response may have made the node a reader.
func TestIsReader_ByLostFollow(t *testing.T) {
	withScript(t, func(t *testing.T, script *scriptedLeaders) {
		lost := 1
		script.onFollow(func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if lost--; lost >= 0 {
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
