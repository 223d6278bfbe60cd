// Package operator is the service to operators: descriptions, the state of the fleet, and the emptying of machines.
package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/control/client"
	"postjunction/internal/control/confirm"
	"postjunction/internal/control/roster"
	"postjunction/internal/control/voter"
	"postjunction/internal/description"
	"postjunction/internal/event"
	"postjunction/internal/gather"
	"postjunction/internal/gossip"
	"postjunction/internal/ledger/desk"
	"postjunction/internal/ledger/owner"
	"postjunction/internal/member"
	"postjunction/internal/options"
	"postjunction/internal/partition"
	"postjunction/internal/placement/drain"
	"postjunction/internal/placement/record"
	"postjunction/internal/problem"
	"postjunction/internal/usage"
	"postjunction/internal/visitor/turned"

	"github.com/mailru/easyjson"
)

// Service serves operators on one node.
type Service struct {
	Clock    clock.Clock
	Bounds   options.Bounds
	Client   *client.Client
	Board    *gossip.Board
	View     *member.View
	Info     func() member.Info
	Licensed func() error
	With     func() string
	Owners   func() []owner.View
	Uses     func(ctx context.Context, p int) ([]owner.Use, error)
	Marks    func(ctx context.Context, p int) (*owner.MarksView, error)
	Tallies  func() map[string]any
	Trace    func(ctx context.Context, p int, q *desk.TraceTask) (*desk.Traced, error)
	Turned   func(ctx context.Context, i member.Info, q turned.Task) ([]turned.Note, error)
	Log      *event.Logger

	reader atomic.Pointer[Reader]
}

const deadlineShare = 3

func (s *Service) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadlineShare*s.Bounds.Call())
}

// Description reads the current description back, confirmed by a majority.
func (s *Service) Description(ctx context.Context) (any, error) {
	d, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	d.Lanes = description.Lanes{}
	return json.RawMessage(d.Pack()), nil
}

// Current gives the current description, confirmed by a majority.
func (s *Service) Current(ctx context.Context) (description.Description, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	v, err := s.read(ctx, confirm.Key)
	if err != nil {
		return description.Description{}, err
	}
	if len(v.Body) == 0 {
		return description.Description{}, problem.New(problem.DescriptionNone, "no description was put yet")
	}
	return parse(v.Body)
}

// read reads a control key; while the voters change nobody can tell, and it asks again.
func (s *Service) read(ctx context.Context, key string) (voter.Value, error) {
	v, err := s.Client.Read(ctx, key)
	for problem.Has(err, problem.StaleRoster) && s.Clock.Sleep(ctx, s.Bounds.Retry()) == nil {
		v, err = s.Client.Read(ctx, key)
	}
	return v, err
}

func parse(b []byte) (d description.Description, err error) {
	return d, problem.Wrap(problem.Internal, easyjson.Unmarshal(b, &d), "read the current description")
}

// Status is what a node knows of the fleet.
type Status struct {
	Node        member.Info     `json:"node"`
	Control     string          `json:"session_with"`
	Licensed    bool            `json:"licensed"`
	Fleet       string          `json:"fleet"`
	Description uint64          `json:"description"`
	Roster      roster.Roster   `json:"roster"`
	Members     []member.Info   `json:"members"`
	Partitions  []record.Record `json:"partitions"`
	Owned       []owner.View    `json:"owned"`
}

// Status gives this node's view.
func (s *Service) Status(context.Context) (any, error) {
	r := s.Board.Roster()
	st := Status{Node: s.Info(), Control: s.With(), Licensed: s.Licensed() == nil, Fleet: r.Fleet, Description: s.Board.Description().Sequence, Roster: r, Members: s.View.All(), Owned: s.Owners()}
	for p := range r.Layout.Count() {
		x := s.Board.Record(p)
		x.Partition = p
		x.History = nil
		st.Partitions = append(st.Partitions, x)
	}
	return st, nil
}

// Usage gives the use of every topic, from the owners of all partitions.
func (s *Service) Usage(ctx context.Context) (any, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	var ps []int
	for p := range s.Board.Roster().Layout.Count() {
		ps = append(ps, p)
	}
	as := gather.Ask(ctx, ps, s.Uses, nil)
	if err := gather.First(as); err != nil || len(as) < len(ps) {
		return nil, problem.Because(problem.NoOwner, err, "usage of all partitions")
	}
	rows := []usage.Row{}
	for _, a := range as {
		for _, u := range a.A {
			sp, t := s.named(u.Topic)
			rows = append(rows, usage.Row{Space: sp, Topic: t, Partition: int32(a.Who), Messages: int64(u.Messages), Senders: int32(u.Senders), LastOffset: int64(u.Offset)})
		}
	}
	slices.SortFunc(rows, func(a, b usage.Row) int {
		return cmp.Or(strings.Compare(a.Space, b.Space), strings.Compare(a.Topic, b.Topic))
	})
	return map[string]any{"usage": rows}, nil
}

// named splits the full name of a topic into its space and the rest; of a topic by prefix, and of one that no space has, the whole is given.
func (s *Service) named(topic string) (space, rest string) {
	sp, err := s.Board.Index().Find(topic)
	if err == nil && sp.Open() {
		return sp.Name, topic
	}
	space, rest, ok := strings.Cut(topic, "/")
	if !ok {
		return "", topic
	}
	return space, rest
}

