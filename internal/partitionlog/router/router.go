// Package router submits work on partitions from any node. It finds the partition and its leader in
// the records that gossip spreads. It runs the call on this node or forwards it, and retries until
// the leader decided or another attempt can't succeed.
//
// Invariants: messages that one node submits for a partition reach the leader in that order. Each
// is answered once, by its deadline at the latest. The errors no_owner and overloaded promise that
// the message never was and never will be accepted by this call. A client gets only what is known
// of its call number (RejectCallNumber).
//
// A Router runs one goroutine for each partition that messages wait for, and one for its batch in
// flight. Its queues and epochs have locks of their own, none of which is held during a call.
// Submit and the other calls block until they are answered or ctx ends. SubmitAsync never blocks.
package router

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Leaders finds the partition leaders on this node. Leader returns NotPartitionLeader where this
// node does not lead the partition.
type Leaders interface {
	Leader(partitionID int) (*leader.Leader, error)
}

// Router submits a node's work on partitions. Its exported fields are set before use.
type Router struct {
	Self    string
	Net     wire.Network
	Clock   clock.Clock
	Timing  settings.Timing
	Store   *gossip.Store
	View    *membership.View
	Leaders Leaders
	epochs  leaderEpochs
	// Backlog returns how many messages may wait here for one partition. With nil there is no
	// bound.
	Backlog func() int
	// CompressStreams asks leaders to compress the bodies of followed topics' messages.
	CompressStreams bool

	queues submitQueues
}

// Submit has a message decided by its partition's leader and returns once that is committed.
func (r *Router) Submit(ctx context.Context, partitionID int, message *leader.Message) (*leader.Decision, error) {
	return forward(ctx, r, partitionID, Submit, r.submit, message)
}

// homeOf returns a client's urgent or routine home: the partition that records its attachment.
func (r *Router) homeOf(client string, urgent bool) int {
	return partition.OfClient(client, urgent, r.Store.VoterSet().Layout)
}

// UsesTwoHomes reports whether attachments are recorded in an urgent partition too. They are if the
// layout has urgent partitions, once the build of every member supports that.
func (r *Router) UsesTwoHomes() bool {
	for _, member := range r.View.All() {
		if !member.SupportsTwoHomes {
			return false
		}
	}
	return r.Store.VoterSet().Layout.UrgentPartitions > 0
}

// CheckKeysSupported returns NotReady until the build of every member supports keys and
// withdrawals.
func (r *Router) CheckKeysSupported() error {
	for _, member := range r.View.All() {
		if !member.SupportsKeys {
			return apierror.New(apierror.NotReady, "the build of %s does not support keys", member.Name)
		}
	}
	return nil
}

// HomePartition returns the partition that has a client's attachment for its urgent or routine
// calls.
func (r *Router) HomePartition(client string, urgent bool) int {
	return r.homeOf(client, urgent && r.UsesTwoHomes())
}

// Attach has an attachment recorded. The client's routine home assigns its generation, then the
// urgent home records it too.
func (r *Router) Attach(ctx context.Context, request *AttachRequest) (*AttachResponse, error) {
	response, err := forward(ctx, r, r.homeOf(request.Client, false), Attach, r.attach, request)
	if err != nil || !r.UsesTwoHomes() {
		return response, err
	}
	return response, r.attachUrgentHome(ctx, request.Client, request.Secret, response.Generation)
}

// attachUrgentHome records an attachment in the urgent home.
func (r *Router) attachUrgentHome(ctx context.Context, client, secret string, generation uint64) error {
	request := &AttachRequest{Client: client, Secret: secret, Generation: generation, Urgent: true}
	_, err := forward(ctx, r, r.homeOf(client, true), Attach, r.attach, request)
	return err
}

// ReadAttachment returns the attachment in force. An urgent home may lack the given generation: an
// older build assigned it, or the call that attached failed between the two homes. The attachment
// is then copied from the routine home to the urgent one.
func (r *Router) ReadAttachment(
	ctx context.Context, client string, generation uint64, urgent bool,
) (*ReadAttachmentResponse, error) {
	urgent = urgent && r.UsesTwoHomes()
	request := &ReadAttachmentRequest{Client: client, Urgent: urgent}
	response, err := forward(ctx, r, r.homeOf(client, urgent), ReadAttachment, r.readAttachment, request)
	if err != nil || !urgent || response.Attachment.Generation >= generation {
		return response, err
	}
	request = &ReadAttachmentRequest{Client: client}
	routineResponse, err := forward(ctx, r, r.homeOf(client, false), ReadAttachment, r.readAttachment, request)
	if err == nil && routineResponse.Attachment.Generation == generation {
		err = r.attachUrgentHome(ctx, client, routineResponse.Attachment.Secret, generation)
	}
	return routineResponse, err
}

// SaveCursor saves a client's cursor, in both homes.
func (r *Router) SaveCursor(ctx context.Context, request *SaveCursorRequest) error {
	_, err := forward(ctx, r, r.homeOf(request.Client, false), SaveCursor, r.saveCursor, request)
	if err != nil || !r.UsesTwoHomes() {
		return err
	}
	urgentRequest := *request
	urgentRequest.Urgent = true
	_, err = forward(ctx, r, r.homeOf(request.Client, true), SaveCursor, r.saveCursor, &urgentRequest)
	return err
}

// Read returns committed entries of a partition, without the bodies of messages with keys.
func (r *Router) Read(
	ctx context.Context, partitionID int, from uint64, maxWait time.Duration,
) (*leader.ReadResponse, error) {
	return r.ReadAsReader(ctx, &leader.ReadRequest{Partition: partitionID, From: from, MaxWait: maxWait})
}

// ReadAsReader returns committed entries of a partition to a reader that may track tombstones.
func (r *Router) ReadAsReader(ctx context.Context, request *leader.ReadRequest) (*leader.ReadResponse, error) {
	return forward(ctx, r, request.Partition, Read, r.read, request)
}

// Trace returns whether the partition log has a call, and where.
func (r *Router) Trace(ctx context.Context, partitionID int, request *TraceRequest) (*TraceResponse, error) {
	return forward(ctx, r, partitionID, Trace, r.trace, request)
}

// PendingReaders returns which readers have not read past a tombstone of a partition. It waits up
// to maxWait until there are none.
func (r *Router) PendingReaders(
	ctx context.Context, partitionID int, offset uint64, maxWait time.Duration,
) (*leader.PendingReaders, error) {
	request := &PendingReadersRequest{Partition: partitionID, Offset: offset, MaxWait: maxWait}
	return forward(ctx, r, partitionID, PendingReaders, r.pendingReaders, request)
}

// Usage returns how a partition's topics were used.
func (r *Router) Usage(ctx context.Context, partitionID int) ([]leader.TopicUsage, error) {
	response, err := forward(ctx, r, partitionID, Usage, r.usage, &UsageRequest{Partition: partitionID})
	if err != nil {
		return nil, err
	}
	return response.Topics, nil
}

// Tombstones returns the status of a partition's tombstones and readers, nil where there are none.
func (r *Router) Tombstones(ctx context.Context, partitionID int) (*leader.TombstoneView, error) {
	response, err := forward(ctx, r, partitionID, Usage, r.usage, &UsageRequest{Partition: partitionID})
	if err != nil {
		return nil, err
	}
	return response.Tombstones, nil
}

// Record returns the newest record of a partition that is known here.
func (r *Router) Record(partitionID int) assignment.Record { return r.Store.Record(partitionID) }
