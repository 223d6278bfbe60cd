package router

import (
	"context"
	"errors"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/leader"
)

// SubmitAsync has a message decided by its partition's leader and never blocks. done is called once
// with the answer, as soon as that is known and by the deadline at the latest. What one node
// submits for a partition reaches the leader in the order submitted. done must not block. When the
// backlog is full it is called with Overloaded before SubmitAsync returns. The errors no_owner and
// overloaded promise that the message never was and never will be accepted by this call. They
// promise nothing of earlier calls under its number (RejectCallNumber). outcome_unknown promises
// nothing.
func (r *Router) SubmitAsync(
	ctx context.Context, partitionID int, message *leader.Message, deadline time.Time,
	done func(*leader.Decision, error),
) {
	queue := r.queues.of(partitionID)
	submit := &pendingSubmit{ctx: ctx, message: message, submittedAt: r.Clock.Now(), deadline: deadline, done: done}
	queue.mu.Lock()
	if waiting := len(queue.waiting) + queue.inFlight; r.Backlog != nil && waiting >= r.Backlog() {
		queue.mu.Unlock()
		overloaded := apierror.New(apierror.Overloaded, "%d messages wait here for partition %d", waiting, partitionID)
		submit.answer(nil, overloaded)
		return
	}
	queue.waiting = append(queue.waiting, submit)
	mustStart, mustWake := !queue.running, queue.nextDeadline.IsZero() || deadline.Before(queue.nextDeadline)
	queue.running = true
	queue.mu.Unlock()
	if mustStart {
		go r.runQueue(partitionID, queue)
	} else if mustWake {
		select {
		case queue.wake <- struct{}{}:
		default:
		}
	}
}

// rejectAll gives up messages because of err.
func (r *Router) rejectAll(partitionID int, submits []*pendingSubmit, err error) {
	for _, submit := range submits {
		submit.answer(nil, r.errGivenUp(partitionID, submit.isUncertain, err))
	}
}

var errExpired = apierror.New(apierror.NoPartitionLeader, "the deadline of the message has passed")

// runQueue submits the messages that wait in a queue, batch by batch, until none waits.
func (r *Router) runQueue(partitionID int, queue *submitQueue) {
	for {
		changed := r.Store.Changed()
		record := r.Store.Record(partitionID)
		startedAt := r.Clock.Now()
		if record.Version != queue.recordVersion || queue.recordSince.IsZero() {
			queue.recordVersion, queue.recordSince, queue.failures, queue.attempts = record.Version, startedAt, 0, 0
		}
		batch, expired := queue.nextBatch(startedAt)
		r.rejectAll(partitionID, expired, errExpired)
		if len(batch) == 0 {
			if len(expired) == 0 {
				return
			}
			continue
		}
		outcomes, err := r.submitBatch(partitionID, queue, record, batch)
		remaining := r.answerBatch(partitionID, queue, record, batch, outcomes, startedAt, err)
		queue.requeue(remaining)
		if len(remaining) > 0 {
			r.pause(partitionID, queue, changed)
		}
	}
}

// batchResult is the result of an attempt with a batch: an outcome for each message, or an error.
type batchResult struct {
	outcomes []leader.Outcome
	err      error
}

// submitBatch makes one attempt with a batch. Meanwhile it answers messages past their deadline.
// Once a message may have left this node for another one its outcome is uncertain, whatever the
// response: an older copy of the batch may still be in flight.
func (r *Router) submitBatch(
	partitionID int, queue *submitQueue, record assignment.Record, batch []*pendingSubmit,
) ([]leader.Outcome, error) {
	address, err := r.leaderAddress(partitionID, record)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), r.Timing.CallTimeout())
	defer stop()
	defer context.AfterFunc(r.epochs.contextOf(r.Store, record), stop)()
	request := &SubmitManyRequest{Partition: partitionID}
	wereUncertain := make([]bool, len(batch))
	for i, submit := range batch {
		request.Messages = append(request.Messages, submit.message)
		wereUncertain[i] = submit.isUncertain
		submit.isUncertain = submit.isUncertain || record.Leader != r.Self
	}
	result := r.awaitBatch(partitionID, queue, batch, r.startBatch(ctx, record, address, request))
	if errors.Is(result.err, syscall.ECONNREFUSED) {
		for i, submit := range batch {
			submit.isUncertain = wereUncertain[i]
		}
	}
	if result.err != nil {
		return nil, result.err
	}
	if len(result.outcomes) != len(batch) {
		return nil, apierror.New(apierror.Unreachable, "%d outcomes for %d messages", len(result.outcomes), len(batch))
	}
	return result.outcomes, nil
}

// startBatch has a batch decided by the leader at an address, or on this node if the record names
// it. One result is sent, when the call has ended.
func (r *Router) startBatch(
	ctx context.Context, record assignment.Record, address string, request *SubmitManyRequest,
) <-chan batchResult {
	results := make(chan batchResult, 1)
	go func() {
		var response *SubmitManyResponse
		var err error
		if record.Leader == r.Self {
			response, err = r.submitMany(ctx, request)
		} else {
			response, err = SubmitMany.Call(ctx, r.Net, r.Self, address, request)
		}
		if err != nil {
			results <- batchResult{err: err}
			return
		}
		results <- batchResult{outcomes: response.Outcomes}
	}()
	return results
}

