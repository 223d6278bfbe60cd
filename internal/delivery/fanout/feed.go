package fanout

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
)

type feed struct {
	h       *Hub
	p       int
	mu      sync.Mutex
	topics  map[string]map[*Subscription]bool
	dirty   map[string]bool
	waiting []*Subscription
	seq     uint64
	acked   uint64
	known   bool
	lost    bool
	to      uint64
	base    uint64
	epoch   uint64
	writes  uint64
	cut     context.CancelFunc
	kick    chan struct{}
	ready   chan struct{}
	telling bool
	polling bool
	// due tells that the owner is to hear now what changed, drops that it will after a while.
	due   bool
	drops bool
	// boot names what this feed holds; one that was told to begin anew, or that said it was done, goes on under another.
	boot  string
	boots int
	// number is the turn that an owner gave this boot to tell.
	number uint64
	// seen is the highest epoch that answered, gen is that of polls whose answers count.
	seen uint64
	gen  uint64
	// marks are the withdrawals that were read while an answer to Follow is under way, which may be older.
	asking bool
	marks  marks
	// reader tells that the owner may wait for this node to read withdrawals; known ends only when nothing with a key is held any more.
	reader  bool
	parting bool
	parted  bool
	shut    int
	quit    context.CancelFunc
	// heard is when an owner last answered.
	heard time.Time
}

// stand is where messages stand that go together.
type stand struct{ topic, key string }

// marks are the offsets of withdrawals.
type marks map[stand]uint64

func (m marks) cover(topic, key string, offset uint64) bool { return offset < m[stand{topic, key}] }

func (m *marks) add(e log.Entry) {
	if *m == nil {
		*m = marks{}
	}
	(*m)[stand{e.Topic, e.Key}] = e.Offset
}

const (
	patience = 2
	despair  = 6
	// farewells are how often an owner that does not answer is told that nothing is held here any more.
	farewells = 3
	// hasty is the part of a retry for which a place is waited for that needs no owner.
	hasty = 2
)

func (f *feed) remove(s *Subscription) {
	s.left, s.held = true, nil
	delete(f.topics[s.Topic], s)
	if len(f.topics[s.Topic]) == 0 {
		delete(f.topics, s.Topic)
	}
	f.dirty[s.Topic] = true
	if len(f.topics) == 0 {
		f.gen++
	}
}

// later has the owner told of dropped topics after a while, if nothing else is to be told before: who drops a topic often comes back, and the
// next word takes both along.
func (f *feed) later() {
	if f.drops {
		return
	}
	f.drops = true
	go func() {
		_ = f.h.clk.Sleep(f.h.ctx, f.h.bounds.LongPoll())
		f.mu.Lock()
		defer f.mu.Unlock()
		f.drops = false
		if len(f.dirty) > 0 {
			f.wake()
		}
	}()
}

