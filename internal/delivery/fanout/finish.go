package fanout

import (
	"context"

	"postjunction/internal/partitionlog/leader"
)

// maxFinishAttempts is how often a feed that abandons its state tells a leader that does not
// answer.
const maxFinishAttempts = 3

// newFinishRequest returns the report that nothing is subscribed to and held under this boot ID any
// more.
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

// sendFinished reports to the leader that the feed is finished. A new subscription ends it.
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

// reset drops the feed's state, as the leader no longer counts on what this node holds: open
// subscriptions are broken. It is followed by finishReset or releaseAndFinish, outside the lock.
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
	f.nextBoot()
	f.generation++
	f.tombstones = nil
	f.hasPosition, f.mustResend, f.isReader = false, false, false
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
	f.suspensions++
}

// finishReset ends what reset began, once the buffers have dropped all that clients have not got
// yet.
func (f *feed) finishReset() {
	f.hub.release(f.partition, true)
	f.resume()
}

// abandon resets a feed whose leader does not answer, and reports that under the boot ID that it
// had, as a leader that isn't heard may hear.
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
	f.wake()
}

// releaseAll has the buffers drop all messages with keys, so that the leader can be told that this
// node is finished. What a client has not read after a while closes its connection.
func (f *feed) releaseAll() {
	for cut := false; !f.tryRelease(cut) && f.hub.ctx.Err() == nil; cut = true {
		_ = f.hub.clock.Sleep(f.hub.ctx, f.hub.timing.LongPoll())
	}
}

// tryRelease reports whether nothing is buffered any more, or there is a subscription again.
func (f *feed) tryRelease(cut bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.subscriptions) > 0 || f.isPolling || !f.hasPosition {
		f.isReleasing = false
		return true
	}
	f.suspensions++
	f.mu.Unlock()
	ok := f.hub.release(f.partition, cut)
	f.mu.Lock()
	f.suspensions--
	f.wake()
	if ok {
		f.isReleasing = false
		f.hasPosition = f.hasPosition && (len(f.subscriptions) > 0 || f.isPolling)
	}
	return ok
}
