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

var documentShape = strictjson.Shape{
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

// Parse reads a configuration as an operator wrote it. It fails with apierror.Oversize above
// MaxBytes, with apierror.Malformed for a document that is not JSON, and with
// apierror.ConfigurationInvalid and every fault of the document otherwise.
func Parse(document []byte) (Config, error) {
	if len(document) > MaxBytes {
		return Config{}, apierror.New(apierror.Oversize, "the description has %d bytes, the limit is %d",
			len(document), MaxBytes)
	}
	faults, err := strictjson.Check(document, documentShape)
	if err != nil {
		return Config{}, err
	}
	if len(faults) > 0 {
		otherFaults := slices.DeleteFunc(lenientFaults(document), func(fault apierror.Fault) bool {
			return slices.ContainsFunc(faults, func(known apierror.Fault) bool { return known.Path == fault.Path })
		})
		return Config{}, FaultsError(append(faults, otherFaults...))
	}
	var config Config
	if err := easyjson.Unmarshal(document, &config); err != nil {
		return config, FaultsError([]apierror.Fault{{Path: "$", Message: err.Error()}})
	}
	return config, FaultsError(config.Faults())
}

// lenientFaults returns the faults of the values in a document whose shape is wrong too, so that an
// operator sees all faults at once. Unknown fields are ignored.
func lenientFaults(document []byte) []apierror.Fault {
	type lenientSpace struct { // Space without its strict decoder
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
		Sequence         uint64         `json:"sequence"`
		Base             uint64         `json:"base"`
		Spaces           []lenientSpace `json:"spaces"`
		Limits           Limits         `json:"limits"`
		Source           string         `json:"source"`
		UseAssignedLanes bool           `json:"standing_lanes"`
	}
	if json.Unmarshal(document, &lenient) != nil {
		return nil
	}
	config := Config{
		Sequence:         lenient.Sequence,
		Base:             lenient.Base,
		Limits:           lenient.Limits,
		Source:           lenient.Source,
		UseAssignedLanes: lenient.UseAssignedLanes,
	}
	for _, space := range lenient.Spaces {
		config.Spaces = append(config.Spaces, Space(space))
	}
	return config.Faults()
}

// Marshal writes a configuration as JSON.
func (c Config) Marshal() []byte {
	b, _ := easyjson.Marshal(c) // numbers, strings and booleans only: it can't fail
	return b
}

// Normalized returns the configuration with optional fields filled in, so that two configurations
// of the same meaning are equal.
func (c Config) Normalized() Config {
	if c.Sequence == 0 {
		c.Sequence = c.Base + 1
	}
	if c.Spaces == nil {
		c.Spaces = []Space{}
	}
	return c
}

// Equal reports whether two configurations are the same, including their sources. The table of
// lanes is maintained by the fleet and is not compared.
func (c Config) Equal(other Config) bool {
	c.Lanes, other.Lanes = Lanes{}, Lanes{}
	return c.Base == other.Base && bytes.Equal(c.Normalized().Marshal(), other.Normalized().Marshal())
}

// CheckSuccession checks a configuration against the current one, which it builds on. A space that
// is in both must not change its urgency, since its topics are stored in partitions of that
// urgency. A space by prefix is the same space under any name. The error is
// apierror.ConfigurationInvalid with every fault.
func (c Config) CheckSuccession(current Config) error {
	currentSpaces := map[string]Space{}
	for _, space := range current.Spaces {
		currentSpaces[space.path()] = space
	}
	var faults []apierror.Fault
	for i, space := range c.Spaces {
		old, ok := currentSpaces[space.path()]
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
