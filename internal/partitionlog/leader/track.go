package leader

import (
	"context"
	"sort"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/idle"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
)

type track struct {
	kind    log.Kind
	line    *log.Log
	pending []log.Entry
	last    log.Position
	durable uint64
	// match is how far each other disk is known to hold the line, by its incarnation: a machine's new disk counts for nothing where the record names its lost one.
	match  map[string]uint64
	commit uint64
	moved  chan struct{}
	grown  chan struct{}
}

func newTrack(k log.Kind, l *log.Log) *track {
	p := l.Last()
	return &track{kind: k, line: l, last: p, durable: p.Offset, match: map[string]uint64{}, moved: make(chan struct{}), grown: make(chan struct{})}
}

func (t *track) push(e log.Entry, epoch uint64) log.Entry {
	e.Offset, e.Epoch = t.last.Offset+1, epoch
	if e.Digest == "" {
		e.Digest = log.Digest(e.Body)
	}
	e.Chain = log.NextChain(t.last.Chain, e)
	t.pending = append(t.pending, e)
	t.last = e.Position()
	close(t.grown)
	t.grown = make(chan struct{})
	return e
}

func (t *track) point(o uint64) (log.Position, bool) {
	if k := int(o) - int(t.durable) - 1; k >= 0 && k < len(t.pending) {
		return t.pending[k].Position(), true
	}
	return t.line.Position(o)
}

const (
	sendMost  = 256
	sendBytes = 512 << 10
)

func (t *track) after(o uint64) []log.Entry {
	es := t.line.Slice(o+1, t.durable, sendMost, sendBytes)
	if o+uint64(len(es)) < t.durable || len(es) == sendMost {
		return es
	}
	k := 0
	if o > t.durable {
		k = int(o - t.durable)
	}
	if k < len(t.pending) {
		rest := t.pending[k:]
		es = append(es, rest[:min(len(rest), sendMost)]...)
	}
	return es
}

func (t *track) settle(r assignment.Record, self string) bool {
	var os []uint64
	for _, p := range r.Replicas {
		if p.Node == self {
			os = append(os, t.durable)
		} else {
			os = append(os, t.match[p.Incarnation])
		}
	}
	sort.Slice(os, func(i, k int) bool { return os[i] > os[k] })
	o := os[r.Majority()-1]
	if p, ok := t.point(o); o <= t.commit || !ok || p.Epoch != r.Epoch {
		return false
	}
	t.commit = o
	t.line.SetCommit(o)
	close(t.moved)
	t.moved = make(chan struct{})
	return true
}

func (o *Leader) writer(ctx context.Context, t *track) {
	full := false
	for ctx.Err() == nil {
		o.mu.Lock()
		at, _ := t.point(t.durable)
		es := append([]log.Entry(nil), t.pending[:min(len(t.pending), sendMost)]...)
		grown := t.grown
		base := o.bases[t.kind]
		o.mu.Unlock()
		if full && base.Offset > t.line.Base().Offset {
			es = nil
		}
		if len(es) == 0 && base.Offset <= t.line.Base().Offset {
			select {
			case <-grown:
			case <-o.trimmed(t.kind):
			case <-ctx.Done():
			}
			continue
		}
		a, err := o.d.Replica.Append(ctx, &replica.AppendRequest{Target: o.target(o.d.Self), Kind: t.kind, After: at, Entries: es, Base: base, Urgent: o.Urgent})
		if err == nil && !a.Matched {
			err = apierror.New(apierror.LogMismatch, "the own line ends at %d", a.Tail.Last.Offset)
		}
		if err != nil {
			if o.fenced(err) || apierror.HasCode(err, apierror.LogMismatch) {
				o.lose(err)
				return
			}
			o.d.Observer.DiskFailed(o.Record.Partition, err)
			full = apierror.HasCode(err, apierror.DiskFull)
			_ = o.d.Clock.Sleep(ctx, o.d.Timing.MaxBackoff())
			continue
		}
		full = false
		o.mu.Lock()
		t.pending = t.pending[len(es):]
		t.durable += uint64(len(es))
		o.settle(t)
		o.mu.Unlock()
	}
}

