// Package gossip carries news to the data plane: nodes pass it on to a few peers and mend gaps by comparing digests.
package gossip

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/control/voters"
	"postjunction/internal/membership"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Digest says how new a node's news is.
type Digest struct {
	VoterSet      uint64   `json:"r"`
	Configuration uint64   `json:"d"`
	Records       []uint64 `json:"p"`
	// Changes tells that a description may come by its changes.
	Changes bool `json:"c,omitempty"`
	// ConfigurationPending tells that the description is asked of another peer already.
	ConfigurationPending bool `json:"w,omitempty"`
	// OmitHistory tells that records are wanted without their history.
	OmitHistory bool `json:"l,omitempty"`
}

// Update is what one node has and another lacks. A description comes whole, without its source, or by the changes to one that the other has.
type Update struct {
	VoterSet      *voters.Set            `json:"r,omitempty"`
	Configuration *configuration.Config  `json:"d,omitempty"`
	Changes       []configuration.Change `json:"c,omitempty"`
	Records       []assignment.Record    `json:"p,omitempty"`
}

// Empty tells whether there is nothing new.
func (n Update) Empty() bool {
	return n.VoterSet == nil && n.Configuration == nil && len(n.Changes) == 0 && len(n.Records) == 0
}

// ExchangeRequest offers a digest, and news to those known to lack it. With a Hash of it, the digest leaves the records out.
type ExchangeRequest struct {
	Digest Digest `json:"digest,omitzero"`
	Update Update `json:"news,omitzero"`
	Hash   uint64 `json:"h,omitempty"`
}

// ExchangeResponse gives the receiver's digest and what the asker lacks, or only that both have the Same.
type ExchangeResponse struct {
	Digest Digest `json:"digest,omitzero"`
	Update Update `json:"news,omitzero"`
	Same   bool   `json:"s,omitempty"`
}

// Exchange is the gossip call.
var Exchange = wire.NewProcedure[ExchangeRequest, ExchangeResponse]("Gossip", "Exchange", wire.Monotonic, "news are numbered, and only higher numbers are taken")

// Store holds a node's news; nothing on it ever goes back.
type Store struct {
	mu      sync.Mutex
	roster  voters.Set
	desc    configuration.Config
	index   *configuration.Index
	changes []configuration.Change
	whole   bool
	others  uint64
	records map[int]assignment.Record
	changed chan struct{}
	hear    func(Update)
	hash    uint64
}

// NewStore makes an empty board; hear is told of what was new.
func NewStore(hear func(Update)) *Store {
	return &Store{index: configuration.NewIndex(configuration.Config{}), records: map[int]assignment.Record{}, changed: make(chan struct{}), hear: hear}
}

// Apply takes in news and gives the part that was new here.
func (b *Store) Apply(n Update) Update {
	b.mu.Lock()
	var f Update
	if n.VoterSet != nil && n.VoterSet.Sequence > b.roster.Sequence && (b.roster.Fleet == "" || b.roster.Fleet == n.VoterSet.Fleet) {
		b.roster, f.VoterSet = *n.VoterSet, n.VoterSet
	}
	if f.Configuration = b.describe(n); f.Configuration != nil {
		b.whole = false
	}
	for _, r := range n.Records {
		if r.Version > b.records[r.Partition].Version {
			b.records[r.Partition] = r
			f.Records = append(f.Records, r)
		}
	}
	if f.VoterSet != nil || len(f.Records) > 0 {
		b.others++
	}
	if !f.Empty() {
		b.hash = 0
		close(b.changed)
		b.changed = make(chan struct{})
	}
	b.mu.Unlock()
	if !f.Empty() && b.hear != nil {
		b.hear(f)
	}
	return f
}

const changesMost = 8

// describe takes in a whole description or changes to the one that is here, and gives the new one, or nil. What doesn't come out as it has to
// is left alone, and the next one has to come whole.
func (b *Store) describe(n Update) *configuration.Config {
	was := b.desc
	if d := n.Configuration; d != nil && d.Sequence > b.desc.Sequence {
		x := *d
		x.Source = ""
		if b.desc.Sequence > 0 {
			b.changes = append(b.changes, b.desc.Change(x))
		}
		b.index, b.desc = b.index.Next(b.desc, x), x
	}
	for _, c := range n.Changes {
		if c.From != b.desc.Sequence {
			continue
		}
		x, ok := b.desc.Apply(c)
		if !ok {
			b.whole = true
			break
		}
		b.changes = append(b.changes, c)
		b.index, b.desc = b.index.Next(b.desc, x), x
	}
	if b.desc.Sequence == was.Sequence {
		return nil
	}
	if over := len(b.changes) - changesMost; over > 0 {
		b.changes = slices.Clone(b.changes[over:])
	}
	x := b.desc
	return &x
}

