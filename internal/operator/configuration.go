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

// Acceptance is the answer to an accepted configuration. KeptLanes names what stands in another
// lane than its space asks for.
type Acceptance struct {
	Sequence  uint64               `json:"sequence"`
	KeptLanes []configuration.Lane `json:"kept_lanes,omitempty"`
}

// ReadConfiguration returns the current configuration as JSON, confirmed by a majority. It fails
// with code ConfigurationMissing before there is one.
func (s *Service) ReadConfiguration(ctx context.Context) (any, error) {
	config, err := s.CurrentConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	config.Lanes = configuration.Lanes{}
	return json.RawMessage(config.Marshal()), nil
}

// CurrentConfiguration returns the current configuration, confirmed by a majority. It fails with
// code ConfigurationMissing before there is one.
func (s *Service) CurrentConfiguration(ctx context.Context) (configuration.Config, error) {
	ctx, cancel := s.limit(ctx)
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

// Put replaces the configuration with a complete one in JSON, built on the sequence number last
// seen, and returns an *Acceptance. Fails like Replace.
func (s *Service) Put(ctx context.Context, document []byte) (any, error) {
	config, err := configuration.Parse(document)
	if err != nil {
		s.Log.Log(event.ConfigurationFault, "problem", err)
		return nil, err
	}
	ctx, cancel := s.limit(ctx)
	defer cancel()
	acceptance, err := s.Replace(ctx, config)
	if err != nil {
		return nil, err
	}
	return acceptance, nil
}

// Replace replaces the configuration with a complete one, built on the sequence number last seen,
// and returns once it was accepted. The very same order again succeeds for good, also when others
// were accepted on top of it, as far as the register remembers; past that it fails with code
// OutcomeUnknown, never with a rejection. Where the outcome of an attempt is not known it is asked
// for until ctx ends, and then fails with OutcomeUnknown. Fails with ConfigurationConflict on
// another base than the current one, with ConfigurationInvalid or Oversize for a configuration that
// can't be.
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
	if kept := acceptance.KeptLanes; len(kept) > 0 {
		s.Log.Log(event.LanesUnchanged, "sequence", acceptance.Sequence,
			"prefixes", len(kept), "first", kept[0].Prefix, "urgent", kept[0].Urgent)
	}
	return acceptance, nil
}

// decidedCodes are those of final answers to an order. After all others the register is asked
// again.
var decidedCodes = map[apierror.Code]bool{
	apierror.ConfigurationConflict: true,
	apierror.ConfigurationInvalid:  true,
	apierror.OutcomeUnknown:        true,
	apierror.Oversize:              true,
}

// replace attempts an order until its outcome is known. uncertain reports that an earlier attempt
// may have been accepted.
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

// attempt reads the register by quorum and, where the order builds on what stands there, changes it
// on the version that was read. All attempts of an order share the change's ID, so the register
// takes it once.
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
			"which orders were accepted up to %d is no longer known; current is %d",
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

// registerState is what the configuration's register holds: the current configuration, the log of
// accepted orders, and the version that a change builds on.
type registerState struct {
	version uint64
	current configuration.Config
	log     orderlog.Log
}

// parseRegister reads the configuration's register. Older builds wrote no log.
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

// check finds the faults that need no other configuration, those against the fleet's limits among
// them.
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

// outcomeError returns err, or, where a change may have been accepted, that its outcome is unknown.
func outcomeError(uncertain bool, err error) error {
	if !uncertain {
		return err
	}
	unknown := apierror.New(apierror.OutcomeUnknown,
		"the description may or may not have been accepted; read it back to learn which: %v", err)
	unknown.Current = apierror.From(err).Current
	return unknown
}

// accepted takes in the configuration that now stands, and returns the answer to its order.
func (s *Service) accepted(config configuration.Config) *Acceptance {
	s.Store.Apply(gossip.Update{Configuration: &config})
	return &Acceptance{Sequence: config.Sequence, KeptLanes: config.KeptLanes()}
}
