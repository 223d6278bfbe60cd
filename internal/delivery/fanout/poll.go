package fanout

import (
	"context"

	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

// pollCall is a Poll in flight.
type pollCall struct {
	record     assignment.Record
	request    *leader.PollRequest
	registered <-chan struct{}
	generation uint64
}

// pollLoop reads the committed entries of the feed's topics until there is no topic or ctx ends.
func (f *feed) pollLoop(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		callCtx, cancel := context.WithCancel(ctx)
		call := f.nextPoll(cancel)
		if call == nil {
			cancel()
			return
		}
		response, err := f.hub.leaders.Poll(callCtx, call.record, call.request)
		canceled := callCtx.Err() != nil
		cancel()
		switch {
		case err != nil:
			f.pollFailed()
			if !canceled {
				f.waitBeforePoll(ctx, call.registered, attempt)
			}
		case response.UnknownFollower:
			f.registrationLost()
			f.waitBeforePoll(ctx, call.registered, attempt)
		default:
			attempt = 0
			f.handlePoll(response, call.generation)
		}
	}
}

// nextPoll returns the next Poll. If there is nothing to poll, it stops polling and returns nil.
func (f *feed) nextPoll(cancel context.CancelFunc) *pollCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.subscriptions) == 0 || !f.hasPosition {
		f.stopPolling()
		return nil
	}
	f.cancelPoll = cancel
	record := f.hub.store.Record(f.partition)
	f.polledEpoch = record.Epoch
	request := &leader.PollRequest{
		Partition:        f.partition,
		Node:             f.hub.self,
		BootID:           f.bootID,
		Sequence:         f.ackedSequence,
		From:             f.readTo,
		MaxWait:          f.hub.timing.Spread,
		TracksTombstones: true,
		ReaderToken:      f.readerToken,
	}
	return &pollCall{record: record, request: request, registered: f.registered, generation: f.generation}
}

// stopPolling ends polling, and starts what has to follow: a registration, the release of a
// reader's buffers, or nothing.
func (f *feed) stopPolling() {
	f.isPolling = false
	switch {
	case len(f.subscriptions) > 0:
	case len(f.changed) > 0:
		f.reportNow()
	case !f.isReader:
		f.hasPosition = false
	case !f.hasPosition:
		f.reportNow()
	case !f.isReleasing:
		f.isReleasing = true
		go f.releaseAll()
	}
}

// pollFailed counts this node as a reader, since the lost response may have contained a message
// with a key.
func (f *feed) pollFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isReader = true
	if f.isIsolated() {
		f.abandon()
	}
}

func (f *feed) registrationLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mustResend = true
	f.reportNow()
}

func (f *feed) waitBeforePoll(ctx context.Context, registered <-chan struct{}, attempt int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	elapsed := f.backoff(ctx, attempt)
	changed := f.hub.store.Changed()
	select {
	case <-registered:
	case <-changed:
	case <-elapsed:
	}
}

// handlePoll delivers the polled entries. It has buffers drop withdrawn messages before the next
// poll confirms to the leader that the withdrawal was read.
func (f *feed) handlePoll(response *leader.PollResponse, generation uint64) {
	withdrawn, mustReset := f.applyPoll(response, generation)
	if mustReset {
		f.finishReset()
	}
	if withdrawn != nil {
		f.hub.withdraw(f.partition, withdrawn)
	}
}

// applyPoll applies a response. It ignores the entries of a poll that began before the feed was
// reset or lost its last topic.
func (f *feed) applyPoll(response *leader.PollResponse, generation uint64) (withdrawn tombstones, mustReset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.generation {
		f.isReader = f.isReader || response.IsReader || hasKeys(response.Entries)
		return nil, false
	}
	if response.MustReset {
		f.reset()
		return nil, true
	}
	f.base, f.lastHeard = response.Base, f.hub.clock.Now()
	f.highestEpoch = max(f.highestEpoch, response.Epoch)
	if response.ReaderToken > 0 {
		f.readerToken = response.ReaderToken
	}
	f.isReader = f.isReader || response.IsReader
	f.expireGaps(response.Trimmed)
	for _, entry := range response.Entries {
		if entry.Offset <= f.readTo {
			continue
		}
		if entry.Key != "" {
			f.isReader = true
			if entry.Type == log.TypeWithdrawal {
				withdrawn.add(entry)
				f.applyWithdrawal(entry)
			}
		}
		f.deliver(entry)
	}
	f.readTo = max(f.readTo, response.To)
	return withdrawn, false
}

// expireGaps ends the subscriptions that miss an entry of their topic that is no longer available.
func (f *feed) expireGaps(trimmed map[string]uint64) {
	for topic, offset := range trimmed {
		for s := range f.subscriptions[topic] {
			position := max(s.position, f.readTo)
			if s.caughtUp && offset > position && f.isRetained(topic) {
				f.expire(s, position)
				f.reportDropsLater()
			}
		}
	}
}

func (f *feed) deliver(entry log.Entry) {
	for s := range f.subscriptions[entry.Topic] {
		if s.caughtUp {
			s.deliver(entry)
		} else {
			s.queued = append(s.queued, entry)
		}
	}
}
