// Package docs keeps the pages equal to the code.
package docs

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/event"
	"postjunction/internal/problem"
)

func update(t *testing.T, file, begin, end, want string) {
	t.Helper()
	path := "../../docs/" + file
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	s := string(b)
	i, k := strings.Index(s, begin), strings.Index(s, end)
	assert.Assert(t, i >= 0 && k > i, "%s has no table between %q and %q", file, begin, end)
	got := s[i+len(begin) : k]
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(s[:i+len(begin)]+want+s[k:]), 0o644))
		return
	}
	assert.Equal(t, got, want, "run go test ./internal/docs -update and read the difference")
}

func TestEventCatalogue(t *testing.T) {
	es := event.All()
	sort.Slice(es, func(i, k int) bool { return es[i].Number < es[k].Number })
	var b strings.Builder
	b.WriteString("\n| event | level | text |\n|---|---|---|\n")
	last := 0
	for _, e := range es {
		assert.Assert(t, e.Number > last, "event %d stands twice", e.Number)
		last = e.Number
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Number, e.Level, e.Text)
	}
	b.WriteString("\n")
	update(t, "events.md", "<!-- events -->", "<!-- end -->", b.String())
}

func TestProblemCatalogue(t *testing.T) {
	m := problem.Kinds()
	var ks []string
	for k := range m {
		ks = append(ks, string(k))
	}
	sort.Strings(ks)
	var b strings.Builder
	b.WriteString("\n| code | status | what to do |\n|---|---|---|\n")
	for _, k := range ks {
		status, advice, _ := strings.Cut(m[problem.Kind(k)], " ")
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", k, status, advice)
	}
	b.WriteString("\n")
	update(t, "callers.md", "<!-- problems -->", "<!-- end -->", b.String())
}
