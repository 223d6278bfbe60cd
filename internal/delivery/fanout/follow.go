package fanout

import (
	"context"
	"slices"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
)

// followTimeoutBackoffs is the time-out of a Follow, in longest backoffs, while a subscription is
// not open yet.
const followTimeoutBackoffs = 2

// followCall is a Follow in flight.
type followCall struct {
	request *leader.FollowRequest
	// pending are the subscriptions whose backlog the request asks for. changed are the topics that
	// it reports.
	pending []*Subscription
	changed []string
}

type followOutcome int

const (
	followAcknowledged followOutcome = iota
	// followReset says that the feed was reset and its buffers have to be released.
	followReset
	// followRetryNow asks to repeat the call at once, followRetryLater after a backoff.
	followRetryNow
	followRetryLater
)

// followLoop reports the feed's topics to the leader until ctx ends.
func (f *feed) followLoop(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		call := f.nextCall()
		if call == nil {
			attempt = -1
			select {
			case <-f.wakeups:
			case <-ctx.Done():
			}
			continue
		}
		if call.request.Finished {
			f.sendFinished(ctx, call.request, attempt)
			continue
		}
		switch f.handleFollow(f.sendFollow(ctx, call)) {
		case followAcknowledged:
			attempt = 0
		case followReset:
			f.finishReset()
		case followRetryLater:
			f.waitBeforeFollow(ctx, attempt)
		case followRetryNow:
		}
	}
}

func (f *feed) sendFollow(ctx context.Context, call *followCall) (*followCall, *leader.FollowResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.followTimeout(call.request))
	defer cancel()
	if call.request.FirstOnly {
		go f.openEarly(callCtx, call.pending)
	}
	response, err := f.hub.leaders.Follow(callCtx, f.hub.store.Record(f.partition), call.request)
	return call, response, err
}

// followTimeout returns a short time-out while a subscription is not open yet, since it is then
// opened without the leader. The backlog of open subscriptions may come over a slow link.
func (f *feed) followTimeout(request *leader.FollowRequest) time.Duration {
	if request.FirstOnly {
		return followTimeoutBackoffs * f.hub.timing.MaxBackoff()
	}
	return f.hub.timing.CallTimeout()
}

// nextCall returns the next Follow, or nil if there is nothing to report or to request.
func (f *feed) nextCall() *followCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspensions > 0 {
		return nil
	}
	f.pending = slices.DeleteFunc(f.pending, func(s *Subscription) bool { return s.removed })
	if f.isReader && len(f.subscriptions) == 0 && !f.hasPosition {
		clear(f.changed)
		f.reportDue, f.mustResend, f.isFinished = false, false, true
		return &followCall{request: f.newFinishRequest()}
	}
	reportDue := f.reportDue && len(f.changed) > 0
	f.reportDue = false
	if !reportDue && len(f.pending) == 0 && !f.mustResend {
		return nil
	}
	if len(f.subscriptions) == 0 && !f.hasPosition {
		clear(f.changed)
		f.mustResend = false
		return nil
	}
	if f.isFinished {
		f.renewBootID()
	}
	f.followInFlight = true
	call := &followCall{request: f.newFollowRequest(), pending: f.pending}
	for topic := range f.changed {
		call.changed = append(call.changed, topic)
	}
	clear(f.changed)
	f.pending = nil
	requestBacklog(call)
	return call
}

// newFollowRequest returns a request that reports all topics, or those that changed if the leader
// has the others.
func (f *feed) newFollowRequest() *leader.FollowRequest {
	f.sequence++
	request := &leader.FollowRequest{
		Partition:        f.partition,
		Node:             f.hub.self,
		BootID:           f.bootID,
		BaseSequence:     f.ackedSequence,
		Sequence:         f.sequence,
		Full:             f.mustResend || !f.hasPosition,
		Topics:           map[string]int{},
		TracksTombstones: true,
		ReaderToken:      f.readerToken,
	}
	if request.Full {
		for topic, subscriptions := range f.subscriptions {
			request.Topics[topic] = len(subscriptions)
		}
		return request
	}
	for topic := range f.changed {
		request.Topics[topic] = len(f.subscriptions[topic])
	}
	return request
}

// requestBacklog adds the backlog to the request: of each topic, after the lowest offset that a
// pending subscription needs.
func requestBacklog(call *followCall) {
	request := call.request
	for _, s := range call.pending {
		request.FirstOnly = request.FirstOnly || !s.opened
		if s.After == nil {
			continue
		}
		if request.After == nil {
			request.After = map[string]uint64{}
		}
		if offset, ok := request.After[s.Topic]; !ok || *s.After < offset {
			request.After[s.Topic] = *s.After
		}
	}
}

func (f *feed) handleFollow(call *followCall, response *leader.FollowResponse, err error) followOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followInFlight = false
	if err == nil && response.Epoch < f.highestEpoch {
		err = apierror.New(apierror.StaleEpoch, "partition %d answered with epoch %d after epoch %d",
			f.partition, response.Epoch, f.highestEpoch)
	}
	if err != nil {
		if f.isIsolated() {
			f.requeue(call.pending)
			f.abandon()
			return followRetryNow
		}
		f.isReader = true
		f.resend(call)
		return followRetryLater
	}
	isCurrent := call.request.BootID == f.bootID
	if isCurrent && response.ReaderToken > 0 {
		f.readerToken = response.ReaderToken
	}
	if isCurrent && response.MustReset {
		f.requeue(call.pending)
		f.reset()
		return followReset
	}
	f.lastHeard = f.hub.clock.Now()
	if response.UnknownFollower || !isCurrent {
		f.resend(call)
		if isCurrent && (!call.request.Full || f.readerToken != call.request.ReaderToken) {
			return followRetryNow
		}
		return followRetryLater
	}
	f.applyFollow(call, response)
	return followAcknowledged
}

// resend requests a new registration of all topics, and opens the subscriptions that need no
// leader.
func (f *feed) resend(call *followCall) {
	f.tombstones = nil
	f.mustResend = true
	for _, topic := range call.changed {
		f.changed[topic] = true
	}
	f.requeue(call.pending)
	f.openWithoutLeader(f.pending)
}

// requeue puts subscriptions back at the head of pending. It does not change the given slice,
// since openEarly may still iterate over it.
func (f *feed) requeue(subscriptions []*Subscription) {
	f.pending = slices.Concat(subscriptions, f.pending)
}

func (f *feed) applyFollow(call *followCall, response *leader.FollowResponse) {
	f.ackedSequence, f.mustResend, f.highestEpoch = call.request.Sequence, false, response.Epoch
	f.isReader = f.isReader || response.IsReader || hasKeys(response.Backlog)
	f.base = response.Base
	if !f.hasPosition {
		f.hasPosition, f.readTo = true, response.CommittedEnd
	}
	f.openPending(call, response)
	f.tombstones = nil
	if !f.isPolling {
		f.isPolling = true
		go f.pollLoop(f.hub.ctx)
	}
	close(f.registered)
	f.registered = make(chan struct{})
}

func (f *feed) waitBeforeFollow(ctx context.Context, attempt int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-f.wakeups:
	case <-f.backoff(ctx, attempt):
	}
}
