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
// readAs and askMajority make one. Final answers, including refusals, are made from confirmed
// values only, so a node that is isolated, lags behind or was down can't give one. A test checks
// that in this package's source.
type confirmed[T any] struct{ value T }

// refuse makes a final refusal that is based on the confirmed value.
func (c confirmed[T]) refuse(code apierror.Code, format string, args ...any) *apierror.Error {
	return apierror.New(code, format, args...)
}

// derive returns the conversion of a confirmed value as a confirmed value.
func derive[T, U any](c confirmed[T], convert func(T) (U, error)) (confirmed[U], error) {
	value, err := convert(c.value)
	return confirmed[U]{value}, err
}

// readAs reads a control key by quorum. While the voter set is being changed the read fails, and
// readAs repeats it.
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

// machines are the nodes by name, each with what every control node that knows it reported.
type machines map[string][]membership.Info

// askMajority asks the control nodes which machines they know, until a majority of the voters has
// answered. It fails with code NoMajority if no majority answers within a call timeout.
func (s *Service) askMajority(ctx context.Context) (c confirmed[machines], err error) {
	voterSet := s.Store.VoterSet()
	callCtx, cancel := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer cancel()
	results := quorum.Gather(callCtx, voterSet.Voters, s.listMachines,
		func(results []quorum.Result[voters.Voter, []membership.Info]) bool {
			return len(quorum.Successes(results)) >= voterSet.Majority()
		})
	answers := quorum.Successes(results)
	if voterSet.Sequence == 0 || len(answers) < voterSet.Majority() {
		return c, apierror.WithCause(apierror.NoMajority, quorum.FirstError(results),
			"%d of %d control nodes reported which machines they know", len(answers), len(voterSet.Voters))
	}
	c.value = machines{}
	for _, answer := range answers {
		for _, info := range answer.Value {
			c.value[info.Name] = append(c.value[info.Name], info)
		}
	}
	return c, nil
}

// listMachines asks the control node of a voter which machines it knows, including itself.
func (s *Service) listMachines(ctx context.Context, voter voters.Voter) ([]membership.Info, error) {
	response, err := membership.Identify.Call(ctx, s.Net, s.Info().Name, voter.Addr, &membership.IdentifyRequest{})
	if err != nil {
		return nil, err
	}
	if response.Info.Incarnation != voter.Incarnation {
		return nil, apierror.New(apierror.WrongDisk, "%s doesn't have the disk that the voter set names", voter.Node)
	}
	return append(response.Known, response.Info), nil
}
