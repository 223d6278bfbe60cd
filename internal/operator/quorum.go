package operator

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/voters"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
)

// confirmed is a value that a majority of voters stood for after the operator had asked. Only readAs and askMajority make
// one, and final answers, refusals among them, are made from nothing else: a node that is cut off, lags or was away says
// that it can't tell. A test reads this package's source for that.
type confirmed[T any] struct{ value T }

// refuse makes a final refusal that rests on the confirmed value.
func (c confirmed[T]) refuse(k apierror.Code, f string, a ...any) *apierror.Error {
	return apierror.New(k, f, a...)
}

// with gives another value that follows from this one.
func with[T, U any](c confirmed[T], f func(T) (U, error)) (confirmed[U], error) {
	u, err := f(c.value)
	return confirmed[U]{u}, err
}

// readAs reads a control key by quorum. While the voters change nobody can tell, and it asks again.
func readAs[T any](ctx context.Context, s *Service, key string, parse func(acceptor.Value) (T, error)) (c confirmed[T], err error) {
	v, err := s.Client.Read(ctx, key)
	for apierror.HasCode(err, apierror.StaleVoterSet) && s.Clock.Sleep(ctx, s.Timing.MaxBackoff()) == nil {
		v, err = s.Client.Read(ctx, key)
	}
	if err != nil {
		return c, err
	}
	return with(confirmed[acceptor.Value]{v}, parse)
}

// machines are nodes by name, as several control nodes know them.
type machines map[string][]membership.Info

// askMajority asks the control nodes which machines they know until a majority of the voters has answered.
func (s *Service) askMajority(ctx context.Context) (c confirmed[machines], err error) {
	r := s.Store.VoterSet()
	cx, stop := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer stop()
	as := quorum.Gather(cx, r.Voters, s.known, func(as []quorum.Result[voters.Voter, []membership.Info]) bool {
		return len(quorum.Successes(as)) >= r.Majority()
	})
	good := quorum.Successes(as)
	if r.Sequence == 0 || len(good) < r.Majority() {
		return c, apierror.WithCause(apierror.NoMajority, quorum.FirstError(as), "%d of %d control nodes told which machines they know", len(good), len(r.Voters))
	}
	c.value = machines{}
	for _, a := range good {
		for _, i := range a.Value {
			c.value[i.Name] = append(c.value[i.Name], i)
		}
	}
	return c, nil
}

// known asks the control node of a seat which machines it knows, itself among them.
func (s *Service) known(ctx context.Context, to voters.Voter) ([]membership.Info, error) {
	a, err := membership.Identify.Call(ctx, s.Net, s.Info().Name, to.Addr, &membership.IdentifyRequest{})
	if err != nil {
		return nil, err
	}
	if a.Info.Incarnation != to.Incarnation {
		return nil, apierror.New(apierror.WrongDisk, "%s has another disk than its seat", to.Node)
	}
	return append(a.Known, a.Info), nil
}
