// Package duty is the placement duty: the node that holds its key gives partitions their disks and owners.
package duty

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/control/client"
	"postjunction/internal/control/holder"
	"postjunction/internal/event"
	"postjunction/internal/gather"
	"postjunction/internal/gossip"
	"postjunction/internal/member"
	"postjunction/internal/options"
	"postjunction/internal/placement/drain"
	"postjunction/internal/placement/record"
	"postjunction/internal/problem"
)

// Key is the control key whose holder has the duty.
const Key = "duty/placement"

// Duty runs placement on one control node while it holds the key.
type Duty struct {
	Self   string
	Clock  clock.Clock
	Bounds options.Bounds
	Holder *holder.Holder
	Client *client.Client
	Board  *gossip.Board
	Live   func() []member.Info
	// Changed gives what is closed at news of the members.
	Changed func() <-chan struct{}
	Log     *event.Logger
	// Tell has records that were written here known at once.
	Tell func(context.Context, ...record.Record)

	held  bool
	since time.Time
	recs  map[int]record.Record
	gone  map[string]time.Time
	deaf  map[string]time.Time
	slow  map[string]time.Time
	// fresh are the storage machines that held nothing when they were first seen, and when that was, until nothing is gone.
	fresh  map[string]time.Time
	opened map[int]time.Time
	epochs map[int]uint64
	moved  time.Time
	wants  []want

	members, records <-chan struct{}
}

// want is a change of a record that a round has decided on.
type want struct{ old, n record.Record }

const (
	learnersMost = 32
	// newsShare makes the least pause between two rounds.
	newsShare = 4
	// worthPercent is how much of the highest load a move must take off to be worth its take-over.
	worthPercent = 15
)

// wait waits for the next round: the one that has the duty acts on news, the others look at their own pace.
func (d *Duty) wait(ctx context.Context) error {
	pace := clock.Jitter(d.Bounds.Tend(), 0.2, rand.Float64())
	if !d.held {
		return d.Clock.Sleep(ctx, pace)
	}
	if err := d.Clock.Sleep(ctx, d.Bounds.Retry()/newsShare); err != nil {
		return err
	}
	clock.Wait(ctx, d.Clock, pace, d.members, d.records)
	d.members, d.records = d.Changed(), d.Board.Changed()
	return ctx.Err()
}

// Run tends the partitions until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	for d.wait(ctx) == nil {
		if d.Board.Roster().Sequence == 0 {
			continue
		}
		cx, stop := context.WithTimeout(ctx, d.Bounds.Recovery)
		if !d.mine(cx) {
			if d.held {
				d.Log.Say(event.DutyLost)
			}
			d.held = false
			stop()
			continue
		}
		if !d.held {
			d.take(cx)
		}
		if d.held {
			d.round(cx)
		}
		stop()
	}
}

func (d *Duty) mine(ctx context.Context) bool {
	if !d.Holder.Holds(Key) {
		cx, stop := context.WithTimeout(ctx, d.Bounds.Call())
		defer stop()
		if err := d.Holder.Claim(cx, Key); err != nil {
			return false
		}
		return d.Holder.Confirmed(cx, Key)
	}
	cx, stop := context.WithTimeout(ctx, d.Bounds.Call())
	defer stop()
	return d.Holder.Confirmed(cx, Key)
}

func (d *Duty) take(ctx context.Context) {
	d.recs, d.gone, d.deaf, d.slow = map[int]record.Record{}, map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	d.fresh = map[string]time.Time{}
	d.opened, d.epochs = map[int]time.Time{}, map[int]uint64{}
	var ps []int
	for p := range d.Board.Roster().Layout.Count() {
		ps = append(ps, p)
	}
	for _, a := range gather.Ask(ctx, ps, d.fetch, nil) {
		if a.Err != nil {
			d.Log.Say(event.PlaceTrouble, "partition", a.Who, "problem", a.Err)
			return
		}
		d.keep(a.A)
	}
	d.held, d.since, d.moved = true, d.Clock.Now(), d.Clock.Now()
	d.Log.Say(event.DutyTaken, "partitions", len(d.recs))
}

