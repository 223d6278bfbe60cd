// Package bootstrap makes the first roster: all founding disks agree, then it is opened on each.
package bootstrap

import (
	"context"
	"slices"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/voters"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Bootstrapper works out who founds from the settings and the answers at those addresses.
type Bootstrapper struct {
	opts settings.Options
	net  wire.Network
	self func() membership.Info
}

// New makes a founder.
func New(o settings.Options, n wire.Network, self func() membership.Info) *Bootstrapper {
	return &Bootstrapper{opts: o, net: n, self: self}
}

// Plan gives the founding roster, once every node that may take part has answered.
// A fleet that stands already, seen at any of them, ends the plan.
func (f *Bootstrapper) Plan(ctx context.Context) (voters.Set, error) {
	if f.opts.BootstrapBy == settings.BootstrapNever {
		return voters.Set{}, apierror.New(apierror.NotBootstrapped, "this disk came back empty: it founds nothing and waits for a seat")
	}
	addrs := f.opts.Founders
	named := len(addrs) > 0
	seeds := !named && f.opts.BootstrapBy == settings.BootstrapSeeds
	if seeds {
		addrs = f.opts.Seeds
	} else if !named {
		addrs = append([]string{f.opts.DialAddress()}, f.opts.Seeds...)
	}
	slices.Sort(addrs)
	addrs = slices.Compact(slices.Clone(addrs))
	as := quorum.Gather(ctx, addrs, func(ctx context.Context, a string) (membership.Info, error) {
		if a == f.opts.DialAddress() {
			return f.self(), nil
		}
		cx, stop := context.WithTimeout(ctx, f.opts.Timing().CallTimeout())
		defer stop()
		h, err := membership.Identify.Call(cx, f.net, f.opts.Name, a, &membership.IdentifyRequest{})
		if err != nil {
			return membership.Info{}, err
		}
		return h.Info, nil
	}, nil)
	if err := quorum.FirstError(as); err != nil || len(as) < len(addrs) {
		return voters.Set{}, apierror.WithCause(apierror.NotBootstrapped, err, "%d of %d founding addresses answered", len(quorum.Successes(as)), len(addrs))
	}
	var seats []voters.Voter
	for _, a := range as {
		if a.Value.VoterSet > 0 {
			return voters.Set{}, apierror.New(apierror.StaleVoterSet, "%s is under roster %d already", a.Value.Name, a.Value.VoterSet).WithCurrent(a.Value.VoterSet)
		}
		if a.Value.Disk == settings.DiskControl {
			seats = append(seats, voters.Voter{Node: a.Value.Name, Addr: a.Value.PeerAddr, Incarnation: a.Value.Incarnation})
		} else if named {
			return voters.Set{}, apierror.New(apierror.NotBootstrapped, "founder %s at %s has no control disk", a.Value.Name, a.Target)
		}
	}
	if len(seats) == 0 && seeds {
		i := f.self()
		seats = []voters.Voter{{Node: i.Name, Addr: i.PeerAddr, Incarnation: i.Incarnation}}
	}
	if len(seats) == 0 {
		return voters.Set{}, apierror.New(apierror.NotBootstrapped, "no founding address has a control disk")
	}
	return voters.NewSet(seats, voters.Layout{RoutinePartitions: f.opts.RoutinePartitions, UrgentPartitions: f.opts.UrgentPartitions, ToleratedLosses: f.opts.ToleratedLosses}), nil
}

// Agree checks a proposed founding against this node's own plan.
func (f *Bootstrapper) Agree(ctx context.Context, r voters.Set) error {
	p, err := f.Plan(ctx)
	if err != nil {
		return err
	}
	if p.Fleet != r.Fleet || p.Layout != r.Layout {
		return apierror.New(apierror.NotBootstrapped, "this node would found with %s, not %s; check seeds, founders and partitions", names(p), names(r))
	}
	return nil
}

func names(r voters.Set) string {
	var s []string
	for _, x := range r.Voters {
		s = append(s, x.Node)
	}
	return strings.Join(s, ",")
}

// leave gets the leave to found alone from every seed, one after the other, so that of several voters at most one gets them all.
func (f *Bootstrapper) leave(ctx context.Context, r voters.Set) error {
	addrs := slices.Sorted(slices.Values(f.opts.Seeds))
	for _, a := range slices.Compact(addrs) {
		cx, stop := context.WithTimeout(ctx, f.opts.Timing().CallTimeout())
		_, err := Grant.Call(cx, f.net, f.opts.Name, a, &GrantRequest{Node: f.opts.Name, Incarnation: r.Voters[0].Incarnation})
		stop()
		if err != nil {
			return apierror.WithCause(apierror.NotBootstrapped, err, "no seed has a control disk, and %s gave no leave to found alone", a)
		}
	}
	return nil
}

// Try founds the fleet if this node is the first of the founders.
func (f *Bootstrapper) Try(ctx context.Context) (voters.Set, error) {
	r, err := f.Plan(ctx)
	if err != nil {
		return r, err
	}
	if r.Voters[0].Node != f.opts.Name {
		return r, apierror.New(apierror.NotBootstrapped, "%s founds the fleet", r.Voters[0].Node)
	}
	if f.opts.BootstrapBy == settings.BootstrapSeeds && len(f.opts.Founders) == 0 && !slices.Contains(f.opts.Seeds, f.opts.DialAddress()) {
		if err := f.leave(ctx, r); err != nil {
			return r, err
		}
	}
	ask := func(do func(context.Context, voters.Voter) (*acceptor.Empty, error)) error {
		as := quorum.Gather(ctx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.Empty, error) {
			cx, stop := context.WithTimeout(ctx, f.opts.Timing().CallTimeout())
			defer stop()
			return do(cx, s)
		}, nil)
		if err := quorum.FirstError(as); err != nil || len(as) < len(r.Voters) {
			return apierror.WithCause(apierror.NotBootstrapped, err, "%d of %d founding disks agreed", len(quorum.Successes(as)), len(r.Voters))
		}
		return nil
	}
	if err := ask(func(ctx context.Context, s voters.Voter) (*acceptor.Empty, error) {
		return acceptor.Bootstrap.Call(ctx, f.net, f.opts.Name, s.Addr, &acceptor.BootstrapRequest{Incarnation: s.Incarnation, VoterSet: r})
	}); err != nil {
		return r, err
	}
	return r, ask(func(ctx context.Context, s voters.Voter) (*acceptor.Empty, error) {
		return acceptor.Activate.Call(ctx, f.net, f.opts.Name, s.Addr, &acceptor.ActivateRequest{Incarnation: s.Incarnation, VoterSet: r, Bootstrap: true})
	})
}
