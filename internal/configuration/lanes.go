package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"postjunction/internal/apierror"
)

// MaxLanes is how many lanes are kept one by one.
const MaxLanes = 4096

// Lane says in which lane the topics that begin with a prefix stand.
type Lane struct {
	Prefix string `json:"prefix"`
	Urgent bool   `json:"urgent"`

	space int // index of the space that asks for the other lane
}

// table returns the lanes by prefix: true for urgent.
func (l Lanes) table() prefixMap[bool] {
	var table prefixMap[bool]
	for _, prefix := range l.Routine {
		table.add(prefix, false)
	}
	for _, prefix := range l.Urgent {
		table.add(prefix, true)
	}
	return table
}

// compactLanes leaves out each prefix that a shorter one assigns the same lane, and returns how
// many are left. Nothing can come between the two: what is new under the shorter one takes over its
// lane.
func compactLanes(table prefixMap[bool]) (Lanes, int) {
	shortestFirst := func(a, b string) int { return cmp.Or(len(a)-len(b), cmp.Compare(a, b)) }
	var lanes Lanes
	var kept prefixMap[bool]
	for _, prefix := range slices.SortedFunc(maps.Keys(table.values), shortestFirst) {
		urgent := table.values[prefix]
		if outer, ok := kept.longest(prefix); ok && outer == urgent {
			continue
		}
		kept.add(prefix, urgent)
		if urgent {
			lanes.Urgent = append(lanes.Urgent, prefix)
		} else {
			lanes.Routine = append(lanes.Routine, prefix)
		}
	}
	return lanes, len(kept.values)
}

// WithLanes returns the configuration with its table of lanes, made of that of the current one or,
// where it has none, of the current spaces and the removed ones. A prefix under one that has a lane
// takes it over; any other gets the lane that its space asks for. So a name that could ever be a
// topic's never changes lanes. Where the lanes become more than MaxLanes, every name that has none
// yet is routine from then on.
func (c Config) WithLanes(current Config, removed RemovedSpaces) Config {
	table := current.Lanes.table()
	if !current.Lanes.IsDefined() {
		table = firstTable(current, removed)
	}
	asked := map[string]bool{}
	for _, space := range c.Spaces {
		path := space.path()
		if _, ok := table.longest(path); !ok {
			asked[path] = asked[path] || space.Urgent
		}
	}
	for path, urgent := range asked {
		table.add(path, urgent)
	}
	lanes, count := compactLanes(table)
	if _, ok := table.values[""]; !ok && count > MaxLanes {
		table.add("", false)
		lanes, _ = compactLanes(table)
	}
	c.Lanes = lanes
	return c
}

// firstTable returns the lanes that a configuration without a table implies.
func firstTable(current Config, removed RemovedSpaces) prefixMap[bool] {
	var table prefixMap[bool]
	if removed.has(routineDropped) {
		table.add("", false)
	}
	for key, urgent := range removed {
		if key != routineDropped {
			table.add(removedPath(key), urgent)
		}
	}
	for _, space := range current.Spaces {
		table.add(space.path(), space.Urgent)
	}
	return table
}

// OverriddenLanes returns the prefixes whose topics stand in another lane than their space asks for,
// sorted.
func (c Config) OverriddenLanes() []Lane {
	if !c.Lanes.IsDefined() {
		return nil
	}
	var kept []Lane
	table := c.Lanes.table()
	var spaces prefixMap[int]
	for i, space := range c.Spaces {
		path := space.path()
		spaces.add(path, i)
		if urgent, ok := table.longest(path); ok && urgent != space.Urgent {
			kept = append(kept, Lane{path, urgent, i})
		}
	}
	for prefix, urgent := range table.values {
		i, ok := spaces.longest(prefix)
		if ok && c.Spaces[i].Urgent != urgent && c.Spaces[i].path() != prefix {
			kept = append(kept, Lane{prefix, urgent, i})
		}
	}
	slices.SortFunc(kept, func(a, b Lane) int { return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), a.space-b.space) })
	return slices.CompactFunc(kept, func(a, b Lane) bool { return a.Prefix == b.Prefix })
}

// CheckLanes checks that every topic stands in the lane that its space asks for, unless the
// configuration takes lanes as they stand. The error is apierror.ConfigurationInvalid with every
// fault.
func (c Config) CheckLanes() error {
	if c.UseAssignedLanes {
		return nil
	}
	var faults []apierror.Fault
	for _, lane := range c.OverriddenLanes() {
		faults = append(faults, apierror.Fault{
			Path: fmt.Sprintf("$.spaces[%d].urgent", lane.space),
			Message: fmt.Sprintf("must be %v, where the lines of %q stand, or standing_lanes be true",
				lane.Urgent, lane.Prefix),
		})
	}
	return FaultsError(faults)
}
