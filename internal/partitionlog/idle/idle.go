// Package idle confirms that the replicas of logs without new entries end like the leaders' logs:
// all replicas on a disk in one call, instead of an empty append for each.
//
// Invariants: Identical is reported only where the replica's log ended like the leader's, under its
// epoch, when it was compared. A disk with waiting logs has one goroutine. It ends when no log
// waits any more or the Confirmer's context has ended.
package idle

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Disk is one disk at a node's address.
type Disk struct{ Addr, Incarnation string }

// Outcome is the result of a wait.
type Outcome int

// Outcomes of a wait. With Superseded the log changed, or the wait was canceled, before the log was
// confirmed. With Identical the replica ends as the log does, under its epoch. With Uncertain the
// replica may end differently, or it did not answer.
const (
	Superseded Outcome = iota
	Identical
	Uncertain
)

// maxUnsplit is the number of logs up to which a group is not split further where the checksums
// differ.
const maxUnsplit = 4

type waiter struct {
	log     replica.IdleLog
	due     time.Time
	outcome chan Outcome
}

// diskQueue holds the logs that wait to be confirmed on a disk. due is when the first of them is
// due, and wake ends the sleep until then.
type diskQueue struct {
	waiting map[*waiter]bool
	due     time.Time
	wake    context.CancelFunc
}

// Confirmer holds the idle logs of a node's leaders, by the disks of their replicas.
type Confirmer struct {
	self   string
	net    wire.Network
	clock  clock.Clock
	timing settings.Timing
	ctx    context.Context
	mu     sync.Mutex // guards queues and all that they contain
	queues map[Disk]*diskQueue
}

// New returns an empty Confirmer that runs until ctx ends.
func New(ctx context.Context, self string, network wire.Network, c clock.Clock, timing settings.Timing) *Confirmer {
	return &Confirmer{self: self, net: network, clock: c, timing: timing, ctx: ctx, queues: map[Disk]*diskQueue{}}
}

// Wait has a log confirmed on a disk once it is due, or earlier together with another log of that
// disk. It blocks until that is done. It returns Superseded when appended or committed is closed or
// ctx ends first.
func (c *Confirmer) Wait(
	ctx context.Context, disk Disk, idleLog replica.IdleLog, due time.Time, appended, committed <-chan struct{},
) Outcome {
	w := &waiter{log: idleLog, due: due, outcome: make(chan Outcome, 1)}
	c.mu.Lock()
	queue, isRunning := c.queues[disk]
	if !isRunning {
		queue = &diskQueue{waiting: map[*waiter]bool{}}
		c.queues[disk] = queue
	}
	queue.waiting[w] = true
	switch {
	case !isRunning:
		go c.run(disk, queue)
	case queue.wake != nil && due.Before(queue.due):
		queue.wake()
	}
	c.mu.Unlock()
	select {
	case outcome := <-w.outcome:
		return outcome
	case <-appended:
	case <-committed:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(queue.waiting, w)
	c.mu.Unlock()
	return Superseded
}

// run confirms the logs that wait for a disk, until none waits.
func (c *Confirmer) run(disk Disk, queue *diskQueue) {
	for {
		c.mu.Lock()
		queue.wake = nil
		if len(queue.waiting) == 0 || c.ctx.Err() != nil {
			for w := range queue.waiting {
				w.outcome <- Uncertain
			}
			delete(c.queues, disk)
			c.mu.Unlock()
			return
		}
		due := time.Time{}
		for w := range queue.waiting {
			if due.IsZero() || w.due.Before(due) {
				due = w.due
			}
		}
		if remaining := due.Sub(c.clock.Now()); remaining > 0 {
			ctx, wake := context.WithCancel(c.ctx)
			queue.due, queue.wake = due, wake
			c.mu.Unlock()
			_ = c.clock.Sleep(ctx, remaining)
			wake()
			continue
		}
		waiters := make([]*waiter, 0, len(queue.waiting))
		for w := range queue.waiting {
			waiters = append(waiters, w)
		}
		clear(queue.waiting)
		c.mu.Unlock()
		slices.SortFunc(waiters, func(a, b *waiter) int {
			return cmp.Or(cmp.Compare(a.log.Kind, b.log.Kind), cmp.Compare(a.log.Partition, b.log.Partition))
		})
		c.compare(disk, waiters)
	}
}

// compare has the disk's node compare logs, in the order of their kinds and partitions, and passes
// on the outcomes. Where the checksum of many logs differs, comparing each half narrows down which
// logs differ.
func (c *Confirmer) compare(disk Disk, waiters []*waiter) {
	request := &replica.CompareIdleRequest{Incarnation: disk.Incarnation, Partitions: map[log.Kind][]int{}}
	logs := make([]replica.IdleLog, len(waiters))
	for i, w := range waiters {
		logs[i] = w.log
		request.Partitions[w.log.Kind] = append(request.Partitions[w.log.Kind], w.log.Partition)
	}
	request.Checksum = replica.IdleChecksum(logs)
	ctx, stop := context.WithTimeout(c.ctx, c.timing.CallTimeout())
	response, err := replica.CompareIdle.Call(ctx, c.net, c.self, disk.Addr, request)
	stop()
	outcome := Identical
	switch {
	case err != nil:
		outcome = Uncertain
	case !response.Identical && len(waiters) > maxUnsplit:
		c.compare(disk, waiters[:len(waiters)/2])
		c.compare(disk, waiters[len(waiters)/2:])
		return
	case !response.Identical:
		outcome = Uncertain
	}
	for _, w := range waiters {
		w.outcome <- outcome
	}
}
