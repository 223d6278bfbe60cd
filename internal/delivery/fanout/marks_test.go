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
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// scribe is an owner that answers as a test says, and a holder that writes down in which order it and the owner are asked.
type scribe struct {
	mu     sync.Mutex
	follow func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration)
	polls  []func(q *leader.PollRequest) (*leader.PollResponse, time.Duration)
	log    []string
	stuck  bool
	takes  time.Duration
	h      *Hub
}

func (s *scribe) note(say string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(say, a...))
}

// said gives what was noted since the last call.
func (s *scribe) said() []string {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log
	s.log = nil
	return l
}

func (s *scribe) Follow(ctx context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	say := "follow"
	if q.Finished {
		say = "done"
	}
	s.note("%s %s full=%t topics=%d marks=%t", say, q.BootID, q.Full, len(q.Topics), q.TracksTombstones)
	s.mu.Lock()
	a, d := s.follow(q)
	s.mu.Unlock()
	if err := (clock.Real{}).Sleep(ctx, d); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	return a, nil
}

func (s *scribe) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	s.note("poll %s %d marks=%t", q.BootID, q.From, q.TracksTombstones)
	s.mu.Lock()
	a, d := &leader.PollResponse{Epoch: 1, To: q.From}, q.Hold
	if len(s.polls) > 0 {
		a, d = s.polls[0](q)
		s.polls = s.polls[1:]
	}
	s.mu.Unlock()
	if err := (clock.Real{}).Sleep(ctx, d); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	if a == nil {
		return nil, apierror.New(apierror.Unreachable, "the answer was lost")
	}
	return a, nil
}

func (s *scribe) Withdraw(p int, covered WithdrawnFunc) {
	s.note("withdraw %d 4:%t 5:%t 6:%t j:%t", p, covered("a", "k", 4), covered("a", "k", 5), covered("a", "k", 6), covered("a", "j", 5))
}

func (s *scribe) Release(p int, cut bool) bool {
	time.Sleep(s.takes)
	s.note("release %d cut=%t", p, cut)
	s.mu.Lock()
	defer s.mu.Unlock()
	return cut || !s.stuck
}

// once answers a poll after a while with entries.
func once(after time.Duration, es ...log.Entry) func(*leader.PollRequest) (*leader.PollResponse, time.Duration) {
	return func(*leader.PollRequest) (*leader.PollResponse, time.Duration) {
		return &leader.PollResponse{Epoch: 1, To: es[len(es)-1].Offset, Entries: es}, after
	}
}

func tail(at uint64) func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
	return func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
		return &leader.FollowResponse{Epoch: 1, CommittedEnd: at, BacklogEnd: at}, 0
	}
}

func message(at uint64, key string) log.Entry {
	return log.Entry{Offset: at, Type: log.TypeMessage, Topic: "a", Key: key}
}

func withdrawal(at uint64, key string) log.Entry {
	return log.Entry{Offset: at, Type: log.TypeWithdrawal, Topic: "a", Key: key}
}

func scripted(t *testing.T, f func(t *testing.T, s *scribe)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := &scribe{follow: tail(4)}
		s.h = New(ctx, "a1", "boot", s, gossip.NewStore(nil), clock.Real{}, settings.DefaultTiming)
		s.h.AddBuffer(s)
		f(t, s)
		stop()
		time.Sleep(time.Minute)
	})
}

func (s *scribe) set(f func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow = f
}

func (s *scribe) then(ps ...func(*leader.PollRequest) (*leader.PollResponse, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls = append(s.polls, ps...)
}

// pass lets time go by, and what is due then be done.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func after(o uint64) *uint64 { return &o }

const (
	tick  = 10 * time.Millisecond
	later = 200 * time.Millisecond
)

// What a withdrawal covers goes from what is held back until a subscription is opened; what was sent anew under the key, or under another, stays.
func TestAWithdrawalReachesWhatIsHeldBack(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.then(once(later, message(5, "k"), message(6, ""), message(7, "j")), once(tick, withdrawal(8, "k"), message(9, "k")))
		var x, y heard
		x.sub(s.h, "a", nil)
		synctest.Wait()
		s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4}, later + 5*tick
		})
		y.sub(s.h, "a", after(4))
		pass(time.Second)
		assert.DeepEqual(t, x.got, []uint64{5, 6, 7, 8, 9})
		assert.DeepEqual(t, y.got, []uint64{6, 7, 8, 9})
	})
}

