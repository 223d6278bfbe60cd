package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/mailru/easyjson"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration/strictjson"
)

var shape = strictjson.Shape{
	Kind:     strictjson.Object,
	Required: []string{"base", "spaces"},
	Fields: map[string]strictjson.Shape{
		"base":           {Kind: strictjson.Count},
		"sequence":       {Kind: strictjson.Count},
		"source":         {Kind: strictjson.Text},
		"standing_lanes": {Kind: strictjson.Flag},
		"limits": {Kind: strictjson.Object, Fields: map[string]strictjson.Shape{
			"topics": {Kind: strictjson.Positive},
			"body":   {Kind: strictjson.Positive},
		}},
		"spaces": {Kind: strictjson.Array, Items: &strictjson.Shape{
			Kind:     strictjson.Object,
			Required: []string{"name", "kind"},
			Fields: map[string]strictjson.Shape{
				"name":        {Kind: strictjson.Text},
				"kind":        {Kind: strictjson.Text},
				"urgent":      {Kind: strictjson.Flag},
				"topics":      {Kind: strictjson.Array, Items: &strictjson.Shape{Kind: strictjson.Text}},
				"prefix":      {Kind: strictjson.Text},
				"all":         {Kind: strictjson.Flag},
				"keep_ms":     {Kind: strictjson.Count},
				"deadline_ms": {Kind: strictjson.Positive},
				"aim_ms":      {Kind: strictjson.Positive},
				"order":       {Kind: strictjson.Text},
				"weight":      {Kind: strictjson.Count},
			},
		}},
	},
}

// Parse reads a configuration as an operator wrote it. Its errors are apierror.Oversize above
// MaxBytes, apierror.Malformed for what is no JSON, and apierror.ConfigurationInvalid with every
// fault of the document.
func Parse(document []byte) (Config, error) {
	if len(document) > MaxBytes {
		return Config{}, apierror.New(apierror.Oversize, "the description has %d bytes, the limit is %d",
			len(document), MaxBytes)
	}
	faults, err := strictjson.Check(document, shape)
	if err != nil {
		return Config{}, err
	}
	if len(faults) > 0 {
		more := slices.DeleteFunc(lenientFaults(document), func(fault apierror.Fault) bool {
			return slices.ContainsFunc(faults, func(known apierror.Fault) bool { return known.Path == fault.Path })
		})
		return Config{}, FaultsError(append(faults, more...))
	}
	var c Config
	if err := easyjson.Unmarshal(document, &c); err != nil {
		return c, FaultsError([]apierror.Fault{{Path: "$", Message: err.Error()}})
	}
	return c, FaultsError(c.Faults())
}

// lenientFaults returns the faults of the values in a document whose shape is wrong already,
// unknown fields left out, so that an operator sees all of them at once.
func lenientFaults(document []byte) []apierror.Fault {
	type loose struct { // Space, without the strict decoder
		Name            string   `json:"name"`
		Kind            string   `json:"kind"`
		Urgent          bool     `json:"urgent"`
		Topics          []string `json:"topics"`
		Prefix          string   `json:"prefix"`
		All             bool     `json:"all"`
		RetentionMS     uint64   `json:"keep_ms"`
		DeadlineMS      uint64   `json:"deadline_ms"`
		TargetLatencyMS uint64   `json:"aim_ms"`
		Order           string   `json:"order"`
		Weight          int      `json:"weight"`
	}
	var lenient struct {
		Sequence      uint64  `json:"sequence"`
		Base          uint64  `json:"base"`
		Spaces        []loose `json:"spaces"`
		Limits        Limits  `json:"limits"`
		Source        string  `json:"source"`
		StandingLanes bool    `json:"standing_lanes"`
	}
	if json.Unmarshal(document, &lenient) != nil {
		return nil
	}
	c := Config{
		Sequence:         lenient.Sequence,
		Base:             lenient.Base,
		Limits:           lenient.Limits,
		Source:           lenient.Source,
		UseAssignedLanes: lenient.StandingLanes,
	}
	for _, space := range lenient.Spaces {
		c.Spaces = append(c.Spaces, Space(space))
	}
	return c.Faults()
}

// Marshal writes a configuration as JSON.
func (c Config) Marshal() []byte {
	b, _ := easyjson.Marshal(c) // numbers, strings and booleans only: it can't fail
	return b
}

// Normalized returns the configuration with what may be left out filled in, so that two that mean
// the same are the same.
func (c Config) Normalized() Config {
	if c.Sequence == 0 {
		c.Sequence = c.Base + 1
	}
	if c.Spaces == nil {
		c.Spaces = []Space{}
	}
	return c
}

// Equal reports whether two configurations are the same, source included. The table of lanes is the
// fleet's and doesn't count.
func (c Config) Equal(other Config) bool {
	c.Lanes, other.Lanes = Lanes{}, Lanes{}
	return c.Base == other.Base && bytes.Equal(c.Normalized().Marshal(), other.Normalized().Marshal())
}

// CheckSuccession checks a configuration against the current one, which it is built on: a space
// that stays keeps its urgency, since its topics stand in the partitions of that urgency. A space
// by prefix is the same under any name. The error is apierror.ConfigurationInvalid with every
// fault.
func (c Config) CheckSuccession(current Config) error {
	before := map[string]Space{}
	for _, space := range current.Spaces {
		before[space.path()] = space
	}
	var faults []apierror.Fault
	for i, space := range c.Spaces {
		old, ok := before[space.path()]
		if !ok || old.Urgent == space.Urgent {
			continue
		}
		faults = append(faults, apierror.Fault{
			Path:    fmt.Sprintf("$.spaces[%d].urgent", i),
			Message: fmt.Sprintf("of the standing space %q can't change; make a new space", old.Name),
		})
	}
	return FaultsError(faults)
}
