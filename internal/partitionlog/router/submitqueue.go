package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/wire"
)

// SubmitManyRequest is messages of one partition, decided in their order.
type SubmitManyRequest struct {
	Partition int               `json:"p"`
	Messages  []*leader.Message `json:"t"`
}

// SubmitManyResponse has an outcome for each message, in the same order.
type SubmitManyResponse struct {
	Outcomes []leader.Outcome `json:"v"`
}

// SubmitMany has a batch decided on the leader's node.
var SubmitMany = wire.NewProcedure[SubmitManyRequest, SubmitManyResponse]("Ledger", "SubmitMany", wire.Deduplicated,
	"each message has its number, which the owner remembers")

const (
	maxBatchMessages = 256
	maxBatchBytes    = 512 << 10
)

// pendingSubmit is a message that waits for its answer.
type pendingSubmit struct {
	ctx         context.Context
	message     *leader.Message
	submittedAt time.Time
	deadline    time.Time
	done        func(*leader.Decision, error)
	// isUncertain tells that an attempt may have been decided, though no answer came.
	isUncertain bool
	isAnswered  bool
}

func (s *pendingSubmit) answer(response *leader.Decision, err error) {
	if !s.isAnswered {
		s.isAnswered = true
		s.done(response, err)
	}
}

func (s *pendingSubmit) isExpired(now time.Time) bool {
	return !s.deadline.After(now) || s.ctx.Err() != nil
}

// submitQueue holds what one node submits to one partition: one batch at a time, in the order
// submitted.
type submitQueue struct {
	// wake has the queue's goroutine look again, when a message comes with a deadline before
	// nextDeadline.
	wake chan struct{}

	// mu guards the fields up to nextDeadline.
	mu           sync.Mutex
	waiting      []*pendingSubmit
	inFlight     int
	running      bool
	nextDeadline time.Time

	// The fields below belong to the queue's goroutine, runQueue: the record's version with the
	// time it was first seen, and since then the errors of failureLimits with the time of the last
	// one, and the attempts for the backoff.
	recordVersion uint64
	recordSince   time.Time
	failures      int
	lastFailure   time.Time
	attempts      int
}

// submitQueues holds the queue of each partition. mu guards byPartition.
type submitQueues struct {
	mu          sync.Mutex
	byPartition map[int]*submitQueue
}

func (s *submitQueues) of(partitionID int) *submitQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPartition == nil {
		s.byPartition = map[int]*submitQueue{}
	}
	queue := s.byPartition[partitionID]
	if queue == nil {
		queue = &submitQueue{wake: make(chan struct{}, 1)}
		s.byPartition[partitionID] = queue
	}
	return queue
}

// SubmitAsync has a message decided by its partition's leader and never blocks: done is called once
// with the answer, as soon as that is known and by until at the latest. What one node submits for a
// partition reaches the leader in the order submitted. done must not block; when the backlog is
// full it is called with Overloaded before SubmitAsync returns. The errors no_owner and overloaded
// promise that the message never was and never will be accepted by this call, but nothing of earlier
// calls under its number (RejectCallNumber); outcome_unknown promises nothing.
func (r *Router) SubmitAsync(
	ctx context.Context, partitionID int, message *leader.Message, until time.Time, done func(*leader.Decision, error),
) {
	queue := r.queues.of(partitionID)
	submit := &pendingSubmit{ctx: ctx, message: message, submittedAt: r.Clock.Now(), deadline: until, done: done}
	queue.mu.Lock()
	if waiting := len(queue.waiting) + queue.inFlight; r.Backlog != nil && waiting >= r.Backlog() {
		queue.mu.Unlock()
		submit.answer(nil, apierror.New(apierror.Overloaded, "%d messages wait here for partition %d", waiting, partitionID))
		return
	}
	queue.waiting = append(queue.waiting, submit)
	start, early := !queue.running, queue.nextDeadline.IsZero() || until.Before(queue.nextDeadline)
	queue.running = true
	queue.mu.Unlock()
	if start {
		go r.runQueue(partitionID, queue)
	} else if early {
		select {
		case queue.wake <- struct{}{}:
		default:
		}
	}
}

// nextBatch takes out what is past its deadline, and the next batch. With neither, it ends the
// queue's goroutine.
func (q *submitQueue) nextBatch(now time.Time) (batch, late []*pendingSubmit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	late = q.takeExpired(now)
	count, size := 0, 0
	for count < len(q.waiting) && count < maxBatchMessages {
		body := len(q.waiting[count].message.Body)
		if count > 0 && size+body > maxBatchBytes {
			break
		}
		size += body
		count++
	}
	batch = slices.Clone(q.waiting[:count])
	if q.waiting = q.waiting[count:]; len(q.waiting) == 0 {
		q.waiting = nil
	}
	q.inFlight = count
	if count == 0 && len(late) == 0 {
		q.running = false
	}
	return batch, late
}

