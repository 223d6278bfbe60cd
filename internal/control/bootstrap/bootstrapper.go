// Package bootstrap creates the first voter set of a fleet. The control disks of all founders agree
// to it, then it is activated on each of them.
//
// A fleet is bootstrapped once. The founders follow from the settings of each node and from the
// responses of the nodes at the addresses in them. A founder agrees only to the voter set that it
// would have planned itself. If no seed has a control disk, one disk bootstraps alone. It needs a
// grant from every seed (Granter), so that two disks never do.
//
// A Bootstrapper has no state of its own and may be used by several goroutines. Each of its calls
// blocks for at most the call timeout.
package bootstrap

import (
	"context"
	"slices"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Bootstrapper plans and activates the first voter set for one control node.
type Bootstrapper struct {
	options settings.Options
	network wire.Network
	self    func() membership.Info
}

// New returns a bootstrapper with the settings of its node. self returns the membership info of
// that node.
func New(options settings.Options, network wire.Network, self func() membership.Info) *Bootstrapper {
	return &Bootstrapper{options: options, network: network, self: self}
}

// Plan returns the first voter set once every possible founder has answered. It returns
// NotBootstrapped while some have not, or if the settings forbid this node to bootstrap. It returns
// StaleVoterSet if one of them belongs to a fleet already.
func (b *Bootstrapper) Plan(ctx context.Context) (voters.Set, error) {
	if b.options.BootstrapBy == settings.BootstrapNever {
		return voters.Set{}, apierror.New(apierror.NotBootstrapped,
			"the settings forbid this empty disk to bootstrap a fleet; it waits to become a voter")
	}
	nodes, err := b.identify(ctx, b.founderAddresses())
	if err != nil {
		return voters.Set{}, err
	}
	founders, err := b.founders(nodes)
	if err != nil {
		return voters.Set{}, err
	}
	return voters.NewSet(founders, voters.Layout{
		RoutinePartitions: b.options.RoutinePartitions,
		UrgentPartitions:  b.options.UrgentPartitions,
		ToleratedLosses:   b.options.ToleratedLosses,
	}), nil
}

func (b *Bootstrapper) hasNamedFounders() bool { return len(b.options.Founders) > 0 }

// seedsBootstrap reports whether only seeds may be founders.
func (b *Bootstrapper) seedsBootstrap() bool {
	return !b.hasNamedFounders() && b.options.BootstrapBy == settings.BootstrapSeeds
}

// founderAddresses returns the addresses of the nodes that may be founders, sorted and without
// duplicates.
func (b *Bootstrapper) founderAddresses() []string {
	var addresses []string
	switch {
	case b.hasNamedFounders():
		addresses = slices.Clone(b.options.Founders)
	case b.seedsBootstrap():
		addresses = slices.Clone(b.options.Seeds)
	default:
		addresses = append([]string{b.options.DialAddress()}, b.options.Seeds...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// identify returns the membership infos of the nodes at these addresses. It returns NotBootstrapped
// if one does not answer.
func (b *Bootstrapper) identify(
	ctx context.Context, addresses []string,
) ([]quorum.Result[string, membership.Info], error) {
	results := quorum.Gather(ctx, addresses, func(ctx context.Context, address string) (membership.Info, error) {
		if address == b.options.DialAddress() {
			return b.self(), nil
		}
		callCtx, cancel := context.WithTimeout(ctx, b.options.Timing().CallTimeout())
		defer cancel()
		request := &membership.IdentifyRequest{}
		response, err := membership.Identify.Call(callCtx, b.network, b.options.Name, address, request)
		if err != nil {
			return membership.Info{}, err
		}
		return response.Info, nil
	}, nil)
	if err := quorum.FirstError(results); err != nil || len(results) < len(addresses) {
		return nil, apierror.WithCause(apierror.NotBootstrapped, err,
			"%d of %d addresses of founders answered", len(quorum.Successes(results)), len(addresses))
	}
	return results, nil
}

// founders returns the founders among the nodes: those with a control disk. If only seeds may be
// founders and none has a control disk, this node is the only founder.
func (b *Bootstrapper) founders(nodes []quorum.Result[string, membership.Info]) ([]voters.Voter, error) {
	var founders []voters.Voter
	for _, result := range nodes {
		node := result.Value
		switch {
		case node.VoterSet > 0:
			return nil, apierror.New(apierror.StaleVoterSet, "%s is already under voter set %d", node.Name, node.VoterSet).
				WithCurrent(node.VoterSet)
		case node.Disk == settings.DiskControl:
			founders = append(founders, voterOf(node))
		case b.hasNamedFounders():
			return nil, apierror.New(apierror.NotBootstrapped,
				"founder %s at %s has no control disk", node.Name, result.Target)
		}
	}
	if len(founders) == 0 && b.seedsBootstrap() {
		return []voters.Voter{voterOf(b.self())}, nil
	}
	if len(founders) == 0 {
		return nil, apierror.New(apierror.NotBootstrapped, "no node at the addresses of founders has a control disk")
	}
	return founders, nil
}

func voterOf(node membership.Info) voters.Voter {
	return voters.Voter{Node: node.Name, Addr: node.PeerAddr, Incarnation: node.Incarnation}
}

// Agree compares a first voter set that another node proposes with this node's own plan. It returns
// the errors of Plan, and NotBootstrapped if the two differ.
func (b *Bootstrapper) Agree(ctx context.Context, proposed voters.Set) error {
	planned, err := b.Plan(ctx)
	if err != nil {
		return err
	}
	if planned.Fleet != proposed.Fleet || planned.Layout != proposed.Layout {
		return apierror.New(apierror.NotBootstrapped,
			"this node would bootstrap with %s, not %s; check seeds, founders and partitions",
			nodeNames(planned), nodeNames(proposed))
	}
	return nil
}

func nodeNames(set voters.Set) string {
	var names []string
	for _, voter := range set.Voters {
		names = append(names, voter.Node)
	}
	return strings.Join(names, ",")
}

// Try bootstraps the fleet if this node is the first of the founders, and returns the first voter
// set. It returns the errors of Plan, and NotBootstrapped if another node is the first founder or a
// founder does not agree. It may be called again after any of these errors.
func (b *Bootstrapper) Try(ctx context.Context) (voters.Set, error) {
	planned, err := b.Plan(ctx)
	if err != nil {
		return planned, err
	}
	if planned.Voters[0].Node != b.options.Name {
		return planned, apierror.New(apierror.NotBootstrapped, "%s bootstraps the fleet", planned.Voters[0].Node)
	}
	if b.seedsBootstrap() && !slices.Contains(b.options.Seeds, b.options.DialAddress()) {
		if err := b.collectGrants(ctx, planned); err != nil {
			return planned, err
		}
	}
	if err := b.askFounders(ctx, planned, func(ctx context.Context, voter voters.Voter) error {
		request := &acceptor.BootstrapRequest{Incarnation: voter.Incarnation, VoterSet: planned}
		_, err := acceptor.Bootstrap.Call(ctx, b.network, b.options.Name, voter.Addr, request)
		return err
	}); err != nil {
		return planned, err
	}
	return planned, b.askFounders(ctx, planned, func(ctx context.Context, voter voters.Voter) error {
		request := &acceptor.ActivateRequest{Incarnation: voter.Incarnation, VoterSet: planned, Bootstrap: true}
		_, err := acceptor.Activate.Call(ctx, b.network, b.options.Name, voter.Addr, request)
		return err
	})
}

// askFounders calls every founder at once. It returns NotBootstrapped unless all calls succeed.
func (b *Bootstrapper) askFounders(
	ctx context.Context, planned voters.Set, call func(context.Context, voters.Voter) error,
) error {
	results := quorum.Gather(ctx, planned.Voters, func(ctx context.Context, voter voters.Voter) (struct{}, error) {
		callCtx, cancel := context.WithTimeout(ctx, b.options.Timing().CallTimeout())
		defer cancel()
		return struct{}{}, call(callCtx, voter)
	}, nil)
	if err := quorum.FirstError(results); err != nil || len(results) < len(planned.Voters) {
		return apierror.WithCause(apierror.NotBootstrapped, err,
			"%d of %d disks of founders agreed", len(quorum.Successes(results)), len(planned.Voters))
	}
	return nil
}

// collectGrants requests the grant to bootstrap alone from every seed, one after the other in the
// order of their addresses, so that at most one of several control nodes gets all grants.
func (b *Bootstrapper) collectGrants(ctx context.Context, planned voters.Set) error {
	seeds := slices.Sorted(slices.Values(b.options.Seeds))
	request := &GrantRequest{Node: b.options.Name, Incarnation: planned.Voters[0].Incarnation}
	for _, seed := range slices.Compact(seeds) {
		callCtx, cancel := context.WithTimeout(ctx, b.options.Timing().CallTimeout())
		_, err := Grant.Call(callCtx, b.network, b.options.Name, seed, request)
		cancel()
		if err != nil {
			return apierror.WithCause(apierror.NotBootstrapped, err,
				"no seed has a control disk, and %s did not grant a bootstrap alone", seed)
		}
	}
	return nil
}