// wake has the owner told of all that changed.
func (f *feed) wake() {
	f.due = true
	if !f.telling {
		f.telling = true
		go f.tell(f.h.ctx)
		return
	}
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// turn ends a poll that asks an owner who no longer decides.
func (f *feed) turn(r assignment.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Version == f.writes && r.Epoch == f.epoch {
		return
	}
	f.writes = r.Version
	if r.Epoch != f.epoch {
		f.epoch = r.Epoch
		if f.cut != nil {
			f.cut()
		}
	}
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// want puts together what is to be told, nil when there is nothing.
func (f *feed) want() (*leader.FollowRequest, []*Subscription, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shut > 0 {
		return nil, nil, nil
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(s *Subscription) bool { return s.left })
	if f.reader && len(f.topics) == 0 && !f.known {
		clear(f.dirty)
		f.due, f.lost, f.parted = false, false, true
		f.seq++
		return &leader.FollowRequest{Partition: f.p, Node: f.h.self, BootID: f.boot, Sequence: f.seq, Full: true, TracksTombstones: true, Finished: true, ReaderToken: f.number}, nil, nil
	}
	due := f.due && len(f.dirty) > 0
	f.due = false
	if !due && len(f.waiting) == 0 && !f.lost {
		return nil, nil, nil
	}
	if len(f.topics) == 0 && !f.known {
		clear(f.dirty)
		f.lost = false
		return nil, nil, nil
	}
	if f.parted {
		f.anew()
	}
	f.seq++
	f.asking = true
	q := &leader.FollowRequest{Partition: f.p, Node: f.h.self, BootID: f.boot, BaseSequence: f.acked, Sequence: f.seq, Full: f.lost || !f.known, Topics: map[string]int{}, TracksTombstones: true, ReaderToken: f.number}
	if q.Full {
		for t, m := range f.topics {
			q.Topics[t] = len(m)
		}
	} else {
		for t := range f.dirty {
			q.Topics[t] = len(f.topics[t])
		}
	}
	var ts []string
	for t := range f.dirty {
		ts = append(ts, t)
	}
	clear(f.dirty)
	w := f.waiting
	f.waiting = nil
	for _, s := range w {
		q.FirstOnly = q.FirstOnly || !s.told
		if s.After == nil {
			continue
		}
		if q.After == nil {
			q.After = map[string]uint64{}
		}
		if at, ok := q.After[s.Topic]; !ok || *s.After < at {
			q.After[s.Topic] = *s.After
		}
	}
	return q, w, ts
}

func (f *feed) tell(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		q, w, ts := f.want()
		if q == nil {
			tries = -1
			select {
			case <-f.kick:
			case <-ctx.Done():
			}
			continue
		}
		cx, stop := context.WithTimeout(ctx, f.limit(q))
		if q.FirstOnly {
			go f.hasten(cx, w)
		}
		if q.Finished {
			f.done(cx, stop, q, tries)
			continue
		}
		a, err := f.h.src.Follow(cx, f.h.board.Record(f.p), q)
		stop()
		f.mu.Lock()
		f.asking = false
		if err == nil && a.Epoch < f.seen {
			err = apierror.New(apierror.StaleEpoch, "epoch %d of partition %d has answered, this is %d", f.seen, f.p, a.Epoch)
		}
		if err == nil && q.BootID == f.boot && a.ReaderToken > 0 {
			f.number = a.ReaderToken
		}
		if err == nil && a.MustReset && q.BootID == f.boot {
			f.back(w)
			f.clean()
			f.mu.Unlock()
			f.cleaned()
			continue
		}
		if err == nil {
			f.heard = f.h.clk.Now()
		} else if f.deaf() {
			f.back(w)
			f.depart()
			f.mu.Unlock()
			continue
		}
		if err != nil || a.UnknownFollower || q.BootID != f.boot {
			f.marks = nil
			f.reader = f.reader || err != nil
			f.lost = true
			for _, t := range ts {
				f.dirty[t] = true
			}
			f.back(w)
			f.bear(f.waiting)
			again := err == nil && q.BootID == f.boot && (!q.Full || f.number != q.ReaderToken)
			f.mu.Unlock()
			if !again {
				f.pause(ctx, tries)
			}
			continue
		}
		tries = 0
		f.acked, f.lost, f.seen = q.Sequence, false, a.Epoch
		f.reader = f.reader || a.IsReader || keyed(a.Backlog)
		f.base = a.Base
		if !f.known {
			f.known, f.to = true, a.CommittedEnd
		}
		f.begin(a, q, w)
		f.marks = nil
		if !f.polling {
			f.polling = true
			go f.poll(ctx)
		}
		close(f.ready)
		f.ready = make(chan struct{})
		f.mu.Unlock()
	}
}

// back has those wait again that were asked about, before those that came since. The list that was asked about stays as it is, since hasten may still go through it.
func (f *feed) back(w []*Subscription) { f.waiting = slices.Concat(w, f.waiting) }

// limit is how long an answer is waited for: short while someone has not been told anything, since places are then found without an owner;
// what is fetched for those that were told comes over links that may be slow.
func (f *feed) limit(q *leader.FollowRequest) time.Duration {
	if q.FirstOnly {
		return patience * f.h.bounds.MaxBackoff()
	}
	return f.h.bounds.CallTimeout()
}

// hasten opens those that need no owner for their place while its answer is under way.
func (f *feed) hasten(ctx context.Context, w []*Subscription) {
	if f.h.clk.Sleep(ctx, f.h.bounds.MaxBackoff()/hasty) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bear(w)
}

// done tells the owner that nothing is followed and held here any more. Who takes a topic up ends it.
func (f *feed) done(ctx context.Context, stop context.CancelFunc, q *leader.FollowRequest, tries int) {
	defer stop()
	f.mu.Lock()
	f.quit = stop
	if len(f.topics) > 0 {
		stop()
	}
	f.mu.Unlock()
	a, err := f.h.src.Follow(ctx, f.h.board.Record(f.p), q)
	f.mu.Lock()
	f.quit = nil
	ok := err == nil && !a.UnknownFollower && a.Epoch >= f.seen
	f.reader = !ok
	f.mu.Unlock()
	if !ok {
		f.pause(f.h.ctx, tries)
	}
}

// anew goes on under another boot.
func (f *feed) anew() {
	f.boots++
	f.boot = f.h.boot + "+" + strconv.Itoa(f.boots)
	f.number = 0
	f.parted = false
}

// clean begins anew, as the owner no longer counts on what this node holds: who was promised anything is sent to come back.
func (f *feed) clean() {
	for _, m := range f.topics {
		for s := range m {
			s.held = nil
			if s.told {
				f.remove(s)
				s.OnBroken()
			}
		}
	}
	clear(f.dirty)
	f.anew()
	f.gen++
	f.marks = nil
	f.known, f.lost, f.reader = false, false, false
	if f.cut != nil {
		f.cut()
	}
	f.shut++
}

// deaf tells whether the owner may count on this node as a reader though nothing was heard of any owner for as long as service may rest.
func (f *feed) deaf() bool {
	return f.reader && f.number > 0 && f.h.clk.Now().Sub(f.heard) > f.h.bounds.Recovery
}

// depart lets go of all for want of an answer, says so under the boot that held it, as an owner that isn't heard may hear, and begins under another one.
func (f *feed) depart() {
	f.seq++
	q := &leader.FollowRequest{Partition: f.p, Node: f.h.self, BootID: f.boot, Sequence: f.seq, Full: true, TracksTombstones: true, Finished: true, ReaderToken: f.number}
	f.clean()
	go func() {
		f.h.release(f.p, true)
		for tries := range farewells {
			ctx, stop := context.WithTimeout(f.h.ctx, patience*f.h.bounds.MaxBackoff())
			_, err := f.h.src.Follow(ctx, f.h.board.Record(f.p), q)
			stop()
			if err == nil || f.h.clk.Sleep(f.h.ctx, f.h.bounds.Backoff(tries)) != nil {
				break
			}
		}
		f.reopen()
	}()
}

// cleaned ends what clean began, once all that visitors have not got yet is let go.
func (f *feed) cleaned() {
	f.h.release(f.p, true)
	f.reopen()
}

func (f *feed) reopen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shut--
	f.wake()
}

