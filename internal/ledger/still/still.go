// Package still confirms silent lines to the machines that hold copies of them: all of a disk in one call, instead of an empty append for each.
package still

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/ledger/line"
	"postjunction/internal/ledger/replica"
	"postjunction/internal/options"
	"postjunction/internal/wire"
)

// Disk is one disk at a machine's address.
type Disk struct{ Addr, Incarnation string }

// Said is what became of a wait.
type Said int

// News came before the line was confirmed; Alike says that the copy ends as the line does, under its epoch; Doubt that it may not, or did not answer.
const (
	News Said = iota
	Alike
	Doubt
)

// fewLines are not looked through further where their sums differ.
const fewLines = 4

type waiting struct {
	line replica.Silent
	due  time.Time
	said chan Said
}

// Lines are the silent lines of a machine's owners, by the disks of their copies.
type Lines struct {
	self   string
	net    wire.Network
	clk    clock.Clock
	bounds options.Bounds
	ctx    context.Context
	mu     sync.Mutex
	m      map[Disk]map[*waiting]bool
}

// New makes an empty set that lives as long as ctx.
func New(ctx context.Context, self string, n wire.Network, c clock.Clock, b options.Bounds) *Lines {
	return &Lines{self: self, net: n, clk: c, bounds: b, ctx: ctx, m: map[Disk]map[*waiting]bool{}}
}

// Wait has a line confirmed to a disk once it is due, or before with another one of that disk, and waits for that or for news of it.
func (l *Lines) Wait(ctx context.Context, d Disk, s replica.Silent, due time.Time, grown, moved <-chan struct{}) Said {
	w := &waiting{line: s, due: due, said: make(chan Said, 1)}
	l.mu.Lock()
	ws, runs := l.m[d]
	if !runs {
		ws = map[*waiting]bool{}
		l.m[d] = ws
	}
	ws[w] = true
	if !runs {
		go l.run(d, ws)
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
	delete(ws, w)
	l.mu.Unlock()
	return News
}

// run confirms what waits for a disk, until nothing does.
func (l *Lines) run(d Disk, ws map[*waiting]bool) {
	for {
		l.mu.Lock()
		if len(ws) == 0 || l.ctx.Err() != nil {
			for w := range ws {
				w.said <- Doubt
			}
			delete(l.m, d)
			l.mu.Unlock()
			return
		}
		due := time.Time{}
		for w := range ws {
			if due.IsZero() || w.due.Before(due) {
				due = w.due
			}
		}
		if left := due.Sub(l.clk.Now()); left > 0 {
			l.mu.Unlock()
			_ = l.clk.Sleep(l.ctx, left)
			continue
		}
		all := make([]*waiting, 0, len(ws))
		for w := range ws {
			all = append(all, w)
		}
		clear(ws)
		l.mu.Unlock()
		slices.SortFunc(all, func(a, b *waiting) int {
			return cmp.Or(cmp.Compare(a.line.Kind, b.line.Kind), cmp.Compare(a.line.Partition, b.line.Partition))
		})
		l.ask(d, all)
	}
}

// ask tells what became of lines that were silent, in their order. Where the sums of many differ, those of their halves tell which.
func (l *Lines) ask(d Disk, all []*waiting) {
	q := &replica.StillTask{Incarnation: d.Incarnation, Lines: map[line.Kind][]int{}}
	ss := make([]replica.Silent, len(all))
	for i, w := range all {
		ss[i] = w.line
		q.Lines[w.line.Kind] = append(q.Lines[w.line.Kind], w.line.Partition)
	}
	q.Sum = replica.Sum(ss)
	cx, stop := context.WithTimeout(l.ctx, l.bounds.Call())
	a, err := replica.Still.Call(cx, l.net, l.self, d.Addr, q)
	stop()
	said := Alike
	switch {
	case err != nil:
		said = Doubt
	case !a.Alike && len(all) > fewLines:
		l.ask(d, all[:len(all)/2])
		l.ask(d, all[len(all)/2:])
		return
	case !a.Alike:
		said = Doubt
	}
	for _, w := range all {
		w.said <- said
	}
}
