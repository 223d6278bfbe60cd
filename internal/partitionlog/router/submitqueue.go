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
	// isUncertain reports whether an attempt may have been decided although no answer came.
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

// submitQueue holds the messages that one node submits to one partition. They are sent one batch at
// a time, in the order submitted.
type submitQueue struct {
	// wake makes the queue's goroutine check its deadlines again, when a message comes with a
	// deadline before nextDeadline.
	wake chan struct{}

	// mu guards waiting, inFlight, running and nextDeadline.
	mu           sync.Mutex
	waiting      []*pendingSubmit
	inFlight     int
	running      bool
	nextDeadline time.Time

	// Only the queue's goroutine, runQueue, uses the fields below: the record's version and the
	// time when it was first seen. Since then: the number of errors of failureLimits, the time of
	// the last one, and the number of attempts for the backoff.
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

// nextBatch removes and returns the messages past their deadline and the next batch. Where there
// are neither, the queue's goroutine ends.
func (q *submitQueue) nextBatch(now time.Time) (batch, expired []*pendingSubmit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired = q.removeExpired(now)
	count, size := 0, 0
	for count < len(q.waiting) && count < maxBatchMessages {
		bodySize := len(q.waiting[count].message.Body)
		if count > 0 && size+bodySize > maxBatchBytes {
			break
		}
		size += bodySize
		count++
	}
	batch = slices.Clone(q.waiting[:count])
	if q.waiting = q.waiting[count:]; len(q.waiting) == 0 {
		q.waiting = nil
	}
	q.inFlight = count
	if count == 0 && len(expired) == 0 {
		q.running = false
	}
	return batch, expired
}

// removeExpired removes and returns the messages past their deadline. The caller holds mu.
func (q *submitQueue) removeExpired(now time.Time) []*pendingSubmit {
	var expired []*pendingSubmit
	q.waiting = slices.DeleteFunc(q.waiting, func(submit *pendingSubmit) bool {
		if submit.isExpired(now) {
			expired = append(expired, submit)
		}
		return submit.isExpired(now)
	})
	return expired
}

// checkDeadlines returns the messages past their deadline, in the batch in flight and behind it,
// and the next deadline.
func (q *submitQueue) checkDeadlines(now time.Time, batch []*pendingSubmit) (expired []*pendingSubmit, due time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired = q.removeExpired(now)
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
			expired = append(expired, submit)
		} else if due.IsZero() || submit.deadline.Before(due) {
			due = submit.deadline
		}
	}
	q.nextDeadline = due
	return expired, due
}

// requeue puts the rest of a batch before the messages that wait.
func (q *submitQueue) requeue(submits []*pendingSubmit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(submits, q.waiting...)
	q.inFlight = 0
}
