package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"unicode/utf8"

	"github.com/mailru/easyjson"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration/strictjson"
)

// Limits of a description. MaxBytes bounds a document that is read and a source, MaxEncodedBytes both together as they are kept;
// MaxTimeMS bounds every time in it, in milliseconds.
const (
	MaxSpaces       = 4096
	MaxTopics       = 10000
	MaxBytes        = 4 << 20
	MaxEncodedBytes = 3 * MaxBytes
	MaxTimeMS       = 1 << 32
	countMost       = 1 << 31
)

var shape = strictjson.Shape{
	Kind:   strictjson.Object,
	Needed: []string{"base", "spaces"},
	Fields: map[string]strictjson.Shape{
		"base":           {Kind: strictjson.Count},
		"sequence":       {Kind: strictjson.Count},
		"source":         {Kind: strictjson.Text},
		"standing_lanes": {Kind: strictjson.Flag},
		"limits": {Kind: strictjson.Object, Fields: map[string]strictjson.Shape{
			"topics": {Kind: strictjson.Above},
			"body":   {Kind: strictjson.Above},
		}},
		"spaces": {Kind: strictjson.Array, Items: &strictjson.Shape{
			Kind:   strictjson.Object,
			Needed: []string{"name", "kind"},
			Fields: map[string]strictjson.Shape{
				"name":        {Kind: strictjson.Text},
				"kind":        {Kind: strictjson.Text},
				"urgent":      {Kind: strictjson.Flag},
				"topics":      {Kind: strictjson.Array, Items: &strictjson.Shape{Kind: strictjson.Text}},
				"prefix":      {Kind: strictjson.Text},
				"all":         {Kind: strictjson.Flag},
				"keep_ms":     {Kind: strictjson.Count},
				"deadline_ms": {Kind: strictjson.Above},
				"aim_ms":      {Kind: strictjson.Above},
				"order":       {Kind: strictjson.Text},
				"weight":      {Kind: strictjson.Count},
			},
		}},
	},
}

var (
	spaceRule  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	topicRule  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)
	prefixRule = regexp.MustCompile(`^[^\s\p{Cc}]{1,255}$`)
	kinds      = map[string]bool{KindRetained: true, KindLive: true}
	orders     = map[string]bool{"": true, OrderPerSender: true, OrderPerTopic: true}
)

// Parse reads a description and finds every fault in it.
func Parse(b []byte) (Config, error) {
	var d Config
	if len(b) > MaxBytes {
		return d, apierror.New(apierror.Oversize, "the description has %d bytes, the limit is %d", len(b), MaxBytes)
	}
	f, err := strictjson.Check(b, shape)
	if err != nil {
		return d, err
	}
	if len(f) > 0 {
		more := slices.DeleteFunc(lenient(b), func(m apierror.Fault) bool {
			return slices.ContainsFunc(f, func(o apierror.Fault) bool { return o.Path == m.Path })
		})
		return d, FaultsError(append(f, more...))
	}
	if err := easyjson.Unmarshal(b, &d); err != nil {
		return d, FaultsError([]apierror.Fault{{Path: "$", Message: err.Error()}})
	}
	return d, FaultsError(d.Faults())
}

