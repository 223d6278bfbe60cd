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

// Acceptance is the answer to an accepted description. KeptLanes names what stands in another lane than its space asks for.
type Acceptance struct {
	Sequence  uint64               `json:"sequence"`
	KeptLanes []configuration.Lane `json:"kept_lanes,omitempty"`
}

// ReadConfiguration reads the current description back, confirmed by a majority.
func (s *Service) ReadConfiguration(ctx context.Context) (any, error) {
	d, err := s.CurrentConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	d.Lanes = configuration.Lanes{}
	return json.RawMessage(d.Marshal()), nil
}

// CurrentConfiguration gives the current description, confirmed by a majority.
func (s *Service) CurrentConfiguration(ctx context.Context) (configuration.Config, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	c, err := readAs(ctx, s, quorumread.ConfigurationKey, parseRegister)
	if err != nil {
		return configuration.Config{}, err
	}
	if c.value.current.Sequence == 0 {
		return configuration.Config{}, c.refuse(apierror.ConfigurationMissing, "no description was put yet")
	}
	return c.value.current, nil
}

// Put takes a whole description, built on the sequence last seen.
func (s *Service) Put(ctx context.Context, b []byte) (any, error) {
	d, err := configuration.Parse(b)
	if err != nil {
		s.Log.Log(event.ConfigurationFault, "problem", err)
		return nil, err
	}
	ctx, stop := s.limit(ctx)
	defer stop()
	a, err := s.Replace(ctx, d)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Replace takes a whole description that was read elsewhere, built on the sequence last seen, and says yes once it was
// accepted. The very same order again is a yes for good, also when others were accepted on top of it, as far as the
// register remembers; past that the outcome is unknown and never a refusal. Where the outcome of a try is not known it
// is asked for until the context ends.
func (s *Service) Replace(ctx context.Context, d configuration.Config) (*Acceptance, error) {
	return s.report(s.replace(ctx, d.Normalized(), false))
}

// report logs the outcome of an order.
func (s *Service) report(a *Acceptance, err error) (*Acceptance, error) {
	if err != nil {
		s.Log.Log(event.ConfigurationFault, "problem", err)
		return nil, err
	}
	s.Log.Log(event.ConfigurationAccepted, "sequence", a.Sequence)
	if n := len(a.KeptLanes); n > 0 {
		s.Log.Log(event.LanesKept, "sequence", a.Sequence, "prefixes", n, "first", a.KeptLanes[0].Prefix, "urgent", a.KeptLanes[0].Urgent)
	}
	return a, nil
}

// settled problems are final answers to an order; after all others the register is asked again.
var settled = map[apierror.Code]bool{apierror.ConfigurationConflict: true, apierror.ConfigurationInvalid: true, apierror.OutcomeUnknown: true, apierror.Oversize: true}

// replace tries an order until its outcome is known. doubt tells that an earlier try may have been accepted.
func (s *Service) replace(ctx context.Context, d configuration.Config, doubt bool) (*Acceptance, error) {
	if err := s.check(d); err != nil {
		return nil, err
	}
	o := orderlog.OrderOf(d)
	for {
		a, err := s.try(ctx, d, o)
		if err == nil || settled[apierror.From(err).Code] {
			return a, err
		}
		if apierror.HasCode(err, apierror.StaleBase) && ctx.Err() == nil {
			continue
		}
		doubt = doubt || apierror.HasCode(err, apierror.NoMajority) || apierror.HasCode(err, apierror.Unreachable)
		if !doubt && !apierror.HasCode(err, apierror.StaleVoterSet) {
			return nil, err
		}
		if e := s.Clock.Sleep(ctx, s.Timing.MaxBackoff()); e != nil {
			return nil, outcome(doubt, err)
		}
	}
}

// try reads the register by quorum and, where the order builds on what stands there, changes it on the count that was
// read. All tries of an order share the change's name, so the register takes it once.
func (s *Service) try(ctx context.Context, d configuration.Config, o orderlog.Order) (*Acceptance, error) {
	c, err := readAs(ctx, s, quorumread.ConfigurationKey, parseRegister)
	if err != nil {
		return nil, err
	}
	cur, log := c.value.current, c.value.log
	switch {
	case log.Contains(o) && o.Sequence == cur.Sequence:
		return s.accepted(cur), nil
	case log.Contains(o):
		return &Acceptance{Sequence: o.Sequence}, nil
	case !log.Covers(o):
		return nil, apierror.New(apierror.OutcomeUnknown, "which orders were accepted up to %d is no longer known; current is %d", log.ForgottenThrough, cur.Sequence).WithCurrent(cur.Sequence)
	case cur.Sequence != d.Base:
		return nil, c.refuse(apierror.ConfigurationConflict, "the description builds on %d, current is %d", d.Base, cur.Sequence).WithCurrent(cur.Sequence)
	}
	n, err := s.stand(ctx, d, cur)
	if err != nil {
		return nil, err
	}
	body := n.Marshal()
	if len(body) > configuration.MaxEncodedBytes {
		return nil, apierror.New(apierror.Oversize, "the description takes %d bytes with its source, the limit is %d", len(body), configuration.MaxEncodedBytes)
	}
	q := &register.ChangeRequest{Key: quorumread.ConfigurationKey, BaseVersion: c.value.writes, ChangeID: o.ChangeID(), Body: body, Metadata: log.Append(o).Marshal()}
	if _, err := s.Client.Write(ctx, q); err != nil {
		return nil, err
	}
	return s.accepted(n), nil
}

// stateRegister is what the description's register holds: the current description, the log of accepted orders, and the count
// of writes that a change builds on.
type stateRegister struct {
	writes  uint64
	current configuration.Config
	log     orderlog.Log
}

// parseRegister reads the description's register. Older builds wrote no log.
func parseRegister(v acceptor.Value) (r stateRegister, err error) {
	r.writes = v.Version
	if r.current, err = quorumread.Parse(v); err != nil {
		return r, apierror.Wrap(apierror.Internal, err, "read the current description")
	}
	if len(v.Metadata) == 0 {
		r.log = orderlog.StartAt(r.current)
		return r, nil
	}
	r.log, err = orderlog.Parse(v.Metadata)
	return r, err
}

// check finds the faults that need no other description, those against the fleet's bounds among them.
func (s *Service) check(d configuration.Config) error {
	f := d.Faults()
	for i, x := range d.Spaces {
		if most := uint64(s.Timing.MaxRetention().Milliseconds()); x.RetentionMS > most {
			f = append(f, apierror.Fault{Path: fmt.Sprintf("$.spaces[%d].keep_ms", i), Message: fmt.Sprintf("must be at most ten times the fleet's keeping (%d), is %d", most, x.RetentionMS)})
		}
	}
	return configuration.FaultsError(f)
}

func outcome(doubt bool, err error) error {
	if !doubt {
		return err
	}
	p := apierror.New(apierror.OutcomeUnknown, "the description may or may not have been accepted; read it back to learn which: %v", err)
	p.Current = apierror.From(err).Current
	return p
}

func (s *Service) accepted(d configuration.Config) *Acceptance {
	s.Store.Apply(gossip.Update{Configuration: &d})
	return &Acceptance{Sequence: d.Sequence, KeptLanes: d.KeptLanes()}
}