// takeExpired takes out what is past its deadline. The lock is held.
func (q *submitQueue) takeExpired(now time.Time) []*pendingSubmit {
	var late []*pendingSubmit
	q.waiting = slices.DeleteFunc(q.waiting, func(submit *pendingSubmit) bool {
		if submit.isExpired(now) {
			late = append(late, submit)
		}
		return submit.isExpired(now)
	})
	return late
}

// checkDeadlines returns what is past its deadline, of the batch in flight and behind it, and the
// next deadline.
func (q *submitQueue) checkDeadlines(now time.Time, batch []*pendingSubmit) (late []*pendingSubmit, due time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	late = q.takeExpired(now)
	for _, submit := range q.waiting {
		if due.IsZero() || submit.deadline.Before(due) {
			due = submit.deadline
		}
	}
	for _, submit := range batch {
		if submit.isAnswered {
			continue
		}
		if submit.isExpired(now) {
			submit.isUncertain = true
			late = append(late, submit)
		} else if due.IsZero() || submit.deadline.Before(due) {
			due = submit.deadline
		}
	}
	q.nextDeadline = due
	return late, due
}

// putBack puts what is left of a batch before what waits.
func (q *submitQueue) putBack(submits []*pendingSubmit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(submits, q.waiting...)
	q.inFlight = 0
}

func (r *Router) rejectAll(partitionID int, submits []*pendingSubmit, err error) {
	for _, submit := range submits {
		submit.answer(nil, r.errGivenUp(partitionID, submit.isUncertain, err))
	}
}

var errExpired = apierror.New(apierror.NoPartitionLeader, "the time of the message is over")

// runQueue submits what waits in a queue, batch by batch, until nothing waits.
func (r *Router) runQueue(partitionID int, queue *submitQueue) {
	for {
		changed := r.Store.Changed()
		record := r.Store.Record(partitionID)
		begun := r.Clock.Now()
		if record.Version != queue.recordVersion || queue.recordSince.IsZero() {
			queue.recordVersion, queue.recordSince, queue.failures, queue.attempts = record.Version, begun, 0, 0
		}
		batch, late := queue.nextBatch(begun)
		r.rejectAll(partitionID, late, errExpired)
		if len(batch) == 0 {
			if len(late) == 0 {
				return
			}
			continue
		}
		outcomes, err := r.submitBatch(partitionID, queue, record, batch)
		remaining := r.answerBatch(partitionID, queue, record, batch, outcomes, begun, err)
		queue.putBack(remaining)
		if len(remaining) > 0 {
			r.pause(partitionID, queue, changed)
		}
	}
}

