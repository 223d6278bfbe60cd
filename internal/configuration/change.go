package configuration

import "slices"

// Change makes the next description of the one numbered From. Its spaces are put together of Parts, in their order; Lanes is nil
// where the table of lanes stays, and Sum is the sum of the whole that has to come out.
type Change struct {
	From          uint64 `json:"f"`
	Sequence      uint64 `json:"s"`
	Base          uint64 `json:"b,omitempty"`
	Limits        Limits `json:"l,omitzero"`
	StandingLanes bool   `json:"t,omitempty"`
	Lanes         *Lanes `json:"n,omitempty"`
	Parts         []Part `json:"p,omitempty"`
	Checksum      uint64 `json:"m"`
}

// Part is Count spaces of the old description, from place At on, and then the spaces of Put.
type Part struct {
	At     int     `json:"a,omitempty"`
	Count  int     `json:"c,omitempty"`
	Insert []Space `json:"p,omitempty"`
}

// Size is how many spaces the change holds itself.
func (c Change) Size() int {
	n := 0
	for _, p := range c.Parts {
		n += len(p.Insert)
	}
	return n
}

func (s Space) same(o Space) bool {
	return s.Name == o.Name && s.Kind == o.Kind && s.Urgent == o.Urgent && s.Prefix == o.Prefix && s.All == o.All && s.RetentionMS == o.RetentionMS &&
		s.DeadlineMS == o.DeadlineMS && s.TargetLatencyMS == o.TargetLatencyMS && s.Order == o.Order && s.Weight == o.Weight && slices.Equal(s.Topics, o.Topics)
}

func (l Lanes) same(o Lanes) bool {
	return slices.Equal(l.Urgent, o.Urgent) && slices.Equal(l.Routine, o.Routine)
}

// Change gives what makes another description of this one, sources left out.
func (d Config) Change(to Config) Change {
	c := Change{From: d.Sequence, Sequence: to.Sequence, Base: to.Base, Limits: to.Limits, StandingLanes: to.StandingLanes, Checksum: to.Checksum()}
	if !d.Lanes.same(to.Lanes) {
		c.Lanes = &to.Lanes
	}
	was := map[string]int{}
	if len(d.Spaces) != len(to.Spaces) || !slices.EqualFunc(d.Spaces, to.Spaces, func(a, b Space) bool { return a.path() == b.path() }) {
		for i, s := range d.Spaces {
			was[s.path()] = i
		}
	}
	for i, s := range to.Spaces {
		at, ok := i, len(was) == 0 && i < len(d.Spaces)
		if !ok {
			at, ok = was[s.path()]
		}
		last := len(c.Parts) - 1
		switch {
		case !ok || !d.Spaces[at].same(s):
			if last < 0 {
				c.Parts, last = append(c.Parts, Part{}), 0
			}
			c.Parts[last].Insert = append(c.Parts[last].Insert, s)
		case last >= 0 && len(c.Parts[last].Insert) == 0 && c.Parts[last].At+c.Parts[last].Count == at:
			c.Parts[last].Count++
		default:
			c.Parts = append(c.Parts, Part{At: at, Count: 1})
		}
	}
	return c
}

// Apply makes the next description, and tells whether it came out as it has to.
func (d Config) Apply(c Change) (Config, bool) {
	n := Config{Sequence: c.Sequence, Base: c.Base, Limits: c.Limits, StandingLanes: c.StandingLanes, Lanes: d.Lanes}
	if c.Lanes != nil {
		n.Lanes = *c.Lanes
	}
	n.Spaces = make([]Space, 0, min(MaxSpaces, len(d.Spaces)+c.Size()))
	for _, p := range c.Parts {
		if p.At < 0 || p.Count < 0 || p.At > len(d.Spaces) || p.Count > len(d.Spaces)-p.At || len(n.Spaces)+p.Count+len(p.Insert) > MaxSpaces {
			return d, false
		}
		n.Spaces = append(append(n.Spaces, d.Spaces[p.At:p.At+p.Count]...), p.Insert...)
	}
	if c.From != d.Sequence || c.Sequence <= c.From || n.Checksum() != c.Checksum {
		return d, false
	}
	return n, true
}

// Checksum is a number that tells a description from another, sources left out.
func (d Config) Checksum() uint64 {
	s := sum(14695981039346656037)
	s.number(d.Sequence, d.Base, uint64(d.Limits.Topics), uint64(d.Limits.Body), flag(d.StandingLanes), uint64(len(d.Spaces)))
	for _, x := range d.Spaces {
		s.text(x.Name, x.Kind, x.Prefix, x.Order)
		s.number(flag(x.Urgent)|flag(x.All)<<1, x.RetentionMS, x.DeadlineMS, x.TargetLatencyMS, uint64(x.Weight))
		s.list(x.Topics)
	}
	s.list(d.Lanes.Urgent)
	s.list(d.Lanes.Routine)
	return uint64(s)
}

type sum uint64

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (s *sum) number(ns ...uint64) {
	for _, n := range ns {
		x := (uint64(*s) ^ n) * 0x9E3779B97F4A7C15
		*s = sum(x ^ x>>29)
	}
}

func (s *sum) text(ts ...string) {
	h := uint64(*s)
	for _, t := range ts {
		for i := range len(t) {
			h = (h ^ uint64(t[i])) * 1099511628211
		}
		h = (h ^ uint64(len(t))) * 0x9E3779B97F4A7C15
		h ^= h >> 29
	}
	*s = sum(h)
}

func (s *sum) list(ts []string) {
	s.number(uint64(len(ts)))
	s.text(ts...)
}
