package fanout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// scriptedLeaders is a leader whose responses a test sets, and a buffer. It records all calls in
// order.
type scriptedLeaders struct {
	mu          sync.Mutex
	follow      func(request *leader.FollowRequest) (*leader.FollowResponse, time.Duration)
	polls       []func(request *leader.PollRequest) (*leader.PollResponse, time.Duration)
	log         []string
	blocked     bool
	releaseTime time.Duration
	hub         *Hub
}

func (s *scriptedLeaders) recordCall(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// takeLog returns the calls that were recorded since its last use.
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
	s.recordCall(
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
	s.recordCall("poll %s %d tombstones=%t", request.BootID, request.From, request.TracksTombstones)
	s.mu.Lock()
	response, delay := &leader.PollResponse{Epoch: 1, To: request.From}, request.MaxWait
	if len(s.polls) > 0 {
		response, delay = s.polls[0](request)
		s.polls = s.polls[1:]
	}
	s.mu.Unlock()
	if err := (clock.Real{}).Sleep(ctx, delay); err != nil {
		return nil, apierror.WithCause(apierror.Unreachable, err, "no answer in time")
	}
	if response == nil {
		return nil, apierror.New(apierror.Unreachable, "the response was lost")
	}
	return response, nil
}

func (s *scriptedLeaders) Withdraw(partition int, covered WithdrawnFunc) {
	s.recordCall(
		"withdraw %d 4:%t 5:%t 6:%t j:%t", partition, covered("a", "k", 4), covered("a", "k", 5),
		covered("a", "k", 6), covered("a", "j", 5),
	)
}

func (s *scriptedLeaders) Release(partition int, closeConnections bool) bool {
	time.Sleep(s.releaseTime)
	s.recordCall("release %d close=%t", partition, closeConnections)
	s.mu.Lock()
	defer s.mu.Unlock()
	return closeConnections || !s.blocked
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

// advance lets time pass and waits until all goroutines are idle.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func offsetPointer(offset uint64) *uint64 { return &offset }
