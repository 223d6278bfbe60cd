package router

import (
	"context"
	"net/http"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/wire"
)

// SubscribersRequest asks how many listen to a topic.
type SubscribersRequest struct {
	Partition int    `json:"p"`
	Topic     string `json:"t"`
}

// SubscribersResponse says so.
type SubscribersResponse struct {
	Count int `json:"n"`
}

// The calls of nodes that follow topics.
var (
	Follow      = wire.NewProcedure[leader.FollowRequest, leader.FollowResponse]("Ledger", "Follow", wire.Monotonic, "wishes of a feed are numbered; an old number changes nothing")
	Poll        = wire.NewProcedure[leader.PollRequest, leader.PollResponse]("Ledger", "Poll", wire.ReadOnly, "committed entries behind a place; the place that it confirms only rises")
	Subscribers = wire.NewProcedure[SubscribersRequest, SubscribersResponse]("Ledger", "Listeners", wire.ReadOnly, "counts")
)

func (d *Router) follow(ctx context.Context, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	return o.Follow(ctx, q)
}

func (d *Router) poll(ctx context.Context, q *leader.PollRequest) (*leader.PollResponse, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	q.Hold = min(q.Hold, d.Timing.Spread)
	return o.Poll(ctx, q)
}

func (d *Router) listeners(_ context.Context, q *SubscribersRequest) (*SubscribersResponse, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	n, err := o.Subscribers(q.Topic)
	return &SubscribersResponse{Count: n}, err
}

func (d *Router) serveFans(m *http.ServeMux) {
	Follow.Handle(m, packing(d.follow, func(q *leader.FollowRequest) bool { return q.Compress }))
	Poll.Handle(m, packing(d.poll, func(q *leader.PollRequest) bool { return q.Compress }))
	Subscribers.Handle(m, d.listeners)
}

// packing packs the bodies of what a peer is told, where it asks for that.
func packing[Q, A any, P interface {
	*A
	Compress()
}](f func(context.Context, *Q) (P, error), asked func(*Q) bool) func(context.Context, *Q) (*A, error) {
	return func(ctx context.Context, q *Q) (*A, error) {
		a, err := f(ctx, q)
		if err == nil && asked(q) {
			a.Compress()
		}
		return a, err
	}
}

// once asks the owner that a record names, one time.
func once[Q, A any](ctx context.Context, d *Router, r assignment.Record, limit time.Duration, c *wire.Procedure[Q, A], local func(context.Context, *Q) (*A, error), q *Q) (*A, error) {
	if r.Leader == "" {
		return nil, apierror.New(apierror.NoPartitionLeader, "partition %d has no owner yet", r.Partition)
	}
	cx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	if r.Leader == d.Self {
		return local(cx, q)
	}
	i, ok := d.View.Get(r.Leader)
	if !ok {
		return nil, apierror.New(apierror.NoPartitionLeader, "the owner %s of partition %d is gone", r.Leader, r.Partition)
	}
	return c.Call(cx, d.Net, d.Self, i.PeerAddr, q)
}

// Follow tells a partition's owner what this node follows, one time.
func (d *Router) Follow(ctx context.Context, r assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	q.Compress = d.CompressStreams
	a, err := once(ctx, d, r, d.Timing.CallTimeout(), Follow, d.follow, q)
	if err != nil {
		return nil, err
	}
	return a, a.Decompress()
}

// Poll reads what this node follows from a partition's owner, one time.
func (d *Router) Poll(ctx context.Context, r assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	q.Compress = d.CompressStreams
	a, err := once(ctx, d, r, q.Hold+d.Timing.CallTimeout(), Poll, d.poll, q)
	if err != nil {
		return nil, err
	}
	return a, a.Decompress()
}

// Subscribers asks a partition's owner how many listen to a topic, one time.
func (d *Router) Subscribers(ctx context.Context, p int, topic string) (int, error) {
	a, err := once(ctx, d, d.Store.Record(p), d.Timing.CallTimeout()/2, Subscribers, d.listeners, &SubscribersRequest{Partition: p, Topic: topic})
	if err != nil {
		return 0, err
	}
	return a.Count, nil
}