// An answer to Follow that is older than a withdrawal which was read meanwhile brings nothing back. Withdrawals in it are given at their places.
func TestAnAnswerOlderThanAMark(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.then(once(later, withdrawal(9, "k"), message(10, "k")))
		var x, y, z heard
		x.sub(s.h, "a", nil)
		synctest.Wait()
		s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 8, BacklogEnd: 8, Backlog: []log.Entry{message(5, "k"), withdrawal(6, "i"), message(7, "j"), message(8, "k")}}, later + 5*tick
		})
		y.sub(s.h, "a", after(3))
		pass(time.Second)
		assert.DeepEqual(t, y.got, []uint64{6, 7, 9, 10})
		s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 10, BacklogEnd: 10, Backlog: []log.Entry{message(8, "k")}}, 0
		})
		z.sub(s.h, "a", after(3))
		pass(time.Second)
		assert.Assert(t, slices.Equal(z.got, []uint64{8}), "a mark is remembered only while an older answer may come")
		s.h.feed(0).mu.Lock()
		defer s.h.feed(0).mu.Unlock()
		assert.Equal(t, len(s.h.feed(0).marks), 0)
	})
}

// Once a newer owner has answered, one that it superseded, and that knows no mark of its, is not believed.
func TestAnOwnerThatWasSupersededBringsNothingBack(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			return &leader.FollowResponse{Epoch: 2, CommittedEnd: 9, BacklogEnd: 9}, 0
		})
		var x, y heard
		x.sub(s.h, "b", nil)
		pass(tick)
		old := 0
		s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if old++; old == 1 {
				return &leader.FollowResponse{Epoch: 1, CommittedEnd: 6, BacklogEnd: 6, Backlog: []log.Entry{message(5, "k")}}, 0
			}
			return &leader.FollowResponse{Epoch: 2, CommittedEnd: 9, BacklogEnd: 9, Backlog: []log.Entry{message(7, "j")}}, 0
		})
		y.sub(s.h, "a", after(3))
		pass(time.Second)
		assert.DeepEqual(t, y.got, []uint64{7})
	})
}

// A poll that was under way when no topic was left brings nothing to those that are taken up after that.
func TestAPollFromBeforeNothingWasLeft(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.then(once(later, message(5, "k")), once(tick, withdrawal(9, "k"), message(10, "k")))
		var x, y heard
		a := x.sub(s.h, "a", nil)
		synctest.Wait()
		s.h.Unsubscribe(a)
		s.set(tail(8))
		y.sub(s.h, "a", after(3))
		pass(time.Second)
		assert.DeepEqual(t, y.got, []uint64{9, 10})
		assert.Equal(t, len(x.got), 0)
	})
}

// All that was given is taken back before the owner is asked for what lies behind the withdrawal.
func TestHoldersLetGoBeforeTheNextPoll(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.then(once(tick, message(5, "k"), withdrawal(6, "k")))
		var x heard
		x.sub(s.h, "a", nil)
		pass(2 * tick)
		assert.DeepEqual(t, s.said(), []string{"follow boot full=true topics=1 marks=true", "poll boot 4 marks=true", "withdraw 0 4:true 5:true 6:false j:false", "poll boot 6 marks=true"})
	})
}

