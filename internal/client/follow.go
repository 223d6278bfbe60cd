package client

import (
	"context"
	"encoding/json"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/client/token"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/rawjson"
)

// Event is one line of a stream: a message, a withdrawal, a greeting, a change of what is followed, a sign of life, or the end with its reason.
type Event struct {
	Topic        string          `json:"topic,omitempty"`
	From         string          `json:"from,omitempty"`
	Key          string          `json:"key,omitempty"`
	Withdrawn    string          `json:"withdrawn,omitempty"`
	CallSeq      uint64          `json:"call_seq,omitempty"`
	Body         json.RawMessage `json:"body,omitempty"`
	Partition    *int            `json:"partition,omitempty"`
	Offset       uint64          `json:"offset,omitempty"`
	Attached     uint64          `json:"attached,omitempty"`
	Waiting      []string        `json:"waiting,omitempty"`
	Subscribed   []string        `json:"joined,omitempty"`
	Unsubscribed []string        `json:"dropped,omitempty"`
	Idle         bool            `json:"idle,omitempty"`
	End          *End            `json:"end,omitempty"`
	Cursor       string          `json:"cursor"`
}

// End says why a stream ended and what to do.
type End struct {
	Code         string `json:"code"`
	Message      string `json:"say"`
	Advice       string `json:"advice"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

type pulled struct {
	w   stream.Window
	err error
}

type lane struct {
	p      int
	feed   *stream.Feed
	live   uint64
	urgent bool
	busy   bool
	got    chan pulled
	left   stream.Window
}

type opened struct {
	lane
	leave func()
	at    uint64
	err   error
}

type subscriptionStream struct {
	s       *Service
	t       *Request
	fleet   string
	want    map[string]bool
	urgent  map[string]bool
	parts   map[string]int
	pos     cursor.Cursor
	given   cursor.Cursor
	lanes   []lane
	joins   chan opened
	leaves  []func()
	fence   *stream.Feed
	seen    uint64
	checked chan error
	asking  bool
	index   uint64
	wake    chan struct{}
	gone    error
}

const (
	routineTurn = 16
	idleShare   = 2
)

func (s *Service) follow(ctx context.Context, t *Request) error {
	k, err := s.unpack(t)
	if err != nil {
		return err
	}
	r := s.Store.VoterSet()
	st := &subscriptionStream{
		s: s, t: t, fleet: r.Fleet, want: map[string]bool{}, urgent: map[string]bool{}, parts: map[string]int{}, pos: cursor.Cursor{}, given: cursor.Cursor{},
		wake: make(chan struct{}, 1), checked: make(chan error, 1), index: s.Store.Index().Sequence,
	}
	urgent, routine := st.plan(r.Layout.RoutinePartitions)
	st.joins = make(chan opened, len(urgent)+len(routine))
	ctx, end := context.WithCancel(ctx)
	defer func() {
		end()
		for _, f := range st.leaves {
			f()
		}
	}()
	cx, stop := context.WithTimeout(ctx, callShare*s.Timing.CallTimeout())
	defer stop()
	if err := st.guard(cx, k, len(urgent) > 0); err != nil {
		return err
	}
	if err := st.resume(r.Layout.PartitionCount()); err != nil {
		return err
	}
	if err := st.openAll(ctx, cx, urgent, routine); err != nil {
		return err
	}
	defer s.Presence.Add(t.Client, unique(t.Topics))()
	s.tally(1, 0)
	defer s.tally(-1, 0)
	stop()
	return st.run(ctx)
}

func (st *subscriptionStream) plan(routineCount int) (urgent, routine []int) {
	l := st.s.Store.VoterSet().Layout
	for i, n := range st.t.Topics {
		p := partition.Of(n, st.t.spaces[i].Urgent, l)
		st.want[n], st.urgent[n], st.parts[n] = true, st.t.spaces[i].Urgent, p
		ps := &routine
		if p >= routineCount {
			ps = &urgent
		}
		if !slices.Contains(*ps, p) {
			*ps = append(*ps, p)
		}
	}
	return urgent, routine
}

// guard joins the feed that tells of newer attachments, and only then asks which attachment is in force, so that none falls between.
func (st *subscriptionStream) guard(ctx context.Context, k token.Token, urgent bool) error {
	f, leave, err := st.s.Feeds.Follow(ctx, st.s.Router.HomePartition(k.Client, urgent), st.wake)
	if err != nil {
		return err
	}
	st.leaves = append(st.leaves, leave)
	st.fence, st.seen = f, f.CommittedEnd()
	return st.s.identify(ctx, st.t, k, urgent)
}

func (st *subscriptionStream) resume(partitions int) error {
	from := st.t.Cursor
	if from == "" {
		from = st.t.acked
	}
	if from == "" {
		return nil
	}
	var err error
	st.given, err = cursor.Decode(st.fleet, partitions, from)
	return err
}

func (st *subscriptionStream) open(ctx context.Context, p int, urgent bool) opened {
	o := opened{lane: lane{p: p, urgent: urgent, got: make(chan pulled, 1)}}
	o.feed, o.leave, o.err = st.s.Feeds.Follow(ctx, p, st.wake)
	if o.err != nil {
		return o
	}
	tail := o.feed.CommittedEnd()
	at, ok := st.given[p]
	if !ok {
		at = tail
	}
	if at > tail {
		r, err := st.s.Router.Read(ctx, p, ^uint64(0), 0)
		if err == nil && at > r.To {
			err = apierror.New(apierror.CursorMalformed, "the cursor is at offset %d of partition %d, which ends at %d", at, p, r.To)
		}
		if err != nil {
			o.leave()
			o.err = err
			return o
		}
	}
	o.at, o.live = at, tail
	return o
}

// openAll opens the urgent partitions within the call's time. Routine ones have to be open by then too when there are no urgent ones;
// beside urgent ones they may join later, so that an urgent stream never waits for a routine partition.
func (st *subscriptionStream) openAll(ctx, limit context.Context, urgent, routine []int) error {
	firm := len(urgent)
	for _, p := range urgent {
		go func() { st.joins <- st.open(limit, p, true) }()
	}
	cx := ctx
	if firm == 0 {
		firm, cx = len(routine), limit
	}
	for _, p := range routine {
		go func() {
			for {
				o := st.open(cx, p, false)
				if o.err == nil && ctx.Err() != nil {
					o.leave()
				}
				if o.err == nil || len(urgent) == 0 || ctx.Err() != nil || apierror.HasCode(o.err, apierror.CursorMalformed) {
					st.joins <- o
					st.nudge()
					return
				}
				_ = st.s.Clock.Sleep(ctx, st.s.Timing.MaxBackoff())
			}
		}()
	}
	soon := make(chan struct{})
	go func() {
		_ = st.s.Clock.Sleep(ctx, st.s.Timing.MaxBackoff())
		close(soon)
	}()
	for left, n := firm, len(urgent)+len(routine); n > 0; n-- {
		late := soon
		if left > 0 {
			late = nil
		}
		select {
		case o := <-st.joins:
			if o.err != nil {
				return o.err
			}
			st.join(o)
			if o.urgent || len(urgent) == 0 {
				left--
			}
		case <-late:
			return nil
		}
	}
	return nil
}

func (st *subscriptionStream) nudge() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

func (st *subscriptionStream) join(o opened) {
	st.leaves = append(st.leaves, o.leave)
	st.pos[o.p] = o.at
	st.lanes = append(st.lanes, o.lane)
	slices.SortFunc(st.lanes, func(a, b lane) int { return b.p - a.p })
}

func (st *subscriptionStream) topics(ok func(p int) bool) []string {
	var ns []string
	for n, p := range st.parts {
		if st.want[n] && ok(p) {
			ns = append(ns, n)
		}
	}
	slices.Sort(ns)
	return ns
}

func (st *subscriptionStream) waiting() []string {
	return st.topics(func(p int) bool {
		return !slices.ContainsFunc(st.lanes, func(l lane) bool { return l.p == p })
	})
}

func (st *subscriptionStream) cursor() string {
	c := cursor.Cursor{}
	for p, o := range st.given {
		c[p] = o
	}
	for p, o := range st.pos {
		c[p] = o
	}
	return cursor.Encode(st.fleet, c)
}

func (st *subscriptionStream) emit(l Event) error {
	l.Cursor = st.cursor()
	b, err := rawjson.Marshal(l)
	if err != nil {
		return apierror.Wrap(apierror.Internal, err, "write a stream line")
	}
	if err := st.t.Emit(append(b, '\n')); err != nil {
		st.gone = err
		return apierror.Wrap(apierror.SlowReader, err, "the stream could not be written")
	}
	st.s.tally(0, 1)
	return nil
}

func (st *subscriptionStream) end(err error) error {
	if st.gone != nil {
		return nil
	}
	p := apierror.From(err)
	_ = st.emit(Event{End: &End{Code: string(p.Code), Message: p.Message, Advice: p.Advice(), RetryAfterMS: p.RetryAfterMS}})
	return nil
}

func (st *subscriptionStream) run(ctx context.Context) error {
	s := st.s
	if err := st.emit(Event{Attached: st.t.who.Generation, Waiting: st.waiting()}); err != nil {
		return err
	}
	idle := make(chan struct{}, 1)
	go func() {
		for s.Clock.Sleep(ctx, s.Timing.Spread/idleShare) == nil {
			select {
			case idle <- struct{}{}:
			default:
			}
		}
	}()
	wrote := true
	for {
		if err := s.CheckLease(); err != nil {
			return st.end(err)
		}
		select {
		case <-s.Draining:
			return st.end(apierror.New(apierror.ShuttingDown, "this node is stopping"))
		default:
		}
		news := s.Store.Changed()
		more, err := st.round(ctx)
		if err != nil {
			return st.end(err)
		}
		if more {
			wrote = true
			continue
		}
		select {
		case o := <-st.joins:
			if o.err != nil {
				return st.end(o.err)
			}
			st.join(o)
			if err := st.emit(Event{Subscribed: st.topics(func(p int) bool { return p == o.p })}); err != nil {
				return err
			}
		case <-st.wake:
		case <-news:
		case <-idle:
			if !wrote {
				if err := st.emit(Event{Idle: true}); err != nil {
					return err
				}
			}
			wrote = false
		case <-s.Draining:
		case <-ctx.Done():
			return nil
		}
	}
}

// round gives what is at hand, urgent partitions first, and never waits: what a feed no longer holds is fetched beside.
func (st *subscriptionStream) round(ctx context.Context) (bool, error) {
	if err := st.fenced(ctx); err != nil {
		return false, err
	}
	if err := st.refresh(); err != nil {
		return false, err
	}
	for i := range st.lanes {
		l := &st.lanes[i]
		es, err := st.pull(ctx, l)
		if err != nil {
			return false, err
		}
		if !l.urgent {
			es = es[:min(len(es), routineTurn)]
		}
		for _, e := range es {
			if stale, err := st.give(*l, e); err != nil {
				return false, err
			} else if stale {
				l.left = stream.Window{}
				return true, nil
			}
		}
		l.left.Entries = l.left.Entries[len(es):]
		if len(es) > 0 {
			return true, nil
		}
	}
	return false, nil
}

func (st *subscriptionStream) pull(ctx context.Context, l *lane) ([]log.Entry, error) {
	if len(l.left.Entries) > 0 {
		return l.left.Entries, nil
	}
	if l.busy {
		select {
		case g := <-l.got:
			l.busy, l.left = false, g.w
			if apierror.HasCode(g.err, apierror.CursorExpired) {
				return nil, g.err
			}
			return l.left.Entries, nil
		default:
			return nil, nil
		}
	}
	at := st.pos[l.p]
	if w, ok := l.feed.Cached(at); ok {
		l.left = w
		return w.Entries, nil
	}
	l.busy = true
	f, got := l.feed, l.got
	go func() {
		w, err := f.Fetch(ctx, at)
		if err != nil && !apierror.HasCode(err, apierror.CursorExpired) {
			_ = st.s.Clock.Sleep(ctx, st.s.Timing.MaxBackoff())
		}
		got <- pulled{w, err}
		st.nudge()
	}()
	return nil, nil
}

// give gives an entry of a lane's window, or tells that the window is to be filled anew.
func (st *subscriptionStream) give(l lane, e log.Entry) (stale bool, err error) {
	if e.Offset <= st.pos[l.p] {
		return false, nil
	}
	fate, end := stream.FateDeliver, func() {}
	if st.want[e.Topic] {
		fate, end = l.feed.Begin(l.left, e, st.cut)
	}
	if fate == stream.FateStale {
		return true, nil
	}
	defer end()
	st.pos[l.p] = e.Offset
	if e.Type == log.TypeWithdrawal && st.want[e.Topic] {
		return false, st.emit(Event{Topic: e.Topic, Withdrawn: e.Key, Partition: &l.p, Offset: e.Offset})
	}
	if e.Type != log.TypeMessage || !st.want[e.Topic] || fate == stream.FateWithdrawn || e.Key != "" && e.BodyDropped || e.Live && (e.BodyDropped || e.Offset <= l.live) {
		return false, nil
	}
	return false, st.emit(Event{Topic: e.Topic, From: e.Client, Key: e.Key, CallSeq: e.CallSeq, Body: e.Body, Partition: &l.p, Offset: e.Offset})
}

// cut ends the write that is under way.
func (st *subscriptionStream) cut() {
	if st.t.Abort != nil {
		st.t.Abort()
	}
}

// refresh drops topics that the current description no longer has, or has with another urgency, and ends a stream without topics.
func (st *subscriptionStream) refresh() error {
	x := st.s.Store.Index()
	if x.Sequence == st.index {
		return nil
	}
	st.index = x.Sequence
	var gone []string
	var why error
	for n := range st.want {
		sp, err := x.Find(n)
		if err == nil && sp.Urgent != st.urgent[n] {
			err = apierror.New(apierror.UnknownTopic, "%s stands in a space of another urgency since description %d", n, x.Sequence)
		}
		if err != nil {
			gone, why = append(gone, n), err
		}
	}
	if len(gone) == 0 {
		return nil
	}
	for _, n := range gone {
		delete(st.want, n)
	}
	if len(st.want) == 0 {
		return why
	}
	slices.Sort(gone)
	return st.emit(Event{Unsubscribed: gone})
}

func (st *subscriptionStream) fenced(ctx context.Context) error {
	if st.asking {
		select {
		case err := <-st.checked:
			st.asking = false
			if apierror.HasCode(err, apierror.TokenFenced) {
				return err
			}
		default:
			return nil
		}
	}
	for {
		w, ok := st.fence.Cached(st.seen)
		if !ok {
			st.recheck(ctx)
			return nil
		}
		if len(w.Entries) == 0 {
			return nil
		}
		for _, e := range w.Entries {
			st.seen = max(st.seen, e.Offset)
			if e.Type == log.TypeAttach && e.Client == st.t.Client && e.Generation > st.t.who.Generation {
				return st.superseded(e.Generation)
			}
		}
	}
}

// recheck asks which attachment is in force, after the feed passed over entries that this stream had not seen.
func (st *subscriptionStream) recheck(ctx context.Context) {
	st.asking = true
	st.seen = st.fence.CommittedEnd()
	who, urgent := st.t.who, slices.ContainsFunc(st.lanes, func(l lane) bool { return l.urgent })
	go func() {
		err := error(apierror.New(apierror.NoPartitionLeader, "not asked yet"))
		for err != nil && ctx.Err() == nil {
			cx, stop := context.WithTimeout(ctx, callShare*st.s.Timing.CallTimeout())
			a, e := st.s.Router.ReadAttachment(cx, who.Client, who.Generation, urgent)
			stop()
			if err = e; err == nil && a.Attachment.Generation > who.Generation {
				err = st.superseded(a.Attachment.Generation)
				break
			}
			if err != nil {
				_ = st.s.Clock.Sleep(ctx, st.s.Timing.MaxBackoff())
			}
		}
		st.checked <- err
		st.nudge()
	}()
}

func (st *subscriptionStream) superseded(g uint64) error {
	return apierror.New(apierror.TokenFenced, "attachment %d of %s took over", g, st.t.Client)
}
