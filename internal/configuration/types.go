// Package configuration is the operators' whole, numbered description of all topic spaces.
package configuration

//go:generate go tool easyjson -disallow_unknown_fields -output_filename types_easyjson.go types.go

// Space is a family of topics: those listed, written name/topic, or all whose names begin with Prefix, or simply All.
// Among the spaces by prefix that begin a topic's name the longest prefix wins; a listed topic goes before any prefix.
// KeepMS is how long a kept space keeps, 0 for the fleet's keeping. DeadlineMS and AimMS, in milliseconds, say until when
// a message is worth anything and by when it should arrive; 0 says nothing. Order is BySender, also when empty, or ByTopic.
// Weight is the operators' own measure of importance.
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

// Limits bound what one visitor may do: topics on one connection and bytes of one body; 0 leaves the default.
//
//easyjson:json
type Limits struct {
	Topics int `json:"topics,omitempty"`
	Body   int `json:"body,omitempty"`
}

// Config holds all spaces. Sequence is above Base, the sequence that it builds on; left out it is Base plus one.
// Source is the operator's own document, kept as it was. With StandingLanes a space takes the lanes where its topics' lines
// stand instead of being turned away for its urgency. Lanes is the fleet's own table and no part of what an operator writes.
//
//easyjson:json
type Config struct {
	Sequence uint64  `json:"sequence,omitempty"`
	Base     uint64  `json:"base"`
	Spaces   []Space `json:"spaces"`
	Limits   Limits  `json:"limits,omitempty"`
	Source   string  `json:"source,omitempty"`

	StandingLanes bool  `json:"standing_lanes,omitempty"`
	Lanes         Lanes `json:"lanes,omitempty"`
}

// Lanes says where lines stand, by what the names of their topics begin with; the longest that begins a name decides. What stood once stays.
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

// Orders of a space: one order for each sender's messages, or one order of all messages of a topic for everyone.
const (
	OrderPerSender = "sender"
	OrderPerTopic  = "topic"
)

// IsDefined tells whether any limit is set.
func (l Limits) IsDefined() bool { return l != Limits{} }

// IsDefined tells whether any line stands.
func (l Lanes) IsDefined() bool { return len(l.Urgent)+len(l.Routine) > 0 }

// ByPrefix tells whether a space holds topics by prefix instead of by list.
func (s Space) ByPrefix() bool { return s.Prefix != "" || s.All }