func (d *Duty) fetch(ctx context.Context, p int) (record.Record, error) {
	v, err := d.Client.Read(ctx, record.Key(p))
	if err != nil {
		return record.Record{}, err
	}
	r := record.Record{Partition: p}
	if len(v.Body) > 0 {
		if r, err = record.Parse(v.Body, v.Writes); err != nil {
			return r, problem.Wrap(problem.Internal, err, "read the record of partition %d", p)
		}
	}
	r.Writes = v.Writes
	return r, nil
}

func (d *Duty) keep(r record.Record) {
	d.recs[r.Partition] = r
	if r.Writes > 0 {
		d.Board.Offer(gossip.News{Records: []record.Record{r}})
	}
}

func (d *Duty) read(ctx context.Context, p int) error {
	r, err := d.fetch(ctx, p)
	if err == nil {
		d.keep(r)
	}
	return err
}

// write notes a change, which is made with all others of the round.
func (d *Duty) write(old, n record.Record) { d.wants = append(d.wants, want{old, n}) }

// flush makes all changes that were noted, at once.
func (d *Duty) flush(ctx context.Context) {
	ws := d.wants
	d.wants = nil
	for _, a := range gather.Ask(ctx, ws, func(ctx context.Context, w want) (record.Record, error) {
		v, err := d.Client.Change(ctx, record.Key(w.n.Partition), w.old.Writes, client.Name(), w.n.Pack())
		if err == nil {
			w.n.Writes = v.Writes
			d.Tell(context.WithoutCancel(ctx), w.n)
			return w.n, nil
		}
		if !problem.Has(err, problem.StaleBase) {
			d.Log.Say(event.PlaceTrouble, "partition", w.n.Partition, "problem", err)
		}
		return d.fetch(ctx, w.n.Partition)
	}, nil) {
		if a.Err != nil {
			continue
		}
		d.keep(a.A)
		if n := a.Who.n; a.A.Epoch == n.Epoch && n.Epoch != a.Who.old.Epoch && a.A.Owner == n.Owner {
			h := n.History[len(n.History)-1]
			d.Log.Say(event.Placed, "partition", n.Partition, "epoch", n.Epoch, "owner", n.Owner, "replicas", strings.Join(h.Replicas, ","), "reason", h.Reason)
		}
	}
}

type machine struct {
	member.Info
	holds, owns int
	load        float64
	out         bool
	slow        bool
	slowFor     time.Duration
}

// idle is the load of a partition that takes nothing, in messages a second: what its pulses cost.
const idle = 1

func (s *scene) weight(r record.Record) float64 {
	if m, ok := s.m[r.Owner]; ok {
		return idle + m.Loads[r.Partition]
	}
	return idle
}

func (s *scene) give(h string, w float64) {
	s.m[h].owns++
	s.m[h].load += w
}

type scene struct {
	now    time.Time
	m      map[string]*machine
	stores int
	// copies is how many disks are to hold a partition.
	copies int
	drains drain.Book
	usual  time.Duration
}

func (s *scene) usable(p record.Place) bool {
	m, ok := s.m[p.Node]
	return ok && m.Incarnation == p.Incarnation && m.Fitness == ""
}

// emptied tells whether a machine that is gone was asked to be emptied, so that it is not waited for.
func (s *scene) emptied(node string) bool {
	_, ok := s.drains[node]
	return ok
}

// fit tells whether a machine may be given a copy.
func (s *scene) fit(m *machine) bool {
	return m != nil && !m.out && m.Fitness == "" && !m.Deaf && m.Stage == member.Serving && (m.Disk == options.DiskStorage || s.stores < s.copies)
}

func (s *scene) canOwn(p record.Place) bool {
	return s.usable(p) && s.m[p.Node].Stage == member.Serving && !s.m[p.Node].Deaf && !s.m[p.Node].slow
}

