// Package idle confirms logs without new entries to the disks that hold their replicas: all logs of
// a disk in one call, instead of an empty append for each.
//
// What must stay true: Identical is reported only where the replica's log ended like the leader's,
// under its epoch, when it was asked. A disk that has logs waiting has one goroutine, which ends
// when none is left or the Confirmer's context is over.
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

// Superseded came before the log was confirmed; Identical says that the replica ends as the log
// does, under its epoch; Uncertain that it may not, or did not answer.
const (
	Superseded Outcome = iota
	Identical
	Uncertain
)

// maxUnsplit is how many logs are not split further where their checksums differ.
const maxUnsplit = 4

type waiter struct {
	log     replica.IdleLog
	due     time.Time
	outcome chan Outcome
}

// group are the logs that wait for a disk; wake ends the pause until the first of it is due.
type group struct {
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
	mu     sync.Mutex // guards groups and all that they hold
	groups map[Disk]*group
}

// New makes an empty Confirmer that lives as long as ctx.
func New(ctx context.Context, self string, network wire.Network, c clock.Clock, timing settings.Timing) *Confirmer {
	return &Confirmer{self: self, net: network, clock: c, timing: timing, ctx: ctx, groups: map[Disk]*group{}}
}

// Wait has a log confirmed to a disk once it is due, or earlier with another one of that disk, and
// blocks until that is done; Superseded when grown or moved is closed or ctx ends first.
func (l *Confirmer) Wait(
	ctx context.Context, disk Disk, idleLog replica.IdleLog, due time.Time, grown,
	moved <-chan struct{},
) Outcome {
	w := &waiter{log: idleLog, due: due, outcome: make(chan Outcome, 1)}
	l.mu.Lock()
	queue, runs := l.groups[disk]
	if !runs {
		queue = &group{waiting: map[*waiter]bool{}}
		l.groups[disk] = queue
	}
	queue.waiting[w] = true
	switch {
	case !runs:
		go l.run(disk, queue)
	case queue.wake != nil && due.Before(queue.due):
		queue.wake()
	}
	l.mu.Unlock()
	select {
	case outcome := <-w.outcome:
		return outcome
	case <-grown:
	case <-moved:
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(queue.waiting, w)
	l.mu.Unlock()
	return Superseded
}

// run confirms what waits for a disk, until nothing does.
func (l *Confirmer) run(disk Disk, queue *group) {
	for {
		l.mu.Lock()
		queue.wake = nil
		if len(queue.waiting) == 0 || l.ctx.Err() != nil {
			for w := range queue.waiting {
				w.outcome <- Uncertain
			}
			delete(l.groups, disk)
			l.mu.Unlock()
			return
		}
		due := time.Time{}
		for w := range queue.waiting {
			if due.IsZero() || w.due.Before(due) {
				due = w.due
			}
		}
		if left := due.Sub(l.clock.Now()); left > 0 {
			ctx, wake := context.WithCancel(l.ctx)
			queue.due, queue.wake = due, wake
			l.mu.Unlock()
			_ = l.clock.Sleep(ctx, left)
			wake()
			continue
		}
		all := make([]*waiter, 0, len(queue.waiting))
		for w := range queue.waiting {
			all = append(all, w)
		}
		clear(queue.waiting)
		l.mu.Unlock()
		slices.SortFunc(all, func(a, b *waiter) int {
			return cmp.Or(cmp.Compare(a.log.Kind, b.log.Kind), cmp.Compare(a.log.Partition, b.log.Partition))
		})
		l.compare(disk, all)
	}
}

// compare asks for logs, in the order of their kinds and partitions, and hands out the outcomes.
// Where the checksums of many differ, those of their halves say which.
func (l *Confirmer) compare(disk Disk, all []*waiter) {
	request := &replica.CompareIdleRequest{Incarnation: disk.Incarnation, Partitions: map[log.Kind][]int{}}
	logs := make([]replica.IdleLog, len(all))
	for i, w := range all {
		logs[i] = w.log
		request.Partitions[w.log.Kind] = append(request.Partitions[w.log.Kind], w.log.Partition)
	}
	request.Checksum = replica.IdleChecksum(logs)
	ctx, stop := context.WithTimeout(l.ctx, l.timing.CallTimeout())
	response, err := replica.CompareIdle.Call(ctx, l.net, l.self, disk.Addr, request)
	stop()
	outcome := Identical
	switch {
	case err != nil:
		outcome = Uncertain
	case !response.Identical && len(all) > maxUnsplit:
		l.compare(disk, all[:len(all)/2])
		l.compare(disk, all[len(all)/2:])
		return
	case !response.Identical:
		outcome = Uncertain
	}
	for _, w := range all {
		w.outcome <- outcome
	}
}
