// Package operator is the service to operators: descriptions, the state of the fleet, and the emptying of machines.
package operator

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"postjunction/internal/apierror"
	"postjunction/internal/client/rejections"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/control/voters"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/usage"
	"postjunction/internal/wire"
)

// Service serves operators on one node.
type Service struct {
	Clock          clock.Clock
	Timing         settings.Timing
	Net            wire.Network
	Client         *registerclient.Client
	Store          *gossip.Store
	View           *membership.View
	Info           func() membership.Info
	CheckLease     func() error
	ControlNode    func() string
	Leaders        func() []leader.View
	TopicUsage     func(ctx context.Context, p int) ([]leader.TopicUsage, error)
	Tombstones     func(ctx context.Context, p int) (*leader.TombstoneView, error)
	CountersByPart func() map[string]any
	Trace          func(ctx context.Context, p int, q *router.TraceRequest) (*router.TraceResponse, error)
	Rejections     func(ctx context.Context, i membership.Info, q rejections.Request) ([]rejections.Rejection, error)
	Log            *event.Logger

	reader atomic.Pointer[Reader]
}

const deadlineShare = 3

func (s *Service) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadlineShare*s.Timing.CallTimeout())
}

// Status is what a node knows of the fleet.
type Status struct {
	Node          membership.Info     `json:"node"`
	Control       string              `json:"session_with"`
	HoldsLease    bool                `json:"licensed"`
	Fleet         string              `json:"fleet"`
	Configuration uint64              `json:"description"`
	VoterSet      voters.Set          `json:"roster"`
	Members       []membership.Info   `json:"members"`
	Partitions    []assignment.Record `json:"partitions"`
	Leading       []leader.View       `json:"owned"`
}

// Status gives this node's view.
func (s *Service) Status(context.Context) (any, error) {
	r := s.Store.VoterSet()
	st := Status{Node: s.Info(), Control: s.ControlNode(), HoldsLease: s.CheckLease() == nil, Fleet: r.Fleet, Configuration: s.Store.Configuration().Sequence, VoterSet: r, Members: s.View.All(), Leading: s.Leaders()}
	for p := range r.Layout.PartitionCount() {
		x := s.Store.Record(p)
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
	for p := range s.Store.VoterSet().Layout.PartitionCount() {
		ps = append(ps, p)
	}
	as := quorum.Gather(ctx, ps, s.TopicUsage, nil)
	if err := quorum.FirstError(as); err != nil || len(as) < len(ps) {
		return nil, apierror.WithCause(apierror.NoPartitionLeader, err, "usage of all partitions")
	}
	rows := []usage.Row{}
	for _, a := range as {
		for _, u := range a.Value {
			sp, t := s.named(u.Topic)
			rows = append(rows, usage.Row{Space: sp, Topic: t, Partition: int32(a.Target), Messages: int64(u.Messages), Senders: int32(u.Senders), LastOffset: int64(u.Offset)})
		}
	}
	slices.SortFunc(rows, func(a, b usage.Row) int {
		return cmp.Or(strings.Compare(a.Space, b.Space), strings.Compare(a.Topic, b.Topic))
	})
	return map[string]any{"usage": rows}, nil
}

// named splits the full name of a topic into its space and the rest; of a topic by prefix, and of one that no space has, the whole is given.
func (s *Service) named(topic string) (space, rest string) {
	sp, err := s.Store.Index().Find(topic)
	if err == nil && sp.ByPrefix() {
		return sp.Name, topic
	}
	space, rest, ok := strings.Cut(topic, "/")
	if !ok {
		return "", topic
	}
	return space, rest
}

// Counters gives this node's counts.
func (s *Service) Counters() any { return s.CountersByPart() }

// PartitionDetail is one partition's record with its history, and which withdrawals stand there, as far as its owner answers.
type PartitionDetail struct {
	Topic  string            `json:"topic,omitempty"`
	Urgent bool              `json:"urgent"`
	Record assignment.Record `json:"record"`
	// Withdrawn is nil where nothing has keys.
	Withdrawn *leader.TombstoneView `json:"withdrawn,omitempty"`
}

// Partition reads one partition's record, named by number or by a topic of it.
func (s *Service) Partition(ctx context.Context, n, topic string) (any, error) {
	l := s.Store.VoterSet().Layout
	p, err := strconv.Atoi(n)
	if topic != "" {
		sp, e := s.Store.Index().Find(topic)
		if e != nil {
			return nil, e
		}
		p, err = partition.Of(topic, sp.Urgent, l), nil
	}
	if err != nil || p < 0 || p >= l.PartitionCount() {
		return nil, apierror.New(apierror.Malformed, "n must be from 0 to %d, is %q", l.PartitionCount()-1, n)
	}
	ctx, stop := s.limit(ctx)
	defer stop()
	c, err := readAs(ctx, s, assignment.Key(p), func(v acceptor.Value) (assignment.Record, error) { return parseRecord(p, v) })
	if err != nil {
		return nil, err
	}
	d := PartitionDetail{Topic: topic, Urgent: partition.Urgent(p, l), Record: c.value}
	cx, end := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer end()
	d.Withdrawn, _ = s.Tombstones(cx, p)
	return d, nil
}