// idle ends polling.
func (f *feed) idle() {
	f.polling = false
	switch {
	case len(f.topics) > 0:
	case len(f.dirty) > 0:
		f.wake()
	case !f.reader:
		f.known = false
	case !f.known:
		f.wake()
	case !f.parting:
		f.parting = true
		go f.part()
	}
}

// part lets go of all messages with keys that were given and are not through, so that the owner can be told that this node is done. What a visitor has
// not taken after a while ends its connection.
func (f *feed) part() {
	for cut := false; !f.release(cut) && f.h.ctx.Err() == nil; cut = true {
		_ = f.h.clk.Sleep(f.h.ctx, f.h.bounds.LongPoll())
	}
}

// release tells whether nothing is held any more, or a topic was taken up again.
func (f *feed) release(cut bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.topics) > 0 || f.polling || !f.known {
		f.parting = false
		return true
	}
	f.shut++
	f.mu.Unlock()
	ok := f.h.release(f.p, cut)
	f.mu.Lock()
	f.shut--
	f.wake()
	if ok {
		f.parting = false
		f.known = f.known && (len(f.topics) > 0 || f.polling)
	}
	return ok
}

// begin opens the subscriptions that waited for an answer, each at its place. One that was given its place meanwhile is asked for from there.
func (f *feed) begin(a *leader.FollowResponse, q *leader.FollowRequest, w []*Subscription) {
	for _, s := range w {
		if s.left {
			continue
		}
		if at, ok := q.After[s.Topic]; s.After != nil && (!ok || at > *s.After) {
			f.waiting = append(f.waiting, s)
			continue
		}
		if s.After == nil {
			s.start(a.CommittedEnd)
			s.catch()
			continue
		}
		if a.Trimmed[s.Topic] > *s.After && f.kept(s.Topic) {
			f.end(s, *s.After)
			continue
		}
		s.start(*s.After)
		for _, e := range a.Backlog {
			if e.Topic == s.Topic && e.Offset <= a.BacklogEnd && !f.covered(e) {
				s.give(e)
			}
		}
		if a.BacklogEnd < a.CommittedEnd {
			at := max(*s.After, a.BacklogEnd)
			s.After = &at
			f.waiting = append(f.waiting, s)
			continue
		}
		s.catch()
	}
}

