// Package stream carries committed entries from the owners to the streams of one node, and has them forget what is withdrawn.
package stream

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// Source reads committed entries.
type Source interface {
	ReadAsReader(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error)
}

// Feeds holds a feed per partition that some stream here follows.
type Feeds struct {
	node   string
	boot   string
	src    Source
	clk    clock.Clock
	bounds settings.Timing
	ctx    context.Context
	mu     sync.Mutex
	m      map[int]*Feed
	there  map[*Feed]bool
	boots  uint64
}

// New makes the feeds of a node under a boot; they live as long as ctx.
func New(ctx context.Context, node, boot string, s Source, c clock.Clock, b settings.Timing) *Feeds {
	return &Feeds{node: node + "/streams", boot: boot, src: s, clk: c, bounds: b, ctx: ctx, m: map[int]*Feed{}, there: map[*Feed]bool{}}
}

// another gives a boot that no feed here has had: what is told of one feed counts for no other.
func (f *Feeds) another() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boots++
	return fmt.Sprintf("%s.%d", f.boot, f.boots)
}

type place struct{ topic, key string }

func at(e log.Entry) place { return place{e.Topic, e.Key} }

// writing is an entry that a stream is giving to its visitor right now.
type writing struct {
	e    log.Entry
	cut  func()
	done chan struct{}
}

// end cuts a write off, under the feed's lock, so that its stream has not left.
func (w *writing) end() *writing {
	w.cut()
	return w
}

type seat struct{ wake chan struct{} }

// Feed is one partition's part of the committed ledger, shared by the streams of a node.
type Feed struct {
	fs     *Feeds
	p      int
	boot   string
	mu     sync.Mutex
	base   uint64
	to     uint64
	epoch  uint64
	turn   uint64
	es     []log.Entry
	at     []time.Time
	bytes  int
	era    uint64
	marks  map[place]uint64
	writes map[*writing]bool
	seats  map[*seat]bool
	ready  chan struct{}
	told   chan struct{}
	stop   context.CancelFunc
}

const (
	cacheBytes = 8 << 20
	entryCost  = 128
	marksMost  = 1024
)

// Follow opens or joins a feed; wake is signalled on news. The function leaves it.
func (f *Feeds) Follow(ctx context.Context, p int, wake chan struct{}) (*Feed, func(), error) {
	boot := f.another()
	s := &seat{wake}
	f.mu.Lock()
	d, ok := f.m[p]
	if !ok {
		cx, stop := context.WithCancel(f.ctx)
		d = &Feed{fs: f, p: p, boot: boot, marks: map[place]uint64{}, writes: map[*writing]bool{}, seats: map[*seat]bool{}, ready: make(chan struct{}), told: make(chan struct{}), stop: stop}
		f.m[p], f.there[d] = d, true
		go d.run(cx)
	}
	d.mu.Lock()
	d.seats[s] = true
	d.mu.Unlock()
	f.mu.Unlock()
	leave := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		d.mu.Lock()
		delete(d.seats, s)
		n := len(d.seats)
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
		return nil, nil, apierror.New(apierror.NoPartitionLeader, "partition %d could not be read in time", p)
	}
}

// WaitFinished waits until every feed whose streams left has told its owner so, as long as ctx lasts.
func (f *Feeds) WaitFinished(ctx context.Context) {
	f.mu.Lock()
	ds := slices.Collect(maps.Keys(f.there))
	f.mu.Unlock()
	for _, d := range ds {
		select {
		case <-d.told:
		case <-ctx.Done():
		}
	}
}

func (d *Feed) run(ctx context.Context) {
	f := d.fs
	opened, first, heard := false, true, f.clk.Now()
	for ctx.Err() == nil {
		d.mu.Lock()
		from := d.to
		d.mu.Unlock()
		if first {
			from = ^uint64(0)
		}
		cx, stop := context.WithTimeout(ctx, f.bounds.Recovery)
		r, err := d.ask(cx, &leader.ReadRequest{From: from, Hold: f.bounds.LongPoll()})
		stop()
		if err != nil {
			if f.clk.Now().Sub(heard) > f.bounds.Recovery && d.depart() {
				first, heard = true, f.clk.Now()
			}
			_ = f.clk.Sleep(ctx, f.bounds.MaxBackoff())
			continue
		}
		heard = f.clk.Now()
		if r.MustReset {
			d.anew(f.another())
			first = true
			continue
		}
		await(d.take(r, first))
		first = false
		if !opened {
			opened = true
			close(d.ready)
		}
	}
	d.over()
	f.mu.Lock()
	delete(f.there, d)
	f.mu.Unlock()
	close(d.told)
}

