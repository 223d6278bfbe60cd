package client

import (
	"context"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/callpolicy"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

func (s *Service) withdraw(ctx context.Context, request *Request) error {
	if (request.WithdrawSender == "") != (request.WithdrawUpTo == 0) {
		return apierror.New(apierror.Malformed, "of, a sender's name, and upto, its number from 1, go together")
	}
	if request.WithdrawSender != "" {
		if err := log.CheckName("of", request.WithdrawSender); err != nil {
			return err
		}
	}
	decision, err := s.submit(
		ctx, request,
		&leader.Message{Withdraw: true, WithdrawSender: request.WithdrawSender, WithdrawUpTo: request.WithdrawUpTo},
	)
	if err != nil {
		return err
	}
	request.decision = *decision
	return nil
}

// awaitCompletion waits until every reader of the partition has read past the withdrawal, outside
// of the admission limit and for one call time-out at most.
func (s *Service) awaitCompletion(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	if err := next(ctx, request); err != nil {
		return err
	}
	decision := request.decision
	givenUp, err := s.awaitReaders(ctx, decision, func(ctx context.Context) (*leader.PendingReaders, error) {
		return s.Router.PendingReaders(ctx, decision.Partition, decision.Offset, s.Timing.LongPoll())
	})
	if err != nil {
		return err
	}
	request.response = Withdrawal{
		Topic:            request.Topics[0],
		Key:              *request.Key,
		CallSeq:          request.CallSeq,
		Partition:        decision.Partition,
		Offset:           decision.Offset,
		Duplicate:        decision.Duplicate,
		AlreadyWithdrawn: decision.AlreadyWithdrawn,
		Complete:         true,
		GivenUp:          givenUp,
	}
	return nil
}

// awaitReaders polls the pending readers until there are none, and returns the nodes that were
// given up. At the deadline it returns an error that names the pending nodes.
func (s *Service) awaitReaders(
	ctx context.Context, decision leader.Decision, ask func(context.Context) (*leader.PendingReaders, error),
) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer cancel()
	var pending []string
	for {
		readers, err := ask(ctx)
		if err == nil && len(readers.Nodes) == 0 {
			return append([]string{}, readers.GivenUp...), nil
		}
		if err == nil {
			pending = readers.Nodes
		}
		if err != nil || s.Clock.Sleep(ctx, s.Timing.InitialBackoff()) != nil {
			return nil, errWithdrawalOpen(decision, pending, err)
		}
	}
}

func errWithdrawalOpen(decision leader.Decision, pending []string, err error) error {
	if len(pending) == 0 {
		return apierror.New(apierror.WithdrawalOpen,
			"the tombstone is at offset %d of partition %d; the pending readers could not be queried: %v",
			decision.Offset, decision.Partition, err)
	}
	var faults []apierror.Fault
	for _, node := range pending {
		faults = append(faults, apierror.Fault{Path: node, Message: "has not read past the tombstone"})
	}
	open := apierror.New(apierror.WithdrawalOpen, "the tombstone is at offset %d of partition %d; pending: %s",
		decision.Offset, decision.Partition, strings.Join(pending, ", "))
	return open.WithFaults(faults)
}
