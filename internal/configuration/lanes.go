package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"postjunction/internal/apierror"
)

// MaxLanes is how many prefixes the table of lanes lists individually.
const MaxLanes = 4096

// Lane is the lane of the topics whose names begin with a prefix.
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
// many prefixes are left. No other lane can come between the two: a new prefix under the shorter
// one inherits its lane.
func compactLanes(table prefixMap[bool]) (Lanes, int) {
	shortestFirst := func(a, b string) int { return cmp.Or(len(a)-len(b), cmp.Compare(a, b)) }
	var lanes Lanes
	var compacted prefixMap[bool]
	for _, prefix := range slices.SortedFunc(maps.Keys(table.values), shortestFirst) {
		urgent := table.values[prefix]
		if outerUrgent, ok := compacted.longest(prefix); ok && outerUrgent == urgent {
			continue
		}
		compacted.add(prefix, urgent)
		if urgent {
			lanes.Urgent = append(lanes.Urgent, prefix)
		} else {
			lanes.Routine = append(lanes.Routine, prefix)
		}
	}
	return lanes, len(compacted.values)
}

// WithLanes returns the configuration with its table of lanes. The table is derived from that of
// the current configuration or, if it has none, from the current and the removed spaces. A prefix
// under one that has a lane inherits that lane. Any other prefix gets the lane that its space asks
// for. So a name that was ever valid for a topic never changes lanes. If the table gets more than
// MaxLanes entries, every name without a lane is routine from then on.
func (c Config) WithLanes(current Config, removed RemovedSpaces) Config {
	table := current.Lanes.table()
	if !current.Lanes.IsDefined() {
		table = firstTable(current, removed)
	}
	requested := map[string]bool{}
	for _, space := range c.Spaces {
		path := space.path()
		if _, ok := table.longest(path); !ok {
			requested[path] = requested[path] || space.Urgent
		}
	}
	for path, urgent := range requested {
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

// OverriddenLanes returns the prefixes whose topics are in another lane than their space asks for,
// sorted.
func (c Config) OverriddenLanes() []Lane {
	if !c.Lanes.IsDefined() {
		return nil
	}
	var overridden []Lane
	table := c.Lanes.table()
	var spaces prefixMap[int]
	for i, space := range c.Spaces {
		path := space.path()
		spaces.add(path, i)
		if urgent, ok := table.longest(path); ok && urgent != space.Urgent {
			overridden = append(overridden, Lane{path, urgent, i})
		}
	}
	for prefix, urgent := range table.values {
		i, ok := spaces.longest(prefix)
		if ok && c.Spaces[i].Urgent != urgent && c.Spaces[i].path() != prefix {
			overridden = append(overridden, Lane{prefix, urgent, i})
		}
	}
	slices.SortFunc(overridden, func(a, b Lane) int { return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), a.space-b.space) })
	return slices.CompactFunc(overridden, func(a, b Lane) bool { return a.Prefix == b.Prefix })
}

// CheckLanes checks that every topic is in the lane that its space asks for, unless the
// configuration has UseAssignedLanes. The error is apierror.ConfigurationInvalid with every fault.
func (c Config) CheckLanes() error {
	if c.UseAssignedLanes {
		return nil
	}
	var faults []apierror.Fault
	for _, lane := range c.OverriddenLanes() {
		faults = append(faults, apierror.Fault{
			Path: fmt.Sprintf("$.spaces[%d].urgent", lane.space),
			Message: fmt.Sprintf("must be %v, the lane of the topics of %q, or standing_lanes must be true",
				lane.Urgent, lane.Prefix),
		})
	}
	return FaultsError(faults)
}