func (d *Duty) scene(ctx context.Context) (*scene, error) {
	s := &scene{now: d.Clock.Now(), m: map[string]*machine{}, copies: d.Board.Roster().Layout.Copies()}
	v, err := d.Client.Read(ctx, drain.Key)
	if err != nil {
		return nil, err
	}
	s.drains = drain.Parse(v.Body)
	for _, i := range d.Live() {
		if i.Disk == options.DiskNone {
			continue
		}
		dr, out := s.drains[i.Name]
		if out && dr.Done && dr.Boot != i.Boot {
			out = false
		}
		s.m[i.Name] = &machine{Info: i, out: out}
		if i.Disk == options.DiskStorage && !out && i.Fitness == "" {
			s.stores++
		}
	}
	for _, r := range d.recs {
		for _, p := range r.Replicas {
			if m, ok := s.m[p.Node]; ok {
				m.holds++
				if r.Owner == p.Node {
					m.owns++
					m.load += s.weight(r)
				}
			}
		}
		if r.Learner != nil {
			if m, ok := s.m[r.Learner.Node]; ok {
				m.holds++
			}
		}
	}
	d.lags(s)
	defer d.newcomers(s)
	for n, m := range s.m {
		delete(d.gone, n)
		if !m.Deaf {
			delete(d.deaf, n)
		} else if d.deaf[n].IsZero() {
			d.deaf[n] = s.now
		}
	}
	for _, r := range d.recs {
		for _, p := range r.Replicas {
			if _, ok := s.m[p.Node]; !ok && d.gone[p.Node].IsZero() {
				d.gone[p.Node] = s.now
			}
		}
	}
	return s, nil
}

// newcomers notes the storage machines that hold nothing: they take the place of one that is gone, all of it.
func (d *Duty) newcomers(s *scene) {
	for n := range d.gone {
		if !slices.ContainsFunc(slices.Collect(maps.Values(d.recs)), func(r record.Record) bool { _, ok := r.Place(n); return ok }) {
			delete(d.gone, n)
		}
	}
	for n := range d.fresh {
		if m, ok := s.m[n]; !ok || m.holds > 0 && len(d.gone) == 0 {
			delete(d.fresh, n)
		}
	}
	for n, m := range s.m {
		if _, ok := d.fresh[n]; !ok && m.Disk == options.DiskStorage && m.holds == 0 && s.fit(m) {
			d.fresh[n] = s.now
		}
	}
}

// patience is how long a copy on a machine that is gone is waited for: hardly, where a newcomer came to take its place; for half a session more, which most restarts
// are back within, where a newcomer was there before; as long as service may take to be back, where another storage machine is there; and long, where it would be a small disk.
func (d *Duty) patience(s *scene, r record.Record, p record.Place) time.Duration {
	wait := d.Bounds.Repair()
	for n, m := range s.m {
		if _, ok := r.Place(n); ok || m.Disk != options.DiskStorage || !s.fit(m) {
			continue
		}
		switch t, ok := d.fresh[n]; {
		case !ok:
			wait = min(wait, d.Bounds.Recovery)
		case t.Before(d.gone[p.Node].Add(-d.Bounds.Session())):
			wait = min(wait, d.Bounds.Session()/2)
		default:
			wait = min(wait, d.early(s))
		}
	}
	return wait
}

// early is how long a machine must be gone before anything is done, longer while the duty is young and may not have heard of it.
func (d *Duty) early(s *scene) time.Duration {
	if s.now.Sub(d.since) < d.Bounds.Session() {
		return d.Bounds.Session() / 2
	}
	return d.Bounds.Previous()
}

