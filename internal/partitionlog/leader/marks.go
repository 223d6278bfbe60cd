package leader

import (
	"context"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"postjunction/internal/apierror"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// PendingReaders names the readers that have not read behind a mark, and those that were given up as readers because they were not heard for long.
type PendingReaders struct {
	Nodes   []string `json:"n,omitempty"`
	GivenUp []string `json:"g,omitempty"`
}

// ReaderView is what an owner says of a reader: how far it has read, as far as this owner has heard, and whether it was given up.
type ReaderView struct {
	Node    string `json:"node"`
	Read    uint64 `json:"read"`
	GivenUp bool   `json:"given_up,omitempty"`
}

// TombstoneView is what an owner says of marks: how many stand, how many offsets back the oldest is, and who reads what has keys.
type TombstoneView struct {
	Tombstones int          `json:"marks"`
	OldestAge  uint64       `json:"oldest_mark_age"`
	Readers    []ReaderView `json:"readers,omitempty"`
}

const (
	keyMost   = 128
	marksMost = 4096
)

// flying is the last message and the last mark under a key that are not on a majority yet.
type flying struct{ message, mark uint64 }

// entered is the last entry of a node as a reader that is not on a majority yet.
type entered struct {
	boot string
	at   uint64
}

// heard is how far a reader is known to have read, when there was last a sign of it, and when it was last seen as a member.
type heard struct {
	boot         string
	at           uint64
	last, member time.Time
}

func printable(key string) bool {
	for _, r := range key {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return key != "" && len(key) <= keyMost && utf8.ValidString(key)
}

var malformed = []struct {
	bad func(*Message) bool
	say string
}{
	{func(q *Message) bool { return q.CallSeq == 0 }, "call_seq must be above 0"},
	{func(q *Message) bool { return q.Key != "" && !printable(q.Key) }, "a key must be 1 to 128 bytes of printable text"},
	{func(q *Message) bool { return q.Withdraw && q.Key == "" }, "a withdrawal must name a key"},
	{func(q *Message) bool { return q.Withdraw && len(q.Body) > 0 }, "a withdrawal has no body"},
	{func(q *Message) bool { return !q.Withdraw && (q.WithdrawSender != "" || q.WithdrawUpTo > 0) }, "only a withdrawal names a sender"},
	{func(q *Message) bool { return (q.WithdrawSender == "") != (q.WithdrawUpTo == 0) }, "a withdrawal names a sender and its number, or neither"},
}

func (q *Message) check() error {
	for _, m := range malformed {
		if m.bad(q) {
			return apierror.New(apierror.Malformed, "%s", m.say)
		}
	}
	return nil
}

func (q *Message) entry() log.Entry {
	e := log.Entry{Type: log.TypeMessage, Topic: q.Topic, Client: q.Client, Key: q.Key, CallSeq: q.CallSeq, Generation: q.Generation, Configuration: q.Configuration, Live: q.Live, Body: q.Body}
	if q.Withdraw {
		e.Type, e.Live = log.TypeWithdrawal, false
		if q.WithdrawSender != "" {
			e.Body = state.EncodePart(state.SenderWithdrawal{Sender: q.WithdrawSender, UpTo: q.WithdrawUpTo})
		}
	}
	e.Digest = log.Digest(e.Body)
	return e
}

// stands gives the last message and the last mark under a key, on a majority or not.
func (o *Leader) stands(k string) flying {
	f := o.keyed[k]
	return flying{max(f.message, o.st.LastKeyed[k]), max(f.mark, o.st.Tombstones[k].Offset)}
}

// last is the highest number of a visitor on a topic that was taken or passed, on a majority or not.
func (o *Leader) last(k string) uint64 {
	n := o.st.Accepted[k].Last
	if f := o.front[k]; f != nil {
		n = max(n, f.last)
	}
	return n
}

// already gives the offset of the mark that a withdrawal asks for, where it stands and nothing came behind it, and what that rests on. The withdrawal
// is an entry all the same, as what its number was must still be known when it comes again and the key was written anew.
func (o *Leader) already(q *Message) (mark, basis uint64, ok bool) {
	if !q.Withdraw {
		return 0, 0, false
	}
	s := o.stands(state.Key(q.Topic, q.Key))
	if s.mark <= s.message {
		return 0, 0, false
	}
	if q.WithdrawSender == "" {
		return s.mark, s.mark, true
	}
	k := state.Key(q.WithdrawSender, q.Topic)
	return s.mark, max(s.mark, o.basis(k)), o.last(k) >= q.WithdrawUpTo
}

// markable tells what keeps a withdrawal from being taken.
func (o *Leader) markable(q *Message) error {
	k := state.Key(q.Topic, q.Key)
	s := o.stands(k)
	if s.message <= s.mark && q.WithdrawSender == "" {
		return apierror.New(apierror.KeyUnknown, "nothing is held under key %q on %s", q.Key, q.Topic)
	}
	if s.mark > 0 {
		return nil
	}
	n := len(o.st.Tombstones)
	for k, f := range o.keyed {
		if _, ok := o.st.Tombstones[k]; !ok && f.mark > 0 {
			n++
		}
	}
	most := marksMost
	if o.d.MaxTombstones != nil {
		most = o.d.MaxTombstones()
	}
	if n < most {
		o.full = false
		return nil
	}
	if !o.full {
		o.full = true
		o.d.Observer.TombstonesFull(o.Record.Partition, o.Record.Epoch, n)
	}
	return apierror.New(apierror.Overloaded, "%d withdrawals of partition %d stand", n, o.Record.Partition)
}

// noteKeyed notes an entry with a key that was pushed.
func (o *Leader) noteKeyed(e log.Entry) {
	if e.Key == "" {
		return
	}
	k := state.Key(e.Topic, e.Key)
	f := o.keyed[k]
	if e.Type == log.TypeWithdrawal {
		f.mark = e.Offset
	} else {
		f.message = e.Offset
	}
	o.keyed[k] = f
}

func (o *Leader) landedKeyed(e log.Entry) {
	if e.Key == "" {
		return
	}
	if k := state.Key(e.Topic, e.Key); max(o.keyed[k].message, o.keyed[k].mark) <= e.Offset {
		delete(o.keyed, k)
	}
}

// landedReader takes up what an entry on a majority says of a reader.
func (o *Leader) landedReader(e log.Entry) {
	if o.entered[e.Client].at <= e.Offset {
		delete(o.entered, e.Client)
	}
	r, ok := o.st.Readers[e.Client]
	if !ok {
		delete(o.heard, e.Client)
	} else if h, known := o.heard[e.Client]; !known || h.boot != r.BootID {
		o.heard[e.Client] = heard{boot: r.BootID, last: o.d.Clock.Now(), member: o.d.Clock.Now()}
	}
	if r.GivenUp {
		o.tally.ReadersGivenUp++
	}
	if ok {
		o.d.Observer.ReaderChanged(o.Record.Partition, o.Record.Epoch, e.Client, r.BootID, r.GivenUp)
	}
	o.wake()
}

// wake has those look again who wait for readers.
func (o *Leader) wake() {
	if o.news != nil {
		close(o.news)
		o.news = nil
	}
}

// enter writes what becomes of a reader.
func (o *Leader) enter(node string, r state.ReaderEntry) {
	e := o.tracks[log.KindLedger].push(log.Entry{Type: log.TypeReader, Client: node, Body: state.EncodePart(r)}, o.Record.Epoch)
	o.entered[node] = entered{r.BootID, e.Offset}
}

// enlist writes that a node reads here under a boot, unless something of it is on its way already.
func (o *Leader) enlist(node, boot string) {
	if _, ok := o.entered[node]; !ok && o.stage == StageOpen {
		o.enter(node, state.ReaderEntry{BootID: boot})
	}
}

// meet has the run of a node that is heard take the place of its last one, of which nothing is left.
func (o *Leader) meet(node, boot string) {
	if o.displaces(node, boot) {
		o.enlist(node, boot)
	}
}

// displaces tells whether a run that reads here would take the place of another one.
func (o *Leader) displaces(node, boot string) bool {
	r, ok := o.st.Readers[node]
	return ok && r.BootID != boot
}

// past tells whether another run of a node took the place of the one that asks, which then comes late.
func (o *Leader) past(node, boot string) bool {
	r, ok := o.st.Readers[node]
	return ok && r.ReplacedBootID == boot && boot != ""
}

// dismiss writes that a reader is gone; its run does not read here again.
func (o *Leader) dismiss(node, boot string) {
	if t := o.turns[node]; t.boot == boot || t.boot == "" {
		o.turns[node] = turn{boot: boot, over: true}
	}
	r, ok := o.st.Readers[node]
	if p, under := o.entered[node]; under && p.boot == boot || ok && r.BootID == boot {
		o.enter(node, state.ReaderEntry{BootID: boot, Gone: true})
	}
}

// reads tells whether it is on a majority that a node reads here under a boot, and whether it was given up under that boot.
func (o *Leader) reads(node, boot string) (yes, givenUp bool) {
	r, ok := o.st.Readers[node]
	if !ok || r.BootID != boot {
		return false, false
	}
	_, moving := o.entered[node]
	return !moving && !r.GivenUp, r.GivenUp
}

// noted tells whether a node reads here under a boot, on a majority or not.
func (o *Leader) noted(node, boot string) bool {
	r, ok := o.st.Readers[node]
	p, under := o.entered[node]
	return ok && r.BootID == boot || under && p.boot == boot
}

// hear takes a sign of a node, which has read up to an offset.
func (o *Leader) hear(node, boot string, from uint64) {
	r, ok := o.st.Readers[node]
	if !ok || r.BootID != boot || r.GivenUp {
		return
	}
	h := o.heard[node]
	if from > h.at || h.boot != boot {
		h.boot, h.at = boot, from
		o.wake()
	}
	h.last = o.d.Clock.Now()
	o.heard[node] = h
}

// read is how far a reader is known to have read.
func (o *Leader) read(node string, r state.Reader) uint64 {
	if h := o.heard[node]; h.boot == r.BootID {
		return h.at
	}
	return 0
}

func (o *Leader) unheard(offset uint64) *PendingReaders {
	u := &PendingReaders{}
	for n, r := range o.st.Readers {
		switch {
		case r.GivenUp:
			u.GivenUp = append(u.GivenUp, n)
		case o.read(n, r) < offset:
			u.Nodes = append(u.Nodes, n)
		}
	}
	slices.Sort(u.Nodes)
	slices.Sort(u.GivenUp)
	return u
}

// PendingReaders tells which readers have not read behind a mark at an offset, waiting up to hold until none is left. That none is left it says only
// once a majority confirmed that nobody else could have added one.
func (o *Leader) PendingReaders(ctx context.Context, offset uint64, hold time.Duration) (*PendingReaders, error) {
	begun := o.d.Clock.Now()
	var due <-chan struct{}
	for {
		o.mu.Lock()
		if err := o.following(); err != nil {
			o.mu.Unlock()
			return nil, err
		}
		t := o.tracks[log.KindLedger]
		u, moved := o.unheard(offset), t.moved
		if o.news == nil {
			o.news = make(chan struct{})
		}
		news, stands := o.news, t.commit >= offset
		o.mu.Unlock()
		if stands {
			moved = nil
		}
		if stands && len(u.Nodes) == 0 {
			if err := o.assure(ctx); err != nil {
				return nil, err
			}
			o.say("forgotten", begun)
			return u, nil
		}
		if due == nil {
			cx, stop := context.WithCancel(ctx)
			defer stop()
			due = o.due(cx, hold)
		}
		select {
		case <-news:
		case <-moved:
		case <-due:
			if !stands {
				return nil, apierror.New(apierror.NotReady, "offset %d of partition %d is not on a majority", offset, o.Record.Partition)
			}
			if ctx.Err() != nil {
				return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "waiting for readers of partition %d", o.Record.Partition)
			}
			return u, nil
		case <-o.lost:
			return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Record.Partition)
		}
	}
}

