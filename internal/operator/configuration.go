package operator

import (
	"context"
	"encoding/json"
	"fmt"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/quorumread"
	"postjunction/internal/control/register"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/operator/orderlog"
)

// Acceptance is the response to an accepted configuration. OverriddenLanes lists the prefixes whose
// topics are in another lane than their space asks for.
type Acceptance struct {
	Sequence        uint64               `json:"sequence"`
	OverriddenLanes []configuration.Lane `json:"kept_lanes,omitempty"`
}

// ReadConfiguration returns the current configuration as JSON, confirmed by a majority. It fails
// with code ConfigurationMissing if there is none yet.
func (s *Service) ReadConfiguration(ctx context.Context) (any, error) {
	config, err := s.CurrentConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	config.Lanes = configuration.Lanes{}
	return json.RawMessage(config.Marshal()), nil
}

// CurrentConfiguration returns the current configuration, confirmed by a majority. It fails with
// code ConfigurationMissing if there is none yet.
func (s *Service) CurrentConfiguration(ctx context.Context) (configuration.Config, error) {
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	state, err := readAs(ctx, s, quorumread.ConfigurationKey, parseRegister)
	if err != nil {
		return configuration.Config{}, err
	}
	if state.value.current.Sequence == 0 {
		return configuration.Config{}, state.refuse(apierror.ConfigurationMissing, "no description was put yet")
	}
	return state.value.current, nil
}

// Put replaces the configuration with a complete one in JSON, which names the sequence number that
// it builds on, and returns an *Acceptance. It fails like Replace.
func (s *Service) Put(ctx context.Context, document []byte) (any, error) {
	config, err := configuration.Parse(document)
	if err != nil {
		s.Log.Log(event.ConfigurationFault, "problem", err)
		return nil, err
	}
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	acceptance, err := s.Replace(ctx, config)
	if err != nil {
		return nil, err
	}
	return acceptance, nil
}

// Replace replaces the configuration with a complete one, which names the sequence number that it
// builds on, and returns once it was accepted.
//
// An accepted order that is sent again succeeds again, also after others were accepted on top of
// it, as long as the register remembers it. After that it fails with code OutcomeUnknown, never
// with a rejection. If the outcome of an attempt is unknown, the register is read until the outcome
// is known. If ctx ends first, Replace fails with OutcomeUnknown. It fails with
// ConfigurationConflict if the base is not the current sequence number, and with
// ConfigurationInvalid or Oversize if the configuration is not valid.
func (s *Service) Replace(ctx context.Context, config configuration.Config) (*Acceptance, error) {
	return s.logOutcome(s.replace(ctx, config.Normalized(), false))
}

// logOutcome logs the outcome of an order and returns it.
func (s *Service) logOutcome(acceptance *Acceptance, err error) (*Acceptance, error) {
	if err != nil {
		s.Log.Log(event.ConfigurationFault, "problem", err)
		return nil, err
	}
	s.Log.Log(event.ConfigurationAccepted, "sequence", acceptance.Sequence)
	if overridden := acceptance.OverriddenLanes; len(overridden) > 0 {
		s.Log.Log(event.LanesUnchanged, "sequence", acceptance.Sequence,
			"prefixes", len(overridden), "first", overridden[0].Prefix, "urgent", overridden[0].Urgent)
	}
	return acceptance, nil
}

// decidedCodes are the codes of final answers to an order. After any other code the register is
// read again.
var decidedCodes = map[apierror.Code]bool{
	apierror.ConfigurationConflict: true,
	apierror.ConfigurationInvalid:  true,
	apierror.OutcomeUnknown:        true,
	apierror.Oversize:              true,
}

// replace attempts an order until its outcome is known. uncertain says that an earlier attempt may
// have been accepted.
func (s *Service) replace(ctx context.Context, config configuration.Config, uncertain bool) (*Acceptance, error) {
	if err := s.check(config); err != nil {
		return nil, err
	}
	order := orderlog.OrderOf(config)
	for {
		acceptance, err := s.attempt(ctx, config, order)
		if err == nil || decidedCodes[apierror.From(err).Code] {
			return acceptance, err
		}
		if apierror.HasCode(err, apierror.StaleBase) && ctx.Err() == nil {
			continue
		}
		uncertain = uncertain || apierror.HasCode(err, apierror.NoMajority) ||
			apierror.HasCode(err, apierror.Unreachable)
		if !uncertain && !apierror.HasCode(err, apierror.StaleVoterSet) {
			return nil, err
		}
		if s.Clock.Sleep(ctx, s.Timing.MaxBackoff()) != nil {
			return nil, outcomeError(uncertain, err)
		}
	}
}