// ConfigurationSince gives the description to one that has the one numbered seq: by changes where it takes them and they are known and small, else whole.
func (b *Store) ConfigurationSince(seq uint64, changes bool) (*configuration.Config, []configuration.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newer(seq, changes)
}

func (b *Store) newer(seq uint64, changes bool) (*configuration.Config, []configuration.Change) {
	if b.desc.Sequence <= seq {
		return nil, nil
	}
	if i := slices.IndexFunc(b.changes, func(c configuration.Change) bool { return c.From == seq }); changes && i >= 0 {
		size := 0
		for _, c := range b.changes[i:] {
			size += c.Size()
		}
		if cs := b.changes[i:]; size <= len(b.desc.Spaces)/2 {
			return nil, slices.Clone(cs)
		}
	}
	x := b.desc
	return &x, nil
}

// told counts the news of anything but descriptions.
func (b *Store) told() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.others
}

// AcceptsChanges tells whether changes are of use here; they aren't after some that didn't come out as they had to, until a whole description came.
func (b *Store) AcceptsChanges() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.whole
}

// Changed is closed at the next news.
func (b *Store) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// VoterSet gives the newest roster.
func (b *Store) VoterSet() voters.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster
}

// Configuration gives the newest description.
func (b *Store) Configuration() configuration.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.desc
}

// Index gives the newest description's index.
func (b *Store) Index() *configuration.Index {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index
}

// Record gives the newest record of a partition.
func (b *Store) Record(p int) assignment.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[p]
}

// Hash gives a number that boards with the same news have in common, never 0.
func (b *Store) Hash() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hash != 0 {
		return b.hash
	}
	d := b.digest()
	var t [binary.MaxVarintLen64]byte
	h := fnv.New64a()
	for _, n := range append([]uint64{d.VoterSet, d.Configuration}, d.Records...) {
		_, _ = h.Write(binary.AppendUvarint(t[:0], n))
	}
	b.hash = h.Sum64() | 1
	return b.hash
}

// Digest says how new the board is.
func (b *Store) Digest() Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.digest()
}

func (b *Store) digest() Digest {
	d := Digest{VoterSet: b.roster.Sequence, Configuration: b.desc.Sequence, Changes: !b.whole, Records: make([]uint64, b.roster.Layout.PartitionCount())}
	for i := range d.Records {
		d.Records[i] = b.records[i].Version
	}
	return d
}

// Since gives what the board has and a digest lacks.
func (b *Store) Since(d Digest) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	var n Update
	if b.roster.Sequence > d.VoterSet {
		r := b.roster
		n.VoterSet = &r
	}
	if !d.ConfigurationPending {
		n.Configuration, n.Changes = b.newer(d.Configuration, d.Changes)
	}
	for p, r := range b.records {
		if p >= len(d.Records) || r.Version > d.Records[p] {
			n.Records = append(n.Records, r)
		}
	}
	return n
}

// behind tells whether a digest knows newer records than the board has.
func (b *Store) behind(d Digest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, n := range d.Records {
		if n > b.records[p].Version {
			return true
		}
	}
	return false
}

// Gossiper passes the board's news on.
type Gossiper struct {
	Self   string
	Net    wire.Network
	Clock  clock.Clock
	Timing settings.Timing
	Store  *Store
	View   func() []membership.Info
	// Control tells that the node is a control node, from which others have their news; Disk that it has a disk of any kind, and passes news of
	// ownership on to its share of those that have none. A node without a disk writes no records, and has them without their history.
	Control bool
	Disk    bool
	mu      sync.Mutex
	seen    uint64
	asking  bool
	sent    uint64
	mended  uint64
	coming  uint64
	until   time.Time
	untold  []assignment.Record
	telling bool
	rounds  int
	alike   int
	wide    bool
	passed  Digest
	over    uint64
}

const peersPerRound = 2

// suited gives news as one peer is to have it: records without their history where they are lean. A node without a disk gives records to lean ones only,
// since those that write them need them whole.
func (g *Gossiper) suited(n Update, lean bool) Update {
	if !lean {
		if !g.Disk {
			n.Records = nil
		}
		return n
	}
	n.Records = slices.Clone(n.Records)
	for i, r := range n.Records {
		n.Records[i] = r.WithoutHistory()
	}
	return n
}