// due is closed after a time, or once ctx ends.
func (o *Leader) due(ctx context.Context, d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		_ = o.d.Clock.Sleep(ctx, d)
		close(c)
	}()
	return c
}

// release lets go of the marks that all readers have read behind and that cover nothing which the ledger holds.
func (o *Leader) release() {
	least := o.tracks[log.KindLedger].line.Base().Offset
	for n, r := range o.st.Readers {
		if !r.GivenUp {
			least = min(least, o.read(n, r))
		}
	}
	for k, m := range o.st.Tombstones {
		if m.Offset <= least && o.keyed[k].mark == 0 {
			o.st.DropTombstone(k)
			o.tally.TombstonesDropped++
		}
	}
}

// patience is how long a reader is waited for that was not heard and was no member.
func (o *Leader) patience() time.Duration {
	return o.d.Timing.RetentionFor(o.d.LongestRetention()) + o.d.Timing.LeaseDuration() + o.d.LeaseExtension
}

// abandon gives up the readers that keep marks and were neither heard nor members for long.
func (o *Leader) abandon() {
	newest := uint64(0)
	for _, m := range o.st.Tombstones {
		newest = max(newest, m.Offset)
	}
	now := o.d.Clock.Now()
	for n, r := range o.st.Readers {
		h, known := o.heard[n]
		if !known || h.boot != r.BootID {
			h = heard{boot: r.BootID, last: now, member: now}
		}
		node := home(n)
		addr, near := o.d.Addr(node)
		if near || node == o.d.Self {
			h.member = now
		}
		o.heard[n] = h
		if _, moving := o.entered[n]; moving || h.at >= newest || o.stage != StageOpen {
			continue
		}
		switch {
		case !r.GivenUp && now.Sub(h.last) > o.patience() && now.Sub(h.member) > o.patience():
			o.enter(n, state.ReaderEntry{BootID: r.BootID, GivenUp: true})
		case near && now.Sub(h.last) > o.d.Timing.SessionTimeout():
			go o.visit(o.ctx, n, addr, r.BootID)
		}
	}
}