// attempt reads the register by quorum. If the order builds on the configuration that was read,
// attempt writes the order's configuration on condition that the register still has that version.
// All attempts of an order have the same change ID, so the register accepts the order only once.
func (s *Service) attempt(
	ctx context.Context, config configuration.Config, order orderlog.Order,
) (*Acceptance, error) {
	state, err := readAs(ctx, s, quorumread.ConfigurationKey, parseRegister)
	if err != nil {
		return nil, err
	}
	current, log := state.value.current, state.value.log
	switch {
	case log.Contains(order) && order.Sequence == current.Sequence:
		return s.accepted(current), nil
	case log.Contains(order):
		return &Acceptance{Sequence: order.Sequence}, nil
	case !log.Covers(order):
		return nil, apierror.New(apierror.OutcomeUnknown,
			"it is no longer known which orders up to %d were accepted; current is %d",
			log.ForgottenThrough, current.Sequence).WithCurrent(current.Sequence)
	case current.Sequence != config.Base:
		return nil, state.refuse(apierror.ConfigurationConflict, "the description builds on %d, current is %d",
			config.Base, current.Sequence).WithCurrent(current.Sequence)
	}
	next, err := s.withLanes(ctx, config, current)
	if err != nil {
		return nil, err
	}
	body := next.Marshal()
	if len(body) > configuration.MaxEncodedBytes {
		return nil, apierror.New(apierror.Oversize, "the description takes %d bytes with its source, the limit is %d",
			len(body), configuration.MaxEncodedBytes)
	}
	request := &register.ChangeRequest{
		Key:         quorumread.ConfigurationKey,
		BaseVersion: state.value.version,
		ChangeID:    order.ChangeID(),
		Body:        body,
		Metadata:    log.Append(order).Marshal(),
	}
	if _, err := s.Client.Write(ctx, request); err != nil {
		return nil, err
	}
	return s.accepted(next), nil
}

// registerState is the content of the configuration's register: the current configuration, the log
// of accepted orders, and the version that a change builds on.
type registerState struct {
	version uint64
	current configuration.Config
	log     orderlog.Log
}

// parseRegister parses the value of the configuration's register. Older builds wrote no log.
func parseRegister(value acceptor.Value) (state registerState, err error) {
	state.version = value.Version
	if state.current, err = quorumread.Parse(value); err != nil {
		return state, apierror.Wrap(apierror.Internal, err, "read the current description")
	}
	if len(value.Metadata) == 0 {
		state.log = orderlog.StartAt(state.current)
		return state, nil
	}
	state.log, err = orderlog.Parse(value.Metadata)
	return state, err
}

// check finds the faults that can be found without any other configuration, including values beyond
// the fleet's limits.
func (s *Service) check(config configuration.Config) error {
	faults := config.Faults()
	limit := uint64(s.Timing.MaxRetention().Milliseconds())
	for i, space := range config.Spaces {
		if space.RetentionMS <= limit {
			continue
		}
		faults = append(faults, apierror.Fault{
			Path:    fmt.Sprintf("$.spaces[%d].keep_ms", i),
			Message: fmt.Sprintf("must be at most ten times the fleet's keeping (%d), is %d", limit, space.RetentionMS),
		})
	}
	return configuration.FaultsError(faults)
}

// outcomeError returns err, or OutcomeUnknown if a change may have been accepted.
func outcomeError(uncertain bool, err error) error {
	if !uncertain {
		return err
	}
	unknown := apierror.New(apierror.OutcomeUnknown,
		"the description may or may not have been accepted; read it back to learn which: %v", err)
	unknown.Current = apierror.From(err).Current
	return unknown
}

// accepted passes the accepted configuration to this node's store, and returns the response to its
// order.
func (s *Service) accepted(config configuration.Config) *Acceptance {
	s.Store.Apply(gossip.Update{Configuration: &config})
	return &Acceptance{Sequence: config.Sequence, OverriddenLanes: config.OverriddenLanes()}
}
