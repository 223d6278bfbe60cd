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
	index := &Index{
		Sequence: c.Sequence,
		Limits:   c.Limits,
		spaces:   make([]Space, len(c.Spaces)),
		layout:   &layout{topics: map[string]int32{}, names: map[string]bool{}},
	}
	index.prefixes.values = make(map[string]int32, len(c.Spaces))
	for i, space := range c.Spaces {
		index.spaces[i] = space
		index.spaces[i].Topics = nil
		index.LongestRetention = max(index.LongestRetention, space.retention())
		if space.ByPrefix() {
			index.prefixes.add(space.Prefix, int32(i))
			continue
		}
		index.names[space.Name] = true
		for _, topic := range space.Topics {
			index.topics[space.Name+"/"+topic] = int32(i)
		}
	}
	index.assignLanes(c.Lanes)
	return index
}

func (s Space) retention() time.Duration { return time.Duration(s.RetentionMS) * time.Millisecond }

// Next returns the index of next, the configuration that replaces current. The receiver must be the
// index of current. The call is cheap if all topics stay in their spaces.
func (index *Index) Next(current, next Config) *Index {
	if len(current.Spaces) != len(next.Spaces) || !current.Lanes.equal(next.Lanes) {
		return NewIndex(next)
	}
	nextIndex := &Index{
		Sequence: next.Sequence, Limits: next.Limits, spaces: slices.Clone(index.spaces), layout: index.layout,
	}
	for i, space := range next.Spaces {
		if !space.sameTopics(current.Spaces[i]) {
			return NewIndex(next)
		}
		space.Topics, space.Urgent = nil, index.spaces[i].Urgent
		nextIndex.spaces[i] = space
		nextIndex.LongestRetention = max(nextIndex.LongestRetention, space.retention())
	}
	return nextIndex
}

// sameTopics reports whether two spaces have the same topics in the same lane.
func (s Space) sameTopics(other Space) bool {
	return s.ByPrefix() == other.ByPrefix() && s.Urgent == other.Urgent && s.path() == other.path() &&
		slices.Equal(s.Topics, other.Topics)
}

// AgreesWith reports whether every topic is known to be in the same space, and in the same lane, as
// in another index. It may return false for indexes that agree.
func (index *Index) AgreesWith(other *Index) bool {
	return other != nil && index.layout == other.layout
}

// assignLanes sets the lane of every space, and finds the spaces that have topics in the other lane
// as well.
func (index *Index) assignLanes(lanes Lanes) {
	index.lanes, index.splitLane = lanes.table(), make([]bool, len(index.spaces))
	if !lanes.IsDefined() {
		return
	}
	var spacesByPath prefixMap[[]int]
	for i, space := range index.spaces {
		path := space.path()
		spacesByPath.add(path, append(spacesByPath.values[path], i))
		if urgent, ok := index.lanes.longest(path); ok {
			index.spaces[i].Urgent = urgent
		}
	}
	for prefix, urgent := range index.lanes.values {
		spacesByPath.each(prefix, func(path string, spaces []int) bool {
			for _, i := range spaces {
				index.splitLane[i] = index.splitLane[i] || path != prefix && index.spaces[i].Urgent != urgent
			}
			return true
		})
	}
}

func (index *Index) spaceOf(topic string, i int32) Space {
	space := index.spaces[i]
	if index.splitLane[i] {
		space.Urgent, _ = index.lanes.longest(topic)
	}
	return space
}

// Find returns the space of a topic, without its list of topics. That is the space that lists it as
// space/topic, else the one with the longest prefix of the topic's name. The urgency is that of the
// lane that the topic is in. The error is apierror.UnknownTopic if the space is known by name, else
// apierror.UnknownSpace.
func (index *Index) Find(topic string) (Space, error) {
	if i, ok := index.topics[topic]; ok {
		return index.spaceOf(topic, i), nil
	}
	if i, ok := index.prefixes.longest(topic); ok {
		return index.spaceOf(topic, i), nil
	}
	name, _, ok := strings.Cut(topic, "/")
	if ok && index.names[name] {
		return Space{}, apierror.New(apierror.UnknownTopic, "description %d has no topic %q", index.Sequence, topic).
			WithCurrent(index.Sequence)
	}
	format := "description %d has no space for %q; topics are written space/topic"
	if len(index.prefixes.values) > 0 {
		format += " or begin with the prefix of a space"
	}
	return Space{}, apierror.New(apierror.UnknownSpace, format, index.Sequence, topic).WithCurrent(index.Sequence)
}