// Counters gives this node's counts.
func (s *Service) Counters() any { return s.Tallies() }

// Detail is one partition's record with its history, and which withdrawals stand there, as far as its owner answers.
type Detail struct {
	Topic  string        `json:"topic,omitempty"`
	Urgent bool          `json:"urgent"`
	Record record.Record `json:"record"`
	// Withdrawn is nil where nothing has keys.
	Withdrawn *owner.MarksView `json:"withdrawn,omitempty"`
}

// Partition reads one partition's record, named by number or by a topic of it.
func (s *Service) Partition(ctx context.Context, n, topic string) (any, error) {
	l := s.Board.Roster().Layout
	p, err := strconv.Atoi(n)
	if topic != "" {
		sp, e := s.Board.Index().Find(topic)
		if e != nil {
			return nil, e
		}
		p, err = partition.Of(topic, sp.Urgent, l), nil
	}
	if err != nil || p < 0 || p >= l.Count() {
		return nil, problem.New(problem.Malformed, "n must be from 0 to %d, is %q", l.Count()-1, n)
	}
	ctx, stop := s.limit(ctx)
	defer stop()
	v, err := s.read(ctx, record.Key(p))
	if err != nil {
		return nil, err
	}
	r := record.Record{Partition: p}
	if len(v.Body) > 0 {
		if r, err = record.Parse(v.Body, v.Writes); err != nil {
			return nil, problem.Wrap(problem.Internal, err, "read the record of partition %d", p)
		}
	}
	d := Detail{Topic: topic, Urgent: partition.Urgent(p, l), Record: r}
	cx, end := context.WithTimeout(ctx, s.Bounds.Call())
	defer end()
	d.Withdrawn, _ = s.Marks(cx, p)
	return d, nil
}

// Drains lists the machines that are being or were emptied.
func (s *Service) Drains(ctx context.Context) (any, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	v, err := s.read(ctx, drain.Key)
	if err != nil {
		return nil, err
	}
	ds := []drain.Drain{}
	for _, d := range drain.Parse(v.Body) {
		ds = append(ds, d)
	}
	sort.Slice(ds, func(a, b int) bool { return ds[a].Node < ds[b].Node })
	return map[string]any{"drains": ds}, nil
}

// Drain asks for a machine to be emptied. The duty is recorded and goes on whoever runs it.
func (s *Service) Drain(ctx context.Context, node string) (any, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	for {
		v, err := s.read(ctx, drain.Key)
		if err != nil {
			return nil, err
		}
		b := drain.Parse(v.Body)
		if x, ok := b[node]; ok {
			if x.Done {
				return nil, problem.New(problem.AlreadyEmpty, "%s was emptied before", node)
			}
			return x, nil
		}
		x, err := s.askable(ctx, node, b)
		if err != nil {
			return nil, err
		}
		b[node] = x
		if _, err := s.Client.Change(ctx, drain.Key, v.Writes, client.Name(), b.Pack()); err != nil {
			if problem.Has(err, problem.StaleBase) || problem.Has(err, problem.StaleRoster) && s.Clock.Sleep(ctx, s.Bounds.Retry()) == nil {
				continue
			}
			return nil, outcome(true, err)
		}
		s.Log.Say(event.DrainAsked, "node", node, "partitions", x.Left)
		return x, nil
	}
}

func (s *Service) askable(ctx context.Context, node string, b drain.Book) (drain.Drain, error) {
	left, known := 0, false
	var ps []int
	for p := range s.Board.Roster().Layout.Count() {
		ps = append(ps, p)
	}
	for _, a := range gather.Ask(ctx, ps, func(ctx context.Context, p int) (bool, error) {
		v, err := s.read(ctx, record.Key(p))
		if err != nil {
			return false, err
		}
		r, err := record.Parse(v.Body, v.Writes)
		return err == nil && r.Holds(node), nil
	}, nil) {
		if a.Err != nil {
			return drain.Drain{}, a.Err
		}
		if a.A {
			left++
			known = true
		}
	}
	rest := 0
	var me member.Info
	for _, i := range s.View.All() {
		if i.Name == node {
			me, known = i, true
			continue
		}
		if x, out := b[i.Name]; i.Disk == options.DiskNone || i.Fitness != "" || i.Stage != member.Serving || out && x.Boot == i.Boot {
			continue
		}
		rest++
	}
	if !known || me.Name != "" && me.Disk == options.DiskNone {
		return drain.Drain{}, problem.New(problem.UnknownNode, "%q is no machine with a disk of this fleet", node)
	}
	if left == 0 && me.Disk != options.DiskStorage {
		return drain.Drain{}, problem.New(problem.AlreadyEmpty, "%s holds no partition", node)
	}
	if n := s.Board.Roster().Layout.Copies(); rest < n {
		return drain.Drain{}, problem.New(problem.DrainUnsafe, "without %s only %d machines with disks serve, %d are needed to bear a loss", node, rest, n)
	}
	return drain.Drain{Node: node, Boot: me.Boot, Asked: time.Now().UTC(), Left: left, Done: left == 0}, nil
}
