package fanout

import (
	"context"

	"postjunction/internal/partitionlog/leader"
)

// maxFinishAttempts is how many times a feed that abandoned its state reports that to a leader that
// does not answer.
const maxFinishAttempts = 3

// newFinishRequest returns a request that reports that this boot ID no longer has subscriptions or
// buffered messages.
func (f *feed) newFinishRequest() *leader.FollowRequest {
	f.sequence++
	return &leader.FollowRequest{
		Partition:        f.partition,
		Node:             f.hub.self,
		BootID:           f.bootID,
		Sequence:         f.sequence,
		Full:             true,
		TracksTombstones: true,
		Finished:         true,
		ReaderToken:      f.readerToken,
	}
}

// sendFinished reports to the leader that the feed is finished. A new subscription cancels the
// call.
func (f *feed) sendFinished(ctx context.Context, request *leader.FollowRequest, attempt int) {
	callCtx, cancel := context.WithTimeout(ctx, f.followTimeout(request))
	defer cancel()
	f.mu.Lock()
	f.cancelFinish = cancel
	if len(f.subscriptions) > 0 {
		cancel()
	}
	f.mu.Unlock()
	response, err := f.hub.leaders.Follow(callCtx, f.hub.store.Record(f.partition), request)
	f.mu.Lock()
	f.cancelFinish = nil
	ok := err == nil && !response.UnknownFollower && response.Epoch >= f.highestEpoch
	f.isReader = !ok
	f.mu.Unlock()
	if !ok {
		f.waitBeforeFollow(ctx, attempt)
	}
}

// reset drops the feed's state and breaks the open subscriptions, since the leader no longer waits
// for this node as a reader. finishReset or releaseAndFinish must follow, without the lock.
func (f *feed) reset() {
	for _, subscriptions := range f.subscriptions {
		for s := range subscriptions {
			s.queued = nil
			if s.opened {
				f.remove(s)
				s.OnBroken()
			}
		}
	}
	clear(f.changed)
	f.renewBootID()
	f.generation++
	f.tombstones = nil
	f.hasPosition, f.mustResend, f.isReader = false, false, false
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
	f.suspensions++
}

// finishReset completes a reset. It has the buffers drop the messages that clients have not
// received yet, and resumes the calls of Follow.
func (f *feed) finishReset() {
	f.hub.release(f.partition, true)
	f.resume()
}

// abandon resets a feed whose leader does not answer, and reports that under the old boot ID: the
// leader may receive requests even where its responses are lost.
func (f *feed) abandon() {
	request := f.newFinishRequest()
	f.reset()
	go f.releaseAndFinish(request)
}

func (f *feed) releaseAndFinish(request *leader.FollowRequest) {
	f.hub.release(f.partition, true)
	for attempt := range maxFinishAttempts {
		ctx, cancel := context.WithTimeout(f.hub.ctx, followTimeoutBackoffs*f.hub.timing.MaxBackoff())
		_, err := f.hub.leaders.Follow(ctx, f.hub.store.Record(f.partition), request)
		cancel()
		if err == nil || f.hub.clock.Sleep(f.hub.ctx, f.hub.timing.Backoff(attempt)) != nil {
			break
		}
	}
	f.resume()
}

func (f *feed) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspensions--
	f.reportNow()
}

// releaseAll has the buffers drop all messages with keys, so that this node can report to the
// leader that it is finished. After a delay it closes the connections of clients that have not read
// theirs.
func (f *feed) releaseAll() {
	for closeConnections := false; !f.tryRelease(closeConnections) && f.hub.ctx.Err() == nil; closeConnections = true {
		_ = f.hub.clock.Sleep(f.hub.ctx, f.hub.timing.LongPoll())
	}
}

// tryRelease reports whether releaseAll is finished: nothing is buffered any more, or there is a
// subscription again.
func (f *feed) tryRelease(closeConnections bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.subscriptions) > 0 || f.isPolling || !f.hasPosition {
		f.isReleasing = false
		return true
	}
	f.suspensions++
	f.mu.Unlock()
	ok := f.hub.release(f.partition, closeConnections)
	f.mu.Lock()
	f.suspensions--
	f.reportNow()
	if ok {
		f.isReleasing = false
		f.hasPosition = f.hasPosition && (len(f.subscriptions) > 0 || f.isPolling)
	}
	return ok
}
