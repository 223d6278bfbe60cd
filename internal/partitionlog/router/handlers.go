package router

import (
	"context"
	"net/http"

	"postjunction/internal/apierror"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
)

func (r *Router) leaderOf(partitionID int) (*leader.Leader, error) {
	return r.Leaders.Leader(partitionID)
}

func (r *Router) partitionOf(message *leader.Message) (int, error) {
	index := r.Store.Index()
	if index.Sequence < message.Configuration {
		return 0, apierror.New(apierror.NotReady, "the call was admitted under configuration %d, this node has %d",
			message.Configuration, index.Sequence)
	}
	namespace, err := index.Find(message.Topic)
	if err != nil {
		return 0, err
	}
	return partition.Of(message.Topic, namespace.Urgent, r.Store.VoterSet().Layout), nil
}

func (r *Router) submit(ctx context.Context, message *leader.Message) (*leader.Decision, error) {
	partitionID, err := r.partitionOf(message)
	if err != nil {
		return nil, err
	}
	partitionLeader, err := r.leaderOf(partitionID)
	if err != nil {
		return nil, err
	}
	return partitionLeader.Submit(ctx, message)
}

func (r *Router) attach(ctx context.Context, request *AttachRequest) (*AttachResponse, error) {
	partitionLeader, err := r.leaderOf(r.homeOf(request.Client, request.Urgent))
	if err != nil {
		return nil, err
	}
	generation, err := partitionLeader.Attach(ctx, request.Client, request.Secret, request.Generation)
	if err != nil {
		return nil, err
	}
	_, cursor, err := partitionLeader.Attachment(ctx, request.Client)
	return &AttachResponse{Generation: generation, SavedCursor: cursor}, err
}

func (r *Router) readAttachment(ctx context.Context, request *ReadAttachmentRequest) (*ReadAttachmentResponse, error) {
	partitionLeader, err := r.leaderOf(r.homeOf(request.Client, request.Urgent))
	if err != nil {
		return nil, err
	}
	attachment, cursor, err := partitionLeader.Attachment(ctx, request.Client)
	return &ReadAttachmentResponse{Attachment: attachment, SavedCursor: cursor}, err
}

func (r *Router) saveCursor(ctx context.Context, request *SaveCursorRequest) (*Empty, error) {
	partitionLeader, err := r.leaderOf(r.homeOf(request.Client, request.Urgent))
	if err != nil {
		return nil, err
	}
	return &Empty{}, partitionLeader.SaveCursor(ctx, request.Client, request.Generation, request.Cursor)
}

func (r *Router) read(ctx context.Context, request *leader.ReadRequest) (*leader.ReadResponse, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	request.MaxWait = min(request.MaxWait, r.Timing.LongPoll())
	return partitionLeader.Read(ctx, request)
}

func (r *Router) pendingReaders(ctx context.Context, request *PendingReadersRequest) (*leader.PendingReaders, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	return partitionLeader.PendingReaders(ctx, request.Offset, min(request.MaxWait, r.Timing.LongPoll()))
}

func (r *Router) usage(_ context.Context, request *UsageRequest) (*UsageResponse, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	usages, err := partitionLeader.Usage()
	return &UsageResponse{Topics: usages, Tombstones: partitionLeader.Tombstones()}, err
}

func (r *Router) trace(ctx context.Context, request *TraceRequest) (*TraceResponse, error) {
	namespace, err := r.Store.Index().Find(request.Topic)
	if err != nil {
		return nil, err
	}
	partitionLeader, err := r.leaderOf(partition.Of(request.Topic, namespace.Urgent, r.Store.VoterSet().Layout))
	if err != nil {
		return nil, err
	}
	calls, call, found, err := partitionLeader.CallStatus(ctx, request.Client, request.Topic, request.CallSeq)
	response := &TraceResponse{
		Partition:   partitionLeader.Record.Partition,
		Leader:      r.Self,
		Epoch:       partitionLeader.Record.Epoch,
		Accepted:    found,
		LastCallSeq: calls.Last,
		Forgotten:   !found && request.CallSeq <= calls.Floor,
	}
	if found {
		response.Offset = call.Offset
	}
	return response, err
}

// Serve adds the handlers of the calls that this node answers for the partitions that it leads.
func (r *Router) Serve(mux *http.ServeMux) {
	Submit.Handle(mux, r.submit)
	SubmitMany.Handle(mux, r.submitMany)
	Attach.Handle(mux, r.attach)
	ReadAttachment.Handle(mux, r.readAttachment)
	SaveCursor.Handle(mux, r.saveCursor)
	Read.Handle(mux, r.read)
	Usage.Handle(mux, r.usage)
	PendingReaders.Handle(mux, r.pendingReaders)
	Trace.Handle(mux, r.trace)
	r.serveFollowers(mux)
}

func (r *Router) submitMany(ctx context.Context, request *SubmitManyRequest) (*SubmitManyResponse, error) {
	partitionLeader, err := r.leaderOf(request.Partition)
	if err != nil {
		return nil, err
	}
	response := &SubmitManyResponse{Outcomes: make([]leader.Outcome, len(request.Messages))}
	var messages []*leader.Message
	var indexes []int
	for i, message := range request.Messages {
		if err := r.checkPartition(message, request.Partition); err != nil {
			response.Outcomes[i].Err = apierror.From(err)
			continue
		}
		messages, indexes = append(messages, message), append(indexes, i)
	}
	for i, outcome := range partitionLeader.SubmitMany(ctx, messages) {
		response.Outcomes[indexes[i]] = outcome
	}
	return response, nil
}

func (r *Router) checkPartition(message *leader.Message, partitionID int) error {
	actual, err := r.partitionOf(message)
	if err == nil && actual != partitionID {
		err = apierror.New(apierror.NotPartitionLeader, "topic %s is in partition %d, not %d",
			message.Topic, actual, partitionID)
	}
	return err
}
