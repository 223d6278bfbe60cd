package register

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
)

// retryLocally has the error codes of a forwarded request after which the node that forwarded it
// claims the key itself.
var retryLocally = map[apierror.Code]bool{
	apierror.Unreachable:     true,
	apierror.NotKeyLeader:    true,
	apierror.ShuttingDown:    true,
	apierror.NotBootstrapped: true,
}

// Change writes a key and returns its new value once a majority has accepted it. It also returns
// the value if an earlier attempt of the same change has written it. Errors are StaleBase if the
// key has another version than the change builds on, NoMajority if the outcome is unknown, and
// those of a claim.
func (p *Proposer) Change(ctx context.Context, request *ChangeRequest) (*acceptor.Value, error) {
	uncertain := false
	for forwarded := *request; ; {
		if addr, ok := p.otherLeader(request.Key); ok && forwarded.Forwards < maxForwards {
			forwarded.Forwards++
			value, err := askLeader(ctx, p, func(ctx context.Context) (*acceptor.Value, error) {
				return Change.Call(ctx, p.network, p.self, addr, &forwarded)
			})
			if err == nil || !retryLocally[apierror.From(err).Code] {
				return value, withUncertainty(err, uncertain, request.Key)
			}
			uncertain = uncertain || apierror.HasCode(err, apierror.Unreachable)
			p.forgetLeader(request.Key)
			forwarded.Forwards = maxForwards
		}
		canForward := forwarded.Forwards < maxForwards
		value, err := p.changeLocally(ctx, request, uncertain, canForward)
		_, ledElsewhere := p.otherLeader(request.Key)
		if ledElsewhere && canForward && apierror.HasCode(err, apierror.NotKeyLeader) {
			continue
		}
		return value, err
	}
}

// askLeader calls the presumed leader with the forward timeout. After that timeout the caller
// claims the key.
func askLeader[Response any](
	ctx context.Context, p *Proposer, call func(context.Context) (Response, error),
) (Response, error) {
	ctx, stop := context.WithTimeout(ctx, p.timing.ForwardTimeout())
	defer stop()
	return call(ctx)
}

// withUncertainty turns a stale base into an unknown outcome if uncertain is set: an earlier
// attempt of the same change may be what changed the key.
func withUncertainty(err error, uncertain bool, key string) error {
	if uncertain && apierror.HasCode(err, apierror.StaleBase) {
		return apierror.New(apierror.NoMajority,
			"%s changed while its leader was unreachable; the outcome is unknown", key)
	}
	return err
}

func (p *Proposer) changeLocally(
	ctx context.Context, request *ChangeRequest, uncertain, yield bool,
) (*acceptor.Value, error) {
	unlock, err := p.locks.Lock(ctx, request.Key)
	if err != nil {
		return nil, err
	}
	defer unlock()
	state, err := p.acquire(ctx, request.Key, yield)
	if err != nil {
		return nil, err
	}
	current := state.value
	if request.ChangeID != "" && current.ChangeID == request.ChangeID {
		return &current, nil
	}
	isStale := current.Version != request.BaseVersion
	if isStale && !p.confirmEpoch(ctx, request.Key, state) {
		p.stopLeading(request.Key)
		return nil, apierror.New(apierror.NotKeyLeader, "%s was claimed by another node", request.Key)
	}
	if isStale {
		stale := apierror.New(apierror.StaleBase, "%s has version %d, the change builds on %d",
			request.Key, current.Version, request.BaseVersion).WithCurrent(current.Version)
		return nil, withUncertainty(stale, uncertain, request.Key)
	}
	next := acceptor.Value{
		Version:  request.BaseVersion + 1,
		ChangeID: request.ChangeID,
		Body:     request.Body,
		Metadata: request.Metadata,
	}
	if err := p.accept(ctx, request.Key, state, next); err != nil {
		return nil, err
	}
	return &next, nil
}
