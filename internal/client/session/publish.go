package session

import (
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/partitionlog/leader"
)

func (s *Session) send(request Request) error {
	space, partition, err := s.find(request.Topic)
	if err != nil {
		return err
	}
	if request.CallSeq == 0 {
		return apierror.New(apierror.Malformed, "call_seq must be above 0")
	}
	if request.Key != "" {
		if err := s.registry.checkKey(request.Key); err != nil {
			return err
		}
	}
	if limit := s.registry.BodyLimit; len(request.Body) > limit {
		return apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", len(request.Body), limit)
	}
	message := &leader.Message{
		Client:        s.name,
		Topic:         request.Topic,
		CallSeq:       request.CallSeq,
		Body:          request.Body,
		Key:           request.Key,
		Live:          space.Kind == configuration.KindLive,
		Configuration: s.registry.Store.Index().Sequence,
	}
	respond := func(_ *leader.Decision, err error) {
		if err != nil {
			s.reject(request, err)
			return
		}
		s.sink(Response{Type: Accepted, Topic: request.Topic, CallSeq: request.CallSeq})
	}
	s.registry.PartitionLog.SubmitAsync(s.registry.ctx, partition, message, s.registry.decisionDeadline(space), respond)
	return nil
}

// A message may wait for its decision for 4/5 of the deadline of its space. The rest is for the
// transmission of the response.
const (
	decisionNumerator   = 4
	decisionDenominator = 5
)

// decisionDeadline returns the time until which a message that is sent now may wait for its
// decision.
func (r *Registry) decisionDeadline(space configuration.Space) time.Time {
	limit := r.Timing.CallTimeout()
	if space.DeadlineMS > 0 {
		limit = min(limit, time.Duration(space.DeadlineMS)*time.Millisecond)
	}
	return r.Clock.Now().Add(limit * decisionNumerator / decisionDenominator)
}
