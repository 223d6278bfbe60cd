// Package feed carries committed entries from the owners to the streams of one node.
package feed

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/ledger/line"
	"postjunction/internal/ledger/owner"
	"postjunction/internal/options"
	"postjunction/internal/problem"
)

// Source reads committed entries.
type Source interface {
	Read(ctx context.Context, p int, from uint64, hold time.Duration) (*owner.Reading, error)
}

// Feeds holds a feed per partition that some stream here follows.
type Feeds struct {
	src    Source
	clk    clock.Clock
	bounds options.Bounds
	ctx    context.Context
	mu     sync.Mutex
	m      map[int]*Feed
}

// New makes feeds that live as long as ctx.
func New(ctx context.Context, s Source, c clock.Clock, b options.Bounds) *Feeds {
	return &Feeds{src: s, clk: c, bounds: b, ctx: ctx, m: map[int]*Feed{}}
}

// Feed is one partition's part of the committed ledger, shared by the streams of a node.
type Feed struct {
	fs    *Feeds
	p     int
	mu    sync.Mutex
	base  uint64
	to    uint64
	es    []line.Entry
	at    []time.Time
	bytes int
	wakes map[chan struct{}]bool
	ready chan struct{}
	stop  context.CancelFunc
}

const (
	cacheBytes = 8 << 20
	entryCost  = 128
)

// Follow opens or joins a feed; wake is signalled on news. The function leaves it.
func (f *Feeds) Follow(ctx context.Context, p int, wake chan struct{}) (*Feed, func(), error) {
	f.mu.Lock()
	d, ok := f.m[p]
	if !ok {
		cx, stop := context.WithCancel(f.ctx)
		d = &Feed{fs: f, p: p, wakes: map[chan struct{}]bool{}, ready: make(chan struct{}), stop: stop}
		f.m[p] = d
		go d.run(cx)
	}
	d.mu.Lock()
	d.wakes[wake] = true
	d.mu.Unlock()
	f.mu.Unlock()
	leave := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		d.mu.Lock()
		delete(d.wakes, wake)
		n := len(d.wakes)
		d.mu.Unlock()
		if n == 0 && f.m[p] == d {
			delete(f.m, p)
			d.stop()
		}
	}
	select {
	case <-d.ready:
		return d, leave, nil
	case <-ctx.Done():
		leave()
		return nil, nil, problem.New(problem.NoOwner, "partition %d could not be read in time", p)
	}
}

func (d *Feed) run(ctx context.Context) {
	f := d.fs
	for started := false; ctx.Err() == nil; {
		d.mu.Lock()
		from := d.to
		d.mu.Unlock()
		if !started {
			from = ^uint64(0)
		}
		cx, stop := context.WithTimeout(ctx, f.bounds.Recovery)
		r, err := f.src.Read(cx, d.p, from, f.bounds.Hold())
		stop()
		if err != nil {
			_ = f.clk.Sleep(ctx, f.bounds.Retry())
			continue
		}
		d.take(r, !started)
		if !started {
			started = true
			close(d.ready)
		}
	}
}

func (d *Feed) take(r *owner.Reading, first bool) {
	now := d.fs.clk.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if first || r.Base > d.to {
		d.base, d.to, d.es, d.at, d.bytes = r.To, r.To, nil, nil, 0
		if !first {
			d.base, d.to = r.Base, r.Base
		}
	}
	for _, e := range r.Entries {
		if e.Offset == d.to+1 {
			d.es, d.at, d.to = append(d.es, e), append(d.at, now), e.Offset
			d.bytes += len(e.Body) + entryCost
		}
	}
	k := 0
	for k < len(d.es) && (d.bytes > cacheBytes || now.Sub(d.at[k]) > d.fs.bounds.Kept()) {
		d.bytes -= len(d.es[k].Body) + entryCost
		d.base = d.es[k].Offset
		k++
	}
	if k > 0 {
		d.es, d.at = append([]line.Entry(nil), d.es[k:]...), append([]time.Time(nil), d.at[k:]...)
	}
	if len(r.Entries) == 0 && !first {
		return
	}
	for w := range d.wakes {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// To gives where the committed ledger ended when last read.
func (d *Feed) To() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.to
}

const batchMost = 64

// Held gives entries after an offset, if the node holds them; it never waits.
func (d *Feed) Held(o uint64) ([]line.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o < d.base {
		return nil, false
	}
	if o >= d.to {
		return nil, true
	}
	k := int(o - d.base)
	return d.es[k:min(len(d.es), k+batchMost)], true
}

// After gives entries after an offset, from what the node holds or from the owner.
func (d *Feed) After(ctx context.Context, o uint64) ([]line.Entry, error) {
	if es, ok := d.Held(o); ok {
		return es, nil
	}
	cx, stop := context.WithTimeout(ctx, 2*d.fs.bounds.Call())
	defer stop()
	r, err := d.fs.src.Read(cx, d.p, o, 0)
	if err != nil {
		return nil, err
	}
	if r.Base > o {
		return nil, problem.New(problem.CursorExpired, "partition %d is kept from offset %d on, the cursor is at %d", d.p, r.Base+1, o)
	}
	return r.Entries, nil
}
