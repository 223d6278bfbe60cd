// Package gossip carries news to the data plane: nodes pass it on to a few fellows and mend gaps by comparing digests.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"postjunction/internal/clock"
	"postjunction/internal/control/roster"
	"postjunction/internal/description"
	"postjunction/internal/member"
	"postjunction/internal/options"
	"postjunction/internal/placement/record"
	"postjunction/internal/wire"
)

// Digest says how new a node's news is.
type Digest struct {
	Roster      uint64   `json:"r"`
	Description uint64   `json:"d"`
	Records     []uint64 `json:"p"`
}

// News is what one node has and another lacks.
type News struct {
	Roster      *roster.Roster           `json:"r,omitempty"`
	Description *description.Description `json:"d,omitempty"`
	Records     []record.Record          `json:"p,omitempty"`
}

// Empty tells whether there is nothing new.
func (n News) Empty() bool { return n.Roster == nil && n.Description == nil && len(n.Records) == 0 }

// ExchangeTask offers a digest, and news to those known to lack it.
type ExchangeTask struct {
	Digest Digest `json:"digest"`
	News   News   `json:"news"`
}

// ExchangeAnswer gives the receiver's digest and what the asker lacks.
type ExchangeAnswer struct {
	Digest Digest `json:"digest"`
	News   News   `json:"news"`
}

// Exchange is the gossip call.
var Exchange = wire.Name[ExchangeTask, ExchangeAnswer]("Gossip", "Exchange")

// Board holds a node's news; nothing on it ever goes back.
type Board struct {
	mu      sync.Mutex
	roster  roster.Roster
	desc    description.Description
	index   *description.Index
	records map[int]record.Record
	changed chan struct{}
	hear    func(News)
}

// NewBoard makes an empty board; hear is told of what was new.
func NewBoard(hear func(News)) *Board {
	return &Board{index: description.NewIndex(description.Description{}), records: map[int]record.Record{}, changed: make(chan struct{}), hear: hear}
}

// Offer takes in news and gives the part that was new here.
func (b *Board) Offer(n News) News {
	b.mu.Lock()
	var f News
	if n.Roster != nil && n.Roster.Sequence > b.roster.Sequence && (b.roster.Fleet == "" || b.roster.Fleet == n.Roster.Fleet) {
		b.roster, f.Roster = *n.Roster, n.Roster
	}
	if n.Description != nil && n.Description.Sequence > b.desc.Sequence {
		b.desc, f.Description = *n.Description, n.Description
		b.index = description.NewIndex(b.desc)
	}
	for _, r := range n.Records {
		if r.Writes > b.records[r.Partition].Writes {
			b.records[r.Partition] = r
			f.Records = append(f.Records, r)
		}
	}
	if !f.Empty() {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	b.mu.Unlock()
	if !f.Empty() && b.hear != nil {
		b.hear(f)
	}
	return f
}

// Changed is closed at the next news.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Roster gives the newest roster.
func (b *Board) Roster() roster.Roster {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster
}

// Description gives the newest description.
func (b *Board) Description() description.Description {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.desc
}

// Index gives the newest description's index.
func (b *Board) Index() *description.Index {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index
}

// Record gives the newest record of a partition.
func (b *Board) Record(p int) record.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[p]
}

// Digest says how new the board is.
func (b *Board) Digest() Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := Digest{Roster: b.roster.Sequence, Description: b.desc.Sequence, Records: make([]uint64, b.roster.Layout.Count())}
	for i := range d.Records {
		d.Records[i] = b.records[i].Writes
	}
	return d
}

// Since gives what the board has and a digest lacks.
func (b *Board) Since(d Digest) News {
	b.mu.Lock()
	defer b.mu.Unlock()
	var n News
	if b.roster.Sequence > d.Roster {
		r := b.roster
		n.Roster = &r
	}
	if b.desc.Sequence > d.Description {
		x := b.desc
		n.Description = &x
	}
	for p, r := range b.records {
		if p >= len(d.Records) || r.Writes > d.Records[p] {
			n.Records = append(n.Records, r)
		}
	}
	return n
}

// Gossip passes the board's news on.
type Gossip struct {
	Self   string
	Net    wire.Network
	Clock  clock.Clock
	Bounds options.Bounds
	Board  *Board
	View   func() []member.Info
	mu     sync.Mutex
	sent   uint64
	mended uint64
}

const fellowsPerRound = 2

// Counts gives the exchanges made and those that mended a gap.
func (g *Gossip) Counts() (sent, mended uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent, g.mended
}

// Run exchanges with a few fellows every pulse, and at once when there is news.
func (g *Gossip) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ch := g.Board.Changed()
		cx, stop := context.WithCancel(ctx)
		due := make(chan struct{})
		go func() {
			_ = g.Clock.Sleep(cx, clock.Jitter(g.Bounds.Pulse()/2, 1, rand.Float64()))
			close(due)
		}()
		select {
		case <-ch:
		case <-due:
		}
		stop()
		fs := member.Pick(g.View(), func(i member.Info) bool { return i.Name != g.Self })
		rand.Shuffle(len(fs), func(a, b int) { fs[a], fs[b] = fs[b], fs[a] })
		for _, f := range fs[:min(len(fs), fellowsPerRound)] {
			go g.swap(ctx, f)
		}
		if err := g.Clock.Sleep(ctx, g.Bounds.Pulse()/fellowsPerRound/10); err != nil {
			return
		}
	}
}

func (g *Gossip) swap(ctx context.Context, f member.Info) {
	cx, stop := context.WithTimeout(ctx, g.Bounds.Call())
	defer stop()
	a, err := Exchange.Call(cx, g.Net, g.Self, f.Fellows, &ExchangeTask{Digest: g.Board.Digest()})
	if err != nil {
		return
	}
	got := !g.Board.Offer(a.News).Empty()
	if n := g.Board.Since(a.Digest); !n.Empty() {
		got = true
		_, _ = Exchange.Call(cx, g.Net, g.Self, f.Fellows, &ExchangeTask{Digest: g.Board.Digest(), News: n})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	if got {
		g.mended++
	}
}

// Serve adds the gossip call.
func (g *Gossip) Serve(m *http.ServeMux) {
	Exchange.Handle(m, func(_ context.Context, q *ExchangeTask) (*ExchangeAnswer, error) {
		g.Board.Offer(q.News)
		return &ExchangeAnswer{Digest: g.Board.Digest(), News: g.Board.Since(q.Digest)}, nil
	})
}