// lags finds machines whose pulses take much longer than is usual among those with a disk, and for how long.
func (d *Duty) lags(s *scene) {
	var ls []int64
	for _, m := range s.m {
		ls = append(ls, m.Lag)
	}
	slices.Sort(ls)
	if len(ls) == 0 {
		return
	}
	s.usual = time.Duration(ls[len(ls)/2]) * time.Microsecond
	for n, m := range s.m {
		lag := time.Duration(m.Lag) * time.Microsecond
		switch since := d.slow[n]; {
		case lag > max(options.SlowTimes*s.usual, d.Bounds.Slow()):
			if since.IsZero() {
				since = s.now
				d.slow[n] = s.now
			}
			m.slow, m.slowFor = true, s.now.Sub(since)
		case lag < max(options.SlowTimes*s.usual, d.Bounds.Slow())/2:
			delete(d.slow, n)
		default:
			m.slow = !since.IsZero()
		}
	}
}

func (d *Duty) refresh(ctx context.Context) {
	for p, r := range d.recs {
		if b := d.Board.Record(p); b.Writes > r.Writes {
			d.recs[p] = b
		}
	}
	for p, r := range d.recs {
		if !r.Settled && r.Epoch > 0 && d.Clock.Now().Sub(d.opened[p]) > d.Bounds.Settle() {
			_ = d.read(ctx, p)
		}
	}
}

func (d *Duty) round(ctx context.Context) {
	d.wants = nil
	d.refresh(ctx)
	s, err := d.scene(ctx)
	if err != nil {
		return
	}
	learners := 0
	var ps []int
	for p, r := range d.recs {
		ps = append(ps, p)
		if r.Learner != nil {
			learners++
		}
	}
	layout := d.Board.Roster().Layout
	slices.SortFunc(ps, func(a, b int) int {
		if (a >= layout.Routine) != (b >= layout.Routine) {
			return b - a
		}
		return a - b
	})
	for _, p := range ps {
		if ctx.Err() != nil {
			return
		}
		r := d.recs[p]
		if d.epochs[p] != r.Epoch {
			d.epochs[p], d.opened[p] = r.Epoch, s.now
		}
		if r.Epoch == 0 {
			d.first(s, r)
			continue
		}
		if d.owner(s, r) || !r.Settled {
			continue
		}
		d.copies(s, r, &learners)
	}
	d.flush(ctx)
	d.balance(s)
	d.flush(ctx)
	d.book(ctx, s)
}

func (d *Duty) first(s *scene, r record.Record) {
	if s.stores < s.copies && s.now.Sub(d.since) < d.Bounds.Session() {
		return
	}
	var ps []record.Place
	for len(ps) < s.copies {
		m := d.candidate(s, ps)
		if m == nil {
			break
		}
		ps = append(ps, record.Place{Node: m.Name, Incarnation: m.Incarnation})
	}
	if len(ps) < s.copies {
		return
	}
	o := slices.MinFunc(ps, func(a, b record.Place) int { return s.m[a.Node].owns - s.m[b.Node].owns })
	d.write(r, r.Next(o.Node, ps, "first placement", s.now))
	for _, p := range ps {
		s.m[p.Node].holds++
	}
	s.give(o.Node, idle)
}

