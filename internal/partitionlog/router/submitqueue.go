package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"postjunction/internal/partitionlog/leader"
)

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
