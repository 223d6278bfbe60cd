package router

import (
	"context"
	"net/http"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/wire"
)

// SubscribersRequest asks how many subscribers a topic has.
type SubscribersRequest struct {
	Partition int    `json:"p"`
	Topic     string `json:"t"`
}

// SubscribersResponse holds the number of subscribers.
type SubscribersResponse struct {
	Count int `json:"n"`
}

// The procedures for nodes that follow topics.
var (
	Follow = wire.NewProcedure[leader.FollowRequest, leader.FollowResponse]("Ledger", "Follow", wire.Monotonic,
		"wishes of a feed are numbered; an old number changes nothing")
	Poll = wire.NewProcedure[leader.PollRequest, leader.PollResponse]("Ledger", "Poll", wire.ReadOnly,
		"committed entries behind a place; the place that it confirms only rises")
	Subscribers = wire.NewProcedure[SubscribersRequest, SubscribersResponse]("Ledger", "Listeners", wire.ReadOnly,
		"counts")
)

func (r *Router) follow(ctx context.Context, request *leader.FollowRequest) (*leader.FollowResponse, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	return partitionLeader.Follow(ctx, request)
}

func (r *Router) poll(ctx context.Context, request *leader.PollRequest) (*leader.PollResponse, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	request.MaxWait = min(request.MaxWait, r.Timing.Spread)
	return partitionLeader.Poll(ctx, request)
}

func (r *Router) subscribers(_ context.Context, request *SubscribersRequest) (*SubscribersResponse, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	count, err := partitionLeader.Subscribers(request.Topic)
	return &SubscribersResponse{Count: count}, err
}

func (r *Router) serveFollowers(mux *http.ServeMux) {
	Follow.Handle(mux, compressing(r.follow, func(request *leader.FollowRequest) bool { return request.Compress }))
	Poll.Handle(mux, compressing(r.poll, func(request *leader.PollRequest) bool { return request.Compress }))
	Subscribers.Handle(mux, r.subscribers)
}

// compressing wraps a handler. It compresses the bodies of the response where the request asks for
// that.
func compressing[Req, Res any, P interface {
	*Res
	Compress()
}](
	handler func(context.Context, *Req) (P, error), wantsCompression func(*Req) bool,
) func(context.Context, *Req) (*Res, error) {
	return func(ctx context.Context, request *Req) (*Res, error) {
		response, err := handler(ctx, request)
		if err == nil && wantsCompression(request) {
			response.Compress()
		}
		return response, err
	}
}

// callOnce calls the leader that a record names, in one attempt.
func callOnce[Req, Res any](
	ctx context.Context, router *Router, record assignment.Record, timeout time.Duration,
	procedure *wire.Procedure[Req, Res], local func(context.Context, *Req) (*Res, error), request *Req,
) (*Res, error) {
	address, err := router.leaderAddress(record.Partition, record)
	if err != nil {
		return nil, err
	}
	callCtx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	if record.Leader == router.Self {
		return local(callCtx, request)
	}
	return procedure.Call(callCtx, router.Net, router.Self, address, request)
}

// Follow informs a partition's leader of what this node follows, in one attempt.
func (r *Router) Follow(
	ctx context.Context, record assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	request.Compress = r.CompressStreams
	response, err := callOnce(ctx, r, record, r.Timing.CallTimeout(), Follow, r.follow, request)
	if err != nil {
		return nil, err
	}
	return response, response.Decompress()
}

// Poll polls a partition's leader for what this node follows, in one attempt.
func (r *Router) Poll(
	ctx context.Context, record assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	request.Compress = r.CompressStreams
	response, err := callOnce(ctx, r, record, request.MaxWait+r.Timing.CallTimeout(), Poll, r.poll, request)
	if err != nil {
		return nil, err
	}
	return response, response.Decompress()
}

// Subscribers returns how many subscribers a topic has on all nodes, in one attempt.
func (r *Router) Subscribers(ctx context.Context, partitionID int, topic string) (int, error) {
	request := &SubscribersRequest{Partition: partitionID, Topic: topic}
	record, timeout := r.Store.Record(partitionID), r.Timing.CallTimeout()/2
	response, err := callOnce(ctx, r, record, timeout, Subscribers, r.subscribers, request)
	if err != nil {
		return 0, err
	}
	return response.Count, nil
}