// A node that was given up as a reader ends what it promised, lets go of all, and begins under another boot. Who was not told anything yet is served.
func TestAReaderThatWasGivenUpBeginsAnew(t *testing.T) {
	ways := map[string]func(s *scribe){
		"by follow": func(s *scribe) {
			s.set(func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
				if q.BootID == "boot" {
					return &leader.FollowResponse{Epoch: 1, MustReset: true}, later / 4
				}
				return &leader.FollowResponse{Epoch: 1, CommittedEnd: 20, BacklogEnd: 20, Backlog: []log.Entry{message(15, "k")}}, 0
			})
		},
		"by poll": func(s *scribe) {
			s.set(func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
				if q.BootID == "boot" {
					return &leader.FollowResponse{Epoch: 1, CommittedEnd: 8, BacklogEnd: 8, Backlog: []log.Entry{message(5, "k")}}, later / 2
				}
				return &leader.FollowResponse{Epoch: 1, CommittedEnd: 20, BacklogEnd: 20, Backlog: []log.Entry{message(15, "k")}}, 0
			})
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			scripted(t, func(t *testing.T, s *scribe) {
				wait := later + later/4
				if name == "by follow" {
					wait = time.Second
				}
				s.then(once(later, message(5, "k")), func(*leader.PollRequest) (*leader.PollResponse, time.Duration) {
					return &leader.PollResponse{Epoch: 1, MustReset: true}, wait - later
				})
				var x, y heard
				broken := 0
				a := s.h.NewSubscription(0, "a")
				a.OnOpen = func(uint64, error) {}
				a.OnEntry = func(e log.Entry) { x.got = append(x.got, e.Offset) }
				a.OnBroken = func() { broken++ }
				s.h.Subscribe(a)
				pass(later + tick)
				assert.DeepEqual(t, x.got, []uint64{5})
				s.said()
				way(s)
				y.sub(s.h, "a", after(4))
				pass(2 * time.Second)
				assert.Equal(t, broken, 1)
				assert.DeepEqual(t, x.got, []uint64{5})
				assert.DeepEqual(t, y.got, []uint64{15})
				l := s.said()
				assert.DeepEqual(t, l[:4], []string{
					"follow boot full=false topics=1 marks=true", "release 0 cut=true", "follow boot+1 full=true topics=1 marks=true", "poll boot+1 20 marks=true",
				})
			})
		})
	}
}

// Who has nothing with a key, and missed no answer, says nothing when it follows nothing any more.
func TestWithoutKeysNothingIsSaidInTheEnd(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.then(once(tick, message(5, "")))
		var x heard
		a := x.sub(s.h, "a", nil)
		pass(2 * tick)
		s.h.Unsubscribe(a)
		pass(time.Minute)
		assert.DeepEqual(t, s.said(), []string{
			"follow boot full=true topics=1 marks=true", "poll boot 4 marks=true", "poll boot 5 marks=true", "follow boot full=false topics=1 marks=true",
		})
	})
}

// The owner hears that this node is done once all that it gave under keys is let go, again until it answers. What is taken up after that goes on under another boot.
func TestAReaderSaysThatItIsDone(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		b := settings.DefaultTiming
		s.stuck = true
		s.then(once(tick, message(5, "k")))
		var x, y heard
		a := x.sub(s.h, "a", nil)
		pass(2 * tick)
		s.said()
		s.h.Unsubscribe(a)
		deaf := 2
		s.set(func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if q.Finished && deaf > 0 {
				deaf--
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 30, BacklogEnd: 30}, 0
		})
		pass(b.Spread + tick)
		assert.DeepEqual(t, s.said(), []string{"follow boot full=false topics=1 marks=true", "release 0 cut=false"})
		pass(b.LongPoll())
		assert.DeepEqual(t, s.said(), []string{"release 0 cut=true", "done boot full=true topics=0 marks=true"})
		pass(time.Minute)
		assert.DeepEqual(t, s.said(), []string{"done boot full=true topics=0 marks=true", "done boot full=true topics=0 marks=true"})
		y.sub(s.h, "a", nil)
		assert.DeepEqual(t, s.said(), []string{"follow boot+1 full=true topics=1 marks=true", "poll boot+1 30 marks=true"})
		assert.DeepEqual(t, y.opened, []uint64{30})
	})
}