// awaitBatch waits for the result of a batch. Meanwhile it rejects messages past their deadline, in
// the batch and behind it.
func (r *Router) awaitBatch(
	partitionID int, queue *submitQueue, batch []*pendingSubmit, results <-chan batchResult,
) batchResult {
	for {
		expired, due := queue.checkDeadlines(r.Clock.Now(), batch)
		r.rejectAll(partitionID, expired, errExpired)
		waitCtx, cancel := context.Background(), func() {}
		if !due.IsZero() {
			waitCtx, cancel = context.WithTimeout(waitCtx, due.Sub(r.Clock.Now()))
		}
		select {
		case result := <-results:
			cancel()
			return result
		case <-queue.wake:
		case <-waitCtx.Done():
		}
		cancel()
	}
}

// answerBatch answers the messages that were decided and gives up those that no leader can decide
// now. It returns the rest, in order, to be submitted again.
func (r *Router) answerBatch(
	partitionID int, queue *submitQueue, record assignment.Record,
	batch []*pendingSubmit, outcomes []leader.Outcome, startedAt time.Time, err error,
) []*pendingSubmit {
	var remaining []*pendingSubmit
	var causes []error
	for i, submit := range batch {
		itemErr := err
		if err == nil {
			if rejected := outcomes[i].Err; rejected != nil {
				itemErr = rejected.WithRetryAfter(time.Duration(rejected.RetryAfterMS) * time.Millisecond)
			}
		}
		code := apierror.From(itemErr).Code
		isUndecided := retryableCodes[code] || code == apierror.NoPartitionLeader
		if err == nil && !isUndecided {
			queue.failures, queue.attempts = 0, 0
		}
		switch {
		case itemErr == nil:
			submit.answer(outcomes[i].Decision, nil)
		case isUndecided:
			submit.isUncertain = submit.isUncertain || uncertainCodes[code] && !errors.Is(itemErr, syscall.ECONNREFUSED)
			if !submit.isAnswered {
				remaining, causes = append(remaining, submit), append(causes, itemErr)
			}
		case submit.isUncertain && !finalCodes[code]:
			submit.answer(nil, errUncertain(partitionID, itemErr))
		default:
			submit.answer(nil, itemErr)
		}
	}
	if len(remaining) == 0 {
		return nil
	}
	return r.giveUpExhausted(partitionID, queue, record, remaining, causes, startedAt)
}

// giveUpExhausted gives up undecided messages of a batch, each with its error: all of them after
// too many failures or after an uncertain attempt of a call's timeout, and each that has waited for
// a call's timeout since the last newer record. It returns the others.
func (r *Router) giveUpExhausted(
	partitionID int, queue *submitQueue, record assignment.Record,
	remaining []*pendingSubmit, causes []error, startedAt time.Time,
) []*pendingSubmit {
	now := r.Clock.Now()
	code := apierror.From(causes[0]).Code
	if failureLimits[code] > 0 && (queue.failures == 0 || now.Sub(queue.lastFailure) >= r.Timing.MaxBackoff()) {
		queue.failures++
		queue.lastFailure = now
	}
	if r.Store.Record(partitionID).Version != record.Version {
		return remaining
	}
	limit, timeout := failureLimits[code], r.Timing.CallTimeout()
	giveUpAll := limit > 0 && queue.failures >= limit || uncertainCodes[code] && now.Sub(startedAt) >= timeout
	var toRetry []*pendingSubmit
	for i, submit := range remaining {
		since := submit.submittedAt
		if queue.recordSince.After(since) {
			since = queue.recordSince
		}
		if giveUpAll || now.Sub(since) >= timeout {
			submit.answer(nil, r.errGivenUp(partitionID, submit.isUncertain, causes[i]))
		} else {
			toRetry = append(toRetry, submit)
		}
	}
	return toRetry
}

// pause waits for the backoff before the next attempt, or for a newer record. Meanwhile it answers
// messages past their deadline.
func (r *Router) pause(partitionID int, queue *submitQueue, changed <-chan struct{}) {
	pause := r.Timing.Backoff(queue.attempts)
	if remaining := r.Timing.MaxBackoff() - r.Clock.Now().Sub(queue.lastFailure); queue.failures > 0 && remaining > 0 {
		pause = min(pause, remaining)
	}
	queue.attempts++
	ctx, stop := context.WithTimeout(context.Background(), pause)
	defer stop()
	for ctx.Err() == nil {
		expired, due := queue.checkDeadlines(r.Clock.Now(), nil)
		r.rejectAll(partitionID, expired, errExpired)
		if due.IsZero() {
			return
		}
		waitCtx, cancel := context.WithTimeout(ctx, due.Sub(r.Clock.Now()))
		select {
		case <-changed:
			cancel()
			return
		case <-queue.wake:
		case <-waitCtx.Done():
		}
		cancel()
	}
}
