// Package description is the operators' whole, numbered description of all topic spaces.
package description

//go:generate go tool easyjson -disallow_unknown_fields -output_filename types_easyjson.go types.go

// Space is a family of topics.
//
//easyjson:json
type Space struct {
	Name   string   `json:"name"`
	Kind   string   `json:"kind"`
	Urgent bool     `json:"urgent,omitempty"`
	Topics []string `json:"topics"`
}

// Description holds all spaces; Sequence is Base plus one.
//
//easyjson:json
type Description struct {
	Sequence uint64  `json:"sequence,omitempty"`
	Base     uint64  `json:"base"`
	Spaces   []Space `json:"spaces"`
}

// Kinds of space.
const (
	Kept = "kept"
	Live = "live"
)
