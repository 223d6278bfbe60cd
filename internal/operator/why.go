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

// Explanation is what the fleet knows of a visitor's call: what the ledger decided, and which nodes turned it away and why.
type Explanation struct {
	Client     string                 `json:"visitor"`
	Topic      string                 `json:"topic"`
	Call       uint64                 `json:"call_seq"`
	Ledger     *router.TraceResponse  `json:"ledger,omitempty"`
	Problem    *apierror.Error        `json:"ledger_problem,omitempty"`
	Rejections []rejections.Rejection `json:"turned_away"`
	Complete   bool                   `json:"whole"`
}

// Explain explains a call after the fact.
func (s *Service) Explain(ctx context.Context, visitor, topic string, call uint64) (any, error) {
	if visitor == "" || topic == "" || call == 0 {
		return nil, apierror.New(apierror.Malformed, "name the visitor, the topic and the call_seq, which begins at 1")
	}
	ctx, stop := s.limit(ctx)
	defer stop()
	w := &Explanation{Client: visitor, Topic: topic, Call: call, Complete: true, Rejections: []rejections.Rejection{}}
	sp, err := s.Store.Index().Find(topic)
	if err == nil {
		w.Ledger, err = s.Trace(ctx, partition.Of(topic, sp.Urgent, s.Store.VoterSet().Layout), &router.TraceRequest{Client: visitor, Topic: topic, CallSeq: call})
	}
	if err != nil {
		w.Problem = apierror.From(err)
	}
	q := rejections.Request{Client: visitor, Topic: topic, CallSeq: call}
	for _, a := range quorum.Gather(ctx, s.View.All(), func(ctx context.Context, i membership.Info) ([]rejections.Rejection, error) {
		return s.Rejections(ctx, i, q)
	}, nil) {
		w.Complete = w.Complete && a.Err == nil
		w.Rejections = append(w.Rejections, a.Value...)
	}
	slices.SortFunc(w.Rejections, func(a, b rejections.Rejection) int { return a.At.Compare(b.At) })
	if len(w.Rejections) == 0 && w.Complete && w.Ledger != nil && w.Ledger.LastCallSeq < call {
		return nil, apierror.New(apierror.UnknownCall, "no node remembers call %d of %s on %s, and the ledger has taken up to %d", call, visitor, topic, w.Ledger.LastCallSeq).WithCurrent(w.Ledger.LastCallSeq)
	}
	return w, nil
}