func (g *Gossiper) digest() Digest {
	d := g.Store.Digest()
	d.OmitHistory = !g.Disk
	return d
}

// answer says how new the board is to one that told how new its own is. A description that one peer was let send stands as had towards the
// others for a heartbeat, so that the whole of it doesn't come from all of them at once.
func (g *Gossiper) answer(theirs Digest) Digest {
	d := g.digest()
	if theirs.Configuration <= d.Configuration {
		return d
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if theirs.Configuration <= g.coming && now.Before(g.until) {
		d.Configuration = theirs.Configuration
		return d
	}
	g.coming, g.until = theirs.Configuration, now.Add(g.Timing.HeartbeatInterval())
	return d
}

// Counts gives the exchanges made and those that mended a gap.
func (g *Gossiper) Counts() (sent, mended uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent, g.mended
}

// Run exchanges with a few peers at once when there is news, and again until several in a row had the same; else with one now and then.
func (g *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ch := g.Store.Changed()
		few, wide := peersPerRound, g.wide
		switch {
		case g.Disk && g.owners():
			wide = g.warm(false)
		case g.cooled():
			few, wide = g.wait(ctx, ch)
		}
		g.pass(ctx)
		fs := membership.Filter(g.View(), func(i membership.Info) bool { return i.Name != g.Self && (wide || kept(i)) })
		rand.Shuffle(len(fs), func(a, b int) { fs[a], fs[b] = fs[b], fs[a] })
		for _, f := range fs[:min(len(fs), few)] {
			go g.swap(ctx, f)
		}
		if err := g.Clock.Sleep(ctx, g.Timing.HeartbeatInterval()/peersPerRound/10); err != nil {
			return
		}
	}
}

// wait waits for news or until it is time to ask someone, and says how many peers to exchange with, and whether those without a disk are among them.
func (g *Gossiper) wait(ctx context.Context, ch <-chan struct{}) (few int, wide bool) {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	due := make(chan struct{})
	go func() {
		_ = g.Clock.Sleep(cx, clock.Jitter(g.Timing.LongPoll(), 1, rand.Float64()))
		close(due)
	}()
	select {
	case <-due:
		return 1, true
	case <-ch:
	}
	switch own := g.owners(); {
	case own && g.Disk:
		return peersPerRound, g.warm(false)
	case !own && g.Control:
		return peersPerRound, g.warm(true)
	}
	return 0, false
}

// alikeMost is how many exchanges in a row that find the same news end the rounds that some news began, and roundsMost how many rounds
// there are at most.
const (
	alikeMost  = 6
	roundsMost = 12
)

// owners tells whether there was news of ownership since the last time. That can't wait for the next heartbeat; of a description only control nodes tell
// at once, and all others hear with their heartbeats, each in its own time, which spares a small machine two dozen exchanges at once.
func (g *Gossiper) owners() bool {
	e := g.Store.told()
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.seen
	g.seen = e
	return e != was
}

// warm begins rounds, wide ones with peers of all kinds. Wide ones that go on stay so.
func (g *Gossiper) warm(wide bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wide = wide || g.wide && g.rounds > 0 && g.alike < alikeMost
	g.rounds, g.alike = roundsMost, 0
	return g.wide
}

func (g *Gossiper) cooled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds--
	return g.rounds < 0 || g.alike >= alikeMost
}

const (
	toldPerNews = 16
	gatherShare = 150
	tellers     = 2
)

func kept(i membership.Info) bool { return i.Disk != "" && i.Disk != settings.DiskNone }

// pass gives what is new of ownership, on a node with a disk, to those without one that are in its share: each is in that of two nodes, which all
// find alike from the names. All that a node hears after its start is new to it, so it asks first whether it is to them.
func (g *Gossiper) pass(ctx context.Context) {
	e := g.Store.told()
	if !g.Disk || e == g.over {
		return
	}
	was := g.passed
	g.over, g.passed = e, g.Store.Digest()
	was.ConfigurationPending = true
	n := g.Store.Since(was)
	var mine []membership.Info
	all := g.View()
	by := membership.Filter(all, kept)
	if !slices.ContainsFunc(by, func(i membership.Info) bool { return i.Name == g.Self }) {
		by = append(by, membership.Info{Name: g.Self})
	}
	for _, i := range all {
		if !kept(i) && i.Name != g.Self && share(g.Self, by, i.Name) {
			mine = append(mine, i)
		}
	}
	for _, f := range mine {
		if was.VoterSet == 0 {
			go g.swap(ctx, f)
			continue
		}
		go g.tell(ctx, f, n)
	}
}