// ask reads as the feed's reader, and takes nothing from an owner that is known to be superseded.
func (d *Feed) ask(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error) {
	d.mu.Lock()
	boot := d.boot
	q.Partition, q.Node, q.BootID, q.ReaderToken, q.TracksTombstones = d.p, d.fs.node, d.boot, d.turn, true
	d.mu.Unlock()
	r, err := d.fs.src.ReadAsReader(ctx, q)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Epoch < d.epoch {
		return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was read at epoch %d, after %d", d.p, r.Epoch, d.epoch)
	}
	d.epoch = r.Epoch
	if r.ReaderToken > 0 && boot == d.boot {
		d.turn = r.ReaderToken
	}
	return r, nil
}

// over tells the owner that the feed has let go of all, until it hears that.
func (d *Feed) over() {
	f := d.fs
	for f.ctx.Err() == nil {
		cx, stop := context.WithTimeout(f.ctx, f.bounds.Recovery)
		_, err := d.ask(cx, &leader.ReadRequest{From: ^uint64(0), Finished: true})
		stop()
		if err == nil {
			return
		}
		_ = f.clk.Sleep(f.ctx, f.bounds.MaxBackoff())
	}
}

// anew lets go of all that the feed holds and goes on as another reader.
func (d *Feed) anew(boot string) {
	d.mu.Lock()
	ws := d.drop()
	d.base, d.boot, d.turn = d.to, boot, 0
	d.mu.Unlock()
	await(ws)
}

// farewells are how often an owner that does not answer is told that nothing is held here any more, patience for how many pauses each waits.
const (
	farewells = 3
	patience  = 2
)

// depart lets go of all for want of an answer, says so under the boot that held it, as an owner that isn't heard may hear, and goes on as another reader. It tells
// whether there was anything that an owner may count on.
func (d *Feed) depart() bool {
	f := d.fs
	d.mu.Lock()
	q := &leader.ReadRequest{Partition: d.p, Node: f.node, BootID: d.boot, ReaderToken: d.turn, TracksTombstones: true, From: ^uint64(0), Finished: true}
	d.mu.Unlock()
	if q.ReaderToken == 0 {
		return false
	}
	d.anew(f.another())
	for tries := range farewells {
		cx, stop := context.WithTimeout(f.ctx, patience*f.bounds.MaxBackoff())
		_, err := f.src.ReadAsReader(cx, q)
		stop()
		if err == nil || f.clk.Sleep(f.ctx, f.bounds.Backoff(tries)) != nil {
			break
		}
	}
	return true
}

// drop empties the cache, makes windows of before stale and cuts off the writes that may be withdrawn unknown to the feed.
func (d *Feed) drop() []*writing {
	d.es, d.at, d.bytes = nil, nil, 0
	d.era++
	clear(d.marks)
	var ws []*writing
	for w := range d.writes {
		ws = append(ws, w.end())
	}
	return ws
}

func await(ws []*writing) {
	for _, w := range ws {
		<-w.done
	}
}

