package configuration

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

func open(prefix string, urgent bool) Space {
	return Space{Name: "n-" + prefix, Kind: KindRetained, Urgent: urgent, Prefix: prefix, All: prefix == ""}
}

func described(ss ...Space) Config { return Config{Spaces: ss}.Normalized() }

func faults(t *testing.T, doc string) string {
	t.Helper()
	_, err := Parse([]byte(doc))
	if err == nil {
		return ""
	}
	var fs []string
	for _, f := range apierror.From(err).Faults {
		fs = append(fs, f.Path+" "+f.Message)
	}
	return strings.Join(fs, "; ")
}

func TestFaults(t *testing.T) {
	with := func(s string) string { return `{"base":4,"spaces":[` + s + `]}` }
	for _, c := range []struct{ doc, want string }{
		{`{"base":4,"spaces":[]}`, ""},
		{`{"base":4,"sequence":5,"spaces":[]}`, ""},
		{`{"base":4,"sequence":90,"spaces":[],"limits":{"topics":200,"body":262144},"source":"{\"a\": 1 }"}`, ""},
		{`{"base":4,"sequence":4,"spaces":[]}`, "$.sequence must be above base (4) or left out, is 4"},
		{`{"base":4,"sequence":3,"spaces":[]}`, "$.sequence must be above base (4) or left out, is 3"},
		{`{"base":4,"spaces":[],"limits":{"topics":0,"more":1}}`, "$.limits.topics must be a whole number above 0, is 0; $.limits.more is not a field of this document"},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","keep_ms":35000,"deadline_ms":1500,"aim_ms":120,"order":"topic","weight":2},{"name":"b","kind":"live","all":true}`), ""},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","keep_ms":0}`), ""},
		{with(`{"name":"Not.Like/a-list","kind":"kept","prefix":"ka."}`), ""},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","deadline_ms":0}`), "$.spaces[0].deadline_ms must be a whole number above 0, is 0"},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","deadline_ms":4294967297}`), "$.spaces[0].deadline_ms must be at most 4294967296, is 4294967297"},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","aim_ms":0,"weight":-1}`), "$.spaces[0].aim_ms must be a whole number above 0, is 0; $.spaces[0].weight must be a whole number from 0, is -1"},
		{with(`{"name":"a","kind":"live","prefix":"ka.","keep_ms":1}`), "$.spaces[0].keep_ms must be left out of a live space"},
		{with(`{"name":"a","kind":"kept","prefix":"ka.","order":"line"}`), `$.spaces[0].order must be sender or topic, is "line"`},
		{with(`{"name":"a","kind":"kept","prefix":""}`), "$.spaces[0].topics must name at least one topic"},
		{with(`{"name":"a","kind":"kept","prefix":"k a"}`), `$.spaces[0].prefix must be 1 to 255 characters without spaces, is "k a"`},
		{with(`{"name":"a","kind":"kept","prefix":"ka","all":true}`), "$.spaces[0].prefix must be left out beside all"},
		{with(`{"name":"a","kind":"kept","prefix":"ka","topics":["x"]}`), "$.spaces[0].topics must be left out of a space by prefix"},
		{with(`{"name":"a","kind":"kept","prefix":"ka"},{"name":"b","kind":"live","prefix":"ka"}`), `$.spaces[1].prefix "ka" stands twice`},
		{with(`{"name":"a","kind":"kept","all":true},{"name":"b","kind":"live","all":true}`), `$.spaces[1].prefix "" stands twice`},
		{with(`{"name":"a","kind":"kept","prefix":"ka"},{"name":"a","kind":"live","prefix":"kb"}`), `$.spaces[1].name "a" stands twice`},
		{with(`{"name":"a","kind":"kept","prefix":"ka"},{"name":"b","kind":"kept","prefix":"kab","urgent":true}`), `$.spaces[1].urgent must be that of "a", whose topics those of "b" are a part of`},
		{with(`{"name":"b","kind":"kept","urgent":true,"topics":["x"]},{"name":"a","kind":"kept","all":true}`), `$.spaces[0].urgent must be that of "a", whose topics those of "b" are a part of`},
		{with(`{"name":"a","kind":"kept","prefix":"ka","colour":1},{"name":"b","kind":"kept","prefix":"ka"}`), `$.spaces[0].colour is not a field of this document; $.spaces[1].prefix "ka" stands twice`},
	} {
		assert.Equal(t, faults(t, c.doc), c.want, c.doc)
	}
	assert.Equal(t, Config{Sequence: 1, Source: "\xff"}.Faults()[0], apierror.Fault{Path: "$.source", Message: "must be UTF-8"})
}

func TestLimits(t *testing.T) {
	d := described()
	for i := range MaxSpaces {
		d.Spaces = append(d.Spaces, open(fmt.Sprintf("p%d.", i), false))
	}
	d.Source = strings.Repeat("x", MaxBytes)
	assert.Equal(t, len(d.Faults()), 0)
	d.Source += "x"
	assert.Equal(t, d.Faults()[0].Message, "must have at most 4194304 bytes, has 4194305")
	d.Source, d.Spaces = "", append(d.Spaces, open("q", false))
	assert.Equal(t, d.Faults()[0].Message, "must be at most 4096, are 4097")
	_, err := Parse(make([]byte, MaxBytes+1))
	assert.Assert(t, apierror.HasCode(err, apierror.Oversize), "%v", err)
}

func TestPackReadsBackAsItWas(t *testing.T) {
	d := Config{Base: 3, Sequence: 9, Limits: Limits{Topics: 200}, Source: "{\"a\": \"<é>\" }\r\n", Spaces: []Space{
		{Name: "a", Kind: KindRetained, Topics: []string{"x"}},
		{Name: "b", Kind: KindRetained, Urgent: true, Prefix: "kb.", RetentionMS: 1, DeadlineMS: 2, TargetLatencyMS: 3, Order: OrderPerTopic, Weight: 4},
		{Name: "c", Kind: KindLive, Prefix: "kc."},
	}}
	got, err := Parse(d.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, d)
	assert.Assert(t, got.Equal(d))
	for _, o := range []func(*Config){
		func(d *Config) { d.Source += " " }, func(d *Config) { d.Base-- }, func(d *Config) { d.Sequence++ }, func(d *Config) { d.Limits.Body++ },
		func(d *Config) { d.Spaces[1].Weight++ }, func(d *Config) { d.Spaces = d.Spaces[:2] },
	} {
		x, err := Parse(d.Marshal())
		assert.NilError(t, err)
		o(&x)
		assert.Assert(t, !x.Equal(d))
	}
	assert.Equal(t, string(described().Marshal()), `{"sequence":1,"base":0,"spaces":[]}`)
	old, err := Parse([]byte(`{"sequence":1,"base":0,"spaces":[{"name":"a","kind":"kept","topics":["x"]}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, old, described(Space{Name: "a", Kind: KindRetained, Topics: []string{"x"}}))
}

