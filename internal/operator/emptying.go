package operator

import (
	"context"

	"postjunction/internal/placement/drain"
	"postjunction/internal/problem"
)

// Emptying tells how far the emptying of a machine is. One that holds nothing counts as done.
func (s *Service) Emptying(ctx context.Context, node string) (drain.Drain, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	v, err := s.Client.Read(ctx, drain.Key)
	if err != nil {
		return drain.Drain{}, err
	}
	b := drain.Parse(v.Body)
	if x, ok := b[node]; ok {
		return x, nil
	}
	switch _, err := s.askable(ctx, node, b); {
	case problem.Has(err, problem.AlreadyEmpty):
		return drain.Drain{Node: node, Done: true}, nil
	case err != nil && !problem.Has(err, problem.DrainUnsafe):
		return drain.Drain{}, err
	}
	return drain.Drain{}, problem.New(problem.UnknownNode, "the emptying of %q was not asked for", node)
}
