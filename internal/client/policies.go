package client

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/callpolicy"
	"postjunction/internal/client/admission"
	"postjunction/internal/client/token"
	"postjunction/internal/partitionlog/router"
)

const (
	maxTopics = 64
	// callTimeouts is how many call time-outs a call may take.
	callTimeouts = 2
)

func (s *Service) checkDraining(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	select {
	case <-s.Draining:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
		return next(ctx, request)
	}
}

func (s *Service) checkLease(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	if err := s.CheckLease(); err != nil {
		return err
	}
	return next(ctx, request)
}

func (s *Service) findSpaces(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	if len(request.Topics) == 0 || len(request.Topics) > maxTopics {
		return apierror.New(
			apierror.Malformed, "the call must name 1 to %d topics, names %d", maxTopics, len(request.Topics),
		)
	}
	index := s.Store.Index()
	for _, topic := range request.Topics {
		space, err := index.Find(topic)
		if err != nil {
			return err
		}
		request.spaces = append(request.spaces, space)
	}
	return next(ctx, request)
}

var lanes = map[string]admission.Lane{
	VerbAttach: admission.Attach, VerbFollow: admission.Stream, VerbAck: admission.Attach,
	VerbCount: admission.Routine, VerbSend: admission.Routine, VerbWithdraw: admission.Routine,
}

var urgentLanes = map[string]admission.Lane{
	VerbFollow:   admission.UrgentStream,
	VerbSend:     admission.Urgent,
	VerbWithdraw: admission.Urgent,
}

func (s *Service) admit(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	lane := lanes[request.Verb]
	if request.isUrgent() {
		lane = urgentLanes[request.Verb]
	}
	leave, err := s.Limiter.Acquire(lane)
	if err != nil {
		return err
	}
	defer leave()
	return next(ctx, request)
}

func (s *Service) limitTime(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeouts*s.Timing.CallTimeout())
	defer cancel()
	return next(callCtx, request)
}

func (s *Service) checkIdentity(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	identity, err := s.decodeToken(request)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeouts*s.Timing.CallTimeout())
	defer cancel()
	if err := s.identify(callCtx, request, identity, request.isUrgent()); err != nil {
		return err
	}
	return next(ctx, request)
}

// rejectCallNumber replaces the error of an admitted call by what is known of its call number
// (router.RejectCallNumber). The rejections of the policies before this one depend only on the node
// and its current state.
func (s *Service) rejectCallNumber(ctx context.Context, request *Request, next callpolicy.Next[*Request]) error {
	return router.RejectCallNumber(next(ctx, request))
}

func (s *Service) decodeToken(request *Request) (token.Token, error) {
	if request.Token == "" {
		return token.Token{}, apierror.New(apierror.TokenMissing, "the call has no bearer token")
	}
	identity, err := token.Decode(request.Token)
	if err == nil {
		request.Client = identity.Client
	}
	return identity, err
}

func (s *Service) identify(ctx context.Context, request *Request, identity token.Token, urgent bool) error {
	attachment, err := s.Router.ReadAttachment(ctx, identity.Client, identity.Generation, urgent)
	if err != nil {
		if apierror.HasCode(err, apierror.OutcomeUnknown) {
			err = apierror.New(apierror.NoPartitionLeader, "the attachment could not be checked: %v", err)
		}
		return err
	}
	switch generation := attachment.Attachment.Generation; {
	case generation > identity.Generation:
		return apierror.New(
			apierror.TokenFenced, "attachment %d of %s is in force, the token is of %d", generation,
			identity.Client, identity.Generation,
		)
	case generation < identity.Generation || !identity.Matches(attachment.Attachment.Secret):
		return apierror.New(apierror.TokenForeign, "the token is not the one given to %s", identity.Client)
	}
	request.identity, request.Client, request.savedCursor = identity, identity.Client, attachment.SavedCursor.Cursor
	return nil
}
