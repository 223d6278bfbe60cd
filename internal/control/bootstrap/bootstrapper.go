// Package bootstrap makes the first voter set of a fleet: all founding control disks agree on it,
// then it is activated on each of them.
//
// A fleet is bootstrapped once. Who the founders are follows from the settings of each node and
// from what the nodes at those addresses say; a founder accepts only the voter set that it would
// have planned itself. Where no seed has a control disk, one disk bootstraps alone, with a grant
// from every seed (Granter), so that two never do.
//
// A Bootstrapper has no state of its own and may be used by several goroutines. Its calls block for
// at most the call time-out each.
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

// Bootstrapper plans and activates the first voter set on behalf of one control node.
type Bootstrapper struct {
	options settings.Options
	network wire.Network
	self    func() membership.Info
}

// New returns a bootstrapper with the settings of its node; self returns what that node says of
// itself.
func New(options settings.Options, network wire.Network, self func() membership.Info) *Bootstrapper {
	return &Bootstrapper{options: options, network: network, self: self}
}

// Plan returns the first voter set, once every node that may take part has answered. It returns
// NotBootstrapped while some haven't or the settings keep this node from it, and StaleVoterSet when
// one of them belongs to a fleet already.
func (b *Bootstrapper) Plan(ctx context.Context) (voters.Set, error) {
	if b.options.BootstrapBy == settings.BootstrapNever {
		return voters.Set{}, apierror.New(apierror.NotBootstrapped,
			"this disk came back empty: it bootstraps nothing and waits to become a voter")
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

// isBySeeds reports whether the seeds alone found the fleet.
func (b *Bootstrapper) seedsBootstrap() bool {
	return !b.hasNamedFounders() && b.options.BootstrapBy == settings.BootstrapSeeds
}

// founderAddresses returns the addresses of the nodes that may be founders, sorted, each once.
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

// identify asks the nodes at these addresses who they are. It returns NotBootstrapped when one
// doesn't answer.
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
			"%d of %d founding addresses answered", len(quorum.Successes(results)), len(addresses))
	}
	return results, nil
}

// founders returns those of the nodes that found the fleet: the ones with a control disk, or this
// node alone where only seeds may found and none has such a disk.
func (b *Bootstrapper) founders(nodes []quorum.Result[string, membership.Info]) ([]voters.Voter, error) {
	var founders []voters.Voter
	for _, result := range nodes {
		node := result.Value
		switch {
		case node.VoterSet > 0:
			return nil, apierror.New(apierror.StaleVoterSet, "%s is under voter set %d already", node.Name, node.VoterSet).
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
		return nil, apierror.New(apierror.NotBootstrapped, "no founding address has a control disk")
	}
	return founders, nil
}

func voterOf(node membership.Info) voters.Voter {
	return voters.Voter{Node: node.Name, Addr: node.PeerAddr, Incarnation: node.Incarnation}
}

// Agree checks a first voter set that another node proposes against this node's own plan. It
// returns the errors of Plan, and NotBootstrapped when the two differ.
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
// set. It returns the errors of Plan, and NotBootstrapped when that is another node's task or when
// a founder doesn't agree; it may be called again after any of them.
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

// askFounders makes a call to every founder at once and returns NotBootstrapped unless all succeed.
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
			"%d of %d founding disks agreed", len(quorum.Successes(results)), len(planned.Voters))
	}
	return nil
}

// collectGrants gets the grant to bootstrap alone from every seed, one after the other in the order
// of their addresses, so that of several control nodes at most one gets them all.
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