// kept tells whether a topic's messages are owed to those who come back.
func (f *feed) kept(topic string) bool {
	sp, err := f.h.board.Index().Find(topic)
	return err == nil && sp.Kind != configuration.KindLive
}

// end ends a subscription that can't go on after an offset, as what follows there is no longer held.
func (f *feed) end(s *Subscription, after uint64) {
	f.remove(s)
	if s.told {
		s.OnBroken()
		return
	}
	s.answered = true
	s.OnOpen(0, apierror.New(apierror.CursorExpired, "messages of %s after offset %d are no longer held", s.Topic, after))
}

// bear opens subscriptions that have waited for an owner at places that need none: the cursor they came with, or what this node has seen.
// It turns away those that have waited too long.
func (f *feed) bear(w []*Subscription) {
	now, unit := f.h.clk.Now(), f.h.bounds.MaxBackoff()
	for _, s := range w {
		age := now.Sub(s.asked)
		if s.told || s.left || s.answered || age < unit/hasty {
			continue
		}
		switch {
		case s.After != nil && (!f.known || *s.After >= f.base):
			s.start(*s.After)
		case s.After == nil && f.known:
			at := f.to
			s.After = &at
			s.start(at)
		case age > despair*unit:
			f.remove(s)
			s.answered = true
			s.OnOpen(0, apierror.New(apierror.NoPartitionLeader, "partition %d could not be followed in time", f.p))
		}
	}
}

func (s *Subscription) start(at uint64) {
	if s.told {
		return
	}
	s.told, s.answered, s.pos = true, true, at
	s.OnOpen(at, nil)
}

func (s *Subscription) give(e log.Entry) {
	if s.left || e.Offset <= s.pos {
		return
	}
	s.pos = e.Offset
	s.OnEntry(e)
}

func (s *Subscription) catch() {
	s.open = true
	for _, e := range s.held {
		s.give(e)
	}
	s.held = nil
}

func (f *feed) pause(ctx context.Context, tries int) {
	cx, stop := context.WithCancel(ctx)
	due := make(chan struct{})
	go func() {
		_ = f.h.clk.Sleep(cx, f.h.bounds.Backoff(tries))
		close(due)
	}()
	select {
	case <-f.kick:
	case <-due:
	}
	stop()
}

