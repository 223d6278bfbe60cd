// Package idle confirms silent lines to the machines that hold copies of them: all of a disk in one call, instead of an empty append for each.
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

// Disk is one disk at a machine's address.
type Disk struct{ Addr, Incarnation string }

// Outcome is what became of a wait.
type Outcome int

// Superseded came before the line was confirmed; Identical says that the copy ends as the line does, under its epoch; Uncertain that it may not, or did not answer.
const (
	Superseded Outcome = iota
	Identical
	Uncertain
)

// fewLines are not looked through further where their sums differ.
const fewLines = 4

type waiting struct {
	line replica.IdleLog
	due  time.Time
	said chan Outcome
}

// group is what waits for a disk; wake ends the pause until the first of it is due.
type group struct {
	ws   map[*waiting]bool
	due  time.Time
	wake context.CancelFunc
}

// Confirmer are the silent lines of a machine's owners, by the disks of their copies.
type Confirmer struct {
	self   string
	net    wire.Network
	clk    clock.Clock
	bounds settings.Timing
	ctx    context.Context
	mu     sync.Mutex
	m      map[Disk]*group
}

// New makes an empty set that lives as long as ctx.
func New(ctx context.Context, self string, n wire.Network, c clock.Clock, b settings.Timing) *Confirmer {
	return &Confirmer{self: self, net: n, clk: c, bounds: b, ctx: ctx, m: map[Disk]*group{}}
}

// Wait has a line confirmed to a disk once it is due, or before with another one of that disk, and waits for that or for news of it.
func (l *Confirmer) Wait(ctx context.Context, d Disk, s replica.IdleLog, due time.Time, grown, moved <-chan struct{}) Outcome {
	w := &waiting{line: s, due: due, said: make(chan Outcome, 1)}
	l.mu.Lock()
	g, runs := l.m[d]
	if !runs {
		g = &group{ws: map[*waiting]bool{}}
		l.m[d] = g
	}
	g.ws[w] = true
	switch {
	case !runs:
		go l.run(d, g)
	case g.wake != nil && due.Before(g.due):
		g.wake()
	}
	l.mu.Unlock()
	select {
	case said := <-w.said:
		return said
	case <-grown:
	case <-moved:
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(g.ws, w)
	l.mu.Unlock()
	return Superseded
}

// run confirms what waits for a disk, until nothing does.
func (l *Confirmer) run(d Disk, g *group) {
	for {
		l.mu.Lock()
		g.wake = nil
		if len(g.ws) == 0 || l.ctx.Err() != nil {
			for w := range g.ws {
				w.said <- Uncertain
			}
			delete(l.m, d)
			l.mu.Unlock()
			return
		}
		due := time.Time{}
		for w := range g.ws {
			if due.IsZero() || w.due.Before(due) {
				due = w.due
			}
		}
		if left := due.Sub(l.clk.Now()); left > 0 {
			cx, wake := context.WithCancel(l.ctx)
			g.due, g.wake = due, wake
			l.mu.Unlock()
			_ = l.clk.Sleep(cx, left)
			wake()
			continue
		}
		all := make([]*waiting, 0, len(g.ws))
		for w := range g.ws {
			all = append(all, w)
		}
		clear(g.ws)
		l.mu.Unlock()
		slices.SortFunc(all, func(a, b *waiting) int {
			return cmp.Or(cmp.Compare(a.line.Kind, b.line.Kind), cmp.Compare(a.line.Partition, b.line.Partition))
		})
		l.ask(d, all)
	}
}

// ask tells what became of lines that were silent, in their order. Where the sums of many differ, those of their halves tell which.
func (l *Confirmer) ask(d Disk, all []*waiting) {
	q := &replica.CompareIdleRequest{Incarnation: d.Incarnation, Partitions: map[log.Kind][]int{}}
	ss := make([]replica.IdleLog, len(all))
	for i, w := range all {
		ss[i] = w.line
		q.Partitions[w.line.Kind] = append(q.Partitions[w.line.Kind], w.line.Partition)
	}
	q.Checksum = replica.IdleChecksum(ss)
	cx, stop := context.WithTimeout(l.ctx, l.bounds.CallTimeout())
	a, err := replica.CompareIdle.Call(cx, l.net, l.self, d.Addr, q)
	stop()
	said := Identical
	switch {
	case err != nil:
		said = Uncertain
	case !a.Identical && len(all) > fewLines:
		l.ask(d, all[:len(all)/2])
		l.ask(d, all[len(all)/2:])
		return
	case !a.Identical:
		said = Uncertain
	}
	for _, w := range all {
		w.said <- said
	}
}
