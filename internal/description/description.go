package description

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/mailru/easyjson"

	"postjunction/internal/description/strict"
	"postjunction/internal/problem"
)

// Limits of a description.
const (
	SpacesMost = 256
	TopicsMost = 10000
	BytesMost  = 1 << 20
)

var shape = strict.Shape{
	Kind:   strict.Object,
	Needed: []string{"base", "spaces"},
	Fields: map[string]strict.Shape{
		"base":     {Kind: strict.Count},
		"sequence": {Kind: strict.Count},
		"spaces": {Kind: strict.Array, Items: &strict.Shape{
			Kind:   strict.Object,
			Needed: []string{"name", "kind", "topics"},
			Fields: map[string]strict.Shape{
				"name":   {Kind: strict.Text},
				"kind":   {Kind: strict.Text},
				"urgent": {Kind: strict.Flag},
				"topics": {Kind: strict.Array, Items: &strict.Shape{Kind: strict.Text}},
			},
		}},
	},
}

var (
	spaceRule = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	topicRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)
	kinds     = map[string]bool{Kept: true, Live: true}
)

// Parse reads a description and finds every fault in it.
func Parse(b []byte) (Description, error) {
	var d Description
	if len(b) > BytesMost {
		return d, problem.New(problem.Oversize, "the description has %d bytes, the limit is %d", len(b), BytesMost)
	}
	f, err := strict.Check(b, shape)
	if err != nil {
		return d, err
	}
	if len(f) > 0 {
		return d, bad(append(f, lenient(b)...))
	}
	if err := easyjson.Unmarshal(b, &d); err != nil {
		return d, bad([]problem.Fault{{Place: "$", Say: err.Error()}})
	}
	return d, bad(d.faults())
}

func lenient(b []byte) []problem.Fault {
	var l struct {
		Sequence, Base uint64
		Spaces         []struct {
			Name, Kind string
			Urgent     bool
			Topics     []string
		}
	}
	if json.Unmarshal(b, &l) != nil {
		return nil
	}
	d := Description{Sequence: l.Sequence, Base: l.Base}
	for _, s := range l.Spaces {
		d.Spaces = append(d.Spaces, Space(s))
	}
	return d.faults()
}

func bad(f []problem.Fault) error {
	if len(f) == 0 {
		return nil
	}
	return problem.New(problem.DescriptionBad, "the first fault is at %s: %s", f[0].Place, f[0].Say).With(f)
}

func (d Description) faults() []problem.Fault {
	var f []problem.Fault
	add := func(ok bool, place, say string, a ...any) {
		if !ok {
			f = append(f, problem.Fault{Place: place, Say: fmt.Sprintf(say, a...)})
		}
	}
	add(d.Sequence == 0 || d.Sequence == d.Base+1, "$.sequence", "must be base plus one (%d) or left out, is %d", d.Base+1, d.Sequence)
	add(len(d.Spaces) <= SpacesMost, "$.spaces", "must be at most %d, are %d", SpacesMost, len(d.Spaces))
	names, all := map[string]bool{}, 0
	for i, s := range d.Spaces {
		at := fmt.Sprintf("$.spaces[%d]", i)
		add(spaceRule.MatchString(s.Name), at+".name", "must be 1 to 63 of a-z, 0-9 and -, is %q", s.Name)
		add(!names[s.Name], at+".name", "%q stands twice", s.Name)
		names[s.Name] = true
		add(kinds[s.Kind], at+".kind", "must be kept or live, is %q", s.Kind)
		add(len(s.Topics) > 0, at+".topics", "must name at least one topic")
		seen := map[string]bool{}
		for k, t := range s.Topics {
			pl := fmt.Sprintf("%s.topics[%d]", at, k)
			add(topicRule.MatchString(t), pl, "must be 1 to 127 of letters, digits, ., _ and -, is %q", t)
			add(!seen[t], pl, "%q stands twice", t)
			seen[t] = true
		}
		all += len(s.Topics)
	}
	add(all <= TopicsMost, "$.spaces", "must have at most %d topics in all, have %d", TopicsMost, all)
	return f
}

// Follows checks a description against the one it is built on: a space that stays keeps its urgency,
// since its topics' lines stand in the partitions of that urgency.
func (d Description) Follows(cur Description) error {
	was := map[string]Space{}
	for _, s := range cur.Spaces {
		was[s.Name] = s
	}
	var f []problem.Fault
	for i, s := range d.Spaces {
		if o, ok := was[s.Name]; ok && o.Urgent != s.Urgent {
			f = append(f, problem.Fault{Place: fmt.Sprintf("$.spaces[%d].urgent", i), Say: fmt.Sprintf("of the standing space %q can't change; make a new space", s.Name)})
		}
	}
	return bad(f)
}

// Pack writes a description.
func (d Description) Pack() []byte {
	b, _ := easyjson.Marshal(d)
	return b
}

// Index finds topics by name.
type Index struct {
	Sequence uint64
	topics   map[string]Space
	spaces   map[string]bool
}

// NewIndex makes the index of a description.
func NewIndex(d Description) *Index {
	x := &Index{Sequence: d.Sequence, topics: map[string]Space{}, spaces: map[string]bool{}}
	for _, s := range d.Spaces {
		x.spaces[s.Name] = true
		for _, t := range s.Topics {
			x.topics[s.Name+"/"+t] = Space{Name: s.Name, Kind: s.Kind, Urgent: s.Urgent}
		}
	}
	return x
}

// Find gives the space of a topic written space/topic.
func (x *Index) Find(topic string) (Space, error) {
	if s, ok := x.topics[topic]; ok {
		return s, nil
	}
	n, _, ok := strings.Cut(topic, "/")
	if !ok || !x.spaces[n] {
		return Space{}, problem.New(problem.UnknownSpace, "description %d has no space for %q; topics are written space/topic", x.Sequence, topic).At(x.Sequence)
	}
	return Space{}, problem.New(problem.UnknownTopic, "description %d has no topic %q", x.Sequence, topic).At(x.Sequence)
}
