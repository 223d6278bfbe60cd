// Package configuration defines the operators' numbered configuration of all topic spaces. It
// parses, validates and compares configurations, and looks topics up in them.
//
// Invariants:
//   - The messages of a topic are always stored in partitions of one urgency, the topic's lane. So
//     a space that remains or is added again must have the same urgency (CheckSuccession,
//     RemovedSpaces), or the table of lanes overrides it (WithLanes).
//   - Applying a Change produces exactly the configuration that it was computed for (Checksum), or
//     fails.
//   - JSON field names are written by operators and stored on disk, so tags never change.
//
// Values are plain data and safe to share once made. Nothing here locks, blocks or starts
// goroutines. An Index never changes after NewIndex or Next returned it.
package configuration

//go:generate go tool easyjson -disallow_unknown_fields -output_filename types_easyjson.go types.go

// Space is a set of topics: those listed in Topics, written name/topic, or those whose names begin
// with Prefix, or All. A listed topic takes precedence over any prefix, and a longer prefix over a
// shorter one. RetentionMS is how long a space of kind KindRetained stores messages, 0 for the
// fleet's retention. DeadlineMS is when a message becomes worthless, and TargetLatencyMS when it
// should have arrived, in milliseconds after it was sent; 0 is unspecified. Order is
// OrderPerSender, which is the default, or OrderPerTopic. Weight is the operators' own measure of
// importance.
//
//easyjson:json
type Space struct {
	Name            string   `json:"name"`
	Kind            string   `json:"kind"`
	Urgent          bool     `json:"urgent,omitempty"`
	Topics          []string `json:"topics,omitempty"`
	Prefix          string   `json:"prefix,omitempty"`
	All             bool     `json:"all,omitempty"`
	RetentionMS     uint64   `json:"keep_ms,omitempty"`
	DeadlineMS      uint64   `json:"deadline_ms,omitempty"`
	TargetLatencyMS uint64   `json:"aim_ms,omitempty"`
	Order           string   `json:"order,omitempty"`
	Weight          int      `json:"weight,omitempty"`
}

// Limits bound what one client may do: Topics on one connection, and the bytes of one Body; 0 is
// the default.
//
//easyjson:json
type Limits struct {
	Topics int `json:"topics,omitempty"`
	Body   int `json:"body,omitempty"`
}

// Config is a whole configuration. Sequence must be above Base, the sequence that it builds on. If
// left out it is Base plus one. Source is the operator's own document, unchanged. With
// UseAssignedLanes a space whose urgency conflicts with the lanes of its topics uses those lanes
// instead of being rejected. Lanes is maintained by the fleet and not written by operators.
//
//easyjson:json
type Config struct {
	Sequence uint64  `json:"sequence,omitempty"`
	Base     uint64  `json:"base"`
	Spaces   []Space `json:"spaces"`
	Limits   Limits  `json:"limits,omitempty"`
	Source   string  `json:"source,omitempty"`

	UseAssignedLanes bool  `json:"standing_lanes,omitempty"`
	Lanes            Lanes `json:"lanes,omitempty"`
}

// Lanes lists the prefixes of topic names that are assigned to urgent and to routine partitions.
// The longest prefix of a name decides. The lane of a prefix never changes.
//
//easyjson:json
type Lanes struct {
	Urgent  []string `json:"urgent,omitempty"`
	Routine []string `json:"routine,omitempty"`
}

// Kinds of space.
const (
	KindRetained = "kept"
	KindLive     = "live"
)

// Orders of a space: messages are ordered per sender, or all messages of a topic are in one order
// for all subscribers.
const (
	OrderPerSender = "sender"
	OrderPerTopic  = "topic"
)

// IsDefined reports whether any limit is set.
func (l Limits) IsDefined() bool { return l != Limits{} }

// IsDefined reports whether any prefix has a lane.
func (l Lanes) IsDefined() bool { return len(l.Urgent)+len(l.Routine) > 0 }

// ByPrefix reports whether a space has topics by prefix instead of by list.
func (s Space) ByPrefix() bool { return s.Prefix != "" || s.All }

// path returns the common prefix of the names of the space's topics. Topics are stored in
// partitions by urgency, so the urgency of a path never changes.
func (s Space) path() string {
	if s.ByPrefix() {
		return s.Prefix
	}
	return s.Name + "/"
}
