package reconfigurer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"postjunction/internal/membership"
	"postjunction/internal/voters"
)

// absences records by node which voters are not live.
type absences struct {
	// since has the time when a voter that is not live was first found absent.
	since map[string]time.Time
	// zones has the zone that each voter had when it was last live.
	zones map[string]string
}

// update records which voters of the current set are live.
func (a *absences) update(current voters.Set, live map[string]membership.Info, now time.Time) {
	previous := a.since
	a.since = map[string]time.Time{}
	if a.zones == nil {
		a.zones = map[string]string{}
	}
	for _, voter := range current.Voters {
		if node, ok := live[voter.Node]; ok {
			a.zones[voter.Node] = node.Zone
			continue
		}
		a.since[voter.Node] = now
		if since, ok := previous[voter.Node]; ok {
			a.since[voter.Node] = since
		}
	}
}

// pair assigns each candidate at most one absent voter. Pairs of the same zone are assigned first,
// and the voter that has been absent for longest comes before others. It returns the voter by the
// candidate's name.
func (a *absences) pair(candidates []membership.Info) map[string]string {
	unpaired := a.longestFirst()
	paired := map[string]string{}
	for _, sameZone := range []bool{true, false} {
		for _, candidate := range candidates {
			index := slices.IndexFunc(unpaired, func(voter string) bool {
				return !sameZone || a.zones[voter] == candidate.Zone
			})
			if _, ok := paired[candidate.Name]; ok || index < 0 {
				continue
			}
			paired[candidate.Name] = unpaired[index]
			unpaired = slices.Delete(unpaired, index, index+1)
		}
	}
	return paired
}

func (a *absences) longestFirst() []string {
	return slices.SortedFunc(maps.Keys(a.since), func(left, right string) int {
		return cmp.Or(a.since[left].Compare(a.since[right]), strings.Compare(left, right))
	})
}