// submitBatch makes one attempt with a batch, and meanwhile answers messages past their deadline.
// What may have left this node for another is uncertain from then on, whatever comes back: an older
// copy of the batch may still be on its way.
func (r *Router) submitBatch(
	partitionID int, queue *submitQueue, record assignment.Record, batch []*pendingSubmit,
) ([]leader.Outcome, error) {
	type answer struct {
		a   *SubmitManyResponse
		err error
	}
	peer, known := r.View.Get(record.Leader)
	switch {
	case record.Leader == "":
		return nil, apierror.New(apierror.NoPartitionLeader, "partition %d has no leader yet", partitionID)
	case record.Leader != r.Self && !known:
		return nil, apierror.New(apierror.NoPartitionLeader, "the leader %s of partition %d is gone",
			record.Leader, partitionID)
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
	answers := make(chan answer, 1)
	go func() {
		if record.Leader == r.Self {
			response, err := r.submitMany(ctx, request)
			answers <- answer{response, err}
			return
		}
		response, err := SubmitMany.Call(ctx, r.Net, r.Self, peer.PeerAddr, request)
		answers <- answer{response, err}
	}()
	for {
		late, due := queue.checkDeadlines(r.Clock.Now(), batch)
		r.rejectAll(partitionID, late, errExpired)
		waitCtx, end := context.Background(), func() {}
		if !due.IsZero() {
			waitCtx, end = context.WithTimeout(waitCtx, due.Sub(r.Clock.Now()))
		}
		select {
		case got := <-answers:
			end()
			if errors.Is(got.err, syscall.ECONNREFUSED) {
				for i, submit := range batch {
					submit.isUncertain = wereUncertain[i]
				}
			}
			if got.err == nil && len(got.a.Outcomes) != len(batch) {
				got.err = apierror.New(apierror.Unreachable, "%d verdicts on %d messages", len(got.a.Outcomes), len(batch))
			}
			if got.err != nil {
				return nil, got.err
			}
			return got.a.Outcomes, nil
		case <-queue.wake:
		case <-waitCtx.Done():
		}
		end()
	}
}

// answerBatch answers what was decided and gives up what no leader can decide now; it returns the
// rest, in order, to be submitted again.
func (r *Router) answerBatch(
	partitionID int, queue *submitQueue, record assignment.Record,
	batch []*pendingSubmit, outcomes []leader.Outcome, begun time.Time, err error,
) []*pendingSubmit {
	var remaining []*pendingSubmit
	var why []error
	for i, submit := range batch {
		itemErr := err
		if err == nil {
			if rejected := outcomes[i].Err; rejected != nil {
				itemErr = rejected.WithRetryAfter(time.Duration(rejected.RetryAfterMS) * time.Millisecond)
			}
		}
		code := apierror.From(itemErr).Code
		open := retryableCodes[code] || code == apierror.NoPartitionLeader
		if err == nil && !open {
			queue.failures, queue.attempts = 0, 0
		}
		switch {
		case itemErr == nil:
			submit.answer(outcomes[i].Decision, nil)
		case open:
			submit.isUncertain = submit.isUncertain || uncertainCodes[code] && !errors.Is(itemErr, syscall.ECONNREFUSED)
			if !submit.isAnswered {
				remaining, why = append(remaining, submit), append(why, itemErr)
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
	return r.giveUpOrKeep(partitionID, queue, record, remaining, why, begun)
}

// giveUpOrKeep gives up those of a batch's undecided messages, each with its error, for which it
// met too many failures or that waited for a call's time-out since the last newer record. It
// returns the others.
func (r *Router) giveUpOrKeep(
	partitionID int, queue *submitQueue, record assignment.Record,
	remaining []*pendingSubmit, why []error, begun time.Time,
) []*pendingSubmit {
	now := r.Clock.Now()
	code := apierror.From(why[0]).Code
	if failureLimits[code] > 0 && (queue.failures == 0 || now.Sub(queue.lastFailure) >= r.Timing.MaxBackoff()) {
		queue.failures++
		queue.lastFailure = now
	}
	if r.Store.Record(partitionID).Version != record.Version {
		return remaining
	}
	limit, timeout := failureLimits[code], r.Timing.CallTimeout()
	all := limit > 0 && queue.failures >= limit || uncertainCodes[code] && now.Sub(begun) >= timeout
	var again []*pendingSubmit
	for i, submit := range remaining {
		since := submit.submittedAt
		if queue.recordSince.After(since) {
			since = queue.recordSince
		}
		if all || now.Sub(since) >= timeout {
			submit.answer(nil, r.errGivenUp(partitionID, submit.isUncertain, why[i]))
		} else {
			again = append(again, submit)
		}
	}
	return again
}

// pause waits for the backoff before the next attempt, or for a newer record, and meanwhile answers
// messages past their deadline.
func (r *Router) pause(partitionID int, queue *submitQueue, changed <-chan struct{}) {
	pause := r.Timing.Backoff(queue.attempts)
	if left := r.Timing.MaxBackoff() - r.Clock.Now().Sub(queue.lastFailure); queue.failures > 0 && left > 0 {
		pause = min(pause, left)
	}
	queue.attempts++
	ctx, stop := context.WithTimeout(context.Background(), pause)
	defer stop()
	for ctx.Err() == nil {
		late, due := queue.checkDeadlines(r.Clock.Now(), nil)
		r.rejectAll(partitionID, late, errExpired)
		if due.IsZero() {
			return
		}
		waitCtx, end := context.WithTimeout(ctx, due.Sub(r.Clock.Now()))
		select {
		case <-changed:
			end()
			return
		case <-queue.wake:
		case <-waitCtx.Done():
		}
		end()
	}
}

func (r *Router) submitMany(ctx context.Context, request *SubmitManyRequest) (*SubmitManyResponse, error) {
	running, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	response := &SubmitManyResponse{Outcomes: make([]leader.Outcome, len(request.Messages))}
	var messages []*leader.Message
	var indexes []int
	for i, message := range request.Messages {
		if err := r.checkPartition(message, request.Partition); err != nil {
			response.Outcomes[i].Err = apierror.From(err)
			continue
		}
		messages, indexes = append(messages, message), append(indexes, i)
	}
	for i, outcome := range running.SubmitMany(ctx, messages) {
		response.Outcomes[indexes[i]] = outcome
	}
	return response, nil
}

func (r *Router) checkPartition(message *leader.Message, partitionID int) error {
	actual, err := r.partitionOf(message)
	if err == nil && actual != partitionID {
		err = apierror.New(apierror.NotPartitionLeader, "topic %s stands in partition %d, not %d",
			message.Topic, actual, partitionID)
	}
	return err
}