func TestIndexFindsTheLongestPrefix(t *testing.T) {
	x := NewIndex(Config{Sequence: 7, Limits: Limits{Topics: 5}, Spaces: []Space{
		{Name: "list", Kind: KindRetained, Topics: []string{"a"}},
		open("ka.", false), open("ka.b", false), open("list/", false),
		{Name: "k", Kind: KindLive, Prefix: "k", DeadlineMS: 5},
	}})
	for topic, want := range map[string]string{"list/a": "list", "list/b": "n-list/", "ka.": "n-ka.", "ka.a": "n-ka.", "ka.b": "n-ka.b", "ka.bc": "n-ka.b", "ka": "k", "k": "k", "kb.x": "k"} {
		s, err := x.Find(topic)
		assert.NilError(t, err)
		assert.Equal(t, s.Name, want, topic)
	}
	s, _ := x.Find("list/a")
	assert.Assert(t, s.Topics == nil)
	s, _ = x.Find("k1")
	assert.DeepEqual(t, s, Space{Name: "k", Kind: KindLive, Prefix: "k", DeadlineMS: 5})
	assert.Equal(t, x.Limits.Topics, 5)
	for _, topic := range []string{"", "list", "j", "jka.b"} {
		_, err := x.Find(topic)
		assert.Assert(t, apierror.HasCode(err, apierror.UnknownSpace), "%q: %v", topic, err)
	}
	_, err := NewIndex(described(Space{Name: "list", Kind: KindRetained, Topics: []string{"a"}})).Find("list/b")
	assert.Assert(t, apierror.HasCode(err, apierror.UnknownTopic), "%v", err)
	s, err = NewIndex(described(open("", false), open("ka.", false))).Find("anything")
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "n-")
}