func lenient(b []byte) []apierror.Fault {
	type loose struct {
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
	var l struct {
		Sequence      uint64  `json:"sequence"`
		Base          uint64  `json:"base"`
		Spaces        []loose `json:"spaces"`
		Limits        Limits  `json:"limits"`
		Source        string  `json:"source"`
		StandingLanes bool    `json:"standing_lanes"`
	}
	if json.Unmarshal(b, &l) != nil {
		return nil
	}
	d := Config{Sequence: l.Sequence, Base: l.Base, Limits: l.Limits, Source: l.Source, StandingLanes: l.StandingLanes}
	for _, s := range l.Spaces {
		d.Spaces = append(d.Spaces, Space(s))
	}
	return d.Faults()
}

// FaultsError makes one problem of faults, none of none.
func FaultsError(f []apierror.Fault) error {
	if len(f) == 0 {
		return nil
	}
	return apierror.New(apierror.ConfigurationInvalid, "the first fault is at %s: %s", f[0].Path, f[0].Message).WithFaults(f)
}

// Faults finds every fault of a description by itself.
func (d Config) Faults() []apierror.Fault {
	var f []apierror.Fault
	add := func(ok bool, place, say string, a ...any) {
		if !ok {
			f = append(f, apierror.Fault{Path: place, Message: fmt.Sprintf(say, a...)})
		}
	}
	add(d.Sequence == 0 || d.Sequence > d.Base, "$.sequence", "must be above base (%d) or left out, is %d", d.Base, d.Sequence)
	add(len(d.Spaces) <= MaxSpaces, "$.spaces", "must be at most %d, are %d", MaxSpaces, len(d.Spaces))
	add(len(d.Source) <= MaxBytes, "$.source", "must have at most %d bytes, has %d", MaxBytes, len(d.Source))
	add(utf8.ValidString(d.Source), "$.source", "must be UTF-8")
	add(d.Limits.Topics >= 0 && d.Limits.Topics < countMost, "$.limits.topics", "must be from 0 to %d, is %d", countMost-1, d.Limits.Topics)
	add(d.Limits.Body >= 0 && d.Limits.Body < countMost, "$.limits.body", "must be from 0 to %d, is %d", countMost-1, d.Limits.Body)
	names, begins, all := map[string]bool{}, map[string]bool{}, 0
	for i, s := range d.Spaces {
		at := fmt.Sprintf("$.spaces[%d]", i)
		if s.ByPrefix() {
			add(s.All && s.Name == "" || prefixRule.MatchString(s.Name), at+".name", "must be 1 to 255 characters without spaces, is %q", s.Name)
			add(s.All || prefixRule.MatchString(s.Prefix), at+".prefix", "must be 1 to 255 characters without spaces, is %q", s.Prefix)
			add(!s.All || s.Prefix == "", at+".prefix", "must be left out beside all")
			add(len(s.Topics) == 0, at+".topics", "must be left out of a space by prefix")
			add(!begins[s.Prefix], at+".prefix", "%q stands twice", s.Prefix)
			begins[s.Prefix] = true
		} else {
			add(spaceRule.MatchString(s.Name), at+".name", "must be 1 to 63 of a-z, 0-9 and -, is %q", s.Name)
		}
		add(!names[s.Name], at+".name", "%q stands twice", s.Name)
		names[s.Name] = true
		add(kinds[s.Kind], at+".kind", "must be kept or live, is %q", s.Kind)
		add(orders[s.Order], at+".order", "must be sender or topic, is %q", s.Order)
		add(s.RetentionMS == 0 || s.Kind != KindLive, at+".keep_ms", "must be left out of a live space")
		add(s.Weight >= 0 && s.Weight < countMost, at+".weight", "must be from 0 to %d, is %d", countMost-1, s.Weight)
		for _, t := range []struct {
			field string
			ms    uint64
		}{{".keep_ms", s.RetentionMS}, {".deadline_ms", s.DeadlineMS}, {".aim_ms", s.TargetLatencyMS}} {
			add(t.ms <= MaxTimeMS, at+t.field, "must be at most %d, is %d", MaxTimeMS, t.ms)
		}
		add(s.ByPrefix() || len(s.Topics) > 0, at+".topics", "must name at least one topic")
		seen := map[string]bool{}
		for k, t := range s.Topics {
			pl := fmt.Sprintf("%s.topics[%d]", at, k)
			add(topicRule.MatchString(t), pl, "must be 1 to 127 of letters, digits, ., _ and -, is %q", t)
			add(!seen[t], pl, "%q stands twice", t)
			seen[t] = true
		}
		all += len(s.Topics)
	}
	add(all <= MaxTopics, "$.spaces", "must have at most %d topics in all, have %d", MaxTopics, all)
	if d.StandingLanes {
		return f
	}
	return append(f, d.mixed()...)
}

// mixed finds spaces of which one may hold a topic of the other, now or once that one is gone, with another urgency.
func (d Config) mixed() []apierror.Fault {
	var in prefixes[int]
	for i, s := range d.Spaces {
		in.add(s.path(), i)
	}
	var f []apierror.Fault
	for i, s := range d.Spaces {
		in.each(s.path(), func(_ string, k int) bool {
			o := d.Spaces[k]
			if o.Urgent != s.Urgent {
				f = append(f, apierror.Fault{Path: fmt.Sprintf("$.spaces[%d].urgent", i), Message: fmt.Sprintf("must be that of %q, whose topics those of %q are a part of", o.Name, s.Name)})
				return false
			}
			return true
		})
	}
	return f
}

// path is what the names of a space's topics begin with. Lines stand in partitions by urgency, so a path keeps its urgency for good.
func (s Space) path() string {
	if s.ByPrefix() {
		return s.Prefix
	}
	return s.Name + "/"
}

// Normalized gives a description with what may be left out filled in, so that two that mean the same are the same.
func (d Config) Normalized() Config {
	if d.Sequence == 0 {
		d.Sequence = d.Base + 1
	}
	if d.Spaces == nil {
		d.Spaces = []Space{}
	}
	return d
}

// Equal tells whether two descriptions are one and the same, source and all. The table of lanes is the fleet's and doesn't count.
func (d Config) Equal(o Config) bool {
	d.Lanes, o.Lanes = Lanes{}, Lanes{}
	return d.Base == o.Base && bytes.Equal(d.Normalized().Marshal(), o.Normalized().Marshal())
}

// CheckSuccession checks a description against the one it is built on: a space that stays keeps its urgency,
// since its topics' lines stand in the partitions of that urgency. A space by prefix is the same under any name.
func (d Config) CheckSuccession(cur Config) error {
	was := map[string]Space{}
	for _, s := range cur.Spaces {
		was[s.path()] = s
	}
	var f []apierror.Fault
	for i, s := range d.Spaces {
		if o, ok := was[s.path()]; ok && o.Urgent != s.Urgent {
			f = append(f, apierror.Fault{Path: fmt.Sprintf("$.spaces[%d].urgent", i), Message: fmt.Sprintf("of the standing space %q can't change; make a new space", o.Name)})
		}
	}
	return FaultsError(f)
}

// Marshal writes a description.
func (d Config) Marshal() []byte {
	b, _ := easyjson.Marshal(d)
	return b
}
