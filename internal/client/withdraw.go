package client

import (
	"context"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/callpolicy"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

func (s *Service) withdraw(ctx context.Context, t *Request) error {
	if (t.WithdrawSender == "") != (t.WithdrawUpTo == 0) {
		return apierror.New(apierror.Malformed, "of, a sender's name, and upto, its number from 1, go together")
	}
	if t.WithdrawSender != "" {
		if err := log.CheckName("of", t.WithdrawSender); err != nil {
			return err
		}
	}
	d, err := s.submit(ctx, t, &leader.Message{Withdraw: true, WithdrawSender: t.WithdrawSender, WithdrawUpTo: t.WithdrawUpTo})
	if err != nil {
		return err
	}
	t.mark = *d
	return nil
}

// forget waits for every reader of the partition, apart from the places of calls under way, and for a call's time at most.
func (s *Service) forget(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	if err := next(ctx, t); err != nil {
		return err
	}
	m := t.mark
	given, err := s.awaited(ctx, m, func(ctx context.Context) (*leader.PendingReaders, error) {
		return s.Router.PendingReaders(ctx, m.Partition, m.Offset, s.Timing.LongPoll())
	})
	if err != nil {
		return err
	}
	t.out = Withdrawal{Topic: t.Topics[0], Key: *t.Key, CallSeq: t.CallSeq, Partition: m.Partition, Offset: m.Offset, Duplicate: m.Duplicate, AlreadyWithdrawn: m.AlreadyWithdrawn, Complete: true, GivenUp: given}
	return nil
}

// awaited asks who has not forgotten until nobody is left, and names them once the time is over.
func (s *Service) awaited(ctx context.Context, m leader.Decision, ask func(context.Context) (*leader.PendingReaders, error)) ([]string, error) {
	ctx, stop := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer stop()
	var left []string
	for {
		u, err := ask(ctx)
		if err == nil && len(u.Nodes) == 0 {
			return append([]string{}, u.GivenUp...), nil
		}
		if err == nil {
			left = u.Nodes
		}
		if err != nil || s.Clock.Sleep(ctx, s.Timing.InitialBackoff()) != nil {
			return nil, unheard(m, left, err)
		}
	}
}

func unheard(m leader.Decision, left []string, err error) error {
	if len(left) == 0 {
		return apierror.New(apierror.WithdrawalOpen, "the mark stands at offset %d of partition %d; who has to forget could not be asked: %v", m.Offset, m.Partition, err)
	}
	var fs []apierror.Fault
	for _, n := range left {
		fs = append(fs, apierror.Fault{Path: n, Message: "has not read behind the mark"})
	}
	return apierror.New(apierror.WithdrawalOpen, "the mark stands at offset %d of partition %d; not heard: %s", m.Offset, m.Partition, strings.Join(left, ", ")).WithFaults(fs)
}
