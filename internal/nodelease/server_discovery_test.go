package nodelease

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

var firstVoterSet = voters.NewSet([]voters.Voter{{Node: "c1", Addr: "127.0.0.1:1", Incarnation: "i"}}, voters.Layout{})

func newNamedManager(name string, store *gossip.Store) *Manager {
	options := settings.Default()
	options.Name, options.Seeds = name, nil
	return newManager(options, store, func() membership.Info { return membership.Info{Name: name} })
}

// Guards against control nodes that know one another and leave a seed alone that has restarted with
// nothing on disk.
func TestDiscoveryAddresses_SilentSeedIsContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := gossip.NewStore(nil)
		server := newServer("c1", settings.DefaultTiming, store, confirmedNow)
		server.Seeds = []string{"127.0.0.1:11", "127.0.0.1:12"}
		contacts := func() []string { return server.discoveryAddresses(server.needsDiscovery(), server.seedsFailed()) }
		assert.DeepEqual(t, contacts(), []string{"127.0.0.1:11", "127.0.0.1:12"})

		store.Apply(gossip.Update{VoterSet: &firstVoterSet})
		server.Table.Observe(membership.Info{Name: "c2", PeerAddr: "127.0.0.1:2", Disk: settings.DiskControl}, 0)
		server.Table.Observe(membership.Info{Name: "a1", PeerAddr: "127.0.0.1:11", Disk: settings.DiskNone}, 0)
		assert.DeepEqual(t, contacts(), []string{"127.0.0.1:12"})

		time.Sleep(settings.DefaultTiming.SessionTimeout() / silenceDivisor)
		assert.DeepEqual(t, contacts(), []string{"127.0.0.1:11", "127.0.0.1:12"})
	})
}

// Guards against a control node that waits for seeds that are gone, and against one that asks
// addresses that may be another fleet's by now while its seeds answer.
func TestDiscoveryAddresses_AddressBookIsTheLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer("c1", settings.DefaultTiming, gossip.NewStore(nil), confirmedNow)
		server.Seeds = []string{"127.0.0.1:11"}
		c2 := membership.Info{Name: "c2", PeerAddr: "127.0.0.1:2", Disk: settings.DiskControl}
		server.AddressBook.Observe([]membership.Info{c2, {Name: "a1", PeerAddr: "127.0.0.1:12"}})
		contacts := func() []string { return server.discoveryAddresses(true, server.seedsFailed()) }
		assert.DeepEqual(t, contacts(), server.Seeds)

		time.Sleep(settings.DefaultTiming.SessionTimeout() + time.Millisecond)
		assert.DeepEqual(t, contacts(), []string{"127.0.0.1:11", "127.0.0.1:2"})

		server.recordDiscovered([]membership.Info{c2})
		assert.DeepEqual(t, contacts(), server.Seeds)
	})
}

// Guards against former members that are never contacted, or contacted all at once.
func TestNextFormerMembers_TakesTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := gossip.NewStore(nil)
		server := newServer("c1", settings.DefaultTiming, store, confirmedNow)
		members := []membership.Info{{Name: "a0", PeerAddr: "127.0.0.1:20"}}
		server.Table.Observe(members[0], 0)
		for i := range 2 * formerMembersPerRound {
			members = append(members, membership.Info{PeerAddr: fmt.Sprintf("127.0.0.1:3%d", i)})
		}
		server.AddressBook.Observe(members)
		assert.Equal(t, len(server.nextFormerMembers()), 0, "no voter set is known")

		store.Apply(gossip.Update{VoterSet: &firstVoterSet})
		first, second := server.nextFormerMembers(), server.nextFormerMembers()
		assert.Equal(t, len(first), formerMembersPerRound)
		contacted := slices.Sorted(slices.Values(slices.Concat(first, second)))
		assert.Equal(t, len(slices.Compact(contacted)), 2*formerMembersPerRound)
		assert.Assert(t, !slices.Contains(contacted, "127.0.0.1:20"), "a present member is left alone")
	})
}

// Guards against a node that is told of a control node by that node itself and yet finds none.
func TestChooseControlNode_IdentifiedNodeIsTheLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := gossip.NewStore(nil)
		manager := newNamedManager("a1", store)
		identified := membership.Info{Name: "c1", Disk: settings.DiskControl, Stage: membership.Serving}
		known := membership.Info{Name: "c2", Disk: settings.DiskControl, Stage: membership.Serving}

		_, err := manager.chooseControlNode(t.Context(), controlSearch{})
		assert.ErrorContains(t, err, "no control node was found")

		_, err = manager.Identify(t.Context(), &membership.IdentifyRequest{From: &identified})
		assert.NilError(t, err)
		chosen, err := manager.chooseControlNode(t.Context(), controlSearch{})
		assert.NilError(t, err)
		assert.Equal(t, chosen.Name, "c1")

		manager.View.Set([]membership.Info{known})
		chosen, err = manager.chooseControlNode(t.Context(), controlSearch{})
		assert.NilError(t, err)
		assert.Equal(t, chosen.Name, "c2")
	})
}

// Guards against nodes that pass on control nodes of another fleet, which remembers this address.
func TestIdentify_NodeWithASessionRecordsNoControlNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := gossip.NewStore(nil)
		store.Apply(gossip.Update{VoterSet: &firstVoterSet})
		manager := newNamedManager("a1", store)
		manager.lastHeardAt = time.Now()
		request := &membership.IdentifyRequest{From: &membership.Info{Name: "x1", Disk: settings.DiskControl}}

		response, err := manager.Identify(t.Context(), request)
		assert.NilError(t, err)
		assert.Equal(t, len(response.Known), 0)

		time.Sleep(manager.Settings.Timing().SessionTimeout() + time.Millisecond)
		response, err = manager.Identify(t.Context(), request)
		assert.NilError(t, err)
		assert.Equal(t, len(response.Known), 1)
	})
}
