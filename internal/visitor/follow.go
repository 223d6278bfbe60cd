package visitor

import (
	"context"
	"encoding/json"
	"slices"

	"postjunction/internal/carrier/cursor"
	"postjunction/internal/carrier/feed"
	"postjunction/internal/ledger/line"
	"postjunction/internal/partition"
	"postjunction/internal/plain"
	"postjunction/internal/problem"
)

// Line is one line of a stream: a message, a greeting, a sign of life, or the end with its reason.
type Line struct {
	Topic     string          `json:"topic,omitempty"`
	From      string          `json:"from,omitempty"`
	Call      uint64          `json:"call_seq,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	Partition *int            `json:"partition,omitempty"`
	Offset    uint64          `json:"offset,omitempty"`
	Attached  uint64          `json:"attached,omitempty"`
	Idle      bool            `json:"idle,omitempty"`
	End       *End            `json:"end,omitempty"`
	Cursor    string          `json:"cursor"`
}

// End says why a stream ended and what to do.
type End struct {
	Code    string `json:"code"`
	Say     string `json:"say"`
	Advice  string `json:"advice"`
	RetryMS int64  `json:"retry_after_ms,omitempty"`
}

type lane struct {
	p    int
	feed *feed.Feed
	live uint64
}

type stream struct {
	s     *Service
	t     *Task
	fleet string
	want  map[string]bool
	pos   cursor.Cursor
	lanes []lane
	own   int
	fence *feed.Feed
	seen  uint64
	wake  chan struct{}
	gone  error
}

func (s *Service) follow(ctx context.Context, t *Task) error {
	r := s.Board.Roster()
	st := &stream{s: s, t: t, fleet: r.Fleet, want: map[string]bool{}, pos: cursor.Cursor{}, wake: make(chan struct{}, 1)}
	given := cursor.Cursor{}
	from := t.Cursor
	if from == "" {
		from = t.acked
	}
	if from != "" {
		var err error
		if given, err = cursor.Unpack(r.Fleet, r.Layout.Count(), from); err != nil {
			return err
		}
	}
	ps := map[int]bool{}
	topics := unique(t.Topics)
	for i, n := range t.Topics {
		st.want[n] = true
		ps[partition.Of(n, t.spaces[i].Urgent, r.Layout)] = true
	}
	cx, stop := context.WithTimeout(ctx, callShare*s.Bounds.Call())
	defer stop()
	var leave []func()
	defer func() {
		for _, f := range leave {
			f()
		}
	}()
	for p := range ps {
		f, out, err := s.Feeds.Follow(cx, p, st.wake)
		if err != nil {
			return err
		}
		leave = append(leave, out)
		tail := f.To()
		at, ok := given[p]
		if !ok {
			at = tail
		}
		if at > tail {
			d, err := s.Desk.Read(cx, p, ^uint64(0), 0)
			if err != nil {
				return err
			}
			if at > d.To {
				return problem.New(problem.CursorBad, "the cursor is at offset %d of partition %d, which ends at %d", at, p, d.To)
			}
		}
		st.pos[p] = at
		st.lanes = append(st.lanes, lane{p: p, feed: f, live: tail})
	}
	slices.SortFunc(st.lanes, func(a, b lane) int { return b.p - a.p })
	st.own = partition.OfVisitor(t.Visitor, r.Layout)
	f, out, err := s.Feeds.Follow(cx, st.own, st.wake)
	if err != nil {
		return err
	}
	leave = append(leave, out)
	st.fence, st.seen = f, t.at
	defer s.Presence.Enter(t.Visitor, topics)()
	s.tally(1, 0)
	defer s.tally(-1, 0)
	stop()
	return st.run(ctx)
}

func (st *stream) cursor() string { return cursor.Pack(st.fleet, st.pos) }

func (st *stream) emit(l Line) error {
	l.Cursor = st.cursor()
	b, err := plain.JSON(l)
	if err != nil {
		return problem.Wrap(problem.Internal, err, "write a stream line")
	}
	if err := st.t.Emit(append(b, '\n')); err != nil {
		st.gone = err
		return problem.Wrap(problem.SlowReader, err, "the stream could not be written")
	}
	st.s.tally(0, 1)
	return nil
}

func (st *stream) end(err error) error {
	if st.gone != nil {
		return nil
	}
	p := problem.Of(err)
	_ = st.emit(Line{End: &End{Code: string(p.Kind), Say: p.Say, Advice: p.Advice(), RetryMS: p.RetryMS}})
	return nil
}

const idleShare = 2

func (st *stream) run(ctx context.Context) error {
	s := st.s
	if err := st.emit(Line{Attached: st.t.who.Generation}); err != nil {
		return err
	}
	cx, stop := context.WithCancel(ctx)
	defer stop()
	idle := make(chan struct{}, 1)
	go func() {
		for s.Clock.Sleep(cx, s.Bounds.Spread/idleShare) == nil {
			select {
			case idle <- struct{}{}:
			default:
			}
		}
	}()
	wrote := true
	for {
		if err := s.Licensed(); err != nil {
			return st.end(err)
		}
		select {
		case <-s.Leaving:
			return st.end(problem.New(problem.Leaving, "this node is stopping"))
		default:
		}
		more, err := st.round(ctx)
		if err != nil {
			return st.end(err)
		}
		if more {
			wrote = true
			continue
		}
		select {
		case <-st.wake:
		case <-idle:
			if !wrote {
				if err := st.emit(Line{Idle: true}); err != nil {
					return err
				}
			}
			wrote = false
		case <-s.Leaving:
		case <-ctx.Done():
			return nil
		}
	}
}

func (st *stream) round(ctx context.Context) (bool, error) {
	if err := st.fenced(ctx); err != nil {
		return false, err
	}
	for _, l := range st.lanes {
		es, err := l.feed.After(ctx, st.pos[l.p])
		if err != nil {
			if problem.Has(err, problem.CursorExpired) {
				return false, err
			}
			if ctx.Err() != nil {
				return false, err
			}
			_ = st.s.Clock.Sleep(ctx, st.s.Bounds.Retry())
			return true, nil
		}
		for _, e := range es {
			if err := st.give(l, e); err != nil {
				return false, err
			}
		}
		if len(es) > 0 {
			return true, nil
		}
	}
	return false, nil
}

func (st *stream) give(l lane, e line.Entry) error {
	if e.Offset <= st.pos[l.p] {
		return nil
	}
	st.pos[l.p] = e.Offset
	if e.What != line.Message || !st.want[e.Topic] || e.Live && (e.Hollow || e.Offset <= l.live) {
		return nil
	}
	if _, err := st.s.Board.Index().Find(e.Topic); err != nil {
		return err
	}
	return st.emit(Line{Topic: e.Topic, From: e.Visitor, Call: e.Call, Body: e.Body, Partition: &l.p, Offset: e.Offset})
}

func (st *stream) fenced(ctx context.Context) error {
	for {
		es, err := st.fence.After(ctx, st.seen)
		if err != nil {
			if problem.Has(err, problem.CursorExpired) {
				st.seen = st.fence.To()
				cx, stop := context.WithTimeout(ctx, callShare*st.s.Bounds.Call())
				a, e := st.s.Desk.Attached(cx, st.t.Visitor)
				stop()
				if e == nil && a.Attached.Generation > st.t.who.Generation {
					return st.superseded(a.Attached.Generation)
				}
				if e == nil {
					continue
				}
			}
			return nil
		}
		if len(es) == 0 {
			return nil
		}
		for _, e := range es {
			st.seen = max(st.seen, e.Offset)
			if e.What == line.Attach && e.Visitor == st.t.Visitor && e.Generation > st.t.who.Generation {
				return st.superseded(e.Generation)
			}
		}
	}
}

func (st *stream) superseded(g uint64) error {
	return problem.New(problem.TokenFenced, "attachment %d of %s took over", g, st.t.Visitor)
}
