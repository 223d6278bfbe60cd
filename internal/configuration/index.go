package configuration

import (
	"slices"
	"strings"
	"time"

	"postjunction/internal/apierror"
)

// Index finds topics by name. Longest is the longest time that any space asks to keep for, 0 when none asks.
type Index struct {
	Sequence uint64
	Limits   Limits
	Longest  time.Duration
	spaces   []Space
	*form
}

// form is what says which space a topic is in and where its line stands; indexes of descriptions that agree on that share it.
type form struct {
	topics map[string]int32
	names  map[string]bool
	open   prefixes[int32]
	lanes  prefixes[bool]
	parted []bool
}

// NewIndex makes the index of a description.
func NewIndex(d Config) *Index {
	x := &Index{Sequence: d.Sequence, Limits: d.Limits, spaces: make([]Space, len(d.Spaces)), form: &form{topics: map[string]int32{}, names: map[string]bool{}}}
	x.open.by = make(map[string]int32, len(d.Spaces))
	for i, s := range d.Spaces {
		x.spaces[i] = s
		x.spaces[i].Topics = nil
		x.Longest = max(x.Longest, time.Duration(s.RetentionMS)*time.Millisecond)
		if s.ByPrefix() {
			x.open.add(s.Prefix, int32(i))
			continue
		}
		x.names[s.Name] = true
		for _, t := range s.Topics {
			x.topics[s.Name+"/"+t] = int32(i)
		}
	}
	x.stand(d.Lanes)
	return x
}

// Next makes the index of the description that takes the place of was, which this index was made of, at little cost where all topics stay in their spaces.
func (x *Index) Next(was, d Config) *Index {
	if len(was.Spaces) != len(d.Spaces) || !was.Lanes.same(d.Lanes) {
		return NewIndex(d)
	}
	n := &Index{Sequence: d.Sequence, Limits: d.Limits, spaces: slices.Clone(x.spaces), form: x.form}
	for i, s := range d.Spaces {
		o := was.Spaces[i]
		if o.ByPrefix() != s.ByPrefix() || o.Urgent != s.Urgent || o.path() != s.path() || !slices.Equal(o.Topics, s.Topics) {
			return NewIndex(d)
		}
		s.Topics, s.Urgent = nil, x.spaces[i].Urgent
		n.spaces[i] = s
		n.Longest = max(n.Longest, time.Duration(s.RetentionMS)*time.Millisecond)
	}
	return n
}

// AgreesWith tells whether every topic surely is in the same space, and in the same lane, as in another index.
func (x *Index) AgreesWith(o *Index) bool { return o != nil && x.form == o.form }

// stand gives every space the lane where its lines stand, and finds the spaces of which a part stands in another.
func (x *Index) stand(l Lanes) {
	x.lanes, x.parted = l.table(), make([]bool, len(x.spaces))
	if !l.IsDefined() {
		return
	}
	var paths prefixes[[]int]
	for i, s := range x.spaces {
		p := s.path()
		paths.add(p, append(paths.by[p], i))
		if u, ok := x.lanes.longest(p); ok {
			x.spaces[i].Urgent = u
		}
	}
	for e, u := range x.lanes.by {
		paths.each(e, func(p string, is []int) bool {
			for _, i := range is {
				x.parted[i] = x.parted[i] || p != e && x.spaces[i].Urgent != u
			}
			return true
		})
	}
}

func (x *Index) space(i int32, topic string) Space {
	s := x.spaces[i]
	if x.parted[i] {
		s.Urgent, _ = x.lanes.longest(topic)
	}
	return s
}

// Find gives the space of a topic, without its list: the one that lists it as space/topic, else the one with the longest prefix that begins it.
// Its urgency is the one where the topic's line stands.
func (x *Index) Find(topic string) (Space, error) {
	if i, ok := x.topics[topic]; ok {
		return x.space(i, topic), nil
	}
	if i, ok := x.open.longest(topic); ok {
		return x.space(i, topic), nil
	}
	n, _, ok := strings.Cut(topic, "/")
	if ok && x.names[n] {
		return Space{}, apierror.New(apierror.UnknownTopic, "description %d has no topic %q", x.Sequence, topic).WithCurrent(x.Sequence)
	}
	say := "description %d has no space for %q; topics are written space/topic"
	if len(x.open.by) > 0 {
		say = "description %d has no space for %q; topics are written space/topic or begin with the prefix of a space"
	}
	return Space{}, apierror.New(apierror.UnknownSpace, say, x.Sequence, topic).WithCurrent(x.Sequence)
}
