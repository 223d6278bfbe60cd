package operator

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/control/registerclient"
)

const retiredKey = "spaces/retired"

// stand makes a description of what an operator wrote and where lines stand. The table of lanes, once there is one, says it all;
// before, the current spaces and the removed ones do.
func (s *Service) stand(ctx context.Context, d, cur configuration.Config) (configuration.Config, error) {
	known := cur.Lanes.IsDefined()
	if !d.StandingLanes && !known {
		if err := d.CheckSuccession(cur); err != nil {
			return d, err
		}
		return d, s.retire(ctx, d, cur)
	}
	r := configuration.RemovedSpaces{}
	if !known {
		v, err := s.Client.Read(ctx, retiredKey)
		if err != nil {
			return d, err
		}
		if r, err = configuration.ParseRemovedSpaces(v.Body); err != nil {
			return d, err
		}
	}
	d = d.WithLanes(cur, r)
	return d, d.CheckLanes()
}

// retire keeps the urgency of every space that a description removes, before the description is changed, and checks spaces that come back against it.
// Names kept by a description that then loses its race do no harm: they stand with the urgency that they have.
func (s *Service) retire(ctx context.Context, d, cur configuration.Config) error {
	for {
		v, err := s.Client.Read(ctx, retiredKey)
		if err != nil {
			return err
		}
		r, err := configuration.ParseRemovedSpaces(v.Body)
		if err != nil {
			return err
		}
		more, err := r.Check(d, cur)
		if err != nil || !more {
			return err
		}
		_, err = s.Client.Change(ctx, retiredKey, v.Version, registerclient.NewChangeID(), r.Marshal())
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !apierror.HasCode(err, apierror.StaleBase) {
			return apierror.WithCause(apierror.NoMajority, err, "nothing was changed: the removed spaces could not be noted")
		}
	}
}
