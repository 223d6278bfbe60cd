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

// absences remembers, by node, which voters are not live.
type absences struct {
	// since has the voters that are not live, and when they were first found so.
	since map[string]time.Time
	// zones has the zone of each voter when it was last live.
	zones map[string]string
}

// update takes in which voters of the current set are live.
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

// pair assigns absent voters to candidates, each to one at most: to a candidate of the same zone
// first, then the voter that is gone for longest. It returns the voter for each candidate's name.
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