type cursor struct {
	at    log.Position
	reset bool
	step  uint64
	// full tells that the disk had no room: it is asked to trim, without entries.
	full bool
}

func (o *Leader) replicate(ctx context.Context, t *track, p assignment.Replica, tail replica.Tail, known bool) {
	var c cursor
	o.mu.Lock()
	c.at = t.last
	o.mu.Unlock()
	if known {
		o.back(t, &c, tail)
	}
	told, said, sent, tries := false, uint64(0), o.d.Clock.Now(), 0
	var cut log.Position
	for ctx.Err() == nil {
		o.mu.Lock()
		es := t.after(c.at.Offset)
		grown, moved, commit, base := t.grown, t.moved, t.commit, o.bases[t.kind]
		o.mu.Unlock()
		if c.full && !c.reset {
			es = nil
		}
		addr, ok := o.d.Addr(p.Node)
		if len(es) == 0 && told && !c.full {
			d, quiet := o.d.Timing.SessionTimeout(), ok && o.d.Idle != nil && commit == said && base == cut
			if commit > said && t.kind == log.KindLedger {
				d, moved = o.d.Timing.HeartbeatInterval(), nil
			}
			if base != cut {
				d = o.d.Timing.HeartbeatInterval()
			}
			due := sent.Add(d)
			if quiet {
				s := replica.IdleLog{Partition: o.Record.Partition, Kind: t.kind, Epoch: o.Record.Epoch, Last: c.at}
				v := o.d.Idle.Wait(ctx, idle.Disk{Addr: addr, Incarnation: p.Incarnation}, s, due, grown, moved)
				if v == idle.Identical {
					sent = o.d.Clock.Now()
				}
				if v != idle.Uncertain {
					continue
				}
			} else if left := due.Sub(o.d.Clock.Now()); left > 0 {
				clock.Wait(ctx, o.d.Clock, left, grown, moved)
				continue
			}
		}
		if !ok {
			_ = o.d.Clock.Sleep(ctx, o.d.Timing.Backoff(tries))
			tries++
			continue
		}
		cx, stop := context.WithTimeout(ctx, o.d.Timing.CallTimeout())
		a, err := replica.Append.Call(cx, o.d.Net, o.d.Self, addr, &replica.AppendRequest{Target: replica.Target{Partition: o.Record.Partition, Incarnation: p.Incarnation, Epoch: o.Record.Epoch}, Kind: t.kind, After: c.at, Entries: es, Commit: commit, Base: base, Reset: c.reset, Urgent: o.Urgent})
		stop()
		sent = o.d.Clock.Now()
		if err != nil {
			if o.fenced(err) {
				o.lose(err)
				return
			}
			if apierror.HasCode(err, apierror.LogMismatch) {
				c.reset = false
			}
			c.full = apierror.HasCode(err, apierror.DiskFull)
			_ = o.d.Clock.Sleep(ctx, o.d.Timing.Backoff(tries))
			tries++
			continue
		}
		if !a.Matched {
			o.back(t, &c, a.Tail)
			continue
		}
		if base.Offset <= c.at.Offset {
			cut = base
		}
		c.reset, c.step, c.full, told, said, tries = false, 0, false, true, commit, 0
		if n := len(es); n > 0 {
			c.at = es[n-1].Position()
		}
		o.mu.Lock()
		t.match[p.Incarnation] = max(t.match[p.Incarnation], c.at.Offset)
		o.settle(t)
		o.mu.Unlock()
	}
}

func (o *Leader) back(t *track, c *cursor, f replica.Tail) {
	o.mu.Lock()
	defer o.mu.Unlock()
	base := t.line.Base()
	if p, ok := t.point(f.Last.Offset); ok && p == f.Last {
		c.at, c.reset = p, false
		return
	}
	floor := max(base.Offset, f.Base.Offset)
	if f.Last.Offset < base.Offset || c.step > 0 && c.at.Offset <= floor {
		c.at, c.reset = base, true
		return
	}
	c.step = max(1, c.step*2)
	to := min(f.Last.Offset, c.at.Offset)
	if to > floor+c.step {
		to -= c.step
	} else {
		to = floor
	}
	if p, ok := t.point(to); ok {
		c.at, c.reset = p, false
		return
	}
	c.at, c.reset = base, true
}