func TestUrgencyStaysWithThePrefix(t *testing.T) {
	line := Space{Name: "line", Kind: KindRetained, Urgent: true, Topics: []string{"a"}}
	named := func(s Space, n string) Space { s.Name = n; return s }
	for _, c := range []struct {
		say      string
		cur, d   Config
		old      string
		follows  bool
		comeback bool
		kept     string
	}{
		{"stays", described(open("a", true)), described(open("a", true)), `{}`, true, true, `{}`},
		{"renamed", described(open("a", true)), described(named(open("a", true), "other")), `{}`, true, true, `{}`},
		{"renamed and changed", described(open("a", true)), described(named(open("a", false), "other")), `{}`, false, false, `{}`},
		{"name reused", described(named(open("a", true), "x")), described(named(open("b", false), "x")), `{}`, true, true, `{"=a":true}`},
		{"removed", described(open("a", true), line), described(), `{}`, true, true, `{"=a":true,"line":true}`},
		{"back", described(), described(open("a", true), line), `{"=a":true,"line":true}`, true, true, `{"=a":true,"line":true}`},
		{"back, changed", described(), described(open("a", false)), `{"=a":true}`, true, false, `{"=a":true}`},
		{"back in a part", described(), described(open("ab", false)), `{"=a":true}`, true, false, `{"=a":true}`},
		{"back in the whole", described(), described(open("", false)), `{"=a":true}`, true, false, `{"=a":true}`},
		{"beside", described(), described(open("b", false)), `{"=a":true}`, true, true, `{"=a":true}`},
		{"list taken over", described(line), described(open("line/", false)), `{}`, false, false, `{"line":true}`},
		{"list taken over whole", described(line), described(open("", false)), `{}`, true, false, `{"line":true}`},
		{"list back", described(), described(Space{Name: "line", Kind: KindRetained, Topics: []string{"b"}}), `{"line":true}`, true, false, `{"line":true}`},
	} {
		r, err := ParseRemovedSpaces([]byte(c.old))
		assert.NilError(t, err)
		assert.Equal(t, c.d.CheckSuccession(c.cur) == nil, c.follows, c.say)
		more, err := r.Check(c.d, c.cur)
		assert.Equal(t, err == nil, c.comeback, "%s: %v", c.say, err)
		if c.comeback {
			assert.Equal(t, string(r.Marshal()), c.kept, c.say)
			assert.Equal(t, more, c.old != c.kept, c.say)
		}
	}
}

func TestTooManyRemovedSpaces(t *testing.T) {
	r := RemovedSpaces{}
	var routine, urgent Config
	for i := range MaxRemovedSpaces {
		routine.Spaces = append(routine.Spaces, open(fmt.Sprintf("r%d.", i), false))
		urgent.Spaces = append(urgent.Spaces, open(fmt.Sprintf("u%d.", i), true))
	}
	rest := urgent
	urgent.Spaces = urgent.Spaces[:3]
	_, err := r.Check(described(), urgent)
	assert.NilError(t, err)
	_, err = r.Check(described(), routine)
	assert.NilError(t, err, "spaces that were not urgent can always go")
	assert.Equal(t, string(r.Marshal()), `{"*":false,"=u0.":true,"=u1.":true,"=u2.":true}`)
	more, err := r.Check(described(), described(open("s", false)))
	assert.NilError(t, err)
	assert.Assert(t, !more)
	_, err = r.Check(described(open("r7.", false), open("new", false), open("u1.", true)), described())
	assert.NilError(t, err)
	_, err = r.Check(described(open("u1.x", true)), described())
	assert.NilError(t, err)
	_, err = r.Check(described(open("r7.", true)), described())
	assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v", err)
	_, err = r.Check(described(open("u1.", false)), described())
	assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v", err)
	_, err = r.Check(described(), rest)
	assert.ErrorContains(t, err, "would make 4096 removed urgent spaces, 4095 can be kept")
}

func BenchmarkFind(b *testing.B) {
	var d Config
	for i := range 514 {
		d.Spaces = append(d.Spaces, open(fmt.Sprintf("k%d%s.", i, strings.Repeat("x", i%6)), false))
	}
	x := NewIndex(d)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = x.Find("k77xxxxx.1f")
	}
}