// share tells whether a node is among the few that pass news on to another.
func share(self string, by []membership.Info, to string) bool {
	mine, before := weight(self, to), 0
	for _, i := range by {
		if w := weight(i.Name, to); w > mine || w == mine && i.Name < self {
			before++
		}
	}
	return before < tellers
}

func weight(by, to string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(by + " " + to))
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>32
}

// tell gives news to a peer, without asking for any description.
func (g *Gossiper) tell(ctx context.Context, f membership.Info, n Update) {
	cx, stop := context.WithTimeout(ctx, g.Timing.CallTimeout())
	defer stop()
	d := g.digest()
	d.Configuration, d.ConfigurationPending = 0, true
	_, _ = Exchange.Call(cx, g.Net, g.Self, f.PeerAddr, &ExchangeRequest{Digest: d, Update: g.suited(n, !kept(f))})
}

// Broadcast has records that were written here known at once: by those that they name, and by a few others with a disk that pass them on.
func (g *Gossiper) Broadcast(ctx context.Context, rs ...assignment.Record) {
	g.Store.Apply(Update{Records: rs})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.untold = append(g.untold, rs...)
	if g.telling {
		return
	}
	g.telling = true
	go func() {
		_ = g.Clock.Sleep(ctx, g.Timing.HeartbeatInterval()/gatherShare)
		g.mu.Lock()
		rs := g.untold
		g.untold, g.telling = nil, false
		g.mu.Unlock()
		g.spread(ctx, rs)
	}()
}

func (g *Gossiper) spread(ctx context.Context, rs []assignment.Record) {
	named := map[string]bool{}
	for _, r := range rs {
		for _, n := range r.Nodes() {
			named[n] = true
		}
	}
	fs := membership.Filter(g.View(), func(i membership.Info) bool { return i.Name != g.Self && kept(i) })
	rand.Shuffle(len(fs), func(a, b int) { fs[a], fs[b] = fs[b], fs[a] })
	more := toldPerNews
	for _, f := range fs {
		if !named[f.Name] {
			if more--; more < 0 {
				continue
			}
		}
		go g.tell(ctx, f, Update{Records: rs})
	}
}

// first tells whether a description may come with an exchange: on a node that has none yet, only with one at a time, as it comes whole.
func (g *Gossiper) first() bool {
	none := g.Store.Configuration().Sequence == 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if none && g.asking {
		return false
	}
	g.asking = true
	return true
}

func (g *Gossiper) freed(mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking = g.asking && !mine
}

func (g *Gossiper) swap(ctx context.Context, f membership.Info) {
	cx, stop := context.WithTimeout(ctx, g.Timing.CallTimeout())
	defer stop()
	d, hash := g.digest(), g.Store.Hash()
	d.Records = nil
	d.ConfigurationPending = !g.first()
	defer g.freed(!d.ConfigurationPending)
	a, err := Exchange.Call(cx, g.Net, g.Self, f.PeerAddr, &ExchangeRequest{Digest: d, Hash: hash})
	if err != nil {
		return
	}
	got := false
	if !a.Same {
		got = !g.Store.Apply(a.Update).Empty()
		if n := g.suited(g.Store.Since(a.Digest), f.Disk == settings.DiskNone); !n.Empty() || g.Store.behind(a.Digest) {
			got = true
			had := g.digest()
			had.ConfigurationPending = d.ConfigurationPending
			if a, err = Exchange.Call(cx, g.Net, g.Self, f.PeerAddr, &ExchangeRequest{Digest: had, Update: n}); err == nil {
				g.Store.Apply(a.Update)
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	if got {
		g.mended++
		g.alike = 0
	} else {
		g.alike++
	}
}

// Serve adds the gossip call.
func (g *Gossiper) Serve(m *http.ServeMux) {
	Exchange.Handle(m, func(_ context.Context, q *ExchangeRequest) (*ExchangeResponse, error) {
		g.Store.Apply(q.Update)
		n := g.Store.Since(q.Digest)
		if q.Hash != 0 {
			if q.Hash == g.Store.Hash() {
				return &ExchangeResponse{Same: true}, nil
			}
			n.Records = nil
		}
		return &ExchangeResponse{Digest: g.answer(q.Digest), Update: g.suited(n, q.Digest.OmitHistory)}, nil
	})
}
