package configuration

import "slices"

// Change turns the configuration with sequence From into the next one. The spaces of the next one
// are assembled from Parts, in their order. Lanes is nil if the table of lanes doesn't change.
// Checksum is the checksum of the next configuration.
type Change struct {
	From             uint64 `json:"f"`
	Sequence         uint64 `json:"s"`
	Base             uint64 `json:"b,omitempty"`
	Limits           Limits `json:"l,omitzero"`
	UseAssignedLanes bool   `json:"t,omitempty"`
	Lanes            *Lanes `json:"n,omitempty"`
	Parts            []Part `json:"p,omitempty"`
	Checksum         uint64 `json:"m"`
}

// Part is a run of Count spaces of the old configuration, starting at index At, followed by the
// spaces of Insert.
type Part struct {
	At     int     `json:"a,omitempty"`
	Count  int     `json:"c,omitempty"`
	Insert []Space `json:"p,omitempty"`
}

// Size returns how many spaces the change contains itself.
func (c Change) Size() int {
	size := 0
	for _, part := range c.Parts {
		size += len(part.Insert)
	}
	return size
}

func (s Space) equal(other Space) bool {
	return s.Name == other.Name && s.Kind == other.Kind && s.Urgent == other.Urgent &&
		s.Prefix == other.Prefix && s.All == other.All &&
		s.RetentionMS == other.RetentionMS && s.DeadlineMS == other.DeadlineMS &&
		s.TargetLatencyMS == other.TargetLatencyMS &&
		s.Order == other.Order && s.Weight == other.Weight && slices.Equal(s.Topics, other.Topics)
}

func (l Lanes) equal(other Lanes) bool {
	return slices.Equal(l.Urgent, other.Urgent) && slices.Equal(l.Routine, other.Routine)
}

func samePath(a, b Space) bool { return a.path() == b.path() }

// Change returns the change from this configuration to next. Sources are left out.
func (c Config) Change(next Config) Change {
	change := Change{
		From:             c.Sequence,
		Sequence:         next.Sequence,
		Base:             next.Base,
		Limits:           next.Limits,
		UseAssignedLanes: next.UseAssignedLanes,
		Parts:            parts(c.Spaces, next.Spaces),
		Checksum:         next.Checksum(),
	}
	if !c.Lanes.equal(next.Lanes) {
		change.Lanes = &next.Lanes
	}
	return change
}

// parts assembles next from runs of unchanged old spaces and from the spaces that differ.
func parts(old, next []Space) []Part {
	var result []Part
	// indexes of the old spaces by path; empty if old and next have the same paths in the same order.
	indexes := map[string]int{}
	if !slices.EqualFunc(old, next, samePath) {
		for i, space := range old {
			indexes[space.path()] = i
		}
	}
	for i, space := range next {
		at, known := i, len(indexes) == 0 && i < len(old)
		if !known {
			at, known = indexes[space.path()]
		}
		last := len(result) - 1
		switch {
		case !known || !old[at].equal(space):
			if last < 0 {
				result, last = append(result, Part{}), 0
			}
			result[last].Insert = append(result[last].Insert, space)
		case last >= 0 && len(result[last].Insert) == 0 && result[last].At+result[last].Count == at:
			result[last].Count++
		default:
			result = append(result, Part{At: at, Count: 1})
		}
	}
	return result
}

// Apply returns the next configuration and true. It returns c itself and false if the change does
// not build on c, or if the result doesn't have the change's checksum.
func (c Config) Apply(change Change) (Config, bool) {
	next := Config{
		Sequence:         change.Sequence,
		Base:             change.Base,
		Limits:           change.Limits,
		UseAssignedLanes: change.UseAssignedLanes,
		Lanes:            c.Lanes,
	}
	if change.Lanes != nil {
		next.Lanes = *change.Lanes
	}
	next.Spaces = make([]Space, 0, min(MaxSpaces, len(c.Spaces)+change.Size()))
	for _, part := range change.Parts {
		if !part.fits(len(c.Spaces)) || len(next.Spaces)+part.Count+len(part.Insert) > MaxSpaces {
			return c, false
		}
		next.Spaces = append(next.Spaces, c.Spaces[part.At:part.At+part.Count]...)
		next.Spaces = append(next.Spaces, part.Insert...)
	}
	if change.From != c.Sequence || change.Sequence <= change.From || next.Checksum() != change.Checksum {
		return c, false
	}
	return next, true
}

// fits reports whether the part refers to existing spaces only, given how many there are.
func (p Part) fits(spaces int) bool {
	return p.At >= 0 && p.Count >= 0 && p.At <= spaces && p.Count <= spaces-p.At
}
