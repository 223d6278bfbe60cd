package operator

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/client/rejections"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/quorum"
)

// Explanation is what the fleet knows about a client's call: its status in the partition log, and
// which nodes rejected it and why.
type Explanation struct {
	Client     string                `json:"visitor"`
	Topic      string                `json:"topic"`
	CallSeq    uint64                `json:"call_seq"`
	CallStatus *router.TraceResponse `json:"ledger,omitempty"`
	// CallStatusError is why there is no CallStatus.
	CallStatusError *apierror.Error        `json:"ledger_problem,omitempty"`
	Rejections      []rejections.Rejection `json:"turned_away"`
	// Complete is true if all live nodes answered.
	Complete bool `json:"whole"`
}

// Explain returns the *Explanation of an earlier call. It fails with code UnknownCall if all nodes
// and the partition leader answered, and none of them remembers the call.
func (s *Service) Explain(ctx context.Context, client, topic string, call uint64) (any, error) {
	if client == "" || topic == "" || call == 0 {
		return nil, apierror.New(apierror.Malformed, "name the visitor, the topic and the call_seq, which begins at 1")
	}
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	explanation := &Explanation{
		Client: client, Topic: topic, CallSeq: call, Complete: true, Rejections: []rejections.Rejection{},
	}
	var err error
	if explanation.CallStatus, err = s.trace(ctx, client, topic, call); err != nil {
		explanation.CallStatusError = apierror.From(err)
	}
	request := rejections.Request{Client: client, Topic: topic, CallSeq: call}
	ask := func(ctx context.Context, node membership.Info) ([]rejections.Rejection, error) {
		return s.Rejections(ctx, node, request)
	}
	for _, result := range quorum.Gather(ctx, s.View.All(), ask, nil) {
		explanation.Complete = explanation.Complete && result.Err == nil
		explanation.Rejections = append(explanation.Rejections, result.Value...)
	}
	slices.SortFunc(explanation.Rejections, func(a, b rejections.Rejection) int { return a.At.Compare(b.At) })
	if explanation.isUnknown() {
		last := explanation.CallStatus.LastCallSeq
		return nil, apierror.New(apierror.UnknownCall,
			"no node remembers call %d of %s on %s, and the partition log has accepted up to %d", call, client, topic,
			last).WithCurrent(last)
	}
	return explanation, nil
}

// trace asks the leader of the topic's partition for the status of a call.
func (s *Service) trace(ctx context.Context, client, topic string, call uint64) (*router.TraceResponse, error) {
	space, err := s.Store.Index().Find(topic)
	if err != nil {
		return nil, err
	}
	id := partition.Of(topic, space.Urgent, s.Store.VoterSet().Layout)
	return s.Trace(ctx, id, &router.TraceRequest{Client: client, Topic: topic, CallSeq: call})
}

// isUnknown reports whether all nodes and the partition leader answered, no node rejected the call,
// and its number is above those in the partition log.
func (e *Explanation) isUnknown() bool {
	return len(e.Rejections) == 0 && e.Complete && e.CallStatus != nil && e.CallStatus.LastCallSeq < e.CallSeq
}
