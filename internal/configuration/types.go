// Package configuration holds the operators' numbered configuration of all topic spaces: reading,
// checking, comparing and looking topics up in it.
//
// What must stay true:
//   - The lines of a topic stand in the partitions of one urgency, its lane, for good. So a space
//     that stays or comes back keeps its urgency (CheckSuccession, RemovedSpaces), or the table of
//     lanes overrules it (WithLanes).
//   - A Change that was applied makes exactly the configuration that it was made of (Checksum), or
//     nothing.
//   - JSON field names are what operators write and what is stored: tags never change.
//
// Values are plain data and safe to share once made; nothing here locks, blocks or starts
// goroutines. An Index is never changed after NewIndex or Next returned it.
package configuration

//go:generate go tool easyjson -disallow_unknown_fields -output_filename types_easyjson.go types.go

// Space is a family of topics: those listed, written name/topic, or all whose names begin with
// Prefix, or simply All. Among the spaces by prefix that begin a topic's name the longest prefix
// wins; a listed topic goes before any prefix. RetentionMS is how long a kept space keeps
// messages, 0 for the fleet's retention. DeadlineMS and TargetLatencyMS, in milliseconds, say until
// when a message is worth anything and by when it should arrive; 0 says nothing. Order is
// OrderPerSender, also when empty, or OrderPerTopic. Weight is the operators' own measure of
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

// Limits bound what one client may do: topics on one connection and bytes of one body; 0 leaves the
// default.
//
//easyjson:json
type Limits struct {
	Topics int `json:"topics,omitempty"`
	Body   int `json:"body,omitempty"`
}

// Config holds all spaces. Sequence is above Base, the sequence that it builds on; left out it is
// Base plus one. Source is the operator's own document, kept as it was. With UseAssignedLanes a space
// takes the lanes in which its topics stand instead of being rejected for its urgency. Lanes is the
// fleet's own table and no part of what an operator writes.
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

// Lanes lists the prefixes of topic names whose topics stand in urgent and in routine partitions.
// The longest prefix that begins a name decides. A prefix that was assigned a lane keeps it.
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

// Orders of a space: one order for each sender's messages, or one order of all messages of a topic
// for everyone.
const (
	OrderPerSender = "sender"
	OrderPerTopic  = "topic"
)

// IsDefined reports whether any limit is set.
func (l Limits) IsDefined() bool { return l != Limits{} }

// IsDefined reports whether any prefix has a lane.
func (l Lanes) IsDefined() bool { return len(l.Urgent)+len(l.Routine) > 0 }

// ByPrefix reports whether a space holds topics by prefix instead of by list.
func (s Space) ByPrefix() bool { return s.Prefix != "" || s.All }

// path returns what the names of the space's topics begin with. Topics stand in partitions by
// urgency, so a path keeps its urgency for good.
func (s Space) path() string {
	if s.ByPrefix() {
		return s.Prefix
	}
	return s.Name + "/"
}