// home is the node that a reader is part of: one may read in several parts, which are named behind a stroke.
func home(reader string) string {
	n, _, _ := strings.Cut(reader, "/")
	return n
}

// visit asks a node that keeps marks and is silent which run it is in: where it is another one, nothing is left of the one that read. What reads under a
// boot that begins with that of the run belongs to it.
func (o *Leader) visit(ctx context.Context, node, addr, boot string) {
	cx, stop := context.WithTimeout(ctx, o.d.Timing.CallTimeout())
	defer stop()
	a, err := membership.Identify.Call(cx, o.d.Net, o.d.Self, addr, &membership.IdentifyRequest{})
	if err != nil || a.Info.Name != home(node) || a.Info.BootID == "" || strings.HasPrefix(boot, a.Info.BootID) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, moving := o.entered[node]; !moving && o.stage == StageOpen && o.st.Readers[node].BootID == boot {
		o.dismiss(node, boot)
	}
}

// Tombstones gives the figures of marks and readers, nil where there are none.
func (o *Leader) Tombstones() *TombstoneView {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.st == nil || len(o.st.Tombstones)+len(o.st.Readers) == 0 {
		return nil
	}
	v := o.marksView(o.tracks[log.KindLedger].commit)
	return &v
}

// marksView gives the figures of marks and readers.
func (o *Leader) marksView(commit uint64) TombstoneView {
	v := TombstoneView{Tombstones: len(o.st.Tombstones)}
	oldest := commit
	for _, m := range o.st.Tombstones {
		oldest = min(oldest, m.Offset)
	}
	v.OldestAge = commit - oldest
	for n, r := range o.st.Readers {
		v.Readers = append(v.Readers, ReaderView{Node: n, Read: o.read(n, r), GivenUp: r.GivenUp})
	}
	slices.SortFunc(v.Readers, func(a, b ReaderView) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return v
}
