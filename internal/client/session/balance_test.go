package session

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/membership"
)

func zoneMembers(big, small int) []membership.Info {
	var members []membership.Info
	for i := range big + small {
		member := membership.Info{
			Name:       fmt.Sprintf("a%d", i),
			Zone:       "z",
			ClientAddr: fmt.Sprintf("10.0.0.%d:1", i),
			Stage:      membership.Serving,
			MilliCores: 32,
		}
		if i < big {
			member.MilliCores = 352
		}
		members = append(members, member)
	}
	return append(members, membership.Info{
		Name:       "far",
		Zone:       "y",
		ClientAddr: "10.1.0.1:1",
		Stage:      membership.Serving,
		MilliCores: 4000,
	},
		membership.Info{Name: "store", Zone: "z", Stage: membership.Serving, MilliCores: 480})
}

// All nodes of a zone get equally many new clients; once the nodes with scarce processor have
// redirected their surplus, each node has sessions in proportion to its processor.
func TestClientsAreBalancedByProcessor(t *testing.T) {
	members := zoneMembers(2, 17)
	shares, sum := map[string]float64{}, 0
	for _, self := range members[:19] {
		sum += self.MilliCores
		keepFraction, targets := computeBalance(self, members)
		shares[self.ClientAddr] += keepFraction
		lower := 0.0
		for _, target := range targets {
			shares[target.address] += (1 - keepFraction) * (target.upperBound - lower)
			lower = target.upperBound
		}
		if len(targets) > 0 {
			assert.Equal(t, lower, 1.0)
		}
	}
	for _, member := range members[:19] {
		share, want := shares[member.ClientAddr]/19, float64(member.MilliCores)/float64(sum)
		assert.Assert(
			t, share > 0.99*want && share < 1.01*want, "%s has %.3f of the clients and %.3f of the processor",
			member.Name, share, want,
		)
	}
}

func TestComputeBalance_KeepsAllClients(t *testing.T) {
	zone := zoneMembers(2, 17)
	for name, change := range map[string]func(self *membership.Info, members []membership.Info){
		"plenty": func(self *membership.Info, _ []membership.Info) {
			self.MilliCores = scarceMilliCores
		},
		"not known":           func(self *membership.Info, _ []membership.Info) { self.MilliCores = 0 },
		"no peer in the zone": func(self *membership.Info, _ []membership.Info) { self.Zone = "x" },
		"the others drain": func(_ *membership.Info, members []membership.Info) {
			members[0].Stage, members[1].Stage = "leaving", "leaving"
		},
		"the others are isolated": func(_ *membership.Info, members []membership.Info) {
			members[0].Isolated, members[1].Isolated = true, true
		},
		"the others have as much": func(_ *membership.Info, members []membership.Info) {
			members[0].MilliCores, members[1].MilliCores = 32, 32
		},
	} {
		members := append([]membership.Info(nil), zone...)
		self := members[5]
		change(&self, members)
		keepFraction, targets := computeBalance(self, members)
		assert.Assert(t, keepFraction == 1 && len(targets) == 0, "%s: keeps %f, %v", name, keepFraction, targets)
	}
}

// A redirected client gets the address of another node in place of its attachment, and no
// subscription is opened for it here.
func TestNewClientIsRedirectedBeforeItAttaches(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		zone := zoneMembers(1, 9)
		self := zone[3]
		fixture.Info, fixture.Members = func() membership.Info { return self }, func() []membership.Info { return zone }
		time.Sleep(fixture.Timing.HeartbeatInterval())
		session.Do(Request{Verb: Unsubscribe, Topic: "a"})
		assert.DeepEqual(t, fixture.takeResponses(), []string{"left a"})
		served, redirected := 0, 0
		for range 1000 {
			newcomer := fixture.NewSession(fixture.record)
			newcomer.Do(Request{Verb: Attach, Client: "w"})
			switch response := fixture.takeResponses()[0]; response {
			case "attached":
				served++
				continue
			case "moved " + zone[0].ClientAddr:
				redirected++
			default:
				t.Fatal(response)
			}
			newcomer.Do(Request{Verb: Subscribe, Topic: "a"})
			assert.Equal(t, len(fixture.takeResponses()), 1)
			assert.Equal(t, len(newcomer.topics()), 0)
		}
		t.Logf("%d served here, %d redirected", served, redirected)
		assert.Assert(
			t, served > 400 && served < 600, "%d of 1000 served here; the mean is 64, and there are 32", served,
		)
	})
}

// The sessions of a draining node are spread over its peers by their processor, and evenly where
// none states it.
func TestWeightedRoundRobin_FollowsProcessor(t *testing.T) {
	count := func(members []membership.Info, calls int) map[string]int {
		counts, next := map[string]int{}, weightedRoundRobin(members)
		for range calls {
			counts[next().ClientAddr]++
		}
		return counts
	}
	members := zoneMembers(2, 3)[:5]
	counts := count(members, 800)
	for _, member := range members {
		want := 800 * member.MilliCores / (2*352 + 3*32)
		assert.Assert(
			t, counts[member.ClientAddr] >= want-1 && counts[member.ClientAddr] <= want+1, "%s got %d, not %d",
			member.Name, counts[member.ClientAddr], want,
		)
	}
	for i := range members {
		members[i].MilliCores = 0
	}
	for address, calls := range count(members, 100) {
		assert.Assert(t, calls >= 19 && calls <= 21, "%s got %d of 100 among five", address, calls)
	}
}
