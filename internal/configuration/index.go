package configuration

import (
	"slices"
	"strings"
	"time"

	"postjunction/internal/apierror"
)

// Index finds topics by name. LongestRetention is the longest retention that any space asks for, 0
// if none does.
type Index struct {
	Sequence         uint64
	Limits           Limits
	LongestRetention time.Duration
	spaces           []Space // without their topics, with the urgency of their lanes
	*layout
}

// layout maps topics to their spaces and lanes. Indexes share a layout if their configurations map
// all topics in the same way.
type layout struct {
	topics    map[string]int32 // listed topics, to the index of their space
	names     map[string]bool  // of the spaces with listed topics
	prefixes  prefixMap[int32]
	lanes     prefixMap[bool]
	splitLane []bool // by space: whether some of its topics are in the other lane
}

// NewIndex makes the index of a configuration.
func NewIndex(c Config) *Index {
	x := &Index{
		Sequence: c.Sequence,
		Limits:   c.Limits,
		spaces:   make([]Space, len(c.Spaces)),
		layout:   &layout{topics: map[string]int32{}, names: map[string]bool{}},
	}
	x.prefixes.values = make(map[string]int32, len(c.Spaces))
	for i, space := range c.Spaces {
		x.spaces[i] = space
		x.spaces[i].Topics = nil
		x.LongestRetention = max(x.LongestRetention, space.retention())
		if space.ByPrefix() {
			x.prefixes.add(space.Prefix, int32(i))
			continue
		}
		x.names[space.Name] = true
		for _, topic := range space.Topics {
			x.topics[space.Name+"/"+topic] = int32(i)
		}
	}
	x.assignLanes(c.Lanes)
	return x
}

func (s Space) retention() time.Duration { return time.Duration(s.RetentionMS) * time.Millisecond }

// Next returns the index of next, the configuration that replaces current, given that x is the
// index of current. It is cheap if all topics stay in their spaces.
func (x *Index) Next(current, next Config) *Index {
	if len(current.Spaces) != len(next.Spaces) || !current.Lanes.equal(next.Lanes) {
		return NewIndex(next)
	}
	index := &Index{Sequence: next.Sequence, Limits: next.Limits, spaces: slices.Clone(x.spaces), layout: x.layout}
	for i, space := range next.Spaces {
		if !space.sameTopics(current.Spaces[i]) {
			return NewIndex(next)
		}
		space.Topics, space.Urgent = nil, x.spaces[i].Urgent
		index.spaces[i] = space
		index.LongestRetention = max(index.LongestRetention, space.retention())
	}
	return index
}

// sameTopics reports whether two spaces have the same topics in the same lane.
func (s Space) sameTopics(other Space) bool {
	return s.ByPrefix() == other.ByPrefix() && s.Urgent == other.Urgent && s.path() == other.path() &&
		slices.Equal(s.Topics, other.Topics)
}

// AgreesWith reports whether every topic is known to be in the same space, and in the same lane, as
// in another index. It may return false for indexes that agree.
func (x *Index) AgreesWith(other *Index) bool { return other != nil && x.layout == other.layout }

// assignLanes sets the lane of every space, and finds the spaces that have topics in the other lane
// as well.
func (x *Index) assignLanes(lanes Lanes) {
	x.lanes, x.splitLane = lanes.table(), make([]bool, len(x.spaces))
	if !lanes.IsDefined() {
		return
	}
	var spacesByPath prefixMap[[]int]
	for i, space := range x.spaces {
		path := space.path()
		spacesByPath.add(path, append(spacesByPath.values[path], i))
		if urgent, ok := x.lanes.longest(path); ok {
			x.spaces[i].Urgent = urgent
		}
	}
	for prefix, urgent := range x.lanes.values {
		spacesByPath.each(prefix, func(path string, spaces []int) bool {
			for _, i := range spaces {
				x.splitLane[i] = x.splitLane[i] || path != prefix && x.spaces[i].Urgent != urgent
			}
			return true
		})
	}
}

func (x *Index) spaceOf(topic string, i int32) Space {
	space := x.spaces[i]
	if x.splitLane[i] {
		space.Urgent, _ = x.lanes.longest(topic)
	}
	return space
}

// Find returns the space of a topic, without its list of topics. That is the space that lists it as
// space/topic, else the one with the longest prefix of the topic's name. The urgency is that of the
// lane that the topic is in. The error is apierror.UnknownTopic if the space is known by name, else
// apierror.UnknownSpace.
func (x *Index) Find(topic string) (Space, error) {
	if i, ok := x.topics[topic]; ok {
		return x.spaceOf(topic, i), nil
	}
	if i, ok := x.prefixes.longest(topic); ok {
		return x.spaceOf(topic, i), nil
	}
	name, _, ok := strings.Cut(topic, "/")
	if ok && x.names[name] {
		return Space{}, apierror.New(apierror.UnknownTopic, "description %d has no topic %q", x.Sequence, topic).
			WithCurrent(x.Sequence)
	}
	format := "description %d has no space for %q; topics are written space/topic"
	if len(x.prefixes.values) > 0 {
		format += " or begin with the prefix of a space"
	}
	return Space{}, apierror.New(apierror.UnknownSpace, format, x.Sequence, topic).WithCurrent(x.Sequence)
}
