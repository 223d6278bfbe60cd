package configuration

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

func byPrefix(prefix string, urgent bool) Space {
	return Space{Name: "n-" + prefix, Kind: KindRetained, Urgent: urgent, Prefix: prefix, All: prefix == ""}
}

func newConfig(spaces ...Space) Config { return Config{Spaces: spaces}.Normalized() }

func faults(t *testing.T, document string) string {
	t.Helper()
	_, err := Parse([]byte(document))
	if err == nil {
		return ""
	}
	var lines []string
	for _, fault := range apierror.From(err).Faults {
		lines = append(lines, fault.Path+" "+fault.Message)
	}
	return strings.Join(lines, "; ")
}

func TestFaults(t *testing.T) {
	with := func(spaces string) string { return `{"base":4,"spaces":[` + spaces + `]}` }
	for _, test := range []struct{ doc, want string }{
		{`{"base":4,"spaces":[]}`, ""},
		{`{"base":4,"sequence":5,"spaces":[]}`, ""},
		{`{"base":4,"sequence":90,"spaces":[],"limits":{"topics":200,"body":262144},"source":"{\"a\": 1 }"}`, ""},
		{`{"base":4,"sequence":4,"spaces":[]}`, "$.sequence must be above base (4) or left out, is 4"},
		{`{"base":4,"sequence":3,"spaces":[]}`, "$.sequence must be above base (4) or left out, is 3"},
		{
			`{"base":4,"spaces":[],"limits":{"topics":0,"more":1}}`,
			"$.limits.topics must be a whole number above 0, is 0; $.limits.more is not a field of this document",
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka.","keep_ms":35000,"deadline_ms":1500,"aim_ms":120,"order":"topic","weight":2},{"name":"b","kind":"live","all":true}`),
			"",
		},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","keep_ms":0}`), ""},
		{with(`{"name":"Not.Like/a-list","kind":"kept","prefix":"ka."}`), ""},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka.","deadline_ms":0}`),
			"$.spaces[0].deadline_ms must be a whole number above 0, is 0",
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka.","deadline_ms":4294967297}`),
			"$.spaces[0].deadline_ms must be at most 4294967296, is 4294967297",
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka.","aim_ms":0,"weight":-1}`),
			"$.spaces[0].aim_ms must be a whole number above 0, is 0; $.spaces[0].weight must be a whole number from 0, is -1",
		},
		{
			with(`{"name":"a","kind":"live","prefix":"ka.","keep_ms":1}`),
			"$.spaces[0].keep_ms must be left out of a live space",
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka.","order":"line"}`),
			`$.spaces[0].order must be sender or topic, is "line"`,
		},
		{with(`{"name":"a","kind":"kept","prefix":""}`), "$.spaces[0].topics must name at least one topic"},
		{
			with(`{"name":"a","kind":"kept","prefix":"k a"}`),
			`$.spaces[0].prefix must be 1 to 255 characters without spaces, is "k a"`,
		},
		{with(`{"name":"a","kind":"kept","prefix":"ka","all":true}`), "$.spaces[0].prefix must be left out beside all"},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka","topics":["x"]}`),
			"$.spaces[0].topics must be left out of a space by prefix",
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka"},{"name":"b","kind":"live","prefix":"ka"}`),
			`$.spaces[1].prefix "ka" stands twice`,
		},
		{
			with(`{"name":"a","kind":"kept","all":true},{"name":"b","kind":"live","all":true}`),
			`$.spaces[1].prefix "" stands twice`,
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka"},{"name":"a","kind":"live","prefix":"kb"}`),
			`$.spaces[1].name "a" stands twice`,
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka"},{"name":"b","kind":"kept","prefix":"kab","urgent":true}`),
			`$.spaces[1].urgent must be that of "a", whose topics those of "b" are a part of`,
		},
		{
			with(`{"name":"b","kind":"kept","urgent":true,"topics":["x"]},{"name":"a","kind":"kept","all":true}`),
			`$.spaces[0].urgent must be that of "a", whose topics those of "b" are a part of`,
		},
		{
			with(`{"name":"a","kind":"kept","prefix":"ka","colour":1},{"name":"b","kind":"kept","prefix":"ka"}`),
			`$.spaces[0].colour is not a field of this document; $.spaces[1].prefix "ka" stands twice`,
		},
	} {
		assert.Equal(t, faults(t, test.doc), test.want, test.doc)
	}
	assert.Equal(
		t, Config{Sequence: 1, Source: "\xff"}.Faults()[0],
		apierror.Fault{Path: "$.source", Message: "must be UTF-8"},
	)
}

