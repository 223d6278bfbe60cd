package operator

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// confirmed is a value that a majority of voters confirmed after the operator's call began. Only
// readAs and askMajority make one, and final answers, refusals among them, are made from nothing
// else: a node that is isolated, lags or was away says that it can't tell. A test reads this
// package's source for that.
type confirmed[T any] struct{ value T }

// refuse makes a final refusal that rests on the confirmed value.
func (c confirmed[T]) refuse(code apierror.Code, format string, args ...any) *apierror.Error {
	return apierror.New(code, format, args...)
}

// derive returns a value that follows from a confirmed one, as a confirmed one.
func derive[T, U any](c confirmed[T], convert func(T) (U, error)) (confirmed[U], error) {
	value, err := convert(c.value)
	return confirmed[U]{value}, err
}

// readAs reads a control key by quorum. While the voters change no one can tell, and it asks again.
func readAs[T any](
	ctx context.Context, s *Service, key string, parse func(acceptor.Value) (T, error),
) (c confirmed[T], err error) {
	value, err := s.Client.Read(ctx, key)
	for apierror.HasCode(err, apierror.StaleVoterSet) && s.Clock.Sleep(ctx, s.Timing.MaxBackoff()) == nil {
		value, err = s.Client.Read(ctx, key)
	}
	if err != nil {
		return c, err
	}
	return derive(confirmed[acceptor.Value]{value}, parse)
}

// machines are nodes by name, each as several control nodes know it.
type machines map[string][]membership.Info

// askMajority asks the control nodes which machines they know until a majority of the voters has
// answered. It fails with code NoMajority where none does within a call time-out.
func (s *Service) askMajority(ctx context.Context) (c confirmed[machines], err error) {
	voterSet := s.Store.VoterSet()
	callCtx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer cancel()
	results := quorum.Gather(callCtx, voterSet.Voters, s.machinesKnownTo,
		func(results []quorum.Result[voters.Voter, []membership.Info]) bool {
			return len(quorum.Successes(results)) >= voterSet.Majority()
		})
	answers := quorum.Successes(results)
	if voterSet.Sequence == 0 || len(answers) < voterSet.Majority() {
		return c, apierror.WithCause(apierror.NoMajority, quorum.FirstError(results),
			"%d of %d control nodes told which machines they know", len(answers), len(voterSet.Voters))
	}
	c.value = machines{}
	for _, answer := range answers {
		for _, info := range answer.Value {
			c.value[info.Name] = append(c.value[info.Name], info)
		}
	}
	return c, nil
}

// machinesKnownTo asks the control node of a voter which machines it knows, itself among them.
func (s *Service) machinesKnownTo(ctx context.Context, voter voters.Voter) ([]membership.Info, error) {
	response, err := membership.Identify.Call(ctx, s.Net, s.Info().Name, voter.Addr, &membership.IdentifyRequest{})
	if err != nil {
		return nil, err
	}
	if response.Info.Incarnation != voter.Incarnation {
		return nil, apierror.New(apierror.WrongDisk, "%s has another disk than its seat", voter.Node)
	}
	return append(response.Known, response.Info), nil
}