// A node that its owner noted as a reader says so when it is done, though it was given nothing with a key.
func TestAReaderOfNothingSaysThatItIsDone(t *testing.T) {
	for name, told := range map[string]bool{"by follow": true, "by poll": false} {
		t.Run(name, func(t *testing.T) {
			scripted(t, func(t *testing.T, s *scribe) {
				s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
					return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4, IsReader: told}, 0
				})
				if !told {
					s.then(func(q *leader.PollRequest) (*leader.PollResponse, time.Duration) {
						return &leader.PollResponse{Epoch: 1, To: q.From, IsReader: true}, tick
					})
				}
				var x heard
				a := x.sub(s.h, "a", nil)
				pass(2 * tick)
				s.h.Unsubscribe(a)
				pass(time.Minute)
				assert.Assert(t, slices.ContainsFunc(s.said(), func(l string) bool { return strings.HasPrefix(l, "done boot ") }))
			})
		})
	}
}

// A topic that is taken up before all was let go is read on from the old place, so that no withdrawal is passed over; one that is taken up while the owner does
// not answer is not held up by that.
func TestTakenUpAgainBeforeItIsDone(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		b := settings.DefaultTiming
		s.stuck = true
		s.then(once(tick, message(5, "k")))
		var x, y, z heard
		a := x.sub(s.h, "a", nil)
		pass(2 * tick)
		s.h.Unsubscribe(a)
		pass(b.Spread + b.LongPoll()/2)
		s.said()
		s.set(tail(30))
		a = y.sub(s.h, "a", nil)
		assert.DeepEqual(t, s.said(), []string{"follow boot full=false topics=1 marks=true", "poll boot 5 marks=true"})
		s.h.Unsubscribe(a)
		s.set(func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if q.Finished {
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 40, BacklogEnd: 40}, 0
		})
		pass(b.Spread + b.LongPoll() + tick)
		l := s.said()
		assert.Assert(t, slices.Contains(l, "done boot full=true topics=0 marks=true"), "%v", l)
		z.sub(s.h, "a", nil)
		synctest.Wait()
		assert.DeepEqual(t, z.opened, []uint64{40})
	})
}

// Who takes a topic up while all is let go is given nothing before that is over, as it would go too. Then it is read on under another boot or from the old place.
func TestTakenUpWhileAllIsLetGo(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		s.takes = later
		s.then(once(tick, message(5, "k")))
		var x, y heard
		a := x.sub(s.h, "a", nil)
		pass(2 * tick)
		s.h.Unsubscribe(a)
		pass(settings.DefaultTiming.Spread + later/2)
		s.said()
		y.sub(s.h, "a", after(5))
		pass(later)
		assert.DeepEqual(t, s.said(), []string{"release 0 cut=false", "follow boot full=false topics=1 marks=true", "poll boot 5 marks=true"})
	})
}

// A node to which the owner gave something with a key counts as a reader, also where that came too late to be used.
func TestAReaderByALateAnswer(t *testing.T) {
	answers := map[string]func(*leader.PollRequest) (*leader.PollResponse, time.Duration){
		"late": once(later, message(5, "k")),
		"lost": func(*leader.PollRequest) (*leader.PollResponse, time.Duration) { return nil, later },
	}
	for name, poll := range answers {
		t.Run(name, func(t *testing.T) {
			scripted(t, func(t *testing.T, s *scribe) {
				s.then(poll)
				var x heard
				a := x.sub(s.h, "a", nil)
				pass(tick)
				s.h.Unsubscribe(a)
				pass(2 * settings.DefaultTiming.Spread)
				l := s.said()
				assert.Assert(t, slices.Contains(l, "done boot full=true topics=0 marks=true"), "%v", l)
				assert.Equal(t, len(x.got), 0)
			})
		})
	}
}

// A node whose question to follow got no answer may have been noted as a reader by it.
func TestAReaderByALostFollow(t *testing.T) {
	scripted(t, func(t *testing.T, s *scribe) {
		lost := 1
		s.set(func(q *leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
			if lost--; lost >= 0 {
				return nil, time.Hour
			}
			return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4}, 0
		})
		var x heard
		a := x.sub(s.h, "a", nil)
		pass(tick)
		s.h.Unsubscribe(a)
		pass(2 * settings.DefaultTiming.Spread)
		l := s.said()
		assert.Assert(t, slices.Contains(l, "done boot full=true topics=0 marks=true"), "%v", l)
	})
}