func TestLimits(t *testing.T) {
	config := newConfig()
	for i := range MaxSpaces {
		config.Spaces = append(config.Spaces, byPrefix(fmt.Sprintf("p%d.", i), false))
	}
	config.Source = strings.Repeat("x", MaxBytes)
	assert.Equal(t, len(config.Faults()), 0)
	config.Source += "x"
	assert.Equal(t, config.Faults()[0].Message, "must have at most 4194304 bytes, has 4194305")
	config.Source, config.Spaces = "", append(config.Spaces, byPrefix("q", false))
	assert.Equal(t, config.Faults()[0].Message, "must be at most 4096, are 4097")
	_, err := Parse(make([]byte, MaxBytes+1))
	assert.Assert(t, apierror.HasCode(err, apierror.Oversize), "%v", err)
}

func TestMarshal_ParsesBackUnchanged(t *testing.T) {
	config := Config{Base: 3, Sequence: 9, Limits: Limits{
		Topics: 200,
	}, Source: "{\"a\": \"<é>\" }\r\n", Spaces: []Space{
		{Name: "a", Kind: KindRetained, Topics: []string{"x"}},
		{
			Name: "b", Kind: KindRetained, Urgent: true, Prefix: "kb.", RetentionMS: 1,
			DeadlineMS: 2, TargetLatencyMS: 3, Order: OrderPerTopic, Weight: 4,
		},
		{Name: "c", Kind: KindLive, Prefix: "kc."},
	}}
	got, err := Parse(config.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, config)
	assert.Assert(t, got.Equal(config))
	for _, change := range []func(*Config){
		func(config *Config) { config.Source += " " },
		func(config *Config) { config.Base-- },
		func(config *Config) { config.Sequence++ },
		func(config *Config) { config.Limits.Body++ },
		func(config *Config) { config.Spaces[1].Weight++ },
		func(config *Config) { config.Spaces = config.Spaces[:2] },
	} {
		changed, err := Parse(config.Marshal())
		assert.NilError(t, err)
		change(&changed)
		assert.Assert(t, !changed.Equal(config))
	}
	assert.Equal(t, string(newConfig().Marshal()), `{"sequence":1,"base":0,"spaces":[]}`)
	old, err := Parse([]byte(`{"sequence":1,"base":0,"spaces":[{"name":"a","kind":"kept","topics":["x"]}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, old, newConfig(Space{Name: "a", Kind: KindRetained, Topics: []string{"x"}}))
}

func TestIndexFindsTheLongestPrefix(t *testing.T) {
	index := NewIndex(Config{Sequence: 7, Limits: Limits{Topics: 5}, Spaces: []Space{
		{Name: "list", Kind: KindRetained, Topics: []string{"a"}},
		byPrefix("ka.", false), byPrefix("ka.b", false), byPrefix("list/", false),
		{Name: "k", Kind: KindLive, Prefix: "k", DeadlineMS: 5},
	}})
	for topic, want := range map[string]string{
		"list/a": "list", "list/b": "n-list/", "ka.": "n-ka.", "ka.a": "n-ka.", "ka.b": "n-ka.b",
		"ka.bc": "n-ka.b", "ka": "k", "k": "k", "kb.x": "k",
	} {
		space, err := index.Find(topic)
		assert.NilError(t, err)
		assert.Equal(t, space.Name, want, topic)
	}
	space, _ := index.Find("list/a")
	assert.Assert(t, space.Topics == nil)
	space, _ = index.Find("k1")
	assert.DeepEqual(t, space, Space{Name: "k", Kind: KindLive, Prefix: "k", DeadlineMS: 5})
	assert.Equal(t, index.Limits.Topics, 5)
	for _, topic := range []string{"", "list", "j", "jka.b"} {
		_, err := index.Find(topic)
		assert.Assert(t, apierror.HasCode(err, apierror.UnknownSpace), "%q: %v", topic, err)
	}
	_, err := NewIndex(newConfig(Space{Name: "list", Kind: KindRetained, Topics: []string{"a"}})).Find("list/b")
	assert.Assert(t, apierror.HasCode(err, apierror.UnknownTopic), "%v", err)
	space, err = NewIndex(newConfig(byPrefix("", false), byPrefix("ka.", false))).Find("anything")
	assert.NilError(t, err)
	assert.Equal(t, space.Name, "n-")
}

func TestUrgencyStaysWithThePrefix(t *testing.T) {
	listed := Space{Name: "line", Kind: KindRetained, Urgent: true, Topics: []string{"a"}}
	named := func(space Space, name string) Space { space.Name = name; return space }
	for _, test := range []struct {
		name          string
		current, next Config
		removed       string
		succeeds      bool
		allowed       bool
		removedAfter  string
	}{
		{"stays", newConfig(byPrefix("a", true)), newConfig(byPrefix("a", true)), `{}`, true, true, `{}`},
		{
			"renamed", newConfig(byPrefix("a", true)),
			newConfig(named(byPrefix("a", true), "other")), `{}`, true, true, `{}`,
		},
		{
			"renamed and changed", newConfig(byPrefix("a", true)),
			newConfig(named(byPrefix("a", false), "other")), `{}`, false, false, `{}`,
		},
		{
			"name reused", newConfig(named(byPrefix("a", true), "x")),
			newConfig(named(byPrefix("b", false), "x")), `{}`, true, true, `{"=a":true}`,
		},
		{"removed", newConfig(byPrefix("a", true), listed), newConfig(), `{}`, true, true, `{"=a":true,"line":true}`},
		{
			"added again", newConfig(), newConfig(byPrefix("a", true), listed), `{"=a":true,"line":true}`,
			true, true, `{"=a":true,"line":true}`,
		},
		{"added again, changed", newConfig(), newConfig(byPrefix("a", false)), `{"=a":true}`, true, false, `{"=a":true}`},
		{"a part of it added again", newConfig(), newConfig(byPrefix("ab", false)), `{"=a":true}`, true, false, `{"=a":true}`},
		{"added again within all", newConfig(), newConfig(byPrefix("", false)), `{"=a":true}`, true, false, `{"=a":true}`},
		{"beside", newConfig(), newConfig(byPrefix("b", false)), `{"=a":true}`, true, true, `{"=a":true}`},
		{"list replaced by prefix", newConfig(listed), newConfig(byPrefix("line/", false)), `{}`, false, false, `{"line":true}`},
		{"list replaced by all", newConfig(listed), newConfig(byPrefix("", false)), `{}`, true, false, `{"line":true}`},
		{
			"list added again", newConfig(),
			newConfig(Space{Name: "line", Kind: KindRetained, Topics: []string{"b"}}),
			`{"line":true}`, true, false, `{"line":true}`,
		},
	} {
		removed, err := ParseRemovedSpaces([]byte(test.removed))
		assert.NilError(t, err)
		assert.Equal(t, test.next.CheckSuccession(test.current) == nil, test.succeeds, test.name)
		changed, err := removed.Check(test.next, test.current)
		assert.Equal(t, err == nil, test.allowed, "%s: %v", test.name, err)
		if test.allowed {
			assert.Equal(t, string(removed.Marshal()), test.removedAfter, test.name)
			assert.Equal(t, changed, test.removed != test.removedAfter, test.name)
		}
	}
}

func TestTooManyRemovedSpaces(t *testing.T) {
	removed := RemovedSpaces{}
	var routine, urgent Config
	for i := range MaxRemovedSpaces {
		routine.Spaces = append(routine.Spaces, byPrefix(fmt.Sprintf("r%d.", i), false))
		urgent.Spaces = append(urgent.Spaces, byPrefix(fmt.Sprintf("u%d.", i), true))
	}
	allUrgent := urgent
	urgent.Spaces = urgent.Spaces[:3]
	_, err := removed.Check(newConfig(), urgent)
	assert.NilError(t, err)
	_, err = removed.Check(newConfig(), routine)
	assert.NilError(t, err, "spaces that were not urgent can always be removed")
	assert.Equal(t, string(removed.Marshal()), `{"*":false,"=u0.":true,"=u1.":true,"=u2.":true}`)
	changed, err := removed.Check(newConfig(), newConfig(byPrefix("s", false)))
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	_, err = removed.Check(
		newConfig(byPrefix("r7.", false), byPrefix("new", false), byPrefix("u1.", true)),
		newConfig(),
	)
	assert.NilError(t, err)
	_, err = removed.Check(newConfig(byPrefix("u1.x", true)), newConfig())
	assert.NilError(t, err)
	_, err = removed.Check(newConfig(byPrefix("r7.", true)), newConfig())
	assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v", err)
	_, err = removed.Check(newConfig(byPrefix("u1.", false)), newConfig())
	assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v", err)
	_, err = removed.Check(newConfig(), allUrgent)
	assert.ErrorContains(t, err, "would make 4096 removed urgent spaces, at most 4095 can be recorded")
}

func BenchmarkFind(b *testing.B) {
	var config Config
	for i := range 514 {
		config.Spaces = append(config.Spaces, byPrefix(fmt.Sprintf("k%d%s.", i, strings.Repeat("x", i%6)), false))
	}
	index := NewIndex(config)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = index.Find("k77xxxxx.1f")
	}
}