func (f *feed) poll(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		f.mu.Lock()
		if len(f.topics) == 0 || !f.known {
			f.idle()
			f.mu.Unlock()
			return
		}
		cx, cut := context.WithCancel(ctx)
		f.cut = cut
		r := f.h.board.Record(f.p)
		f.epoch = r.Epoch
		q := &leader.PollRequest{Partition: f.p, Node: f.h.self, BootID: f.boot, Sequence: f.acked, From: f.to, Hold: f.h.bounds.Spread, TracksTombstones: true, ReaderToken: f.number}
		ready, gen := f.ready, f.gen
		f.mu.Unlock()
		a, err := f.h.src.Poll(cx, r, q)
		broken := cx.Err() != nil
		cut()
		switch {
		case err != nil:
			f.mu.Lock()
			f.reader = true
			if f.deaf() {
				f.depart()
			}
			f.mu.Unlock()
			if !broken {
				f.rest(ctx, ready, tries)
			}
		case a.UnknownFollower:
			f.mu.Lock()
			f.lost = true
			f.wake()
			f.mu.Unlock()
			f.rest(ctx, ready, tries)
		default:
			tries = 0
			f.take(a, gen)
		}
	}
}

func (f *feed) rest(ctx context.Context, ready <-chan struct{}, tries int) {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	due := make(chan struct{})
	go func() {
		_ = f.h.clk.Sleep(cx, f.h.bounds.Backoff(tries))
		close(due)
	}()
	changed := f.h.board.Changed()
	select {
	case <-ready:
	case <-changed:
	case <-due:
	}
}

// take gives what a poll brought, and takes back what was withdrawn before the next poll says so. The answer counts only if no topic was taken up after none was left.
func (f *feed) take(a *leader.PollResponse, gen uint64) {
	m, clean := f.taken(a, gen)
	if clean {
		f.cleaned()
	}
	if m != nil {
		f.h.withdraw(f.p, m)
	}
}

func (f *feed) taken(a *leader.PollResponse, gen uint64) (m marks, clean bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gen != f.gen {
		f.reader = f.reader || a.IsReader || keyed(a.Entries)
		return nil, false
	}
	if a.MustReset {
		f.clean()
		return nil, true
	}
	f.base, f.heard = a.Base, f.h.clk.Now()
	f.seen = max(f.seen, a.Epoch)
	if a.ReaderToken > 0 {
		f.number = a.ReaderToken
	}
	f.reader = f.reader || a.IsReader
	for t, g := range a.Trimmed {
		for s := range f.topics[t] {
			if s.open && g > max(s.pos, f.to) && f.kept(t) {
				f.end(s, max(s.pos, f.to))
				f.later()
			}
		}
	}
	for _, e := range a.Entries {
		if e.Offset <= f.to {
			continue
		}
		if e.Key != "" {
			f.reader = true
			if e.Type == log.TypeWithdrawal {
				m.add(e)
				f.mark(e)
			}
		}
		for s := range f.topics[e.Topic] {
			if s.open {
				s.give(e)
			} else {
				s.held = append(s.held, e)
			}
		}
	}
	f.to = max(f.to, a.To)
	return m, false
}

func keyed(es []log.Entry) bool {
	return slices.ContainsFunc(es, func(e log.Entry) bool { return e.Key != "" })
}

// mark takes back what a withdrawal covers.
func (f *feed) mark(e log.Entry) {
	if f.asking {
		f.marks.add(e)
	}
	for s := range f.topics[e.Topic] {
		s.held = slices.DeleteFunc(s.held, func(x log.Entry) bool { return x.Type == log.TypeMessage && x.Key == e.Key && x.Offset < e.Offset })
	}
}

// covered tells whether a mark that was read meanwhile covers a message.
func (f *feed) covered(e log.Entry) bool {
	return e.Key != "" && e.Type == log.TypeMessage && f.marks.cover(e.Topic, e.Key, e.Offset)
}