func (d *Duty) candidate(s *scene, ps []record.Place) *machine {
	zones, names := map[string]int{}, map[string]bool{}
	for _, p := range ps {
		names[p.Node] = true
		if m, ok := s.m[p.Node]; ok {
			zones[m.Zone]++
		}
	}
	var best *machine
	rank := func(m *machine) [3]int {
		k := [3]int{0, zones[m.Zone], m.holds}
		if m.Disk != options.DiskStorage {
			k[0] = 1
		}
		return k
	}
	for _, m := range s.m {
		if names[m.Name] || !s.fit(m) {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		a, b := rank(m), rank(best)
		if c := slices.Compare(a[:], b[:]); c < 0 || c == 0 && m.Name < best.Name {
			best = m
		}
	}
	return best
}

func (d *Duty) heir(s *scene, r record.Record, not string) (record.Place, bool) {
	var best record.Place
	found := false
	for _, p := range r.Replicas {
		if p.Node == not || !s.canOwn(p) {
			continue
		}
		if !found || d.better(s, r, p, best) {
			best, found = p, true
		}
	}
	return best, found
}

func (d *Duty) better(s *scene, r record.Record, p, q record.Place) bool {
	a, b := s.m[p.Node], s.m[q.Node]
	if a.out != b.out {
		return b.out
	}
	if (a.Disk == options.DiskStorage) != (b.Disk == options.DiskStorage) {
		return a.Disk == options.DiskStorage
	}
	if a.load != b.load {
		return a.load < b.load
	}
	if a.owns != b.owns {
		return a.owns < b.owns
	}
	return p.Node < q.Node
}

func (d *Duty) owner(s *scene, r record.Record) bool {
	me, ok := r.Place(r.Owner)
	reason := ""
	switch m := s.m[r.Owner]; {
	case !ok || m != nil && m.Incarnation != me.Incarnation:
		reason = "the owner's disk is another one"
	case m == nil:
		if s.now.Sub(d.gone[r.Owner]) < d.early(s) {
			return true
		}
		reason = "the owner is gone"
	case m.Fitness != "":
		reason = "the owner's disk fails: " + m.Fitness
	case m.Stage != member.Serving:
		reason = "the owner is stopping"
	case m.Deaf && s.now.Sub(d.deaf[r.Owner]) >= d.Bounds.Session()/2:
		reason = "the owner has no licence: it is heard but does not hear"
	case m.slow && m.slowFor >= d.Bounds.Session()/2:
		if _, ok := d.heir(s, r, r.Owner); !ok || !r.Settled {
			return false
		}
		reason = fmt.Sprintf("the owner is slow: its pulses take %s, %s are usual", time.Duration(m.Lag)*time.Microsecond, s.usual)
	case m.out && len(r.Replicas) <= s.copies:
		if h, ok := d.heir(s, r, r.Owner); !ok || s.m[h.Node].out || !r.Settled {
			return false
		}
		reason = "the owner is being emptied"
	case !r.Settled && s.now.Sub(d.opened[r.Partition]) > 2*d.Bounds.Settle():
		reason = "the take-over did not finish in " + (2 * d.Bounds.Settle()).String()
	default:
		return false
	}
	alive := 0
	for _, p := range r.Replicas {
		if s.usable(p) {
			alive++
		}
	}
	h, ok := d.heir(s, r, r.Owner)
	if !ok || alive < r.Majority() {
		return true
	}
	w := s.weight(r)
	d.write(r, r.Next(h.Node, r.Replicas, reason, s.now))
	s.give(h.Node, w)
	return true
}

func (d *Duty) faulty(s *scene, r record.Record, p record.Place) string {
	m, ok := s.m[p.Node]
	switch {
	case !ok && s.emptied(p.Node):
		return "it is being emptied and gone"
	case !ok:
		if w := d.patience(s, r, p); s.now.Sub(d.gone[p.Node]) > w {
			return "gone for longer than " + w.String()
		}
		return ""
	case m.Incarnation != p.Incarnation:
		return "its disk is another one"
	case m.out:
		return "it is being emptied"
	case m.Fitness != "":
		return "its disk fails"
	case m.Disk != options.DiskStorage && s.stores >= s.copies:
		return "storage machines suffice again"
	}
	return ""
}

func (d *Duty) copies(s *scene, r record.Record, learners *int) {
	bad, why := -1, ""
	for i, p := range r.Replicas {
		if w := d.faulty(s, r, p); w != "" && (bad < 0 || !s.usable(p)) {
			bad, why = i, w
		}
	}
	if r.Learner != nil {
		m, ok := s.m[r.Learner.Node]
		if !ok || m.Incarnation != r.Learner.Incarnation || m.Fitness != "" || m.out || bad < 0 && len(r.Replicas) >= s.copies {
			n := r
			n.Learner = nil
			d.write(r, n)
		}
		return
	}
	if len(r.Replicas) > s.copies {
		if bad < 0 {
			bad, why = d.spare(s, r), "one copy more than needed"
		}
		rest := slices.Delete(slices.Clone(r.Replicas), bad, bad+1)
		o := r.Owner
		if r.Replicas[bad].Node == o {
			h, ok := d.heir(s, r, o)
			if !ok {
				return
			}
			o = h.Node
		}
		d.write(r, r.Next(o, rest, fmt.Sprintf("removed %s: %s", r.Replicas[bad].Node, why), s.now))
		return
	}
	if bad < 0 && len(r.Replicas) >= s.copies || *learners >= learnersMost {
		return
	}
	keep := slices.Clone(r.Replicas)
	if bad >= 0 {
		keep = slices.Delete(keep, bad, bad+1)
	}
	m := d.candidate(s, keep)
	if bad >= 0 {
		if b := s.m[r.Replicas[bad].Node]; s.fit(b) && b.Incarnation != r.Replicas[bad].Incarnation {
			m = b
		}
	}
	if m == nil {
		return
	}
	n := r
	n.Learner = &record.Place{Node: m.Name, Incarnation: m.Incarnation}
	d.write(r, n)
	m.holds++
	*learners++
}

func (d *Duty) spare(s *scene, r record.Record) int {
	if i := slices.IndexFunc(r.Replicas, func(p record.Place) bool { return s.m[p.Node] == nil }); i >= 0 {
		return i
	}
	at := 0
	for i, p := range r.Replicas {
		if p.Node != r.Owner && s.m[p.Node] != nil && (s.m[r.Replicas[at].Node] == nil || r.Replicas[at].Node == r.Owner || s.m[p.Node].holds > s.m[r.Replicas[at].Node].holds) {
			at = i
		}
	}
	return at
}

func (d *Duty) balance(s *scene) {
	if s.now.Sub(d.moved) < d.Bounds.Repair()/2 {
		return
	}
	var most *machine
	for _, m := range s.m {
		if most == nil || m.load > most.load || m.load == most.load && m.Name < most.Name {
			most = m
		}
	}
	if most == nil {
		return
	}
	best, to, low := record.Record{}, record.Place{}, most.load
	for p := range len(d.recs) {
		r := d.recs[p]
		if r.Owner != most.Name || !r.Settled || r.Learner != nil || len(r.Replicas) != s.copies {
			continue
		}
		for _, q := range r.Replicas {
			if !s.canOwn(q) {
				return
			}
		}
		h, ok := d.heir(s, r, r.Owner)
		if !ok || s.m[h.Node].out || s.m[h.Node].Disk != options.DiskStorage {
			continue
		}
		w := s.weight(r)
		if after := max(most.load-w, s.m[h.Node].load+w); after < low {
			best, to, low = r, h, after
		}
	}
	if most.load-low < max(idle, most.load*worthPercent/100) {
		return
	}
	d.moved = s.now
	d.write(best, best.Next(to.Node, best.Replicas, fmt.Sprintf("load was uneven: %s took %.1f a second, %s %.1f", most.Name, most.load, to.Node, s.m[to.Node].load), s.now))
}

func (d *Duty) book(ctx context.Context, s *scene) {
	if len(s.drains) == 0 {
		return
	}
	v, err := d.Client.Read(ctx, drain.Key)
	if err != nil {
		return
	}
	b := drain.Parse(v.Body)
	changed := false
	for n, x := range b {
		left := 0
		for _, r := range d.recs {
			if r.Holds(n) {
				left++
			}
		}
		m, live := s.m[n]
		if x.Done && live && m.Boot != x.Boot {
			delete(b, n)
			changed = true
			d.Log.Say(event.DrainReturned, "node", n)
			continue
		}
		if left != x.Left || (left == 0) != x.Done {
			if left == 0 && !x.Done {
				d.Log.Say(event.DrainDone, "node", n)
			}
			x.Left, x.Done = left, left == 0
			if live && !x.Done {
				x.Boot = m.Boot
			}
			b[n] = x
			changed = true
		}
	}
	if changed {
		_, _ = d.Client.Change(ctx, drain.Key, v.Writes, client.Name(), b.Pack())
	}
}