// take adds what was read and gives the writes cut off, which have to end before anything behind it is asked for.
func (d *Feed) take(r *leader.ReadResponse, first bool) []*writing {
	now := d.fs.clk.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var ws []*writing
	if first || r.Base > d.to {
		ws = d.drop()
		d.base, d.to = r.To, r.To
		if !first {
			d.base, d.to = r.Base, r.Base
		}
	}
	for _, e := range r.Entries {
		if e.Offset == d.to+1 {
			if e.Type == log.TypeWithdrawal {
				ws = append(ws, d.forget(e)...)
			}
			d.es, d.at, d.to = append(d.es, e), append(d.at, now), e.Offset
			d.bytes += len(e.Body) + entryCost
		}
	}
	k := 0
	for k < len(d.es) && (d.bytes > cacheBytes || now.Sub(d.at[k]) > d.fs.bounds.Retention()) {
		d.bytes -= len(d.es[k].Body) + entryCost
		d.base = d.es[k].Offset
		k++
	}
	if k > 0 {
		d.es, d.at = append([]log.Entry(nil), d.es[k:]...), append([]time.Time(nil), d.at[k:]...)
	}
	if len(r.Entries) == 0 && !first {
		return ws
	}
	for s := range d.seats {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return ws
}

// forget takes what a withdrawal covers out of the cache, remembers its mark for windows that were filled before, and cuts off the writes that are
// under way with what it covers. Where there are too many marks, windows of before are stale as a whole.
func (d *Feed) forget(m log.Entry) []*writing {
	for i := range d.es {
		if e := &d.es[i]; e.Type == log.TypeMessage && at(*e) == at(m) {
			d.bytes -= len(e.Body)
			e.Body, e.Digest, e.BodyDropped = nil, "", true
		}
	}
	if len(d.marks) >= marksMost {
		d.era++
		clear(d.marks)
	}
	d.marks[at(m)] = m.Offset
	var ws []*writing
	for w := range d.writes {
		if at(w.e) == at(m) && w.e.Offset < m.Offset {
			ws = append(ws, w.end())
		}
	}
	return ws
}

// To gives where the committed ledger ended when last read.
func (d *Feed) To() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.to
}

const batchMost = 64

// Window is a part of the ledger that a stream holds. What it holds may be withdrawn meanwhile, see Begin.
type Window struct {
	Entries []log.Entry
	era     uint64
}

// Held gives entries after an offset, if the node holds them; it never waits.
func (d *Feed) Held(o uint64) (Window, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o < d.base {
		return Window{}, false
	}
	if o >= d.to {
		return Window{}, true
	}
	k := int(o - d.base)
	return Window{slices.Clone(d.es[k:min(len(d.es), k+batchMost)]), d.era}, true
}

// After gives entries after an offset, from what the node holds or from the owner.
func (d *Feed) After(ctx context.Context, o uint64) (Window, error) {
	if w, ok := d.Held(o); ok {
		return w, nil
	}
	cx, stop := context.WithTimeout(ctx, 2*d.fs.bounds.CallTimeout())
	defer stop()
	d.mu.Lock()
	era := d.era
	d.mu.Unlock()
	r, err := d.ask(cx, &leader.ReadRequest{From: o, Beside: true})
	if err != nil {
		return Window{}, err
	}
	if r.MustReset {
		return Window{}, apierror.New(apierror.NotReady, "partition %d is being read anew", d.p)
	}
	if r.Base > o {
		return Window{}, apierror.New(apierror.CursorExpired, "partition %d is kept from offset %d on, the cursor is at %d", d.p, r.Base+1, o)
	}
	return Window{r.Entries, era}, nil
}

// Fate is what becomes of an entry of a window.
type Fate int

// The fates: to be given, withdrawn and never to be given, or of a window that must be filled anew.
const (
	FateDeliver Fate = iota
	FateWithdrawn
	FateStale
)

// Begin comes right before an entry of a window is given to a visitor. Where it is due, the function returned says that the giving ended; if the entry is withdrawn
// before that, cut is called from elsewhere: it must not wait, and has the giving end soon.
func (d *Feed) Begin(w Window, e log.Entry, cut func()) (Fate, func()) {
	if e.Key == "" || e.Type != log.TypeMessage {
		return FateDeliver, func() {}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case w.era != d.era:
		return FateStale, func() {}
	case e.Offset < d.marks[at(e)]:
		return FateWithdrawn, func() {}
	}
	x := &writing{e, cut, make(chan struct{})}
	d.writes[x] = true
	return FateDeliver, func() {
		d.mu.Lock()
		delete(d.writes, x)
		d.mu.Unlock()
		close(x.done)
	}
}
