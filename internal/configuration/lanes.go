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

// Lane tells where the lines of the topics that begin with a prefix stand.
type Lane struct {
	Prefix string `json:"prefix"`
	Urgent bool   `json:"urgent"`

	space int
}

func (l Lanes) table() prefixes[bool] {
	var t prefixes[bool]
	for _, p := range l.Routine {
		t.add(p, false)
	}
	for _, p := range l.Urgent {
		t.add(p, true)
	}
	return t
}

// thin leaves out what stands where a shorter prefix has it stand anyway. Nothing can come between the two: what is new under the shorter one takes over its lane.
func thin(t prefixes[bool]) (Lanes, int) {
	var l Lanes
	var out prefixes[bool]
	for _, p := range slices.SortedFunc(maps.Keys(t.by), func(a, b string) int { return cmp.Or(len(a)-len(b), cmp.Compare(a, b)) }) {
		u := t.by[p]
		if o, ok := out.longest(p); ok && o == u {
			continue
		}
		out.add(p, u)
		if u {
			l.Urgent = append(l.Urgent, p)
		} else {
			l.Routine = append(l.Routine, p)
		}
	}
	return l, len(out.by)
}

// WithLanes gives the description with the table of lanes, made of the one of the description before it or, where that has none, of its spaces and the removed ones.
// A prefix under one that stands takes over its lane; any other gets the lane that its space asks for. So a name that could ever be a topic's never changes lanes.
// Where they become too many, every name that stands nowhere yet is routine from then on.
func (d Config) WithLanes(cur Config, r RemovedSpaces) Config {
	t := cur.Lanes.table()
	if !cur.Lanes.IsDefined() {
		if r.has(leftOut) {
			t.add("", false)
		}
		for k, u := range r {
			if k != leftOut {
				t.add(retiredPath(k), u)
			}
		}
		for _, s := range cur.Spaces {
			t.add(s.path(), s.Urgent)
		}
	}
	fresh := map[string]bool{}
	for _, s := range d.Spaces {
		p := s.path()
		if _, ok := t.longest(p); !ok {
			fresh[p] = fresh[p] || s.Urgent
		}
	}
	for p, u := range fresh {
		t.add(p, u)
	}
	l, n := thin(t)
	if _, ok := t.by[""]; !ok && n > MaxLanes {
		t.add("", false)
		l, _ = thin(t)
	}
	d.Lanes = l
	return d
}

// KeptLanes gives the prefixes whose lines stand elsewhere than the space asks for.
func (d Config) KeptLanes() []Lane {
	var kept []Lane
	if !d.Lanes.IsDefined() {
		return kept
	}
	t := d.Lanes.table()
	var spaces prefixes[int]
	for i, s := range d.Spaces {
		p := s.path()
		spaces.add(p, i)
		if u, ok := t.longest(p); ok && u != s.Urgent {
			kept = append(kept, Lane{p, u, i})
		}
	}
	for e, u := range t.by {
		if i, ok := spaces.longest(e); ok && d.Spaces[i].Urgent != u && d.Spaces[i].path() != e {
			kept = append(kept, Lane{e, u, i})
		}
	}
	slices.SortFunc(kept, func(a, b Lane) int { return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), a.space-b.space) })
	return slices.CompactFunc(kept, func(a, b Lane) bool { return a.Prefix == b.Prefix })
}

// CheckLanes checks that every line stands where its space asks for, unless the description takes lanes as they stand.
func (d Config) CheckLanes() error {
	if d.StandingLanes {
		return nil
	}
	var f []apierror.Fault
	for _, l := range d.KeptLanes() {
		f = append(f, apierror.Fault{Path: fmt.Sprintf("$.spaces[%d].urgent", l.space), Message: fmt.Sprintf("must be %v, where the lines of %q stand, or standing_lanes be true", l.Urgent, l.Prefix)})
	}
	return FaultsError(f)
}
