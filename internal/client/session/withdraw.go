package session

import (
	"context"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/partitionlog/leader"
)

const maxKeyBytes = 128

// checkKey returns an error if a message key can't be accepted.
func (r *Registry) checkKey(key string) error {
	if !isPrintable(key, maxKeyBytes) {
		return apierror.New(apierror.Malformed, "a key must be 1 to %d printable bytes without spaces", maxKeyBytes)
	}
	return r.PartitionLog.CheckKeysSupported()
}

func (s *Session) withdraw(request Request) error {
	space, partition, err := s.find(request.Topic)
	if err != nil {
		return err
	}
	if request.CallSeq == 0 {
		return apierror.New(apierror.Malformed, "call_seq must be above 0")
	}
	if !hasValidSender(request) {
		return apierror.New(apierror.Malformed, "a sender (of) and its highest number (upto, above 0) go together")
	}
	if err := s.registry.checkKey(request.Key); err != nil {
		return err
	}
	deadline := s.registry.decisionDeadline(space)
	message := &leader.Message{
		Client:         s.name,
		Topic:          request.Topic,
		CallSeq:        request.CallSeq,
		Key:            request.Key,
		Withdraw:       true,
		WithdrawSender: request.WithdrawSender,
		WithdrawUpTo:   request.WithdrawUpTo,
		Live:           space.Kind == configuration.KindLive,
		Configuration:  s.registry.Store.Index().Sequence,
	}
	onDecision := func(decision *leader.Decision, err error) {
		if err != nil {
			s.reject(request, err)
			return
		}
		go s.awaitReaders(request, partition, decision, deadline)
	}
	s.registry.PartitionLog.SubmitAsync(s.registry.ctx, partition, message, deadline, onDecision)
	return nil
}

// hasValidSender reports whether a withdrawal names both a sender and its highest number, or
// neither.
func hasValidSender(request Request) bool {
	if request.WithdrawSender == "" {
		return request.WithdrawUpTo == 0
	}
	return request.WithdrawUpTo > 0 && isPrintable(request.WithdrawSender, maxNameBytes)
}

// awaitReaders answers a committed withdrawal once every node that reads the partition has read
// past its tombstone. At the deadline it answers with an error that names the nodes that have not.
func (s *Session) awaitReaders(request Request, partition int, decision *leader.Decision, deadline time.Time) {
	r := s.registry
	response := Response{
		Type:             WithdrawalComplete,
		Topic:            request.Topic,
		CallSeq:          request.CallSeq,
		Key:              request.Key,
		AlreadyWithdrawn: decision.AlreadyWithdrawn,
	}
	for retries := 0; ; retries++ {
		pending, err := r.pendingReaders(partition, decision.Offset, deadline)
		if err == nil {
			response.GivenUp = pending.GivenUp
			if len(pending.Nodes) == 0 {
				s.sink(response)
				return
			}
		}
		remaining := deadline.Sub(r.Clock.Now())
		if remaining > 0 && r.Clock.Sleep(r.ctx, min(remaining, r.Timing.Backoff(retries))) == nil {
			continue
		}
		response.Type, response.InReplyTo, response.AlreadyWithdrawn = Rejected, request.Verb, false
		response.Err = errWithdrawalOpen(request.Key, pending, err)
		s.sink(response)
		return
	}
}

func errWithdrawalOpen(key string, pending *leader.PendingReaders, cause error) error {
	if cause != nil {
		return apierror.WithCause(apierror.WithdrawalOpen, cause,
			"the messages under %s were withdrawn; the pending readers could not be queried", key)
	}
	return apierror.New(apierror.WithdrawalOpen,
		"the messages under %s were withdrawn; %s did not confirm having read past it",
		key, strings.Join(pending.Nodes, ", "))
}

// pendingReaders queries once which nodes have not read past an offset. The leader may wait for
// them until the deadline; its response may take one backoff longer.
func (r *Registry) pendingReaders(partition int, offset uint64, deadline time.Time) (*leader.PendingReaders, error) {
	remaining := max(deadline.Sub(r.Clock.Now()), 0)
	ctx, cancel := context.WithTimeout(r.ctx, remaining+r.Timing.MaxBackoff())
	defer cancel()
	return r.PartitionLog.PendingReaders(ctx, partition, offset, min(remaining, r.Timing.LongPoll()))
}
