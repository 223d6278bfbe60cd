package operator

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/control/registerclient"
)

// removedSpacesKey is the control key of the spaces that configurations removed, with their
// urgency.
const removedSpacesKey = "spaces/retired"

// withLanes returns the operator's configuration with its table of lanes. The lanes of earlier
// topics are in the current table. Without a table they follow from the current and the removed
// spaces.
func (s *Service) withLanes(ctx context.Context, config, current configuration.Config) (configuration.Config, error) {
	hasTable := current.Lanes.IsDefined()
	if !config.UseAssignedLanes && !hasTable {
		if err := config.CheckSuccession(current); err != nil {
			return config, err
		}
		return config, s.recordRemovedSpaces(ctx, config, current)
	}
	removed := configuration.RemovedSpaces{}
	if !hasTable {
		value, err := s.Client.Read(ctx, removedSpacesKey)
		if err != nil {
			return config, err
		}
		if removed, err = configuration.ParseRemovedSpaces(value.Body); err != nil {
			return config, err
		}
	}
	config = config.WithLanes(current, removed)
	return config, config.CheckLanes()
}

// recordRemovedSpaces records the urgency of every space that a configuration removes, before the
// configuration is changed, and checks spaces that are added again against it. If another
// configuration is accepted first, the recorded names do no harm, since their urgency is the
// current one.
func (s *Service) recordRemovedSpaces(ctx context.Context, config, current configuration.Config) error {
	for {
		value, err := s.Client.Read(ctx, removedSpacesKey)
		if err != nil {
			return err
		}
		removed, err := configuration.ParseRemovedSpaces(value.Body)
		if err != nil {
			return err
		}
		changed, err := removed.Check(config, current)
		if err != nil || !changed {
			return err
		}
		changeID := registerclient.NewChangeID()
		_, err = s.Client.Change(ctx, removedSpacesKey, value.Version, changeID, removed.Marshal())
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !apierror.HasCode(err, apierror.StaleBase) {
			return apierror.WithCause(apierror.NoMajority, err,
				"nothing was changed: the removed spaces could not be recorded")
		}
	}
}
